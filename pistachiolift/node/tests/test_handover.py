"""To whom the ownership is handed over."""

from dataclasses import dataclass, field

import pytest
from twisted.internet.defer import succeed
from twisted.internet.task import Clock as ReactorClock

from pistachiolift.common import ManualClock, Metrics
from pistachiolift.node.handover import FAILED_CALLS, SETTLED_S, HandoverMonitor
from pistachiolift.node.peer_messages import Hello, Noted, PeerState, ProbeStore


@dataclass
class Peer:
    """A connected instance; it takes over when it is asked."""

    name: str
    peer_fitness: float = 0.25
    store_age_s: float | None = 0.5
    reaches_store: bool = True
    calls: list = field(default_factory=list)

    @property
    def peer(self):
        return Hello(self.name, "incarnation")

    @property
    def peer_state(self):
        return None if self.store_age_s is None else PeerState(self.store_age_s)

    def call(self, message, *, timeout_s):
        self.calls.append(type(message))
        done = self.reaches_store or not isinstance(message, ProbeStore)
        return succeed(Noted(done))


class Owner:
    """The owner's side of the ownership."""

    def __init__(self):
        self.fence = 7
        self.claimed_s = 0.0
        self.failed_calls = 0
        self.failing_since_s = 0.0
        self.lost = []

    def superseded(self, reason):
        self.fence = None
        self.lost.append(reason)


class Cell:
    def __init__(self, peers, fitness):
        self.reactor, self.clock = ReactorClock(), ManualClock()
        self.owner = Owner()
        self.owner.claimed_s = self.clock.monotonic_s()
        monitor = HandoverMonitor(
            self.reactor,
            self.owner,
            clock=self.clock,
            metrics=Metrics(),
            peers=lambda: peers,
            fitness=lambda: fitness,
        )
        monitor.start()

    def advance(self, interval_s):
        for _ in range(round(interval_s / 0.1)):
            self.clock.advance(0.1)
            self.reactor.advance(0.1)


def asked(peers):
    return [peer.name for peer in peers if peer.calls]


class TestFitness:
    """Pattern: unlike instances, of which few can own a large fleet."""

    def test_an_unfit_owner_hands_over_to_the_fittest_peer(self):
        peers = [Peer("small"), Peer("large", peer_fitness=1.0)]
        cell = Cell(peers, fitness=0.2)
        cell.advance(SETTLED_S - 0.2)
        assert asked(peers) == []
        cell.advance(0.5)
        assert asked(peers) == ["large"]
        assert cell.owner.lost == ["fitter_peer"]

    @pytest.mark.parametrize(
        "peer",
        [
            Peer("alike", peer_fitness=0.3),
            Peer("cut off", peer_fitness=1.0, store_age_s=9.0),
            Peer("unknown", peer_fitness=1.0, store_age_s=None),
            Peer("probed", peer_fitness=1.0, reaches_store=False),
        ],
    )
    def test_the_ownership_stays_where_no_peer_is_better(self, peer):
        cell = Cell([peer], fitness=0.2)
        cell.advance(10.0)
        assert cell.owner.lost == []

    def test_an_owner_that_lost_the_store_prefers_fit_peers_that_reach_it(self):
        peers = [
            Peer("cut off", peer_fitness=1.0, store_age_s=9.0),
            Peer("small", store_age_s=0.1),
            Peer("large", peer_fitness=1.0, store_age_s=1.0),
        ]
        cell = Cell(peers, fitness=1.0)
        cell.owner.failed_calls = FAILED_CALLS
        cell.owner.failing_since_s = cell.clock.monotonic_s() - 1.0
        cell.advance(0.2)
        assert asked(peers) == ["large"]
        assert cell.owner.lost == ["store_out_of_reach"]
