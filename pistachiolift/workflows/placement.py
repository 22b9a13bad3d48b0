"""Selects workers for tasks and for gangs."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from ..common import RackId, WorkerHealth, WorkerId
from .state import StepEntry, WorkerEntry

__all__ = [
    "GangPlan",
    "WorkerChoice",
    "below_limit",
    "could_place",
    "count_room",
    "count_tasks",
    "eligible_workers",
    "plan_gang",
    "room_for_step",
    "with_required_label",
]

# A ticket with less remaining lifetime could expire before it reaches the worker.
TICKET_MARGIN_S = 0.06

# A worker on which this many jobs have failed since its last success is used only if
# no other fits. A job may also fail by its own fault; the next success of a task there
# clears the suspicion.
SUSPECT_FAILED_JOBS = 1


@dataclass(frozen=True, slots=True)
class GangPlan:
    """Placement of a gang.

    :param worker_ids: worker of each task in order; empty if the gang does not fit now.
    :param wanted: workers to keep free for the gang until it fits.
    """

    worker_ids: tuple[WorkerId, ...] = ()
    wanted: frozenset[WorkerId] = frozenset()


def eligible_workers(
    step: StepEntry, usable_by_id: Mapping[WorkerId, WorkerEntry], now_s: float
) -> list[WorkerEntry]:
    """Return the workers with the required label and, if needed, a valid ticket.

    :param usable_by_id: usable workers of the queue's pool.
    """
    if step.job.queue.advice is None:
        found = list(usable_by_id.values())
    else:
        # Iterates over the tickets, because few of the workers have one.
        found = [
            usable_by_id[worker_id]
            for worker_id, (_, end_s) in step.tickets_by_worker.items()
            if end_s - TICKET_MARGIN_S > now_s and worker_id in usable_by_id
        ]
    return with_required_label(step, found)


def with_required_label(
    step: StepEntry, workers: list[WorkerEntry]
) -> list[WorkerEntry]:
    """Return the workers that have the label that the step requires, if any."""
    label = step.step.required_label
    if not label:
        return workers
    return [entry for entry in workers if label in entry.worker.labels]


def count_tasks(step: StepEntry, entry: WorkerEntry) -> int:
    """Return how many tasks of the step are on the worker."""
    return sum(1 for task, _ in entry.runs if task.step_key == step.key)


def below_limit(step: StepEntry, entry: WorkerEntry) -> bool:
    """Whether the step's limit of tasks on one worker allows another one there."""
    limit = step.step.max_per_worker
    return not limit or count_tasks(step, entry) < limit


def room_for_step(step: StepEntry, entry: WorkerEntry) -> int:
    """Return how many more tasks of the step fit on the worker."""
    probes_since_s = entry.probes_since_s
    probes = probes_since_s is not None
    if entry.isolated or (probes and not _may_probe(step, entry, probes_since_s)):
        return 0
    room = entry.room_for(step.step.reserved)
    if room and step.step.max_per_worker:
        room = min(room, step.step.max_per_worker - count_tasks(step, entry))
    return max(0, min(room, 1) if probes and not step.step.gang else room)


def _may_probe(step: StepEntry, entry: WorkerEntry, since_s: float) -> bool:
    """Whether a task of the step may show if a suspected worker works again.

    It may fail or stand still, which would cost a gang or an urgent job most. They are
    the probe, a gang with any number of members, if there was no other for a while.
    """
    if any(run.placed_s >= since_s for run in entry.runs.values()):
        return False
    if step.step.gang or entry.probe_urgent:
        return entry.probe_urgent
    failed = max(map(len, step.failed_runs_by_index.values()), default=0)
    attempts = step.job.queue.max_failures - failed
    return step.job.queue.priority > 0 and attempts > 1


def count_room(step: StepEntry, workers: Iterable[WorkerEntry]) -> int:
    """Return how many more tasks of the step fit on the workers together."""
    return sum(
        room_for_step(step, entry) for entry in with_required_label(step, list(workers))
    )


def could_place(step: StepEntry, workers: list[WorkerEntry]) -> bool:
    """Whether a task, or a gang as a whole, fits on the workers once they are empty."""
    workers = with_required_label(step, workers)
    if step.step.gang:
        return bool(_find_workers_to_hold(step, workers))
    size = step.step.reserved
    return any(entry.worker.capacity.holds(size) for entry in workers)


class WorkerChoice:
    """Chooses the workers of a step's single tasks, one after the other.

    Prefers, in this order, workers on which the task has not failed, workers that are
    not suspected of failing all tasks, workers on the rack of the data, fast workers,
    and workers with little free capacity, so that whole workers stay free for gangs.

    The preferred workers are kept in a heap, since a placement changes one of them.

    :param workers: workers that the step may use.
    """

    def __init__(
        self, step: StepEntry, workers: list[WorkerEntry], health: WorkerHealth
    ):
        self._step = step
        self._workers = workers
        self._health = health
        self._heap: list[tuple] = []
        # The item of the worker that the last task was placed on.
        self._last: tuple | None = None
        if not step.step.fills:
            self._heap = [
                self._item(order, entry)
                for order, entry in enumerate(workers)
                if room_for_step(step, entry)
            ]
            heapify(self._heap)

    def _item(self, order: int, entry: WorkerEntry) -> tuple:
        near = self._step.step.data_rack
        return (
            _is_suspect(self._health, entry),
            bool(near) and entry.worker.rack != near,
            entry.speed.bucket,
            entry.free_cpu_milli,
            order,
            entry,
        )

    def choose(self, index: int) -> WorkerEntry | None:
        """Return the worker for a task, or ``None`` if it fits nowhere.

        :param index: index of the task; it must be placed before the next call.
        """
        if self._step.step.fills:
            return _choose_for_fill(self._step, self._workers)
        self._return_last()
        avoided = []
        failed_on = self._step.failed_on_by_index.get(index, ())
        if self._step.is_last_attempt(index):
            return self._choose_safe()
        while self._heap and self._heap[0][-1].worker_id in failed_on:
            avoided.append(heappop(self._heap))
        if self._heap:
            self._last = heappop(self._heap)
        elif avoided:
            self._last = avoided.pop(0)
        for item in avoided:
            heappush(self._heap, item)
        return None if self._last is None else self._last[-1]

    def _choose_safe(self) -> WorkerEntry | None:
        """Return the best worker on which no task has failed lately."""
        avoided = []
        while self._heap and self._heap[0][-1].risky:
            avoided.append(heappop(self._heap))
        if self._heap:
            self._last = heappop(self._heap)
        for item in avoided:
            heappush(self._heap, item)
        return None if self._last is None else self._last[-1]

    def _return_last(self) -> None:
        """Return the worker that got the last task to the heap, if it has room."""
        if self._last is None:
            return
        *_, order, entry = self._last
        self._last = None
        if room_for_step(self._step, entry):
            heappush(self._heap, self._item(order, entry))


def _is_suspect(health: WorkerHealth, entry: WorkerEntry) -> bool:
    return (
        entry.probes_since_s is not None
        or entry.suspect
        or health.failing_job_count(entry.worker_id) >= SUSPECT_FAILED_JOBS
    )


def _choose_for_fill(step: StepEntry, workers: list[WorkerEntry]) -> WorkerEntry | None:
    """Return the worker with the most unreserved processor time for each fill."""
    fitting = [entry for entry in workers if room_for_step(step, entry)]
    return max(
        fitting,
        key=lambda entry: (
            entry.free_cpu_milli / (1 + _count_fills(entry)),
            -_count_fills(entry),
        ),
        default=None,
    )


def _count_fills(entry: WorkerEntry) -> int:
    return sum(1 for run in entry.runs.values() if not run.size.cpu_milli)


def plan_gang(
    step: StepEntry,
    workers: list[WorkerEntry],
    blocked: frozenset[WorkerId],
    health: WorkerHealth,
) -> GangPlan:
    """Place all tasks of a gang, or choose the workers to keep free for it.

    :param workers: workers on which the gang may run.
    :param blocked: workers kept free for more urgent gangs.
    """
    groups = [workers]
    if step.step.same_rack:
        by_rack: dict[RackId, list[WorkerEntry]] = {}
        for entry in workers:
            by_rack.setdefault(entry.worker.rack, []).append(entry)
        near = step.step.data_rack
        groups = [
            by_rack[rack] for rack in sorted(by_rack, key=lambda rack: rack != near)
        ]
    wanted: frozenset[WorkerId] = frozenset()
    for group in groups:
        open_workers = [entry for entry in group if entry.worker_id not in blocked]
        chosen = _assign_tasks(step, open_workers, health)
        if chosen:
            return GangPlan(worker_ids=chosen)
        wanted = wanted or _find_workers_to_hold(step, open_workers)
    if step.step.same_rack and not wanted:
        # The gang fits on no single rack; it runs across racks, although slower.
        open_workers = [entry for entry in workers if entry.worker_id not in blocked]
        return GangPlan(
            worker_ids=_assign_tasks(step, open_workers, health),
            wanted=_find_workers_to_hold(step, open_workers),
        )
    return GangPlan(wanted=wanted)


def _assign_tasks(
    step: StepEntry, workers: list[WorkerEntry], health: WorkerHealth
) -> tuple[WorkerId, ...]:
    """Return a worker for each task, or an empty tuple if they do not all fit.

    A failed member ends the whole gang, so the workers that are least likely to fail
    are used first.
    """
    room = [(entry, room_for_step(step, entry)) for entry in workers]
    if sum(count for _, count in room) < step.step.count:
        return ()
    near = step.step.data_rack
    failed_on = set().union(*step.failed_on_by_index.values())
    room.sort(
        key=lambda item: (
            item[0].worker_id in failed_on,
            _is_suspect(health, item[0]),
            bool(near) and item[0].worker.rack != near,
            item[0].speed.bucket,
            -item[1],
        )
    )
    chosen: list[WorkerId] = []
    for entry, count in room:
        missing = step.step.count - len(chosen)
        chosen += [entry.worker_id] * min(count, missing)
        if len(chosen) == step.step.count:
            return tuple(chosen)
    return ()


def _find_workers_to_hold(
    step: StepEntry, workers: list[WorkerEntry]
) -> frozenset[WorkerId]:
    """Return workers that can hold the gang once they are empty.

    Workers with the most free processors come first; none are returned if the gang
    does not fit on all of them.
    """
    size = step.step.size
    limit = step.step.max_per_worker
    by_free = sorted(workers, key=lambda entry: -entry.free_cpu_milli)
    wanted: list[WorkerId] = []
    held = 0
    for entry in by_free:
        capacity = entry.worker.capacity
        counts = [limit] if limit else []
        if size.cpu_milli:
            counts.append(capacity.cpu_milli // size.cpu_milli)
        if size.memory_mb:
            counts.append(capacity.memory_mb // size.memory_mb)
        if size.accelerators:
            counts.append(capacity.accelerators // size.accelerators)
        count = min(counts, default=step.step.count)
        if count < 1:
            continue
        wanted.append(entry.worker_id)
        held += count
        if held >= step.step.count:
            return frozenset(wanted)
    return frozenset()
