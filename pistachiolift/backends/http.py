"""A treq client that answers every failure with one typed error."""

from collections.abc import Callable

import treq
from twisted.internet import defer, error
from twisted.internet.interfaces import IReactorTime
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseFailed,
)

from ..common import PistachioliftError
from .body import BytesProducer

__all__ = ["ClientsByAddress", "JsonHttpClient"]

CONNECT_TIMEOUT_S = 0.5

# What a broken or refused connection raises in Twisted's client.
CONNECTION_ERRORS = (
    ResponseFailed,
    # The connection was lost between two requests, or while one was written.
    RequestNotSent,
    RequestTransmissionFailed,
    error.ConnectError,
    error.ConnectionLost,
    error.ConnectionDone,
    error.ConnectionAborted,
    # Raised instead of a time-out when the connection is not open by then.
    error.ConnectingCancelledError,
    defer.CancelledError,
    OSError,
)


class JsonHttpClient:
    """Sends JSON requests over persistent connections.

    :param reactor: Twisted's reactor.
    :param base_url: scheme, IP address and port of the server.
    :param timeout_s: seconds until a call without an answer fails.
    :param unavailable: makes the error to raise from a reason.
    :param connections: most idle connections kept.
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
        # A request must not be sent twice behind the caller's back.
        self._pool.retryAutomatically = False
        self._agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self._base_url = base_url
        self._timeout_s = timeout_s
        self._unavailable = make_error
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
        """Send a request and read the whole answer.

        :param timeout_s: overrides the client's time limit.
        :returns: HTTP status and body.
        """
        try:
            return await self._send(method, path, body, headers or {}, timeout_s)
        except CONNECTION_ERRORS as failure:
            raise self._unavailable(type(failure).__name__) from failure

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

        # The caller's time limit does not depend on how the connection takes the
        # cancellation.
        def expire() -> None:
            result.errback(self._unavailable("timeout"))
            call.cancel()
            # Idle connections may be as silent as the one without an answer.
            self._pool.closeCachedConnections()

        timer = self._reactor.callLater(timeout_s or self._timeout_s, expire)

        def settle(value: object) -> None:
            if timer.active():
                timer.cancel()
            if not result.called:
                result.callback(value)

        call.addBoth(settle)
        return await result

    async def _exchange(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        response = await treq.request(
            method,
            self._base_url + path,
            data=None if body is None else BytesProducer(body),
            headers=headers,
            agent=self._agent,
            reactor=self._reactor,
            unbuffered=True,
        )
        return response.code, await treq.content(response)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.closeCachedConnections()


class ClientsByAddress:
    """One client for each server, with one idle connection each.

    :param timeout_s: seconds until a call without an answer fails.
    :param unavailable: makes the error to raise from a reason.
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
        self._unavailable = make_error
        self._clients_by_address: dict[str, JsonHttpClient] = {}

    def get(self, address: str) -> JsonHttpClient:
        """Return the client of a server.

        :param address: IP address and port.
        """
        client = self._clients_by_address.get(address)
        if client is None:
            client = self._clients_by_address[address] = JsonHttpClient(
                self._reactor,
                f"http://{address}",
                timeout_s=self._timeout_s,
                make_error=self._unavailable,
                connections=1,
            )
        return client

    async def close(self) -> None:
        """Close all idle connections."""
        for client in self._clients_by_address.values():
            await client.close()
