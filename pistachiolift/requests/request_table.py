"""State of the requests of one partition, and operations that keep it consistent."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from ..common import AttemptId, Epoch, Outcome, PartitionId, RequestId, Urgency
from .admission import Admission
from .decisions import (
    Decision,
    EndRequest,
    OutcomeRecord,
    RecordOutcome,
    RequestResult,
)
from .ended import REMEMBERED_OUTCOMES, EndedRequest, EndedRequests
from .fair_queue import FairQueue
from .model import PolicySource, RequestSpec
from .quota import SlotUsage
from .records import AttemptRecord, RequestRecord, new_request
from .retry import RetryBudget, RetryPolicy
from .run_times import RunTimeModel
from .timers import TimerQueue
from .upstream_pool import UpstreamPool

__all__ = ["RequestTable", "RequestTimings"]


@dataclass(frozen=True, slots=True)
class RequestTimings:
    """Time constants, in seconds.

    :param start_before_s: time from a grant within which its attempt must start.
    :param margin_s: allowance for clock drift and message delivery.
    :param not_started_delay_s: delay before a request is queued again after an
        attempt that certainly did not start.
    :param confirm_interval_s: polling interval for the state of a lost attempt.
    :param dedup_window_s: how long ended requests are kept for deduplication.
    :param withdrawn_window_s: how long cancelled and expired requests are kept, so
        that a message that the entry instance sent before it received the outcome
        does not open the request again.
    """

    start_before_s: float = 1.0
    margin_s: float = 0.25
    not_started_delay_s: float = 0.02
    confirm_interval_s: float = 1.0
    dedup_window_s: float = 600.0
    withdrawn_window_s: float = 2.0


class RequestTable:
    """Holds open requests, attempts, queue, slots and ended requests.

    :param count: counts an event by its dotted name.
    """

    def __init__(
        self,
        *,
        partition_id: PartitionId,
        epoch: Epoch,
        policies: PolicySource,
        rng: random.Random,
        timings: RequestTimings,
        count: Callable[[str], None],
    ):
        self.partition_id = partition_id
        self.epoch = epoch
        self.policies = policies
        self.timings = timings
        self.count = count
        self.pool = UpstreamPool()
        self.run_times = RunTimeModel()
        self.queue = FairQueue(policies, self.run_times)
        self.ended = EndedRequests(window_s=timings.dedup_window_s)
        self.withdrawn = EndedRequests(window_s=timings.withdrawn_window_s)
        self.admission = Admission(policies, self.queue, self.run_times, rng)
        self.retries = RetryPolicy(policies, RetryBudget(), rng)
        self.timers = TimerQueue()
        self.requests_by_id: dict[RequestId, RequestRecord] = {}
        self.attempts_by_id: dict[AttemptId, AttemptRecord] = {}
        self.decisions: list[Decision] = []
        self.history_complete_at_s = float("-inf")
        self.lendable_slots = 0
        self._usage = SlotUsage(total_slots=0)

    def usage(self, now_s: float) -> SlotUsage:
        """Return the slots in use by urgency and customer."""
        self._usage.total_slots = self.pool.total_slots(now_s)
        return self._usage

    def usage_with_loans(self, now_s: float) -> SlotUsage:
        """Return the slots in use; the total includes slots that may be borrowed."""
        usage = self.usage(now_s)
        if not self.lendable_slots:
            return usage
        total = usage.total_slots + self.lendable_slots
        return msgspec.structs.replace(usage, total_slots=total)

    def urgency(self, spec: RequestSpec) -> Urgency:
        """Return the urgency of a request; normal if its kind is not known."""
        if not spec.kind_id:
            return Urgency.NORMAL
        return self.policies.kind_policy(spec.customer_id, spec.kind_id).urgency

    def add_request(self, spec: RequestSpec, *, waiting: bool = True) -> RequestRecord:
        """Add a request in phase ``QUEUED`` without pushing it to the queue.

        :param waiting: whether the entry instance of ``spec`` waits for the outcome.
        """
        request = new_request(spec, waiting=waiting)
        self.requests_by_id[spec.request_id] = request
        return request

    def register_attempt(self, attempt: AttemptRecord) -> None:
        """Register an attempt to which the pool has assigned a slot."""
        attempt.request.attempt = attempt
        self.attempts_by_id[attempt.attempt_id] = attempt
        self._usage.add_attempt(attempt.urgency, attempt.request.spec.customer_id)

    def release(self, attempt: AttemptRecord) -> None:
        """Release the slot of an attempt."""
        if self.attempts_by_id.pop(attempt.attempt_id, None) is None:
            return
        self.pool.release(attempt.attempt_id)
        self._usage.remove_attempt(attempt.urgency, attempt.request.spec.customer_id)
        if attempt.request.attempt is attempt:
            attempt.request.attempt = None

    def notify_entry(self, spec: RequestSpec, result: RequestResult) -> None:
        """Send a result to the entry instance of a request."""
        self.decisions.append(EndRequest(spec.request_id, spec.entry_id, result))

    def downgrade_unproven(
        self, spec: RequestSpec, result: RequestResult, now_s: float
    ) -> RequestResult:
        """Replace "not run" by "unknown" where the history does not prove it.

        After a takeover, an earlier submission of a resubmitted request may have run
        and ended at an instance that is gone. The history of ended requests may
        lack that submission until the deduplication window has passed.
        """
        may_have_run = spec.resubmitted and now_s < self.history_complete_at_s
        if may_have_run and result.outcome.certainly_not_run:
            self.count("outcome.not_run_unproved")
            return replace(result, outcome=Outcome.UNKNOWN)
        return result

    def end(self, request: RequestRecord, result: RequestResult, now_s: float) -> None:
        """End a request and send its outcome to all waiting entry instances."""
        request.lifecycle.end()
        if not request.outcome_published:
            self.publish_outcome(request, result, now_s)
        del self.requests_by_id[request.spec.request_id]

    def publish_outcome(
        self, request: RequestRecord, result: RequestResult, now_s: float
    ) -> None:
        """Send the outcome to all waiting entry instances; from now on it is final."""
        request.outcome_published = True
        spec = request.spec
        result = self.downgrade_unproven(spec, result, now_s)
        history = self._history_for(request, result)
        if history is not None:
            history.add(
                EndedRequest(
                    request_id=spec.request_id,
                    kind_id=spec.kind_id,
                    body_digest=spec.body_digest,
                    result=result,
                    ended_s=now_s,
                )
            )
        if request.intent_durable:
            record = OutcomeRecord(spec.request_id, result.outcome)
            self.decisions.append(RecordOutcome(record))
        self.count(f"outcome.{result.outcome.value}")
        for entry_id in request.has_body_by_entry:
            self.decisions.append(EndRequest(spec.request_id, entry_id, result))
        request.has_body_by_entry = {}

    def _history_for(
        self, request: RequestRecord, result: RequestResult
    ) -> EndedRequests | None:
        """Return where to keep an ended request, or ``None`` not to keep it."""
        if result.outcome in (Outcome.CANCELLED_NOT_RUN, Outcome.EXPIRED):
            # If nobody is told the outcome, the last entry instance was taken for
            # lost. One that submits the request again was only frozen or cut off, and
            # its caller still waits.
            is_final = request.cancelled or bool(request.has_body_by_entry)
            return self.withdrawn if is_final else None
        if result.outcome is Outcome.FAILED and request.spec.repeatable:
            # The caller may send the request again, and it is then run again.
            return None
        return self.ended if result.outcome in REMEMBERED_OUTCOMES else None
