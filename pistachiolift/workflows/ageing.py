"""Raises work that has waited long, so that no wait is unbounded."""

import logging
from collections.abc import Collection

from ..common import JobId, log_event
from .model import PoolId
from .scheduler_state import SchedulerState
from .state import JobEntry, StepEntry
from .urgency import Band, measure, waited_s

__all__ = ["AGED_AFTER_S", "AGED_SHARE", "Ageing"]

logger = logging.getLogger(__name__)

# Useless and excess work may be raised after this wait. The backlog of a burst of
# some seconds is gone by then, so that raised work does not prolong it.
AGED_AFTER_S = 30.0
# Share of a pool's cores that raised work may use; what it uses is lost to work that
# can still be on time.
AGED_SHARE = 0.05
# A raised job that runs nothing for this time precedes the most urgent work as well,
# which would otherwise starve it by filling all workers.
FIRST_AFTER_S = 5.0
# A raised job that runs nothing for this time makes way for the next one, since it may
# fit on no worker or exceed its customer's cap.
RAISED_IDLE_S = 10.0
# Short jobs can be raised by the hundred each second.
MAX_LOG_LINES_PER_S = 5


class Ageing:
    """Chooses the jobs to raise, the longest wait first.

    An aged job waits at most for the aged work before it, at ``AGED_SHARE`` of the
    cores, but at least one job is always raised.

    :param state: the owner's jobs and workers.
    """

    def __init__(self, state: SchedulerState):
        self._state = state
        # Raised jobs, with the time at which they last ran or were raised.
        self.raised_by_id: dict[JobId, float] = {}
        # Jobs that made way, with the time; their wait counts from then on.
        self._passed_over_by_id: dict[JobId, float] = {}
        self.aged_jobs = 0
        self._log_end_s = 0.0
        self._log_lines = 0
        self._unlogged = 0

    def update(
        self, steps: Collection[StepEntry], now_s: float, wall_ms: float
    ) -> dict[JobId, float]:
        """Return the raised jobs, with a sort key that puts the longest wait first.

        :param steps: the open steps.
        :param now_s: monotonic time.
        :param wall_ms: Unix time, in milliseconds.
        """
        self._drop_ended()
        aged = self._find_aged(steps, now_s, wall_ms)
        self.aged_jobs = len(aged)
        if not aged and not self.raised_by_id:
            return {}
        used = self._use_raised(now_s)
        self._lower_idle(now_s)
        limits: dict[PoolId, float] = {}
        for job in sorted(aged.values(), key=lambda each: self._since_s(each)):
            if job.job_id in self.raised_by_id:
                continue
            pool_id = job.queue.pool_id
            if pool_id not in limits:
                limits[pool_id] = self._limit(pool_id)
            if pool_id in used and used[pool_id] >= limits[pool_id]:
                continue
            used[pool_id] = used.get(pool_id, 0) + _open_cpu_milli(job)
            self._raise(job, now_s)
        jobs = self._state.jobs_by_id
        return {job_id: self._since_s(jobs[job_id]) for job_id in self.raised_by_id}

    def comes_first(self, job_id: JobId, now_s: float) -> bool:
        """Whether a raised job precedes the most urgent work as well.

        :param now_s: monotonic time.
        """
        return now_s - self.raised_by_id[job_id] >= FIRST_AFTER_S

    def _drop_ended(self) -> None:
        jobs = self._state.jobs_by_id
        for table in (self.raised_by_id, self._passed_over_by_id):
            for job_id in list(table):
                job = jobs.get(job_id)
                if job is None or job.status.final:
                    del table[job_id]

    def _since_s(self, job: JobEntry) -> float:
        """Return the time from which the wait of a job counts."""
        return self._passed_over_by_id.get(job.job_id, job.received_s)

    def _find_aged(
        self, steps: Collection[StepEntry], now_s: float, wall_ms: float
    ) -> dict[JobId, JobEntry]:
        limit_s = now_s - AGED_AFTER_S
        aged = {}
        for step in steps:
            job = step.job
            if job.received_s > limit_s or job.job_id in aged:
                continue
            if waited_s(step, now_s, wall_ms) < AGED_AFTER_S:
                continue
            if job.excess or measure(step, now_s, wall_ms)[0] is Band.USELESS:
                aged[job.job_id] = job
        return aged

    def _use_raised(self, now_s: float) -> dict[PoolId, int]:
        """Return what raised jobs use or wait for, in thousandths of a core."""
        used: dict[PoolId, int] = {}
        for job_id in self.raised_by_id:
            job = self._state.jobs_by_id[job_id]
            if any(step.runs_by_index for step in job.steps()):
                self.raised_by_id[job_id] = now_s
            pool_id = job.queue.pool_id
            used[pool_id] = used.get(pool_id, 0) + _open_cpu_milli(job)
        return used

    def _lower_idle(self, now_s: float) -> None:
        for job_id, active_s in list(self.raised_by_id.items()):
            if now_s - active_s >= RAISED_IDLE_S:
                del self.raised_by_id[job_id]
                self._passed_over_by_id[job_id] = now_s
                self._log("job_lowered", now_s, job=job_id, idle_s=now_s - active_s)

    def _limit(self, pool_id: PoolId) -> float:
        """Return what raised jobs may use, in thousandths of a core."""
        return AGED_SHARE * sum(
            entry.worker.capacity.cpu_milli
            for entry in self._state.workers_by_id.values()
            if entry.worker.pool_id == pool_id
        )

    def _raise(self, job: JobEntry, now_s: float) -> None:
        self.raised_by_id[job.job_id] = now_s
        self._log(
            "job_raised",
            now_s,
            job=job.job_id,
            queue=job.queue.queue_id,
            customer=job.customer_id,
            excess=job.excess,
            waited_s=now_s - job.received_s,
            aged_after_s=AGED_AFTER_S,
            raised_jobs=len(self.raised_by_id),
        )

    def _log(self, event: str, now_s: float, **fields: object) -> None:
        """Log an event unless there were too many in this second; count the others."""
        if now_s >= self._log_end_s:
            self._log_end_s = now_s + 1.0
            self._log_lines = 0
        if self._log_lines >= MAX_LOG_LINES_PER_S:
            self._unlogged += 1
            return
        self._log_lines += 1
        log_event(logger, event, **fields, unlogged=self._unlogged)
        self._unlogged = 0


def _open_cpu_milli(job: JobEntry) -> int:
    """Return what the runs and the waiting tasks of a job's ready steps reserve."""
    total = 0
    for step in job.steps():
        count = len(step.runs_by_index)
        if not any(
            not job.occurrences[step.key.occurrence].steps[i].complete
            for i in step.step.after
        ):
            count += len(step.waiting)
        total += count * step.step.reserved.cpu_milli
    return total
