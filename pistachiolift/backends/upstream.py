"""Client of the upstreams, which run the attempts of requests in slots."""

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
from .agent import AGENT_ERRORS
from .body import BytesProducer
from .http import CONNECT_TIMEOUT_S, ClientsByAddress

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
# the status calls together stay below the 64 connections that an upstream accepts.
IDLE_CONNECTIONS_PER_UPSTREAM = 4
IDLE_CONNECTION_TIMEOUT_S = 30


class AttemptState(Enum):
    """State of an attempt as reported by the upstream."""

    NOT_STARTED = "not_started"
    RUNNING = "running"
    ENDED = "ended"
    STOPPED = "stopped"


class AttemptOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to an upstream to run one attempt in one slot.

    :param start_before_ms: wall clock time, in milliseconds since the Unix epoch,
        after which the upstream must not start the attempt.
    :param run_limit_ms: run time after which the upstream ends the attempt, in
        milliseconds.
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
    """State of one attempt on an upstream."""

    attempt_id: AttemptId
    state: AttemptState


class RunningAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt that is running on an upstream."""

    attempt_id: AttemptId
    request_id: RequestId


class RunningAttempts(Message):
    """All attempts that are running on an upstream."""

    attempts: list[RunningAttempt]


class AnswerSink(ABC):
    """Receives an upstream's answer as it arrives."""

    @abstractmethod
    def write_head(
        self, status: int, headers: dict[str, str], length: int | None
    ) -> None:
        """Receive the status and the headers of the answer.

        :param status: HTTP status.
        :param headers: values by lower-case name.
        :param length: announced length of the body in bytes, or ``None``.
        """

    @abstractmethod
    def write(self, data: bytes) -> None:
        """Receive the next part of the body."""

    @abstractmethod
    def attach_transport(self, transport: object) -> None:
        """Receive the connection, used to pause, resume and stop the transfer."""


class UpstreamClient(ABC):
    """Starts, stops and lists attempts on upstreams."""

    @abstractmethod
    async def start(
        self, order: AttemptOrder, body: bytes | IBodyProducer, sink: AnswerSink
    ) -> None:
        """Run an attempt and pass its whole answer to the sink.

        :raises DeadlineExpiredError: if the upstream did not start the attempt.
        :raises UpstreamUnreachableError: if the answer was truncated or missing; the
            attempt may still run unless the error's outcome rules it out.
        """

    @abstractmethod
    async def stop(self, address: str, attempt_id: AttemptId) -> AttemptState:
        """Stop an attempt and return its state after the call.

        The upstream records the identifier, so that an attempt that has not started
        cannot start later.

        :raises UpstreamUnreachableError: if no valid answer arrived.
        """

    @abstractmethod
    async def list_running(self, address: str) -> list[RunningAttempt]:
        """Return the attempts that are running on an upstream.

        :raises UpstreamUnreachableError: if no valid answer arrived.
        """


class _BodyReader(Protocol):
    """Passes the body of an answer to a sink.

    ``done`` fires with the reason for the end of the body.
    """

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
    """Client of upstreams over HTTP.

    :param on_sent: called when an attempt is sent.
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
        # Agent is used directly because treq parses and normalises each URL again and
        # wraps the response three times, which costs more than sending the request.
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
            raise UpstreamUnreachableError(
                f"no answer from {order.address} within {limit_s:g} s"
            ) from failure
        except error.ConnectError as failure:
            # No connection was established, so no part of the request was sent.
            raise UpstreamUnreachableError(
                type(failure).__name__, outcome=Outcome.REFUSED
            ) from failure
        except AGENT_ERRORS as failure:
            raise UpstreamUnreachableError(type(failure).__name__) from failure

    async def _check_end(self, reader: _BodyReader) -> None:
        end = await reader.done
        if not isinstance(end, ResponseDone):
            raise UpstreamUnreachableError(
                f"answer was truncated: {type(end).__name__}"
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
            raise UpstreamUnreachableError(f"HTTP status {status}, expected 200")
        try:
            return decode_json(body, message_type, limit_bytes=STATUS_LIMIT_BYTES)
        except MalformedMessageError as failure:
            raise UpstreamUnreachableError(f"malformed answer: {failure}") from failure

    async def close(self) -> None:
        """Close all idle connections."""
        await self._pool.closeCachedConnections()
        await self._clients.close()
