"""Requests and attempts that have not ended, and the results they end with."""

from dataclasses import dataclass, field

from ..common import (
    AttemptId,
    CancelledError,
    DeadlineExpiredError,
    ErrorCode,
    IdempotencyMismatchError,
    InstanceId,
    Outcome,
    UpstreamId,
    Urgency,
)
from .decisions import IntentRecord, RequestResult
from .lifecycle import RequestLifecycle, RequestPhase, new_lifecycle
from .model import RequestSpec

__all__ = [
    "AttemptRecord",
    "RequestRecord",
    "body_gone_result",
    "cancelled_result",
    "deadline_result",
    "failed_result",
    "intent_of",
    "mismatch_error",
    "new_request",
]


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """An attempt that holds a slot."""

    attempt_id: AttemptId
    request: "RequestRecord"
    upstream_id: UpstreamId
    entry_id: InstanceId
    urgency: Urgency
    granted_s: float
    start_before_s: float
    run_limit_s: float

    @property
    def latest_end_s(self) -> float:
        """Monotonic time at which the upstream has ended it in any case."""
        return self.start_before_s + self.run_limit_s


@dataclass(slots=True, eq=False)
class RequestRecord:
    """A request that has not ended.

    :param has_body_by_entry: entry instances that wait for the outcome, and whether
        each can send the body.
    :param attempts_started: attempts that have run or may have run.
    :param intent_durable: whether the store holds the request's intent.
    :param orphaned: whether the entry instance that ran its attempt has gone, or has
        said nothing while a caller sent the request again elsewhere.
    :param announced: whether the final outcome has been sent to all who wait.
    """

    spec: RequestSpec
    has_body_by_entry: dict[InstanceId, bool]
    lifecycle: RequestLifecycle
    holder: object
    attempts_started: int = 0
    attempt: AttemptRecord | None = None
    avoided: list[UpstreamId] = field(default_factory=list)
    intent_durable: bool = False
    cancelled: bool = False
    announced: bool = False
    orphaned: bool = False

    @property
    def phase(self) -> RequestPhase:
        """Where the request stands."""
        return self.holder.phase

    @property
    def has_body(self) -> bool:
        """Whether any entry instance can send the body."""
        return any(self.has_body_by_entry.values())

    def waits_beside(self, entry_id: InstanceId) -> bool:
        """Whether an entry instance other than this one can send the body."""
        return any(
            held for other, held in self.has_body_by_entry.items() if other != entry_id
        )

    @property
    def is_idle(self) -> bool:
        """Whether the request waits without a slot."""
        return self.phase in (RequestPhase.QUEUED, RequestPhase.WAITING)

    def choose_entry(self) -> InstanceId:
        """Return the entry instance that joined last and can send the body."""
        return [entry for entry, held in self.has_body_by_entry.items() if held][-1]

    def matches(self, spec: RequestSpec) -> bool:
        """Whether a request with the same identifier has the same content.

        The content of an attempt found at an upstream after a takeover is not known.
        """
        if not self.spec.kind_id:
            return True
        same_kind = self.spec.kind_id == spec.kind_id
        return same_kind and self.spec.body_digest == spec.body_digest


def new_request(spec: RequestSpec, *, waiting: bool = True) -> RequestRecord:
    """Return a request in phase ``QUEUED``.

    :param waiting: whether the entry instance of the specification waits for it.
    """
    lifecycle, holder = new_lifecycle()
    has_body_by_entry = {spec.entry_id: True} if waiting else {}
    return RequestRecord(spec, has_body_by_entry, lifecycle, holder)


def intent_of(attempt: AttemptRecord) -> IntentRecord:
    """Return the intent to make durable before an attempt starts."""
    spec = attempt.request.spec
    return IntentRecord(
        request_id=spec.request_id,
        customer_id=spec.customer_id,
        kind_id=spec.kind_id,
        body_digest=spec.body_digest,
        entry_id=attempt.entry_id,
    )


def mismatch_error(spec: RequestSpec) -> IdempotencyMismatchError:
    """Return the error for an identifier that is reused with other content."""
    return IdempotencyMismatchError(
        f"identifier {spec.request_id} was used with another body or kind"
    )


def failed_result(reason: ErrorCode) -> RequestResult:
    """Return the result of a request whose attempts failed."""
    return RequestResult(
        outcome=Outcome.FAILED,
        code=reason,
        message="no attempt gave a successful answer",
    )


def deadline_result(request: RequestRecord) -> RequestResult:
    """Return the result of a request that waited until its deadline."""
    if request.attempts_started > 0:
        return failed_result(ErrorCode.RETRIES_EXHAUSTED)
    error = DeadlineExpiredError("the deadline passed while the request waited")
    return RequestResult.from_error(error)


def body_gone_result(request: RequestRecord) -> RequestResult:
    """Return the result of a request that nobody can send any more."""
    error = CancelledError("no caller holds the body of the request any more")
    if request.attempts_started > 0:
        error.outcome = Outcome.CANCELLED_MAY_HAVE_RUN
    return RequestResult.from_error(error)


def cancelled_result(*, not_run: bool) -> RequestResult:
    """Return the result of a cancelled request."""
    outcome = Outcome.CANCELLED_NOT_RUN if not_run else Outcome.CANCELLED_MAY_HAVE_RUN
    return RequestResult(
        outcome=outcome, code=ErrorCode.CANCELLED, message="the request was cancelled"
    )
