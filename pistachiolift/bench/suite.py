"""All measurements by name."""

from collections.abc import Callable

import msgspec

from .entry_cpu import measure_cpu
from .footprint import measure_memory
from .owner_load import SCHEDULER_US_PER_RUN_TARGET, measure_owner_load
from .placement import (
    DECISION_P99_TARGET_S,
    DECISIONS_PER_S_TARGET,
    GROWTH_TARGET,
    PACKING_TARGET,
    measure_decisions,
    measure_growth,
    measure_packing,
)
from .queueing import measure_flood_waits, measure_goodput, measure_shares
from .report import Measure
from .start import START_TARGET_S, measure_start
from .store_calls import measure_store_calls
from .takeover import measure_ownership, measure_requests_under_faults
from .waits import measure_waits

__all__ = ["MEASUREMENTS", "Measurement"]


class Measurement(msgspec.Struct, frozen=True, kw_only=True):
    """A named measurement; ``run`` takes the seed."""

    description: str
    run: Callable[..., list[Measure]]


def _placement(*, seed: int) -> list[Measure]:
    # A tenth of the workers is the baseline: it has no search through a fleet.
    small = measure_decisions(10, seed=seed)
    result = measure_decisions(seed=seed)
    return [
        Measure(
            name="placement",
            measure=f"placement decision, {result.workers} workers, "
            f"{result.running_tasks} tasks",
            value=f"p99 {1000 * result.p99_s:.3f} ms, "
            f"{result.decisions_per_s:.0f} decisions/s",
            baseline=f"{small.workers} workers: p99 {1000 * small.p99_s:.3f} ms, "
            f"{small.decisions_per_s:.0f} decisions/s",
            target=f"p99 below {1000 * DECISION_P99_TARGET_S:.0f} ms, "
            f"{DECISIONS_PER_S_TARGET:.0f} decisions/s",
            met=result.met,
            figures=msgspec.structs.asdict(result),
        )
    ]


def _growth(*, seed: int) -> list[Measure]:
    result = measure_growth(seed=seed)
    return [
        Measure(
            name="growth",
            measure=f"decision cost, {result.large.workers} workers",
            value=f"{result.ratio:.2f} times",
            baseline=f"{result.small.workers} workers: "
            f"{1e6 * result.small.mean_s:.0f} us",
            target=f"below {GROWTH_TARGET:.0f} times",
            met=result.met,
            figures={"large_us": 1e6 * result.large.mean_s},
        )
    ]


def _flood(*, seed: int) -> list[Measure]:
    ours = measure_flood_waits("fair", with_admission=True, seed=seed)
    fifo = measure_flood_waits("fifo", seed=seed)
    return [
        Measure(
            name="flood",
            measure="waiting time of check-ins, p99, flood at 10 times the capacity, "
            "virtual time",
            value=f"{ours.with_flood_ms:.1f} ms",
            baseline=f"without flood {ours.without_flood_ms:.1f} ms; first in, first "
            f"out {fifo.with_flood_ms:.0f} ms",
            target=f"at most {ours.limit_ms:.0f} ms",
            met=ours.meets_target,
        )
    ]


def _shares(*, seed: int) -> list[Measure]:
    ours = measure_shares("fair", seed=seed)
    strict = measure_shares("strict_priority", seed=seed)
    return [
        Measure(
            name="shares",
            measure="lowest kept share of slots divided by its minimum",
            value=f"{ours.lowest_ratio:.3f}",
            baseline=f"strict priority {strict.lowest_ratio:.3f}",
            target="0.95 or more",
            met=ours.meets_target,
            figures={u.value: s for u, s in ours.shares_by_urgency.items()},
        )
    ]


def _goodput(*, seed: int) -> list[Measure]:
    ours = measure_goodput("fair", with_admission=True, seed=seed)
    fifo = measure_goodput("fifo", with_admission=False, seed=seed)
    return [
        Measure(
            name="goodput",
            measure="goodput at 3 times overload divided by that at full load",
            value=f"{ours.ratio:.3f}",
            baseline=f"first in, first out {fifo.ratio:.3f}",
            target="0.95 or more",
            met=ours.meets_target,
        )
    ]


def _packing(*, seed: int) -> list[Measure]:
    result = measure_packing()
    used = result.used_by_policy
    shares = ", ".join(
        f"{name} {used[name]:.3f}" for name in ("first_fit", "best_fit", "dot_product")
    )
    return [
        Measure(
            name="packing",
            measure="packing of 24 workers, worst ratio to the best baseline",
            value=f"{result.worst_ratio:.3f} (mean share in use {used['batch']:.3f})",
            baseline=f"{shares}, bound {result.bound:.3f}",
            target=f"{PACKING_TARGET} or more",
            met=result.met,
            figures={"streams": result.streams},
        )
    ]


def _ownership(*, seed: int) -> list[Measure]:
    rows = measure_ownership(seed=seed)
    return [*rows, *measure_requests_under_faults(seed=seed)]


def _owner(*, seed: int) -> list[Measure]:
    small = measure_owner_load(seed=seed, workers=44)
    result = measure_owner_load(seed=seed)
    return [
        Measure(
            name="owner",
            measure=f"processor time of the scheduler for each run, {result.workers} "
            f"workers, {result.runs} runs",
            value=f"{result.us_per_run:.0f} us",
            baseline=f"{small.workers} workers under the same load: "
            f"{small.us_per_run:.0f} us",
            target=f"at most {SCHEDULER_US_PER_RUN_TARGET:.0f} us",
            met=result.met,
            figures={"passes": result.passes, "processor_s": result.processor_s},
        )
    ]


def _start(*, seed: int) -> list[Measure]:
    result = measure_start()
    return [
        Measure(
            name="start",
            measure="processor time to load the program of 'node'",
            value=f"{result.processor_s:.2f} s, {result.memory_mb:.0f} MB",
            baseline=f"an interpreter that loads nothing: {result.interpreter_s:.2f} s",
            target=f"at most {START_TARGET_S} s",
            met=result.met,
        )
    ]


MEASUREMENTS = {
    name: Measurement(description=description, run=run)
    for name, description, run in (
        ("placement", "time of a placement decision", _placement),
        ("growth", "decision cost against the number of workers", _growth),
        ("cpu", "CPU time of serve processes per request", measure_cpu),
        ("flood", "waits of check-ins in a flood, virtual time", _flood),
        ("waits", "waits of check-ins in a flood, real processes", measure_waits),
        ("shares", "shares of slots in a flood of urgent work", _shares),
        ("goodput", "useful work at 3 times overload", _goodput),
        ("packing", "packing of large, heterogeneous tasks", _packing),
        ("store", "store calls per request and per task start", measure_store_calls),
        ("memory", "memory and control traffic of serve", measure_memory),
        ("ownership", "time without an owner; requests under faults", _ownership),
        ("owner", "processor time of an owner on the users' platform", _owner),
        ("start", "processor time of a start of 'node'", _start),
    )
}
