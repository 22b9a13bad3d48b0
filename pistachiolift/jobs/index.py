"""Index of workers by free room, so that placement does not scan all workers."""

from collections.abc import Iterator

from sortedcontainers import SortedDict, SortedList

from ..common import RackId, WorkerId
from .model import Resources
from .workers import WorkerState

__all__ = ["RoomIndex", "WorkerIndex"]

# One cell per whole core; 128 cores and more share the last cell. This limits the
# number of cells independently of the number of workers.
CPU_MILLI_PER_CELL = 1000
LAST_CELL = 128


def cell_number(cpu_milli: int) -> int:
    """Return the cell of an amount of processors, in thousandths of a core."""
    return min(max(cpu_milli, 0) // CPU_MILLI_PER_CELL, LAST_CELL)


class RoomIndex:
    """Workers in cells by free accelerators and cores, sorted by free memory.

    All workers in cells above that of the demand have enough processors, so a binary
    search by free memory finds those that fit. Only in the cell of the demand are the
    workers compared one by one.
    """

    def __init__(self):
        # Free accelerators, then cell number, then (free memory, worker id).
        self._groups: SortedDict[int, SortedDict[int, SortedList]] = SortedDict()
        self._place_by_id: dict[WorkerId, tuple[int, int, tuple]] = {}
        self._workers_by_id: dict[WorkerId, WorkerState] = {}

    def __len__(self) -> int:
        return len(self._workers_by_id)

    def __contains__(self, worker_id: WorkerId) -> bool:
        return worker_id in self._workers_by_id

    def put(self, worker: WorkerState) -> None:
        """Add a worker or move it to the cell of its current room."""
        free = worker.free
        item = (free.memory_mb, worker.worker_id)
        place = (free.accelerators, cell_number(free.cpu_milli), item)
        old = self._place_by_id.get(worker.worker_id)
        if old == place:
            return
        if old is not None:
            self._remove_from_cell(old)
        self._workers_by_id[worker.worker_id] = worker
        self._place_by_id[worker.worker_id] = place
        group = self._groups.get(place[0])
        if group is None:
            group = self._groups[place[0]] = SortedDict()
        cell = group.get(place[1])
        if cell is None:
            cell = group[place[1]] = SortedList()
        cell.add(item)

    def discard(self, worker_id: WorkerId) -> None:
        """Remove a worker, if it is present."""
        if self._workers_by_id.pop(worker_id, None) is not None:
            self._remove_from_cell(self._place_by_id.pop(worker_id))

    def _remove_from_cell(self, place: tuple[int, int, tuple]) -> None:
        group = self._groups[place[0]]
        cell = group[place[1]]
        cell.remove(place[2])
        if not cell:
            del group[place[1]]
            if not group:
                del self._groups[place[0]]

    def fitting(
        self, need: Resources, *, roomy_first: bool = False
    ) -> Iterator[WorkerState]:
        """Yield workers with room for ``need``, fewest free accelerators first.

        :param need: size of one task.
        :param roomy_first: within the same number of free accelerators, yield
            those with the most free cores first instead of the fewest.
        """
        first_cell = cell_number(need.cpu_milli)
        for accelerators in self._groups.irange(minimum=need.accelerators):
            group = self._groups[accelerators]
            for number in group.irange(minimum=first_cell, reverse=roomy_first):
                cell = group[number]
                if cell[-1][0] < need.memory_mb:
                    continue
                for _, worker_id in cell.irange(minimum=(need.memory_mb, "")):
                    worker = self._workers_by_id[worker_id]
                    if number != first_cell or need.fits_in(worker.free):
                        yield worker


class WorkerIndex:
    """Workers that may get tasks, indexed as a whole and by rack."""

    def __init__(self):
        self.rooms = RoomIndex()
        self.rooms_by_rack: dict[RackId, RoomIndex] = {}
        # (-free processors, rack id): the rack with the most free ones comes first.
        self._rack_order = SortedList()
        self._rack_key_by_id: dict[RackId, tuple[int, RackId]] = {}
        self._cpu_by_id: dict[WorkerId, tuple[RackId, int]] = {}
        self.workers_by_id: dict[WorkerId, WorkerState] = {}

    def put(self, worker: WorkerState) -> None:
        """Add a worker or update its room."""
        known = self._cpu_by_id.get(worker.worker_id)
        if known is not None and known[0] != worker.rack_id:
            self.discard(worker.worker_id)
            known = None
        self.workers_by_id[worker.worker_id] = worker
        self.rooms.put(worker)
        rack = self.rooms_by_rack.get(worker.rack_id)
        if rack is None:
            rack = self.rooms_by_rack[worker.rack_id] = RoomIndex()
        rack.put(worker)
        cpu_milli = worker.free.cpu_milli
        self._cpu_by_id[worker.worker_id] = (worker.rack_id, cpu_milli)
        self._shift_rack(worker.rack_id, cpu_milli - (known[1] if known else 0))

    def discard(self, worker_id: WorkerId) -> None:
        """Remove a worker, if it is present."""
        known = self._cpu_by_id.pop(worker_id, None)
        if known is None:
            return
        del self.workers_by_id[worker_id]
        self.rooms.discard(worker_id)
        self.rooms_by_rack[known[0]].discard(worker_id)
        self._shift_rack(known[0], -known[1])

    def _shift_rack(self, rack_id: RackId, cpu_milli: int) -> None:
        old = self._rack_key_by_id.pop(rack_id, None)
        free = (-old[0] if old else 0) + cpu_milli
        if old is not None:
            self._rack_order.remove(old)
        if len(self.rooms_by_rack[rack_id]) == 0:
            del self.rooms_by_rack[rack_id]
            return
        key = self._rack_key_by_id[rack_id] = (-free, rack_id)
        self._rack_order.add(key)

    def racks_by_room(self) -> Iterator[RackId]:
        """Yield racks with the most free processors first."""
        for _, rack_id in self._rack_order:
            yield rack_id

    def has_room(self, need: Resources) -> bool:
        """Whether any worker has room for a task."""
        return next(self.rooms.fitting(need), None) is not None
