"""Server factory for resources with streamed bodies."""

import logging
import select

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall
from twisted.web.http import datetimeToString
from twisted.web.resource import IResource
from twisted.web.server import Site

from ..common import Metrics, PistachioliftError, log_event
from .budget import BufferBudget
from .channel import StreamingChannel
from .errors import TooManyConnectionsError
from .limits import HttpLimits
from .request import StreamingRequest
from .timeouts import check_time

__all__ = ["StreamingSite"]

logger = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 1.0

# Connections above the limit that get an error answer; further ones are aborted.
MAX_ANSWERED_REFUSALS = 64

RETRY_AFTER_CONNECTIONS_S = 1.0


class StreamingSite(Site):
    """Serves a resource that is rendered when the headers are complete.

    Its handlers get the body as a :class:`BodySource` in ``request.body``. They
    answer with a :class:`CallerAnswer` or :meth:`StreamingRequest.send_answer`.

    :param resource: root of the resources, such as that of a klein application from
        :func:`klein_resource`, or a :class:`HandlerResource`.
    :param metrics: counts errors and connections closed by a limit.
    :param reactor: Twisted's reactor.
    :param limits: limits of the listener.
    """

    def __init__(
        self,
        resource: IResource,
        *,
        metrics: Metrics,
        reactor: IReactorTime,
        limits: HttpLimits | None = None,
    ):
        super().__init__(resource, reactor=reactor, parsePOSTFormSubmission=False)
        self.limits = limits or HttpLimits()
        self.metrics = metrics
        self.budget = BufferBudget(self.limits.buffered_bytes)
        self.channels: set[StreamingChannel] = set()
        self.draining = False
        # Updated by the sweep, because reading the clock for each event costs more.
        self.now_s = reactor.seconds()
        self.date = datetimeToString()
        self._sweeping: LoopingCall | None = None
        self._closed_waiters: list[Deferred[None]] = []

    def buildProtocol(self, addr) -> StreamingChannel:  # noqa: N802
        """Create the protocol of a new connection."""
        channel = StreamingChannel(self)
        channel.factory = self
        return channel

    def acceptableProtocols(self) -> list[bytes]:  # noqa: N802
        """Return the protocols to offer over TLS."""
        return [b"http/1.1"]

    def startFactory(self) -> None:  # noqa: N802
        """Start the periodic check of the time limits."""
        self.now_s = self.reactor.seconds()
        self._sweeping = LoopingCall(self.sweep)
        self._sweeping.clock = self.reactor
        self._sweeping.start(SWEEP_INTERVAL_S, now=False)

    def stopFactory(self) -> None:  # noqa: N802
        """Stop the sweep once the last connection is closed."""
        self.draining = True
        self._stop_sweep_if_done()

    def sweep(self) -> None:
        """Check the time limits of all connections."""
        self.now_s = self.reactor.seconds()
        self.date = datetimeToString()
        for channel in list(self.channels):
            check_time(channel, self.now_s)
        self._abort_disconnected()
        self.metrics.gauge("http.connections", len(self.channels))
        self.metrics.gauge("http.reserved_bytes", self.budget.reserved_bytes)

    def _abort_disconnected(self) -> None:
        """Abort connections that callers closed while their body was held.

        A paused transport does not read and thus does not notice a closed connection.
        """
        held_by_fd = {
            channel.transport.fileno(): channel
            for channel in self.channels
            if channel.body_held and hasattr(channel.transport, "fileno")
        }
        if not held_by_fd:
            return
        poll = select.poll()
        for fd in held_by_fd:
            poll.register(fd, select.POLLRDHUP)
        for fd, _ in poll.poll(0):
            self.count_closed("caller_left", held_by_fd[fd])
            held_by_fd[fd].abort()

    def drain(self) -> None:
        """Close idle connections now and the other ones after their request."""
        self.draining = True
        for channel in list(self.channels):
            channel.drain()
        self._stop_sweep_if_done()

    def when_closed(self) -> Deferred[None]:
        """Return a Deferred that fires when all connections are closed."""
        closed: Deferred[None] = Deferred()
        if self.channels:
            self._closed_waiters.append(closed)
        else:
            closed.callback(None)
        return closed

    def abort_all(self) -> None:
        """Abort all connections."""
        for channel in list(self.channels):
            self.count_closed("stopped", channel)
            channel.abort()

    def connection_opened(self, channel: StreamingChannel) -> None:
        """Register a new connection, or refuse it above the limit."""
        limit = self.limits.connections
        self.channels.add(channel)
        if len(self.channels) <= limit:
            return
        if len(self.channels) > limit + MAX_ANSWERED_REFUSALS:
            self.count_closed("too_many_connections", channel)
            channel.abort()
            return
        channel.refuse(
            TooManyConnectionsError(
                f"listener has reached the limit of {limit} connections",
                retry_after_s=RETRY_AFTER_CONNECTIONS_S,
            )
        )

    def connection_closed(self, channel: StreamingChannel) -> None:
        """Unregister a closed connection."""
        self.channels.discard(channel)
        self._stop_sweep_if_done()
        if not self.channels and self._closed_waiters:
            waiters, self._closed_waiters = self._closed_waiters, []
            for waiter in waiters:
                # A waiter that timed out already has a result.
                if not waiter.called:
                    waiter.callback(None)

    def count_error(
        self,
        error: PistachioliftError,
        *,
        peer,
        request: StreamingRequest | None = None,
    ) -> None:
        """Count and log an error that was sent to a caller."""
        self.metrics.count(f"http.error.{type(error).__name__}")
        log_event(
            logger,
            "request_refused",
            code=error.code.value,
            error=type(error).__name__,
            status=error.http_status,
            outcome=error.outcome.value,
            message=error.message,
            peer=getattr(peer, "host", peer),
            path=request.path.decode("latin-1") if request is not None else "",
        )

    def count_closed(self, reason: str, channel: StreamingChannel) -> None:
        """Count and log a connection that a limit closed without an answer."""
        self.metrics.count(f"http.closed.{reason}")
        log_event(
            logger,
            "connection_closed",
            reason=reason,
            state=channel.state.value,
            peer=getattr(channel.transport.getPeer(), "host", ""),
        )

    def log(self, request: StreamingRequest) -> None:
        """Write no access log; events are logged individually."""

    def _stop_sweep_if_done(self) -> None:
        if self.draining and not self.channels and self._sweeping is not None:
            sweeping, self._sweeping = self._sweeping, None
            sweeping.stop()
