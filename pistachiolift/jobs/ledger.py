"""Batches of ledger entries, and the starts and ends that wait for them."""

import random
from dataclasses import dataclass, field

from ..common import JobId
from .constants import LEDGER_RETRY_BASE_S, LEDGER_RETRY_CAP_S
from .decisions import LedgerWrite
from .records import JobRecord
from .tasks import TaskRecord

__all__ = ["LedgerBatch", "LedgerBuffer"]


@dataclass(slots=True)
class LedgerBatch:
    """A ledger write in flight.

    :param jobs: jobs whose entries it contains.
    :param placed: attempts that may start once the batch is durable.
    :param ended: jobs whose end is announced once the batch is durable.
    :param removed: jobs whose entries it removes.
    """

    batch_id: int
    jobs: list[JobRecord]
    placed: list[TaskRecord]
    ended: list[JobRecord]
    removed: list[JobId]


@dataclass(slots=True)
class LedgerBuffer:
    """Collects changed jobs; one batch is in flight while the next one fills.

    With a single batch in flight, an older entry never overwrites a newer one.

    :param interval_s: shortest time between the starts of two writes.
    """

    interval_s: float
    rng: random.Random
    changed_by_id: dict[JobId, JobRecord] = field(default_factory=dict)
    placed: list[TaskRecord] = field(default_factory=list)
    removed_ids: dict[JobId, None] = field(default_factory=dict)
    in_flight: LedgerBatch | None = None
    failures: int = 0
    next_write_s: float = float("-inf")
    last_batch_id: int = 0

    @property
    def available(self) -> bool:
        """Whether the last completed write succeeded."""
        return self.failures == 0

    def change(self, job: JobRecord) -> None:
        """Include the job's entry in the next batch."""
        self.removed_ids.pop(job.job_id, None)
        self.changed_by_id[job.job_id] = job

    def place(self, job: JobRecord, task: TaskRecord) -> None:
        """Include a placement in the next batch."""
        self.change(job)
        self.placed.append(task)

    def remove(self, job_id: JobId) -> None:
        """Remove a job's entry with the next batch."""
        self.changed_by_id.pop(job_id, None)
        self.removed_ids[job_id] = None

    def due_s(self) -> float | None:
        """Return when the next batch is due, or ``None`` if there is none."""
        if self.in_flight or not (self.changed_by_id or self.removed_ids):
            return None
        return self.next_write_s

    def start_write(self, now_s: float) -> LedgerWrite | None:
        """Start a write if one is due."""
        due_s = self.due_s()
        if due_s is None or now_s < due_s:
            return None
        jobs = list(self.changed_by_id.values())
        self.last_batch_id += 1
        entries = {job.job_id: job.entry() for job in jobs}
        entries.update(dict.fromkeys(self.removed_ids))
        ended = [job for job in jobs if entries[job.job_id].ended]
        self.in_flight = LedgerBatch(
            self.last_batch_id, jobs, self.placed, ended, list(self.removed_ids)
        )
        for job in jobs:
            job.written = True
        self.changed_by_id, self.placed, self.removed_ids = {}, [], {}
        self.next_write_s = now_s + self.interval_s
        return LedgerWrite(batch_id=self.last_batch_id, entries=entries)

    def succeed(self, batch_id: int) -> LedgerBatch | None:
        """Return the batch that is now durable, or ``None`` for an unknown one."""
        batch = self.in_flight
        if batch is None or batch.batch_id != batch_id:
            return None
        self.in_flight = None
        self.failures = 0
        return batch

    def fail(self, batch_id: int, now_s: float) -> LedgerBatch | None:
        """Add the content of a failed batch to the next one.

        It is unknown whether the failed write took effect. Entries contain the whole
        state of a job, so writing the current state again is correct in both cases.
        """
        batch = self.in_flight
        if batch is None or batch.batch_id != batch_id:
            return None
        self.in_flight = None
        for job in batch.jobs:
            if job.job_id not in self.removed_ids:
                self.changed_by_id.setdefault(job.job_id, job)
        for job_id in batch.removed:
            if job_id not in self.changed_by_id:
                self.removed_ids[job_id] = None
        self.placed = batch.placed + self.placed
        limit_s = min(LEDGER_RETRY_CAP_S, LEDGER_RETRY_BASE_S * 2**self.failures)
        self.failures = min(self.failures + 1, 10)
        delay_s = limit_s * (0.5 + 0.5 * self.rng.random())
        self.next_write_s = max(self.next_write_s, now_s + delay_s)
        return batch
