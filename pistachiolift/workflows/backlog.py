"""Declared work that waits or runs, by its place in the order."""

from bisect import bisect_right
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from operator import add, itemgetter

from ..common import CustomerId
from .fleet_capacity import FleetCapacity
from .model import PoolId, Size
from .scheduler_state import SchedulerState
from .state import JobEntry, StepEntry

__all__ = [
    "Backlog",
    "NOTHING",
    "RESOURCES",
    "Work",
    "add_work",
    "mean_duration_s",
    "task_work",
]

# Work by position: thousandths of a core, megabytes and accelerators, each times
# seconds; then a weight by which the durations of tasks are averaged, and its product
# with the duration.
Work = tuple[float, float, float, float, float]
RESOURCES = 3
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


@dataclass(frozen=True, slots=True)
class _Class:
    """Work that precedes the same jobs up to its place in the order."""

    pool_id: PoolId
    label: str
    excess: bool
    priority: int
    customer_id: CustomerId


@dataclass(slots=True)
class _Entries:
    """The waiting steps of a class and its running work."""

    steps: list[tuple[StepEntry, Work]] = field(default_factory=list)
    waiting: Work = NOTHING
    running: Work = NOTHING
    # The sort keys of the steps in ascending order, and the work up to each.
    keys: list[tuple] | None = None
    sums: list[Work] = field(default_factory=list)
    # Steps that have come since, with their keys.
    added: list[tuple[tuple, Work]] = field(default_factory=list)

    def ahead_of(self, key: tuple, order_key: OrderKey) -> Work:
        """Return the waiting work that precedes a new step with a sort key.

        Of steps with the same key, those that are known first are placed first.
        """
        if self.keys is None:
            keyed = [(order_key(step), work) for step, work in self.steps]
            keyed.sort(key=itemgetter(0))
            self.keys = [each for each, _ in keyed]
            total = NOTHING
            for _, work in keyed:
                total = add_work(total, work)
                self.sums.append(total)
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
                entries.waiting = add_work(entries.waiting, work)
        self._add_running(now_s)

    def _entries(self, job: JobEntry, label: str) -> _Entries:
        queue = job.queue
        key = _Class(queue.pool_id, label, job.excess, queue.priority, job.customer_id)
        found = self._entries_by_class.get(key)
        if found is None:
            found = self._entries_by_class[key] = _Entries()
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
        key = (pool_id, step.required_label, step.reserved, needed, step.max_per_worker)
        known = self._fits.get(key)
        if known is None:
            room = self._capacity.room_for(
                pool_id,
                step.required_label,
                step.reserved,
                most=needed,
                per_worker=step.max_per_worker,
            )
            known = self._fits[key] = room >= needed
        return known

    def _add_running(self, now_s: float) -> None:
        jobs = self._state.jobs_by_id
        for worker in self._state.workers_by_id.values():
            for (task, _), run in worker.runs.items():
                job = jobs.get(task.job_id)
                if job is None or not 0 <= task.step < len(job.graph.steps):
                    continue
                step = job.graph.steps[task.step]
                if step.long_running:
                    pool_id = job.queue.pool_id
                    held = self.held_by_pool.get(pool_id, NOTHING)
                    self.held_by_pool[pool_id] = add_work(
                        held, task_work(run.size, 1, 1.0, 0.0)
                    )
                    continue
                left_s = step.estimate_s - (now_s - run.placed_s)
                if left_s > 0:
                    entries = self._entries(job, step.required_label)
                    entries.running = add_work(
                        entries.running,
                        task_work(run.size, 1, left_s, step.estimate_s),
                    )

    def ahead_of(
        self, job: JobEntry, key: tuple, *, label: str, only_own: bool = False
    ) -> Iterator[tuple[CustomerId, Work, Work]]:
        """Return the work that precedes a job: the customer, what waits, what runs.

        Work of a lower priority does not precede a due job, whatever the order. All
        due work precedes an excess job, and so does excess work of its customer.

        :param key: sort key of the job's first step.
        :param label: label of the workers that the work needs; empty for work that can
            use all.
        :param only_own: leave out the work of other customers.
        """
        for each, entries in self._entries_by_class.items():
            if each.pool_id != job.queue.pool_id or each.label != label:
                continue
            own = each.customer_id == job.customer_id
            if only_own and not own:
                continue
            if job.excess and not each.excess:
                yield each.customer_id, entries.waiting, entries.running
                continue
            if each.priority > job.queue.priority or each.excess != job.excess:
                continue
            if job.excess and not own:
                continue
            waiting = entries.waiting
            if waiting != NOTHING:
                waiting = entries.ahead_of(key, self._order_key)
            yield each.customer_id, waiting, entries.running
