"""Textbook placement policies, used as baselines in benchmarks.

They compare all workers, so their cost grows with the size of the partition.
"""

from abc import abstractmethod

from ..common import WorkerId
from .index import WorkerIndex
from .model import Resources
from .policies import NO_ROOM, NoPlacement, Placement, PlacementPolicy, PlacementRequest
from .workers import WorkerState

__all__ = ["BestFitPolicy", "DotProductPolicy", "FirstFitPolicy"]


class _BaselinePolicy(PlacementPolicy):
    """Places tasks one by one on the worker with the lowest cost."""

    def place(
        self, job: PlacementRequest, view: WorkerIndex
    ) -> Placement | NoPlacement:
        """See :meth:`PlacementPolicy.place`."""
        need = job.resources
        free_by_id = {
            worker_id: worker.free for worker_id, worker in view.workers_by_id.items()
        }
        chosen: list[WorkerId] = []
        for _ in range(job.tasks):
            fitting = [
                view.workers_by_id[worker_id]
                for worker_id, free in free_by_id.items()
                if need.fits_in(free)
            ]
            if not fitting:
                return NO_ROOM
            best = min(
                fitting,
                key=lambda worker: (
                    self._cost(need, free_by_id[worker.worker_id], worker),
                    worker.worker_id,
                ),
            )
            chosen.append(best.worker_id)
            free_by_id[best.worker_id] = free_by_id[best.worker_id].minus(need)
        return Placement(tuple(chosen))

    @abstractmethod
    def _cost(self, need: Resources, free: Resources, worker: WorkerState) -> float:
        """Return the cost of the worker; the lowest cost is preferred."""


class FirstFitPolicy(_BaselinePolicy):
    """Chooses the first worker by identifier that has room."""

    def _cost(self, need: Resources, free: Resources, worker: WorkerState) -> float:
        return 0.0


def _shares(size: Resources, capacity: Resources) -> tuple[float, float, float]:
    return (
        size.cpu_milli / capacity.cpu_milli,
        size.memory_mb / capacity.memory_mb,
        size.accelerators / capacity.accelerators if capacity.accelerators else 0.0,
    )


class BestFitPolicy(_BaselinePolicy):
    """Chooses the worker with the smallest sum of free shares after placement."""

    def _cost(self, need: Resources, free: Resources, worker: WorkerState) -> float:
        return sum(_shares(free.minus(need), worker.capacity))


class DotProductPolicy(_BaselinePolicy):
    """Chooses the worker with the largest dot product of demand and free room."""

    def _cost(self, need: Resources, free: Resources, worker: WorkerState) -> float:
        needs = _shares(need, worker.capacity)
        room = _shares(free, worker.capacity)
        return -sum(a * b for a, b in zip(needs, room, strict=True))
