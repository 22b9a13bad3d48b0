"""A persistent HTTP/1.1 connection of a client, with one request at a time."""

from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import ITCPTransport
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.http import _ChunkedTransferDecoder, _MalformedChunkedDataError

__all__ = ["HttpConnection", "MalformedAnswerError"]

HEAD_LIMIT_BYTES = 16 * 1024
ANSWER_LIMIT_BYTES = 64 * 1024 * 1024

HEAD_END = b"\r\n\r\n"
STATUSES_WITHOUT_BODY = (204, 304)


class MalformedAnswerError(Exception):
    """The server's answer is not valid HTTP/1.1, or too large."""


class HttpConnection(Protocol):
    """Sends requests one after the other and reads whole answers into memory.

    Twisted's agent takes several times as long for each request, since it serves
    streamed bodies, redirects and proxies too.

    :param on_open: called when the connection is open.
    :param on_idle: called when an answer is complete and the next request may be sent.
    :param on_lost: called when the connection is closed.
    """

    def __init__(
        self,
        *,
        on_open: Callable[["HttpConnection"], None],
        on_idle: Callable[["HttpConnection"], None],
        on_lost: Callable[["HttpConnection"], None],
    ):
        self._on_open = on_open
        self._on_idle = on_idle
        self._on_lost = on_lost
        self._answer: Deferred[tuple[int, bytes]] | None = None
        self._buffer = bytearray()
        self._status = 0
        self._length: int | None = None
        self._chunks: _ChunkedTransferDecoder | None = None
        self._persistent = True
        self._closed = False
        self.idle_since_s = 0.0
        # What has arrived of the answer in progress.
        self.received_bytes = 0

    # Called by the client.

    def send(self, request: bytes) -> Deferred[tuple[int, bytes]]:
        """Send a request.

        :returns: fires with the status and the body of the answer, or fails with the
            reason for which the connection was lost.
        """
        self._answer = Deferred()
        self._status = 0
        self.received_bytes = 0
        self.transport.write(request)
        return self._answer

    def abort(self) -> None:
        """Close the connection at once; a request in progress fails."""
        self._closed = True
        self.transport.abortConnection()

    @property
    def closed(self) -> bool:
        """Whether the connection has been closed by either side."""
        return self._closed

    # Called by the transport.

    def connectionMade(self) -> None:  # noqa: N802
        """Report the open connection, which sends small segments at once."""
        if ITCPTransport.providedBy(self.transport):
            self.transport.setTcpNoDelay(True)
        self._on_open(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Receive a part of an answer."""
        if self._answer is None:
            # Nothing was asked for, so the next answer could be mistaken.
            self.abort()
            return
        self.received_bytes += len(data)
        try:
            self._receive(data)
        except (
            MalformedAnswerError,
            _MalformedChunkedDataError,
            ValueError,
        ) as error:
            self._fail(Failure(MalformedAnswerError(str(error))))
            self.abort()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Complete an answer that lasts until the end, or fail the request."""
        self._closed = True
        self._on_lost(self)
        until_end = self._status and self._length is None and self._chunks is None
        if until_end and reason.check(ConnectionDone):
            self._complete(bytes(self._buffer))
        else:
            self._fail(reason)

    # Parsing.

    def _receive(self, data: bytes) -> None:
        if self._status and self._chunks is not None:
            self._chunks.dataReceived(data)
            return
        self._buffer += data
        while not self._status:
            end = self._buffer.find(HEAD_END)
            if end > HEAD_LIMIT_BYTES or (
                end < 0 and len(self._buffer) > HEAD_LIMIT_BYTES
            ):
                raise MalformedAnswerError(f"head exceeds {HEAD_LIMIT_BYTES} bytes")
            if end < 0:
                return
            head = bytes(self._buffer[:end])
            del self._buffer[: end + len(HEAD_END)]
            self._read_head(head)
        if self._chunks is not None:
            data, self._buffer = bytes(self._buffer), bytearray()
            self._chunks.dataReceived(data)
        elif self._length is None:
            self._check_size(len(self._buffer))
        elif len(self._buffer) >= self._length:
            if len(self._buffer) > self._length:
                self._persistent = False
            self._complete(bytes(self._buffer[: self._length]))

    def _read_head(self, head: bytes) -> None:
        first, *lines = head.split(b"\r\n")
        version, _, rest = first.partition(b" ")
        status = rest[:3]
        if not version.startswith(b"HTTP/1.") or not (
            len(status) == 3 and status.isdigit() and rest[3:4] in (b"", b" ")
        ):
            raise MalformedAnswerError(f"status line is {first[:60]!r}")
        value_by_name: dict[bytes, bytes] = {}
        for line in lines:
            name, separator, value = line.partition(b":")
            if not separator:
                raise MalformedAnswerError(f"header is {line[:60]!r}")
            value_by_name[name.lower()] = value.strip()
        code = int(status)
        if code < 200:
            if code == 101:
                raise MalformedAnswerError("protocol switched without a request")
            return
        self._status = code
        self._persistent = (
            version == b"HTTP/1.1"
            and value_by_name.get(b"connection", b"").lower() != b"close"
        )
        self._length, self._chunks = self._framing(value_by_name)

    def _framing(
        self, value_by_name: dict[bytes, bytes]
    ) -> tuple[int | None, _ChunkedTransferDecoder | None]:
        """Return the length of the body or the decoder of its chunks, if known."""
        if self._status in STATUSES_WITHOUT_BODY:
            return 0, None
        coding = value_by_name.get(b"transfer-encoding")
        if coding is not None:
            if coding.lower() != b"chunked":
                raise MalformedAnswerError(f"transfer encoding is {coding[:60]!r}")
            parts: list[bytes] = []
            size = 0

            def receive(part: bytes) -> None:
                nonlocal size
                size += len(part)
                self._check_size(size)
                parts.append(part)

            def finish(rest: bytes) -> None:
                if rest:
                    self._persistent = False
                self._complete(b"".join(parts))

            return None, _ChunkedTransferDecoder(receive, finish)
        length = value_by_name.get(b"content-length")
        if length is None:
            self._persistent = False
            return None, None
        if not length.isdigit():
            raise MalformedAnswerError(f"content length is {length[:60]!r}")
        self._check_size(int(length))
        return int(length), None

    @staticmethod
    def _check_size(size: int) -> None:
        if size > ANSWER_LIMIT_BYTES:
            raise MalformedAnswerError(f"body exceeds {ANSWER_LIMIT_BYTES} bytes")

    # Results.

    def _complete(self, body: bytes) -> None:
        answer, self._answer = self._answer, None
        self._buffer.clear()
        self._chunks = None
        if self._persistent and not self._closed:
            self._on_idle(self)
        elif not self._closed:
            self._closed = True
            self.transport.loseConnection()
        if answer is not None:
            answer.callback((self._status, body))

    def _fail(self, reason: Failure) -> None:
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.errback(reason)
