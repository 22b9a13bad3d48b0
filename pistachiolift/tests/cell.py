"""Starts a small cell of real processes on loopback for tests."""

import contextlib
import hashlib
import http.client
import json
import random
import socket
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from pistachiolift.standins import ChildProcess, free_ports

START_LIMIT_S = 60.0
TOKEN = "caller-token"
CUSTOMER = "federation"

# Kinds of the test cell: urgency, run limit in seconds, whether it may be repeated.
KINDS = {
    "check-in": ("urgent", 5.0, True),
    "publication": ("normal", 5.0, False),
    "recalculation": ("deferrable", 10.0, True),
}


@dataclass(frozen=True)
class Reply:
    """An HTTP answer; ``status`` is 0 when there is none.

    :param connected: whether a connection stood, so that a request may have left.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    connected: bool = True

    @property
    def outcome(self) -> str:
        return self.headers.get("Outcome", "")

    def json(self):
        return json.loads(self.body)


def call(
    port: int,
    method: str,
    path: str,
    body: bytes | str | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> Reply:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        connection.connect()
    except OSError:
        return Reply(0, connected=False)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return Reply(answer.status, dict(answer.getheaders()), answer.read())
    except (OSError, http.client.HTTPException):
        return Reply(0)
    finally:
        connection.close()


@dataclass
class Node:
    """A process with what the directory says about it."""

    process: ChildProcess
    port: int
    entry: dict
    operator_port: int = 0


class Cell:
    """Store, directory, upstreams, workers and entry instances.

    :param seed: orders the random choices of the load.
    """

    def __init__(
        self,
        folder: Path,
        *,
        data_centres: tuple[str, ...] = ("ikeja", "ibadan"),
        instances: int = 3,
        upstreams: int = 4,
        workers: int = 0,
        slots: int = 8,
        worker_cpu_milli: int = 8000,
        drain_grace_s: float = 0.3,
        seed: int = 1,
    ):
        self.folder = folder
        self.data_centres = data_centres
        self.random = random.Random(seed)
        self._counts = (instances, upstreams, workers)
        self._slots = slots
        self._worker_cpu_milli = worker_cpu_milli
        self._drain_grace_s = drain_grace_s
        self.instances: dict[str, Node] = {}
        self.upstreams: dict[str, Node] = {}
        self.workers: dict[str, Node] = {}
        self._retired: list[ChildProcess] = []
        self._seen_by_killed: list[dict] = []
        self._pool = ThreadPoolExecutor(64)
        self._next_instance = 0

    def __enter__(self) -> "Cell":
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._pool.shutdown(wait=False, cancel_futures=True)
        for process in self.processes():
            process.kill()

    def processes(self) -> list[ChildProcess]:
        nodes = [*self.instances.values(), *self.upstreams.values()]
        nodes += self.workers.values()
        platform = [getattr(self, "store", None), getattr(self, "directory", None)]
        return [n.process for n in nodes] + [p for p in platform if p] + self._retired

    # Start

    def _start(self) -> None:
        instances, upstreams, workers = self._counts
        self.store_port, self.directory_port = free_ports(2)
        self.store = self._standin("store", self.store_port)
        self.directory = self._standin("directory", self.directory_port, "--lag", "0.2")
        for number in range(upstreams):
            self.add_upstream(f"upstream-{number}", announce=False)
        for number in range(workers):
            self.add_worker(f"worker-{number}", announce=False)
        for _ in range(instances):
            self.add_instance(announce=False)
        try:
            self.wait_for(self._all_listening, "all processes listen")
        except AssertionError as error:
            for process in self.processes():
                state = "running" if process.running else f"exit {process.wait(0)}"
                name = f"{process.log_path.name} ({state})"
                error.add_note(f"{name}: {process.abort()[-3000:]}")
            raise
        self.announce(self.entries())
        self._configure()
        self.wait_for(self.all_owned, "all partitions have owners")

    def _standin(self, kind: str, port: int, *options: str, name="") -> ChildProcess:
        arguments = ["standin", kind, "--port", str(port), *options]
        return ChildProcess(arguments, self.folder / f"{name or kind}.log")

    def entries(self) -> list[dict]:
        groups = (self.instances, self.upstreams, self.workers)
        return [node.entry for group in groups for node in group.values()]

    def _place(self, number: int) -> str:
        return self.data_centres[number % len(self.data_centres)]

    def add_upstream(self, name: str, *, announce: bool = True) -> Node:
        [port] = free_ports(1)
        process = self._standin(
            "upstream", port, "--slots", str(self._slots), name=name
        )
        entry = {
            "id": name,
            "role": "upstream",
            "data_centre": self._place(len(self.upstreams)),
            "rack": "rack-0",
            "address": f"127.0.0.1:{port}",
            "capacity": {"slots": self._slots, "connections": 64},
        }
        self.upstreams[name] = node = Node(process, port, entry)
        if announce:
            self.announce([entry])
        return node

    def add_worker(self, name: str, *, announce: bool = True) -> Node:
        [port] = free_ports(1)
        size = {
            "cpu_milli": self._worker_cpu_milli,
            "memory_mb": 16_000,
            "accelerators": 1,
        }
        options = [
            option
            for key, value in size.items()
            for option in (f"--{key.replace('_', '-')}", str(value))
        ]
        process = self._standin("worker", port, *options, name=name)
        entry = {
            "id": name,
            "role": "worker",
            "data_centre": self._place(len(self.workers)),
            "rack": f"rack-{len(self.workers) // 2 % 2}",
            "address": f"127.0.0.1:{port}",
            "capacity": size,
        }
        self.workers[name] = node = Node(process, port, entry)
        if announce:
            self.announce([entry])
        return node

    def add_instance(self, *, announce: bool = True) -> Node:
        number, self._next_instance = self._next_instance, self._next_instance + 1
        name = f"entry-{number}"
        caller_port, operator_port, peer_port = free_ports(3)
        data_centre = self._place(number)
        process = ChildProcess(
            [
                "serve",
                f"--instance-id={name}",
                f"--data-centre={data_centre}",
                f"--caller-port={caller_port}",
                f"--operator-port={operator_port}",
                f"--peer-port={peer_port}",
                f"--store-url=http://127.0.0.1:{self.store_port}",
                f"--directory-url=http://127.0.0.1:{self.directory_port}",
                "--peer-secret=test",
                f"--drain-grace={self._drain_grace_s}",
            ],
            self.folder / f"{name}.log",
        )
        entry = {
            "id": name,
            "role": "entry",
            "data_centre": data_centre,
            "rack": "rack-0",
            "address": f"127.0.0.1:{peer_port}",
        }
        node = Node(process, caller_port, entry, operator_port)
        self.instances[name] = node
        if announce:
            self.announce([entry])
        return node

    def kill_upstream(self, name: str) -> None:
        """Kill an upstream and keep its record; what ran has ended with it."""
        node = self.upstreams.pop(name)
        attempts = call(node.port, "GET", "/seen").json()["seen"]
        node.process.kill()
        for attempt in attempts:
            attempt["ended_s"] = attempt["ended_s"] or time.time()
        self._seen_by_killed += attempts

    def retire(self, name: str) -> None:
        """Take an instance that has ended out of the cell and the directory."""
        node = self.instances.pop(name)
        self._retired.append(node.process)
        self.announce([], removed=[name])

    def announce(self, entries: list[dict], removed: list[str] | None = None) -> None:
        document = {"upsert": entries, "remove": removed or []}
        reply = call(self.directory_port, "POST", "/v1/instances", json.dumps(document))
        assert reply.status == 200, reply

    def _all_listening(self) -> bool:
        assert all(process.running for process in self.processes())
        ports = [self.store_port, self.directory_port]
        nodes = [*self.instances.values(), *self.upstreams.values()]
        ports += [node.port for node in [*nodes, *self.workers.values()]]
        ports += [node.operator_port for node in self.instances.values()]
        return all(is_listening(port) for port in ports)

    def _configure(self) -> None:
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        edits = [
            _set("", "data_centres", list(self.data_centres)),
            _set(CUSTOMER, "token_sha256", [digest]),
        ]
        for kind, (urgency, max_run_s, repeatable) in KINDS.items():
            path = f"*/{kind}"
            edits.append({"action": "create", "path": path})
            edits.append(_set(path, "urgency", urgency))
            edits.append(_set(path, "max_run_s", max_run_s))
            edits.append(_set(path, "repeatable", repeatable))
        self.wait_for(lambda: self.change_settings(edits).status == 200, "settings")

    def change_settings(self, edits: list[dict]) -> Reply:
        return self.operate("POST", "/v1/settings/change", {"edits": edits})

    # Waiting

    def wait_for(
        self, condition: Callable[[], object], what: str, limit_s: float = START_LIMIT_S
    ) -> None:
        """Poll a condition; the limit only ends a test that would hang."""
        end_s = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end_s:
                raise AssertionError(f"not reached in {limit_s} s: {what}")
            time.sleep(0.05)

    def all_owned(self) -> bool:
        owners = self.owners()
        live = set(self.instances)
        return len(owners) >= len(self.data_centres) and set(owners.values()) <= live

    def owners(self) -> dict[str, str]:
        """Return the owners that the instances themselves report, by partition."""
        owners = {}
        for name, node in self.instances.items():
            if not node.process.running:
                continue
            reply = call(node.operator_port, "GET", "/v1/status", timeout_s=2.0)
            if reply.status == 200:
                for home in reply.json()["homes"]:
                    if home["authority"]:
                        owners[home["partition"]] = name
        return owners

    # Use

    def operate(
        self, method: str, path: str, document: object = None, name: str = ""
    ) -> Reply:
        """Call the operator interface of an instance, by default the first."""
        node = self.instances[name or next(iter(self.instances))]
        body = None if document is None else json.dumps(document)
        return call(node.operator_port, method, path, body)

    def request(
        self,
        key: str,
        *,
        kind: str = "check-in",
        through: str = "",
        deadline_s: float = 10.0,
        body: bytes | None = None,
        run_s: float = 0.02,
        behaviour: str = "answer",
        repeatable: bool | None = None,
        resubmitted: bool = False,
    ) -> Reply:
        """Send a request and return the answer."""
        node = self.instances[through or next(iter(self.instances))]
        if body is None:
            work = {"run_s": run_s, "behaviour": behaviour, "echo": key}
            body = json.dumps(work).encode()
        if repeatable is None:
            repeatable = KINDS[kind][2]
        headers = {
            "Authorization": f"Bearer {TOKEN}",
            "Idempotency-Key": key,
            "Deadline-Ms": str(int(deadline_s * 1000)),
            "Repeatable": "true" if repeatable else "false",
            "Resubmission": "true" if resubmitted else "false",
        }
        path = f"/v1/requests/{kind}"
        return call(node.port, "POST", path, body, headers, deadline_s + 30.0)

    def in_background(self, function: Callable, *args, **kwargs) -> Future:
        return self._pool.submit(function, *args, **kwargs)

    def cancel(self, key: str, *, kind: str = "check-in", through: str = "") -> Reply:
        node = self.instances[through or next(iter(self.instances))]
        headers = {"Authorization": f"Bearer {TOKEN}"}
        return call(node.port, "DELETE", f"/v1/requests/{kind}/{key}", None, headers)

    # Truth

    def seen(self, key: str = "") -> list[dict]:
        """Return the attempts that upstreams started, of one request or of all."""
        attempts = list(self._seen_by_killed)
        for node in self.upstreams.values():
            reply = call(node.port, "GET", "/seen")
            assert reply.status == 200, "an upstream's record is not available"
            attempts += reply.json()["seen"]
        wanted = f"{CUSTOMER}/{key}" if key else ""
        return [
            attempt
            for attempt in attempts
            if attempt["started_s"] and wanted in ("", attempt["request_id"])
        ]

    def slot_violations(self) -> int:
        replies = [call(n.port, "GET", "/seen") for n in self.upstreams.values()]
        return sum(reply.json()["slot_violations"] for reply in replies)

    def task_runs(self) -> list[dict]:
        runs = []
        for name, node in self.workers.items():
            for run in call(node.port, "GET", "/seen").json()["seen"]:
                runs.append({**run, "worker": name})
        return runs

    def capacity_violations(self) -> int:
        replies = [call(n.port, "GET", "/seen") for n in self.workers.values()]
        return sum(reply.json()["capacity_violations"] for reply in replies)

    def set_store_faults(self, mode: str, **fields: object) -> None:
        document = {"mode": mode, **fields}
        reply = call(self.store_port, "POST", "/faults", json.dumps(document))
        assert reply.status == 200, reply

    def set_faults(self, node: Node, **fields: object) -> None:
        reply = call(node.port, "POST", "/faults", json.dumps(fields))
        assert reply.status == 200, reply

    def store_calls(self) -> dict[str, int]:
        return call(self.store_port, "GET", "/counts").json()


def overlapping(runs: list[dict]) -> list[tuple[dict, dict]]:
    """Return pairs of runs of the same subject that were active at once."""
    by_subject: dict[str, list[dict]] = {}
    for run in runs:
        subject = run.get("request_id") or task_subject(run["task_id"])
        by_subject.setdefault(subject, []).append(run)
    pairs = []
    for same in by_subject.values():
        same.sort(key=lambda run: run["started_s"])
        for earlier, later in zip(same, same[1:], strict=False):
            if not earlier["ended_s"] or later["started_s"] < earlier["ended_s"]:
                pairs.append((earlier, later))
    return pairs


def task_subject(task_id: str) -> str:
    """Return job and index of a task, without the attempt."""
    return task_id.rpartition(".")[0]


def is_listening(port: int) -> bool:
    with contextlib.suppress(OSError):
        with socket.create_connection(("127.0.0.1", port), timeout=0.5):
            return True
    return False


def _set(path: str, key: str, value: object) -> dict:
    return {"action": "set", "path": path, "key": key, "value": value}
