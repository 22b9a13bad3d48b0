"""Finds out whether attempts without an answer still run."""

from .decisions import ConfirmAttempt, RequestResult
from .lifecycle import RequestPhase
from .records import AttemptRecord, RequestRecord
from .request_table import RequestTable

__all__ = ["Confirmation"]


class Confirmation:
    """Asks upstreams about lost attempts until they have certainly ended.

    An attempt that may be repeated or was cancelled is stopped by the question.
    Another one is left to finish, because a request that must not be repeated would
    otherwise be cut off half-way.
    """

    def __init__(self, book: RequestTable):
        self._book = book

    def confirm(
        self, request: RequestRecord, attempt: AttemptRecord, now_s: float
    ) -> None:
        """Start to ask about an attempt that is running or stopping."""
        request.lifecycle.confirm()
        self._book.count("attempt.confirming")
        may_change = request.spec.repeatable or request.cancelled
        if not may_change and not request.announced:
            # Another attempt is ruled out, so the outcome is final; only the slot
            # stays held.
            self._book.announce(request, RequestResult.unknown(), now_s)
        self._ask(attempt, now_s)

    def _ask(self, attempt: AttemptRecord, now_s: float) -> None:
        request = attempt.request
        stop = request.spec.repeatable or request.cancelled
        earliest_s = attempt.start_before_s + self._book.timings.margin_s
        if not stop and now_s < earliest_s:
            # Until then an attempt that does not run may still start.
            self._ask_at(attempt, earliest_s)
            return
        self._book.decisions.append(
            ConfirmAttempt(
                request_id=request.spec.request_id,
                attempt_id=attempt.attempt_id,
                address=self._book.pool.address_of(attempt.upstream_id) or "",
                stop=stop,
            )
        )

    def _ask_at(self, attempt: AttemptRecord, due_s: float) -> None:
        def ask(now_s: float) -> None:
            if attempt.request.phase is RequestPhase.CONFIRMING:
                self._ask(attempt, now_s)

        self._book.timers.call_at(due_s, ask)

    def ask_again(self, attempt: AttemptRecord, now_s: float) -> bool:
        """Ask later about an attempt that may still run.

        :returns: whether it may still run; after its run limit it has ended.
        """
        timings = self._book.timings
        if now_s > attempt.latest_end_s + timings.margin_s:
            self._book.count("attempt.run_limit_passed")
            return False
        self._ask_at(attempt, now_s + timings.confirm_interval_s)
        return True

    def watch_run_limit(self, attempt: AttemptRecord) -> None:
        """Ask about an attempt that nobody has reported by its run limit."""
        due_s = attempt.latest_end_s + self._book.timings.margin_s

        def overdue(now_s: float) -> None:
            request = attempt.request
            waiting = request.phase in (RequestPhase.RUNNING, RequestPhase.STOPPING)
            if request.attempt is attempt and waiting:
                self._book.count("attempt.overdue")
                # Its end may be known before the loss of its entry instance; later
                # attempts of a request need the retry budget.
                first = request.attempts_started == 1
                if first and request.waits_beside(attempt.entry_id):
                    request.orphaned = True
                self.confirm(request, attempt, now_s)

        self._book.timers.call_at(due_s, overdue)
