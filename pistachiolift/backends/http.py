"""HTTP client for JSON APIs that maps all connection failures to one error type."""

import re
from collections.abc import Callable

from twisted.internet import defer, error
from twisted.internet.interfaces import IConnector, IReactorTime
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from ..common import InvalidInputError, PistachioliftError, parse_address
from .http_connection import HttpConnection, MalformedAnswerError

__all__ = ["ClientsByAddress", "JsonHttpClient"]

CONNECT_TIMEOUT_S = 0.5

# Servers close idle connections; one that is idle for longer is not used again.
IDLE_LIMIT_S = 240.0

# Exceptions of refused, lost, malformed and timed-out connections.
CONNECTION_ERRORS = (
    MalformedAnswerError,
    error.ConnectError,
    error.ConnectionLost,
    error.ConnectionDone,
    error.ConnectionAborted,
    defer.CancelledError,
    OSError,
)

# A response that keeps arriving is given up after this time.
LONGEST_RESPONSE_S = 10.0

_BASE_URL = re.compile(r"(https?)://([^/]+)")
_TARGET = re.compile(r"/[!-~]*")
_UNSAFE_HEADER = re.compile(r"[\r\n\0]")


class _ConnectionFactory(ClientFactory):
    """Opens one connection."""

    noisy = False

    def __init__(
        self, connection: HttpConnection, opened: defer.Deferred[HttpConnection]
    ):
        self._connection = connection
        self._opened = opened

    def buildProtocol(self, _address: object) -> HttpConnection:  # noqa: N802
        """Return the connection; see :class:`ClientFactory`."""
        return self._connection

    def clientConnectionFailed(  # noqa: N802
        self, _connector: IConnector, reason: Failure
    ) -> None:
        """Report why no connection was opened; see :class:`ClientFactory`."""
        self._opened.errback(reason)


class JsonHttpClient:
    """Sends JSON requests over persistent connections.

    Requests are never repeated, since they may not be idempotent.

    :param reactor: Twisted's reactor.
    :param base_url: scheme, IP address and port of the server.
    :param timeout_s: seconds after which an unanswered call fails.
    :param make_error: returns the error to raise, given the reason.
    :param connections: maximum number of idle connections kept open.
    :raises InvalidInputError: if the URL has another form or the port is out of range.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        base_url: str,
        *,
        timeout_s: float,
        make_error: Callable[[str], PistachioliftError],
        connections: int = 4,
    ):
        match = _BASE_URL.fullmatch(base_url)
        if match is None:
            raise InvalidInputError(
                f"server is {base_url!r}; must be of the form http://HOST:PORT or https://HOST:PORT"
            )
        self._tls = match[1] == "https"
        self._host, self._port = parse_address(match[2])
        self._reactor = reactor
        self._timeout_s = timeout_s
        self._make_error = make_error
        self._max_idle = connections
        # The connection used last is used first.
        self._idle: list[HttpConnection] = []

    def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
        stall_timeout_s: float | None = None,
    ) -> defer.Deferred[tuple[int, bytes]]:
        """Send a request and read the whole response.

        :param timeout_s: overrides the client's time-out, in seconds.
        :param stall_timeout_s: longest time, in seconds, in which nothing of a response
            arrives that has begun before the time-out. Without it, the whole response
            must have arrived by then.
        :returns: fires with the HTTP status and the body; fails with the error of
            ``make_error`` if no response arrives.
        :raises InvalidInputError: if the path or a header is not valid in HTTP.
        """
        request = self._encode(method, path, headers or {}, body)
        result: defer.Deferred[tuple[int, bytes]] = defer.Deferred(self._cancel)
        used: list[HttpConnection] = []
        exchange = defer.ensureDeferred(self._exchange(request, used))
        sent_s = self._reactor.seconds()
        longest_s = max(timeout_s or self._timeout_s, LONGEST_RESPONSE_S)

        # The result fails at the time-out even if the connection ignores its
        # cancellation.
        def expire(seen_bytes: int = 0) -> None:
            nonlocal timer
            waited_s = self._reactor.seconds() - sent_s
            received = sum(connection.received_bytes for connection in used)
            arriving = received > seen_bytes and waited_s < longest_s
            if stall_timeout_s is not None and arriving and not result.called:
                timer = self._reactor.callLater(stall_timeout_s, expire, received)
                return
            if not result.called:
                reason = f"timeout after {waited_s:.2f} s, {received} bytes received"
                result.errback(self._make_error(reason))
            exchange.cancel()
            # The idle connections may be as dead as the unanswered one.
            self._close_idle()

        timer = self._reactor.callLater(timeout_s or self._timeout_s, expire)

        def set_result(value: object) -> None:
            if timer.active():
                timer.cancel()
            if result.called:
                return
            if isinstance(value, Failure) and value.check(*CONNECTION_ERRORS):
                failed = self._make_error(type(value.value).__name__)
                failed.__cause__ = value.value
                value = Failure(failed)
            result.callback(value)

        exchange.addBoth(set_result)
        return result

    def _cancel(self, result: defer.Deferred) -> None:
        # The server may have acted on the request, which is left to end by itself.
        result.errback(self._make_error("CancelledError"))

    def _encode(
        self, method: str, path: str, headers: dict[str, str], body: bytes | None
    ) -> bytes:
        """Return the request; head and body are sent in one packet."""
        if not _TARGET.fullmatch(path):
            raise InvalidInputError(f"path {path[:80]!r} is not valid in HTTP")
        lines = [f"{method} {path} HTTP/1.1\r\nHost: {self._host}:{self._port}\r\n"]
        for name, value in headers.items():
            if _UNSAFE_HEADER.search(value):
                raise InvalidInputError(f"header {name} is {value[:80]!r}")
            lines.append(f"{name}: {value}\r\n")
        if body is not None or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body or b'')}\r\n")
        lines.append("\r\n")
        return "".join(lines).encode("latin-1") + (body or b"")

    async def _exchange(
        self, request: bytes, used: list[HttpConnection]
    ) -> tuple[int, bytes]:
        """Send a request and wait for the answer.

        :param used: receives the connection once the request is sent on it.
        """
        connection = self._take_idle() or await self._connect()
        used.append(connection)
        answer = connection.send(request)
        try:
            return await answer
        except defer.CancelledError:
            connection.abort()
            raise

    def _connect(self) -> defer.Deferred[HttpConnection]:
        opened: defer.Deferred[HttpConnection] = defer.Deferred(
            lambda _: connector.disconnect()
        )
        connection = HttpConnection(
            on_open=opened.callback, on_idle=self._keep, on_lost=self._discard
        )
        factory = _ConnectionFactory(connection, opened)
        connect, arguments = self._reactor.connectTCP, ()
        if self._tls:
            # Instances that call plain HTTP only are deployed without TLS libraries.
            from twisted.internet.ssl import optionsForClientTLS

            connect = self._reactor.connectSSL
            arguments = (optionsForClientTLS(self._host),)
        connector = connect(
            self._host, self._port, factory, *arguments, timeout=CONNECT_TIMEOUT_S
        )
        return opened

    # Idle connections.

    def _take_idle(self) -> HttpConnection | None:
        oldest_s = self._reactor.seconds() - IDLE_LIMIT_S
        while self._idle:
            connection = self._idle.pop()
            if connection.closed:
                continue
            if connection.idle_since_s >= oldest_s:
                return connection
            connection.abort()
        return None

    def _keep(self, connection: HttpConnection) -> None:
        connection.idle_since_s = self._reactor.seconds()
        self._idle.append(connection)
        if len(self._idle) > self._max_idle:
            self._idle.pop(0).abort()

    def _discard(self, connection: HttpConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)

    def _close_idle(self) -> None:
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    async def close(self) -> None:
        """Close the idle connections."""
        self._close_idle()


class ClientsByAddress:
    """A client for each server address, with at most one idle connection each.

    :param timeout_s: seconds after which an unanswered call fails.
    :param make_error: returns the error to raise, given the reason.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        *,
        timeout_s: float,
        make_error: Callable[[str], PistachioliftError],
    ):
        self._reactor = reactor
        self._timeout_s = timeout_s
        self._make_error = make_error
        self._clients_by_address: dict[str, JsonHttpClient] = {}

    def get(self, address: str) -> JsonHttpClient:
        """Return the client for a server, created on first use.

        :param address: IP address and port.
        """
        client = self._clients_by_address.get(address)
        if client is None:
            client = self._clients_by_address[address] = JsonHttpClient(
                self._reactor,
                f"http://{address}",
                timeout_s=self._timeout_s,
                make_error=self._make_error,
                connections=1,
            )
        return client

    async def close(self) -> None:
        """Close all idle connections."""
        for client in self._clients_by_address.values():
            await client.close()
