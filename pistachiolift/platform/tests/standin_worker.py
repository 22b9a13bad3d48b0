"""A stand-in for a worker of the platform, and for its adviser."""

import json
import time

from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred

STOP_S = 0.05


class StandinWorker:
    """Runs each task for the time in its payload, in milliseconds.

    :param log: records the runs of all workers, so that tests can detect overlaps.
    """

    def __init__(self, worker_id: str, address: str, log: list[dict], rack: str):
        self.worker_id = worker_id
        self.address = address
        self.rack = rack
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.until_ms = 0
        self.sequence = 0
        self.log = log
        self.running: dict[str, dict] = {}
        self.blocked: dict[str, int] = {}
        self.ended: list[list] = []
        self._numbers = 0
        self._started_s = time.monotonic() - 1.0
        self._waiters: list[Deferred] = []
        reactor.callLater(0.05, self._check_lease)

    def entry(self, service: str) -> dict:
        """Return the directory entry."""
        self.sequence += 1
        return {
            "Service": service,
            "Address": self.address,
            "Zone": "z1",
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": 8000, "MemMb": 16000, "Gpu": 0},
            "Labels": ["a", self.rack],
            "ClockMs": self.clock_ms(),
            "Seq": self.sequence,
            "born": self.born,
        }

    def clock_ms(self) -> int:
        """Return the worker's monotonic clock, in milliseconds."""
        return int((time.monotonic() - self._started_s) * 1000)

    def _check_lease(self) -> None:
        reactor.callLater(0.05, self._check_lease)
        if self.running and self.clock_ms() > self.until_ms:
            for task in list(self.running):
                self.finish(task, self.running[task]["run"], "lapsed")

    def finish(self, task: str, run: int, how: str) -> None:
        """End a run, unless it has ended already.

        :param how: kind of the end on the wire.
        """
        known = self.running.get(task)
        if known is None or known["run"] != run:
            return
        del self.running[task]
        known["entry"]["end"] = time.monotonic()
        known["entry"]["how"] = how
        self.blocked[task] = max(run, self.blocked.get(task, 0))
        self._numbers += 1
        self.ended.append([self._numbers, task, run, how, ""])
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(None)

    def app(self) -> Klein:
        """Return the HTTP application."""
        app = Klein()

        def answer(request, body=None, status=200):
            request.setResponseCode(status)
            request.setHeader("Content-Type", "application/json")
            return json.dumps({"ClockMs": self.clock_ms(), **(body or {})}).encode()

        def read(request) -> dict | None:
            body = json.loads(request.content.read())
            if body.get("Fence", 0) < self.fence:
                return None
            self.fence = body.get("Fence", 0)
            return body

        @app.route("/api/run-start", methods=["POST"])
        def start(request):
            body = read(request)
            if body is None:
                return answer(request, {"Reason": "fence"}, 409)
            task, run = body["Task"], body["Run"]
            known = self.running.get(task)
            if known is not None and known["run"] == run:
                return answer(request)
            if run <= self.blocked.get(task, 0):
                return answer(request, {"Reason": "old"}, 409)
            if body["UntilMs"] < self.clock_ms():
                return answer(request, {"Reason": "late"}, 409)
            self.until_ms = max(self.until_ms, body["UntilMs"])
            entry = {
                "task": task,
                "run": run,
                "worker": self.worker_id,
                "start": time.monotonic(),
                "end": None,
                "how": "",
            }
            self.log.append(entry)
            self.running[task] = {"run": run, "entry": entry}
            reactor.callLater(int(body["Spec"]) / 1000, self.finish, task, run, "done")
            return answer(request)

        @app.route("/api/run-stop", methods=["POST"])
        def stop(request):
            body = read(request)
            if body is None:
                return answer(request, {"Reason": "fence"}, 409)
            task, run = body["Task"], body["Run"]
            self.blocked[task] = max(run, self.blocked.get(task, 0))
            reactor.callLater(STOP_S, self.finish, task, run, "stopped")
            return answer(request)

        @app.route("/api/hold", methods=["POST"])
        async def hold(request):
            body = read(request)
            if body is None:
                return answer(request, {"Reason": "fence"}, 409)
            self.until_ms = max(self.until_ms, body.get("UntilMs", 0))
            seen = body.get("LastSeen", 0)
            self.ended = [end for end in self.ended if end[0] > seen]
            wait_s = body.get("WaitMs", 0) / 1000
            if not self.ended and wait_s:
                waiter = Deferred()
                self._waiters.append(waiter)
                waiter.addTimeout(wait_s, reactor, lambda *_: None)
                await waiter
                self._waiters = [w for w in self._waiters if w is not waiter]
            running = [
                [task, known["run"], "", 50, 100]
                for task, known in self.running.items()
            ]
            lists = {"Running": running, "Ended": self.ended[:500], "born": self.born}
            return answer(request, lists)

        @app.route("/api/advise", methods=["POST"])
        def advise(request):
            body = json.loads(request.content.read())
            good = [[worker, f"t-{body['Step']}"] for worker in body["Workers"]]
            return answer(request, {"Good": good, "ValidMs": 1500})

        return app
