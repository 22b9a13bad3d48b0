"""Distributes calls to the placement adviser over the instances.

The adviser handles one call per instance at a time, so calls from several instances
run in parallel.
"""

import logging
from collections.abc import Callable

from ..common import (
    Clock,
    MalformedMessageError,
    Metrics,
    NoOwnerError,
    UpstreamUnreachableError,
    log_event,
)
from ..workflows import AskAdvice, GraphScheduler
from .interfaces import AdviceAnswer, AdviserClient
from .peer_link import PeerConnection
from .peer_messages import AdviceReply, Advise

__all__ = ["AdviceService"]

logger = logging.getLogger(__name__)

# Margin added to the adviser's processing time for the round trip.
CALL_SLACK_S = 0.7


class AdviceService:
    """Chooses the instance that calls the adviser, and makes the call.

    :param adviser: this instance's client of the adviser.
    :param peers: returns the open connections of other instances.
    """

    def __init__(
        self,
        adviser: AdviserClient,
        *,
        clock: Clock,
        metrics: Metrics,
        peers: Callable[[], list[PeerConnection]],
    ):
        self._adviser = adviser
        self._clock = clock
        self._metrics = metrics
        self._peers = peers
        self._busy_until_s: dict[PeerConnection | None, float] = {}

    def update_instance_count(self, scheduler: GraphScheduler) -> None:
        """Pass the number of instances that can call the adviser to the scheduler."""
        scheduler.advice.instances = 1 + len(self._peers())

    async def ask(self, decision: AskAdvice) -> AdviceAnswer | None:
        """Call the adviser through the instance that will be free first.

        :returns: the answer, or ``None`` if the call failed.
        """
        peer = self._choose(decision.cost_s)
        timeout_s = self._busy_until_s[peer] - self._clock.monotonic_s() + CALL_SLACK_S
        begun_s = self._clock.monotonic_s()
        message = Advise(decision.step, decision.worker_ids, timeout_s)
        if peer is None:
            advised = await self.answer(message)
        else:
            try:
                advised = await peer.call(message, timeout_s=timeout_s + CALL_SLACK_S)
            except NoOwnerError:
                advised = AdviceReply(None)
        took_s = self._clock.monotonic_s() - begun_s
        self._metrics.timing_ms("advice.call", took_s * 1000)
        log_event(
            logger,
            "advice_answered" if advised.tickets is not None else "advice_failed",
            job=decision.step.job_id,
            step=decision.step.step,
            asked=len(decision.worker_ids),
            approved=len(advised.tickets or ()),
            through=peer.peer.instance_id if peer and peer.peer else "self",
            took_ms=took_s * 1000,
        )
        if advised.tickets is None:
            self._metrics.count("advice.failed")
            return None
        return AdviceAnswer(advised.tickets, advised.valid_s)

    def _choose(self, cost_s: float) -> PeerConnection | None:
        now_s = self._clock.monotonic_s()
        callers = [None, *self._peers()]
        busy = {
            caller: max(now_s, self._busy_until_s.get(caller, 0.0))
            for caller in callers
        }
        chosen = min(callers, key=lambda caller: busy[caller])
        busy[chosen] += cost_s
        self._busy_until_s = busy
        return chosen

    async def answer(self, message: Advise) -> AdviceReply:
        """Call the adviser on behalf of the owner."""
        try:
            answer = await self._adviser.advise(
                message.step, message.worker_ids, timeout_s=message.timeout_s
            )
        except (UpstreamUnreachableError, MalformedMessageError) as error:
            self._metrics.count("adviser.failed")
            log_event(
                logger,
                "adviser_failed",
                job=message.step.job_id,
                reason=error.message,
            )
            return AdviceReply(None)
        return AdviceReply(answer.tickets_by_worker, answer.valid_s)
