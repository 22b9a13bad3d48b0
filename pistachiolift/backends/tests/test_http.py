"""Tests of the HTTP client with servers that do not answer."""

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from pistachiolift.backends.http import JsonHttpClient
from pistachiolift.common import InvalidInputError, StoreUnavailableError

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def make_client(reactor, *, timeout_s=0.3, connections=1):
    return JsonHttpClient(
        reactor,
        "http://192.0.2.1:80",
        timeout_s=timeout_s,
        make_error=StoreUnavailableError,
        connections=connections,
    )


def connect(reactor, index=-1):
    """Open the connection that was requested last, or with the given index."""
    protocol = reactor.tcpClients[index][2].buildProtocol(None)
    protocol.makeConnection(StringTransport())
    return protocol


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

    def test_a_call_whose_connection_ignores_its_end_fails_in_time(self):
        """The transport of the test never reports the end of the connection."""
        reactor = MemoryReactorClock()
        client = make_client(reactor)
        failures = []
        ensureDeferred(client.call("GET", "/")).addErrback(failures.append)
        connect(reactor)
        reactor.advance(0.4)
        assert len(failures) == 1
        assert failures[0].check(StoreUnavailableError)

    def test_the_error_tells_a_slow_answer_from_none(self):
        reactor = MemoryReactorClock()
        failures = []
        ensureDeferred(make_client(reactor).call("GET", "/")).addErrback(
            failures.append
        )
        connect(reactor).dataReceived(ANSWER[:20])
        reactor.advance(0.4)
        message = "timeout after 0.40 s, 20 bytes received"
        assert failures[0].value.message == message

    def test_a_caller_that_leaves_gets_the_error_of_the_client(self):
        reactor = MemoryReactorClock()
        call = make_client(reactor).call("GET", "/")
        failures = []
        call.addErrback(failures.append)
        connection = connect(reactor)
        call.cancel()
        assert failures[0].check(StoreUnavailableError)
        connection.dataReceived(ANSWER)
        reactor.advance(1.0)
        assert not reactor.getDelayedCalls()


class TestLongResponses:
    """Guards against responses that are given up while they arrive."""

    HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"

    @staticmethod
    def call(stall_timeout_s):
        reactor, results = MemoryReactorClock(), []
        client = make_client(reactor)
        call = client.call("GET", "/", stall_timeout_s=stall_timeout_s)
        ensureDeferred(call).addBoth(results.append)
        return reactor, connect(reactor), results

    def test_one_that_keeps_arriving_is_read_to_its_end(self):
        reactor, connection, results = self.call(0.2)
        connection.dataReceived(self.HEAD)
        for _ in range(10):
            connection.dataReceived(bytes(100_000))
            reactor.advance(0.1)
        assert results == [(200, bytes(1_000_000))]
        assert not reactor.getDelayedCalls()

    @pytest.mark.parametrize(("stall_timeout_s", "limit_s"), [(0.2, 0.8), (None, 0.4)])
    def test_one_that_stops_arriving_fails(self, stall_timeout_s, limit_s):
        reactor, connection, results = self.call(stall_timeout_s)
        connection.dataReceived(self.HEAD)
        reactor.advance(0.25)
        connection.dataReceived(bytes(1000))
        for _ in range(round((limit_s - 0.25) / 0.05)):
            reactor.advance(0.05)
        assert len(results) == 1 and results[0].check(StoreUnavailableError)

    def test_one_that_trickles_fails_in_the_end(self):
        reactor, connection, results = self.call(0.2)
        connection.dataReceived(self.HEAD)
        for _ in range(120):
            if results:
                break
            connection.dataReceived(b"x")
            reactor.advance(0.1)
        assert len(results) == 1 and results[0].check(StoreUnavailableError)


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
    def test_an_unanswered_call_closes_the_idle_connections(self):
        """Guards against further calls on dead connections after a network fault."""
        reactor = MemoryReactorClock()
        client = make_client(reactor)
        calls = [client.call("GET", "/") for _ in range(2)]
        used, idle = connect(reactor, 0), connect(reactor, 1)
        idle.dataReceived(ANSWER)
        assert calls[1].result == (200, b"")
        calls[0].addErrback(lambda failure: None)
        reactor.advance(0.2)
        assert not idle.transport.disconnecting
        reactor.advance(0.2)
        assert used.transport.disconnected and idle.transport.disconnected
        client.call("GET", "/").addErrback(lambda failure: None)
        assert len(reactor.tcpClients) == 3

    def test_a_connection_that_was_idle_for_long_is_not_used_again(self):
        reactor = MemoryReactorClock()
        client = make_client(reactor)
        client.call("GET", "/")
        connect(reactor).dataReceived(ANSWER)
        reactor.advance(300.0)
        client.call("GET", "/").addErrback(lambda failure: None)
        assert len(reactor.tcpClients) == 2


class TestLostConnections:
    def test_a_refused_connection_is_the_cause_of_the_error(self):
        reactor = MemoryReactorClock()
        failures = []
        make_client(reactor).call("GET", "/").addErrback(failures.append)
        refused = Failure(ConnectionRefusedError())
        reactor.tcpClients[0][2].clientConnectionFailed(reactor.connectors[0], refused)
        assert failures[0].check(StoreUnavailableError)
        assert isinstance(failures[0].value.__cause__, ConnectionRefusedError)

    @pytest.mark.parametrize(
        "received", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na"]
    )
    def test_a_connection_lost_before_the_whole_answer_fails_the_call(self, received):
        reactor = MemoryReactorClock()
        client = make_client(reactor)
        failures = []
        client.call("GET", "/").addErrback(failures.append)
        connection = connect(reactor)
        if received:
            connection.dataReceived(received)
        connection.connectionLost(Failure(ConnectionDone()))
        assert failures[0].check(StoreUnavailableError)
        assert not reactor.getDelayedCalls()

    def test_a_connection_lost_while_idle_is_not_used_again(self):
        reactor = MemoryReactorClock()
        client = make_client(reactor)
        client.call("GET", "/")
        connection = connect(reactor)
        connection.dataReceived(ANSWER)
        connection.connectionLost(Failure(ConnectionLost()))
        client.call("GET", "/").addErrback(lambda failure: None)
        assert len(reactor.tcpClients) == 2


class TestAnswers:
    """Answers of all forms, received in one part or byte by byte."""

    FORMS = {
        "length": b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabcde",
        "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n",
        "interim": b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
        "to the end": b"HTTP/1.0 200 OK\r\n\r\nabcde",
    }

    @pytest.mark.parametrize("form", FORMS)
    @pytest.mark.parametrize("size", [1, 1000])
    def test_the_body_is_read(self, form, size):
        reactor = MemoryReactorClock()
        call = make_client(reactor).call("GET", "/")
        connection = connect(reactor)
        data = self.FORMS[form]
        for start in range(0, len(data), size):
            connection.dataReceived(data[start : start + size])
        if form == "to the end":
            connection.connectionLost(Failure(ConnectionDone()))
        assert call.result == (200, b"abcde")

    def test_an_answer_without_a_body_is_complete_at_its_head(self):
        reactor = MemoryReactorClock()
        call = make_client(reactor).call("GET", "/")
        connect(reactor).dataReceived(b"HTTP/1.1 204 No Content\r\n\r\n")
        assert call.result == (204, b"")

    @pytest.mark.parametrize(
        "data",
        [
            b"junk\r\n\r\n",
            b"HTTP/1.1 2000 OK\r\n\r\n",
            b"HTTP/1.1 101 Switching\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 5000,
        ],
    )
    def test_an_invalid_answer_fails_the_call_and_closes_the_connection(self, data):
        reactor = MemoryReactorClock()
        failures = []
        make_client(reactor).call("GET", "/").addErrback(failures.append)
        connection = connect(reactor)
        connection.dataReceived(data)
        assert failures[0].check(StoreUnavailableError)
        assert connection.transport.disconnected

    @pytest.mark.parametrize(
        "answer",
        [
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            ANSWER + b"more",
        ],
    )
    def test_a_connection_with_an_unclear_end_is_not_used_again(self, answer):
        reactor = MemoryReactorClock()
        client = make_client(reactor)
        call = client.call("GET", "/")
        connect(reactor).dataReceived(answer)
        assert call.result == (200, b"")
        client.call("GET", "/").addErrback(lambda failure: None)
        assert len(reactor.tcpClients) == 2

    def test_data_that_was_not_asked_for_closes_an_idle_connection(self):
        """Guards against an answer that is taken for that of the next request."""
        reactor = MemoryReactorClock()
        client = make_client(reactor)
        client.call("GET", "/")
        connection = connect(reactor)
        connection.dataReceived(ANSWER)
        connection.dataReceived(ANSWER)
        assert connection.transport.disconnected
        call = client.call("GET", "/")
        call.addErrback(lambda failure: None)
        assert len(reactor.tcpClients) == 2


class TestInvalidRequests:
    @pytest.mark.parametrize("path", ["x", "/a b", "/a\r\nX: y", "/\u00e9"])
    def test_a_path_that_is_not_valid_is_not_sent(self, path):
        client = make_client(MemoryReactorClock())
        with pytest.raises(InvalidInputError):
            client.call("GET", path)

    def test_a_header_with_a_line_break_is_not_sent(self):
        client = make_client(MemoryReactorClock())
        with pytest.raises(InvalidInputError):
            client.call("GET", "/", headers={"X": "a\r\nY: b"})

    @pytest.mark.parametrize("url", ["ftp://a:1", "http://a", "http://a:1/path"])
    def test_a_server_address_without_a_port_is_rejected(self, url):
        with pytest.raises(InvalidInputError):
            JsonHttpClient(
                MemoryReactorClock(), url, timeout_s=1, make_error=StoreUnavailableError
            )
