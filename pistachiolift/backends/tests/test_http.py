"""Tests of the HTTP client with servers that do not answer."""

import pytest
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.web.client import RequestNotSent, RequestTransmissionFailed

from pistachiolift.backends.http import JsonHttpClient
from pistachiolift.common import StoreUnavailableError

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def make_client(reactor, *, timeout_s=0.3, connections=1):
    return JsonHttpClient(
        reactor,
        "http://192.0.2.1:80",
        timeout_s=timeout_s,
        make_error=StoreUnavailableError,
        connections=connections,
    )


class TestTimeLimits:
    @pytest.mark.parametrize("timeout_s", [0.3, 0.9])
    def test_a_connection_that_does_not_open_in_time_fails_the_call(self, timeout_s):
        """Covers time-outs of the call before and after that of the connection."""
        reactor = MemoryReactorClock()
        client = make_client(reactor, timeout_s=timeout_s)
        result = ensureDeferred(client.call("GET", "/"))
        failures = []
        result.addErrback(failures.append)
        for _ in range(10):
            reactor.advance(0.1)
        assert len(failures) == 1
        assert failures[0].check(StoreUnavailableError)

    def test_a_call_that_ignores_its_cancellation_fails_in_time(self, monkeypatch):
        reactor = MemoryReactorClock()
        client = make_client(reactor)

        async def exchange(*arguments):
            while True:
                try:
                    await Deferred()
                except CancelledError:
                    continue

        monkeypatch.setattr(client, "_exchange", exchange)
        failures = []
        ensureDeferred(client.call("GET", "/")).addErrback(failures.append)
        reactor.advance(0.4)
        assert len(failures) == 1
        assert failures[0].check(StoreUnavailableError)


class TestRequests:
    def test_head_and_body_are_sent_in_one_packet(self):
        """Guards against the round trip that a second small packet costs."""
        reactor = MemoryReactorClock()
        client = make_client(reactor)
        ensureDeferred(client.call("POST", "/x", body=b'{"a":1}'))
        _, _, factory, _, _ = reactor.tcpClients[0]
        transport = StringTransport()
        factory.buildProtocol(None).makeConnection(transport)
        assert transport.value().endswith(b'\r\n\r\n{"a":1}')


class TestIdleConnections:
    def test_concurrent_calls_reuse_the_connections_of_earlier_ones(self):
        """Guards against new connections when the tasks of several steps are
        started on one worker.
        """
        reactor = MemoryReactorClock()
        client = make_client(reactor, connections=3)
        opened = []
        for _ in range(4):
            calls = [ensureDeferred(client.call("GET", "/")) for _ in range(3)]
            for _, _, factory, _, _ in reactor.tcpClients[len(opened) :]:
                protocol = factory.buildProtocol(None)
                protocol.makeConnection(StringTransport())
                opened.append(protocol)
            for protocol in opened:
                protocol.dataReceived(ANSWER)
            assert [call.result for call in calls] == [(200, b"")] * 3
        assert len(opened) == 3


class TestSilentConnections:
    def test_an_unanswered_call_closes_the_idle_connections(self, monkeypatch):
        """Guards against further calls on dead connections after a network fault."""
        reactor = MemoryReactorClock()
        client = make_client(reactor)
        closed = []
        monkeypatch.setattr(
            client._pool, "closeCachedConnections", lambda: closed.append(True)
        )
        ensureDeferred(client.call("GET", "/")).addErrback(lambda failure: None)
        reactor.advance(0.2)
        assert not closed
        reactor.advance(0.2)
        assert closed


class TestLostConnections:
    @pytest.mark.parametrize("error", [RequestNotSent(), RequestTransmissionFailed([])])
    def test_a_request_that_was_not_sent_fails_the_call(self, error, monkeypatch):
        client = make_client(MemoryReactorClock())

        async def exchange(*arguments):
            raise error

        monkeypatch.setattr(client, "_exchange", exchange)
        failures = []
        ensureDeferred(client.call("GET", "/")).addErrback(failures.append)
        assert failures[0].check(StoreUnavailableError)
