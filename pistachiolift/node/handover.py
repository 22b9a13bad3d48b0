"""Hands the ownership over when the owner alone has lost the store."""

import logging
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from ..common import Clock, Metrics, NoOwnerError, log_event
from .background import run_in_background
from .ownership import Ownership
from .peer_link import PeerConnection
from .peer_messages import Noted, ProbeStore, TakeOver

__all__ = ["HandoverMonitor"]

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.1

# Calls that fail in a row, and the time that they span, before peers are asked.
FAILED_CALLS = 4
FAILING_S = 0.25

# In an outage of the whole store all peers say no; they are asked again after this.
ASK_INTERVAL_S = 1.0
ASKED_PEERS = 3
PROBE_TIMEOUT_S = 0.5
TAKE_OVER_TIMEOUT_S = 1.0


class HandoverMonitor:
    """Watches the owner's calls to the store.

    :param peers: returns the open connections of other instances.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        ownership: Ownership,
        *,
        clock: Clock,
        metrics: Metrics,
        peers: Callable[[], list[PeerConnection]],
    ):
        self._ownership = ownership
        self._clock = clock
        self._metrics = metrics
        self._peers = peers
        self._asked_s = float("-inf")
        self._checking = LoopingCall(self._check)
        self._checking.clock = reactor

    def start(self) -> None:
        """Begin to watch."""
        self._checking.start(CHECK_INTERVAL_S, now=False)

    def _check(self) -> None:
        ownership = self._ownership
        now_s = self._clock.monotonic_s()
        if (
            ownership.fence is None
            or ownership.failed_calls < FAILED_CALLS
            or now_s - ownership.failing_since_s < FAILING_S
            or now_s - self._asked_s < ASK_INTERVAL_S
        ):
            return
        self._asked_s = now_s
        run_in_background(self._ask(), logger=logger, event="handover_failed")

    async def _ask(self) -> None:
        peers = sorted(
            self._peers(),
            key=lambda peer: (
                999.0 if peer.peer_store_age_s is None else peer.peer_store_age_s
            ),
        )
        for peer in peers[:ASKED_PEERS]:
            self._metrics.count("handover.probes")
            if not await self._call(peer, ProbeStore(), PROBE_TIMEOUT_S):
                continue
            fence = self._ownership.fence
            if fence is None or self._ownership.failed_calls < FAILED_CALLS:
                return
            log_event(
                logger,
                "ownership_handed_over",
                to=peer.peer.instance_id,
                fence=fence,
                failed_calls=self._ownership.failed_calls,
            )
            request = self._call(peer, TakeOver(fence), TAKE_OVER_TIMEOUT_S)
            self._ownership.superseded("store_out_of_reach")
            await request
            return

    @staticmethod
    async def _call(peer: PeerConnection, message, timeout_s: float) -> bool:
        try:
            answer = await peer.call(message, timeout_s=timeout_s)
        except NoOwnerError:
            return False
        return isinstance(answer, Noted) and answer.done
