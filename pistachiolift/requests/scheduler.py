"""Decision core for the requests of one partition, run by its home."""

import random
from collections.abc import Callable

from ..common import (
    AttemptId,
    Epoch,
    ErrorCode,
    InstanceId,
    NotFoundError,
    PartitionId,
    PistachioliftError,
    RequestId,
    ShuttingDownError,
    StoreUnavailableError,
    UpstreamId,
)
from .attempt_ends import AttemptEndHandler
from .confirmation import Confirmation
from .decisions import (
    AttemptReport,
    AttemptResult,
    Decision,
    EndRequest,
    RequestResult,
    StopAttempt,
)
from .ended import EndedRequest, EndedRequests
from .fair_queue import FairQueue
from .granting import GrantIssuer
from .lifecycle import RequestPhase
from .model import PolicySource, RequestSpec
from .quota import SlotUsage
from .records import (
    AttemptRecord,
    RequestRecord,
    cancelled_result,
    deadline_result,
    mismatch_error,
)
from .request_table import RequestTable, RequestTimings
from .takeover import Takeover
from .upstream_pool import UpstreamPool

__all__ = ["RequestScheduler"]

STORE_RETRY_AFTER_S = 5.0
NOT_ACCEPTING_RETRY_AFTER_S = 60.0


class RequestScheduler:
    """Deduplicates, admits, queues, grants, retries and ends requests.

    The caller must check its authority before each call and carry out the returned
    decisions in order.

    :param rng: source of jitter.
    :param count: counts an event by its dotted name.
    """

    def __init__(
        self,
        *,
        partition_id: PartitionId,
        epoch: Epoch,
        policies: PolicySource,
        rng: random.Random,
        timings: RequestTimings | None = None,
        count: Callable[[str], None] = lambda name: None,
    ):
        self._table = RequestTable(
            partition_id=partition_id,
            epoch=epoch,
            policies=policies,
            rng=rng,
            timings=timings or RequestTimings(),
            count=count,
        )
        self._confirmation = Confirmation(self._table)
        self._grant_issuer = GrantIssuer(self._table, self._confirmation)
        self._takeover = Takeover(self._table, self._confirmation)
        self._end_handler = AttemptEndHandler(
            self._table, self._grant_issuer, self._confirmation
        )

    # State that the caller may read or set

    @property
    def epoch(self) -> Epoch:
        """Epoch of the grants."""
        return self._table.epoch

    @epoch.setter
    def epoch(self, epoch: Epoch) -> None:
        self._table.epoch = epoch

    @property
    def lendable_slots(self) -> int:
        """Number of slots that other partitions could lend, used for admission."""
        return self._table.lendable_slots

    @lendable_slots.setter
    def lendable_slots(self, count: int) -> None:
        self._table.lendable_slots = count

    @property
    def pool(self) -> UpstreamPool:
        """Upstreams of the partition."""
        return self._table.pool

    @property
    def queue(self) -> FairQueue:
        """Requests that wait for a slot."""
        return self._table.queue

    @property
    def ended(self) -> EndedRequests:
        """Requests that ended within the deduplication window."""
        return self._table.ended

    def usage(self, now_s: float) -> SlotUsage:
        """Return the slots in use by urgency and customer."""
        return self._table.usage(now_s)

    def is_open(self, request_id: RequestId) -> bool:
        """Return whether a request is open and its outcome has not been published."""
        request = self._table.requests_by_id.get(request_id)
        return request is not None and not request.outcome_published

    def phase_of(self, request_id: RequestId) -> RequestPhase | None:
        """Return the phase of a request; ``None`` if the request is not known."""
        request = self._table.requests_by_id.get(request_id)
        if request is not None:
            return request.phase
        return RequestPhase.ENDED if self.ended_request(request_id) else None

    def ended_request(self, request_id: RequestId) -> EndedRequest | None:
        """Return an ended request without checking its age."""
        return self._table.ended.find(request_id, float("-inf"))

    def next_wakeup_s(self) -> float | None:
        """Return the monotonic time at which :meth:`tick` is due."""
        return self._table.timers.next_due_s()

    # Events. Each returns the decisions made.

    def submit(
        self, spec: RequestSpec, now_s: float, *, granted_before: bool = True
    ) -> list[Decision]:
        """Handle a request, or a message that an entry instance still waits for it.

        :param granted_before: whether the entry instance has acted on a grant of an
            earlier owner for this request.
        """
        self._begin_event(now_s)
        ended = self._table.ended.find(spec.request_id, now_s)
        withdrawn = self._table.withdrawn.find(spec.request_id, now_s)
        request = self._table.requests_by_id.get(spec.request_id)
        if ended is not None:
            self._answer_duplicate(ended, spec, now_s, granted_before)
        elif withdrawn is not None and withdrawn.matches(spec):
            self._table.notify_entry(spec, withdrawn.result)
        elif request is not None:
            self._join_open_request(request, spec, now_s)
        else:
            self._accept(spec, now_s)
        return self._finish_event(now_s)

    def attempt_ended(self, report: AttemptReport, now_s: float) -> list[Decision]:
        """Handle an entry instance's report of an attempt that has ended."""
        self._begin_event(now_s)
        attempt = self._table.attempts_by_id.get(report.attempt_id)
        if attempt is None or attempt.request.attempt is not attempt:
            self._table.count("answer.superseded")
        else:
            self._end_handler.handle_report(attempt, report, now_s)
        return self._finish_event(now_s)

    def attempt_confirmed(
        self, attempt_id: AttemptId, result: AttemptResult | None, now_s: float
    ) -> list[Decision]:
        """Handle an upstream's answer about a lost attempt.

        :param result: ``NOT_STARTED``; ``STOPPED``; ``LOST`` for an attempt that ran to
            its end but whose answer is not available; ``None`` if it may still run.
        """
        self._begin_event(now_s)
        attempt = self._table.attempts_by_id.get(attempt_id)
        if attempt is not None and attempt.request.phase is RequestPhase.CONFIRMING:
            self._end_handler.handle_confirmation(attempt, result, now_s)
        return self._finish_event(now_s)

    def intents_written(
        self, attempt_ids: list[AttemptId], now_s: float
    ) -> list[Decision]:
        """Grant the attempts whose intents are durable."""
        self._begin_event(now_s)
        for attempt in self._attempts_awaiting_intent(attempt_ids):
            request = attempt.request
            request.intent_durable = True
            abandoned = attempt.entry_id not in request.has_body_by_entry
            if request.cancelled or abandoned:
                self._table.release(attempt)
                self._table.end(request, cancelled_result(not_run=True), now_s)
            else:
                self._grant_issuer.grant(attempt, now_s)
        return self._finish_event(now_s)

    def intents_failed(
        self, attempt_ids: list[AttemptId], now_s: float
    ) -> list[Decision]:
        """Refuse the requests whose intents could not be written."""
        self._begin_event(now_s)
        error = StoreUnavailableError(
            "the intent of a request that must not be repeated cannot be stored",
            retry_after_s=STORE_RETRY_AFTER_S,
        )
        for attempt in self._attempts_awaiting_intent(attempt_ids):
            self._table.release(attempt)
            self._table.end(attempt.request, RequestResult.from_error(error), now_s)
        return self._finish_event(now_s)

    def cancel(
        self, request_id: RequestId, entry_id: InstanceId, now_s: float
    ) -> list[Decision]:
        """Cancel a request; its outcome is also sent to ``entry_id``."""
        self._begin_event(now_s)
        request = self._table.requests_by_id.get(request_id)
        if request is None or request.outcome_published:
            self._answer_cancel_of_ended(request_id, entry_id, now_s)
        else:
            request.has_body_by_entry.setdefault(entry_id, False)
            request.cancelled = True
            self._table.count("request.cancel")
            self._cancel(request, now_s)
        return self._finish_event(now_s)

    def entry_lost(self, entry_id: InstanceId, now_s: float) -> list[Decision]:
        """Confirm the attempts of an entry instance that is gone.

        Idle requests for which no other entry instance waits are cancelled.
        """
        self._begin_event(now_s)
        for request in list(self._table.requests_by_id.values()):
            request.has_body_by_entry.pop(entry_id, None)
            attempt = request.attempt
            lost = attempt is not None and attempt.entry_id == entry_id
            request.orphaned = request.orphaned or lost
            if lost and request.phase in (RequestPhase.RUNNING, RequestPhase.STOPPING):
                self._confirmation.confirm(request, attempt, now_s)
            elif request.is_idle and not request.has_body_by_entry:
                self._end_idle(request, now_s)
        return self._finish_event(now_s)

    def settings_changed(self) -> None:
        """Move queued kinds whose urgency has changed to their new class."""
        self._table.queue.update_kind_classes()

    def adopt(
        self,
        spec: RequestSpec,
        attempt_id: AttemptId,
        upstream_id: UpstreamId,
        run_limit_s: float,
        now_s: float,
        *,
        address: str = "",
    ) -> list[Decision]:
        """Adopt an attempt of an earlier owner; see :meth:`Takeover.adopt`."""
        self._begin_event(now_s)
        self._takeover.adopt(
            spec, attempt_id, upstream_id, run_limit_s, now_s, address=address
        )
        return self._finish_event(now_s)

    def adopt_orphan(
        self,
        request_id: RequestId,
        attempt_id: AttemptId,
        upstream_id: UpstreamId,
        run_limit_s: float,
        now_s: float,
        *,
        address: str = "",
    ) -> list[Decision]:
        """Adopt an orphaned attempt; see :meth:`Takeover.adopt_orphan`."""
        self._begin_event(now_s)
        self._takeover.adopt_orphan(
            request_id, attempt_id, upstream_id, run_limit_s, now_s, address=address
        )
        return self._finish_event(now_s)

    def restore_ended(self, ended: EndedRequest) -> None:
        """Add a request that ended, or may have run, under an earlier owner."""
        self._takeover.restore_ended(ended)

    def forget_before(self, now_s: float) -> None:
        """Mark the history of requests that ended before ``now_s`` as incomplete."""
        self._takeover.forget_before(now_s)

    def tick(self, now_s: float) -> list[Decision]:
        """Run the timers that are due and grant free slots."""
        self._begin_event(now_s)
        self._table.ended.expire(now_s)
        return self._finish_event(now_s)

    # Helper methods

    def _begin_event(self, now_s: float) -> None:
        self._table.timers.run_due(now_s)

    def _finish_event(self, now_s: float) -> list[Decision]:
        self._grant_issuer.grant_free_slots(now_s)
        decisions, self._table.decisions = self._table.decisions, []
        return decisions

    def _attempts_awaiting_intent(
        self, attempt_ids: list[AttemptId]
    ) -> list[AttemptRecord]:
        attempts = [self._table.attempts_by_id.get(each) for each in attempt_ids]
        return [
            attempt
            for attempt in attempts
            if attempt and attempt.request.phase is RequestPhase.RECORDING
        ]

    def _accept(self, spec: RequestSpec, now_s: float) -> None:
        table = self._table
        try:
            self._check_accepting(spec)
            table.admission.check(spec, now_s, table.usage_with_loans(now_s))
        except PistachioliftError as error:
            self._refuse(spec, error, now_s)
            return
        request = table.add_request(spec)
        table.count("request.accepted")
        table.retries.record_first_attempt(spec)
        self._watch_deadline(request)
        self._grant_issuer.enqueue(request, now_s)

    def _check_accepting(self, spec: RequestSpec) -> None:
        policy = self._table.policies.kind_policy(spec.customer_id, spec.kind_id)
        if not policy.accepting:
            raise ShuttingDownError(
                f"kind {spec.kind_id} accepts no new requests",
                retry_after_s=NOT_ACCEPTING_RETRY_AFTER_S,
            )

    def _watch_deadline(self, request: RequestRecord) -> None:
        def expire_if_idle(now_s: float) -> None:
            if request.is_idle:
                self._expire(request, now_s)

        self._table.timers.call_at(request.spec.deadline_s, expire_if_idle)

    def _expire(self, request: RequestRecord, now_s: float) -> None:
        self._table.queue.remove(request.spec.request_id)
        self._table.end(request, deadline_result(request), now_s)

    def _refuse(
        self, spec: RequestSpec, error: PistachioliftError, now_s: float
    ) -> None:
        self._table.count(f"refusal.{error.code.value}")
        result = RequestResult.from_error(error)
        self._table.notify_entry(
            spec, self._table.downgrade_unproven(spec, result, now_s)
        )

    def _join_open_request(
        self, request: RequestRecord, spec: RequestSpec, now_s: float
    ) -> None:
        if not request.matches(spec):
            self._refuse(spec, mismatch_error(spec), now_s)
            return
        if not request.spec.kind_id:
            # The request is known only from an attempt found at an upstream. It takes
            # its content from the first caller that sends the identifier again.
            request.spec = spec
            self._watch_deadline(request)
        known = spec.entry_id in request.has_body_by_entry
        request.has_body_by_entry[spec.entry_id] = True
        if known:
            self._check_lost_grant(request, spec, now_s)
        else:
            self._table.count("request.duplicate_in_progress")

    def _check_lost_grant(
        self, request: RequestRecord, spec: RequestSpec, now_s: float
    ) -> None:
        attempt = request.attempt
        running = attempt is not None and request.phase is RequestPhase.RUNNING
        if not running or attempt.entry_id != spec.entry_id:
            return
        if now_s < attempt.start_before_s:
            self._grant_issuer.send_grant(attempt)
        elif now_s > attempt.start_before_s + self._table.timings.margin_s:
            # The entry instance may have started the attempt after it sent this
            # message, so only the upstream knows whether the attempt runs.
            self._table.count("attempt.grant_lost")
            self._confirmation.confirm(request, attempt, now_s)

    def _answer_duplicate(
        self,
        ended: EndedRequest,
        spec: RequestSpec,
        now_s: float,
        granted_before: bool,
    ) -> None:
        if not ended.matches(spec):
            self._refuse(spec, mismatch_error(spec), now_s)
            return
        if ended.intent_entry == spec.entry_id and not granted_before:
            # The intent names this entry instance, which has not acted on a grant and
            # has refused grants of that epoch since the takeover. The request has
            # therefore certainly not run.
            self._table.ended.discard(spec.request_id)
            self._accept(spec, now_s)
            return
        self._table.count("request.duplicate_of_ended")
        result = ended.result
        if result.answer is None and result.code is None:
            result = RequestResult(
                outcome=result.outcome,
                code=ErrorCode.ALREADY_DONE,
                message="the request has ended and its answer is no longer held",
            )
        self._table.notify_entry(spec, result)

    def _cancel(self, request: RequestRecord, now_s: float) -> None:
        if request.is_idle:
            self._end_idle(request, now_s)
        elif request.phase is RequestPhase.RUNNING:
            request.lifecycle.stop()
            attempt = request.attempt
            self._table.decisions.append(
                StopAttempt(
                    request.spec.request_id, attempt.entry_id, attempt.attempt_id
                )
            )

    def _end_idle(self, request: RequestRecord, now_s: float) -> None:
        self._table.queue.remove(request.spec.request_id)
        not_run = request.attempts_started <= 0
        self._table.end(request, cancelled_result(not_run=not_run), now_s)

    def _answer_cancel_of_ended(
        self, request_id: RequestId, entry_id: InstanceId, now_s: float
    ) -> None:
        ended = self._table.ended.find(request_id, now_s)
        if ended is not None:
            result = ended.result
        else:
            error = NotFoundError(f"request {request_id} is not known")
            result = RequestResult.from_error(error)
        self._table.decisions.append(EndRequest(request_id, entry_id, result))
