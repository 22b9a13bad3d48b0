"""How long the work ahead of a job fills the workers."""

from collections.abc import Callable, Iterator

import msgspec

from ..common import CustomerId
from .backlog import (
    NOTHING,
    RESOURCES,
    SHORTEST_SHARE,
    WorkAhead,
    add_work,
    mean_duration_s,
    task_work,
)
from .model import Size
from .state import JobEntry
from .urgency import critical_path_s

__all__ = [
    "WaitEstimate",
    "amounts",
    "estimate_waits",
    "least_duration_s",
]


class WaitEstimate(msgspec.Struct, frozen=True):
    """How long the work ahead of a job occupies its pool, by the scarcest resource.

    :param least_s: shortest time until there is room for the job.
    :param expected_s: the same if all declared times are right.
    """

    least_s: float = 0.0
    expected_s: float = 0.0
    ahead_s: float = 0.0
    running_s: float = 0.0


def estimate_waits(
    parts: list[WorkAhead],
    needed: tuple[int, ...],
    capacity: tuple[float, ...],
    *,
    limit_of: Callable[[CustomerId, int], float] = lambda customer_id, index: 0.0,
    age_s: float,
) -> Iterator[WaitEstimate]:
    """Return how long the work ahead fills each resource that a job needs.

    :param parts: work ahead of the job.
    :param needed: amounts that a task of the job needs, by resource.
    :param capacity: amounts that the workers have, by resource.
    :param limit_of: returns the most work of a customer that counts, for a resource, as
        the rest does not keep others from starting; 0 for no limit.
    :param age_s: age of the totals; some of the work may have been done since.
    """
    used = NOTHING
    for part in parts:
        used = add_work(add_work(used, part.waiting), part.running)
    # When the job starts, tasks ahead of it still run, on average for half of
    # their durations.
    overlap_s = mean_duration_s(used) / 2
    for index in range(RESOURCES):
        waiting_work = sum(part.waiting[index] for part in parts)
        if not needed[index] or not waiting_work:
            # Room may become free at any time.
            continue
        least = 0.0
        for part in parts:
            counted = SHORTEST_SHARE * part.waiting[index]
            limit = limit_of(part.customer_id, index)
            if limit:
                counted = min(counted, limit)
            least += counted + part.running_least[index]
        running_work = sum(part.running[index] for part in parts)
        least_s = _time_s(least, capacity[index]) - SHORTEST_SHARE * overlap_s
        expected_s = _time_s(waiting_work + running_work, capacity[index])
        yield WaitEstimate(
            max(0.0, least_s - age_s),
            max(0.0, expected_s - overlap_s - age_s),
            _time_s(waiting_work, capacity[index]),
            _time_s(running_work, capacity[index]),
        )


def amounts(size: Size) -> tuple[int, int, int]:
    """Return the amounts of the resources by position."""
    return size.cpu_milli, size.memory_mb, size.accelerators


def least_duration_s(job: JobEntry, capacity: tuple[int, ...]) -> float:
    """Return the declared duration of a job that has all workers of its pool."""
    work = NOTHING
    for step in job.graph.steps:
        declared_s = step.estimate_s
        own = task_work(step.reserved, step.count, declared_s, declared_s)
        work = add_work(work, own)
    waves = [_time_s(work[index], capacity[index]) for index in range(RESOURCES)]
    return max(critical_path_s(job), *waves)


def _time_s(work: float, capacity: float) -> float:
    """Return the time that work takes on a capacity; 0 for no work."""
    if not work:
        return 0.0
    return work / capacity if capacity > 0 else float("inf")
