"""Quarantines workers by recent failures, with regard to their data centre."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..common import JobId, WorkerHealth, WorkerId
from ..common.worker_health import FAULTY_JOB_WORKERS

__all__ = ["FailingJobCounts", "FailureRates"]

# First quarantine of a worker that fails tasks of several jobs: about the time in which
# a fault passes or the operator replaces the worker.
QUARANTINE_BASE_S = 5.0

# Faults of workers last about this long; older failures count for little.
HALF_LIFE_S = 6.0
# Weight of a failure of a job that has succeeded elsewhere, and of any other, which may
# be the job's own fault.
KNOWN_JOB_WEIGHT = 1.0
UNKNOWN_JOB_WEIGHT = 0.5
# Weight that starts a quarantine: two jobs of which one has succeeded, or three others.
QUARANTINE_WEIGHT = 1.2
# A worker that fails this share of its runs is quarantined, although some succeed.
FAILING_SHARE = 0.4
MIN_FAILURES = 3.0
# Failures of a job with less weight are dropped, so that old jobs take no memory.
MIN_WEIGHT = 0.02

# A data centre fails if this many of its workers, and this share of them, have failed
# within a time without a success since, and elsewhere a third of this share at most.
# The tasks of one faulty job fail at the same time on many workers.
FAILING_ZONE_WORKERS = 3
FAILING_ZONE_JOBS = 2
FAILING_ZONE_SHARE = 0.5
SOUND_ZONE_FACTOR = 1 / 3
RECENT_S = 2.0
# It has recovered after this many successes in a row of runs started since, at the
# latest after this time.
RECOVERED_ZONE_SUCCESSES = 2
MAX_ZONE_FAILURE_S = 15.0

# Periods of the first quarantines in a row, which cover the usual faults; then each is
# twice as long. A failed probe costs a small part of the work of a task.
PERIODS_S = (1.5, 1.5, 1.5, 1.5, 1.5, 3.0)
MAX_PERIOD_S = 3600.0
# A probe that runs for this multiple of the longest time after which runs have failed,
# and a margin, shows that the fault is over.
PROBE_FACTOR = 2.0
PROBE_MARGIN_S = 0.3

# A task on its last attempt avoids workers with a failure within this time.
RISK_S = 8.0


@dataclass(slots=True)
class _Rate:
    """Failures and successes whose weight halves with each half-life."""

    failures_by_job: dict[JobId, float] = field(default_factory=dict)
    successes: float = 0.0
    at_s: float = 0.0

    def decay(self, now_s: float) -> None:
        factor = 0.5 ** (max(0.0, now_s - self.at_s) / HALF_LIFE_S)
        self.failures_by_job = {
            job_id: weight * factor
            for job_id, weight in self.failures_by_job.items()
            if weight * factor >= MIN_WEIGHT
        }
        self.successes *= factor
        self.at_s = max(self.at_s, now_s)


@dataclass(slots=True)
class _ZoneFailure:
    """A data centre that fails.

    :param successes: successes in a row of runs that were started since.
    """

    since_s: float
    successes: int = 0


@dataclass(slots=True)
class _Evidence:
    """What speaks against a worker.

    :param failed_s_by_job: time of the newest failure of each job since a success.
    :param newest_start_s: start of the failed run that was started last.
    :param first_failed_s: time of the first failure since a success, or ``None``.
    :param longest_s: longest time from the placement to the failure of a run that was
        started since then; ``None`` before one.
    :param quarantined_s: begin of the present quarantine, or ``None``.
    """

    zone: str
    rate: _Rate = field(default_factory=_Rate)
    failed_s_by_job: dict[JobId, float] = field(default_factory=dict)
    failed_s: float = float("-inf")
    newest_start_s: float = float("-inf")
    first_failed_s: float | None = None
    longest_s: float | None = None
    quarantined_s: float | None = None


class FailureRates(WorkerHealth):
    """Judges workers by their recent failures, and data centres by their workers.

    Differs from the base class in these points: failures lose weight with time, and
    weigh more if the job succeeds elsewhere; a success of a run that was started before
    a failed one says nothing; a worker that fails a part of its runs is found; in a
    failing data centre each failure starts a quarantine, and its workers count as one
    for a job that seems to fail everywhere; the first probes follow sooner.

    :param limit: returns how many workers may be in quarantine at the same time.
    """

    def __init__(self, *, limit: Callable[[], int]):
        super().__init__(quarantine_base_s=PERIODS_S[0])
        self._limit = limit
        self._evidence_by_worker: dict[WorkerId, _Evidence] = {}
        self._zone_count = 0
        # Begin of the failure of each data centre that fails, and successes in a row of
        # runs that were started since.
        self._failing_zones: dict[str, _ZoneFailure] = {}

    # Judgements.

    @property
    def failing_zones(self) -> frozenset[str]:
        """Data centres that fail as a whole."""
        return frozenset(self._failing_zones)

    def zone_fails_since_s(self, zone: str) -> float | None:
        """Return since when a data centre fails, ``None`` if it does not."""
        failure = self._failing_zones.get(zone)
        return None if failure is None else failure.since_s

    def quarantined_since_s(self, worker_id: WorkerId) -> float | None:
        """Return when the present quarantine began, ``None`` if there is none."""
        if not self.is_quarantined(worker_id):
            return None
        evidence = self._evidence_by_worker.get(worker_id)
        return None if evidence is None else evidence.quarantined_s

    def is_risky(self, worker_id: WorkerId, now_s: float) -> bool:
        """Whether a task on its last attempt avoids a worker."""
        evidence = self._evidence_by_worker.get(worker_id)
        return evidence is not None and now_s - evidence.failed_s < RISK_S

    def failure_share(self, worker_id: WorkerId) -> float:
        """Return the share of failures among the recent ends on a worker."""
        evidence = self._evidence_by_worker.get(worker_id)
        return 0.0 if evidence is None else self._measure(evidence.rate)[1]

    def job_fails_everywhere(self, job_id: JobId) -> bool:
        """Whether a job has failed at several places and succeeded at none.

        The workers of a failing data centre are one place, and so are all workers in
        quarantine, since they fail sound jobs as well. One data centre of several does
        not suffice, since it may be about to count as failing.
        """
        if not super().job_fails_everywhere(job_id):
            return False
        places, zones = set(), set()
        for worker_id in self._failing_workers_by_job[job_id]:
            evidence = self._evidence_by_worker.get(worker_id)
            zone = "" if evidence is None else evidence.zone
            zones.add(zone)
            if zone in self._failing_zones:
                places.add(zone)
            else:
                places.add("" if self.is_quarantined(worker_id) else worker_id)
        several = len(zones) > 1 or self._zone_count < 2
        return several and len(places) >= FAULTY_JOB_WORKERS

    # Events.

    def record_success(
        self,
        worker_id: WorkerId,
        job_id: JobId,
        *,
        zone: str = "",
        started_s: float = float("inf"),
        now_s: float = 0.0,
    ) -> None:
        """Record a success.

        :param zone: data centre of the worker.
        :param started_s: time at which the run was placed.
        """
        self._succeeded_jobs.add(job_id)
        failure = self._failing_zones.get(zone)
        if failure is not None and started_s >= failure.since_s:
            self._count_zone_success(zone, now_s)
        evidence = self._evidence_by_worker.get(worker_id)
        if evidence is None:
            return
        evidence.rate.decay(now_s)
        evidence.rate.successes += 1
        if started_s < evidence.newest_start_s:
            # The fault may have begun after the start of this run.
            return
        since_s = evidence.quarantined_s
        if since_s is not None and started_s < since_s:
            return
        self._clear(worker_id, evidence)

    def _clear(self, worker_id: WorkerId, evidence: _Evidence) -> None:
        evidence.failed_s_by_job.clear()
        evidence.quarantined_s = None
        evidence.first_failed_s = evidence.longest_s = None
        self._workers_by_id.pop(worker_id, None)

    def record_probe(
        self, worker_id: WorkerId, *, zone: str, age_s: float, now_s: float
    ) -> bool:
        """Record that the probe of a quarantined worker is running.

        :param age_s: time for which it has been running for certain.
        :returns: whether the quarantine is over, since the probe runs for far longer
            than the runs that failed.
        """
        evidence = self._evidence_by_worker.get(worker_id)
        if evidence is None or evidence.quarantined_s is None:
            return False
        if evidence.longest_s is None:
            return False
        if age_s < PROBE_FACTOR * evidence.longest_s + PROBE_MARGIN_S:
            return False
        self._clear(worker_id, evidence)
        self._count_zone_success(zone, now_s)
        return True

    def _count_zone_success(self, zone: str, now_s: float) -> None:
        failure = self._failing_zones.get(zone)
        if failure is None:
            return
        failure.successes += 1
        if failure.successes >= RECOVERED_ZONE_SUCCESSES:
            self._end_zone_failure(zone, now_s)

    def record_failure(
        self,
        worker_id: WorkerId,
        job_id: JobId,
        now_s: float,
        *,
        zone: str = "",
        started_s: float = float("inf"),
    ) -> list[WorkerId]:
        """Record a failure.

        :param zone: data centre of the worker.
        :param started_s: time at which the run was placed.
        :returns: workers that were quarantined or released as a result.
        """
        evidence = self._evidence_by_worker.setdefault(worker_id, _Evidence(zone))
        repeated = job_id in evidence.failed_s_by_job
        evidence.failed_s = evidence.failed_s_by_job[job_id] = now_s
        if started_s != float("inf"):
            evidence.newest_start_s = max(evidence.newest_start_s, started_s)
            if evidence.first_failed_s is None:
                evidence.first_failed_s = now_s
            elif started_s >= evidence.first_failed_s:
                evidence.longest_s = max(evidence.longest_s or 0.0, now_s - started_s)
        # Many tasks of one job may fail for the same reason.
        if zone in self._failing_zones:
            self._failing_zones[zone].successes = 0
        if not repeated and not self.job_fails_everywhere(job_id):
            evidence.rate.decay(now_s)
            counted = evidence.rate.failures_by_job
            counted[job_id] = counted.get(job_id, 0.0) + 1
        since_s = evidence.quarantined_s
        if (
            since_s is not None
            and started_s < since_s
            and self.is_quarantined(worker_id)
        ):
            # Not the probe, but a run from before the quarantine.
            self._failing_workers_by_job.setdefault(job_id, set()).add(worker_id)
            return []
        changed = super().record_failure(worker_id, job_id, now_s)
        for each in changed:
            self._note_quarantine(each, now_s)
        return changed

    def _measure(self, rate: _Rate) -> tuple[float, float]:
        """Return the weight of the failures, and their share among all ends.

        Failures of a job that fails everywhere say nothing about the worker. They
        count again if the job succeeds after all.
        """
        failures = sum(
            weight
            for job_id, weight in rate.failures_by_job.items()
            if not self.job_fails_everywhere(job_id)
        )
        total = failures + rate.successes
        return failures, failures / total if total else 0.0

    def _note_quarantine(self, worker_id: WorkerId, now_s: float) -> None:
        evidence = self._evidence_by_worker.get(worker_id)
        if evidence is None:
            return
        quarantined = self.is_quarantined(worker_id)
        evidence.quarantined_s = now_s if quarantined else None

    def _is_failing(self, worker_id: WorkerId, now_s: float) -> bool:
        evidence = self._evidence_by_worker[worker_id]
        if not self.is_quarantined(worker_id):
            others = sum(map(self.is_quarantined, self._workers_by_id))
            if others >= self._limit():
                return False
        if evidence.zone in self._failing_zones:
            return True
        weight = sum(
            self._weight(job_id) * 0.5 ** ((now_s - failed_s) / HALF_LIFE_S)
            for job_id, failed_s in evidence.failed_s_by_job.items()
        )
        if weight >= QUARANTINE_WEIGHT:
            return True
        evidence.rate.decay(now_s)
        failures, share = self._measure(evidence.rate)
        return failures >= MIN_FAILURES and share >= FAILING_SHARE

    def _weight(self, job_id: JobId) -> float:
        known = job_id in self._succeeded_jobs
        return KNOWN_JOB_WEIGHT if known else UNKNOWN_JOB_WEIGHT

    def _period_s(self, quarantines: int) -> float:
        if quarantines < len(PERIODS_S):
            return PERIODS_S[quarantines]
        doubled = PERIODS_S[-1] * 2 ** (quarantines - len(PERIODS_S) + 1)
        return min(MAX_PERIOD_S, doubled)

    def _discard_failures(self, job_id: JobId, now_s: float) -> list[WorkerId]:
        for worker_id in self._failing_workers_by_job[job_id]:
            evidence = self._evidence_by_worker.get(worker_id)
            if evidence is not None:
                evidence.failed_s_by_job.pop(job_id, None)
        return super()._discard_failures(job_id, now_s)

    def update_zones(self, sizes_by_zone: Mapping[str, int], now_s: float) -> None:
        """Find the data centres that fail as a whole.

        :param sizes_by_zone: number of workers of each data centre.
        """
        self._zone_count = len(sizes_by_zone)
        for zone, failure in list(self._failing_zones.items()):
            if now_s - failure.since_s > MAX_ZONE_FAILURE_S:
                self._end_zone_failure(zone, now_s)
        failing_by_zone: Counter[str] = Counter()
        jobs_by_zone: dict[str, set[JobId]] = {}
        for evidence in self._evidence_by_worker.values():
            if evidence.failed_s_by_job and now_s - evidence.failed_s < RECENT_S:
                failing_by_zone[evidence.zone] += 1
                jobs = jobs_by_zone.setdefault(evidence.zone, set())
                jobs.update(evidence.failed_s_by_job)
        for zone, failing in failing_by_zone.items():
            if zone in self._failing_zones or failing < FAILING_ZONE_WORKERS:
                continue
            if len(jobs_by_zone[zone]) < FAILING_ZONE_JOBS:
                continue
            elsewhere = sum(sizes_by_zone.values()) - sizes_by_zone.get(zone, 0)
            failing_elsewhere = failing_by_zone.total() - failing
            share = failing / max(1, sizes_by_zone.get(zone, 0))
            if share < FAILING_ZONE_SHARE or not elsewhere:
                continue
            if failing_elsewhere / elsewhere <= SOUND_ZONE_FACTOR * share:
                self._failing_zones[zone] = _ZoneFailure(now_s)

    def _end_zone_failure(self, zone: str, now_s: float) -> None:
        """Forget the failures of a data centre; its workers may be probed at once."""
        del self._failing_zones[zone]
        for worker_id, evidence in self._evidence_by_worker.items():
            if evidence.zone != zone:
                continue
            evidence.failed_s = float("-inf")
            record = self._workers_by_id.get(worker_id)
            if record is not None and record.quarantined_until_s is not None:
                record.quarantined_until_s = min(record.quarantined_until_s, now_s)

    def forget_job(self, job_id: JobId) -> None:
        """Remove the records of a job that has ended."""
        faulty = self.job_fails_everywhere(job_id)
        super().forget_job(job_id)
        for evidence in self._evidence_by_worker.values():
            evidence.failed_s_by_job.pop(job_id, None)
            if faulty:
                evidence.rate.failures_by_job.pop(job_id, None)

    def forget_worker(self, worker_id: WorkerId) -> None:
        """Remove the record of a worker that is gone."""
        super().forget_worker(worker_id)
        self._evidence_by_worker.pop(worker_id, None)


class FailingJobCounts(FailureRates):
    """Judges workers by the number of jobs that have failed since a success only.

    The judgement of cells that are not shared by customers.
    """

    def __init__(self, *, limit: Callable[[], int]):
        super().__init__(limit=limit)
        self._quarantine_base_s = QUARANTINE_BASE_S

    def is_risky(self, worker_id: WorkerId, now_s: float) -> bool:
        """No task avoids a worker because of an earlier failure of others."""
        return False

    def job_fails_everywhere(self, job_id: JobId) -> bool:
        """Whether a job has failed on several workers and succeeded on none."""
        return WorkerHealth.job_fails_everywhere(self, job_id)

    def record_success(self, worker_id: WorkerId, job_id: JobId, **details) -> None:
        """Record a success."""
        WorkerHealth.record_success(self, worker_id, job_id)

    def record_failure(
        self, worker_id: WorkerId, job_id: JobId, now_s: float, **details
    ) -> list[WorkerId]:
        """Record a failure.

        :returns: workers that were quarantined or released as a result.
        """
        return WorkerHealth.record_failure(self, worker_id, job_id, now_s)

    def record_probe(self, worker_id: WorkerId, **details) -> bool:
        """Return false: only the end of a probe counts."""
        return False

    def update_zones(self, sizes_by_zone: Mapping[str, int], now_s: float) -> None:
        """Do nothing: data centres are not judged."""

    def _is_failing(self, worker_id: WorkerId, now_s: float) -> bool:
        return WorkerHealth._is_failing(self, worker_id, now_s)

    def _period_s(self, quarantines: int) -> float:
        return WorkerHealth._period_s(self, quarantines)

    def _discard_failures(self, job_id: JobId, now_s: float) -> list[WorkerId]:
        return WorkerHealth._discard_failures(self, job_id, now_s)
