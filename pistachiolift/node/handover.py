"""Hands the ownership over to an instance that can own better."""

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

# Calls that fail in a row, and the time that they span, before peers are asked.
FAILED_CALLS = 3
FAILING_S = 0.25

# In an outage of the whole store all peers say no; they are asked again after this.
ASK_INTERVAL_S = 1.0
ASKED_PEERS = 3
# A planned stop has half of the platform's grace time for it, 3 s of 6 s.
ASKED_BEFORE_STOP = 2

# A peer hears from the store at least every 2 s, when its watch returns.
FRESH_S = 2.5

# A handover costs about half a second without decisions.
SETTLED_S = 3.0
FITTER_RATIO = 2.0
PROBE_TIMEOUT_S = 0.5
TAKE_OVER_TIMEOUT_S = 1.0


class HandoverReason(Enum):
    """Why an owner hands over."""

    STORE_OUT_OF_REACH = "store_out_of_reach"
    FITTER_PEER = "fitter_peer"
    PLANNED_STOP = "planned_stop"


class HandoverMonitor:
    """Watches the owner's calls to the store, and how fit its peers are.

    An owner that alone has lost the store hands over to a peer that has not, and one
    that is much less fit than a peer to that peer. An owner that is about to stop hands
    over when it is told to.

    :param peers: returns the open connections of other instances.
    :param fitness: returns how well this instance can own the partition beside
        others that it owns, 0 to 1.
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
    ):
        self._ownership = ownership
        self._clock = clock
        self._metrics = metrics
        self._peers = peers
        self._fitness = fitness
        self._asked_s = float("-inf")
        self._checking = LoopingCall(self._check)
        self._checking.clock = reactor

    def start(self) -> None:
        """Begin to watch; called when this instance has become the owner."""
        if not self._checking.running:
            self._checking.start(CHECK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stop to watch."""
        if self._checking.running:
            self._checking.stop()

    def _check(self) -> None:
        now_s = self._clock.monotonic_s()
        if self._ownership.fence is None or now_s - self._asked_s < ASK_INTERVAL_S:
            return
        peers = self._ranked_peers()
        if self._lost_store(now_s):
            reason = HandoverReason.STORE_OUT_OF_REACH
        elif now_s - self._ownership.claimed_s > SETTLED_S:
            reason = HandoverReason.FITTER_PEER
            peers = [peer for peer in peers if self._is_much_fitter(peer)]
        else:
            return
        if not peers:
            return
        self._asked_s = now_s
        run_in_background(
            self._ask(peers[:ASKED_PEERS], reason),
            logger=logger,
            event="handover_failed",
        )

    def _lost_store(self, now_s: float) -> bool:
        ownership = self._ownership
        failing_s = now_s - ownership.failing_since_s
        return ownership.failed_calls >= FAILED_CALLS and failing_s >= FAILING_S

    def _ranked_peers(self, *, youngest_first: bool = False) -> list[PeerConnection]:
        """Return the peers, those first that reach the store and are the fittest.

        :param youngest_first: puts those that were started last before the others of
            the same fitness.
        """

        def rank(peer: PeerConnection) -> tuple[bool, float, float]:
            state = peer.peer_state
            if state is None:
                return True, -peer.peer_fitness, float("inf")
            cut_off = state.store_age_s > FRESH_S
            tie_s = state.age_s if youngest_first else state.store_age_s
            return cut_off, -peer.peer_fitness, tie_s

        return sorted((peer for peer in self._peers() if peer.peer), key=rank)

    def _is_much_fitter(self, peer: PeerConnection) -> bool:
        state = peer.peer_state
        if state is None or state.store_age_s > FRESH_S:
            return False
        return peer.peer_fitness >= FITTER_RATIO * self._fitness()

    async def hand_over(self) -> bool:
        """Let a peer claim before this instance stops.

        In a rolling replacement, the peer that started last has been replaced already.

        :returns: whether a peer owns now.
        """
        self.stop()
        peers = self._ranked_peers(youngest_first=True)[:ASKED_BEFORE_STOP]
        return await self._ask(peers, HandoverReason.PLANNED_STOP)

    async def _ask(self, peers: list[PeerConnection], reason: HandoverReason) -> bool:
        for peer in peers:
            self._metrics.count("handover.probes")
            if not await self._call(peer, ProbeStore(), PROBE_TIMEOUT_S):
                continue
            fence = self._ownership.fence
            if fence is None:
                return False
            answered = self._ownership.failed_calls < FAILED_CALLS
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
            # No orders are given from here on, so that the peer may claim.
            self._ownership.give_up(reason.value)
            if await self._call(peer, TakeOver(fence), TAKE_OVER_TIMEOUT_S):
                return True
            await self._ownership.free(lease_id)
            return False
        return False

    @staticmethod
    async def _call(peer: PeerConnection, message, timeout_s: float) -> bool:
        try:
            answer = await peer.call(message, timeout_s=timeout_s)
        except NoOwnerError:
            return False
        return isinstance(answer, Acknowledgement) and answer.done
