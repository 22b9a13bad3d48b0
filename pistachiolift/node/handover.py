"""Hands the ownership of a partition over to an instance better able to own it."""

import logging
from collections.abc import Callable
from enum import Enum

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from ..common import Clock, Metrics, NoOwnerError, log_event
from .background import run_in_background
from .ownership import Ownership
from .peer_link import PeerConnection
from .peer_messages import Acknowledgement, ProbeStore, TakeOver

__all__ = ["HandoverMonitor"]

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.1

# Consecutive failed store calls, and the time they must span, before a handover.
MIN_FAILED_CALLS = 3
MIN_FAILING_S = 0.25

# Interval between handover attempts. In an outage of the whole store every peer
# declines.
ATTEMPT_INTERVAL_S = 1.0
MAX_PEERS_ASKED = 3
# A planned stop may spend half of the platform's grace time on this, 3 s of 6 s.
MAX_PEERS_ASKED_BEFORE_STOP = 2

# A healthy peer has contact with the store at least every 2 s, when its watch returns.
MAX_CONTACT_AGE_S = 2.5

# Shortest ownership before a handover to a fitter peer: each handover costs about half
# a second without decisions. An owner that is still recovering makes none.
MIN_OWNERSHIP_S = 3.0
FITTER_RATIO = 2.0
PROBE_TIMEOUT_S = 0.5
TAKE_OVER_TIMEOUT_S = 1.0


class HandoverReason(Enum):
    """Reason of a handover."""

    STORE_OUT_OF_REACH = "store_out_of_reach"
    FITTER_PEER = "fitter_peer"
    PLANNED_STOP = "planned_stop"


class HandoverMonitor:
    """Monitors the owner's store calls and the fitness of its peers.

    An owner that cannot reach the store hands over to a peer that can. An owner that is
    much less fit than a peer hands over to that peer. :meth:`hand_over` is called
    before a planned stop.

    :param peers: returns the open connections of other instances.
    :param fitness: returns how well this instance can own the partition in addition to
        the others that it owns, 0 to 1.
    :param recovering: returns whether this instance is still reading the ledger.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        ownership: Ownership,
        *,
        clock: Clock,
        metrics: Metrics,
        peers: Callable[[], list[PeerConnection]],
        fitness: Callable[[], float],
        recovering: Callable[[], bool],
    ):
        self._ownership = ownership
        self._clock = clock
        self._metrics = metrics
        self._peers = peers
        self._fitness = fitness
        self._recovering = recovering
        self._last_attempt_s = float("-inf")
        self._checking = LoopingCall(self._check)
        self._checking.clock = reactor

    def start(self) -> None:
        """Start monitoring; called when this instance has become the owner."""
        if not self._checking.running:
            self._checking.start(CHECK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stop monitoring."""
        if self._checking.running:
            self._checking.stop()

    def _check(self) -> None:
        now_s = self._clock.monotonic_s()
        if (
            self._ownership.fence is None
            or now_s - self._last_attempt_s < ATTEMPT_INTERVAL_S
        ):
            return
        peers = self._ranked_peers()
        if self._lost_store(now_s):
            reason = HandoverReason.STORE_OUT_OF_REACH
        elif self._recovering() or now_s - self._ownership.claimed_s > MIN_OWNERSHIP_S:
            reason = HandoverReason.FITTER_PEER
            peers = [peer for peer in peers if self._is_much_fitter(peer)]
        else:
            return
        if not peers:
            return
        self._last_attempt_s = now_s
        run_in_background(
            self._hand_over_to(peers[:MAX_PEERS_ASKED], reason),
            logger=logger,
            event="handover_failed",
        )

    def _lost_store(self, now_s: float) -> bool:
        ownership = self._ownership
        failing_s = now_s - ownership.failing_since_s
        return ownership.failed_calls >= MIN_FAILED_CALLS and failing_s >= MIN_FAILING_S

    def _ranked_peers(self, *, youngest_first: bool = False) -> list[PeerConnection]:
        """Return the peers, those that reach the store first, the fittest foremost.

        :param youngest_first: rank recently started peers first among those of equal
            fitness, instead of those with the most recent contact to the store.
        """

        def rank(peer: PeerConnection) -> tuple[bool, float, float]:
            state = peer.peer_state
            if state is None:
                return True, -peer.peer_fitness, float("inf")
            cut_off = state.store_age_s > MAX_CONTACT_AGE_S
            tie_s = state.age_s if youngest_first else state.store_age_s
            return cut_off, -peer.peer_fitness, tie_s

        return sorted((peer for peer in self._peers() if peer.peer), key=rank)

    def _is_much_fitter(self, peer: PeerConnection) -> bool:
        state = peer.peer_state
        if state is None or state.store_age_s > MAX_CONTACT_AGE_S:
            return False
        return peer.peer_fitness >= FITTER_RATIO * self._fitness()

    async def hand_over(self) -> bool:
        """Hand over to a peer before this instance stops.

        Prefers the peer that was started last: in a rolling replacement it has been
        replaced already and will not stop next.

        :returns: whether a peer has become the owner.
        """
        self.stop()
        peers = self._ranked_peers(youngest_first=True)[:MAX_PEERS_ASKED_BEFORE_STOP]
        return await self._hand_over_to(peers, HandoverReason.PLANNED_STOP)

    async def _hand_over_to(
        self, peers: list[PeerConnection], reason: HandoverReason
    ) -> bool:
        for peer in peers:
            self._metrics.count("handover.probes")
            if not await self._call(peer, ProbeStore(), PROBE_TIMEOUT_S):
                continue
            fence = self._ownership.fence
            if fence is None:
                return False
            answered = self._ownership.failed_calls < MIN_FAILED_CALLS
            if reason is HandoverReason.STORE_OUT_OF_REACH and answered:
                return False
            log_event(
                logger,
                "ownership_handed_over",
                to=peer.peer.instance_id,
                fence=fence,
                reason=reason.value,
                failed_calls=self._ownership.failed_calls,
                fitness=self._fitness(),
                peer_fitness=peer.peer_fitness,
            )
            lease_id = self._ownership.lease_id
            # No commands are sent from here on, so that the peer may claim.
            self._ownership.give_up(reason.value)
            message = TakeOver(fence, self._ownership.earlier_authority_s)
            if await self._call(peer, message, TAKE_OVER_TIMEOUT_S):
                return True
            await self._ownership.revoke_owner_lease(lease_id)
            return False
        return False

    @staticmethod
    async def _call(peer: PeerConnection, message, timeout_s: float) -> bool:
        try:
            answer = await peer.call(message, timeout_s=timeout_s)
        except NoOwnerError:
            return False
        return isinstance(answer, Acknowledgement) and answer.done
