"""Choice of the peer that takes over, and the cases without a handover."""

from dataclasses import dataclass, field

import pytest
from twisted.internet.defer import ensureDeferred, succeed
from twisted.internet.task import Clock as ReactorClock

from pistachiolift.common import ManualClock, Metrics
from pistachiolift.node.handover import (
    MIN_FAILED_CALLS,
    MIN_OWNERSHIP_S,
    HandoverMonitor,
)
from pistachiolift.node.peer_messages import (
    Acknowledgement,
    Hello,
    PeerState,
    ProbeStore,
    TakeOver,
)


@dataclass
class Peer:
    """A connected instance that answers probes and takes over when asked."""

    name: str
    peer_fitness: float = 0.25
    store_age_s: float | None = 0.5
    age_s: float = 100.0
    reaches_store: bool = True
    takes_over: bool = True
    calls: list = field(default_factory=list)
    last_message: object = None

    @property
    def peer(self):
        return Hello(self.name, "incarnation")

    @property
    def peer_state(self):
        if self.store_age_s is None:
            return None
        return PeerState(self.store_age_s, age_s=self.age_s)

    def call(self, message, *, timeout_s):
        self.calls.append(type(message))
        self.last_message = message
        probe = isinstance(message, ProbeStore)
        done = self.reaches_store if probe else self.takes_over
        return succeed(Acknowledgement(done))


class Owner:
    """The ownership as the handover monitor sees it."""

    def __init__(self):
        self.fence = 7
        self.claimed_s = 0.0
        self.failed_calls = 0
        self.failing_since_s = 0.0
        self.lease_id = 5
        self.earlier_authority_s = 3.0
        self.lost = []
        self.revoked = []

    def give_up(self, reason):
        self.fence = self.lease_id = None
        self.lost.append(reason)

    async def revoke_owner_lease(self, lease_id):
        self.revoked.append(lease_id)


class Cell:
    def __init__(self, peers, fitness):
        self.reactor, self.clock = ReactorClock(), ManualClock()
        self.owner = Owner()
        self.owner.claimed_s = self.clock.monotonic_s()
        self.recovering = False
        self.monitor = HandoverMonitor(
            self.reactor,
            self.owner,
            clock=self.clock,
            metrics=Metrics(),
            peers=lambda: peers,
            fitness=lambda: fitness,
            recovering=lambda: self.recovering,
        )
        self.monitor.start()

    def hand_over(self):
        return ensureDeferred(self.monitor.hand_over()).result

    def advance(self, interval_s):
        for _ in range(round(interval_s / 0.1)):
            self.clock.advance(0.1)
            self.reactor.advance(0.1)


def asked(peers):
    return [peer.name for peer in peers if peer.calls]


class TestFitness:
    """Instances of different fitness, only some of which can own a large fleet."""

    def test_an_unfit_owner_hands_over_to_the_fittest_peer(self):
        peers = [Peer("small"), Peer("large", peer_fitness=1.0)]
        cell = Cell(peers, fitness=0.2)
        cell.advance(MIN_OWNERSHIP_S - 0.2)
        assert asked(peers) == []
        cell.advance(0.5)
        assert asked(peers) == ["large"]
        assert cell.owner.lost == ["fitter_peer"]

    def test_an_unfit_owner_hands_over_before_it_has_recovered(self):
        """Guards against a ledger that is read over a slow link after an outage."""
        peers = [Peer("small"), Peer("large", peer_fitness=1.0)]
        cell = Cell(peers, fitness=0.2)
        cell.recovering = True
        cell.advance(0.2)
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
    def test_the_ownership_is_kept_if_no_peer_is_better(self, peer):
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
        cell.owner.failed_calls = MIN_FAILED_CALLS
        cell.owner.failing_since_s = cell.clock.monotonic_s() - 1.0
        cell.advance(0.2)
        assert asked(peers) == ["large"]
        assert cell.owner.lost == ["store_out_of_reach"]


class TestPlannedStop:
    """A rolling replacement of the instances."""

    def test_the_peer_that_was_started_last_takes_over(self):
        peers = [
            Peer("to be replaced"),
            Peer("replaced", age_s=4.0),
            Peer("replaced later", age_s=2.0),
            Peer("small", peer_fitness=0.1, age_s=1.0),
            Peer("cut off", store_age_s=9.0, age_s=1.0),
            Peer("unknown", store_age_s=None),
        ]
        cell = Cell(peers, fitness=0.25)
        assert cell.hand_over()
        assert asked(peers) == ["replaced later"]
        assert cell.owner.lost == ["planned_stop"]
        assert cell.owner.revoked == []

    def test_a_peer_that_is_stopping_as_well_is_skipped(self):
        """It declines the probe, and the owner goes on scheduling meanwhile."""
        peers = [Peer("stopping", age_s=2.0, reaches_store=False), Peer("other")]
        cell = Cell(peers, fitness=0.25)
        assert cell.hand_over()
        assert peers[1].calls == [ProbeStore, TakeOver]
        assert peers[1].last_message == TakeOver(7, 3.0)

    def test_the_lease_is_revoked_if_the_peer_does_not_claim(self):
        cell = Cell([Peer("other", takes_over=False)], fitness=0.25)
        assert not cell.hand_over()
        assert cell.owner.revoked == [5]

    def test_an_owner_without_peers_keeps_the_ownership(self):
        cell = Cell([], fitness=0.25)
        assert not cell.hand_over()
        assert cell.owner.lost == []
