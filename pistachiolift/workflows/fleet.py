"""State of the workers from the directory, their reachability and run reports."""

import logging
from collections import Counter

from ..common import WorkerId, log_event
from .advice import AdvicePlanner
from .crashes import CrashTracker
from .lifecycle import Lifecycle
from .model import TaskRunStatus, Worker, WorkerState
from .records import WorkerInUse, WorkerReleased
from .run_reports import ReportedEnd, ReportedRun, RunReportHandler
from .scheduler_state import SchedulerState
from .state import TaskRun, WorkerEntry

__all__ = ["Fleet"]

logger = logging.getLogger(__name__)

# A worker without a run report for this time counts as unreachable, even if its driver
# has not said so. Reports are polled at intervals of at most 1.5 s.
REPORT_TIMEOUT_S = 4.0

# A quarantined worker is probed with an urgent task, or one on its last attempt, only
# if no other task has been placed there for this time.
PROBE_URGENT_AFTER_S = 3.0

# A worker that answers again after it was unreachable is used last for this time, since
# it may go down again soon.
RETURNED_SUSPECT_S = 5.0
# A worker that has not answered a start for the first time is used last for the second.
START_ANSWER_S = 0.3
START_SUSPECT_S = 3.0


class Fleet:
    """Tracks the workers and ends the runs of those that are lost.

    :param state: the owner's jobs and workers.
    :param lifecycle: ends the runs of lost workers.
    :param advice: discards the approvals of replaced workers.
    :param crashes: counts the crashes of workers.
    :param longest_lease_s: time by which the longest lease that a worker accepts has
        certainly expired, in seconds.
    """

    def __init__(
        self,
        state: SchedulerState,
        lifecycle: Lifecycle,
        advice: AdvicePlanner,
        crashes: CrashTracker,
        *,
        longest_lease_s: float,
    ):
        self._state = state
        self._lifecycle = lifecycle
        self._advice = advice
        self._crashes = crashes
        self._longest_lease_s = longest_lease_s
        self._report_handler = RunReportHandler(state, lifecycle, crashes)
        self._failing_zones: frozenset[str] = frozenset()

    def update_worker(self, worker: Worker, *, now_s: float) -> None:
        """Apply a directory entry; a newer incarnation replaces the known process.

        An entry of an older incarnation is ignored, since the directory may be read
        late, but the known process gets no new runs until it is listed. If the older
        one is its replacement, after the machine's clock was set back, the known one
        is removed when its lease has ended.
        """
        entry = self._state.workers_by_id.get(worker.worker_id)
        if entry is not None:
            known = entry.worker.incarnation
            if worker.incarnation < known:
                entry.registered = False
                return
            if worker.incarnation > known:
                self.replace_worker(worker, now_s=now_s)
                return
        if entry is None:
            self._add_worker(worker)
            return
        entry.worker = worker
        entry.registered = True

    def _add_worker(self, worker: Worker) -> WorkerEntry:
        entry = WorkerEntry(worker, self._state.caps)
        self._state.workers_by_id[worker.worker_id] = entry
        self._advice.discard_approvals(worker.worker_id)
        return entry

    def replace_worker(
        self, worker: Worker, *, now_s: float, registered: bool = True
    ) -> None:
        """Replace a worker's process by another one with the same identifier.

        The other process may start what was sent to the known one. Such runs end, or
        continue, with its first report; all others end at once.

        :param registered: whether the process is in the directory; it gets no new runs
            before.
        """
        known = self._state.workers_by_id[worker.worker_id]
        runs = list(known.runs.values())
        uncertain = self._lifecycle.take_uncertain_starts(known, now_s)
        possible_charges = known.release_possible_runs()
        entry = self._add_worker(worker)
        entry.registered = registered
        # Starts and polls carry the end of a lease on the clock of the old process,
        # which the new one, whose clock has begun again, cuts to the longest lease.
        entry.lease_end_s = now_s + self._longest_lease_s
        for run in uncertain:
            self._lifecycle.move_uncertain_start(run, entry, now_s)
        for key, charge in possible_charges.items():
            entry.charge_possible_run(key, charge)
        self._end_process(known, runs, now_s, replaced=True)
        if uncertain or possible_charges:
            # A later owner must expect them there as well.
            self._record_use(entry)

    def mark_unregistered(self, worker_id: WorkerId) -> None:
        """Record that a worker is no longer in the directory."""
        entry = self._state.workers_by_id.get(worker_id)
        if entry is not None:
            entry.registered = False

    def remove_worker(
        self, worker_id: WorkerId, *, now_s: float, replaced: bool = False
    ) -> None:
        """Remove a worker whose process is known to have ended.

        :param replaced: whether a process with another identifier has its address. It
            rejects all calls meant for the worker, so that none can start a run.
        """
        entry = self._state.workers_by_id.pop(worker_id, None)
        if entry is not None:
            runs = list(entry.runs.values())
            self._end_process(entry, runs, now_s, replaced=replaced)

    def _end_process(
        self, entry: WorkerEntry, runs: list[TaskRun], now_s: float, *, replaced: bool
    ) -> None:
        """End the runs of a process that has ended.

        :param runs: all runs that it may have had, also those that were moved.
        """
        self._lifecycle.end_runs_of(entry, now_s=now_s)
        self._crashes.record_crash(entry.worker, runs, now_s, replaced=replaced)
        self._state.health.forget_worker(entry.worker_id)
        if entry.recorded:
            released = WorkerReleased(entry.worker_id, entry.worker.incarnation)
            self._state.record(released)

    def mark_unreachable(self, worker_id: WorkerId) -> None:
        """Record that a worker does not answer; its runs may still be running."""
        entry = self._state.workers_by_id.get(worker_id)
        if entry is not None:
            entry.reachable = False

    def extend_lease(self, worker_id: WorkerId, lease_end_s: float) -> None:
        """Record the time until which a worker's runs may continue.

        :param lease_end_s: monotonic time; an earlier one than on record is ignored.
        """
        entry = self._state.workers_by_id.get(worker_id)
        if entry is not None:
            entry.lease_end_s = max(entry.lease_end_s, lease_end_s)

    def apply_report(
        self,
        worker_id: WorkerId,
        running: list[ReportedRun],
        ended: list[ReportedEnd],
        *,
        complete: bool,
        sent_s: float,
        now_s: float,
        wall_ms: int,
        remaining_s: float | None = None,
        clock_ms: int = 0,
    ) -> bool:
        """Apply a worker's run report.

        :param running: runs that the worker has.
        :param ended: runs that have ended there and are not acknowledged yet.
        :param complete: whether the report contains all ended runs.
        :param sent_s: time at which the report was requested.
        :param remaining_s: time until the worker kills its runs and leaves, in seconds;
            ``None`` if it stays.
        :param clock_ms: worker's clock at the time of the report; 0 if unknown.
        :returns: whether the report was applied. The report of a worker that has been
            removed is not, and its ended runs must not be acknowledged.
        """
        entry = self._state.workers_by_id.get(worker_id)
        if entry is None:
            return False
        if entry.has_reported and not entry.reachable:
            self._state.suspect(entry, "returned", now_s, RETURNED_SUSPECT_S)
        entry.reachable = True
        self._crashes.handle_report(entry.worker, now_s)
        self._update_notice(entry, remaining_s, sent_s, now_s)
        self._report_handler.apply(
            entry,
            running,
            ended,
            complete=complete,
            sent_s=sent_s,
            now_s=now_s,
            wall_ms=wall_ms,
            clock_ms=clock_ms,
        )
        if complete and not entry.has_reported:
            entry.has_reported = True
            self._record_use(entry)
        return True

    def _update_notice(
        self,
        entry: WorkerEntry,
        remaining_s: float | None,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Record when the worker leaves, or that it stays.

        A report that arrives late shows a time that is too late: the earliest counts.
        """
        if remaining_s == 0 and entry.worker.state is not WorkerState.DRAINING:
            remaining_s = None
        known_s = entry.leaves_s
        if remaining_s is None:
            entry.leaves_s = None
        else:
            leaves_s = now_s + remaining_s
            entry.leaves_s = leaves_s if known_s is None else min(known_s, leaves_s)
        if (known_s is None) == (entry.leaves_s is None):
            return
        log_event(
            logger,
            "worker_leaving" if known_s is None else "worker_stays",
            worker=entry.worker_id,
            remaining_s=-1.0 if remaining_s is None else remaining_s,
            report_age_s=now_s - sent_s,
            directory_state=entry.worker.state.value,
            runs=len(entry.runs),
        )

    def _record_use(self, entry: WorkerEntry) -> None:
        """Record that the worker is in use, so that later owners know about it.

        No run is placed on the worker before the record is durable.
        """
        if entry.recorded:
            return
        entry.recorded = True
        worker = entry.worker
        entry.use_record = self._state.record(
            WorkerInUse(worker.worker_id, worker.address, worker.incarnation)
        )

    def check(self, now_s: float) -> None:
        """End the runs of lost workers."""
        self._crashes.check(now_s)
        if self._state.shared:
            self._check_zones(now_s)
        for worker_id, entry in list(self._state.workers_by_id.items()):
            self._check_worker(worker_id, entry, now_s)

    def _check_zones(self, now_s: float) -> None:
        """Find the data centres that fail, and the workers that may be probed."""
        health = self._state.health
        entries = self._state.workers_by_id.values()
        sizes_by_zone = Counter(entry.worker.zone for entry in entries)
        health.update_zones(sizes_by_zone, now_s)
        known, self._failing_zones = self._failing_zones, health.failing_zones
        for zone in sorted(known ^ self._failing_zones):
            name = "zone_recovered" if zone in known else "zone_failing"
            self._state.counts[f"health.{name}"] += 1
            log_event(
                logger,
                name,
                zone=zone,
                workers=sizes_by_zone[zone],
                quarantined=sum(
                    entry.worker.zone == zone and entry.quarantined_s is not None
                    for entry in entries
                ),
            )
        for entry in entries:
            entry.zone_fails_s = health.zone_fails_since_s(entry.worker.zone)
            entry.risky = entry.zone_fails_s is not None or health.is_risky(
                entry.worker_id, now_s
            )
            self._check_probe(entry, now_s)
            self._check_starts(entry, now_s)
            due_s = entry.zone_fails_s
            if entry.quarantined_s is not None:
                due_s = health.quarantined_until_s(entry.worker_id)
            if due_s is not None:
                entry.probe_urgent = now_s >= due_s + PROBE_URGENT_AFTER_S

    def _check_probe(self, entry: WorkerEntry, now_s: float) -> None:
        """End a quarantine whose probe runs for longer than the runs that failed."""
        since_s = entry.quarantined_s
        if since_s is None:
            return
        for run in entry.runs.values():
            if run.placed_s < since_s or run.percent <= run.first_percent:
                continue
            age_s = run.progressed_s - run.placed_s
            if self._state.health.record_probe(
                entry.worker_id, zone=entry.worker.zone, age_s=age_s, now_s=now_s
            ):
                self._lifecycle.apply_quarantine(entry, run.task.job_id, now_s)
                return

    def _check_starts(self, entry: WorkerEntry, now_s: float) -> None:
        """Suspect a worker that leaves a start without an answer.

        Runs that have survived were started for certain.
        """
        for key in entry.unproven:
            run = entry.runs[key]
            if (
                run.status is TaskRunStatus.STARTING
                and run.sent_s is not None
                and now_s - run.sent_s > START_ANSWER_S
            ):
                reason = "start_unanswered"
                self._state.suspect(entry, reason, now_s, START_SUSPECT_S)
                return

    def _check_worker(
        self, worker_id: WorkerId, entry: WorkerEntry, now_s: float
    ) -> None:
        if entry.has_reported and now_s - entry.report_requested_s > REPORT_TIMEOUT_S:
            entry.reachable = False
        if entry.reachable and entry.has_reported:
            return
        if now_s < entry.lease_end_s:
            return
        if not entry.registered:
            self.remove_worker(worker_id, now_s=now_s)
        elif entry.has_reported or entry.runs or entry.possible_charges_by_run:
            # Later reports are handled like those of a new worker.
            entry.has_reported = False
            runs = list(entry.runs.values())
            self._lifecycle.end_runs_of(entry, now_s=now_s)
            self._crashes.record_lost(entry.worker, runs, now_s)
