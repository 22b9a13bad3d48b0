"""HTTP server for callers: streamed bodies, bounded memory and typed errors."""

from .answer import PASSED_HEADERS, CallerAnswer
from .body import BodySource
from .errors import (
    BodyConsumedError,
    BuffersFullError,
    CallerDisconnectedError,
    HeadersTooLargeError,
    MalformedRequestError,
    SlowCallerError,
    TooManyConnectionsError,
    UrlTooLongError,
)
from .head import (
    DEADLINE_LIMIT_MS,
    CallerHead,
    parse_head,
    parse_kind,
    parse_request_key,
    parse_token,
)
from .limits import HttpLimits
from .listener import Listener, load_certificate
from .request import StreamingRequest, render_error
from .site import StreamingSite

__all__ = [
    "DEADLINE_LIMIT_MS",
    "PASSED_HEADERS",
    "BodyConsumedError",
    "BodySource",
    "BuffersFullError",
    "CallerAnswer",
    "CallerDisconnectedError",
    "CallerHead",
    "HeadersTooLargeError",
    "HttpLimits",
    "Listener",
    "MalformedRequestError",
    "SlowCallerError",
    "StreamingRequest",
    "StreamingSite",
    "TooManyConnectionsError",
    "UrlTooLongError",
    "load_certificate",
    "parse_head",
    "parse_kind",
    "parse_request_key",
    "parse_token",
    "render_error",
]
