"""Index of the jobs that wait for room, searched when room becomes free."""

from itertools import islice

from sortedcontainers import SortedDict, SortedList

from .index import cell_number
from .model import Resources
from .records import JobRecord

__all__ = ["BlockedJobs"]

# Limits the search within a cell; of these jobs, the one waiting longest goes first.
MAX_CHOICES_PER_CELL = 8


class BlockedJobs:
    """Jobs whose tasks fit on no worker, in cells by the size of one task.

    When room becomes free on a worker, only the jobs that fit into it are visited, not
    the others, of which there may be thousands. Gangs need room on several workers and
    are kept in order of urgency instead.
    """

    def __init__(self):
        # (-priority, -accelerators), then cell number, then (memory, sequence).
        self._groups: SortedDict[tuple, SortedDict[int, SortedList]] = SortedDict()
        self._jobs_by_key: SortedDict[tuple, JobRecord] = SortedDict()
        self._gangs_by_key: SortedDict[tuple, JobRecord] = SortedDict()

    def __len__(self) -> int:
        return len(self._jobs_by_key) + len(self._gangs_by_key)

    def add(self, job: JobRecord) -> None:
        """Add a job under its queue key."""
        if job.is_gang:
            self._gangs_by_key[job.queue_key] = job
            return
        self._jobs_by_key[job.queue_key] = job
        group_key, number, item = self._place(job)
        group = self._groups.setdefault(group_key, SortedDict())
        if number not in group:
            group[number] = SortedList()
        group[number].add(item)

    @staticmethod
    def _place(job: JobRecord) -> tuple:
        need = job.spec.resources
        return (
            (-job.spec.priority, -need.accelerators),
            cell_number(need.cpu_milli),
            (need.memory_mb, job.queue_key[1]),
        )

    def remove(self, job: JobRecord) -> None:
        """Remove a job."""
        if job.is_gang:
            del self._gangs_by_key[job.queue_key]
            return
        del self._jobs_by_key[job.queue_key]
        group_key, number, item = self._place(job)
        group = self._groups[group_key]
        group[number].remove(item)
        if not group[number]:
            del group[number]
            if not group:
                del self._groups[group_key]

    def most_urgent(self, limit: int) -> list[JobRecord]:
        """Return up to ``limit`` of the most urgent jobs that are not gangs."""
        return [self._jobs_by_key[key] for key in islice(self._jobs_by_key, limit)]

    def first_gang(self) -> JobRecord | None:
        """Return the most urgent gang."""
        return self._gangs_by_key.peekitem(0)[1] if self._gangs_by_key else None

    def first_fitting(self, room: Resources) -> JobRecord | None:
        """Return the most urgent job with a task that fits, large tasks first."""
        last_cell = cell_number(room.cpu_milli)
        for (priority, accelerators), group in self._groups.items():
            if -accelerators > room.accelerators:
                continue
            for number in group.irange(maximum=last_cell, reverse=True):
                cell = group[number]
                end = cell.bisect_right((room.memory_mb, float("inf")))
                items = cell[max(0, end - MAX_CHOICES_PER_CELL) : end]
                for _, sequence in sorted(items, key=lambda item: item[1]):
                    job = self._jobs_by_key[(priority, sequence)]
                    if job.spec.resources.fits_in(room):
                        return job
        return None
