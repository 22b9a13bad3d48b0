"""Decides when to ask the placement adviser, and for which steps."""

import math

from ..common import WorkerId
from .decisions import AskAdvice
from .model import AdvicePolicy, PoolId, StepKey
from .placement import with_required_label
from .scheduler_state import SchedulerState
from .state import StepEntry, WorkerEntry

__all__ = ["AdvicePlanner"]

# The adviser's limit for one call.
MAX_WORKERS_PER_CALL = 100

# Tickets are renewed this long before they would expire, beyond the call's own time.
RENEWAL_MARGIN_S = 0.1

# An answer that has not come after this multiple of the call's time is given up.
PATIENCE_FACTOR = 3.0
PATIENCE_BASE_S = 2.0

# Calls whose answers are outstanding, for each instance that can ask.
CALLS_PER_INSTANCE = 3

# A question whose workers take longer than this is split over idle instances, into
# parts of which the workers take half as long as the fixed part of a call.
SPLIT_ABOVE_S = 0.3
SPLIT_SHARE = 0.5


class AdvicePlanner:
    """Keeps the tickets of the most urgent steps fresh.

    :param book: the owner's tables.
    """

    def __init__(self, book: SchedulerState):
        self._book = book
        # Calls without an answer, and when they are given up.
        self._end_by_call: dict[tuple[StepKey, tuple[WorkerId, ...]], float] = {}
        self.instances = 1

    def approved(
        self, step: StepEntry, usable_by_id: dict[WorkerId, WorkerEntry]
    ) -> list[WorkerEntry]:
        """Return the workers that may run the step once it has fresh tickets."""
        if step.job.queue.advice is None:
            return list(usable_by_id.values())
        allowed = step.approved or frozenset()
        return [usable_by_id[w] for w in sorted(allowed) if w in usable_by_id]

    def plan(
        self,
        waiting: list[StepEntry],
        usable_by_pool: dict[PoolId, dict[WorkerId, WorkerEntry]],
        now_s: float,
    ) -> None:
        """Ask for the steps that need it, the most urgent first.

        :param waiting: steps with tasks that could not be placed, in order.
        """
        for step in waiting:
            if len(self._end_by_call) >= CALLS_PER_INSTANCE * self.instances:
                return
            if step.asked_s is not None:
                continue
            usable_by_id = usable_by_pool[step.job.queue.pool_id]
            if self._stale(step, usable_by_id, now_s):
                self._ask(step, usable_by_id, now_s)

    def _stale(
        self, step: StepEntry, usable_by_id: dict[WorkerId, WorkerEntry], now_s: float
    ) -> bool:
        if step.approved is None:
            return True
        policy = step.job.queue.advice
        cost_s = policy.decide_s + policy.each_s * len(step.approved)
        if now_s < step.tickets_end_s - cost_s - RENEWAL_MARGIN_S:
            return False
        size = step.step.reserved
        if step.step.gang:
            return True
        # Without room, a renewed ticket would expire unused.
        return any(
            entry.room_for(size)
            for worker_id, entry in usable_by_id.items()
            if worker_id in step.approved or worker_id not in step.asked_workers
        )

    def _ask(
        self, step: StepEntry, usable_by_id: dict[WorkerId, WorkerEntry], now_s: float
    ) -> None:
        named = [
            entry
            for worker_id, entry in usable_by_id.items()
            if step.approved is None
            or worker_id in step.approved
            or worker_id not in step.asked_workers
        ]
        named = with_required_label(step, named)
        near = step.step.data_rack
        named.sort(
            key=lambda e: (bool(near) and e.worker.rack != near, -e.free_cpu_milli)
        )
        ids = tuple(entry.worker_id for entry in named[:MAX_WORKERS_PER_CALL])
        if not ids:
            return
        policy = step.job.queue.advice
        step.asked_s = now_s
        step.asked_workers.update(ids)
        for part in self._split(policy, ids):
            cost_s = policy.decide_s + policy.each_s * len(part)
            end_s = now_s + PATIENCE_BASE_S + PATIENCE_FACTOR * cost_s
            self._end_by_call[step.key, part] = end_s
            self._book.emit(AskAdvice(step=step.key, worker_ids=part, cost_s=cost_s))

    def _split(
        self, policy: AdvicePolicy, ids: tuple[WorkerId, ...]
    ) -> list[tuple[WorkerId, ...]]:
        """Return the workers to name in each call."""
        idle = self.instances - len(self._end_by_call)
        if policy.each_s * len(ids) <= SPLIT_ABOVE_S or idle < 2:
            return [ids]
        wanted = math.ceil(policy.each_s * len(ids) / (SPLIT_SHARE * policy.decide_s))
        size = math.ceil(len(ids) / min(wanted, idle))
        return [ids[first : first + size] for first in range(0, len(ids), size)]

    def answered(
        self,
        key: StepKey,
        asked: tuple[WorkerId, ...],
        tickets_by_worker: dict[WorkerId, str] | None,
        *,
        valid_s: float,
        now_s: float,
    ) -> None:
        """Take the adviser's answer.

        :param tickets_by_worker: the approved workers among those asked, or ``None``
            if the call failed.
        """
        self._end_by_call.pop((key, asked), None)
        step = self._book.step(key)
        if step is None:
            return
        if not any(other == key for other, _ in self._end_by_call):
            step.asked_s = None
        if tickets_by_worker is None:
            step.asked_workers.difference_update(asked)
            return
        end_s = now_s + valid_s
        others = (step.approved or frozenset()).difference(asked)
        step.approved = others | frozenset(tickets_by_worker)
        for worker_id in asked:
            step.tickets_by_worker.pop(worker_id, None)
        for worker_id, ticket in tickets_by_worker.items():
            step.tickets_by_worker[worker_id] = (ticket, end_s)
        ends_s = [
            step.tickets_by_worker[worker_id][1]
            for worker_id in step.approved
            if worker_id in step.tickets_by_worker
        ]
        step.tickets_end_s = min(ends_s, default=end_s)

    def worker_replaced(self, worker_id: WorkerId) -> None:
        """Forget what was approved for an earlier life of a worker."""
        for step in self._book.open_steps.values():
            step.asked_workers.discard(worker_id)
            step.tickets_by_worker.pop(worker_id, None)
            if step.approved is not None:
                step.approved -= {worker_id}

    def expire(self, now_s: float) -> None:
        """Give up calls that have not been answered."""
        for (key, asked), end_s in list(self._end_by_call.items()):
            if now_s >= end_s:
                self.answered(key, asked, None, valid_s=0.0, now_s=now_s)
