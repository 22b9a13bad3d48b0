"""The body of a caller's request, read with bounded memory."""

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
    """Produces a body while it arrives."""

    def __init__(self, body: "BodySource", length: int | None):
        self.length = UNKNOWN_LENGTH if length is None else length
        self.paused = False
        self.consumer: IConsumer | None = None
        self.done: Deferred | None = None
        self._body = body

    def startProducing(self, consumer: IConsumer) -> Deferred:  # noqa: N802
        """Start to pass the body on."""
        self.consumer = consumer
        self.done = Deferred(lambda _: self.stopProducing())
        done = self.done
        self._body._start_producer(self)
        return done

    def pauseProducing(self) -> None:  # noqa: N802
        """Hold the body back; the caller's transport pauses in turn."""
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on after a pause."""
        self.paused = False
        self._body._pump()

    def stopProducing(self) -> None:  # noqa: N802
        """Give up; the consumer is gone."""
        self.consumer = self.done = None
        self._body._drop_producer(self)

    def end(self, failure: Exception | None = None) -> None:
        """Report the end of the body to the consumer's side."""
        done, self.consumer, self.done = self.done, None, None
        if done is not None:
            done.callback(None) if failure is None else done.errback(failure)


class BodySource:
    """The body of one request.

    A body of at most ``limits.small_body_bytes`` is buffered and can be used any
    number of times. A larger one is held back by pausing the caller's transport
    until it is consumed, which is possible once. A chunked body counts as small
    until it exceeds the size.

    :param length: value of Content-Length in bytes, ``None`` for a chunked body.
    :param limits: limits of the listener.
    :param digest_header: value of the Digest header, if sent.
    :param hold: called with whether the caller's transport has to be paused.
    :param on_wanted: called when the body is asked for the first time; sends
        ``100 Continue`` if the caller waits for it.
    """

    def __init__(
        self,
        length: int | None,
        limits: HttpLimits,
        *,
        digest_header: str | None = None,
        hold: Callable[[bool], None] = lambda held: None,
        on_wanted: Callable[[], None] = lambda: None,
    ):
        self.length = length
        self.received_bytes = 0
        self.complete = False
        self.failure: PistachioliftError | None = None
        self._limits = limits
        self._limit_bytes = limits.body_bytes
        self._digest_header = digest_header
        self._hold = hold
        self._held = False
        self._on_wanted = on_wanted
        self._large = length is not None and length > limits.small_body_bytes
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._taken = False
        self._discarded = False
        self._producers: list[_SourceProducer] = []
        self._waiting: list[Deferred] = []
        self._disconnect_callbacks: list[Callable[[], None]] = []
        self._failure_callbacks: list[Callable[[PistachioliftError], None]] = []

    @property
    def reservation_bytes(self) -> int:
        """Most memory that the body takes while it is buffered."""
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
        """Set the limit of the kind.

        :param limit_bytes: largest body allowed; a limit above that of the
            listener has no effect.
        :raises BodyTooLargeError: if the body is known to be longer. A chunked body
            fails with this error as soon as it exceeds the limit.
        """
        self._limit_bytes = min(limit_bytes, self._limit_bytes)
        self._check_limit(max(self.length or 0, self.received_bytes))

    async def ready(self) -> None:
        """Wait until a small body is complete or the body is known to be large.

        :raises PistachioliftError: if the body failed.
        """
        while not (self.complete or self._large or self.failure):
            self._want()
            waiting = Deferred()
            self._waiting.append(waiting)
            await waiting
        if self.failure is not None:
            raise self.failure

    async def read_all(self, limit_bytes: int) -> bytes:
        """Return a small body.

        :param limit_bytes: longest body accepted, at most the size of a small body.
        :raises BodyTooLargeError: if the body is longer, before it is read if its
            length was announced.
        :raises PistachioliftError: if the body failed.
        """
        self.set_limit(min(limit_bytes, self._limits.small_body_bytes))
        if not self.complete:
            await self.ready()
        return self._whole()

    def as_producer(self) -> IBodyProducer:
        """Return a producer of the body for treq or an Agent.

        :raises BodyConsumedError: if the body cannot be sent again.
        :raises PistachioliftError: if the body failed.
        """
        if self.failure is not None:
            raise self.failure
        if self._discarded or (self._large and self._taken):
            raise BodyConsumedError("a large body can be consumed once")
        if self.complete and not self._large:
            return BytesProducer(self._whole())
        self._taken = True
        return _SourceProducer(self, self.length)

    async def digest(self) -> str:
        """Return a text that identifies the content, for deduplication.

        A small body gives its SHA-256. A large one is not read for this: it gives
        its length and the caller's Digest header.

        :raises PistachioliftError: if a small body failed.
        """
        if not self.complete:
            await self.ready()
        if not self._large:
            return f"sha256:{hashlib.sha256(self._whole()).hexdigest()}"
        length = "unknown" if self.length is None else self.length
        return f"length:{length};digest:{self._digest_header or ''}"

    def discard(self) -> None:
        """Release the buffer; nobody will consume the body."""
        self._discarded = True
        self._chunks.clear()
        self._buffered_bytes = 0
        self._update_hold()

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Call back when the caller disconnects before its request has ended."""
        self._disconnect_callbacks.append(callback)

    def on_failure(self, callback: Callable[[PistachioliftError], None]) -> None:
        """Call back when the body fails: too large, malformed, slow or cut off."""
        self._failure_callbacks.append(callback)

    # Called by the channel.

    def receive(self, data: bytes) -> None:
        """Take the next part of the body."""
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
            self._wake()
        if self._large:
            self._pump()

    def receive_end(self) -> None:
        """Take the end of the body."""
        if self.failure is not None:
            return
        self.complete = True
        if self._waiting:
            self._wake()
        if self._producers:
            self._pump()

    def fail(self, error: PistachioliftError) -> None:
        """Give the body up, with an error for everybody who waits for it."""
        if self.failure is not None or self.complete:
            return
        self.failure = error
        self._chunks.clear()
        self._buffered_bytes = 0
        self._wake()
        producers, self._producers = self._producers, []
        for producer in producers:
            producer.end(error)
        callbacks, self._failure_callbacks = self._failure_callbacks, []
        for callback in callbacks:
            callback(error)
        self._update_hold()

    def disconnected(self, error: PistachioliftError) -> None:
        """Report that the caller's connection is gone."""
        self.fail(error)
        callbacks, self._disconnect_callbacks = self._disconnect_callbacks, []
        for callback in callbacks:
            callback()

    def release(self) -> None:
        """Drop everything at the end of the request."""
        self._disconnect_callbacks.clear()
        self._failure_callbacks.clear()
        self._chunks.clear()
        self._discarded = True

    # Called by the producers.

    def _start_producer(self, producer: _SourceProducer) -> None:
        if self.failure is not None:
            producer.end(self.failure)
            return
        self._want()
        self._producers.append(producer)
        self._pump()

    def _drop_producer(self, producer: _SourceProducer) -> None:
        if producer in self._producers:
            self._producers.remove(producer)

    def _pump(self) -> None:
        """Pass on what is buffered, as far as the consumers take it."""
        if self._large:
            self._pump_large()
        elif self.complete:
            data = self._whole() if self._producers else b""
            for producer in [p for p in self._producers if not p.paused]:
                self._producers.remove(producer)
                if data:
                    producer.consumer.write(data)
                producer.end()

    def _pump_large(self) -> None:
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

    def _whole(self) -> bytes:
        if self._discarded:
            raise BodyConsumedError("the body was discarded")
        if len(self._chunks) > 1:
            self._chunks[:] = [b"".join(self._chunks)]
        return self._chunks[0] if self._chunks else b""

    def _want(self) -> None:
        on_wanted, self._on_wanted = self._on_wanted, lambda: None
        on_wanted()

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, []
        for deferred in waiting:
            # A waiter that was cancelled has its result already.
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
            self._hold(held)

    def _check_limit(self, size_bytes: int) -> None:
        if size_bytes > self._limit_bytes:
            raise BodyTooLargeError(
                f"body has {size_bytes} bytes or more; at most {self._limit_bytes} "
                "are allowed"
            )
