"""An HTTP/1.1 server connection with limits and backpressure."""

from twisted.internet import interfaces
from twisted.web.http import HTTPChannel, _MalformedChunkedDataError

from ..common import PistachioliftError
from .body import BodySource
from .errors import (
    BuffersFullError,
    HeadersTooLargeError,
    MalformedRequestError,
    UrlTooLongError,
)
from .request import StreamingRequest, render_refusal
from .timeouts import ChannelState, ReceiveProgress

__all__ = ["StreamingChannel"]

# Buffered pipelined requests behind the one in progress; reading pauses above it.
PIPELINE_LIMIT_BYTES = 16 * 1024

RETRY_AFTER_BUFFERS_S = 1.0

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class StreamingChannel(HTTPChannel):
    """Starts a request when its headers are complete.

    Differences from the base class:

    - The body goes to a :class:`BodySource` instead of a file, whose consumers also
      pause the transport.
    - The connection closes after an answer that is written before the whole body has
      been received.
    - Errors are typed.
    - Time limits are checked by the factory's periodic sweep, which costs less than a
      timer that is reset for each read.
    """

    requestFactory = StreamingRequest  # noqa: N815

    def __init__(self, site):
        super().__init__()
        self.site = site
        self.limits = site.limits
        self.state = ChannelState.IDLE
        self.timeOut = None
        # Twice our limits, because the checks of the base class give untyped answers.
        self.totalHeadersSize = 2 * self.limits.header_bytes
        self.maxHeaders = 2 * self.limits.header_count
        self.MAX_LENGTH = self.limits.header_bytes
        self.since_s = site.now_s
        self._header_bytes = 0
        self._header_count = 0
        self._headers_complete = False
        self._answer_started = False
        self._draining = False
        self._awaits_continue = False
        self._body_held = False
        self._pipeline_full = False
        self._reading = True
        self.write_blocked_since_s: float | None = None
        self.progress = ReceiveProgress(site.now_s)
        self._lingered_bytes = 0

    # Connection.

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection with the factory, which may refuse it."""
        if interfaces.ITCPTransport.providedBy(self.transport):
            self.transport.setTcpNoDelay(True)
        self._networkProducer = self.transport
        self.transport.registerProducer(self, True)
        self.site.connection_opened(self)

    def connectionLost(self, reason) -> None:  # noqa: N802
        """Unregister the connection and notify the requests in progress."""
        self.state = ChannelState.CLOSING
        self.site.connection_closed(self)
        if self.requests:
            self.site.metrics.count("http.disconnected")
        for request in self.requests:
            request.connectionLost(reason)

    def close(self) -> None:
        """Close the connection after the buffered data has been sent."""
        self._enter(ChannelState.CLOSING)
        self.loseConnection()

    def abort(self) -> None:
        """Abort the connection, so that the caller sees a truncated answer."""
        self._enter(ChannelState.CLOSING)
        self.write_blocked_since_s = None
        self.transport.abortConnection()

    def drain(self) -> None:
        """Close the connection once the request in progress has been answered."""
        self._draining = True
        if self.state is ChannelState.IDLE:
            self.close()

    def refuse(self, error: PistachioliftError) -> None:
        """Send an error before a request has started, and close the connection."""
        self.transport.write(render_refusal(error, date=self.site.date))
        self.site.count_error(error, peer=self.transport.getPeer())
        self._linger()

    def _enter(self, state: ChannelState) -> None:
        self.state = state
        self.since_s = self.site.now_s

    def _linger(self) -> None:
        """Discard what the caller still sends for a while, then close."""
        self._enter(ChannelState.LINGERING)
        self._lingered_bytes = 0
        transport = self.transport
        if interfaces.ITCPTransport.providedBy(
            transport
        ) and not interfaces.ISSLTransport.providedBy(transport):
            transport.loseWriteConnection()
        self._update_reading()

    @property
    def body_held(self) -> bool:
        """Whether reading is paused until the body is consumed."""
        return self.state is ChannelState.REQUEST and self._body_held

    @property
    def awaits_body(self) -> bool:
        """Whether the caller is expected to send its body now."""
        return (
            self.state is ChannelState.REQUEST
            and not self._handlingRequest
            and not self._body_held
            and not self._awaits_continue
        )

    def fail_body(self, error: PistachioliftError) -> None:
        """Fail the body of the request in progress."""
        self.requests[0].body.fail(error)

    # Receiving.

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Receive bytes from the transport."""
        state = self.state
        if state is ChannelState.REQUEST:
            self.progress.received_bytes += len(data)
        elif state is ChannelState.IDLE:
            self._enter(ChannelState.HEADERS)
        elif state is ChannelState.LINGERING:
            self._lingered_bytes += len(data)
            if self._lingered_bytes > self.limits.linger_bytes:
                self.abort()
            return
        elif state is ChannelState.CLOSING:
            return
        super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Receive a line of the head of a request."""
        if self.state is not ChannelState.HEADERS:
            if self.state is not ChannelState.IDLE:
                return
            # The line is of a pipelined request buffered behind the previous one.
            self._enter(ChannelState.HEADERS)
        self._header_bytes += len(line) + 2
        if self._header_bytes > self.limits.header_bytes:
            self._refuse_oversized_head()
            return
        super().lineReceived(line)
        if self._headers_complete:
            self._headers_complete = False
            if self.state is ChannelState.REQUEST and not self._handlingRequest:
                self._start_request()

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a line that exceeds the limit of the whole head."""
        self._refuse_oversized_head()

    def _refuse_oversized_head(self) -> None:
        limits = self.limits
        if self.requests:
            self._refuse_headers(
                f"headers exceed the limit of {limits.header_bytes} bytes"
            )
        else:
            self._refuse_url()

    def _refuse_headers(self, message: str) -> None:
        error = HeadersTooLargeError(message)
        error.http_status = self.limits.oversized_head_status
        self.refuse(error)

    def _refuse_url(self) -> None:
        self.refuse(
            UrlTooLongError(
                f"request target exceeds the limit of {self.limits.url_bytes} bytes"
            )
        )

    def headerReceived(self, line: bytes) -> bool:  # noqa: N802
        """Receive one header."""
        if self.state is not ChannelState.HEADERS:
            return False
        self._header_count += 1
        if self._header_count > self.limits.header_count:
            self._refuse_headers(
                f"request exceeds the limit of {self.limits.header_count} headers"
            )
            return False
        return super().headerReceived(line)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Create the body source; the handler starts after this method."""
        if self.state is not ChannelState.HEADERS:
            return
        if len(self._path) > self.limits.url_bytes:
            self._refuse_url()
            return
        request = self.requests[-1]
        headers = request.requestHeaders
        if self._version == b"HTTP/1.1":
            # RFC 9112, section 3.2: exactly one Host header.
            valid = len(headers.getRawHeaders(b"Host") or ()) == 1
        else:
            # RFC 9112, section 6.1: a chunked HTTP/1.0 request has faulty framing.
            valid = self.length is not None
        if not valid:
            self._respondToBadRequestAndDisconnect()
            return
        self.persistent = self.checkPersistence(request, self._version)
        digest = headers.getRawHeaders(b"Digest")
        expect = headers.getRawHeaders(b"Expect")
        self._awaits_continue = bool(
            expect
            and expect[-1].lower() == b"100-continue"
            and self._version == b"HTTP/1.1"
        )
        request.body = BodySource(
            self.length,
            self.limits,
            digest_header=digest[-1].decode("latin-1") if digest else None,
            on_hold_change=self._hold_body,
            on_first_use=self._send_continue,
        )
        request.site = self.site
        if not request.reserve():
            self.refuse(
                BuffersFullError(
                    f"buffer budget of {self.limits.buffered_bytes} bytes is exhausted",
                    retry_after_s=RETRY_AFTER_BUFFERS_S,
                )
            )
            return
        self._enter(ChannelState.REQUEST)
        self._header_bytes = self._header_count = 0
        self._answer_started = False
        self.progress = ReceiveProgress(self.site.now_s)
        self._headers_complete = True

    def _start_request(self) -> None:
        self.requests[-1].start(self._command, self._path, self._version)

    def allContentReceived(self) -> None:  # noqa: N802
        """Receive the end of the body."""
        if self.state is not ChannelState.REQUEST:
            return
        without_body = self._headers_complete
        command, path, version = self._command, self._path, self._version
        super().allContentReceived()
        if without_body:
            self._headers_complete = False
            self.requests[-1].start(command, path, version)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Receive a part of the body or of a pipelined request."""
        if self.state is not ChannelState.REQUEST:
            return
        if self._handlingRequest:
            self._dataBuffer.append(data)
            if sum(map(len, self._dataBuffer)) > PIPELINE_LIMIT_BYTES:
                self._pipeline_full = True
                self._update_reading()
            return
        try:
            self._transferDecoder.dataReceived(data)
        except _MalformedChunkedDataError as failure:
            self.fail_body(MalformedRequestError(str(failure)))

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        """Refuse a malformed head; called by the base class."""
        if self.state is ChannelState.HEADERS:
            self.refuse(MalformedRequestError("request is not well-formed HTTP/1.1"))

    def _send_continue(self) -> None:
        if not self._awaits_continue:
            return
        self._awaits_continue = False
        self.progress = ReceiveProgress(self.site.now_s)
        if not self._answer_started and not self._handlingRequest:
            self.transport.write(CONTINUE)

    # Answering.

    def prepare_answer(self, request: StreamingRequest) -> None:
        """Set the Date header, and Connection if the connection will close."""
        self._answer_started = True
        headers = request.responseHeaders
        headers.setRawHeaders(b"Date", [self.site.date])
        if self._draining or not (self.persistent and self._handlingRequest):
            self.persistent = False
            headers.setRawHeaders(b"Connection", [b"close"])

    def requestDone(self, request: StreamingRequest) -> None:  # noqa: N802
        """Continue with the next request, or close the connection."""
        del self.requests[0]
        self._requestProducer = None
        if not self._handlingRequest:
            # The body has not been received completely.
            self._linger()
            return
        if self._draining or not self.persistent:
            self.close()
            return
        self._handlingRequest = False
        self._body_held = self._pipeline_full = False
        self._enter(ChannelState.IDLE)
        self._update_reading()
        data = b"".join(self._dataBuffer)
        self._dataBuffer = []
        self.setLineMode(data)

    # Flow control.

    @property
    def write_blocked(self) -> bool:
        """Whether the transport's buffer is full because the caller does not read."""
        return self.write_blocked_since_s is not None

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop writing; called by the transport when its buffer is full."""
        self.write_blocked_since_s = self.site.now_s
        if self._requestProducer is not None:
            self._requestProducer.pauseProducing()
        self._update_reading()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume writing; called by the transport when its buffer is empty."""
        self.write_blocked_since_s = None
        if self._requestProducer is not None:
            self._requestProducer.resumeProducing()
        self._update_reading()

    def _hold_body(self, held: bool) -> None:
        self._body_held = held
        # The time for which the body was held does not count against the caller.
        self.progress = ReceiveProgress(self.site.now_s)
        self._update_reading()

    def _update_reading(self) -> None:
        state = self.state
        if state is ChannelState.REQUEST:
            reading = not (self._body_held or self._pipeline_full)
        elif state is ChannelState.LINGERING:
            reading = True
        else:
            # A caller that does not read its answers must not pipeline more requests.
            reading = self.write_blocked_since_s is None
        if reading is self._reading or state is ChannelState.CLOSING:
            return
        self._reading = reading
        if reading:
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()
