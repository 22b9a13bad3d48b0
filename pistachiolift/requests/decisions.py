"""Decisions of the request scheduler, which its caller carries out."""

from dataclasses import dataclass
from enum import Enum

from ..common import (
    AttemptId,
    CustomerId,
    ErrorCode,
    InstanceId,
    KindId,
    Outcome,
    PistachioliftError,
    RequestId,
    UpstreamId,
)

__all__ = [
    "Answer",
    "AttemptReport",
    "AttemptResult",
    "ConfirmAttempt",
    "Decision",
    "EndRequest",
    "Grant",
    "IntentRecord",
    "OutcomeRecord",
    "RecordOutcome",
    "RequestResult",
    "StopAttempt",
    "WriteIntent",
]


class AttemptResult(Enum):
    """How an attempt ended.

    - ``ANSWERED``: complete answer with a status below 500.
    - ``FAILED``: complete answer with a status of 500 or above.
    - ``NOT_STARTED``: the attempt has certainly not started.
    - ``UNREACHABLE``: no connection to the upstream could be made, so the attempt has
      certainly not started.
    - ``LOST``: no complete answer arrived; the attempt may still run.
    - ``STOPPED``: the upstream has confirmed the stop; the attempt may have run in
      part.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_STARTED = "not_started"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Answer:
    """An upstream's answer that is small enough to be kept for duplicates."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """Report of an entry instance about an attempt that has ended.

    :param run_s: service time measured by the entry instance, in seconds.
    :param body_held: whether the entry instance can send the body again.
    """

    request_id: RequestId
    attempt_id: AttemptId
    result: AttemptResult
    run_s: float
    body_held: bool = True
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The final outcome of a request.

    :param code: ``None`` when the caller gets an upstream's answer.
    :param retry_after_s: delay before the caller should retry, in seconds, or
        ``None``.
    :param answered_by: entry instance that has already passed the answer on to its
        caller.
    """

    outcome: Outcome
    code: ErrorCode | None = None
    message: str = ""
    retry_after_s: float | None = None
    answer: Answer | None = None
    answered_by: InstanceId | None = None

    @classmethod
    def from_error(cls, error: PistachioliftError) -> "RequestResult":
        """Return the result that corresponds to an error."""
        return cls(
            outcome=error.outcome,
            code=error.code,
            message=error.message,
            retry_after_s=error.retry_after_s,
        )

    @classmethod
    def unknown(cls) -> "RequestResult":
        """Return the result of a request that may have run."""
        return cls(
            outcome=Outcome.UNKNOWN,
            code=ErrorCode.OUTCOME_UNKNOWN,
            message="no complete answer arrived; the request may have run",
        )


@dataclass(frozen=True, slots=True)
class Grant:
    """Grant an entry instance one attempt on one slot of an upstream.

    :param start_before_s: latest start, on the monotonic clock of the home, in seconds.
    :param run_limit_s: longest run time of the attempt, in seconds.
    """

    request_id: RequestId
    entry_id: InstanceId
    attempt_id: AttemptId
    upstream_id: UpstreamId
    address: str
    start_before_s: float
    run_limit_s: float


@dataclass(frozen=True, slots=True)
class EndRequest:
    """Send the final outcome of a request to an entry instance."""

    request_id: RequestId
    entry_id: InstanceId
    result: RequestResult


@dataclass(frozen=True, slots=True)
class StopAttempt:
    """Request an entry instance to stop an attempt and to report its result."""

    request_id: RequestId
    entry_id: InstanceId
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class ConfirmAttempt:
    """Query the state of an attempt from its upstream.

    :param stop: whether the upstream also stops the attempt.
    """

    request_id: RequestId
    attempt_id: AttemptId
    address: str
    stop: bool


@dataclass(frozen=True, slots=True)
class IntentRecord:
    """Record that is durable before a request that must not be repeated runs."""

    request_id: RequestId
    customer_id: CustomerId
    kind_id: KindId
    body_digest: str
    entry_id: InstanceId


@dataclass(frozen=True, slots=True)
class OutcomeRecord:
    """The durable outcome of a request that must not be repeated."""

    request_id: RequestId
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class WriteIntent:
    """Make an intent durable, then call ``intents_written``."""

    attempt_id: AttemptId
    intent: IntentRecord


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Make an outcome durable; no decision waits for this write."""

    record: OutcomeRecord


Decision = (
    Grant | EndRequest | StopAttempt | ConfirmAttempt | WriteIntent | RecordOutcome
)
