"""Messages that carry the request scheduler's decisions to entry instances."""

from ..common import Clock, Epoch, ErrorCode, InstanceId, PartitionId
from ..peers import AttemptGranted, RequestEnded, StoredAnswer
from ..peers import StopAttempt as StopAttemptMessage
from ..requests import EndRequest, Grant, StopAttempt

__all__ = ["RequestMessages"]


class RequestMessages:
    """Builds the messages of one partition."""

    def __init__(self, *, self_id: InstanceId, partition_id: PartitionId, clock: Clock):
        self._self_id = self_id
        self._partition_id = partition_id
        self._clock = clock

    def build_grant(self, decision: Grant, epoch: Epoch) -> AttemptGranted:
        """Return a grant message, with the expiry as wall-clock time."""
        clock = self._clock
        start_before_s = clock.wall_s() + decision.start_before_s - clock.monotonic_s()
        return AttemptGranted(
            sender=self._self_id,
            partition_id=self._partition_id,
            epoch=epoch,
            request_id=decision.request_id,
            attempt_id=decision.attempt_id,
            upstream_id=decision.upstream_id,
            address=decision.address,
            start_before_ms=int(start_before_s * 1000),
            run_limit_ms=int(decision.run_limit_s * 1000),
        )

    def build_request_ended(self, decision: EndRequest) -> RequestEnded | None:
        """Return a request's outcome, ``None`` if the entry has already answered."""
        result = decision.result
        if result.answered_by == decision.entry_id and result.code is None:
            return None
        answer = result.answer
        code = result.code
        if answer is None and code is None:
            code = ErrorCode.ALREADY_DONE
        return RequestEnded(
            sender=self._self_id,
            partition_id=self._partition_id,
            request_id=decision.request_id,
            outcome=result.outcome.value,
            code=code.value if code else "",
            message=result.message,
            retry_after_ms=int((result.retry_after_s or 0.0) * 1000),
            answer=StoredAnswer(answer.status, answer.content_type, answer.body)
            if answer
            else None,
        )

    def build_stop_attempt(self, decision: StopAttempt) -> StopAttemptMessage:
        """Return the message that stops an attempt."""
        return StopAttemptMessage(
            sender=self._self_id,
            partition_id=self._partition_id,
            request_id=decision.request_id,
            attempt_id=decision.attempt_id,
        )
