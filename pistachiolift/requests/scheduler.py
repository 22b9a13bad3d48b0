"""The home's decisions about the requests of one partition."""

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
from .attempt_ends import AttemptEnds
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
from .granting import Granting
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

    The caller checks its authority before each call and carries out the decisions
    that are returned, in order.

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
        self._book = RequestTable(
            partition_id=partition_id,
            epoch=epoch,
            policies=policies,
            rng=rng,
            timings=timings or RequestTimings(),
            count=count,
        )
        self._confirmation = Confirmation(self._book)
        self._granting = Granting(self._book, self._confirmation)
        self._takeover = Takeover(self._book, self._confirmation)
        self._ends = AttemptEnds(self._book, self._granting, self._confirmation)

    # State that the caller may read or feed

    @property
    def epoch(self) -> Epoch:
        """Epoch of the grants."""
        return self._book.epoch

    @epoch.setter
    def epoch(self, epoch: Epoch) -> None:
        self._book.epoch = epoch

    @property
    def lendable_slots(self) -> int:
        """Slots that other partitions could lend, for admission."""
        return self._book.lendable_slots

    @lendable_slots.setter
    def lendable_slots(self, count: int) -> None:
        self._book.lendable_slots = count

    @property
    def pool(self) -> UpstreamPool:
        """Upstreams of the partition."""
        return self._book.pool

    @property
    def queue(self) -> FairQueue:
        """Requests that wait for a slot."""
        return self._book.queue

    @property
    def ended(self) -> EndedRequests:
        """Requests that ended within the deduplication window."""
        return self._book.ended

    def usage(self, now_s: float) -> SlotUsage:
        """Return the slots in use by urgency and customer."""
        return self._book.usage(now_s)

    def is_open(self, request_id: RequestId) -> bool:
        """Whether a request waits or runs and its outcome is not known."""
        request = self._book.requests_by_id.get(request_id)
        return request is not None and not request.announced

    def phase_of(self, request_id: RequestId) -> RequestPhase | None:
        """Return where a request stands; ``None`` if it is not known."""
        request = self._book.requests_by_id.get(request_id)
        if request is not None:
            return request.phase
        return RequestPhase.ENDED if self.ended_request(request_id) else None

    def ended_request(self, request_id: RequestId) -> EndedRequest | None:
        """Return an ended request without checking its age."""
        return self._book.ended.find(request_id, float("-inf"))

    def next_wakeup_s(self) -> float | None:
        """Return the monotonic time at which :meth:`tick` is due."""
        return self._book.timers.next_due_s()

    # Events. Each returns the decisions made.

    def submit(
        self, spec: RequestSpec, now_s: float, *, granted_before: bool = True
    ) -> list[Decision]:
        """Take a request, or take note that an entry instance still waits for it.

        :param granted_before: whether the entry instance has acted on a grant of an
            earlier owner for this request.
        """
        self._begin(now_s)
        ended = self._book.ended.find(spec.request_id, now_s)
        withdrawn = self._book.withdrawn.find(spec.request_id, now_s)
        request = self._book.requests_by_id.get(spec.request_id)
        if ended is not None:
            self._answer_duplicate(ended, spec, now_s, granted_before)
        elif withdrawn is not None and withdrawn.matches(spec):
            self._book.tell(spec, withdrawn.result)
        elif request is not None:
            self._join(request, spec, now_s)
        else:
            self._accept(spec, now_s)
        return self._finish(now_s)

    def attempt_ended(self, report: AttemptReport, now_s: float) -> list[Decision]:
        """Take an entry instance's report."""
        self._begin(now_s)
        attempt = self._book.attempts_by_id.get(report.attempt_id)
        if attempt is None or attempt.request.attempt is not attempt:
            self._book.count("answer.superseded")
        else:
            self._ends.reported(attempt, report, now_s)
        return self._finish(now_s)

    def attempt_confirmed(
        self, attempt_id: AttemptId, result: AttemptResult | None, now_s: float
    ) -> list[Decision]:
        """Take the upstream's word about a lost attempt.

        :param result: ``NOT_STARTED``, ``STOPPED``, ``LOST`` for an attempt that ran
            to its end but whose answer is gone, or ``None`` if it may still run.
        """
        self._begin(now_s)
        attempt = self._book.attempts_by_id.get(attempt_id)
        if attempt is not None and attempt.request.phase is RequestPhase.CONFIRMING:
            self._ends.confirmed(attempt, result, now_s)
        return self._finish(now_s)

    def intents_written(
        self, attempt_ids: list[AttemptId], now_s: float
    ) -> list[Decision]:
        """Grant the attempts whose intents are durable."""
        self._begin(now_s)
        for attempt in self._recording(attempt_ids):
            request = attempt.request
            request.intent_durable = True
            abandoned = attempt.entry_id not in request.has_body_by_entry
            if request.cancelled or abandoned:
                self._book.release(attempt)
                self._book.end(request, cancelled_result(not_run=True), now_s)
            else:
                self._granting.grant(attempt, now_s)
        return self._finish(now_s)

    def intents_failed(
        self, attempt_ids: list[AttemptId], now_s: float
    ) -> list[Decision]:
        """Refuse the requests whose intents could not be written."""
        self._begin(now_s)
        error = StoreUnavailableError(
            "the intent of a request that must not be repeated cannot be stored",
            retry_after_s=STORE_RETRY_AFTER_S,
        )
        for attempt in self._recording(attempt_ids):
            self._book.release(attempt)
            self._book.end(attempt.request, RequestResult.from_error(error), now_s)
        return self._finish(now_s)

    def cancel(
        self, request_id: RequestId, entry_id: InstanceId, now_s: float
    ) -> list[Decision]:
        """Cancel a request; the outcome also goes to the entry that asked."""
        self._begin(now_s)
        request = self._book.requests_by_id.get(request_id)
        if request is None or request.announced:
            self._answer_cancel_of_ended(request_id, entry_id, now_s)
        else:
            request.has_body_by_entry.setdefault(entry_id, False)
            request.cancelled = True
            self._book.count("request.cancel")
            self._cancel(request, now_s)
        return self._finish(now_s)

    def entry_lost(self, entry_id: InstanceId, now_s: float) -> list[Decision]:
        """Find out about the attempts of an entry instance that has gone."""
        self._begin(now_s)
        for request in list(self._book.requests_by_id.values()):
            request.has_body_by_entry.pop(entry_id, None)
            attempt = request.attempt
            lost = attempt is not None and attempt.entry_id == entry_id
            request.orphaned = request.orphaned or lost
            if lost and request.phase in (RequestPhase.RUNNING, RequestPhase.STOPPING):
                self._confirmation.confirm(request, attempt, now_s)
            elif request.is_idle and not request.has_body_by_entry:
                self._end_idle(request, now_s)
        return self._finish(now_s)

    def settings_changed(self) -> None:
        """Move queued kinds whose urgency has changed to their new class."""
        self._book.queue.settings_changed()

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
        """Take over an attempt; see :meth:`Takeover.adopt`."""
        self._begin(now_s)
        self._takeover.adopt(
            spec, attempt_id, upstream_id, run_limit_s, now_s, address=address
        )
        return self._finish(now_s)

    def adopt_orphan(
        self,
        request_id: RequestId,
        attempt_id: AttemptId,
        upstream_id: UpstreamId,
        run_limit_s: float,
        now_s: float,
    ) -> list[Decision]:
        """Hold an attempt's slot; see :meth:`Takeover.adopt_orphan`."""
        self._begin(now_s)
        self._takeover.adopt_orphan(
            request_id, attempt_id, upstream_id, run_limit_s, now_s
        )
        return self._finish(now_s)

    def restore_ended(self, ended: EndedRequest) -> None:
        """Remember a request that ended, or may have run, under an earlier owner."""
        self._takeover.restore_ended(ended)

    def forget_before(self, now_s: float) -> None:
        """Note that what ended under earlier owners may not be known completely."""
        self._takeover.forget_before(now_s)

    def tick(self, now_s: float) -> list[Decision]:
        """Handle what is due."""
        self._begin(now_s)
        self._book.ended.expire(now_s)
        return self._finish(now_s)

    # Steps

    def _begin(self, now_s: float) -> None:
        self._book.timers.run_due(now_s)

    def _finish(self, now_s: float) -> list[Decision]:
        self._granting.pump(now_s)
        decisions, self._book.decisions = self._book.decisions, []
        return decisions

    def _recording(self, attempt_ids: list[AttemptId]) -> list[AttemptRecord]:
        attempts = [self._book.attempts_by_id.get(each) for each in attempt_ids]
        return [
            attempt
            for attempt in attempts
            if attempt and attempt.request.phase is RequestPhase.RECORDING
        ]

    def _accept(self, spec: RequestSpec, now_s: float) -> None:
        book = self._book
        try:
            self._check_accepting(spec)
            book.admission.check(spec, now_s, book.usage_with_loans(now_s))
        except PistachioliftError as error:
            self._refuse(spec, error, now_s)
            return
        request = book.open(spec)
        book.count("request.accepted")
        book.retries.first_attempt(spec)
        self._watch_deadline(request)
        self._granting.enqueue(request, now_s)

    def _check_accepting(self, spec: RequestSpec) -> None:
        policy = self._book.policies.kind_policy(spec.customer_id, spec.kind_id)
        if not policy.accepting:
            raise ShuttingDownError(
                f"kind {spec.kind_id} takes no new requests",
                retry_after_s=NOT_ACCEPTING_RETRY_AFTER_S,
            )

    def _watch_deadline(self, request: RequestRecord) -> None:
        def passed(now_s: float) -> None:
            if request.is_idle:
                self._expire(request, now_s)

        self._book.timers.call_at(request.spec.deadline_s, passed)

    def _expire(self, request: RequestRecord, now_s: float) -> None:
        self._book.queue.remove(request.spec.request_id)
        self._book.end(request, deadline_result(request), now_s)

    def _refuse(
        self, spec: RequestSpec, error: PistachioliftError, now_s: float
    ) -> None:
        self._book.count(f"refusal.{error.code.value}")
        result = RequestResult.from_error(error)
        self._book.tell(spec, self._book.honest(spec, result, now_s))

    def _join(self, request: RequestRecord, spec: RequestSpec, now_s: float) -> None:
        if not request.matches(spec):
            self._refuse(spec, mismatch_error(spec), now_s)
            return
        if not request.spec.kind_id:
            # An attempt found at an upstream gets its content from the first caller
            # that sends the identifier again.
            request.spec = spec
            self._watch_deadline(request)
        known = spec.entry_id in request.has_body_by_entry
        request.has_body_by_entry[spec.entry_id] = True
        if known:
            self._check_lost_grant(request, spec, now_s)
        else:
            self._book.count("request.duplicate_in_progress")

    def _check_lost_grant(
        self, request: RequestRecord, spec: RequestSpec, now_s: float
    ) -> None:
        attempt = request.attempt
        running = attempt is not None and request.phase is RequestPhase.RUNNING
        if not running or attempt.entry_id != spec.entry_id:
            return
        if now_s < attempt.start_before_s:
            self._granting.send_grant(attempt)
        elif now_s > attempt.start_before_s + self._book.timings.margin_s:
            # The entry may have started the attempt after it sent this message, so
            # only the upstream can say whether it runs.
            self._book.count("attempt.grant_lost")
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
            # The intent names this entry, which has refused the grant's epoch since
            # the takeover: the request has certainly not run.
            self._book.ended.discard(spec.request_id)
            self._accept(spec, now_s)
            return
        self._book.count("request.duplicate_of_ended")
        result = ended.result
        if result.answer is None and result.code is None:
            result = RequestResult(
                outcome=result.outcome,
                code=ErrorCode.ALREADY_DONE,
                message="the request has ended and its answer is no longer held",
            )
        self._book.tell(spec, result)

    def _cancel(self, request: RequestRecord, now_s: float) -> None:
        if request.is_idle:
            self._end_idle(request, now_s)
        elif request.phase is RequestPhase.RUNNING:
            request.lifecycle.stop()
            attempt = request.attempt
            self._book.decisions.append(
                StopAttempt(
                    request.spec.request_id, attempt.entry_id, attempt.attempt_id
                )
            )

    def _end_idle(self, request: RequestRecord, now_s: float) -> None:
        self._book.queue.remove(request.spec.request_id)
        not_run = request.attempts_started <= 0
        self._book.end(request, cancelled_result(not_run=not_run), now_s)

    def _answer_cancel_of_ended(
        self, request_id: RequestId, entry_id: InstanceId, now_s: float
    ) -> None:
        ended = self._book.ended.find(request_id, now_s)
        if ended is not None:
            result = ended.result
        else:
            error = NotFoundError(f"request {request_id} is not known")
            result = RequestResult.from_error(error)
        self._book.decisions.append(EndRequest(request_id, entry_id, result))
