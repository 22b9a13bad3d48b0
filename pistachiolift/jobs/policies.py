"""Placement policies of services, batch jobs and gangs."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice
from math import hypot

from ..common import RackId, WorkerId
from .index import WorkerIndex
from .model import PolicyName, Resources
from .workers import WorkerState

__all__ = [
    "BatchPolicy",
    "GangPolicy",
    "NoPlacement",
    "NoPlacementReason",
    "Placement",
    "PlacementPolicy",
    "PlacementRequest",
    "ServicePolicy",
    "make_policies",
    "pick_best",
]

# More candidates cost time and improve the packing of large clusters only slightly.
# All workers of a partition of 24 are still compared.
MAX_CANDIDATES = 24


class NoPlacementReason(Enum):
    """Why a job could not be placed now."""

    NO_ROOM = "no_room"
    QUOTA = "quota"
    NEVER_FITS = "never_fits"


@dataclass(slots=True, frozen=True)
class PlacementRequest:
    """Data about a job that a placement policy needs.

    :param resources: size of one task.
    :param tasks: number of tasks to place together; 1 except for gangs.
    :param tasks_by_rack: number of running tasks of the same job by rack.
    :param tasks_by_worker: number of running tasks of the same job by worker.
    :param avoided: workers on which the task failed; used only if nothing else fits.
    """

    resources: Resources
    tasks: int = 1
    tasks_by_rack: Mapping[RackId, int] = field(default_factory=dict)
    tasks_by_worker: Mapping[WorkerId, int] = field(default_factory=dict)
    avoided: Collection[WorkerId] = ()


@dataclass(slots=True, frozen=True)
class Placement:
    """One worker for each task of the request, in order."""

    worker_ids: tuple[WorkerId, ...]


@dataclass(slots=True, frozen=True)
class NoPlacement:
    """The request does not fit now."""

    reason: NoPlacementReason


NO_ROOM = NoPlacement(NoPlacementReason.NO_ROOM)


class PlacementPolicy(ABC):
    """Chooses workers without changing the request or the index."""

    @abstractmethod
    def place(
        self, job: PlacementRequest, view: WorkerIndex
    ) -> Placement | NoPlacement:
        """Choose a worker for each task.

        :param job: the tasks to place.
        :param view: index of the workers that may get tasks.
        """


def pick_best(
    candidates: Collection[WorkerState],
    avoided: Collection[WorkerId],
    cost: Callable[[WorkerState], object],
) -> WorkerState | None:
    """Return the candidate with the lowest cost, an avoided one only if needed."""
    if avoided:
        preferred = [worker for worker in candidates if worker.worker_id not in avoided]
        candidates = preferred or candidates
    return min(candidates, key=cost, default=None)


class BatchPolicy(PlacementPolicy):
    """Packs tightly and keeps accelerators free for tasks that need them.

    Among the candidates, the policy chooses the worker whose ratio of free processors
    to free memory is closest to that of the demand (largest cosine similarity), so that
    neither is left over without the other. On 24 workers this packs better than the
    dot product, which prefers empty workers and fragments them.
    """

    def place(
        self, job: PlacementRequest, view: WorkerIndex
    ) -> Placement | NoPlacement:
        """See :meth:`PlacementPolicy.place`."""
        need = job.resources
        wanted = MAX_CANDIDATES + len(job.avoided)
        candidates = list(islice(view.rooms.fitting(need), wanted))
        best = pick_best(
            candidates, job.avoided, lambda worker: self._cost(need, worker)
        )
        return NO_ROOM if best is None else Placement((best.worker_id,))

    @staticmethod
    def _cost(need: Resources, worker: WorkerState) -> tuple:
        capacity, free = worker.capacity, worker.free
        cpu = free.cpu_milli / capacity.cpu_milli
        memory = free.memory_mb / capacity.memory_mb
        aligned = (
            need.cpu_milli / capacity.cpu_milli * cpu
            + need.memory_mb / capacity.memory_mb * memory
        ) / hypot(cpu, memory)
        takes_accelerators = not need.accelerators and free.accelerators > 0
        return (takes_accelerators, -aligned, worker.worker_id)


class ServicePolicy(PlacementPolicy):
    """Spreads the tasks of a job over racks, then over the workers of a rack."""

    def place(
        self, job: PlacementRequest, view: WorkerIndex
    ) -> Placement | NoPlacement:
        """See :meth:`PlacementPolicy.place`."""
        if not view.has_room(job.resources):
            return NO_ROOM
        fallback = None
        for rack_id in self._racks(job, view):
            best = self._pick(job, view, rack_id)
            if best is None:
                continue
            if best.worker_id not in job.avoided:
                return Placement((best.worker_id,))
            fallback = fallback or best
        return NO_ROOM if fallback is None else Placement((fallback.worker_id,))

    @staticmethod
    def _racks(job: PlacementRequest, view: WorkerIndex):
        """Yield racks with the fewest tasks of the job first."""
        used = job.tasks_by_rack
        for rack_id in view.racks_by_room():
            if not used.get(rack_id):
                yield rack_id
        for rack_id in sorted(used, key=lambda rack_id: (used[rack_id], rack_id)):
            if used[rack_id] and rack_id in view.rooms_by_rack:
                yield rack_id

    @staticmethod
    def _pick(
        job: PlacementRequest, view: WorkerIndex, rack_id: RackId
    ) -> WorkerState | None:
        room = view.rooms_by_rack[rack_id]
        fitting = room.fitting(job.resources, roomy_first=True)

        def cost(worker: WorkerState) -> tuple:
            return (
                worker.free.accelerators - job.resources.accelerators,
                job.tasks_by_worker.get(worker.worker_id, 0),
                -worker.free.cpu_milli,
                worker.worker_id,
            )

        return pick_best(list(islice(fitting, MAX_CANDIDATES)), job.avoided, cost)


class GangPolicy(PlacementPolicy):
    """Places all tasks or none, on as few workers as possible."""

    def place(
        self, job: PlacementRequest, view: WorkerIndex
    ) -> Placement | NoPlacement:
        """See :meth:`PlacementPolicy.place`."""
        chosen: list[WorkerId] = []
        spare: list[WorkerId] = []
        for worker in view.rooms.fitting(job.resources, roomy_first=True):
            count = min(job.resources.count_in(worker.free), job.tasks)
            target = spare if worker.worker_id in job.avoided else chosen
            target.extend([worker.worker_id] * count)
            if len(chosen) >= job.tasks:
                break
        chosen += spare
        if len(chosen) < job.tasks:
            return NO_ROOM
        return Placement(tuple(chosen[: job.tasks]))


def make_policies() -> dict[PolicyName, PlacementPolicy]:
    """Return the policies that the scheduler uses by default."""
    return {
        PolicyName.SERVICE: ServicePolicy(),
        PolicyName.BATCH: BatchPolicy(),
        PolicyName.GANG: GangPolicy(),
    }
