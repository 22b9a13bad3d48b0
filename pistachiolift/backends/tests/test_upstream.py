"""Tests of attempts at upstreams that do not answer."""

from twisted.internet.defer import ensureDeferred
from twisted.internet.testing import MemoryReactorClock

from pistachiolift.backends import AttemptOrder, HttpUpstreamClient
from pistachiolift.common import Outcome, UpstreamUnreachableError

RUN_LIMIT_S = 0.1


def make_order():
    return AttemptOrder(
        attempt_id="p.1.1",
        request_id="c/1",
        kind="k",
        customer="c",
        epoch=1,
        address="192.0.2.1:80",
        start_before_ms=10**15,
        run_limit_ms=round(1000 * RUN_LIMIT_S),
    )


class TestSilentUpstreams:
    def test_a_connection_that_does_not_open_fails_the_attempt(self):
        """Guards against an internal error when the agent cancels the connection."""
        reactor = MemoryReactorClock()
        client = HttpUpstreamClient(reactor)
        client._agent._endpointFactory._connectTimeout = 10 * RUN_LIMIT_S + 10
        failures = []
        ensureDeferred(client.start(make_order(), b"", None)).addErrback(
            failures.append
        )
        for _ in range(30):
            reactor.advance(0.1)
        [failure] = failures
        assert failure.check(UpstreamUnreachableError)
        assert failure.value.outcome is Outcome.UNKNOWN
