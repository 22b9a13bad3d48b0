"""The store is down while tasks of a service end `done` and must be restarted."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.cell import TROUBLE, CannotRunError, run_case

JOB = "00000000000000b1"
COUNT = 4
# The tasks of the service exit after this time.
EXIT_S = 4.0
# The outage begins before the first exit.
BEFORE_EXIT_S = 0.2
OUTAGE_S = 1.9
WATCH_S = 12.0


async def play(cell) -> list[str]:
    steps = [
        {
            "Count": COUNT,
            "Cpu": 4000,
            "MemMb": 4000,
            "EstimateMs": 1000,
            "LongRunning": True,
        }
    ]
    await cell.submit(0, JOB, {"ms": EXIT_S * 1000, "how": "done"}, steps)

    async def all_run():
        return len(cell.runs) == COUNT

    if not await cell.holds(all_run, EXIT_S / 2):
        raise CannotRunError("the tasks have not started in time")
    outage_at = cell.runs[0]["start"] + EXIT_S - BEFORE_EXIT_S
    await asyncio.sleep(outage_at - time.monotonic())
    if TROUBLE:
        cell.store.mode = "busy"
        cell.log("the store is down")
    await asyncio.sleep(OUTAGE_S)
    if TROUBLE:
        cell.store.mode = "up"
        cell.log("the store is back")
    await asyncio.sleep(WATCH_S)
    return [
        f"TWICE: {one['task']}: run {one['run']} on {one['executor']} and run"
        f" {two['run']} on {two['executor']} at the same time"
        for one, two in cell.overlaps()
    ]


run_case(str(Path(__file__).parent), play)
