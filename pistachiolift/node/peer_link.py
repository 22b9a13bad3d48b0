"""Connections between instances, over which both sides can make calls.

These are plain TCP connections instead of pynng, because a connection that has gone
silent must be detected and replaced within a second, which pynng does not offer.
"""

import logging
from collections.abc import Awaitable, Callable

import msgspec
from twisted.internet.defer import Deferred, ensureDeferred, fail
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.interfaces import IDelayedCall, IReactorTCP
from twisted.internet.protocol import Factory
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from ..common import (
    InvalidInputError,
    Metrics,
    NoOwnerError,
    log_event,
    parse_address,
)
from .partition_map import PartitionNumber
from .peer_messages import (
    FRAME_LIMIT_BYTES,
    Frame,
    Hello,
    Message,
    PeerState,
    Ping,
    Pong,
    decode_frame,
    encode_frame,
)

__all__ = ["PeerConnection", "PeerServer", "connect_peer"]

logger = logging.getLogger(__name__)

PING_INTERVAL_S = 0.4
# A connection without traffic for three ping intervals is aborted and replaced.
SILENCE_LIMIT_S = 1.3
CONNECT_TIMEOUT_S = 0.6

Handler = Callable[["PeerConnection", Message], Awaitable[Message | None]]


class PeerConnection(Int32StringReceiver):
    """A connection to another instance; either side may call the other.

    The side that opened the connection sends pings. Both sides abort a silent
    connection.

    :param hello: first message, which identifies this instance.
    :param outgoing: whether this instance opens the connection.
    :param handler: answers the peer's calls.
    :param on_open: called when the peer has identified itself.
    :param on_close: called once when the connection is lost.
    :param state: returns the state that this instance reports with pings and pongs.
    :param on_state: called with each state that the peer reports.
    """

    MAX_LENGTH = FRAME_LIMIT_BYTES

    def __init__(
        self,
        reactor: IReactorTCP,
        *,
        hello: Hello,
        handler: Handler,
        metrics: Metrics,
        state: Callable[[], PeerState],
        outgoing: bool,
        on_open: Callable[["PeerConnection"], None] = lambda connection: None,
        on_close: Callable[["PeerConnection"], None] = lambda connection: None,
        on_state: Callable[["PeerConnection", PeerState], None] = (
            lambda connection, state: None
        ),
    ):
        self._reactor = reactor
        self._hello = hello
        self._handler = handler
        self._metrics = metrics
        self._state = state
        self._outgoing = outgoing
        self._on_open = on_open
        self._on_close = on_close
        self._on_state = on_state
        self._calls: dict[int, Deferred] = {}
        self._next_call = 1
        self._last_contact_s = reactor.seconds()
        self._timer: IDelayedCall | None = None
        self.peer: Hello | None = None
        self.peer_state: PeerState | None = None
        self.open = False

    @property
    def partition(self) -> PartitionNumber:
        """The partition that calls on this connection are about."""
        return (self._hello if self._outgoing else self.peer).partition

    @property
    def peer_fitness(self) -> float:
        """How well the peer can own one more partition, 0 to 1."""
        owned = 0 if self.peer_state is None else self.peer_state.owned
        return self.peer.owner_fitness / (1 + owned)

    def connectionMade(self) -> None:  # noqa: N802
        """Identify this instance, and start checking for silence."""
        self.open = True
        self.transport.setTcpNoDelay(True)
        self._last_contact_s = self._reactor.seconds()
        self._send(Frame(0, False, self._hello))
        self._timer = self._reactor.callLater(self._check_interval_s, self._check)

    @property
    def _check_interval_s(self) -> float:
        return PING_INTERVAL_S if self._outgoing else SILENCE_LIMIT_S

    def _check(self) -> None:
        self._timer = None
        silence_s = self._reactor.seconds() - self._last_contact_s
        if silence_s > SILENCE_LIMIT_S:
            log_event(
                logger,
                "peer_silent",
                peer=self.peer.instance_id if self.peer else "",
                silence_s=silence_s,
            )
            self.transport.abortConnection()
            return
        if self._outgoing:
            self._send(Frame(0, False, Ping(self._state())))
        self._timer = self._reactor.callLater(self._check_interval_s, self._check)

    def _send(self, frame: Frame) -> None:
        data = encode_frame(frame)
        self._metrics.count("peers.sent_bytes", len(data) + 4)
        self.sendString(data)

    def call(self, message: Message, *, timeout_s: float) -> Deferred:
        """Call the peer.

        :param timeout_s: longest time to wait for the answer, in seconds.
        :returns: fires with the answer, or fails with :class:`NoOwnerError` if the
            connection is lost or the time is over; the call may have taken effect.
        """
        result: Deferred = Deferred()
        if not self.open:
            result.errback(NoOwnerError("peer connection is closed"))
            return result
        number, self._next_call = self._next_call, self._next_call + 1
        self._calls[number] = result
        timer = self._reactor.callLater(timeout_s, self._expire, number)

        def stop_timer(value: object) -> object:
            if timer.active():
                timer.cancel()
            return value

        result.addBoth(stop_timer)
        self._send(Frame(number, False, message))
        return result

    def _expire(self, number: int) -> None:
        waiter = self._calls.pop(number, None)
        if waiter is not None:
            self._metrics.count("peers.call_timeout")
            waiter.errback(NoOwnerError("peer did not answer in time"))

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Handle a frame; one that cannot be decoded closes the connection."""
        self._last_contact_s = self._reactor.seconds()
        try:
            frame = decode_frame(string)
        except (msgspec.MsgspecError, ValueError) as error:
            self._metrics.count("refusal.malformed_message")
            log_event(logger, "peer_message_refused", reason=str(error)[:200])
            self.transport.abortConnection()
            return
        message = frame.message
        if frame.answer:
            waiter = self._calls.pop(frame.call, None)
            if waiter is not None:
                waiter.callback(message)
        elif isinstance(message, Hello):
            self.peer = message
            self._on_open(self)
        elif isinstance(message, Ping):
            self._send(Frame(0, False, Pong(self._state())))
            self._handle_state(message.state)
        elif isinstance(message, Pong):
            self._handle_state(message.state)
        else:
            answer = ensureDeferred(self._answer(frame.call, message))
            answer.addErrback(self._log_failed_call, message)

    def send_state(self) -> None:
        """Report this instance's state without waiting for the next ping."""
        if self.open and self.peer is not None:
            self._send(Frame(0, False, Pong(self._state())))

    def _handle_state(self, state: PeerState) -> None:
        self.peer_state = state
        if self.peer is not None:
            self._on_state(self, state)

    async def _answer(self, call: int, message: Message) -> None:
        answer = await self._handler(self, message)
        if answer is not None and self.open:
            self._send(Frame(call, True, answer))

    def _log_failed_call(self, failure: Failure, message: Message) -> None:
        log_event(
            logger,
            "peer_call_failed",
            level=logging.ERROR,
            call=type(message).__name__,
            error=f"{failure.type.__name__}: {failure.value}",
            traceback=failure.getTraceback(elideFrameworkCode=True),
        )

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close the connection because a frame is too long."""
        self._metrics.count("refusal.malformed_message")
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Fail the calls in flight."""
        self.open = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        calls, self._calls = self._calls, {}
        for waiter in calls.values():
            waiter.errback(NoOwnerError("peer connection was lost"))
        self._on_close(self)

    def close(self) -> None:
        """Close the connection."""
        if self.open:
            self.transport.abortConnection()


class PeerServer(Factory):
    """Accepts connections from other instances.

    :param make: returns a new connection.
    """

    noisy = False

    def __init__(self, make: Callable[[], PeerConnection]):
        self._make = make
        self.connections: set[PeerConnection] = set()

    def buildProtocol(self, addr) -> PeerConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        connection = self._make()
        connection.factory = self
        return connection


def connect_peer(
    reactor: IReactorTCP, address: str, connection: PeerConnection
) -> Deferred:
    """Connect to an instance.

    :param address: IP address and port.
    :returns: fires when the connection is open; fails if it cannot be opened, and with
        :class:`InvalidInputError` if the address has another form.
    """
    try:
        host, port = parse_address(address)
    except InvalidInputError:
        return fail()
    endpoint = TCP4ClientEndpoint(reactor, host, port, timeout=CONNECT_TIMEOUT_S)
    return connectProtocol(endpoint, connection)
