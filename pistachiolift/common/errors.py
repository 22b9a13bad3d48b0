"""Error types of the system, each with an error code."""

from enum import Enum

__all__ = [
    "AlreadyDoneError",
    "AuthenticationError",
    "BodyTooLargeError",
    "CancelledError",
    "ConflictError",
    "DeadlineExpiredError",
    "DirectoryUnavailableError",
    "ErrorCode",
    "IdempotencyMismatchError",
    "InvalidInputError",
    "MalformedMessageError",
    "NoOwnerError",
    "NotFoundError",
    "Outcome",
    "OutcomeUnknownError",
    "OverloadedError",
    "PistachioliftError",
    "QueueFullError",
    "QuotaExceededError",
    "RetriesExhaustedError",
    "ShuttingDownError",
    "StoreUnavailableError",
    "UpstreamFailedError",
    "UpstreamUnreachableError",
    "ValueTooLargeError",
    "VersionConflictError",
    "error_from_code",
]


class Outcome(Enum):
    """All possible outcomes of a request."""

    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"
    EXPIRED = "expired"
    CANCELLED_NOT_RUN = "cancelled_not_run"
    CANCELLED_MAY_HAVE_RUN = "cancelled_may_have_run"
    UNKNOWN = "unknown"

    @property
    def certainly_not_run(self) -> bool:
        """Whether the outcome guarantees that the request has not run."""
        return self in (Outcome.REFUSED, Outcome.EXPIRED, Outcome.CANCELLED_NOT_RUN)


class ErrorCode(Enum):
    """Error codes shown to callers and operators and used in logs and metrics."""

    ALREADY_DONE = "already_done"
    AUTHENTICATION_FAILED = "authentication_failed"
    BODY_TOO_LARGE = "body_too_large"
    CANCELLED = "cancelled"
    CONFLICT = "conflict"
    DEADLINE_EXPIRED = "deadline_expired"
    DIRECTORY_UNAVAILABLE = "directory_unavailable"
    IDEMPOTENCY_MISMATCH = "idempotency_mismatch"
    INTERNAL = "internal"
    INVALID_INPUT = "invalid_input"
    MALFORMED_MESSAGE = "malformed_message"
    NO_OWNER = "no_owner"
    NOT_FOUND = "not_found"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue_full"
    QUOTA_EXCEEDED = "quota_exceeded"
    RETRIES_EXHAUSTED = "retries_exhausted"
    SHUTTING_DOWN = "shutting_down"
    STORE_UNAVAILABLE = "store_unavailable"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    VALUE_TOO_LARGE = "value_too_large"
    VERSION_CONFLICT = "version_conflict"


class PistachioliftError(Exception):
    """Base class of all errors that cross a module boundary.

    :param message: what failed, with the rejected value and the allowed range.
    :param retry_after_s: seconds to wait before a retry; ``None`` if unspecified.
    :param outcome: overrides the class's default outcome.
    """

    code = ErrorCode.INTERNAL
    http_status = 500
    outcome = Outcome.REFUSED

    def __init__(
        self,
        message: str,
        *,
        retry_after_s: float | None = None,
        outcome: Outcome | None = None,
    ):
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s
        if outcome is not None:
            self.outcome = outcome


class InvalidInputError(PistachioliftError):
    """A caller's or an operator's input is outside the allowed range."""

    code = ErrorCode.INVALID_INPUT
    http_status = 400


class BodyTooLargeError(PistachioliftError):
    """A body exceeds the limit of its kind."""

    code = ErrorCode.BODY_TOO_LARGE
    http_status = 413


class AuthenticationError(PistachioliftError):
    """The bearer token is missing or unknown."""

    code = ErrorCode.AUTHENTICATION_FAILED
    http_status = 401


class NotFoundError(PistachioliftError):
    """The named object does not exist or belongs to another customer."""

    code = ErrorCode.NOT_FOUND
    http_status = 404


class IdempotencyMismatchError(PistachioliftError):
    """An idempotency key was reused with another body, kind or customer."""

    code = ErrorCode.IDEMPOTENCY_MISMATCH
    http_status = 422


class AlreadyDoneError(PistachioliftError):
    """The request has already ended and its answer is no longer stored."""

    code = ErrorCode.ALREADY_DONE
    http_status = 409
    outcome = Outcome.DONE


class DeadlineExpiredError(PistachioliftError):
    """The deadline expired before the request was started."""

    code = ErrorCode.DEADLINE_EXPIRED
    http_status = 504
    outcome = Outcome.EXPIRED


class CancelledError(PistachioliftError):
    """The request was cancelled."""

    code = ErrorCode.CANCELLED
    http_status = 409
    outcome = Outcome.CANCELLED_NOT_RUN


class OverloadedError(PistachioliftError):
    """The predicted wait exceeds the deadline."""

    code = ErrorCode.OVERLOADED
    http_status = 503


class QueueFullError(PistachioliftError):
    """The queue of the kind is full."""

    code = ErrorCode.QUEUE_FULL
    http_status = 503


class QuotaExceededError(PistachioliftError):
    """The customer has used up its quota."""

    code = ErrorCode.QUOTA_EXCEEDED
    http_status = 429


class NoOwnerError(PistachioliftError):
    """The partition has no reachable owner at the moment."""

    code = ErrorCode.NO_OWNER
    http_status = 503


class ShuttingDownError(PistachioliftError):
    """The instance is draining and accepts no new work."""

    code = ErrorCode.SHUTTING_DOWN
    http_status = 503


class UpstreamFailedError(PistachioliftError):
    """The upstream ran the request and reported a failure."""

    code = ErrorCode.UPSTREAM_FAILED
    http_status = 502
    outcome = Outcome.FAILED


class RetriesExhaustedError(PistachioliftError):
    """Every attempt that the retry policy allows has failed."""

    code = ErrorCode.RETRIES_EXHAUSTED
    http_status = 502
    outcome = Outcome.FAILED


class OutcomeUnknownError(PistachioliftError):
    """The request may or may not have run."""

    code = ErrorCode.OUTCOME_UNKNOWN
    http_status = 502
    outcome = Outcome.UNKNOWN


class DirectoryUnavailableError(PistachioliftError):
    """The platform's instance directory did not answer."""

    code = ErrorCode.DIRECTORY_UNAVAILABLE
    http_status = 503


class UpstreamUnreachableError(PistachioliftError):
    """The connection to an upstream or a worker failed.

    The upstream or worker may have carried out the call.
    """

    code = ErrorCode.UPSTREAM_UNREACHABLE
    http_status = 502
    outcome = Outcome.UNKNOWN


class MalformedMessageError(PistachioliftError):
    """A message cannot be decoded or exceeds the size limit."""

    code = ErrorCode.MALFORMED_MESSAGE
    http_status = 400


class ConflictError(PistachioliftError):
    """A concurrent change to the same object was applied first."""

    code = ErrorCode.CONFLICT
    http_status = 409


class StoreUnavailableError(PistachioliftError):
    """The key-value service did not answer; a write may have taken effect."""

    code = ErrorCode.STORE_UNAVAILABLE
    http_status = 503


class VersionConflictError(PistachioliftError):
    """A compare-and-swap failed because the key has another version.

    :param actual_version: the version found; 0 when the key does not exist.
    """

    code = ErrorCode.VERSION_CONFLICT
    http_status = 409

    def __init__(self, message: str, *, actual_version: int):
        super().__init__(message)
        self.actual_version = actual_version


class ValueTooLargeError(PistachioliftError):
    """A value exceeds the limit of the key-value service."""

    code = ErrorCode.VALUE_TOO_LARGE
    http_status = 413


def error_from_code(
    code: ErrorCode,
    message: str,
    *,
    outcome: Outcome,
    retry_after_s: float | None = None,
) -> PistachioliftError:
    """Build the error for a code that another instance has reported.

    :param code: a code without an error class gives the base class.
    """
    error_class = _class_of(code)
    error = PistachioliftError.__new__(error_class)
    PistachioliftError.__init__(
        error, message, retry_after_s=retry_after_s, outcome=outcome
    )
    error.code = code
    return error


def _class_of(code: ErrorCode) -> type[PistachioliftError]:
    for error_class in PistachioliftError.__subclasses__():
        if error_class.code is code:
            return error_class
    return PistachioliftError
