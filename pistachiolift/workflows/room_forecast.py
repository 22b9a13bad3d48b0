"""Forecast of the room that appears on workers if nothing is stopped."""

from heapq import heappop, heappush
from itertools import count

from ..common import WorkerId
from .forecast import forecast_run
from .model import Size, TaskRunStatus
from .placement import count_tasks
from .scheduler_state import SchedulerState
from .state import StepEntry, TaskRun, WorkerEntry

__all__ = ["STOP_S", "RoomForecast", "rest_s"]

# Time from the decision to stop a run until its worker has room: the stop, the end of
# the task and the report of the end take one tenth of a second each at most.
STOP_S = 0.3


def rest_s(run: TaskRun, step: StepEntry, worker: WorkerEntry, now_s: float) -> float:
    """Return the expected time until a run ends and its worker has room, in seconds."""
    if run.status is TaskRunStatus.STOPPING:
        return STOP_S
    return forecast_run(run, step, worker, now_s).rest_s


class _Timeline:
    """Free room of a worker, and the expected ends of its runs up to a time.

    :param contended: whether other work takes the room of each run that ends, so that
        only the room of one end adds to what is free now.
    """

    __slots__ = (
        "_first_s_by_size",
        "accelerators",
        "contended",
        "cpu_milli",
        "ends",
        "memory_mb",
        "since_s",
    )

    def __init__(
        self,
        state: SchedulerState,
        entry: WorkerEntry,
        now_s: float,
        *,
        until_s: float,
        contended: bool,
    ):
        capacity = entry.worker.capacity
        self.contended = contended
        self.cpu_milli = capacity.cpu_milli - entry.used_cpu_milli
        self.memory_mb = capacity.memory_mb - entry.used_memory_mb
        self.accelerators = capacity.accelerators - entry.used_accelerators
        # Time from which on the free room is there.
        self.since_s = now_s
        self.ends: list[tuple[float, Size]] = []
        self._first_s_by_size: dict[Size, float | None] = {}
        for run in entry.runs.values():
            step = state.step_of(run.task)
            if step is None or step.step.long_running:
                continue
            end_s = now_s + rest_s(run, step, entry, now_s)
            if end_s <= until_s:
                self.ends.append((end_s, run.size))
        self.ends.sort(key=_end_s)

    def first_fit(self, size: Size) -> float | None:
        """Return the first monotonic time at which a size fits, if there is one."""
        known = self._first_s_by_size
        if size not in known:
            found = self._find(size)
            known[size] = None if found is None else found[0]
        return known[size]

    def take(self, size: Size) -> None:
        """Use the room that appears first."""
        self._first_s_by_size.clear()
        self.since_s, released, self.ends = self._find(size)
        for each in (*released, size):
            sign = -1 if each is size else 1
            self.cpu_milli += sign * each.cpu_milli
            self.memory_mb += sign * each.memory_mb
            self.accelerators += sign * each.accelerators

    def _find(self, size: Size) -> tuple[float, list[Size], list] | None:
        """Return the time of the first fit, what has ended then and the later ends."""
        cpu_milli = self.cpu_milli - size.cpu_milli
        memory_mb = self.memory_mb - size.memory_mb
        accelerators = self.accelerators - size.accelerators
        if cpu_milli >= 0 and memory_mb >= 0 and accelerators >= 0:
            return self.since_s, [], self.ends
        for position, (end_s, released) in enumerate(self.ends):
            first = position if self.contended else 0
            if self.contended:
                has_room = (
                    cpu_milli + released.cpu_milli >= 0
                    and memory_mb + released.memory_mb >= 0
                    and accelerators + released.accelerators >= 0
                )
            else:
                cpu_milli += released.cpu_milli
                memory_mb += released.memory_mb
                accelerators += released.accelerators
                has_room = cpu_milli >= 0 and memory_mb >= 0 and accelerators >= 0
            if has_room:
                used = [each for _, each in self.ends[first : position + 1]]
                rest = self.ends[:first] + self.ends[position + 1 :]
                return max(self.since_s, end_s), used, rest
        return None


def _end_s(item: tuple[float, Size]) -> float:
    return item[0]


class RoomForecast:
    """Assigns the expected room to steps, in the order in which they are placed.

    :param state: the owner's jobs and workers.
    :param now_s: monotonic time.
    :param until_s: monotonic time up to which room is expected.
    :param contended: whether less urgent work waits, which takes the room of each run
        that ends unless it is enough for a more urgent step.
    :param kept: workers whose room is kept nevertheless.
    """

    def __init__(
        self,
        state: SchedulerState,
        now_s: float,
        *,
        until_s: float,
        contended: bool,
        kept: frozenset[WorkerId] = frozenset(),
    ):
        self._state = state
        self._now_s = now_s
        self._until_s = until_s
        self._contended = contended
        self._kept = kept
        self._timelines_by_worker: dict[WorkerId, _Timeline] = {}

    def _timeline(self, entry: WorkerEntry) -> _Timeline:
        timeline = self._timelines_by_worker.get(entry.worker_id)
        if timeline is None:
            timeline = _Timeline(
                self._state,
                entry,
                self._now_s,
                until_s=self._until_s,
                contended=self._contended and entry.worker_id not in self._kept,
            )
            self._timelines_by_worker[entry.worker_id] = timeline
        return timeline

    def take_room(
        self, step: StepEntry, workers: list[WorkerEntry], tasks: int, until_s: float
    ) -> int:
        """Assign the first room to tasks of a step, if it appears in time.

        :param workers: workers that the step may use.
        :param until_s: monotonic time by which the room must be there.
        :returns: number of tasks that get room in time.
        """
        size = step.step.reserved
        limit = step.step.max_per_worker
        order = count()
        heap: list[tuple] = []

        def add(timeline: _Timeline, left: int) -> None:
            first_s = timeline.first_fit(size) if left > 0 else None
            if first_s is not None and first_s <= until_s:
                heappush(heap, (first_s, next(order), left, timeline))

        for entry in workers:
            left = limit - count_tasks(step, entry) if limit else tasks
            add(self._timeline(entry), left)
        taken = 0
        while heap and taken < tasks:
            _, _, left, timeline = heappop(heap)
            timeline.take(size)
            taken += 1
            add(timeline, left - 1)
        return taken
