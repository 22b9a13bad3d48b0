"""Passes an upstream's answer on to the caller."""

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

# Headers of an upstream that reach the caller. An allow list keeps hop-by-hop
# headers and internal ones, present and future, from leaking.
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

# Longest write to the caller's transport. The transport pauses its producer when
# it holds 64 KiB, so it never holds more than twice this.
WRITE_BYTES = 64 * 1024


@implementer(IPushProducer)
class CallerAnswer(AnswerSink):
    """The only answer to one request.

    The first ``limits.answer_buffer_bytes`` of the upstream's answer are buffered. As
    long as nothing has been sent to the caller (``retryable``), another attempt may
    call :meth:`begin` again and replaces what the broken one delivered. A longer
    answer is streamed from then on, and the upstream is paused while the caller does
    not take data. :meth:`commit` ends a complete answer in both cases.

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
        self._current: AnswerSink | None = None
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
        """Whether nothing has been sent, so that another attempt can answer."""
        return not (self._streaming or self._committed or self._ended)

    @property
    def ended(self) -> bool:
        """Whether the answer is complete, was aborted, or the caller is gone."""
        return self._ended

    @property
    def status(self) -> int:
        """The upstream's status; 0 before it is known."""
        return self._status

    # The upstream's side.

    def write_head(
        self, status: int, headers: dict[str, str], length: int | None
    ) -> None:
        """See :meth:`AnswerSink.begin`.

        :raises UpstreamFailedError: if the status is not that of a final answer.
        """
        if not self.retryable:
            self._stop_upstream()
            if self._streaming:
                # Parts of two attempts must not form one answer.
                self.abort()
            return
        if not 200 <= status <= 599:
            raise UpstreamFailedError(
                f"upstream's status is {status}; 200 to 599 are allowed"
            )
        self._reset()
        self._status = status
        self._headers = {
            name: value
            for name, value in headers.items()
            # treq leaves an empty Content-Encoding behind.
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
            self._pump()
        elif self._received_bytes > self._buffer_bytes:
            self._start(self._length)
        elif self._request.site.budget.try_reserve(len(data)):
            self._reserved_bytes += len(data)
        else:
            self._request.site.metrics.count("http.answer_not_buffered")
            self._start(self._length)

    def attempt_sink(self) -> AnswerSink:
        """Return a sink for one attempt, which replaces the sinks of earlier ones.

        What an earlier attempt still delivers is counted and dropped.
        """
        self._current = _AttemptSink(self)
        return self._current

    def attach_transport(self, transport: IPushProducer) -> None:
        """See :meth:`AnswerSink.attach`."""
        self._upstream = transport
        self._upstream_paused = False

    # The dispatcher's side.

    def commit(self) -> None:
        """End the answer: the upstream has delivered all of it.

        An answer shorter or longer than announced is aborted instead, so that the
        caller cannot take it for a complete one.
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
            self._pump()
        elif self._received_bytes <= WRITE_BYTES:
            body = b"".join(self._chunks)
            self._chunks.clear()
            self._request.send_answer(self._status, self._raw_headers(), body)
        else:
            self._start(self._received_bytes)

    def abort(self) -> None:
        """Close the caller's connection without a proper end of the answer."""
        if not self._ended:
            self._request.abort()
            self._end(False)

    def fail(self, error: PistachioliftError) -> None:
        """Report an error instead of an answer.

        The connection is aborted if a part of an answer has been sent; nothing
        happens after a complete one.

        :param error: what to report.
        """
        if self._ended or self._committed:
            return
        self._stop_upstream()
        if self._streaming:
            self.abort()
            return
        self._committed = True
        self._chunks.clear()
        self._request.answer_error(error)

    def small_answer(
        self, limit_bytes: int
    ) -> tuple[int, dict[str, str], bytes] | None:
        """Return status, headers and body of a complete buffered answer.

        Call before :meth:`commit`.

        :param limit_bytes: longest body of interest.
        :returns: ``None`` if the body is longer or was not buffered.
        """
        if not self.retryable or self._received_bytes > limit_bytes:
            return None
        if self._length is not None and self._length != self._received_bytes:
            return None
        return self._status, dict(self._headers), b"".join(self._chunks)

    # The caller's side.

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop writing; the caller's transport is full."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Write again; the caller's transport is empty."""
        self._paused = False
        self._pump()

    def stopProducing(self) -> None:  # noqa: N802
        """Give up; the caller's transport is gone."""
        self._end(False)

    def _raw_headers(self) -> list[tuple[bytes, bytes]]:
        outcome = Outcome.DONE if self._status < 500 else Outcome.FAILED
        raw = [
            (name.title().encode("latin-1"), value.encode("latin-1"))
            for name, value in self._headers.items()
        ]
        raw.append((b"Outcome", outcome.value.encode()))
        return raw

    def _start(self, length: int | None) -> None:
        if not self._request.begin_answer(self._status, self._raw_headers(), length):
            self._end(False)
            return
        self._streaming = True
        self._release()
        self._paused = self._request.channel.write_blocked
        self._request.registerProducer(self, True)
        self._pump()

    def _pump(self) -> None:
        while self._chunks and not self._paused and not self._ended:
            data = self._chunks.popleft()
            if len(data) > WRITE_BYTES:
                self._chunks.appendleft(data[WRITE_BYTES:])
                data = data[:WRITE_BYTES]
            self._request.write(data)
        if self._ended:
            return
        if self._chunks:
            # deliverBody resumes the transport after the first data, so a pause
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
        self._end(result is None)

    def _end(self, complete: bool) -> None:
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
    """Passes the answer of one attempt on until another one replaces it."""

    def __init__(self, answer: CallerAnswer):
        self._answer = answer
        self._upstream: IPushProducer | None = None

    def _is_current(self) -> bool:
        answer = self._answer
        if answer._current is self:
            return True
        answer._request.site.metrics.count("http.late_answer_dropped")
        if self._upstream is not None:
            self._upstream.stopProducing()
            self._upstream = None
        return False

    def write_head(
        self, status: int, headers: dict[str, str], length: int | None
    ) -> None:
        """See :meth:`AnswerSink.begin`."""
        if self._is_current():
            self._answer.write_head(status, headers, length)

    def write(self, data: bytes) -> None:
        """See :meth:`AnswerSink.write`."""
        if self._is_current():
            self._answer.write(data)

    def attach_transport(self, transport: IPushProducer) -> None:
        """See :meth:`AnswerSink.attach`."""
        self._upstream = transport
        if self._is_current():
            self._answer.attach_transport(transport)
