"""Directory entries of another writer that name no worker to use."""

import json

ENTRY = {
    "Service": "pool-a",
    "Address": "127.0.0.1:9",
    "Zone": "z1",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdLeftMs": 0,
    "Capacity": {"Cpu": 8000, "MemMb": 16000, "Gpu": 0},
    "Labels": ["a", "r0"],
    "Seq": 1,
    "born": 1_790_000_000_000,
}
NESTED = "[" * 100_000 + "]" * 100_000


def with_text(field: str, text: str) -> bytes:
    """Return an entry in which a field has a JSON text as its value."""
    placeholder = json.dumps({**ENTRY, field: "PLACEHOLDER"})
    return placeholder.replace('"PLACEHOLDER"', text).encode()


def with_address(address: str) -> bytes:
    """Return an entry with an address."""
    return with_text("Address", json.dumps(address))


def with_capacity(**changes: object) -> bytes:
    """Return an entry with another capacity."""
    return with_text("Capacity", json.dumps({**ENTRY["Capacity"], **changes}))


# Key and value by name.
ODD_ENTRIES: dict[str, tuple[str, bytes]] = {
    name: (f"servers/odd-{index}", value)
    for index, (name, value) in enumerate(
        {
            "nested value": NESTED.encode(),
            "nested field": with_text("Zone", NESTED),
            "nested labels": with_text("Labels", NESTED),
            "not JSON": b"\xff\x00{",
            "empty": b"",
            "a list": b"[]",
            "port above the range": with_address("127.0.0.1:70000"),
            "port 0": with_address("127.0.0.1:0"),
            "port of many digits": with_address("127.0.0.1:" + "9" * 5000),
            "port with a sign": with_address("127.0.0.1:+9"),
            "port in other digits": with_address("127.0.0.1:\u0663"),
            "no port": with_address("127.0.0.1"),
            "a URL": with_address("http://127.0.0.1:9"),
            "a host name": with_address("billing-db:9"),
            "an address out of range": with_address("999.1.1.1:9"),
            "IPv6": with_address("[::1]:9"),
            "a line break in the address": with_address("127.0.0.1:9\r\n"),
            "start time above 64 bits": with_text("born", "9" * 30),
            "start time of many digits": with_text("born", "9" * 5000),
            "start time with an exponent": with_text("born", "1e999"),
            "negative start time": with_text("born", "-1"),
            "start time missing": json.dumps({**ENTRY, "born": None}).encode(),
            "capacity above 64 bits": with_capacity(Cpu=10**30),
            "capacity of many digits": with_text(
                "Capacity", '{"Cpu": %s}' % ("9" * 5000)
            ),
            "negative capacity": with_capacity(MemMb=-1),
            "fractional capacity": with_capacity(Cpu=0.5),
            "unknown state": with_text("State", '"resting"'),
            "half a surrogate pair": with_text("Zone", '"\\ud800"'),
        }.items()
    )
}
ODD_ENTRIES |= {
    "id outside Latin-1": ("servers/\u540d", json.dumps(ENTRY).encode()),
    "line break in the id": ("servers/a\r\nb", json.dumps(ENTRY).encode()),
    "no id": ("servers/", json.dumps(ENTRY).encode()),
}
