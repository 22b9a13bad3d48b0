"""An executor that is simulated in virtual time, behind its connection's calls."""

import json

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as ReactorClock

from pistachiolift.node.interfaces import WorkerReplacedError, WorkerUnavailableError
from pistachiolift.platform.workers import PlatformWorker
from pistachiolift.workflows import Worker

# Longest wait of a poll.
WAIT_S = 0.2


class SimulatedExecutor:
    """Carries out calls as an executor does; its processes follow one another.

    :param worker: its directory entry.
    :param work_s: time that each run takes, in seconds.
    """

    def __init__(self, reactor: ReactorClock, worker: Worker, *, work_s: float):
        self._reactor = reactor
        self._work_s = work_s
        self.worker = worker
        self.identifier = worker.worker_id
        self.up = True
        # Whether calls reach it.
        self.reachable = True
        # Delays of the next starts, which get no answer, in seconds.
        self.start_delays_s: list[float] = []
        # Statuses with which such starts were answered when they arrived.
        self.delayed_statuses: list[int] = []
        # Begin and end of each run; the end is ``None`` while it is running.
        self.history: list[dict] = []
        self._begin_process(worker.incarnation)

    def _begin_process(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._begun_s = self._reactor.seconds()
        self._fence = 0
        self._ended_count = 0
        self.running: dict[tuple[str, int], dict] = {}
        self._ended: list[list] = []
        self._blocked: dict[str, int] = {}
        self._waiting: list[Deferred] = []

    def crash(self) -> None:
        """End the process; nobody can connect until :meth:`restart`."""
        self.up = False
        for run in self.running.values():
            run["end_s"] = self._reactor.seconds()
        self.running.clear()
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            each.errback(WorkerUnavailableError("connection lost"))

    def restart(self, *, identifier: str | None = None) -> None:
        """Begin another process, by default with the same identifier."""
        if self.up:
            self.crash()
        self.up = True
        self.identifier = identifier or self.identifier
        self._begin_process(self.incarnation + 1)

    def connect(self, worker: Worker) -> PlatformWorker:
        """Return a connection whose calls this executor answers."""
        connection = PlatformWorker(self._reactor, worker)

        async def call(path, body, *, timeout_s=None):
            return await self._call(worker.worker_id, path, body)

        connection._call = call
        return connection

    async def _call(self, identifier: str, path: str, body: dict) -> tuple[int, bytes]:
        if path == "/api/run-start" and self.start_delays_s:
            delay_s = self.start_delays_s.pop(0)
            self._reactor.callLater(delay_s, self._deliver_late, identifier, body)
            raise WorkerUnavailableError("timeout")
        self._check_reachable()
        if identifier != self.identifier:
            raise WorkerReplacedError("another process answered")
        status, answer = self._handle(path, body)
        if path == "/api/hold" and status == 200 and body.get("WaitMs"):
            waiting: Deferred = Deferred()
            self._waiting.append(waiting)
            self._reactor.callLater(WAIT_S, self._end_wait, waiting)
            await waiting
            self._check_reachable()
            status, answer = self._handle(path, body)
        return status, json.dumps(answer).encode()

    def _check_reachable(self) -> None:
        if not (self.up and self.reachable):
            raise WorkerUnavailableError("connection refused")

    def _end_wait(self, waiting: Deferred) -> None:
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            waiting.callback(None)

    def _deliver_late(self, identifier: str, body: dict) -> None:
        if self.up and identifier == self.identifier:
            self.delayed_statuses.append(self._handle("/api/run-start", body)[0])

    @property
    def _clock_ms(self) -> int:
        return int((self._reactor.seconds() - self._begun_s) * 1000) + 1

    def _handle(self, path: str, body: dict) -> tuple[int, dict]:
        answer: dict = {"ClockMs": self._clock_ms}
        if body["Fence"] < self._fence:
            return 409, {**answer, "Reason": "fence"}
        self._fence = body["Fence"]
        if path == "/api/hold":
            seen = body["LastSeen"]
            self._ended = [end for end in self._ended if end[0] > seen]
            running = [[*key, "", self._percent(key)] for key in self.running]
            lists = {"Running": running, "Ended": self._ended}
            return 200, {**answer, **lists, "born": self.incarnation}
        key = body["Task"], body["Run"]
        if path == "/api/run-stop":
            self._blocked[key[0]] = max(key[1], self._blocked.get(key[0], 0))
            self._end(key, "stopped")
        elif key not in self.running:
            if key[1] <= self._blocked.get(key[0], 0):
                return 409, {**answer, "Reason": "old"}
            self._start(key)
        return 200, answer

    def _percent(self, key: tuple[str, int]) -> int:
        age_s = self._reactor.seconds() - self.running[key]["begin_s"]
        return int(100 * age_s / self._work_s)

    def _start(self, key: tuple[str, int]) -> None:
        run = {
            "task": key[0],
            "run": key[1],
            "incarnation": self.incarnation,
            "begin_s": self._reactor.seconds(),
            "end_s": None,
        }
        self.history.append(run)
        self.running[key] = run
        self._reactor.callLater(self._work_s, self._finish, key, self.incarnation)

    def _finish(self, key: tuple[str, int], incarnation: int) -> None:
        if incarnation == self.incarnation:
            self._end(key, "done")

    def _end(self, key: tuple[str, int], how: str) -> None:
        run = self.running.pop(key, None)
        if run is None:
            return
        run["end_s"], run["how"] = self._reactor.seconds(), how
        self._blocked[key[0]] = max(key[1], self._blocked.get(key[0], 0))
        self._ended_count += 1
        self._ended.append([self._ended_count, *key, how, ""])
        for each in list(self._waiting):
            self._end_wait(each)


def find_overlaps(executors: list[SimulatedExecutor]) -> list[str]:
    """Return where runs of a task overlap, or follow one that has ended ``done``."""
    found = []
    runs = [run for each in executors for run in each.history]
    runs.sort(key=lambda run: run["begin_s"])
    for index, later in enumerate(runs):
        for earlier in runs[:index]:
            if earlier["task"] != later["task"]:
                continue
            ended_s = earlier["end_s"]
            open_then = ended_s is None or ended_s > later["begin_s"]
            if open_then or earlier.get("how") == "done":
                found.append(f"{later} began after {earlier}")
    return found
