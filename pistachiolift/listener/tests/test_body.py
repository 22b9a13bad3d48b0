"""Tests of the bodies of callers' requests."""

import hashlib

import pytest
from twisted.internet.defer import Deferred

from pistachiolift.common import BodyTooLargeError, Outcome
from pistachiolift.listener import (
    BodyConsumedError,
    BodySource,
    CallerDisconnectedError,
    HttpLimits,
    SlowCallerError,
)
from pistachiolift.listener.tests.support import Setup, Sink

LARGE = 1024 * 1024
READ = b"r" * 65536


@pytest.fixture
def requests():
    return []


@pytest.fixture
def setup(requests):
    def hold(request):
        requests.append(request)
        return Deferred()

    async def read(request):
        return await request.body.read_all(1000)

    async def refuse(request):
        request.body.set_limit(1000)

    return Setup(hold=hold, read=read, refuse=refuse)


class TestSmallBody:
    def test_is_replayable_and_identified_by_its_hash(self, setup, requests):
        """Guards against a retry that sends an empty or partial body."""
        caller = setup.call()
        caller.post("hold", b"ab", length=4)
        body = requests[0].body
        early = Sink(body.as_producer())
        caller.send(b"cd")
        late = Sink(body.as_producer())
        assert (early.data, late.data, late.producer.length) == (b"abcd", b"abcd", 4)
        assert early.done.called and body.replayable
        digest = Deferred.fromCoroutine(body.digest()).result
        assert digest == f"sha256:{hashlib.sha256(b'abcd').hexdigest()}"

    def test_next_request_follows_on_the_connection(self, setup):
        """Guards against losing a pipelined request behind a body."""
        caller = setup.call()
        head = b"POST /read HTTP/1.1\r\nHost: t\r\nContent-Length: 2\r\n\r\n"
        caller.send(head + b"1" + b"2" + head[:20])
        caller.send(head[20:] + b"34")
        assert caller.received.count(b"200 OK") == 2
        assert caller.body.endswith(b"34") and not caller.transport.disconnecting


class TestLargeBody:
    def test_handler_runs_before_the_body_and_transport_pauses(self, setup, requests):
        """Guards against buffering a body without a consumer."""
        caller = setup.call()
        caller.post("hold", length=LARGE)
        body = requests[0].body
        assert not body.replayable and not caller.paused
        caller.send(READ)
        assert caller.paused

    def test_backpressure_of_the_consumer_reaches_the_caller(self, setup, requests):
        """Guards against buffering a body for a slow upstream without a bound."""
        caller = setup.call()
        caller.post("hold", length=LARGE)
        sink = Sink(requests[0].body.as_producer())
        sink.producer.pauseProducing()
        caller.send(READ)
        assert caller.paused and not sink.data
        sink.producer.resumeProducing()
        assert sink.data == READ and not caller.paused

    def test_can_be_consumed_only_once(self, setup, requests):
        """Guards against a second attempt that sends only the rest of a body."""
        caller = setup.call()
        caller.post("hold", length=LARGE)
        body = requests[0].body
        sink = Sink(body.as_producer())
        with pytest.raises(BodyConsumedError):
            body.as_producer()
        for _ in range(LARGE // len(READ)):
            caller.send(READ)
        assert sink.data == b"r" * LARGE and sink.done.called and not sink.failures

    def test_digest_is_length_and_header(self, setup, requests):
        """Guards against reading a large body only to identify it."""
        caller = setup.call()
        caller.post("hold", b"", "Digest: sha-256=abc", length=LARGE)
        digest = Deferred.fromCoroutine(requests[0].body.digest()).result
        assert digest == f"length:{LARGE};digest:sha-256=abc"

    def test_discarded_body_is_neither_buffered_nor_read(self, setup, requests):
        """Guards against memory occupied by a discarded body."""
        caller = setup.call()
        caller.post("hold", b"x" * 10, length=LARGE)
        requests[0].body.discard()
        assert caller.paused
        with pytest.raises(BodyConsumedError):
            requests[0].body.as_producer()


class TestLimit:
    def test_announced_length_above_the_limit_is_refused_at_once(self, setup):
        """Guards against receiving a body only to refuse it, and against a connection
        reset that destroys the answer.
        """
        caller = setup.call()
        caller.post("refuse", length=LARGE)
        assert caller.status == 413 and b"Connection: close" in caller.received
        assert caller.error["outcome"] == "refused"
        assert "at most 1000 are allowed" in caller.error["message"]
        caller.send(READ)
        assert not caller.transport.disconnecting and not caller.paused
        setup.sweep_for(5)
        assert caller.transport.disconnecting

    @pytest.mark.parametrize("size", [999, 1001])
    def test_chunked_body_is_refused_when_it_exceeds_the_limit(self, setup, size):
        """Guards against reading a body of unknown length without a limit."""
        caller = setup.call()
        caller.post("read", b"%x\r\n" % size + b"x" * size, chunked=True)
        if size > 1000:
            assert caller.status == 413
            return
        assert caller.status is None
        caller.send(b"\r\n0\r\n\r\n")
        assert caller.body == b"x" * size

    def test_chunked_body_becomes_large(self):
        """Guards against buffering a body of unknown length up to the limit."""
        holds = []
        body = BodySource(None, HttpLimits(), on_hold_change=holds.append)
        for _ in range(5):
            body.receive(READ)
        assert holds == [True] and not body.replayable
        sink = Sink(body.as_producer())
        body.set_limit(6 * len(READ))
        body.receive(READ)
        body.receive(b"x")
        assert len(sink.data) == 6 * len(READ)
        assert isinstance(sink.failures[0], BodyTooLargeError)


class TestExpectContinue:
    @pytest.mark.parametrize("kind, interim", [("read", True), ("refuse", False)])
    def test_is_sent_when_the_body_is_requested(self, setup, kind, interim):
        """Guards against callers that wait indefinitely or send a refused body."""
        caller = setup.call()
        caller.post(kind, b"", "Expect: 100-continue", length=1001 - interim)
        assert caller.received.startswith(b"HTTP/1.1 100 ") is interim
        if not interim:
            assert caller.status == 413


class TestDisconnect:
    @pytest.mark.parametrize("sent", [3, 10])
    def test_is_reported(self, setup, requests, sent):
        """Guards against work for a caller that has disconnected, either during its
        body (after 3 of 10 bytes) or while it waits for the answer.
        """
        caller = setup.call()
        caller.post("hold", b"x" * sent, length=10)
        body, left = requests[0].body, []
        sink = Sink(body.as_producer())
        body.on_disconnect(lambda: left.append(True))
        caller.leave()
        assert left == [True]
        assert len(sink.data) == (10 if sent == 10 else 0)
        assert [type(error) for error in sink.failures] == (
            [] if sent == 10 else [CallerDisconnectedError]
        )

    def test_outcome_does_not_state_that_the_request_has_not_run(self):
        """Guards against the outcome "not run" when part of the body was passed on."""
        assert CallerDisconnectedError("left").outcome is Outcome.CANCELLED_MAY_HAVE_RUN


class TestSlowBody:
    def test_fails_below_the_minimum_rate(self, setup, requests):
        """Guards against callers that occupy a slot by sending few bytes."""
        caller = setup.call()
        caller.post("hold", length=LARGE)
        sink = Sink(requests[0].body.as_producer())
        for _ in range(30):
            caller.send(b"x")
            setup.sweep_for(1)
        assert isinstance(sink.failures[0], SlowCallerError)

    def test_time_without_a_consumer_does_not_count(self, setup, requests):
        """Guards against failing a body as slow while its request is queued."""
        caller = setup.call()
        caller.post("hold", READ, length=LARGE)
        setup.sweep_for(100)
        assert caller.paused and requests[0].body.failure is None
