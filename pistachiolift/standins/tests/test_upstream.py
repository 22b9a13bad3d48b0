"""Tests of the time limits of attempts on the upstream's stand-in."""

import pytest
from twisted.internet.task import Clock as ReactorClock
from twisted.internet.testing import StringTransport

from pistachiolift.common import Clock
from pistachiolift.standins import UpstreamStandin

START_BEFORE_S = 1.0


class _ReactorTime(Clock):
    """A clock whose readings are those of the reactor."""

    def __init__(self, reactor: ReactorClock):
        self._reactor = reactor

    def monotonic_s(self) -> float:
        return self._reactor.seconds()

    def wall_s(self) -> float:
        return self._reactor.seconds()


class TestLargeBodies:
    """Bodies that take longer to arrive than the time to start the attempt."""

    @pytest.mark.parametrize(
        ("head_after_s", "body_after_s", "status"),
        [(0.5, 3.0, 200), (1.5, 0.0, 409), (0.5, 11.0, 409)],
    )
    def test_the_arrival_of_the_head_decides_whether_the_attempt_starts(
        self, head_after_s, body_after_s, status
    ):
        reactor = ReactorClock()
        standin = UpstreamStandin(reactor, clock=_ReactorTime(reactor))
        transport = StringTransport()
        connection = standin.site().buildProtocol(None)
        connection.makeConnection(transport)
        reactor.advance(head_after_s)
        connection.dataReceived(
            b"POST /v1/attempts/a-1 HTTP/1.1\r\nHost: upstream\r\n"
            b"Start-Before-Ms: %d\r\nRun-Limit-Ms: 10000\r\n"
            b"Content-Length: 4\r\n\r\n" % (START_BEFORE_S * 1000)
        )
        reactor.advance(body_after_s)
        connection.dataReceived(b"body")
        reactor.advance(1.0)
        assert transport.value().startswith(b"HTTP/1.1 %d" % status)
