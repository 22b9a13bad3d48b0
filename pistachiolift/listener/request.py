"""HTTP requests whose handlers start when the headers have arrived."""

import logging
import math
from urllib.parse import unquote_to_bytes

from twisted.python.failure import Failure
from twisted.web.http import NO_BODY_CODES, RESPONSES
from twisted.web.server import Request

from ..common import (
    ErrorCode,
    Outcome,
    PistachioliftError,
    encode_json,
    log_event,
)
from .body import BodySource
from .errors import CallerDisconnectedError, MalformedRequestError

__all__ = [
    "StreamingRequest",
    "render_error",
    "render_refusal",
]

logger = logging.getLogger(__name__)


def render_error(error: PistachioliftError) -> tuple[list[tuple[bytes, bytes]], bytes]:
    """Render an error for a caller.

    :param error: the error to report.
    :returns: the headers without Content-Length, and the JSON body.
    """
    body = encode_json(
        {
            "code": error.code.value,
            "message": error.message,
            "outcome": error.outcome.value,
            "retry_after_s": error.retry_after_s,
        }
    )
    headers = [
        (b"Content-Type", b"application/json"),
        (b"Outcome", error.outcome.value.encode()),
    ]
    if error.http_status == 401:
        headers.append((b"WWW-Authenticate", b"Bearer"))
    if error.retry_after_s is not None:
        # The header is in whole seconds; rounding down would make callers retry early.
        seconds = max(0, math.ceil(error.retry_after_s))
        headers.append((b"Retry-After", b"%d" % seconds))
    return headers, body


def render_refusal(error: PistachioliftError, *, date: bytes) -> bytes:
    """Render a complete response that reports an error and closes the connection.

    :param error: the error to report.
    :param date: value of the Date header.
    """
    headers, body = render_error(error)
    reason = RESPONSES.get(error.http_status, b"Refused")
    lines = [b"HTTP/1.1 %d %s" % (error.http_status, reason), b"Date: %s" % date]
    lines += [b"%s: %s" % header for header in headers]
    lines += [b"Content-Length: %d" % len(body), b"Connection: close", b"", body]
    return b"\r\n".join(lines)


class StreamingRequest(Request):
    """A request that provides its body as a :class:`BodySource` in ``body``."""

    body: BodySource | None = None
    reserved_bytes = 0
    defaultContentType = None
    _announced_bytes: int | None = None
    _aborted = False
    _answer_started = False
    _first_part: bytes | None = None

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Do nothing; twisted.web would allocate a buffer or a file for the body."""

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Pass a part of the body to the body source."""
        self.body.receive(data)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Pass the end of the body to the body source."""
        self.body.receive_end()

    def start(self, command: bytes, target: bytes, version: bytes) -> None:
        """Run the handler after the headers have arrived.

        :param command: the HTTP method.
        :param target: the path and query as received.
        :param version: ``HTTP/1.0`` or ``HTTP/1.1``.
        """
        self.method, self.uri, self.clientproto = command, target, version
        self.path = target.partition(b"?")[0]
        self.args = {}
        self.prepath = []
        self.postpath = self.path[1:].split(b"/")
        if b"%" in self.path:
            self.postpath = [unquote_to_bytes(part) for part in self.postpath]
        try:
            b"/".join(self.postpath).decode()
        except UnicodeDecodeError:
            self.send_error(MalformedRequestError("path is not UTF-8"))
            return
        try:
            self.render(self.site.resource)
        except Exception:
            self.processingFailed(Failure())

    def getRequestHostname(self) -> bytes:  # noqa: N802
        """Return a constant, because routes do not depend on the Host header.

        klein passes the host name to werkzeug, which takes time to encode it and
        rejects names that are not valid in the DNS.
        """
        return b"localhost"

    def send_answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> bool:
        """Send a complete answer with a Content-Length and end the request.

        :returns: whether it was sent; ``False`` if an answer was started before or the
            caller has disconnected.
        """
        if not self.start_answer(status, headers, len(body)):
            return False
        self.write(body)
        self.finish()
        return True

    def start_answer(
        self, status: int, headers: list[tuple[bytes, bytes]], length: int | None
    ) -> bool:
        """Set the status and the headers of the answer.

        :param length: length of the body in bytes, ``None`` for a chunked answer.
        :returns: whether the answer may be written; ``False`` if one was started before
            or the caller has disconnected.
        """
        if (
            self._answer_started
            or self.startedWriting
            or self.finished
            or self._disconnected
        ):
            return False
        self._answer_started = True
        self._first_part = None
        self.setResponseCode(status, RESPONSES.get(status, b"Unknown"))
        self._set_headers(headers)
        self._announced_bytes = length
        if length is not None and status not in NO_BODY_CODES:
            self._set_headers([(b"Content-Length", b"%d" % length)])
        return True

    def _set_headers(self, headers: list[tuple[bytes, bytes]]) -> None:
        for name, value in headers:
            self.responseHeaders.setRawHeaders(name, [value])

    def send_error(self, error: PistachioliftError) -> bool:
        """Send an error to the caller, unless an answer has been started.

        :returns: whether it was sent.
        """
        headers, body = render_error(error)
        if not self.send_answer(error.http_status, headers, body):
            return False
        self.site.count_error(error, peer=self.client, request=self)
        return True

    def abort(self) -> None:
        """Abort the connection, so that the caller sees a truncated answer."""
        if self.channel is not None and not self.finished:
            self._aborted = True
            self.channel.abort()

    def write(self, data: bytes) -> None:
        """Write a part of the answer; has no effect after :meth:`abort`.

        klein writes the result of a handler with one call. The first part is buffered
        until the next call, so that such an answer gets a Content-Length.
        """
        if self._aborted or self._disconnected:
            return
        if not self.startedWriting:
            if not self._answer_started and self._first_part is None:
                self._first_part = data
                return
            self.channel.prepare_answer(self)
            data = (self._first_part or b"") + data
            self._first_part = None
        super().write(data)

    def finish(self) -> None:
        """End the answer; has no effect if the caller has disconnected.

        An answer that is shorter than announced, or whose producer has not finished, is
        aborted: klein also ends an answer when its handler returns too early.
        """
        if self._disconnected or self.finished or self._aborted:
            return
        if not self.startedWriting:
            part, self._first_part = self._first_part or b"", None
            if not self._answer_started:
                headers = [(b"Content-Length", b"%d" % len(part))]
                if self.code in NO_BODY_CODES:
                    headers = []
                self._set_headers(headers)
            self.write(part)
        elif self.producer is not None or (
            self._announced_bytes not in (None, self.sentLength)
            and self.method != b"HEAD"
            and self.code not in NO_BODY_CODES
        ):
            self.abort()
            return
        super().finish()

    def processingFailed(self, reason: Failure) -> Failure:  # noqa: N802
        """Send the typed error raised by a handler, or an internal error."""
        error = reason.value
        if not isinstance(error, PistachioliftError):
            log_event(
                logger,
                "handler_failed",
                level=logging.ERROR,
                path=self.path.decode("latin-1"),
                error=f"{type(error).__name__}: {error}",
                traceback=reason.getTraceback(elideFrameworkCode=True),
            )
            # The handler may have started an attempt before it failed.
            error = PistachioliftError("internal error", outcome=Outcome.UNKNOWN)
            error.code = ErrorCode.INTERNAL
        if self.startedWriting:
            self.abort()
        else:
            self.send_error(error)
        return reason

    def reserve(self) -> bool:
        """Reserve memory for the body until the end of the request.

        :returns: whether it was available.
        """
        size_bytes = self.body.reservation_bytes
        if not self.channel.site.budget.try_reserve(size_bytes):
            return False
        self.reserved_bytes = size_bytes
        return True

    def _release(self) -> None:
        if self.reserved_bytes:
            self.site.budget.release(self.reserved_bytes)
            self.reserved_bytes = 0

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Report the disconnect to the consumers of the body and to klein."""
        if self.body is not None:
            self.body.record_disconnect(CallerDisconnectedError("caller disconnected"))
        self._release()
        super().connectionLost(reason)

    def _cleanup(self) -> None:
        if self.body is not None:
            self.body.release()
        self._release()
        super()._cleanup()
