"""Keeps room on workers for urgent tasks that fit nowhere yet."""

from collections.abc import Mapping

from ..common import WorkerId
from .model import PoolId
from .placement import below_limit, eligible_workers
from .state import StepEntry, WorkerEntry

__all__ = ["RoomHolder"]

# Share of a pool's workers on which room is kept at the same time. Their free cores are
# idle until the task fits.
HELD_SHARE = 0.25


class RoomHolder:
    """Chooses the workers whose free room later steps of a pass may not use.

    Without this, smaller tasks take the room as it becomes free, piece by piece, and a
    larger task waits however urgent it is.
    """

    def __init__(self):
        self._held_by_pool: dict[PoolId, int] = {}

    @property
    def held_workers(self) -> int:
        """Number of workers on which room is kept."""
        return sum(self._held_by_pool.values())

    def may_hold(self, pool_id: PoolId, workers: int) -> bool:
        """Whether more workers of a pool may be kept free.

        :param workers: number of usable workers of the pool.
        """
        return self._held_by_pool.get(pool_id, 0) < _limit(workers)

    def hold(
        self,
        step: StepEntry,
        usable_by_id: Mapping[WorkerId, WorkerEntry],
        blocked: frozenset[WorkerId],
        now_s: float,
    ) -> frozenset[WorkerId]:
        """Return workers to keep free for the waiting tasks of a step.

        Workers with the most free processors come first. Each holds room for one task.

        :param usable_by_id: usable workers of the step's pool.
        :param blocked: workers that are kept free already.
        """
        pool_id = step.job.queue.pool_id
        held = self._held_by_pool.get(pool_id, 0)
        limit = _limit(len(usable_by_id))
        wanted = min(len(step.waiting - step.isolated), limit - held)
        if wanted < 1 or step.step.fills:
            return frozenset()
        size = step.step.reserved
        fitting = [
            entry
            for entry in eligible_workers(step, usable_by_id, now_s)
            if entry.worker_id not in blocked
            and not entry.isolated
            and entry.worker.capacity.holds(size)
            and below_limit(step, entry)
        ]
        fitting.sort(key=lambda entry: -entry.free_cpu_milli)
        chosen = frozenset(entry.worker_id for entry in fitting[:wanted])
        self._held_by_pool[pool_id] = held + len(chosen)
        return chosen


def _limit(workers: int) -> int:
    """Return the number of workers of a pool on which room may be kept."""
    return max(1, int(HELD_SHARE * workers))
