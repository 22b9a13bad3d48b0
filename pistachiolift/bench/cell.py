"""A cell of real processes on loopback for measurements.

Only benchmarks start processes; no process of the product does.
"""

import contextlib
import hashlib
import http.client
import os
import socket
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from ..common import encode_json
from ..standins import ChildProcess, free_ports

__all__ = ["Cell", "Node", "call", "read_cpu_s", "read_memory"]

HOST = "127.0.0.1"
CUSTOMER = "federation"
TOKEN = "bench-token"
START_LIMIT_S = 60.0
POLL_S = 0.02
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

# Urgency, run limit in seconds, and whether an attempt may be repeated.
KINDS = {
    "check-in": ("urgent", 5.0, True),
    "publication": ("normal", 5.0, False),
    "recalculation": ("deferrable", 10.0, True),
}


def call(port: int, method: str, path: str, document: object = None) -> dict | None:
    """Send JSON to a process of the cell; returns ``None`` without an answer of 200."""
    connection = http.client.HTTPConnection(HOST, port, timeout=15.0)
    body = None if document is None else encode_json(document)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        data = answer.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()
    return msgspec.json.decode(data) if answer.status == 200 else None


def is_listening(port: int) -> bool:
    """Whether a process accepts connections on a port."""
    with contextlib.suppress(OSError):
        with socket.create_connection((HOST, port), timeout=0.5):
            return True
    return False


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of all threads of a process, user and system, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_memory(pid: int) -> tuple[float, float]:
    """Return present and highest resident memory of a process, in MB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    kilobytes = {
        name: int(value.split()[0])
        for name, _, value in (line.partition(":") for line in lines)
        if name in ("VmRSS", "VmHWM")
    }
    return kilobytes["VmRSS"] / 1024, kilobytes["VmHWM"] / 1024


class Node(msgspec.Struct, kw_only=True):
    """A process with its ports and its entry in the directory."""

    process: ChildProcess
    port: int
    entry: dict
    operator_port: int = 0


class Cell:
    """Store, directory, upstreams, workers and entry instances.

    As a context manager it starts the processes and ends them.

    :param settings: further edits of the settings, as the operators' interface takes
        them.
    :param through: returns the port that instances use instead of that of the store
        or the directory, for example of a forwarder that counts bytes.
    """

    def __init__(
        self,
        *,
        instances: int = 3,
        upstreams: int = 4,
        workers: int = 0,
        slots: int = 8,
        data_centres: tuple[str, ...] = ("ikeja", "ibadan"),
        settings: list[dict] | None = None,
        through: Callable[[str, int], int] = lambda name, port: port,
    ):
        self._counts = (instances, upstreams, workers)
        self._slots = slots
        self.data_centres = data_centres
        self._settings = settings or []
        self._through = through
        self.instances: dict[str, Node] = {}
        self.upstreams: dict[str, Node] = {}
        self.workers: dict[str, Node] = {}
        self._stack = contextlib.ExitStack()
        self._next_instance = 0

    def __enter__(self) -> "Cell":
        with self._stack:
            folder = tempfile.TemporaryDirectory(prefix="pistachiolift-bench-")
            self._folder = Path(self._stack.enter_context(folder))
            self._start()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stack.close()

    def _start(self) -> None:
        instances, upstreams, workers = self._counts
        self.store_port, self.directory_port = free_ports(2)
        self._spawn("store", "standin", "store", f"--port={self.store_port}")
        self._spawn(
            "directory",
            "standin",
            "directory",
            f"--port={self.directory_port}",
            "--lag=0.2",
        )
        for number in range(upstreams):
            self._add_upstream(number)
        for number in range(workers):
            self._add_worker(number)
        ports = [self.store_port, self.directory_port]
        ports += [node.port for node in [*self.upstreams.values()]]
        ports += [node.port for node in [*self.workers.values()]]
        self.wait_for(lambda: all(map(is_listening, ports)), "stand-ins listen")
        for _ in range(instances):
            self.add_instance()
        self.announce([n.entry for n in self.upstreams.values()])
        self.announce([n.entry for n in self.workers.values()])
        self._configure()
        self.wait_for(self.settled, "all partitions have owners")

    def _spawn(self, name: str, *arguments: str) -> ChildProcess:
        process = ChildProcess(list(arguments), self._folder / f"{name}.log")
        self._stack.callback(process.kill)
        return process

    def log(self, name: str) -> str:
        """Return what a process has logged."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def _place(self, number: int) -> str:
        return self.data_centres[number % len(self.data_centres)]

    def _entry(self, role: str, number: int, port: int, **capacity: int) -> dict:
        entry = {
            "id": f"{role}-{number}",
            "role": role,
            "data_centre": self._place(number),
            "rack": f"rack-{number // 6}",
            "address": f"{HOST}:{port}",
        }
        return {**entry, "capacity": capacity} if capacity else entry

    def _add_upstream(self, number: int) -> None:
        [port] = free_ports(1)
        entry = self._entry("upstream", number, port, slots=self._slots, connections=64)
        process = self._spawn(
            entry["id"],
            "standin",
            "upstream",
            f"--port={port}",
            f"--slots={self._slots}",
        )
        self.upstreams[entry["id"]] = Node(process=process, port=port, entry=entry)

    def _add_worker(self, number: int) -> None:
        [port] = free_ports(1)
        entry = self._entry("worker", number, port, cpu_milli=64_000, memory_mb=128_000)
        process = self._spawn(
            entry["id"],
            "standin",
            "worker",
            f"--port={port}",
            "--cpu-milli=64000",
            "--memory-mb=128000",
        )
        self.workers[entry["id"]] = Node(process=process, port=port, entry=entry)

    def add_instance(self, *, caller_port: int = 0) -> str:
        """Start an entry instance under a new identity and return that.

        :param caller_port: the port of an instance that it replaces.
        """
        number, self._next_instance = self._next_instance, self._next_instance + 1
        free_port, operator_port, peer_port = free_ports(3)
        caller_port = caller_port or free_port
        entry = self._entry("entry", number, peer_port)
        store_port = self._through("store", self.store_port)
        directory_port = self._through("directory", self.directory_port)
        process = self._spawn(
            entry["id"],
            "serve",
            f"--instance-id={entry['id']}",
            f"--data-centre={entry['data_centre']}",
            f"--caller-port={caller_port}",
            f"--operator-port={operator_port}",
            f"--peer-port={peer_port}",
            f"--store-url=http://{HOST}:{store_port}",
            f"--directory-url=http://{HOST}:{directory_port}",
            "--peer-secret=bench",
            "--drain-grace=0.3",
        )
        self.instances[entry["id"]] = Node(
            process=process, port=caller_port, entry=entry, operator_port=operator_port
        )
        self.announce([entry])
        self.wait_for(lambda: is_listening(operator_port), f"{entry['id']} listens")
        return entry["id"]

    def remove_instance(self, name: str) -> Node:
        """Take an instance out of the cell and of the directory."""
        node = self.instances.pop(name)
        self.announce([], removed=[name])
        return node

    def announce(self, entries: list[dict], removed: list[str] | None = None) -> None:
        """Change the directory."""
        document = {"upsert": entries, "remove": removed or []}
        if call(self.directory_port, "POST", "/v1/instances", document) is None:
            raise RuntimeError("the directory does not answer")

    def _configure(self) -> None:
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        edits = [
            edit("", "data_centres", list(self.data_centres)),
            edit(CUSTOMER, "token_sha256", [digest]),
        ]
        for kind, (urgency, max_run_s, repeatable) in KINDS.items():
            path = f"*/{kind}"
            edits.append({"action": "create", "path": path})
            edits.append(edit(path, "urgency", urgency))
            edits.append(edit(path, "max_run_s", max_run_s))
            edits.append(edit(path, "repeatable", repeatable))
        self.wait_for(lambda: self.change([*edits, *self._settings]), "settings")

    def change(self, edits: list[dict]) -> dict | None:
        """Change the settings."""
        return self.operate("POST", "/v1/settings/change", {"edits": edits})

    def operate(
        self, method: str, path: str, document: object = None, name: str = ""
    ) -> dict | None:
        """Call the operators' interface of an instance, by default the first."""
        node = self.instances[name or next(iter(self.instances))]
        return call(node.operator_port, method, path, document)

    def wait_for(
        self, condition: Callable[[], object], what: str, limit_s: float = START_LIMIT_S
    ) -> None:
        """Poll a condition.

        :raises RuntimeError: if it is not met within the limit.
        """
        end_s = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end_s:
                raise RuntimeError(f"not reached in {limit_s} s: {what}")
            time.sleep(POLL_S)

    def statuses(self) -> Iterator[tuple[str, dict]]:
        """Yield the status documents of the instances that answer."""
        for name in list(self.instances):
            status = self.operate("GET", "/v1/status", name=name)
            if status is not None:
                yield name, status

    def owners(self, names: list[str] | None = None) -> dict[str, str]:
        """Return the owners with authority, as they report themselves.

        :param names: instances to ask, by default all.
        """
        owners = {}
        for name in names if names is not None else list(self.instances):
            status = self.operate("GET", "/v1/status", name=name)
            for home in status["homes"] if status else []:
                if home["authority"]:
                    owners[home["partition"]] = name
        return owners

    def settled(self) -> bool:
        """Whether all instances are live and know one owner of each partition."""
        owners, views = self.owners(), list(self.statuses())
        live = sorted(self.instances)
        return len(views) == len(live) and all(
            status["live_instances"] == live
            and len(status["partitions"]) >= len(self.data_centres)
            and all(
                known["owner"] and owners.get(partition) == known["owner"]
                for partition, known in status["partitions"].items()
            )
            for _, status in views
        )

    def counters(self, name: str) -> dict[str, float]:
        """Return the counters of an instance."""
        return self.operate("GET", "/v1/status", name=name)["counters"]

    def store_calls(self) -> dict[str, int]:
        """Return the calls that the store has taken, by name."""
        counts = call(self.store_port, "GET", "/counts")
        counts.pop("watching")
        return counts

    def set_store_fault(self, mode: str) -> None:
        """Let the store fail, or answer again with ``none``."""
        call(self.store_port, "POST", "/faults", {"mode": mode})

    def seen(self) -> list[dict]:
        """Return the attempts that the upstreams have started."""
        return [
            attempt
            for node in self.upstreams.values()
            for attempt in call(node.port, "GET", "/seen")["seen"]
            if attempt["started_s"]
        ]

    def caller_ports(self) -> list[int]:
        """Return the ports for callers."""
        return [node.port for node in self.instances.values()]


def edit(path: str, key: str, value: object) -> dict:
    """Return an edit that sets a value."""
    return {"action": "set", "path": path, "key": key, "value": value}
