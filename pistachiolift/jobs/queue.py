"""Queue of the jobs with tasks to place."""

from enum import Enum
from itertools import count, islice

from sortedcontainers import SortedDict

from ..common import CustomerId
from .blocked import BlockedJobs
from .records import JobRecord

__all__ = ["JobQueue"]


class _Place(Enum):
    """What a queued job waits for."""

    READY = "ready"
    ROOM = "room"
    QUOTA = "quota"


class JobQueue:
    """Jobs by priority, with round robin among jobs of the same priority.

    A job whose tasks were placed moves behind the others of its priority, so that a job
    with many tasks does not delay equally urgent ones. A job that could not be placed
    waits until room for one of its tasks or quota of its customer becomes free.
    """

    def __init__(self):
        self._ready_by_key: SortedDict[tuple, JobRecord] = SortedDict()
        self._waiting_by_customer: dict[CustomerId, SortedDict] = {}
        self._sequence = count()
        self.blocked = BlockedJobs()

    def __len__(self) -> int:
        waiting = sum(map(len, self._waiting_by_customer.values()))
        return len(self._ready_by_key) + len(self.blocked) + waiting

    @property
    def pending(self) -> bool:
        """Whether any job is ready to be tried."""
        return bool(self._ready_by_key)

    def first(self) -> JobRecord | None:
        """Return the job to try next."""
        return self._ready_by_key.peekitem(0)[1] if self._ready_by_key else None

    def add(self, job: JobRecord) -> None:
        """Add a job unless it is queued already, for example waiting for quota."""
        if job.queue_key is None:
            self._insert(job, _Place.READY)

    def wake(self, job: JobRecord) -> None:
        """Make a job ready if it waits for room or quota."""
        if job.queue_key is not None and job.queue_place is not _Place.READY:
            self.requeue(job)

    def requeue(self, job: JobRecord) -> None:
        """Move a job behind the others of its priority."""
        self.remove(job)
        self._insert(job, _Place.READY)

    def block_for_room(self, job: JobRecord) -> None:
        """Let a job wait until one of its tasks fits on a worker."""
        self.remove(job)
        self._insert(job, _Place.ROOM)

    def block_for_quota(self, job: JobRecord) -> None:
        """Let a job wait until its customer's quota use or share changes."""
        self.remove(job)
        self._insert(job, _Place.QUOTA)

    def wake_customer(self, customer_id: CustomerId, limit: int) -> None:
        """Make up to ``limit`` jobs ready that wait for a customer's quota."""
        waiting = self._waiting_by_customer.get(customer_id, ())
        for job in [waiting[key] for key in islice(waiting, limit)]:
            self.requeue(job)

    def _insert(self, job: JobRecord, place: _Place) -> None:
        job.queue_key = (-job.spec.priority, next(self._sequence))
        job.queue_place = place
        if place is _Place.READY:
            self._ready_by_key[job.queue_key] = job
        elif place is _Place.ROOM:
            self.blocked.add(job)
        else:
            jobs = self._waiting_by_customer.setdefault(job.customer_id, SortedDict())
            jobs[job.queue_key] = job

    def remove(self, job: JobRecord) -> None:
        """Remove a job, if it is queued."""
        if job.queue_key is None:
            return
        if job.queue_place is _Place.READY:
            del self._ready_by_key[job.queue_key]
        elif job.queue_place is _Place.ROOM:
            self.blocked.remove(job)
        else:
            jobs = self._waiting_by_customer[job.customer_id]
            del jobs[job.queue_key]
            if not jobs:
                del self._waiting_by_customer[job.customer_id]
        job.queue_key = job.queue_place = None
