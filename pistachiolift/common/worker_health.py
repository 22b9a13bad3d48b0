"""Distinguishes failing workers from faulty jobs and quarantines the workers."""

from dataclasses import dataclass, field

from .ids import JobId, WorkerId

__all__ = ["WorkerHealth"]

# Two jobs may fail on one worker by chance or because the jobs are faulty.
QUARANTINE_FAILING_JOBS = 3
FAULTY_JOB_WORKERS = 3
QUARANTINE_BASE_S = 30.0
MAX_QUARANTINE_S = 3600.0


@dataclass(slots=True)
class _WorkerRecord:
    failing_jobs: set[JobId] = field(default_factory=set)
    quarantined_until_s: float | None = None
    quarantines: int = 0
    probing: bool = False


class WorkerHealth:
    """Counts the distinct jobs that fail on a worker and the workers that fail a job.

    A job that has failed on several workers and succeeded on none is faulty: its
    failures no longer count against workers, and quarantines that are due to it are
    lifted. The failures of other jobs count until the worker's next success.

    :param quarantine_base_s: duration of a worker's first quarantine, in seconds;
        it doubles with each further one.
    """

    def __init__(self, *, quarantine_base_s: float = QUARANTINE_BASE_S):
        self._quarantine_base_s = quarantine_base_s
        self._workers_by_id: dict[WorkerId, _WorkerRecord] = {}
        self._failing_workers_by_job: dict[JobId, set[WorkerId]] = {}
        self._succeeded_jobs: set[JobId] = set()

    def accepts(self, worker_id: WorkerId, now_s: float) -> bool:
        """Whether the worker may get a task; after a quarantine, a single probe."""
        record = self._workers_by_id.get(worker_id)
        if record is None or record.quarantined_until_s is None:
            return True
        return now_s >= record.quarantined_until_s and not record.probing

    def is_quarantined(self, worker_id: WorkerId) -> bool:
        """Whether the worker was quarantined and no probe has succeeded since."""
        record = self._workers_by_id.get(worker_id)
        return record is not None and record.quarantined_until_s is not None

    def failing_job_count(self, worker_id: WorkerId) -> int:
        """Return how many jobs failed on the worker since its last success."""
        record = self._workers_by_id.get(worker_id)
        return 0 if record is None else len(record.failing_jobs)

    def quarantined_until_s(self, worker_id: WorkerId) -> float | None:
        """Return the earliest time of the next probe, ``None`` if not quarantined."""
        record = self._workers_by_id.get(worker_id)
        return None if record is None else record.quarantined_until_s

    def job_fails_everywhere(self, job_id: JobId) -> bool:
        """Whether a job has failed on several workers and succeeded on none."""
        return (
            len(self._failing_workers_by_job.get(job_id, ())) >= FAULTY_JOB_WORKERS
            and job_id not in self._succeeded_jobs
        )

    def record_placement(self, worker_id: WorkerId) -> None:
        """Record a placement; on a quarantined worker it is the probe."""
        record = self._workers_by_id.get(worker_id)
        if record is not None and record.quarantined_until_s is not None:
            record.probing = True

    def record_inconclusive_end(self, worker_id: WorkerId) -> None:
        """Record an end that does not count for the health; allows a new probe."""
        record = self._workers_by_id.get(worker_id)
        if record is not None:
            record.probing = False

    def record_success(self, worker_id: WorkerId, job_id: JobId) -> None:
        """Record a success, which resets the worker's failures and clears the job."""
        self._workers_by_id.pop(worker_id, None)
        self._succeeded_jobs.add(job_id)

    def record_failure(
        self, worker_id: WorkerId, job_id: JobId, now_s: float
    ) -> list[WorkerId]:
        """Record a failure.

        :returns: workers that were quarantined or released as a result.
        """
        record = self._workers_by_id.setdefault(worker_id, _WorkerRecord())
        workers = self._failing_workers_by_job.setdefault(job_id, set())
        workers.add(worker_id)
        record.failing_jobs.add(job_id)
        if self.job_fails_everywhere(job_id):
            was_probe, record.probing = record.probing, False
            changed = self._discard_failures(job_id, now_s)
            if was_probe and worker_id not in changed:
                changed.append(worker_id)
            return changed
        if record.probing or (
            record.quarantined_until_s is None and self._is_failing(worker_id, now_s)
        ):
            self._quarantine(record, now_s)
            return [worker_id]
        return []

    def _is_failing(self, worker_id: WorkerId, now_s: float) -> bool:
        """Whether the failures on a worker call for a quarantine."""
        record = self._workers_by_id[worker_id]
        return len(record.failing_jobs) >= QUARANTINE_FAILING_JOBS

    def _period_s(self, quarantines: int) -> float:
        """Return the duration of a quarantine after a number of earlier ones."""
        return min(MAX_QUARANTINE_S, self._quarantine_base_s * 2**quarantines)

    def _quarantine(self, record: _WorkerRecord, now_s: float) -> None:
        record.quarantined_until_s = now_s + self._period_s(record.quarantines)
        record.quarantines = min(record.quarantines + 1, 20)
        record.probing = False

    def _discard_failures(self, job_id: JobId, now_s: float) -> list[WorkerId]:
        """Remove a faulty job's failures from all workers.

        :returns: workers released from quarantine.
        """
        released = []
        for worker_id in self._failing_workers_by_job[job_id]:
            record = self._workers_by_id.get(worker_id)
            if record is None:
                continue
            record.failing_jobs.discard(job_id)
            if record.quarantined_until_s is not None and not self._is_failing(
                worker_id, now_s
            ):
                # The failures of other jobs still count: a release is no success.
                failing_jobs = record.failing_jobs
                self._workers_by_id[worker_id] = _WorkerRecord(failing_jobs)
                released.append(worker_id)
        return released

    def forget_job(self, job_id: JobId) -> None:
        """Remove the records of a job that has ended."""
        self._failing_workers_by_job.pop(job_id, None)
        self._succeeded_jobs.discard(job_id)

    def forget_worker(self, worker_id: WorkerId) -> None:
        """Remove the record of a worker that is gone."""
        self._workers_by_id.pop(worker_id, None)
