"""Declared work that waits or runs, by its place in the order."""

from bisect import bisect_right
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import accumulate
from operator import add, itemgetter
from typing import NamedTuple

from ..common import CustomerId
from .fleet_capacity import FleetCapacity
from .model import PoolId, Size
from .scheduler_state import SchedulerState
from .state import JobEntry, StepEntry

__all__ = [
    "Backlog",
    "NOTHING",
    "RESOURCES",
    "SHORTEST_SHARE",
    "Work",
    "WorkAhead",
    "add_work",
    "mean_duration_s",
    "task_work",
]

# Work by position: thousandths of a core, megabytes and accelerators, each times
# seconds; then a weight by which the durations of tasks are averaged, and its product
# with the duration.
Work = tuple[float, float, float, float, float]
RESOURCES = 3

# Declared times are wrong by up to a factor of two, so that work may take half of the
# time that is declared for it.
SHORTEST_SHARE = 0.5

NOTHING: Work = (0.0, 0.0, 0.0, 0.0, 0.0)

# Returns the sort key of a step.
OrderKey = Callable[[StepEntry], tuple]


def task_work(size: Size, count: int, left_s: float, declared_s: float) -> Work:
    """Return the work that is left of some tasks.

    :param size: resources of each task.
    :param left_s: time for which each of them still runs.
    :param declared_s: declared duration of the whole task.
    """
    core_s = size.cpu_milli * count * left_s
    # Tasks without processors count in the average as well.
    weight = (size.cpu_milli + 1) * count * declared_s
    return (
        core_s,
        size.memory_mb * count * left_s,
        size.accelerators * count * left_s,
        weight,
        weight * declared_s,
    )


def add_work(first: Work, second: Work) -> Work:
    """Return the sum of two amounts of work."""
    return tuple(map(add, first, second))


def mean_duration_s(work: Work) -> float:
    """Return the average duration of the tasks, each weighted with its work."""
    return work[4] / work[3] if work[3] else 0.0


class WorkAhead(NamedTuple):
    """Work of a customer that precedes a job.

    :param running_least: what is left of the running work, by resource, if the tasks
        take the shortest time that is likely.
    """

    customer_id: CustomerId
    waiting: Work
    running: Work
    running_least: tuple[float, ...]


class _Class(NamedTuple):
    """Work that precedes the same jobs up to its place in the order."""

    pool_id: PoolId
    label: str
    excess: bool
    priority: int
    customer_id: CustomerId


def _total(works: Iterable[Work]) -> Work:
    return tuple(map(sum, zip(*works, strict=True))) or NOTHING


@dataclass(slots=True)
class _Entries:
    """The waiting steps of a class and its running work."""

    steps: list[tuple[StepEntry, Work]] = field(default_factory=list)
    waiting: Work = NOTHING
    running: list[float] = field(default_factory=lambda: list(NOTHING))
    # What is left of it if the tasks take the shortest time that is likely.
    running_least: list[float] = field(default_factory=lambda: [0.0] * RESOURCES)
    # The sort keys of the steps in ascending order, and the work up to each.
    keys: list[tuple] | None = None
    sums: list[Work] = field(default_factory=list)
    # Steps that have come since, with their keys.
    added: list[tuple[tuple, Work]] = field(default_factory=list)

    def part(self, customer_id: CustomerId, waiting: Work) -> WorkAhead:
        """Return the running work with a part of the waiting work."""
        return WorkAhead(
            customer_id, waiting, tuple(self.running), tuple(self.running_least)
        )

    def add_run(self, size: Size, age_s: float, declared_s: float) -> None:
        """Add what is left of a run."""
        # The sum of :func:`add_work`, without a new tuple for each run.
        left_s = declared_s - age_s
        weight = (size.cpu_milli + 1) * declared_s
        total = self.running
        total[0] += size.cpu_milli * left_s
        total[1] += size.memory_mb * left_s
        total[2] += size.accelerators * left_s
        total[3] += weight
        total[4] += weight * declared_s
        left_s = SHORTEST_SHARE * declared_s - age_s
        if left_s > 0:
            least = self.running_least
            least[0] += size.cpu_milli * left_s
            least[1] += size.memory_mb * left_s
            least[2] += size.accelerators * left_s

    def ahead_of(self, key: tuple, order_key: OrderKey) -> Work:
        """Return the waiting work that precedes a new step with a sort key.

        Of steps with the same key, those that are known first are placed first.
        """
        if self.keys is None:
            keyed = [(order_key(step), work) for step, work in self.steps]
            keyed.sort(key=itemgetter(0))
            self.keys = [each for each, _ in keyed]
            columns = zip(*(work for _, work in keyed), strict=True)
            self.sums = list(zip(*map(accumulate, columns), strict=True))
        position = bisect_right(self.keys, key)
        ahead = self.sums[position - 1] if position else NOTHING
        for each, work in self.added:
            if each <= key:
                ahead = add_work(ahead, work)
        return ahead


class Backlog:
    """The work that waits or runs at one moment, as declared.

    It holds only work that certainly needs room in its pool: steps that wait for
    advice, for a worker that can hold them or for an end of their isolation are left
    out, as are long-running tasks. The sort keys are calculated when they are needed.

    :param order_key: returns the sort key of a step.
    """

    def __init__(
        self,
        state: SchedulerState,
        capacity: FleetCapacity,
        order_key: OrderKey,
        *,
        now_s: float,
    ):
        self.taken_s = now_s
        self._state = state
        self._capacity = capacity
        self._order_key = order_key
        self._entries_by_class: dict[_Class, _Entries] = {}
        self._fits: dict[tuple, bool] = {}
        # Work that long-running tasks do in each second.
        self.held_by_pool: dict[PoolId, Work] = {}
        for step in state.open_steps.values():
            work = self._work_of(step)
            if work is not None:
                entries = self._entries(step.job, step.step.required_label)
                entries.steps.append((step, work))
        for entries in self._entries_by_class.values():
            entries.waiting = _total(work for _, work in entries.steps)
        self._add_running(now_s)

    def _entries(self, job: JobEntry, label: str) -> _Entries:
        queue = job.queue
        # A plain tuple equals the named one and is made in less time.
        key = (queue.pool_id, label, job.excess, queue.priority, job.customer_id)
        found = self._entries_by_class.get(key)
        if found is None:
            found = self._entries_by_class[_Class(*key)] = _Entries()
        return found

    def add_job(self, job: JobEntry) -> None:
        """Add the first steps of a job that has been accepted since."""
        for occurrence in job.occurrences[:1]:
            for step in occurrence.steps:
                work = None if step.step.after else self._work_of(step)
                if work is not None:
                    entries = self._entries(job, step.step.required_label)
                    entries.added.append((self._order_key(step), work))
                    entries.waiting = add_work(entries.waiting, work)

    def _work_of(self, entry: StepEntry) -> Work | None:
        """Return the work of a step's waiting tasks, ``None`` if it does not count."""
        step, job = entry.step, entry.job
        count = len(entry.waiting)
        if (
            step.long_running
            or job.graph.occurrences
            or job.queue.advice is not None
            or entry.isolated
            or (step.gang and count != step.count)
            or not self._fits_somewhere(entry)
        ):
            return None
        return task_work(step.reserved, count, step.estimate_s, step.estimate_s)

    def _fits_somewhere(self, entry: StepEntry) -> bool:
        step, pool_id = entry.step, entry.job.queue.pool_id
        needed = step.count if step.gang else 1
        size, label = step.size, step.required_label
        limit = step.max_per_worker
        key = (
            *(pool_id, label, needed, limit, step.fills),
            *(size.cpu_milli, size.memory_mb, size.accelerators),
        )
        known = self._fits.get(key)
        if known is None:
            room = self._capacity.room_for(
                pool_id, label, step.reserved, most=needed, per_worker=limit
            )
            known = self._fits[key] = room >= needed
        return known

    def _add_running(self, now_s: float) -> None:
        jobs = self._state.jobs_by_id
        for worker in self._state.workers_by_id.values():
            for run in worker.runs.values():
                task = run.task
                job = jobs.get(task.job_id)
                if job is None or not 0 <= task.step < len(job.graph.steps):
                    continue
                step = job.graph.steps[task.step]
                if step.long_running:
                    self._add_held(job.queue.pool_id, run.size)
                    continue
                age_s = now_s - run.placed_s
                if age_s < step.estimate_s:
                    entries = self._entries(job, step.required_label)
                    entries.add_run(run.size, age_s, step.estimate_s)

    def _add_held(self, pool_id: PoolId, size: Size) -> None:
        held = self.held_by_pool.get(pool_id, NOTHING)
        self.held_by_pool[pool_id] = add_work(held, task_work(size, 1, 1.0, 0.0))

    def ahead_of(
        self, job: JobEntry, key: tuple, *, label: str | None, only_own: bool = False
    ) -> Iterator[WorkAhead]:
        """Return the work that precedes a job.

        Work of a lower priority does not precede a due job, whatever the order. All
        due work precedes an excess job, and so does excess work of its customer.

        :param key: sort key of the job's first step.
        :param label: label of the workers that the work needs; empty for work that can
            use all, ``None`` for both.
        :param only_own: leave out the work of other customers.
        """
        for each, entries in self._entries_by_class.items():
            if each.pool_id != job.queue.pool_id:
                continue
            if label is not None and each.label != label:
                continue
            own = each.customer_id == job.customer_id
            if only_own and not own:
                continue
            if job.excess and not each.excess:
                yield entries.part(each.customer_id, entries.waiting)
                continue
            if each.priority > job.queue.priority or each.excess != job.excess:
                continue
            if job.excess and not own:
                continue
            waiting = entries.waiting
            if waiting != NOTHING:
                waiting = entries.ahead_of(key, self._order_key)
            yield entries.part(each.customer_id, waiting)
