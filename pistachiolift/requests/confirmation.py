"""Confirms with upstreams whether lost attempts still run."""

from .decisions import ConfirmAttempt, RequestResult
from .lifecycle import RequestPhase
from .records import AttemptRecord, RequestRecord
from .request_table import RequestTable

__all__ = ["Confirmation"]


class Confirmation:
    """Polls upstreams about lost attempts until these have certainly ended.

    The poll also stops the attempt if its request is repeatable or cancelled. Other
    attempts are left to finish: stopping them would leave a request that must not be
    repeated half done.
    """

    def __init__(self, table: RequestTable):
        self._table = table

    def confirm(
        self, request: RequestRecord, attempt: AttemptRecord, now_s: float
    ) -> None:
        """Start to poll the state of an attempt that is running or being stopped."""
        request.lifecycle.confirm()
        self._table.count("attempt.confirming")
        may_run_again = request.spec.repeatable or request.cancelled
        if not may_run_again and not request.outcome_published:
            # There will be no further attempt, so the outcome is final. The slot
            # remains occupied until the attempt has ended.
            self._table.publish_outcome(request, RequestResult.unknown(), now_s)
        self._poll(attempt, now_s)

    def _poll(self, attempt: AttemptRecord, now_s: float) -> None:
        request = attempt.request
        stop = request.spec.repeatable or request.cancelled
        earliest_s = attempt.start_before_s + self._table.timings.margin_s
        if not stop and now_s < earliest_s:
            # Until then, an attempt that is not running may still start.
            self._schedule_poll(attempt, earliest_s)
            return
        self._table.decisions.append(
            ConfirmAttempt(
                request_id=request.spec.request_id,
                attempt_id=attempt.attempt_id,
                address=self._table.pool.address_of(attempt.upstream_id) or "",
                stop=stop,
            )
        )

    def _schedule_poll(self, attempt: AttemptRecord, due_s: float) -> None:
        def poll(now_s: float) -> None:
            if attempt.request.phase is RequestPhase.CONFIRMING:
                self._poll(attempt, now_s)

        self._table.timers.call_at(due_s, poll)

    def schedule_next_poll(self, attempt: AttemptRecord, now_s: float) -> bool:
        """Schedule the next poll of an attempt that may still run.

        :returns: whether a poll was scheduled; ``False`` after the run limit, when
            the attempt has ended in any case.
        """
        timings = self._table.timings
        if now_s > attempt.latest_end_s + timings.margin_s:
            self._table.count("attempt.run_limit_passed")
            return False
        self._schedule_poll(attempt, now_s + timings.confirm_interval_s)
        return True

    def watch_run_limit(self, attempt: AttemptRecord) -> None:
        """Confirm an attempt for which no report has arrived by its run limit."""
        due_s = attempt.latest_end_s + self._table.timings.margin_s

        def confirm_if_unreported(now_s: float) -> None:
            request = attempt.request
            unreported = request.phase in (RequestPhase.RUNNING, RequestPhase.STOPPING)
            if request.attempt is attempt and unreported:
                self._table.count("attempt.overdue")
                # The run limit may pass before the loss of the entry instance is
                # detected. Only a request with a single attempt is treated as
                # orphaned; later attempts take tokens from the retry budget.
                is_first = request.attempts_started == 1
                if is_first and request.has_body_elsewhere(attempt.entry_id):
                    request.orphaned = True
                self.confirm(request, attempt, now_s)

        self._table.timers.call_at(due_s, confirm_if_unreported)
