"""Handles the end of an attempt: a final outcome or another attempt."""

from ..common import ErrorCode, Outcome
from .confirmation import Confirmation
from .decisions import AttemptReport, AttemptResult, RequestResult
from .granting import GrantIssuer
from .lifecycle import RequestPhase
from .records import (
    AttemptRecord,
    RequestRecord,
    body_unavailable_result,
    cancelled_result,
    deadline_result,
    failed_result,
)
from .request_table import RequestTable

__all__ = ["AttemptEndHandler"]


class AttemptEndHandler:
    """Handles attempt reports of entry instances and confirmations of upstreams."""

    def __init__(
        self, table: RequestTable, grant_issuer: GrantIssuer, confirmation: Confirmation
    ):
        self._table = table
        self._grant_issuer = grant_issuer
        self._confirmation = confirmation
        self._handlers = {
            AttemptResult.ANSWERED: self._handle_answered,
            AttemptResult.FAILED: self._handle_failed,
            AttemptResult.NOT_STARTED: self._handle_not_started,
            AttemptResult.UNREACHABLE: self._handle_unreachable,
            AttemptResult.LOST: self._handle_lost,
            AttemptResult.STOPPED: self._handle_stopped,
        }

    def handle_report(
        self, attempt: AttemptRecord, report: AttemptReport, now_s: float
    ) -> None:
        """Handle an entry instance's report of the request's current attempt."""
        request = attempt.request
        if not report.body_held and attempt.entry_id in request.has_body_by_entry:
            request.has_body_by_entry[attempt.entry_id] = False
        self._handlers[report.result](request, attempt, report, now_s)

    def handle_confirmation(
        self, attempt: AttemptRecord, result: AttemptResult | None, now_s: float
    ) -> None:
        """Handle an upstream's answer about an attempt that is being confirmed.

        :param result: ``None`` if the attempt may still run.
        """
        request = attempt.request
        if result is None and self._confirmation.schedule_next_poll(attempt, now_s):
            return
        self._table.release(attempt)
        if result is AttemptResult.NOT_STARTED:
            request.attempts_started -= 1
            self._retry_not_started(request, now_s)
        elif request.orphaned and request.has_body:
            # The caller's resubmission has not been attempted yet, so its first
            # attempt takes no token from the retry budget.
            request.orphaned = False
            self._schedule_requeue(request, now_s)
        else:
            self._retry_or_end(request, now_s, ErrorCode.UPSTREAM_UNREACHABLE)

    def _handle_answered(
        self,
        request: RequestRecord,
        attempt: AttemptRecord,
        report: AttemptReport,
        now_s: float,
    ) -> None:
        self._table.release(attempt)
        self._record_result(request, attempt, True, now_s)
        self._table.run_times.record(request.spec.kind_id, report.run_s)
        result = RequestResult(
            outcome=Outcome.DONE, answer=report.answer, answered_by=attempt.entry_id
        )
        self._table.end(request, result, now_s)

    def _handle_failed(
        self,
        request: RequestRecord,
        attempt: AttemptRecord,
        _report: AttemptReport,
        now_s: float,
    ) -> None:
        self._table.release(attempt)
        self._record_failure(request, attempt, now_s)
        self._retry_or_end(request, now_s, ErrorCode.UPSTREAM_FAILED)

    def _handle_not_started(
        self,
        request: RequestRecord,
        attempt: AttemptRecord,
        _report: AttemptReport,
        now_s: float,
    ) -> None:
        self._table.release(attempt)
        request.attempts_started -= 1
        self._retry_not_started(request, now_s)

    def _handle_unreachable(
        self,
        request: RequestRecord,
        attempt: AttemptRecord,
        report: AttemptReport,
        now_s: float,
    ) -> None:
        request.avoided_upstreams.append(attempt.upstream_id)
        self._table.pool.mark_unreachable(attempt.upstream_id, now_s)
        self._handle_not_started(request, attempt, report, now_s)

    def _handle_lost(
        self,
        request: RequestRecord,
        attempt: AttemptRecord,
        _report: AttemptReport,
        now_s: float,
    ) -> None:
        self._record_failure(request, attempt, now_s)
        if request.phase is not RequestPhase.CONFIRMING:
            self._confirmation.confirm(request, attempt, now_s)

    def _handle_stopped(
        self,
        request: RequestRecord,
        attempt: AttemptRecord,
        _report: AttemptReport,
        now_s: float,
    ) -> None:
        self._table.release(attempt)
        self._retry_or_end(request, now_s, ErrorCode.CANCELLED)

    def _record_failure(
        self, request: RequestRecord, attempt: AttemptRecord, now_s: float
    ) -> None:
        request.avoided_upstreams.append(attempt.upstream_id)
        self._record_result(request, attempt, False, now_s)

    def _record_result(
        self,
        request: RequestRecord,
        attempt: AttemptRecord,
        succeeded: bool,
        now_s: float,
    ) -> None:
        self._table.pool.record_result(
            attempt.upstream_id,
            succeeded,
            now_s,
            request_id=request.spec.request_id,
            kind_id=request.spec.kind_id,
        )

    def _retry_not_started(self, request: RequestRecord, now_s: float) -> None:
        table = self._table
        if request.outcome_published:
            table.end(request, RequestResult.unknown(), now_s)
        elif request.cancelled:
            not_run = request.attempts_started <= 0
            table.end(request, cancelled_result(not_run=not_run), now_s)
        elif not request.has_body:
            table.end(request, body_unavailable_result(request), now_s)
        else:
            table.count("retry.not_started")
            self._schedule_requeue(request, now_s + table.timings.not_started_delay_s)

    def _retry_or_end(
        self, request: RequestRecord, now_s: float, reason: ErrorCode
    ) -> None:
        table = self._table
        if request.cancelled:
            table.end(request, cancelled_result(not_run=False), now_s)
        elif not request.spec.repeatable:
            is_answered = reason is ErrorCode.UPSTREAM_FAILED
            result = failed_result(reason) if is_answered else RequestResult.unknown()
            table.end(request, result, now_s)
        elif not request.has_body:
            table.end(request, failed_result(reason), now_s)
        else:
            self._retry(request, now_s, reason)

    def _retry(self, request: RequestRecord, now_s: float, reason: ErrorCode) -> None:
        table = self._table
        decision = table.retries.decide(request.spec, request.attempts_started, now_s)
        if decision.at_s is None:
            table.count(f"retry_refused.{decision.refusal.value}")
            table.end(request, failed_result(ErrorCode.RETRIES_EXHAUSTED), now_s)
            return
        table.count(f"retry.{reason.value}")
        self._schedule_requeue(request, decision.at_s)

    def _schedule_requeue(self, request: RequestRecord, due_s: float) -> None:
        request.lifecycle.wait()

        def requeue(now_s: float) -> None:
            if request.phase is not RequestPhase.WAITING:
                return
            if now_s >= request.spec.deadline_s:
                # The deadline passed during an attempt that did not start.
                self._table.end(request, deadline_result(request), now_s)
            else:
                request.lifecycle.requeue()
                self._grant_issuer.enqueue(request, now_s)

        self._table.timers.call_at(due_s, requeue)
