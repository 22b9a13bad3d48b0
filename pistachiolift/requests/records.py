"""Records of open requests and attempts, and the results of ended requests."""

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
    "body_unavailable_result",
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
        """Monotonic time, in seconds, by which the upstream has ended the attempt."""
        return self.start_before_s + self.run_limit_s


@dataclass(slots=True, eq=False)
class RequestRecord:
    """A request that has not ended.

    :param has_body_by_entry: entry instances that wait for the outcome, and whether
        each can send the body.
    :param attempts_started: number of attempts that have run or may have run.
    :param avoided_upstreams: upstreams on which earlier attempts failed.
    :param intent_durable: whether the store holds the request's intent.
    :param outcome_published: whether the outcome is final and has been sent to all
        waiting entry instances.
    :param orphaned: whether the entry instance that ran the attempt is gone, or sent
        no report while a caller sent the request again through another one.
    """

    spec: RequestSpec
    has_body_by_entry: dict[InstanceId, bool]
    lifecycle: RequestLifecycle
    phase_holder: object
    attempts_started: int = 0
    attempt: AttemptRecord | None = None
    avoided_upstreams: list[UpstreamId] = field(default_factory=list)
    intent_durable: bool = False
    cancelled: bool = False
    outcome_published: bool = False
    orphaned: bool = False

    @property
    def phase(self) -> RequestPhase:
        """Current phase of the request."""
        return self.phase_holder.phase

    @property
    def has_body(self) -> bool:
        """Whether any entry instance can send the body."""
        return any(self.has_body_by_entry.values())

    def has_body_elsewhere(self, entry_id: InstanceId) -> bool:
        """Return whether an entry instance other than this one can send the body."""
        return any(
            held for other, held in self.has_body_by_entry.items() if other != entry_id
        )

    @property
    def is_idle(self) -> bool:
        """Whether the request waits without holding a slot."""
        return self.phase in (RequestPhase.QUEUED, RequestPhase.WAITING)

    def choose_entry(self) -> InstanceId:
        """Return the last entry instance that joined and can send the body."""
        return [entry for entry, held in self.has_body_by_entry.items() if held][-1]

    def matches(self, spec: RequestSpec) -> bool:
        """Return whether a request with the same identifier has the same content.

        Any content matches a request that is known only from an attempt found at an
        upstream after a takeover.
        """
        if not self.spec.kind_id:
            return True
        same_kind = self.spec.kind_id == spec.kind_id
        return same_kind and self.spec.body_digest == spec.body_digest


def new_request(spec: RequestSpec, *, waiting: bool = True) -> RequestRecord:
    """Return a request in phase ``QUEUED``.

    :param waiting: whether the entry instance of ``spec`` waits for the outcome.
    """
    lifecycle, phase_holder = new_lifecycle()
    has_body_by_entry = {spec.entry_id: True} if waiting else {}
    return RequestRecord(spec, has_body_by_entry, lifecycle, phase_holder)


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


def body_unavailable_result(request: RequestRecord) -> RequestResult:
    """Return the result of a request whose body no entry instance holds any more."""
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
