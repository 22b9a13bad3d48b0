"""Tests of the limits of connections and of the handling of malformed input."""

import json

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred
from twisted.logger import LogLevel, globalLogPublisher

from pistachiolift.listener import CallerAnswer, HttpLimits
from pistachiolift.listener.tests.support import Setup

HEAD = b"POST /echo HTTP/1.1\r\nHost: t\r\n"


async def echo(request):
    return await request.body.read_all(1000)


def hold(request):
    return Deferred()


@pytest.fixture
def setup():
    return Setup(HttpLimits(connections=3), echo=echo, hold=hold)


def assert_good_request_is_answered(setup):
    caller = setup.call()
    caller.post("echo", b"good")
    assert caller.status == 200 and caller.body == b"good"


class TestLimits:
    @pytest.mark.parametrize(
        "data, status, error",
        [
            (HEAD + b"A: b\r\n" * 100 + b"\r\n", 431, "HeadersTooLargeError"),
            (HEAD + b"A: " + b"b" * 20_000, 431, "HeadersTooLargeError"),
            (HEAD + (b"A: " + b"b" * 999 + b"\r\n") * 17, 431, "HeadersTooLargeError"),
            (b"GET /" + b"u" * 20_000, 414, "UrlTooLongError"),
            (HEAD.replace(b"echo", b"u" * 2048) + b"\r\n", 414, "UrlTooLongError"),
        ],
    )
    def test_oversized_head_is_refused(self, setup, data, status, error):
        """Guards against unbounded memory for the head of a request."""
        other = setup.call()
        other.post("echo", b"ab", length=4)
        caller = setup.call()
        caller.send(data)
        assert caller.status == status and caller.error["outcome"] == "refused"
        assert caller.received.count(b"HTTP/1.1") == 1
        assert setup.metrics.snapshot()[f"http.error.{error}"] == 1
        other.send(b"cd")
        assert other.body == b"abcd"

    def test_connections_above_the_limit_are_refused(self, setup):
        """Guards against exhausting the file descriptors."""
        callers = [setup.call() for _ in range(3)]
        refused = setup.call()
        assert refused.status == 503 and b"Retry-After: 1" in refused.received
        surplus = [setup.call() for _ in range(64)][-1]
        assert surplus.transport.disconnected and not surplus.received
        for caller in callers:
            caller.post("echo", b"x")
            assert caller.status == 200

    @pytest.mark.parametrize(
        "data, seconds, status, counter",
        [
            (b"", 62, None, "http.closed.idle"),
            (HEAD, 12, 408, "http.error.SlowCallerError"),
        ],
    )
    def test_inactive_connection_ends(self, setup, data, seconds, status, counter):
        """Guards against connections that stay open without a complete request, even
        if bytes arrive occasionally.
        """
        caller = setup.call()
        if data:
            caller.send(data)
        for _ in range(seconds):
            if data:
                caller.send(b"x")
            setup.sweep_for(1)
        assert caller.status == status
        assert setup.metrics.snapshot()[counter] == 1
        setup.sweep_for(10)
        assert caller.transport.disconnecting

    def test_waiting_for_an_answer_is_not_idle(self, setup):
        """Guards against a limit that cuts off a request in progress."""
        caller = setup.call()
        caller.post("hold", b"x")
        setup.sweep_for(1000)
        assert not caller.transport.disconnecting

    def test_connections_share_the_buffer_budget(self):
        """Guards against many small bodies and answers that together exceed the memory
        of a process, and against reservations that are not released.
        """
        answers = []

        async def relay(request):
            answers.append(CallerAnswer(request))
            await answers[-1].finished

        setup = Setup(HttpLimits(buffered_bytes=1000), relay=relay)
        caller, refused = setup.call(), setup.call()
        caller.post("relay", b"x" * 600)
        refused.post("relay", b"x" * 600)
        assert refused.status == 503 and refused.error["outcome"] == "refused"
        answers[0].write_head(200, {}, None)
        answers[0].write(b"a" * 300)
        assert answers[0].retryable
        answers[0].write(b"b" * 300)
        assert not answers[0].retryable and caller.status == 200
        answers[0].commit()
        refused.leave()
        assert setup.site.budget.reserved_bytes == 0
        caller.post("relay", b"x" * 600, length=700)
        caller.leave()
        assert setup.site.budget.reserved_bytes == 0

    def test_reading_pauses_above_the_limit_of_pipelined_requests(self, setup):
        """Guards against unbounded memory for pipelined requests."""
        caller = setup.call()
        caller.post("hold", b"x")
        caller.send(b"y" * 20_000)
        assert caller.paused


class TestMalformedRequest:
    @pytest.mark.parametrize(
        "data",
        [
            b"nonsense\r\n",
            b"GET / HTTP/9.9\r\n",
            HEAD + b"no colon\r\n\r\n",
            HEAD + b"Host: second\r\n\r\n",
            b"POST /echo HTTP/1.1\r\n\r\n",
            HEAD + b"Content-Length: -1\r\n\r\n",
            HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
            HEAD + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            HEAD + b"Transfer-Encoding: gzip\r\n\r\n",
            HEAD.replace(b"1.1", b"1.0") + b"Transfer-Encoding: chunked\r\n\r\n",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            HEAD.replace(b"echo", b"%ff") + b"\r\n",
        ],
    )
    def test_is_refused(self, setup, data):
        """Guards against request smuggling and untyped answers."""
        caller = setup.call()
        caller.send(data)
        assert caller.status == 400 and caller.error["code"] == "malformed_message"
        assert_good_request_is_answered(setup)

    @pytest.mark.parametrize("path, status", [(b"none", 404), (b"echo/", 404)])
    def test_unknown_path_gets_a_typed_error(self, setup, path, status):
        """Guards against the HTML error pages of the routing library."""
        caller = setup.call()
        caller.send(HEAD.replace(b"echo", path) + b"\r\n")
        assert caller.status == status and caller.error["outcome"] == "refused"


PIECES = st.one_of(
    st.binary(max_size=40),
    st.sampled_from(
        [
            HEAD,
            HEAD.replace(b"echo", b"hold"),
            HEAD.replace(b"echo", b"\xa0%ff?%"),
            HEAD.replace(b"Host: t", b"Host: \xff..[:"),
            b"HEAD /echo HTTP/1.1\r\nHost: t\r\n",
            b"OPTIONS * HTTP/1.0\r\n",
            b"Content-Length: 3\r\n",
            b"Content-Length: 99999999999999999999\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Expect: 100-continue\r\n",
            b"Connection: close\r\n",
            b"Cookie: =;=\r\n",
            b" folded\r\n",
            b"\r\n",
            b"3\r\nabc\r\n",
            b"0\r\n\r\n",
        ]
    ),
)


class TestArbitraryBytes:
    @settings(derandomize=True, max_examples=400, deadline=None)
    @example(pieces=[HEAD.replace(b": t", b": \xff..[:"), b"\r\n"], leaves=False)
    @given(pieces=st.lists(PIECES, max_size=12), leaves=st.booleans())
    def test_gets_only_typed_errors(self, pieces, leaves):
        """Guards against input that raises an exception, gets an untyped answer or
        affects another connection.
        """
        setup = Setup(echo=echo, hold=hold)
        events = []
        globalLogPublisher.addObserver(events.append)
        try:
            caller = setup.call()
            for piece in pieces:
                caller.send(piece)
            setup.sweep_for(90)
            if leaves:
                caller.leave()
                assert setup.site.budget.reserved_bytes == 0
        finally:
            globalLogPublisher.removeObserver(events.append)
        assert not [e for e in events if e["log_level"] >= LogLevel.error]
        for answer in caller.received.split(b"HTTP/1.1 ")[1:]:
            head, _, body = answer.partition(b"\r\n\r\n")
            if not head.startswith((b"100", b"200")) and body:
                assert json.loads(body)["outcome"] == "refused"
        assert_good_request_is_answered(setup)
