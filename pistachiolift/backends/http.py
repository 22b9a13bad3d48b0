"""HTTP client for JSON APIs that maps all connection failures to one error type."""

from collections.abc import Callable

from twisted.internet import defer, error
from twisted.internet.interfaces import IReactorTime
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseFailed,
    readBody,
)
from twisted.web.http_headers import Headers

from ..common import PistachioliftError
from .body import BytesProducer

__all__ = ["ClientsByAddress", "JsonHttpClient"]

CONNECT_TIMEOUT_S = 0.5

# Exceptions of Twisted's client for refused, lost and timed-out connections.
CONNECTION_ERRORS = (
    ResponseFailed,
    # The connection was lost between two requests, or while a request was sent.
    RequestNotSent,
    RequestTransmissionFailed,
    error.ConnectError,
    error.ConnectionLost,
    error.ConnectionDone,
    error.ConnectionAborted,
    # Raised instead of a time-out error if the connection is not open by then.
    error.ConnectingCancelledError,
    defer.CancelledError,
    OSError,
)


class JsonHttpClient:
    """Sends JSON requests over persistent connections.

    :param reactor: Twisted's reactor.
    :param base_url: scheme, IP address and port of the server.
    :param timeout_s: seconds after which an unanswered call fails.
    :param make_error: returns the error to raise, given the reason.
    :param connections: maximum number of idle connections kept open.
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
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = connections
        # Calls may not be idempotent, so only the caller may repeat them.
        self._pool.retryAutomatically = False
        self._agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self._base_url = base_url
        self._timeout_s = timeout_s
        self._make_error = make_error
        self._reactor = reactor

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> tuple[int, bytes]:
        """Send a request and read the whole response.

        :param timeout_s: overrides the client's time-out, in seconds.
        :returns: HTTP status and body.
        :raises PistachioliftError: the error of ``make_error`` if no response arrives.
        """
        try:
            return await self._send(method, path, body, headers or {}, timeout_s)
        except CONNECTION_ERRORS as failure:
            raise self._make_error(type(failure).__name__) from failure

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout_s: float | None,
    ) -> tuple[int, bytes]:
        call = defer.ensureDeferred(self._exchange(method, path, body, headers))
        result: defer.Deferred[tuple[int, bytes]] = defer.Deferred()

        # The result fails at the time-out even if the connection ignores its
        # cancellation.
        def expire() -> None:
            result.errback(self._make_error("timeout"))
            call.cancel()
            # The idle connections may be as dead as the unanswered one.
            self._pool.closeCachedConnections()

        timer = self._reactor.callLater(timeout_s or self._timeout_s, expire)

        def set_result(value: object) -> None:
            if timer.active():
                timer.cancel()
            if not result.called:
                result.callback(value)

        call.addBoth(set_result)
        return await result

    async def _exchange(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        # Agent is used directly because treq parses and normalises each URL again.
        response = await self._agent.request(
            method.encode("ascii"),
            (self._base_url + path).encode("ascii"),
            Headers({name: [value] for name, value in headers.items()}),
            None if body is None else BytesProducer(body),
        )
        return response.code, await readBody(response)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.closeCachedConnections()


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
