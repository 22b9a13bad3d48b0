"""The body of a caller's request, received with bounded memory."""

import hashlib
from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IConsumer
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

from ..backends.body import BytesProducer
from ..common import BodyTooLargeError, PistachioliftError
from .errors import BodyConsumedError
from .limits import HttpLimits

__all__ = ["BodySource"]


@implementer(IBodyProducer)
class _SourceProducer:
    """Produces a body as it arrives."""

    def __init__(self, body: "BodySource", length: int | None):
        self.length = UNKNOWN_LENGTH if length is None else length
        self.paused = False
        self.consumer: IConsumer | None = None
        self.done: Deferred | None = None
        self._body = body

    def startProducing(self, consumer: IConsumer) -> Deferred:  # noqa: N802
        """Start to write the body to the consumer."""
        self.consumer = consumer
        self.done = Deferred(lambda _: self.stopProducing())
        done = self.done
        self._body._start_producer(self)
        return done

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop writing; the caller's transport is paused in turn."""
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume writing after a pause."""
        self.paused = False
        self._body._write_chunks()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop producing; the consumer needs no more data."""
        self.consumer = self.done = None
        self._body._drop_producer(self)

    def end(self, failure: Exception | None = None) -> None:
        """Report the end or the failure of the body to the consumer."""
        done, self.consumer, self.done = self.done, None, None
        if done is not None:
            done.callback(None) if failure is None else done.errback(failure)


class BodySource:
    """The body of one request.

    A small body, of at most ``limits.small_body_bytes``, is buffered and can be
    consumed any number of times. A larger body can be consumed once; the caller's
    transport is paused until then. A chunked body counts as small until it exceeds
    the size.

    :param length: Content-Length in bytes, ``None`` for a chunked body.
    :param limits: limits of the listener.
    :param digest_header: value of the Digest header, ``None`` if not sent.
    :param on_hold_change: called with whether the caller's transport must be paused.
    :param on_first_use: called when the body is requested for the first time; sends
        ``100 Continue`` if the caller waits for it.
    """

    def __init__(
        self,
        length: int | None,
        limits: HttpLimits,
        *,
        digest_header: str | None = None,
        on_hold_change: Callable[[bool], None] = lambda held: None,
        on_first_use: Callable[[], None] = lambda: None,
    ):
        self.length = length
        self.received_bytes = 0
        self.complete = False
        self.failure: PistachioliftError | None = None
        self._limits = limits
        self._limit_bytes = limits.body_bytes
        self._digest_header = digest_header
        self._on_hold_change = on_hold_change
        self._held = False
        self._on_first_use = on_first_use
        self._large = length is not None and length > limits.small_body_bytes
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._consumed = False
        self._discarded = False
        self._producers: list[_SourceProducer] = []
        self._waiting: list[Deferred] = []
        self._disconnect_callbacks: list[Callable[[], None]] = []
        self._failure_callbacks: list[Callable[[PistachioliftError], None]] = []

    @property
    def reservation_bytes(self) -> int:
        """Maximum memory used to buffer the body, in bytes."""
        if self._large:
            return 2 * self._limits.held_body_bytes
        if self.length is None:
            return self._limits.small_body_bytes
        return self.length

    @property
    def replayable(self) -> bool:
        """Whether the body can be sent again, for a retry on another upstream."""
        return not self._large and not self._discarded and self.failure is None

    def set_limit(self, limit_bytes: int) -> None:
        """Set the limit of the request's kind.

        :param limit_bytes: maximum length of the body; a limit above that of the
            listener has no effect.
        :raises BodyTooLargeError: if the body is known to be longer; a chunked body
            fails with this error once it exceeds the limit.
        """
        self._limit_bytes = min(limit_bytes, self._limit_bytes)
        self._check_limit(max(self.length or 0, self.received_bytes))

    async def ready(self) -> None:
        """Wait until the body is either complete or known to be large.

        :raises PistachioliftError: if the body failed.
        """
        while not (self.complete or self._large or self.failure):
            self._notify_first_use()
            waiting = Deferred()
            self._waiting.append(waiting)
            await waiting
        if self.failure is not None:
            raise self.failure

    async def read_all(self, limit_bytes: int) -> bytes:
        """Wait for a small body and return it.

        :param limit_bytes: maximum length, at most that of a small body.
        :raises BodyTooLargeError: if the body is longer, before it is read if its
            length was announced.
        :raises PistachioliftError: if the body failed.
        """
        self.set_limit(min(limit_bytes, self._limits.small_body_bytes))
        if not self.complete:
            await self.ready()
        return self._joined_chunks()

    def as_producer(self) -> IBodyProducer:
        """Return a producer of the body for treq or an Agent.

        :raises BodyConsumedError: if the body has been consumed or discarded.
        :raises PistachioliftError: if the body failed.
        """
        if self.failure is not None:
            raise self.failure
        if self._discarded or (self._large and self._consumed):
            raise BodyConsumedError("a large body can be consumed once")
        if self.complete and not self._large:
            return BytesProducer(self._joined_chunks())
        self._consumed = True
        return _SourceProducer(self, self.length)

    async def digest(self) -> str:
        """Return a text that identifies the content, for deduplication.

        For a small body it contains the SHA-256. A large body is not read for this
        purpose: the text contains its length and the caller's Digest header.

        :raises PistachioliftError: if a small body failed.
        """
        if not self.complete:
            await self.ready()
        if not self._large:
            return f"sha256:{hashlib.sha256(self._joined_chunks()).hexdigest()}"
        length = "unknown" if self.length is None else self.length
        return f"length:{length};digest:{self._digest_header or ''}"

    def discard(self) -> None:
        """Release the buffer; the body can no longer be consumed."""
        self._discarded = True
        self._chunks.clear()
        self._buffered_bytes = 0
        self._update_hold()

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Register a callback for a disconnect before the request has ended."""
        self._disconnect_callbacks.append(callback)

    def on_failure(self, callback: Callable[[PistachioliftError], None]) -> None:
        """Register a callback for a body that fails, such as one that is too slow."""
        self._failure_callbacks.append(callback)

    # Called by the channel.

    def receive(self, data: bytes) -> None:
        """Receive the next part of the body."""
        self.received_bytes += len(data)
        if self.failure is not None or self._discarded:
            return
        try:
            self._check_limit(self.received_bytes)
        except BodyTooLargeError as error:
            self.fail(error)
            return
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        if not self._large and self.received_bytes > self._limits.small_body_bytes:
            self._large = True
            self._wake_waiters()
        if self._large:
            self._write_chunks()

    def receive_end(self) -> None:
        """Receive the end of the body."""
        if self.failure is not None:
            return
        self.complete = True
        if self._waiting:
            self._wake_waiters()
        if self._producers:
            self._write_chunks()

    def fail(self, error: PistachioliftError) -> None:
        """Fail the body, and report the error to its consumers and callbacks."""
        if self.failure is not None or self.complete:
            return
        self.failure = error
        self._chunks.clear()
        self._buffered_bytes = 0
        self._wake_waiters()
        producers, self._producers = self._producers, []
        for producer in producers:
            producer.end(error)
        callbacks, self._failure_callbacks = self._failure_callbacks, []
        for callback in callbacks:
            callback(error)
        self._update_hold()

    def record_disconnect(self, error: PistachioliftError) -> None:
        """Handle the loss of the caller's connection."""
        self.fail(error)
        callbacks, self._disconnect_callbacks = self._disconnect_callbacks, []
        for callback in callbacks:
            callback()

    def release(self) -> None:
        """Release the buffer and the callbacks at the end of the request."""
        self._disconnect_callbacks.clear()
        self._failure_callbacks.clear()
        self._chunks.clear()
        self._discarded = True

    # Called by the producers.

    def _start_producer(self, producer: _SourceProducer) -> None:
        if self.failure is not None:
            producer.end(self.failure)
            return
        self._notify_first_use()
        self._producers.append(producer)
        self._write_chunks()

    def _drop_producer(self, producer: _SourceProducer) -> None:
        if producer in self._producers:
            self._producers.remove(producer)

    def _write_chunks(self) -> None:
        """Write the buffered data to the consumers that are not paused."""
        if self._large:
            self._write_large()
        elif self.complete:
            data = self._joined_chunks() if self._producers else b""
            for producer in [p for p in self._producers if not p.paused]:
                self._producers.remove(producer)
                if data:
                    producer.consumer.write(data)
                producer.end()

    def _write_large(self) -> None:
        producer = self._producers[0] if self._producers else None
        while producer is not None and self._chunks and not producer.paused:
            data = b"".join(self._chunks)
            self._chunks.clear()
            self._buffered_bytes = 0
            producer.consumer.write(data)
            producer = self._producers[0] if self._producers else None
        if producer is not None and self.complete and not self._chunks:
            self._producers.clear()
            producer.end()
        self._update_hold()

    def _joined_chunks(self) -> bytes:
        if self._discarded:
            raise BodyConsumedError("the body was discarded")
        if len(self._chunks) > 1:
            self._chunks[:] = [b"".join(self._chunks)]
        return self._chunks[0] if self._chunks else b""

    def _notify_first_use(self) -> None:
        on_first_use, self._on_first_use = self._on_first_use, lambda: None
        on_first_use()

    def _wake_waiters(self) -> None:
        waiting, self._waiting = self._waiting, []
        for deferred in waiting:
            # A cancelled waiter already has a result.
            if not deferred.called:
                deferred.callback(None)

    def _update_hold(self) -> None:
        held = not self.complete and (
            self.failure is not None
            or self._discarded
            or (self._large and self._buffered_bytes >= self._limits.held_body_bytes)
        )
        if held is not self._held:
            self._held = held
            self._on_hold_change(held)

    def _check_limit(self, size_bytes: int) -> None:
        if size_bytes > self._limit_bytes:
            raise BodyTooLargeError(
                f"body has {size_bytes} bytes or more; at most {self._limit_bytes} "
                "are allowed"
            )
