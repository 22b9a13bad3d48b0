"""A leader freezes while its starts are on their way, and executors start again."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.cell import TROUBLE, CannotRunError, run_case

JOB = "0000000000000501"
COUNT = 24
# The first run of each task ends `failed` after this time, a later one lasts.
FAIL_S = 1.0
LAST_S = 30.0
FROZEN_S = 4.0
CRASHED = 3
CRASH_AT_S = 2.6
# The executors are back this long before the leader wakes.
BACK_BEFORE_S = 0.02
WATCH_S = 6.0


async def play(cell) -> list[str]:
    # Both ways between two zones take 9 ms.
    cell.way_back_s = 0.009
    steps = [
        {
            "Count": COUNT,
            "Cpu": 4000,
            "MemMb": 4000,
            "EstimateMs": 1000,
            "MaxPerServer": 1,
        }
    ]
    leader = cell.leader()
    spec = {"ms": LAST_S * 1000, "first": {"ms": FAIL_S * 1000, "how": "failed"}}
    submitted = asyncio.ensure_future(cell.submit((leader + 1) % 9, JOB, spec, steps))
    while not cell.runs:
        if submitted.done() and submitted.exception():
            raise CannotRunError("the job is not accepted")
        await asyncio.sleep(0.0005)
    frozen_at = cell.runs[0]["start"]
    await asyncio.sleep(0.005)
    if TROUBLE:
        cell.freeze_daemon(leader)
    await asyncio.sleep(frozen_at + CRASH_AT_S - time.monotonic())
    # Not neighbours, which run each other's tasks by then.
    crashed = cell.executors[: 2 * CRASHED : 2]
    if TROUBLE:
        for executor in crashed:
            executor.crash(dark=True)
    await asyncio.sleep(frozen_at + FROZEN_S - BACK_BEFORE_S - time.monotonic())
    if TROUBLE:
        for executor in crashed:
            await executor.start(first_beat_s=0.5)
            cell.log(f"{executor.id} starts again")
    await asyncio.sleep(frozen_at + FROZEN_S - time.monotonic())
    if TROUBLE:
        cell.thaw_daemon(leader)
    await asyncio.sleep(WATCH_S)
    return [
        f"TWICE: {one['task']}: run {one['run']} with fence {one['fence']} on"
        f" {one['executor']} and run {two['run']} with fence {two['fence']} on"
        f" {two['executor']} at the same time"
        for one, two in cell.overlaps()
    ]


run_case(str(Path(__file__).parent), play)
