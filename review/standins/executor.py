"""Stand-in of an executor, as PROTOCOL.md describes it. A task works for the
milliseconds in its ``Spec``.

The argument is a JSON document: ``id``, ``port``, ``address`` (written to the
directory), ``store`` (port), ``log`` (file of what starts and ends), ``cpu``, and
``standby``: whether the life begins only when a line arrives on standard input.
"""

import asyncio
import http.client
import json
import sys
import time

from http_server import Request, serve

HOLD_MAX_MS = 10_000
STOP_S = 0.1
HEARTBEAT_S = 1.5
# What an executor says of itself appears in the directory this much later.
DIRECTORY_LAG_S = 0.8
ENDS_LISTED = 500


class Executor:
    """One life of an executor."""

    def __init__(self, options: dict):
        self.options = options
        self.born = int(time.time() * 1000)
        self.begun = time.monotonic()
        self.fence = 0
        self.until_ms = 0
        self.lapsed = True
        self.running: dict[str, int] = {}
        self.blocked: dict[str, int] = {}
        self.ended: list[list] = []
        self.numbers = 0
        self.sequence = 0
        self.ends = asyncio.Condition()
        self.log = open(options["log"], "a", buffering=1)
        self.write("up")

    def write(self, event: str, **fields) -> None:
        """Record what has happened."""
        row = {"t": round(time.monotonic(), 4), "ex": self.options["id"]}
        self.log.write(
            json.dumps({**row, "born": self.born, "ev": event, **fields}) + "\n"
        )

    def clock_ms(self) -> int:
        """Return the steady clock of this life."""
        return int((time.monotonic() - self.begun) * 1000) + 1

    async def end(self, task: str, run: int, how: str) -> None:
        """End a run, unless it has ended."""
        if self.running.get(task) != run:
            return
        del self.running[task]
        self.blocked[task] = max(run, self.blocked.get(task, 0))
        self.numbers += 1
        self.ended.append([self.numbers, task, run, how, ""])
        self.write("end", n=self.numbers, task=task, run=run, how=how)
        async with self.ends:
            self.ends.notify_all()

    async def work(self, task: str, run: int, seconds: float) -> None:
        """End a run as done after its work."""
        await asyncio.sleep(seconds)
        await self.end(task, run, "done")

    async def check_lease(self) -> None:
        """End everything when the lease has expired."""
        while True:
            await asyncio.sleep(0.02)
            if self.clock_ms() > self.until_ms:
                if not self.lapsed:
                    self.lapsed = True
                    self.write("lapse")
                for task, run in list(self.running.items()):
                    await self.end(task, run, "lapsed")
            else:
                self.lapsed = False

    def extend(self, until_ms: int | None) -> None:
        """Take a lease, which never shortens."""
        if until_ms is not None:
            longest = self.clock_ms() + HOLD_MAX_MS
            self.until_ms = max(self.until_ms, min(until_ms, longest))

    def refuse(self, reason: str) -> tuple[int, dict]:
        """Return a refusal."""
        return 409, {"ClockMs": self.clock_ms(), "Reason": reason}

    async def handle(self, request: Request) -> tuple[int, dict | None]:
        """Answer a call."""
        target = request.headers.get("x-target-instance")
        if target not in (None, self.options["id"]):
            return 421, {"ClockMs": self.clock_ms()}
        body = request.json()
        if body.get("Fence", 0) < self.fence:
            return self.refuse("fence")
        self.fence = body.get("Fence", 0)
        match request.path:
            case "/api/run-start":
                return self.start(body)
            case "/api/run-stop":
                task, run = body["Task"], body["Run"]
                self.blocked[task] = max(run, self.blocked.get(task, 0))
                self.write("stop", task=task, run=run)
                if self.running.get(task) == run:
                    asyncio.get_running_loop().call_later(
                        STOP_S,
                        lambda: asyncio.ensure_future(self.end(task, run, "stopped")),
                    )
                return 200, {"ClockMs": self.clock_ms()}
            case "/api/hold":
                return await self.hold(body)
        return 200, {"ClockMs": self.clock_ms()}

    def start(self, body: dict) -> tuple[int, dict]:
        """Start a run unless it is there, has ended or was stopped."""
        task, run = body["Task"], body["Run"]
        answer = {"ClockMs": self.clock_ms()}
        if self.running.get(task) == run:
            return 200, answer
        self.extend(body["UntilMs"])
        if run <= max(self.blocked.get(task, 0), self.running.get(task, 0)):
            return self.refuse("old")
        if body["UntilMs"] < self.clock_ms():
            return self.refuse("late")
        self.running[task] = run
        self.lapsed = False
        self.write("start", task=task, run=run, fence=body["Fence"])
        asyncio.ensure_future(self.work(task, run, int(body["Spec"]) / 1000))
        return 200, answer

    async def hold(self, body: dict) -> tuple[int, dict]:
        """Extend the lease, forget ends that were seen, and list the others."""
        self.extend(body.get("UntilMs"))
        seen = body.get("LastSeen", 0)
        for number, task, run, how, _ in self.ended:
            if number <= seen:
                self.write("noted", n=number, task=task, run=run, how=how, seen=seen)
        self.ended = [row for row in self.ended if row[0] > seen]
        wait_s = body.get("WaitMs", 0) / 1000
        if wait_s and not self.ended:
            async with self.ends:
                try:
                    await asyncio.wait_for(self.ends.wait(), wait_s)
                except TimeoutError:
                    pass
        return 200, {
            "ClockMs": self.clock_ms(),
            "Running": [[task, run, "", 50] for task, run in self.running.items()],
            "Ended": self.ended[:ENDS_LISTED],
            "born": self.born,
        }

    async def beat(self) -> None:
        """Write the directory entry at each heartbeat."""
        await asyncio.sleep(DIRECTORY_LAG_S)
        while True:
            await asyncio.to_thread(self.register)
            await asyncio.sleep(HEARTBEAT_S)

    def register(self) -> None:
        """Write the directory entry; the store may be out of reach."""
        options = self.options
        self.sequence += 1
        entry = {
            "Service": "desk",
            "Address": options["address"],
            "Zone": "z1",
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": options["cpu"], "MemMb": 65536, "Gpu": 0},
            "Labels": ["a", "r1"],
            "Seq": self.sequence,
            "born": self.born,
        }
        try:
            connection = http.client.HTTPConnection(
                "127.0.0.1", options["store"], timeout=1
            )
            path = f"/standin/put?Key=servers/{options['id']}"
            connection.request("POST", path, json.dumps(entry))
            connection.getresponse().read()
            connection.close()
        except OSError:
            pass


async def main() -> None:
    """Run until killed."""
    options = json.loads(sys.argv[1])
    if options["standby"]:
        sys.stdin.readline()
    executor = Executor(options)
    tasks = [
        asyncio.create_task(executor.check_lease()),
        asyncio.create_task(executor.beat()),
    ]
    await serve(executor.options["port"], executor.handle)
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(main())
