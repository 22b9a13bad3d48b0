"""Weighted deficit round robin that computes rounds instead of iterating them."""

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

from sortedcontainers import SortedList

__all__ = ["DeficitRoundRobin"]

FlowKey = TypeVar("FlowKey", bound=Hashable)

# Number of idle flows from which repaid deficits are removed in bulk.
IDLE_FLOWS_KEPT = 1024


class DeficitRoundRobin(Generic[FlowKey]):
    """The order in which flows with queued work are served.

    In deficit round robin, a flow receives a quantum of credit per round and pays the
    cost of its work. A flow with a small weight may have to wait for thousands of
    rounds. Instead of iterating them, this class computes the round in which a flow
    has repaid its deficit, ``cost / weight`` rounds later, and sorts the flows by it.
    An operation costs O(log n) in the number of flows.

    An idle flow collects no credit: when it becomes active, it joins the current round.
    It keeps its deficit, because a flow that queues one piece of work at a time would
    otherwise be served first every time.
    """

    def __init__(self) -> None:
        self._order: SortedList = SortedList()
        self._entry_by_flow: dict[FlowKey, tuple[float, int, FlowKey]] = {}
        self._round_by_idle_flow: dict[FlowKey, float] = {}
        self._idle_limit = IDLE_FLOWS_KEPT
        self._current_round = 0.0
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._order)

    def __iter__(self) -> Iterator[FlowKey]:
        """Iterate over the flows in the order of service."""
        for _, _, flow in self._order:
            yield flow

    def __contains__(self, flow: FlowKey) -> bool:
        return flow in self._entry_by_flow

    def activate(self, flow: FlowKey) -> None:
        """Add a flow that has work; no effect when it is active already."""
        if flow in self._entry_by_flow:
            return
        due_round = self._round_by_idle_flow.pop(flow, self._current_round)
        self._insert(flow, max(due_round, self._current_round))

    def deactivate(self, flow: FlowKey) -> None:
        """Remove a flow that has no work left; its deficit is kept."""
        entry = self._entry_by_flow.pop(flow, None)
        if entry is None:
            return
        self._order.remove(entry)
        if entry[0] > self._current_round:
            self._round_by_idle_flow[flow] = entry[0]
            if len(self._round_by_idle_flow) > self._idle_limit:
                self._forget_repaid()

    def charge(self, flow: FlowKey, cost: float, weight: float) -> None:
        """Charge an active flow for work that has been removed to run.

        :param cost: expected slot time in seconds, more than 0.
        :param weight: more than 0.
        """
        entry = self._entry_by_flow[flow]
        self._order.remove(entry)
        # A flow that was skipped because of its quota is behind the current round; it
        # collects no credit for the rounds that it missed.
        self._current_round = max(entry[0], self._current_round)
        self._insert(flow, self._current_round + cost / weight)

    def _insert(self, flow: FlowKey, due_round: float) -> None:
        self._sequence += 1
        entry = (due_round, self._sequence, flow)
        self._entry_by_flow[flow] = entry
        self._order.add(entry)

    def _forget_repaid(self) -> None:
        self._round_by_idle_flow = {
            flow: due_round
            for flow, due_round in self._round_by_idle_flow.items()
            if due_round > self._current_round
        }
        # Doubling keeps the amortised cost constant when nothing can be removed.
        self._idle_limit = max(IDLE_FLOWS_KEPT, 2 * len(self._round_by_idle_flow))
