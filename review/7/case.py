"""Some orders are carried out late, after the executor has crashed and started again.

With ``TROUBLE=0`` no order is delayed and no executor crashes.
"""

import itertools
import json
import os
import sys
import threading
import time
import traceback
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from cell import STANDINS, CaseError, Cell, find_twice, free_ports  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# applied_late on olts-lagos: x = 0.067, for_s = 5.5, and 2 to 12 s of delay.
EVERY = 16
LATE_S = 5.5
DELAY_S = 2.5
CALM_S = 4.0
WINDOWS = 6
# One executor of eight at a time is below the share of srv_crash, 0.14.
EXECUTORS = 8
DOWN_S = 0.2
CRASH_EVERY_S = 1.1
WORK_MS = 900
TASKS = 6
JOB_INTERVAL_S = 0.25


class LateCell(Cell):
    """A cell with a proxy before each executor."""

    def start_proxies(self) -> None:
        """Start the proxies; the directory names their ports."""
        self.controls = {}
        for name in self.names:
            (self.controls[name],) = free_ports(1)
            options = {
                "listen": self.spare_ports[name],
                "backend": self.executor_ports[name],
                "control": self.controls[name],
                "every": EVERY,
                "delay_s": DELAY_S,
            }
            self.advertised[name] = self.spare_ports[name]
            self.spawn(
                f"proxy-{name}", [str(STANDINS / "proxy.py"), json.dumps(options)]
            )

    def start_executor(self, name: str, **options) -> None:
        """Start an executor, behind its proxy."""
        if not hasattr(self, "controls"):
            self.start_proxies()
        super().start_executor(name, **options)

    def delay(self, on: bool) -> None:
        """Begin or end to delay orders."""
        self.record(f"one of {EVERY} orders is delayed: {on}")
        for name, port in self.controls.items():
            if self.request(port, "POST", "/", {"on": on})[0] != 200:
                raise CaseError(f"proxy of {name} does not answer")

    def delayed(self) -> list[str]:
        """Return the orders that were delayed."""
        found = []
        for port in self.controls.values():
            found += self.request(port, "GET", "/")[1].get("delayed", [])
        return found


def submit_jobs(cell: Cell, stop: threading.Event, accepted: list[str]) -> None:
    """Hand in jobs."""
    for number in itertools.count():
        if stop.wait(JOB_INTERVAL_S):
            return
        job = f"{number + 1:016x}"
        for attempt in range(5):
            node = (number + attempt) % cell.nodes
            status = cell.submit(node, job, WORK_MS, count=TASKS, cpu=2000)
            if status == 200:
                accepted.append(job)
                break


def trouble(cell: LateCell) -> None:
    """Delay orders for a while, again and again, and crash executors meanwhile."""
    names = itertools.cycle(cell.names)
    for _ in range(WINDOWS):
        cell.delay(True)
        end = time.monotonic() + LATE_S
        while time.monotonic() < end - 0.9:
            name = next(names)
            cell.start_executor(name, standby=True)
            time.sleep(CRASH_EVERY_S - DOWN_S)
            cell.replace_executor(name, DOWN_S)
        time.sleep(max(0.0, end - time.monotonic()))
        cell.delay(False)
        time.sleep(CALM_S)


def run() -> int:
    """Run the case; the exit status."""
    with LateCell(FOLDER, nodes=3, executors=EXECUTORS, cpu=32000) as cell:
        stop, accepted = threading.Event(), []
        clients = threading.Thread(target=submit_jobs, args=(cell, stop, accepted))
        time.sleep(2.0)
        clients.start()
        time.sleep(2.0)
        if TROUBLE:
            trouble(cell)
        else:
            time.sleep(WINDOWS * (LATE_S + CALM_S))
        stop.set()
        clients.join()
        time.sleep(5.0)
        broken = find_twice(cell.events(), cell.begun)
        for order in cell.delayed():
            cell.record(f"delayed order: {order}")
        cell.write_events()
        cell.record(f"{len(accepted)} jobs accepted")
        for line in broken:
            cell.record(f"TWICE {line}")
        cell.record("rule broken" if broken else "rule held")
        if not accepted:
            return 2
        return 1 if broken else 0


if __name__ == "__main__":
    try:
        sys.exit(run())
    except (CaseError, OSError):
        traceback.print_exc()
        sys.exit(2)
