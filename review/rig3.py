"""Stand-ins for the platform, and the start of the project's programs, for scripts.

The store, the executors, the operator and the clients run in the script's process. They
follow ``PROTOCOL.md``. The instances of the system are processes of their own, started
with the command and the template of the deploy file. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import deque
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "jobs.example"
SERVICE = "race-desk"
HEARTBEAT_S = 1.5
HISTORY_S = 20.0

# Bounds of the small deployment `sites/olts-lagos.toml`, in seconds.
CONTACT_S = 3.0
ACK_S = 4.0
GRACE_S = 6.0
FINISH_S = 14.0
HOLD_MAX_MS = 10_000
STOP_S = 0.2
GANG_WAIT_S = 3.0
CANCEL_S = 3.0

SETTINGS = {
    "Zone": "ikeja",
    "Limits": {
        "CpuShare": 0.537,
        "Cores": 2,
        "MemoryMb": 300,
        "MaxFds": 4100,
        "LinkMbps": 1000.0,
    },
    "Bounds": {
        "GraceS": 6,
        "HoldMaxMs": HOLD_MAX_MS,
        "ConfigApplyMs": 2000,
        "status_s": 120,
    },
}

# Queues of the same deployment: name, priority, attempts, stretch, target in ms.
QUEUES = (
    ("clock-checkin", 0, 2, 1.5, 250),
    ("race-results", 1, 3, 2.2, 1000),
    ("velocity-recalc", 2, 4, 4.0, 3000),
)


def configuration(version: int) -> dict:
    """Return a configuration with the queues of the deployment, without advice."""
    return {
        "Version": version,
        "Routes": [
            {
                "Name": name,
                "Host": HOST,
                "Prefix": f"/{name}/",
                "RouteType": "non_idempotent",
                "TimeoutMs": 3000,
                "TargetDurationMs": target_ms,
                "Priority": priority,
                "Service": SERVICE,
                "MaxAttempts": attempts,
                "Stretch": stretch,
            }
            for name, priority, attempts, stretch, target_ms in QUEUES
        ],
        "Services": [{"Name": SERVICE, "EnforcesCapacity": False, "Spare": False}],
        "Limits": {"MaxBodyBytes": 262144},
    }


# HTTP.


class Silent(Exception):
    """The call gets no answer; its connection stays open without one."""


class Reset(Exception):
    """The connection of the call is reset."""


class HttpServer:
    """Serves JSON over HTTP/1.1.

    :param handle: coroutine function that returns status and body, or raises
        :class:`Silent` or :class:`Reset`.
    """

    def __init__(self, handle, port: int):
        self._handle = handle
        self.port = port
        self._server = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def stop(self) -> None:
        """Stop listening and reset all connections, as a killed process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except Reset:
            writer.transport.abort()
        except asyncio.CancelledError:
            # The script ends.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head[:-4].decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        try:
            status, answer = await self._handle(
                method, parts.path, query, headers, json.loads(body) if body else {}
            )
        except Silent:
            # "A connection on which a response is lost returns nothing further."
            while await reader.read(65536):
                pass
            return False
        data = json.dumps(answer).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (status, len(data), data)
        )
        await writer.drain()
        return True


async def call(port, method, path, body=None, *, limit_s=5.0, deadline_ms=None):
    """Make a call as a client; returns status 0 if there is no answer."""
    data = b"" if body is None else json.dumps(body).encode()
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
    head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
    if deadline_ms is not None:
        head += f"X-Deadline-Ms: {deadline_ms}\r\n"

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(head.encode() + b"\r\n" + data)
            answer = await reader.read()
        finally:
            writer.close()
        lines, _, text = answer.partition(b"\r\n\r\n")
        status = int(lines.split(b" ")[1])
        try:
            return status, json.loads(text) if text else {}
        except ValueError:
            return status, {"text": text.decode("utf-8", "replace")}

    try:
        return await asyncio.wait_for(exchange(), limit_s)
    except (OSError, ValueError, IndexError, asyncio.TimeoutError):
        return 0, {}


# The platform's store.


class Store:
    """The platform's store, in memory; nothing is lost or late."""

    def __init__(self):
        self.items: dict[str, dict] = {}
        self.revision = 100
        self.events: deque[dict] = deque()
        self.leases: dict[int, list[float]] = {}
        self._next_lease = 1
        # Waiting watches, with their prefixes.
        self._waiting: list[tuple[str, asyncio.Future]] = []

    def put(self, key: str, value: bytes) -> None:
        """Write a key as the operator or an executor does."""
        self.revision += 1
        self._put(key, base64.b64encode(value).decode(), 0)

    def remove(self, key: str) -> None:
        """Remove a key as the platform does."""
        if key in self.items:
            self.revision += 1
            self._remove(key)

    def _put(self, key: str, value: str, lease: int) -> None:
        created = self.items.get(key, {}).get("CreateRev", self.revision)
        item = {"Key": key, "Value": value, "Revision": self.revision}
        item |= {"CreateRev": created, "Lease": lease}
        self.items[key] = item
        self._add_event(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            event = {"Key": key, "Revision": self.revision, "Deleted": True}
            self._add_event(event)

    def _add_event(self, event: dict) -> None:
        self.events.append({**event, "_at": time.monotonic()})
        while self.events[0]["_at"] < time.monotonic() - HISTORY_S:
            self.events.popleft()
        waiting, self._waiting = self._waiting, []
        for prefix, future in waiting:
            if not event["Key"].startswith(prefix):
                self._waiting.append((prefix, future))
            elif not future.done():
                future.set_result(None)

    async def expire_leases(self) -> None:
        """Remove the keys of leases that have run out."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [key for key, (end, _) in self.leases.items() if now > end]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["Lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)

    async def handle(self, method, path, query, _headers, body):
        """Answer a call."""
        await asyncio.sleep(0.004)
        if path == "/api/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {"CurrentRev": self.revision}
            return 200, {**item, "CurrentRev": self.revision}
        if path == "/api/kv-range":
            return 200, self._range(query["Prefix"], query.get("After", ""))
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-txn":
            return self._transact(body)
        if path == "/api/kv-lease":
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            ttl_s = max(1.0, body["TtlMs"] / 1000)
            self.leases[lease] = [time.monotonic() + ttl_s, ttl_s]
            return 200, {"Lease": lease, "TtlMs": int(ttl_s * 1000)}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        self.leases[lease][0] = time.monotonic() + self.leases[lease][1]
        return 200, {"TtlMs": int(self.leases[lease][1] * 1000)}

    def _range(self, prefix: str, after: str) -> dict:
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page, size = [], 0
        for key in keys[:500]:
            page.append(self.items[key])
            size += len(self.items[key]["Value"])
            if size > 1_000_000:
                break
        more = len(page) < len(keys)
        return {"items": page, "Truncated": more, "CurrentRev": self.revision}

    async def _watch(self, query):
        end = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        after, prefix = int(query["After"]), query["Prefix"]
        if self.events and after < self.events[0]["Revision"] - 1:
            return 410, {"CurrentRev": self.revision}
        while True:
            events = []
            for event in reversed(self.events):
                if event["Revision"] <= after:
                    break
                if event["Key"].startswith(prefix):
                    events.append({k: event[k] for k in event if k != "_at"})
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[::-1], "CurrentRev": self.revision}
            future = asyncio.get_running_loop().create_future()
            self._waiting.append((prefix, future))
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(future, left)

    def _transact(self, body):
        rows = body.get("ExpectedRev", [])
        items = [self.items.get(r["Key"], {"Key": r["Key"]}) for r in rows]
        found = [item.get("Revision", 0) for item in items]
        if found != [row["Revision"] for row in rows]:
            return 412, {"items": [{"Revision": 0, **item} for item in items]}
        puts = body.get("Puts", [])
        if any(p.get("Lease") and p["Lease"] not in self.leases for p in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self._put(put["Key"], put["Value"], put.get("Lease", 0))
        for key in body.get("Remove", []):
            self._remove(key)
        return 200, {"Revision": self.revision}


# Executors.


class Executor:
    """One executor; each life of it is a process of its own to the system.

    :param late_start: returns after how many seconds a start is carried out that gets
        no answer, ``None`` for a start that is answered.
    """

    def __init__(self, rig: "Rig", index: int, port: int):
        self._rig = rig
        self._index = index
        self.id = f"x{index:03d}"
        self.rack = f"r1-{index // rig.rack}"
        self.port = port
        self.up = False
        self.late_start = lambda task, run: None
        self.server: HttpServer | None = None
        self._tasks: list[asyncio.Task] = []
        self.life = 0

    async def start(self) -> None:
        """Begin a life, which holds and knows nothing of an earlier one."""
        self.life += 1
        self.up = True
        self.born = int(time.time() * 1000)
        self._clock_zero = time.monotonic() - 1.0
        self.fence = 0
        self.until_ms = 0
        self.running: dict[str, dict] = {}
        self.ended: list[list] = []
        self.blocked: dict[str, int] = {}
        self._last_end = 0
        self._seq = 0
        self._listed = asyncio.Event()
        self.server = HttpServer(self._handle, self.port)
        await self.server.start()
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._check_lease()),
        ]

    def crash(self) -> None:
        """End the life at once; the platform drops its entry after three heartbeats."""
        if not self.up:
            return
        self.up = False
        for task in self._tasks:
            task.cancel()
        self.server.stop()
        for entry in self.running.values():
            self._rig.note_end(entry, "crashed")
        self.running = {}
        self._rig.log("executor crashed", executor=self.id)
        life = self.life
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self._unlist, life)

    def _unlist(self, life: int) -> None:
        if self.life == life:
            self._rig.store.remove(f"servers/{self.id}")

    async def _beat(self) -> None:
        # The first report comes within a heartbeat interval of the start.
        if self._rig.begun:
            await asyncio.sleep(0.5 * HEARTBEAT_S)
        else:
            await asyncio.sleep(HEARTBEAT_S * (37 * self._index % 97) / 97)
        while True:
            self._seq += 1
            entry = {
                "Service": SERVICE,
                "Address": f"127.0.0.1:{self.port}",
                "Zone": "ikeja",
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdLeftMs": 0,
                "Capacity": dict(self._rig.capacity),
                "Labels": ["a", self.rack],
                "Seq": self._seq,
                "born": self.born,
            }
            self._rig.store.put(f"servers/{self.id}", json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    def clock_ms(self) -> int:
        """Return the executor's steady clock."""
        return int((time.monotonic() - self._clock_zero) * 1000)

    async def _check_lease(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock_ms() > self.until_ms:
                for task in list(self.running):
                    self._end(task, self.running[task]["run"], "lapsed")

    def _extend(self, until_ms: int) -> None:
        longest = self.clock_ms() + HOLD_MAX_MS
        self.until_ms = max(self.until_ms, min(until_ms, longest))

    def _end(self, task: str, run: int, how: str) -> None:
        known = self.running.get(task)
        if known is None or known["run"] != run:
            return
        del self.running[task]
        self._rig.note_end(known, how)
        self.blocked[task] = max(run, self.blocked.get(task, 0))
        self._last_end += 1
        self.ended.append([self._last_end, task, run, how, ""])
        self._listed.set()
        self._listed = asyncio.Event()
        self._rig.handle_member_end(known, how)

    def _fenced(self, body: dict) -> bool:
        if body.get("Fence", 0) < self.fence:
            return True
        self.fence = body.get("Fence", 0)
        return False

    async def _handle(self, _method, path, _query, headers, body):
        if headers.get("x-target-instance", self.id) != self.id:
            return 421, {}
        if path == "/api/run-start":
            return await self._handle_start(body)
        if path == "/api/run-stop":
            if self._fenced(body):
                return 409, {"ClockMs": self.clock_ms(), "Reason": "fence"}
            task, run = body["Task"], body["Run"]
            self.blocked[task] = max(run, self.blocked.get(task, 0))
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S / 2, self._end, task, run, "stopped")
            return 200, {"ClockMs": self.clock_ms()}
        if path == "/api/pace":
            if self._fenced(body):
                return 409, {"ClockMs": self.clock_ms(), "Reason": "fence"}
            return 200, {"ClockMs": self.clock_ms()}
        if path == "/api/hold":
            return await self._handle_hold(body)
        return 400, {}

    async def _handle_start(self, body):
        delay_s = self.late_start(body["Task"], body["Run"])
        if delay_s is not None:
            self._rig.log(
                "start gets no answer",
                executor=self.id,
                task=body["Task"],
                run=body["Run"],
                carried_out_after_s=delay_s,
            )
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._start_late, body)
            raise Silent
        reason = self._start(body)
        if reason:
            return 409, {"ClockMs": self.clock_ms(), "Reason": reason}
        return 200, {"ClockMs": self.clock_ms()}

    def _start_late(self, body: dict) -> None:
        """Carry out a call that got no answer, if the executor is up."""
        result = "executor is down" if not self.up else self._start(body) or "started"
        self._rig.log(
            "late start carried out",
            executor=self.id,
            task=body["Task"],
            run=body["Run"],
            result=result,
        )

    def _start(self, body: dict) -> str:
        if self._fenced(body):
            return "fence"
        task, run = body["Task"], body["Run"]
        known = self.running.get(task)
        if known is not None and known["run"] == run:
            return ""
        self._extend(body["UntilMs"])
        if run <= self.blocked.get(task, 0) or known is not None:
            return "old"
        if body["UntilMs"] < self.clock_ms():
            return "late"
        entry = self._rig.note_start(self, task, run, body.get("Spec"))
        self.running[task] = entry
        self._rig.begin_work(self, entry)
        return ""

    async def _handle_hold(self, body):
        if self._fenced(body):
            return 409, {"ClockMs": self.clock_ms(), "Reason": "fence"}
        self._extend(body.get("UntilMs", 0))
        seen = body.get("LastSeen", 0)
        for end in self.ended:
            if end[0] <= seen:
                self._rig.note_taken(self, end)
        self.ended = [end for end in self.ended if end[0] > seen]
        if not self.ended and body.get("WaitMs"):
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._listed.wait(), body["WaitMs"] / 1000)
        now = time.monotonic()
        running = []
        for task, entry in self.running.items():
            running.append([task, entry["run"], "", self._rig.percent(entry, now), 0])
        lists = {"Running": running, "Ended": self.ended[:500], "born": self.born}
        return 200, {"ClockMs": self.clock_ms(), **lists}


# Instances of the system.


def render(template: str, fields: dict) -> str:
    """Fill in a settings template; supports what the project's template uses."""

    def find(path: str):
        value = fields
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match) -> str:
        return match[2] if find(match[1]) else ""

    def value(match: re.Match) -> str:
        found = find(match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


class Node:
    """One machine of the system with its process."""

    def __init__(self, rig: "Rig", index: int, ports: list[int]):
        self._rig = rig
        self.index = index
        self.name = f"edge-{index}"
        self.front, self.ready_port, self.peer = ports
        self.process: asyncio.subprocess.Process | None = None
        self.path = rig.folder / f"{self.name}.json"
        self.stopping = False

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["scheduler"]
        fields = {
            **SETTINGS,
            "Node": self.name,
            "Ip": "127.0.0.1",
            "Listen": {
                "Front": f"127.0.0.1:{self.front}",
                "Ready": f"127.0.0.1:{self.ready_port}",
            },
            "PortRange": [self.peer, self.peer],
            "platform": {
                "Address": f"127.0.0.1:{self._rig.store_port}",
                "WritesPerS": 400,
            },
            "Advice": f"127.0.0.1:{self._rig.advice_port}",
        }
        template = (ROOT / role["template"]).read_text()
        self.path.write_text(render(template, fields))
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PISTACHIOLIFT_BOOT"] = str(self.path)
        with (self._rig.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.stopping = False

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.running:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process."""
        self.stopping = True
        if self.running:
            self.process.kill()
            await self.process.wait()

    async def ready(self) -> bool:
        """Whether the readiness check passes."""
        status, _ = await call(self.ready_port, "GET", "/api/readyz", limit_s=1.0)
        return status == 200

    async def call(self, method, path, body=None, **options):
        """Make a call as a client."""
        return await call(self.front, method, path, body, **options)


class Rig:
    """A small deployment on loopback addresses.

    :param rack: number of executors of a rack.
    :param capacity: of each executor.
    """

    def __init__(
        self,
        folder: Path,
        *,
        nodes: int = 3,
        executors: int = 8,
        rack: int = 6,
        capacity=None,
    ):
        self.folder = folder
        self.rack = rack
        self.capacity = capacity or {"Cpu": 32000, "MemMb": 65536, "Gpu": 0}
        ports = free_ports(2 + executors + 3 * nodes)
        self.store_port, self.advice_port = ports[:2]
        self.begun = False
        self.store = Store()
        self._store_server = HttpServer(self.store.handle, self.store_port)
        rest = ports[2 + executors :]
        self.executors = [
            Executor(self, index, port)
            for index, port in enumerate(ports[2 : 2 + executors])
        ]
        self.nodes = [
            Node(self, index, rest[3 * index : 3 * index + 3]) for index in range(nodes)
        ]
        self.jobs: dict[str, dict] = {}
        self.starts: list[dict] = []
        self.zero = time.monotonic()
        self._record = (folder.parent / "record.txt").open("w")
        self._tasks: list[asyncio.Task] = []
        self._gangs: dict[tuple, list] = {}

    # Record.

    def log(self, what: str, **fields) -> None:
        """Write a line to the record."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        line = f"{time.monotonic() - self.zero:8.3f} {what} {text}"
        self._record.write(line.rstrip() + "\n")
        self._record.flush()

    def now(self) -> float:
        """Return the seconds since the begin of the script."""
        return time.monotonic() - self.zero

    def note_start(self, executor: Executor, task: str, run: int, spec) -> dict:
        """Record that an executor has begun a run."""
        entry = {
            "task": task,
            "run": run,
            "executor": executor.id,
            "life": executor.life,
            "spec": spec,
            "start": self.now(),
            "end": None,
            "how": "",
            "taken": None,
        }
        self.starts.append(entry)
        self.log("run begins", task=task, run=run, executor=executor.id)
        return entry

    def note_end(self, entry: dict, how: str) -> None:
        """Record the end of a run."""
        entry["end"], entry["how"] = self.now(), how
        names = ("task", "run", "executor")
        self.log("run ends", how=how, **{name: entry[name] for name in names})

    def note_taken(self, executor: Executor, end: list) -> None:
        """Record that an end was taken note of."""
        for entry in self.starts:
            key = (entry["task"], entry["run"], entry["executor"], entry["life"])
            if key == (end[1], end[2], executor.id, executor.life):
                entry["taken"] = entry["taken"] or self.now()

    # Work.

    def _step(self, task: str) -> dict:
        job, _, step, _ = task.split(".")
        return self.jobs[job]["Steps"][int(step)]

    def begin_work(self, executor: Executor, entry: dict) -> None:
        """Let a run end once its work is done; a gang works from its last start on."""
        step = self._step(entry["task"])
        if step.get("LongRunning"):
            return
        loop = asyncio.get_running_loop()
        work_s = step["EstimateMs"] / 1000
        if not step.get("Gang"):
            loop.call_later(
                work_s, self._finish, executor, executor.life, entry, "done"
            )
            return
        key = entry["task"].rpartition(".")[0], entry["run"]
        members = self._gangs.setdefault(key, [])
        members.append((executor, executor.life, entry))
        if len(members) == step["Count"]:
            for member in members:
                loop.call_later(work_s, self._finish, *member, "done")
        else:
            loop.call_later(GANG_WAIT_S, self._end_alone, key)

    def _end_alone(self, key: tuple) -> None:
        members = self._gangs[key]
        if len(members) < self._step(f"{key[0]}.0")["Count"]:
            for member in members:
                self._finish(*member, "alone")

    def _finish(self, executor: Executor, life: int, entry: dict, how: str) -> None:
        if executor.up and executor.life == life and entry["end"] is None:
            executor._end(entry["task"], entry["run"], how)

    def handle_member_end(self, entry: dict, how: str) -> None:
        """End the other members of a gang of which one did not end well."""
        key = entry["task"].rpartition(".")[0], entry["run"]
        if how == "done":
            return
        for executor, life, other in self._gangs.get(key, ()):
            if other["end"] is None:
                self._finish(executor, life, other, "broken")

    def percent(self, entry: dict, now: float) -> int:
        """Return the progress of a run."""
        step = self._step(entry["task"])
        age_s = now - self.zero - entry["start"]
        if step.get("LongRunning"):
            return 100 if age_s > 0.1 else 0
        return min(99, int(100 * age_s * 1000 / max(1, step["EstimateMs"])))

    # Clients.

    async def submit(self, node: Node, queue: str, job: str, steps, **fields) -> int:
        """Hand a job in, and again at the next node after no answer, 502 or 504."""
        body = {"Spec": f"spec of {job}", "Steps": steps, **fields}
        self.jobs[job] = body
        status = 0
        for attempt in range(5):
            target = self.nodes[(node.index + attempt) % len(self.nodes)]
            status, _ = await target.call(
                "POST", f"/{queue}/{job}", body, limit_s=3.0, deadline_ms=3000
            )
            self.log("handed in", job=job, node=target.name, status=status)
            if status not in (0, 502, 504):
                break
        return status

    async def state(self, node: Node, queue: str, job: str) -> tuple[int, str]:
        """Ask for a job's state, as a client does."""
        status, answer = await node.call(
            "GET", f"/{queue}/{job}", limit_s=3.0, deadline_ms=3000
        )
        self.log("asked", job=job, node=node.name, status=status, **answer)
        return status, answer.get("State", "")

    # Processes.

    async def start(self) -> None:
        """Start everything, and wait until the nodes are ready."""
        self._tasks.append(asyncio.create_task(self.store.expire_leases()))
        await self._store_server.start()
        self.store.put("op/config", json.dumps(configuration(3)).encode())
        for executor in self.executors:
            await executor.start()
        self.begun = True
        for node in self.nodes:
            await node.start()
        end = time.monotonic() + 40
        while not all([await node.ready() for node in self.nodes]):
            if time.monotonic() > end:
                raise TimeoutError("the nodes are not ready within 40 s")
            await asyncio.sleep(0.1)
        # Workers are used once the owner has polled them.
        await asyncio.sleep(1.5)
        self.log("ready")

    async def owner(self) -> Node | None:
        """Return the node that holds the key of the owner, as the store shows it."""
        for key, item in self.store.items.items():
            if key.startswith("pistachiolift/owner/"):
                found = json.loads(base64.b64decode(item["Value"]))
                for node in self.nodes:
                    if node.name == found["instance_id"]:
                        return node
        return None

    async def stop(self) -> None:
        """End all processes that were started."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            await node.kill()
        for executor in self.executors:
            if executor.up:
                executor.crash()
        self._store_server.stop()
        self._record.close()


def free_ports(count: int) -> list[int]:
    """Return free ports of the loopback interface."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def run(case: Path, play, **options) -> None:
    """Run a case, and exit with 1 if the rule was broken, 0 if it held, 2 on failure.

    :param case: the folder of the case, which gets the record.
    :param play: coroutine function that gets the rig and whether the disruption is on;
        it returns what broke the rule, empty if nothing did.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(tempfile.mkdtemp(prefix="case-"))

    async def main() -> str:
        work = folder / "work"
        work.mkdir()
        rig = Rig(work, **options)
        try:
            await rig.start()
            broken = await play(rig, trouble)
            rig.log("verdict", broken=broken or "nothing")
            return broken
        finally:
            await rig.stop()

    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(main(), 118))
        code = 1 if broken else 0
        sys.stdout.write(f"trouble={int(trouble)} broken: {broken or 'nothing'}\n")
    except Exception as error:
        sys.stdout.write(f"could not run: {type(error).__name__}: {error}\n")
    finally:
        record = folder / "record.txt"
        if record.exists():
            shutil.copy(record, case / "record.txt")
        kept = os.environ.get("KEEP")
        if kept:
            shutil.copytree(folder, kept, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)
