"""What is known of the workers: directory, reachability, lists of runs."""

from ..common import WorkerId
from .advice import AdvicePlanner
from .lifecycle import Lifecycle
from .model import EndKind, Worker
from .records import WorkerInUse, WorkerReleased
from .run_reports import ReportedEnd, ReportedRun, RunReportHandler
from .scheduler_state import SchedulerState
from .state import TaskRun, WorkerEntry

__all__ = ["Fleet"]

# A worker that has not been listed for so long counts as unreachable, whatever its
# driver says; listings follow each other within 1.5 s.
SILENT_S = 4.0

# A process that has taken the place of another is in the directory by then, or its
# runs have lost their lease.
ASTRAY_S = 12.0


class Fleet:
    """Applies what is heard of workers, and what follows from silence.

    :param book: the owner's tables.
    :param lifecycle: ends the runs of workers that are lost.
    :param advice: forgets approvals for earlier lives of a worker.
    """

    def __init__(
        self, book: SchedulerState, lifecycle: Lifecycle, advice: AdvicePlanner
    ):
        self._book = book
        self._lifecycle = lifecycle
        self._advice = advice
        self._listings = RunReportHandler(book, lifecycle)
        # Starts that a worker's next process may have taken, until it is listed,
        # with the time at which they are given up.
        self._astray: dict[WorkerId, tuple[float, list[TaskRun]]] = {}

    def update_worker(self, worker: Worker, *, now_s: float) -> None:
        """Take a directory entry; a new incarnation ends all runs of the old one."""
        entry = self._book.workers_by_id.get(worker.worker_id)
        if entry is not None and entry.worker.incarnation != worker.incarnation:
            self.remove_worker(worker.worker_id, now_s=now_s, replaced=True)
            entry = None
        if entry is None:
            entry = self._book.workers_by_id[worker.worker_id] = WorkerEntry(worker)
            self._advice.worker_replaced(worker.worker_id)
            for run in self._astray.pop(worker.worker_id, (0.0, []))[1]:
                self._lifecycle.block_astray(run, entry)
            return
        entry.worker = worker
        entry.registered = True

    def mark_unregistered(self, worker_id: WorkerId) -> None:
        """Note that the directory no longer names a worker."""
        entry = self._book.workers_by_id.get(worker_id)
        if entry is not None:
            entry.registered = False

    def remove_worker(
        self, worker_id: WorkerId, *, now_s: float, replaced: bool = False
    ) -> None:
        """Forget a worker whose process has certainly ended.

        :param replaced: whether another process answers in its place, which may have
            taken the newest starts.
        """
        entry = self._book.workers_by_id.pop(worker_id, None)
        if entry is None:
            return
        if replaced:
            astray = self._lifecycle.take_astray(entry)
            if astray:
                self._astray[worker_id] = (now_s + ASTRAY_S, astray)
        self._lifecycle.worker_lost(entry, now_s=now_s)
        self._book.health.forget_worker(worker_id)
        if entry.recorded:
            self._book.record(WorkerReleased(worker_id, entry.worker.incarnation))

    def mark_unreachable(self, worker_id: WorkerId) -> None:
        """Note that a worker does not answer; its runs may go on."""
        entry = self._book.workers_by_id.get(worker_id)
        if entry is not None:
            entry.reachable = False

    def extend_lease(self, worker_id: WorkerId, lease_end_s: float) -> None:
        """Note the latest time until which a worker's runs may go on."""
        entry = self._book.workers_by_id.get(worker_id)
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
    ) -> bool:
        """Take a worker's list of runs.

        :param complete: whether no end was left out of the list.
        :param sent_s: time at which the list was requested.
        :returns: whether the list was taken; that of a worker which has been dropped
            is not, and its ends must not be acknowledged.
        """
        entry = self._book.workers_by_id.get(worker_id)
        if entry is None:
            return False
        entry.reachable = True
        self._listings.apply(
            entry,
            running,
            ended,
            complete=complete,
            sent_s=sent_s,
            now_s=now_s,
            wall_ms=wall_ms,
        )
        if complete and not entry.has_reported:
            entry.has_reported = True
            self._record_use(entry)
        return True

    def _record_use(self, entry: WorkerEntry) -> None:
        """See that later owners know of the worker before a run is placed there."""
        if entry.recorded:
            return
        entry.recorded = True
        worker = entry.worker
        entry.use_record = self._book.record(
            WorkerInUse(worker.worker_id, worker.address, worker.incarnation)
        )

    def check(self, now_s: float) -> None:
        """Apply what follows from the passing of time."""
        for worker_id, (end_s, runs) in list(self._astray.items()):
            if now_s > end_s:
                del self._astray[worker_id]
                for run in runs:
                    self._lifecycle.end_unlisted(run, EndKind.LEASE_EXPIRED, now_s)
        for worker_id, entry in list(self._book.workers_by_id.items()):
            self._check_worker(worker_id, entry, now_s)

    def _check_worker(
        self, worker_id: WorkerId, entry: WorkerEntry, now_s: float
    ) -> None:
        if entry.has_reported and now_s - entry.report_requested_s > SILENT_S:
            entry.reachable = False
        if entry.reachable and entry.has_reported:
            return
        if now_s < entry.lease_end_s:
            return
        if not entry.registered:
            self.remove_worker(worker_id, now_s=now_s)
        elif entry.has_reported:
            # Its later listings are taken like those of a worker not seen before.
            entry.has_reported = False
            self._lifecycle.worker_lost(entry, now_s=now_s)
