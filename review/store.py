"""A stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import itertools
import json
import time
from urllib.parse import parse_qs, urlsplit

PAGE = 500
ANSWER_S = 0.004


class Store:
    """Keys, transactions, leases and watches in memory.

    ``mode`` is ``up``, ``busy`` (503, nothing is done), ``reset`` or ``silent``.
    """

    def __init__(self):
        self.items: dict[str, dict] = {}
        self.revision = 10
        self.events: list[dict] = []
        self.leases: dict[int, list[float]] = {}
        self.mode = "up"
        self.delay_s = ANSWER_S
        self._ids = itertools.count(1)
        self._changed = asyncio.Event()

    async def expire_forever(self) -> None:
        """End the leases that have run out; they pause while the store is down."""
        before = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.mode != "up":
                for times in self.leases.values():
                    times[0] += now - before
            before = now
            for lease, (end, _) in list(self.leases.items()):
                if now > end:
                    self._end(lease)

    def put(self, key: str, value: bytes) -> None:
        """Write a key as the operator or an executor does."""
        self.revision += 1
        self._put(key, base64.b64encode(value).decode(), 0)
        self._wake()

    def remove(self, key: str) -> None:
        """Remove a key as the platform does."""
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._wake()

    def value(self, key: str) -> bytes | None:
        """Return a key's value."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["Value"])

    def _put(self, key: str, value: str, lease: int) -> None:
        created = self.items.get(key, {}).get("CreateRev", self.revision)
        item = {
            "Key": key,
            "Value": value,
            "Revision": self.revision,
            "CreateRev": created,
            "Lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.events.append({"Key": key, "Revision": self.revision, "Deleted": True})

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["Lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._wake()

    def _after(self, prefix: str, after: int) -> list[dict]:
        found = []
        for event in reversed(self.events):
            if event["Revision"] <= after:
                break
            if event["Key"].startswith(prefix):
                found.append(event)
        return found[::-1]

    async def handle(self, method, path, headers, body):
        """Answer a call."""
        if self.mode != "up":
            return await self._fail()
        await asyncio.sleep(self.delay_s)
        if self.mode != "up":
            return await self._fail()
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = url.path.strip("/").split("/")
        name = parts[1]
        if name == "kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {"CurrentRev": self.revision}
            return 200, {**item, "CurrentRev": self.revision}
        if name == "kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["Prefix"]) and key > query.get("After", "")
            )
            return 200, {
                "items": [self.items[key] for key in keys[:PAGE]],
                "Truncated": len(keys) > PAGE,
                "CurrentRev": self.revision,
            }
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(json.loads(body))
        if name == "kv-lease":
            ttl_ms = max(1000, json.loads(body)["TtlMs"])
            lease = next(self._ids)
            self.leases[lease] = [time.monotonic() + ttl_ms / 1000, ttl_ms / 1000]
            return 200, {"Lease": lease, "TtlMs": ttl_ms}
        lease = int(parts[2])
        if name == "kv-keep":
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][1]
            self.leases[lease][0] = time.monotonic() + ttl_s
            return 200, {"TtlMs": int(ttl_s * 1000)}
        if name == "kv-lease-end":
            if lease not in self.leases:
                return 404, {}
            self._end(lease)
            return 200, {}
        return 404, {}

    async def _fail(self):
        if self.mode == "busy":
            return 503, {}
        if self.mode == "silent":
            await asyncio.sleep(30)
        return None

    async def _watch(self, query):
        prefix, after = query["Prefix"], int(query["After"])
        end = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while not (events := self._after(prefix, after)):
            left = end - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                break
        if self.mode != "up":
            return await self._fail()
        return 200, {"events": events, "CurrentRev": self.revision}

    def _transact(self, body):
        rows = body.get("ExpectedRev", [])
        puts, gone = body.get("Puts", []), body.get("Remove", [])
        if len(rows) + len(puts) + len(gone) > 32:
            return 400, {}
        items = [
            self.items.get(row["Key"], {"Key": row["Key"], "Revision": 0})
            for row in rows
        ]
        if any(
            i["Revision"] != r["Revision"] for i, r in zip(items, rows, strict=True)
        ):
            return 412, {"items": items}
        if any(put.get("Lease") and put["Lease"] not in self.leases for put in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self._put(put["Key"], put["Value"], put.get("Lease", 0))
        for key in gone:
            self._remove(key)
        self._wake()
        return 200, {"Revision": self.revision}
