"""HTTP server for callers: streamed bodies, bounded memory and typed errors."""

from ..common import lazy_exports

__getattr__, __all__ = lazy_exports(
    __name__,
    {
        "answer": ("PASSED_HEADERS", "CallerAnswer"),
        "body": ("BodySource",),
        "errors": (
            "BodyConsumedError",
            "BuffersFullError",
            "CallerDisconnectedError",
            "HeadersTooLargeError",
            "MalformedRequestError",
            "SlowCallerError",
            "TooManyConnectionsError",
            "UrlTooLongError",
        ),
        "handler": ("HandlerResource",),
        "head": (
            "DEADLINE_LIMIT_MS",
            "CallerHead",
            "parse_head",
            "parse_kind",
            "parse_request_key",
            "parse_token",
        ),
        "klein_app": ("klein_resource",),
        "limits": ("HttpLimits",),
        "listener": ("Listener", "load_certificate"),
        "request": ("StreamingRequest", "render_error"),
        "site": ("StreamingSite",),
    },
)
