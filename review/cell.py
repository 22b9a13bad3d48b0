"""Starts the project's program as separate processes beside the stand-ins."""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from .executor import Executor
from .http import Server, call
from .store import Store

ROOT = Path(__file__).resolve().parents[1]
HOST = "jobs.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0
# A cell that has not started is started again until then.
START_AGAIN_S = 30.0

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not run."""


def free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


class Cell:
    """Daemons, executors, the store and the operator of a small deployment."""

    def __init__(
        self,
        folder: Path,
        *,
        daemons: int = 9,
        executors: int = 24,
        begun: float | None = None,
    ):
        self.folder = folder
        self.begun = time.monotonic() if begun is None else begun
        self.way_back_s = 0.0
        self.lines: list[str] = []
        self.runs: list[dict] = []
        ports = free_ports(1 + executors + 3 * daemons)
        self.store_port = ports.pop()
        self.store = Store()
        self.store_server: Server | None = None
        self.executors = [
            Executor(self, f"i-{n:04x}", ports.pop(), f"r{n // 8}")
            for n in range(executors)
        ]
        self.fronts = [ports.pop() for _ in range(daemons)]
        self.readies = [ports.pop() for _ in range(daemons)]
        self.peers = [ports.pop() for _ in range(daemons)]
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"]["scheduler"]["run"].split(" ")
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.work = Path(tempfile.mkdtemp(prefix="review-"))
        self._tasks: list[asyncio.Task] = []

    def log(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.begun:8.3f}  {text}")

    def record_start(self, executor, task: str, run: int, order: dict) -> dict:
        """Record that an executor has begun a task."""
        entry = {
            "task": task,
            "run": run,
            "executor": executor.id,
            "life": executor.life,
            "fence": order.get("Fence", 0),
            "start": time.monotonic(),
            "end": None,
            "how": "",
        }
        self.runs.append(entry)
        self.log(f"{executor.id} starts {task} run {run} fence {entry['fence']}")
        return entry

    def record_end(self, entry: dict, how: str) -> None:
        """Record the end of a run."""
        entry["end"], entry["how"] = time.monotonic(), how
        self.log(f"{entry['executor']} ends {entry['task']} run {entry['run']}: {how}")

    async def start(self) -> None:
        """Start everything, and wait until all daemons are ready."""
        if not (ROOT / "target/deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build first")
        routes = [
            {
                "Name": "work",
                "Host": HOST,
                "Prefix": "/work/",
                "RouteType": "non_idempotent",
                "TimeoutMs": 3000,
                "TargetDurationMs": 300,
                "Priority": 0,
                "Service": "pool-a",
                "MaxAttempts": 3,
                "Stretch": 1.5,
            }
        ]
        services = [{"Name": "pool-a", "EnforcesCapacity": False, "Spare": False}]
        config = {
            "Version": 3,
            "Routes": routes,
            "Services": services,
            "Limits": {"MaxBodyBytes": 262144},
        }
        self.store.put("op/config", json.dumps(config).encode())
        self.store_server = Server(self.store.handle, self.store_port)
        await self.store_server.start()
        self._spawn(self.store.expire_forever())
        for executor in self.executors:
            await executor.start()
            self._spawn(executor.live_forever())
        for index in range(len(self.fronts)):
            await self.start_daemon(index)
        await self.until(self.all_ready, "all daemons are ready", 40)
        await self.until(self.all_serve, "all daemons answer calls", 20)

    def _spawn(self, coroutine) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def start_daemon(self, index: int) -> None:
        """Start a daemon with the command of the deploy file."""
        settings = {
            "instance_id": f"edge-{index}",
            "ip": "127.0.0.1",
            "zone": "z1",
            "caller_address": f"127.0.0.1:{self.fronts[index]}",
            "ready_address": f"127.0.0.1:{self.readies[index]}",
            "peer_ports": [self.peers[index], self.peers[index]],
            "store_address": f"127.0.0.1:{self.store_port}",
            "store_writes_per_s": 400,
            "adviser_address": "127.0.0.1:1",
            "cpu_share": 0.537,
            "core_speed": 2,
            "link_mbps": 1000.0,
            "grace_s": 6,
            "lease_limit_ms": 6000,
            "keep_final_s": 120,
        }
        path = self.work / f"settings-{index}.json"
        path.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PISTACHIOLIFT_BOOT"] = str(path)
        output = open(self.work / f"edge-{index}.log", "ab")
        self.processes[index] = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=output, stderr=output,
        )  # fmt: skip
        output.close()
        self.log(f"daemon {index} started")

    def kill_daemon(self, index: int) -> None:
        """Kill a daemon's process."""
        self.processes[index].kill()
        self.log(f"daemon {index} killed")

    def freeze_daemon(self, index: int) -> None:
        """Stop a daemon's process until it is told to continue."""
        self.processes[index].send_signal(signal.SIGSTOP)
        self.log(f"daemon {index} freezes")

    def thaw_daemon(self, index: int) -> None:
        """Let a frozen daemon continue."""
        self.processes[index].send_signal(signal.SIGCONT)
        self.log(f"daemon {index} wakes")

    async def all_ready(self) -> bool:
        """Whether all daemons respond to the readiness check with 200."""
        answers = []
        for index, process in self.processes.items():
            if process.returncode is not None:
                raise CannotRunError(f"daemon {index} has ended")
            answer = await call(self.readies[index], "GET", "/api/readyz", host=HOST)
            answers.append(answer[0])
        return all(status == 200 for status in answers)

    async def all_serve(self) -> bool:
        """Whether all daemons answer how many jobs wait."""
        answers = [
            (await call(front, "GET", "/work/", host=HOST))[0] for front in self.fronts
        ]
        return all(status == 200 for status in answers)

    async def until(self, condition, what: str, limit_s: float) -> None:
        """Wait for a condition before the trouble begins."""
        end = time.monotonic() + limit_s
        while not await condition():
            if time.monotonic() > end:
                raise CannotRunError(f"not within {limit_s} s: {what}")
            await asyncio.sleep(0.05)

    async def holds(self, condition, limit_s: float) -> bool:
        """Wait for a condition that the rules ask for."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await condition():
                return True
            await asyncio.sleep(0.1)
        return False

    def leader(self) -> int | None:
        """Return the daemon that last wrote to the store under a condition."""
        value = self.store.value("pistachiolift/claim/0000")
        if value is None:
            return None
        return int(json.loads(value)["instance_id"].removeprefix("edge-"))

    async def client(self, index: int, method: str, path: str, body=None):
        """Make a client's call at a daemon's front."""
        status, answer = await call(self.fronts[index], method, path, body, host=HOST)
        self.log(
            f"client: {method} {path} at daemon {index} -> {status or 'no answer'} {answer}"
        )
        return status, answer

    async def submit(self, index: int, job: str, spec: dict, steps: list[dict]) -> None:
        """Hand a job in, before the trouble begins."""
        body = {"Spec": json.dumps(spec), "Steps": steps}
        status, _ = await self.client(index, "POST", f"/work/{job}", body)
        if status != 200:
            raise CannotRunError(f"job {job} is not accepted: {status}")

    async def state(self, index: int, job: str) -> str:
        """Return a job's state, or the status if there is none."""
        status, answer = await self.client(index, "GET", f"/work/{job}")
        return answer.get("State", str(status))

    def runs_of(self, task: str) -> list[dict]:
        """Return the runs of a task, in the order of their starts."""
        return [run for run in self.runs if run["task"] == task]

    def overlaps(self) -> list[tuple[dict, dict]]:
        """Return the pairs of runs of one task that were there at the same time."""
        found = []
        now = time.monotonic()
        for i, one in enumerate(self.runs):
            for two in self.runs[i + 1 :]:
                if one["task"] == two["task"] and (one["end"] or now) > two["start"]:
                    if (two["end"] or now) > one["start"]:
                        found.append((one, two))
        return found

    async def stop(self) -> None:
        """End all processes, and write the record."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for task in self._tasks:
            task.cancel()
        for server in [self.store_server, *(e.server for e in self.executors)]:
            if server is not None:
                server.stop()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.work, logs, dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)


async def _play(cell: Cell, play) -> int:
    """Start a cell and play a case in it.

    :raises CannotRunError: if the cell does not start.
    """
    await cell.start()
    try:
        left_s = LIMIT_S - (time.monotonic() - cell.begun)
        found = await asyncio.wait_for(play(cell), left_s)
    except (CannotRunError, asyncio.TimeoutError) as error:
        cell.log(f"could not run: {error!r}")
        return NOT_RUN
    for line in found:
        cell.log(f"BROKEN: {line}")
    return BROKEN if found else HELD


def run_case(folder: str, play, **options) -> None:
    """Run a case and end with its exit code.

    A cell that does not start is tried again on other ports.

    :param play: coroutine function of the cell that returns the violations found.
    """
    path = Path(folder).resolve()

    async def main() -> int:
        # A request to end must not leave processes behind.
        current = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, current.cancel)
        begun = time.monotonic()
        result = NOT_RUN
        while result is NOT_RUN:
            cell = Cell(path, begun=begun, **options)
            cell.log(f"TROUBLE={int(TROUBLE)}")
            try:
                result = await _play(cell, play)
                break
            except (CannotRunError, OSError) as error:
                cell.log(f"could not start: {error!r}")
                if time.monotonic() - begun > START_AGAIN_S:
                    break
            except asyncio.CancelledError:
                cell.log("could not run: told to end")
                break
            except Exception as error:
                cell.log(f"could not run: {error!r}")
                break
            finally:
                await cell.stop()
                cell.log(f"exit code {result}")
                (path / "record.txt").write_text("\n".join(cell.lines) + "\n")
        return result

    code = asyncio.run(main())
    print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}[code])
    sys.exit(code)
