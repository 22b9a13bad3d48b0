"""Capacity of the pools of workers, as far as it is certain."""

from collections import Counter

from .model import PoolId, Size
from .scheduler_state import SchedulerState

__all__ = ["FleetCapacity"]

# Workers that have left count for this time. Cuts and restarts take up to 7 s, after
# which the workers are back.
HOLD_S = 10.0

# Time for which the workers must have been known before their number proves anything.
KNOWN_S = 3.0
# Share of the workers that must have reported to this owner; some may be unreachable.
REPORTED_SHARE = 0.75

Group = tuple[PoolId, str]


class FleetCapacity:
    """Counts the workers of each pool by capacity, with and without a label.

    The counts are the largest of the last 10 s and include workers that are
    unreachable, draining or in quarantine, so that no estimate from them is too
    pessimistic because of a short fault.
    """

    def __init__(self, state: SchedulerState):
        self._state = state
        # For each pool and label, or no label: for each capacity the number of
        # workers and the time until which it counts.
        self._workers: dict[Group, dict[Size, tuple[int, float]]] = {}
        self._most_workers = 0
        self._known_since_s: float | None = None

    def observe(self, now_s: float) -> None:
        """Count the workers now in the directory."""
        present: dict[Group, Counter[Size]] = {}
        registered = reported = 0
        for entry in self._state.workers_by_id.values():
            if not entry.registered:
                continue
            registered += 1
            reported += entry.has_reported
            worker = entry.worker
            for label in ("", *worker.labels):
                group = present.setdefault((worker.pool_id, label), Counter())
                group[worker.capacity] += 1
        self._update_counts(present, now_s)
        if registered > self._most_workers:
            # The directory is still being read, or the fleet grows.
            self._most_workers = registered
            self._known_since_s = None
        if reported < REPORTED_SHARE * registered or not registered:
            return
        if self._known_since_s is None:
            self._known_since_s = now_s

    def _update_counts(self, present: dict[Group, Counter[Size]], now_s: float) -> None:
        for group, counts in present.items():
            held = self._workers.setdefault(group, {})
            for capacity, count in counts.items():
                if count >= held.get(capacity, (0, 0.0))[0]:
                    held[capacity] = (count, now_s + HOLD_S)
        for group, held in self._workers.items():
            for capacity, (_, until_s) in list(held.items()):
                if until_s > now_s:
                    continue
                count = present.get(group, {}).get(capacity, 0)
                if count:
                    held[capacity] = (count, now_s + HOLD_S)
                else:
                    del held[capacity]

    def is_known(self, now_s: float) -> bool:
        """Whether this owner has known its workers for some seconds."""
        return self._known_since_s is not None and now_s - self._known_since_s > KNOWN_S

    def total(self, pool_id: PoolId, label: str = "") -> Size:
        """Return the capacity of all workers of a pool together.

        :param label: label that the workers must have; empty for all workers.
        """
        shapes = self._workers.get((pool_id, label), {})
        return Size(
            cpu_milli=sum(c.cpu_milli * n for c, (n, _) in shapes.items()),
            memory_mb=sum(c.memory_mb * n for c, (n, _) in shapes.items()),
            accelerators=sum(c.accelerators * n for c, (n, _) in shapes.items()),
        )

    def room_for(
        self, pool_id: PoolId, label: str, size: Size, *, most: int, per_worker: int = 0
    ) -> int:
        """Return how many tasks of a size fit on all workers if they are empty.

        :param most: number above which the exact number does not matter.
        :param per_worker: limit of tasks on one worker; 0 for none.
        """
        room = 0
        for capacity, (count, _) in self._workers.get((pool_id, label), {}).items():
            if not capacity.holds(size):
                continue
            fits = [most, *([per_worker] if per_worker else [])]
            if size.cpu_milli:
                fits.append(capacity.cpu_milli // size.cpu_milli)
            if size.memory_mb:
                fits.append(capacity.memory_mb // size.memory_mb)
            if size.accelerators:
                fits.append(capacity.accelerators // size.accelerators)
            room += count * min(fits)
            if room >= most:
                return most
        return room

    def has_pool(self, pool_id: PoolId) -> bool:
        """Whether the pool has had any worker in the last 10 s."""
        return bool(self._workers.get((pool_id, "")))
