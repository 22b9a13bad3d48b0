"""Passes the answer of an upstream to the caller."""

from collections import deque

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from ..backends import AnswerSink
from ..common import (
    Outcome,
    OutcomeUnknownError,
    PistachioliftError,
    UpstreamFailedError,
)
from .request import StreamingRequest

__all__ = ["PASSED_HEADERS", "CallerAnswer"]

# Headers of an upstream that are passed to the caller. An allow list keeps hop-by-hop
# headers and internal headers, also those added later, from leaking.
PASSED_HEADERS = frozenset(
    {
        "cache-control",
        "content-digest",
        "content-disposition",
        "content-encoding",
        "content-language",
        "content-type",
        "digest",
        "etag",
        "last-modified",
    }
)

# Maximum size of a write to the caller's transport. The transport pauses its producer
# when it has buffered 64 KiB, so it never buffers more than twice this size.
WRITE_BYTES = 64 * 1024


@implementer(IPushProducer)
class CallerAnswer(AnswerSink):
    """The single answer to a request.

    The first ``limits.answer_buffer_bytes`` of the upstream's answer are buffered. As
    long as nothing has been sent to the caller (``retryable``), another attempt may
    call :meth:`write_head` again, which discards the incomplete answer of the previous
    attempt. A longer answer is streamed once the buffer is full, and the upstream is
    paused while the caller does not read. :meth:`commit` completes the answer in both
    cases.

    :param request: the caller's request.
    """

    def __init__(self, request: StreamingRequest):
        self.finished: Deferred[bool] = Deferred()
        self._request = request
        self._buffer_bytes = request.site.limits.answer_buffer_bytes
        self._upstream: IPushProducer | None = None
        self._streaming = False
        self._committed = False
        self._ended = False
        self._paused = False
        self._upstream_paused = False
        self._current_sink: AnswerSink | None = None
        self._reserved_bytes = 0
        self._reset()
        request.notifyFinish().addBoth(self._request_ended)

    def _reset(self) -> None:
        self._status = 0
        self._headers: dict[str, str] = {}
        self._length: int | None = None
        self._received_bytes = 0
        self._chunks: deque[bytes] = deque()
        self._release()

    @property
    def retryable(self) -> bool:
        """Whether nothing has been sent yet, so that another attempt may answer."""
        return not (self._streaming or self._committed or self._ended)

    @property
    def ended(self) -> bool:
        """Whether the answer is complete or aborted, or the caller has disconnected."""
        return self._ended

    @property
    def status(self) -> int:
        """The upstream's status; 0 before it is known."""
        return self._status

    # Called with the answer of the upstream.

    def write_head(
        self, status: int, headers: dict[str, str], length: int | None
    ) -> None:
        """See :meth:`AnswerSink.write_head`.

        :raises UpstreamFailedError: if the status is outside 200 to 599.
        """
        if not self.retryable:
            self._stop_upstream()
            if self._streaming:
                # Parts of two attempts must not be combined into one answer.
                self.abort()
            return
        if not 200 <= status <= 599:
            raise UpstreamFailedError(
                f"upstream's HTTP status is {status}; 200 to 599 are allowed"
            )
        self._reset()
        self._status = status
        self._headers = {
            name: value
            for name, value in headers.items()
            # treq leaves an empty Content-Encoding header after decoding.
            if value and name in PASSED_HEADERS
        }
        self._length = length

    def write(self, data: bytes) -> None:
        """See :meth:`AnswerSink.write`."""
        if self._ended or self._committed:
            self._stop_upstream()
            return
        self._received_bytes += len(data)
        self._chunks.append(data)
        if self._streaming:
            self._write_chunks()
        elif self._received_bytes > self._buffer_bytes:
            self._start_streaming(self._length)
        elif self._request.site.budget.try_reserve(len(data)):
            self._reserved_bytes += len(data)
        else:
            self._request.site.metrics.count("http.answer_not_buffered")
            self._start_streaming(self._length)

    def attempt_sink(self) -> AnswerSink:
        """Return a sink for a new attempt, which supersedes the earlier sinks.

        Data that an earlier attempt still delivers is discarded and counted.
        """
        self._current_sink = _AttemptSink(self)
        return self._current_sink

    def attach_transport(self, transport: IPushProducer) -> None:
        """See :meth:`AnswerSink.attach_transport`."""
        self._upstream = transport
        self._upstream_paused = False

    # Called by the dispatcher.

    def commit(self) -> None:
        """Complete the answer after the upstream has delivered all of it.

        An answer shorter or longer than announced is aborted instead, so that the
        caller cannot mistake it for a complete one.
        """
        if self._committed or self._ended:
            return
        if not self._status:
            self.fail(OutcomeUnknownError("upstream gave no answer"))
            return
        if self._length is not None and self._length != self._received_bytes:
            self.abort()
            return
        self._committed = True
        if self._streaming:
            self._write_chunks()
        elif self._received_bytes <= WRITE_BYTES:
            body = b"".join(self._chunks)
            self._chunks.clear()
            self._request.send_answer(self._status, self._encoded_headers(), body)
        else:
            self._start_streaming(self._received_bytes)

    def abort(self) -> None:
        """Abort the connection, so that the caller sees a truncated answer."""
        if not self._ended:
            self._request.abort()
            self._set_ended(False)

    def fail(self, error: PistachioliftError) -> None:
        """Send an error instead of an answer.

        The connection is aborted if a part of the answer has been sent. After a
        complete answer the call has no effect.

        :param error: the error to send.
        """
        if self._ended or self._committed:
            return
        self._stop_upstream()
        if self._streaming:
            self.abort()
            return
        self._committed = True
        self._chunks.clear()
        self._request.send_error(error)

    def buffered_answer(
        self, limit_bytes: int
    ) -> tuple[int, dict[str, str], bytes] | None:
        """Return the status, headers and body of a complete buffered answer.

        To be called before :meth:`commit`.

        :param limit_bytes: maximum length of the body.
        :returns: ``None`` if the body is longer, incomplete or not buffered.
        """
        if not self.retryable or self._received_bytes > limit_bytes:
            return None
        if self._length is not None and self._length != self._received_bytes:
            return None
        return self._status, dict(self._headers), b"".join(self._chunks)

    # Called by the caller's transport.

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop writing; the buffer of the caller's transport is full."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume writing; the buffer of the caller's transport is empty."""
        self._paused = False
        self._write_chunks()

    def stopProducing(self) -> None:  # noqa: N802
        """Abort the answer; the caller's connection is closed."""
        self._set_ended(False)

    def _encoded_headers(self) -> list[tuple[bytes, bytes]]:
        outcome = Outcome.DONE if self._status < 500 else Outcome.FAILED
        raw = [
            (name.title().encode("latin-1"), value.encode("latin-1"))
            for name, value in self._headers.items()
        ]
        raw.append((b"Outcome", outcome.value.encode()))
        return raw

    def _start_streaming(self, length: int | None) -> None:
        if not self._request.start_answer(
            self._status, self._encoded_headers(), length
        ):
            self._set_ended(False)
            return
        self._streaming = True
        self._release()
        self._paused = self._request.channel.write_blocked
        self._request.registerProducer(self, True)
        self._write_chunks()

    def _write_chunks(self) -> None:
        while self._chunks and not self._paused and not self._ended:
            data = self._chunks.popleft()
            if len(data) > WRITE_BYTES:
                self._chunks.appendleft(data[WRITE_BYTES:])
                data = data[:WRITE_BYTES]
            self._request.write(data)
        if self._ended:
            return
        if self._chunks:
            # deliverBody resumes the transport after the first data, so the pause
            # is repeated for each part that arrives.
            if self._upstream is not None and not self._committed:
                self._upstream_paused = True
                self._upstream.pauseProducing()
        elif self._committed:
            self._request.unregisterProducer()
            self._request.finish()
        elif self._upstream_paused and self._upstream is not None:
            self._upstream_paused = False
            self._upstream.resumeProducing()

    def _release(self) -> None:
        self._request.site.budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _stop_upstream(self) -> None:
        if self._upstream is not None:
            self._upstream.stopProducing()
            self._upstream = None

    def _request_ended(self, result: object) -> None:
        self._set_ended(result is None)

    def _set_ended(self, complete: bool) -> None:
        if self._ended:
            return
        self._ended = True
        self._chunks.clear()
        self._release()
        if not complete:
            self._stop_upstream()
        self._upstream = None
        self.finished.callback(complete)


class _AttemptSink(AnswerSink):
    """Passes on the answer of one attempt until another attempt supersedes it."""

    def __init__(self, answer: CallerAnswer):
        self._answer = answer
        self._upstream: IPushProducer | None = None

    def _is_current(self) -> bool:
        answer = self._answer
        if answer._current_sink is self:
            return True
        answer._request.site.metrics.count("http.late_answer_dropped")
        if self._upstream is not None:
            self._upstream.stopProducing()
            self._upstream = None
        return False

    def write_head(
        self, status: int, headers: dict[str, str], length: int | None
    ) -> None:
        """See :meth:`AnswerSink.write_head`."""
        if self._is_current():
            self._answer.write_head(status, headers, length)

    def write(self, data: bytes) -> None:
        """See :meth:`AnswerSink.write`."""
        if self._is_current():
            self._answer.write(data)

    def attach_transport(self, transport: IPushProducer) -> None:
        """See :meth:`AnswerSink.attach_transport`."""
        self._upstream = transport
        if self._is_current():
            self._answer.attach_transport(transport)
