"""What follows from the end of an attempt: the outcome or another attempt."""

from ..common import ErrorCode, Outcome
from .confirmation import Confirmation
from .decisions import AttemptReport, AttemptResult, RequestResult
from .granting import Granting
from .lifecycle import RequestPhase
from .records import (
    AttemptRecord,
    RequestRecord,
    body_gone_result,
    cancelled_result,
    deadline_result,
    failed_result,
)
from .request_table import RequestTable

__all__ = ["AttemptEnds"]


class AttemptEnds:
    """Handles reports of entry instances and answers of upstreams."""

    def __init__(
        self, book: RequestTable, granting: Granting, confirmation: Confirmation
    ):
        self._book = book
        self._granting = granting
        self._confirmation = confirmation
        self._handlers = {
            AttemptResult.ANSWERED: self._answered,
            AttemptResult.FAILED: self._failed,
            AttemptResult.NOT_STARTED: self._not_started,
            AttemptResult.UNREACHABLE: self._unreachable,
            AttemptResult.LOST: self._lost,
            AttemptResult.STOPPED: self._stopped,
        }

    def reported(
        self, attempt: AttemptRecord, report: AttemptReport, now_s: float
    ) -> None:
        """Take an entry instance's report of the request's present attempt."""
        request = attempt.request
        if not report.body_held and attempt.entry_id in request.has_body_by_entry:
            request.has_body_by_entry[attempt.entry_id] = False
        self._handlers[report.result](request, attempt, report, now_s)

    def confirmed(
        self, attempt: AttemptRecord, result: AttemptResult | None, now_s: float
    ) -> None:
        """Take an upstream's word about an attempt in confirmation."""
        request = attempt.request
        if result is None and self._confirmation.ask_again(attempt, now_s):
            return
        self._book.release(attempt)
        if result is AttemptResult.NOT_STARTED:
            request.attempts_started -= 1
            self._retry_not_started(request, now_s)
        elif request.orphaned and request.has_body:
            # The caller's own submission has not been tried yet, so it needs no
            # token of the retry budget.
            request.orphaned = False
            self._wait(request, now_s)
        else:
            self._retry_or_end(request, now_s, ErrorCode.UPSTREAM_UNREACHABLE)

    def _answered(
        self,
        request: RequestRecord,
        attempt: AttemptRecord,
        report: AttemptReport,
        now_s: float,
    ) -> None:
        self._book.release(attempt)
        self._note_result(request, attempt, True, now_s)
        self._book.run_times.record(request.spec.kind_id, report.run_s)
        result = RequestResult(
            outcome=Outcome.DONE, answer=report.answer, answered_by=attempt.entry_id
        )
        self._book.end(request, result, now_s)

    def _failed(
        self,
        request: RequestRecord,
        attempt: AttemptRecord,
        _report: AttemptReport,
        now_s: float,
    ) -> None:
        self._book.release(attempt)
        self._note_failure(request, attempt, now_s)
        self._retry_or_end(request, now_s, ErrorCode.UPSTREAM_FAILED)

    def _not_started(
        self,
        request: RequestRecord,
        attempt: AttemptRecord,
        _report: AttemptReport,
        now_s: float,
    ) -> None:
        self._book.release(attempt)
        request.attempts_started -= 1
        self._retry_not_started(request, now_s)

    def _unreachable(
        self,
        request: RequestRecord,
        attempt: AttemptRecord,
        report: AttemptReport,
        now_s: float,
    ) -> None:
        request.avoided.append(attempt.upstream_id)
        self._book.pool.mark_unreachable(attempt.upstream_id, now_s)
        self._not_started(request, attempt, report, now_s)

    def _lost(
        self,
        request: RequestRecord,
        attempt: AttemptRecord,
        _report: AttemptReport,
        now_s: float,
    ) -> None:
        self._note_failure(request, attempt, now_s)
        if request.phase is not RequestPhase.CONFIRMING:
            self._confirmation.confirm(request, attempt, now_s)

    def _stopped(
        self,
        request: RequestRecord,
        attempt: AttemptRecord,
        _report: AttemptReport,
        now_s: float,
    ) -> None:
        self._book.release(attempt)
        self._retry_or_end(request, now_s, ErrorCode.CANCELLED)

    def _note_failure(
        self, request: RequestRecord, attempt: AttemptRecord, now_s: float
    ) -> None:
        request.avoided.append(attempt.upstream_id)
        self._note_result(request, attempt, False, now_s)

    def _note_result(
        self,
        request: RequestRecord,
        attempt: AttemptRecord,
        succeeded: bool,
        now_s: float,
    ) -> None:
        self._book.pool.record_result(
            attempt.upstream_id,
            succeeded,
            now_s,
            request_id=request.spec.request_id,
            kind_id=request.spec.kind_id,
        )

    def _retry_not_started(self, request: RequestRecord, now_s: float) -> None:
        book = self._book
        if request.announced:
            book.end(request, RequestResult.unknown(), now_s)
        elif request.cancelled:
            not_run = request.attempts_started <= 0
            book.end(request, cancelled_result(not_run=not_run), now_s)
        elif not request.has_body:
            book.end(request, body_gone_result(request), now_s)
        else:
            book.count("retry.not_started")
            self._wait(request, now_s + book.timings.not_started_delay_s)

    def _retry_or_end(
        self, request: RequestRecord, now_s: float, reason: ErrorCode
    ) -> None:
        book = self._book
        if request.cancelled:
            book.end(request, cancelled_result(not_run=False), now_s)
        elif not request.spec.repeatable:
            whole_answer = reason is ErrorCode.UPSTREAM_FAILED
            result = failed_result(reason) if whole_answer else RequestResult.unknown()
            book.end(request, result, now_s)
        elif not request.has_body:
            book.end(request, failed_result(reason), now_s)
        else:
            self._retry(request, now_s, reason)

    def _retry(self, request: RequestRecord, now_s: float, reason: ErrorCode) -> None:
        book = self._book
        decision = book.retries.decide(request.spec, request.attempts_started, now_s)
        if decision.at_s is None:
            book.count(f"retry_refused.{decision.refusal.value}")
            book.end(request, failed_result(ErrorCode.RETRIES_EXHAUSTED), now_s)
            return
        book.count(f"retry.{reason.value}")
        self._wait(request, decision.at_s)

    def _wait(self, request: RequestRecord, due_s: float) -> None:
        request.lifecycle.wait()

        def requeue(now_s: float) -> None:
            if request.phase is not RequestPhase.WAITING:
                return
            if now_s >= request.spec.deadline_s:
                # It passed while an attempt was under way that did not run.
                self._book.end(request, deadline_result(request), now_s)
            else:
                request.lifecycle.requeue()
                self._granting.enqueue(request, now_s)

        self._book.timers.call_at(due_s, requeue)
