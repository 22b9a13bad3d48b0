"""A stand-in for an executor, as PROTOCOL.md describes it."""

import asyncio
import json
import random
import time

from .http import Server

HEARTBEAT_S = 1.5
STOP_S = 0.4
HOLD_MAX_MS = 6_000


class Executor:
    """Runs what it is told to run under a lease.

    The ``Spec`` of a job is JSON: ``ms`` (how long a task takes), ``spread`` (its share by
    which that varies), ``how`` (its end), and ``first``, the same for the first run.

    :param cell: keeps the record of starts and ends.
    """

    def __init__(self, cell, executor_id: str, port: int, rack: str):
        self.cell = cell
        self.id = executor_id
        self.rack = rack
        self.server = Server(self._handle, port)
        self.up = False
        self.life = 0
        self.state = "ready"
        self.seq = 0
        self.last_beat = 0.0
        self.ignore_starts = 0

    async def start(self, *, first_beat_s: float = 0.0) -> None:
        """Begin a new life, which knows nothing of the one before.

        :param first_beat_s: time until its first heartbeat.
        """
        self.life += 1
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic() - 0.5
        self.fence = 0
        self.until_ms = 0
        self.numbers = 0
        self.running: dict[tuple[str, int], dict] = {}
        self.blocked: dict[str, int] = {}
        self.ended: list[list] = []
        self.news = asyncio.Event()
        # What was sent to a silent life is lost with its connections.
        self.server.stop()
        self.up = True
        await self.server.start()
        if first_beat_s:
            self.last_beat = time.monotonic() + first_beat_s - HEARTBEAT_S
        else:
            self.beat()

    def crash(self, *, dark: bool = False) -> None:
        """Lose everything; nothing is sent.

        :param dark: whether connections go silent instead of being reset.
        """
        self.up = False
        if not dark:
            self.server.stop()
        for task, run in list(self.running):
            self._finish(task, run, "lost with its executor")
        self.cell.log(f"{self.id} crashes")

    def beat(self) -> None:
        """Write the directory entry."""
        self.seq += 1
        self.last_beat = time.monotonic()
        entry = {
            "Service": "pool-a",
            "Address": f"127.0.0.1:{self.server.port}",
            "Zone": "z1",
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": 64000, "MemMb": 262144, "Gpu": 0},
            "Labels": ["a", self.rack],
            "Seq": self.seq,
            "born": self.born,
        }
        self.cell.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    def clock_ms(self) -> int:
        """Return the steady clock of this life."""
        return int((time.monotonic() - self.zero) * 1000)

    async def live_forever(self) -> None:
        """Send heartbeats, end leases; the platform drops a silent entry."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if not self.up:
                if now - self.last_beat > 3 * HEARTBEAT_S:
                    self.cell.store.remove(f"servers/{self.id}")
                continue
            if now - self.last_beat > HEARTBEAT_S:
                self.beat()
            if self.running and self.clock_ms() > self.until_ms:
                for task, run in list(self.running):
                    self._finish(task, run, "lapsed")

    def _finish(self, task: str, run: int, how: str) -> None:
        known = self.running.pop((task, run), None)
        if known is None:
            return
        known["timer"].cancel()
        self.cell.record_end(known["entry"], how)
        self.blocked[task] = max(run, self.blocked.get(task, 0))
        if self.up:
            self.numbers += 1
            self.ended.append([self.numbers, task, run, how, ""])
            self.news.set()

    async def _handle(self, method, path, headers, body):
        life = self.life
        answer = await self._answer_order(path, headers, body) if self.up else None
        while not self.up:
            await asyncio.sleep(0.05)
        return answer if life == self.life else None

    async def _answer_order(self, path, headers, body):
        if headers.get("x-target-instance") != self.id:
            return 421, {}
        order = json.loads(body)
        if order.get("Fence", 0) < self.fence:
            return self._answer(409, Reason="fence")
        if path == "/api/run-start":
            if self.ignore_starts:
                self.ignore_starts -= 1
                return None
            self.fence = order.get("Fence", 0)
            answer = self._start(order)
            # The way between two zones and back.
            await asyncio.sleep(self.cell.way_back_s)
            return answer
        self.fence = order.get("Fence", 0)
        if path == "/api/run-stop":
            task, run = order["Task"], order["Run"]
            self.blocked[task] = max(run, self.blocked.get(task, 0))
            asyncio.get_running_loop().call_later(
                STOP_S, self._finish, task, run, "stopped"
            )
            return self._answer()
        if path == "/api/hold":
            return await self._hold(order)
        return self._answer()

    def _answer(self, status=200, **fields):
        return status, {"ClockMs": self.clock_ms(), **fields}

    def _lease(self, until_ms: int) -> None:
        limit = self.clock_ms() + HOLD_MAX_MS
        self.until_ms = max(self.until_ms, min(until_ms, limit))

    def _start(self, order):
        task, run = order["Task"], order["Run"]
        if (task, run) in self.running:
            return self._answer()
        if run <= self.blocked.get(task, 0):
            self._lease(order["UntilMs"])
            return self._answer(409, Reason="old")
        if order["UntilMs"] < self.clock_ms():
            return self._answer(409, Reason="late")
        self._lease(order["UntilMs"])
        spec = json.loads(order["Spec"])
        if "first" in spec and not self.cell.runs_of(task):
            spec = spec["first"]
        entry = self.cell.record_start(self, task, run, order)
        ms = spec["ms"]
        if "spread" in spec:
            # The same for the same run of the same task in each play.
            ms *= random.Random(f"{task} {len(self.cell.runs_of(task))}").uniform(
                1 - spec["spread"], 1 + spec["spread"]
            )
        timer = asyncio.get_running_loop().call_later(
            ms / 1000, self._finish, task, run, spec.get("how", "done")
        )
        self.running[task, run] = {
            "entry": entry,
            "timer": timer,
            "since": time.monotonic(),
            "ms": ms,
        }
        return self._answer()

    async def _hold(self, order):
        if "UntilMs" in order:
            self._lease(order["UntilMs"])
        seen = order.get("LastSeen", 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        life = self.life
        if not self.ended and order.get("WaitMs"):
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), order["WaitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
            if life != self.life:
                return None
        now = time.monotonic()
        running = [
            [task, run, "", min(99, int((now - r["since"]) * 1e5 / r["ms"])), 100]
            for (task, run), r in self.running.items()
        ]
        return self._answer(Running=running, Ended=self.ended[:500], born=self.born)
