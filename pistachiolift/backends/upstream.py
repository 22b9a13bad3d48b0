"""Interface of the upstreams, which run requests in slots."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum

import msgspec
from twisted.internet import defer, error
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Protocol
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestTransmissionFailed,
    ResponseDone,
    readBody,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer

from ..common import (
    AttemptId,
    DeadlineExpiredError,
    Epoch,
    MalformedMessageError,
    Message,
    Outcome,
    RequestId,
    UpstreamUnreachableError,
    decode_json,
)
from .body import BytesProducer
from .http import CONNECT_TIMEOUT_S, CONNECTION_ERRORS, ClientsByAddress

__all__ = [
    "AnswerSink",
    "AttemptOrder",
    "AttemptState",
    "AttemptStatus",
    "HttpUpstreamClient",
    "RunningAttempt",
    "RunningAttempts",
    "UpstreamClient",
]

CALL_TIMEOUT_S = 1.0
STATUS_LIMIT_BYTES = 1024 * 1024

# Nine entry instances with four idle connections each, eight running attempts and
# the status calls stay below the 64 connections that an upstream accepts.
IDLE_CONNECTIONS_PER_UPSTREAM = 4
IDLE_CONNECTION_TIMEOUT_S = 30


class AttemptState(Enum):
    """What an upstream says about an attempt."""

    NOT_STARTED = "not_started"
    RUNNING = "running"
    ENDED = "ended"
    STOPPED = "stopped"


class AttemptOrder(msgspec.Struct, frozen=True, kw_only=True):
    """The right to start one attempt on one slot.

    :param start_before_ms: wall clock, milliseconds since the Unix epoch, after
        which the upstream must not start it.
    :param run_limit_ms: the upstream ends the attempt after this time.
    """

    attempt_id: AttemptId
    request_id: RequestId
    kind: str
    customer: str
    epoch: Epoch
    address: str
    start_before_ms: int
    run_limit_ms: int


class AttemptStatus(Message):
    """State of one attempt at the upstream."""

    attempt_id: AttemptId
    state: AttemptState


class RunningAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt that runs at an upstream."""

    attempt_id: AttemptId
    request_id: RequestId


class RunningAttempts(Message):
    """All attempts that run at an upstream."""

    attempts: list[RunningAttempt]


class AnswerSink(ABC):
    """Receives an upstream's answer while it arrives."""

    @abstractmethod
    def write_head(
        self, status: int, headers: dict[str, str], length: int | None
    ) -> None:
        """Take the status and the headers.

        :param length: bytes of the body, or ``None`` if not announced.
        """

    @abstractmethod
    def write(self, data: bytes) -> None:
        """Take the next part of the body."""

    @abstractmethod
    def attach_transport(self, transport: object) -> None:
        """Take the connection, to pause and resume the flow."""


class UpstreamClient(ABC):
    """Starts and stops attempts on upstreams."""

    @abstractmethod
    async def start(
        self, order: AttemptOrder, body: bytes | IBodyProducer, sink: AnswerSink
    ) -> None:
        """Run an attempt and pass its whole answer to the sink.

        :raises DeadlineExpiredError: if the attempt was certainly not started.
        :raises UpstreamUnreachableError: if the answer broke off or never came; the
            attempt may still run unless the error's outcome says otherwise.
        """

    @abstractmethod
    async def stop(self, address: str, attempt_id: AttemptId) -> AttemptState:
        """Stop an attempt and return its state after the call.

        The upstream remembers the identifier, so an attempt that had not started
        cannot start later.

        :raises UpstreamUnreachableError: if no answer came.
        """

    @abstractmethod
    async def list_running(self, address: str) -> list[RunningAttempt]:
        """Return the attempts that run at an upstream."""


class _BodyReader(Protocol):
    """Passes an answer's body to a sink and reports how it ended."""

    def __init__(self, sink: AnswerSink):
        self.done: defer.Deferred[Exception] = defer.Deferred()
        self._sink = sink

    def connectionMade(self) -> None:  # noqa: N802
        self._sink.attach_transport(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._sink.write(data)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        self.done.callback(reason.value)


class HttpUpstreamClient(UpstreamClient):
    """Talks HTTP to upstreams.

    :param on_sent: called just before an attempt leaves.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        *,
        on_sent: Callable[[AttemptId], None] = lambda attempt_id: None,
    ):
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = IDLE_CONNECTIONS_PER_UPSTREAM
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT_S
        self._pool.retryAutomatically = False
        self._agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self._on_sent = on_sent
        self._clients = ClientsByAddress(
            reactor, timeout_s=CALL_TIMEOUT_S, make_error=UpstreamUnreachableError
        )

    async def start(
        self, order: AttemptOrder, body: bytes | IBodyProducer, sink: AnswerSink
    ) -> None:
        """See :meth:`UpstreamClient.start`."""
        response = await self._open(order, body)
        if response.code == 409 and response.headers.hasHeader("Not-Started"):
            await readBody(response)
            raise DeadlineExpiredError("upstream refused a late start")
        length = response.length if isinstance(response.length, int) else None
        headers = {
            name.decode().lower(): values[-1].decode("latin-1")
            for name, values in response.headers.getAllRawHeaders()
        }
        sink.write_head(response.code, headers, length)
        reader = _BodyReader(sink)
        response.deliverBody(reader)
        await self._check_end(reader)

    async def _open(self, order: AttemptOrder, body: bytes | IBodyProducer):
        # treq parses and normalises each URL again and wraps the answer three times,
        # which costs more than sending the request.
        call = self._agent.request(
            b"POST",
            f"http://{order.address}/v1/attempts/{order.attempt_id}".encode("ascii"),
            Headers(
                {
                    b"Start-Before-Ms": [b"%d" % order.start_before_ms],
                    b"Run-Limit-Ms": [b"%d" % order.run_limit_ms],
                    b"Request-Id": [order.request_id.encode()],
                    b"Kind": [order.kind.encode()],
                    b"Customer": [order.customer.encode()],
                    b"Epoch": [b"%d" % order.epoch],
                    b"Content-Type": [b"application/octet-stream"],
                }
            ),
            BytesProducer(body) if isinstance(body, bytes) else body,
        )
        self._on_sent(order.attempt_id)
        limit_s = order.run_limit_ms / 1000 + CALL_TIMEOUT_S
        call.addTimeout(limit_s, self._reactor)
        try:
            return await call
        except defer.TimeoutError as failure:
            raise UpstreamUnreachableError("no answer in time") from failure
        except error.ConnectError as failure:
            # No connection stood, so no part of the request has left.
            raise UpstreamUnreachableError(
                type(failure).__name__, outcome=Outcome.REFUSED
            ) from failure
        except (*CONNECTION_ERRORS, RequestTransmissionFailed) as failure:
            raise UpstreamUnreachableError(type(failure).__name__) from failure

    async def _check_end(self, reader: _BodyReader) -> None:
        end = await reader.done
        if not isinstance(end, ResponseDone):
            raise UpstreamUnreachableError(
                f"answer broke off: {type(end).__name__}"
            ) from end

    async def stop(self, address: str, attempt_id: AttemptId) -> AttemptState:
        """See :meth:`UpstreamClient.stop`."""
        status, body = await self._clients.get(address).call(
            "DELETE", f"/v1/attempts/{attempt_id}"
        )
        return self._decode(status, body, AttemptStatus).state

    async def list_running(self, address: str) -> list[RunningAttempt]:
        """See :meth:`UpstreamClient.running`."""
        status, body = await self._clients.get(address).call("GET", "/v1/attempts")
        return self._decode(status, body, RunningAttempts).attempts

    @staticmethod
    def _decode(status: int, body: bytes, message_type):
        if status != 200:
            raise UpstreamUnreachableError(f"status {status}")
        try:
            return decode_json(body, message_type, limit_bytes=STATUS_LIMIT_BYTES)
        except MalformedMessageError as failure:
            raise UpstreamUnreachableError("malformed answer") from failure

    async def close(self) -> None:
        """Close all idle connections."""
        await self._pool.closeCachedConnections()
        await self._clients.close()
