"""Errors of the caller-facing HTTP layer."""

from ..common import (
    CancelledError,
    ErrorCode,
    InvalidInputError,
    MalformedMessageError,
    Outcome,
    OverloadedError,
    PistachioliftError,
)

__all__ = [
    "BodyConsumedError",
    "BuffersFullError",
    "CallerDisconnectedError",
    "HeadersTooLargeError",
    "MalformedRequestError",
    "SlowCallerError",
    "TooManyConnectionsError",
    "UrlTooLongError",
]


class MalformedRequestError(MalformedMessageError):
    """A request is not well-formed HTTP/1.1."""


class UrlTooLongError(InvalidInputError):
    """A request target exceeds the limit."""

    http_status = 414


class HeadersTooLargeError(InvalidInputError):
    """The headers exceed the limit of their number or size."""

    http_status = 431


class SlowCallerError(InvalidInputError):
    """A caller sends its request below the minimum rate."""

    http_status = 408


class TooManyConnectionsError(OverloadedError):
    """The listener has reached its maximum number of connections."""


class BuffersFullError(OverloadedError):
    """The memory budget for buffering bodies is exhausted."""


class CallerDisconnectedError(CancelledError):
    """The caller closed the connection before the request ended.

    This layer does not know whether an attempt was sent; code that knows overrides the
    outcome.
    """

    outcome = Outcome.CANCELLED_MAY_HAVE_RUN


class BodyConsumedError(PistachioliftError):
    """A large body was requested a second time, or after it was discarded."""

    code = ErrorCode.INTERNAL
    outcome = Outcome.UNKNOWN
