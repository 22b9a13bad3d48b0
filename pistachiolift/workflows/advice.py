"""Decides when to call the placement adviser, and for which steps."""

import math

from ..common import WorkerId
from .decisions import AskAdvice
from .model import AdvicePolicy, PoolId, StepKey
from .placement import with_required_label
from .scheduler_state import SchedulerState
from .state import StepEntry, WorkerEntry

__all__ = ["AdvicePlanner"]

# The adviser accepts no more workers in one call.
MAX_WORKERS_PER_CALL = 100

# Tickets are renewed this long before they expire, in addition to the call's duration.
RENEWAL_MARGIN_S = 0.1

# A call times out after CALL_TIMEOUT_BASE_S plus this multiple of its expected
# duration.
CALL_TIMEOUT_FACTOR = 3.0
CALL_TIMEOUT_BASE_S = 2.0

# Limit of concurrent calls for each instance that can call the adviser.
CALLS_PER_INSTANCE = 3

# A call whose per-worker time exceeds SPLIT_ABOVE_S is split over idle instances. The
# per-worker time of each part is this share of the fixed time of a call.
SPLIT_ABOVE_S = 0.3
SPLIT_SHARE = 0.5


class AdvicePlanner:
    """Renews the tickets of the most urgent steps before they expire.

    :param state: the owner's jobs and workers.
    """

    def __init__(self, state: SchedulerState):
        self._state = state
        # Calls in flight, with their deadline.
        self._deadline_by_call: dict[tuple[StepKey, tuple[WorkerId, ...]], float] = {}
        self.instances = 1

    def approved_workers(
        self, step: StepEntry, usable_by_id: dict[WorkerId, WorkerEntry]
    ) -> list[WorkerEntry]:
        """Return the usable workers that the adviser last approved for the step.

        Their tickets may have expired. All workers are approved if the queue needs no
        advice.
        """
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
        """Call the adviser for steps that need tickets, the most urgent first.

        :param waiting: steps with unplaced tasks, in order of urgency.
        """
        for step in waiting:
            if len(self._deadline_by_call) >= CALLS_PER_INSTANCE * self.instances:
                return
            if step.asked_s is not None:
                continue
            usable_by_id = usable_by_pool[step.job.queue.pool_id]
            if self._needs_tickets(step, usable_by_id, now_s):
                self._ask(step, usable_by_id, now_s)

    def _needs_tickets(
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
        # A ticket for a worker that cannot take a task now would expire unused.
        alone = step.waiting <= step.isolated
        return any(
            not entry.isolated
            and not (alone and entry.unproven)
            and entry.room_for(size)
            for worker_id, entry in usable_by_id.items()
            if worker_id in step.approved or worker_id not in step.asked_workers
        )

    def _ask(
        self, step: StepEntry, usable_by_id: dict[WorkerId, WorkerEntry], now_s: float
    ) -> None:
        candidates = [
            entry
            for worker_id, entry in usable_by_id.items()
            if step.approved is None
            or worker_id in step.approved
            or worker_id not in step.asked_workers
        ]
        candidates = with_required_label(step, candidates)
        near = step.step.data_rack
        candidates.sort(
            key=lambda e: (bool(near) and e.worker.rack != near, -e.free_cpu_milli)
        )
        ids = tuple(entry.worker_id for entry in candidates[:MAX_WORKERS_PER_CALL])
        if not ids:
            return
        policy = step.job.queue.advice
        step.asked_s = now_s
        step.asked_workers.update(ids)
        step.last_asked = ids
        for part in self._split(policy, ids):
            cost_s = policy.decide_s + policy.each_s * len(part)
            end_s = now_s + CALL_TIMEOUT_BASE_S + CALL_TIMEOUT_FACTOR * cost_s
            self._deadline_by_call[step.key, part] = end_s
            self._state.emit(AskAdvice(step=step.key, worker_ids=part, cost_s=cost_s))

    def _split(
        self, policy: AdvicePolicy, ids: tuple[WorkerId, ...]
    ) -> list[tuple[WorkerId, ...]]:
        """Return the workers to include in each call."""
        idle = self.instances - len(self._deadline_by_call)
        if policy.each_s * len(ids) <= SPLIT_ABOVE_S or idle < 2:
            return [ids]
        wanted = math.ceil(policy.each_s * len(ids) / (SPLIT_SHARE * policy.decide_s))
        size = math.ceil(len(ids) / min(wanted, idle))
        return [ids[first : first + size] for first in range(0, len(ids), size)]

    def handle_answer(
        self,
        key: StepKey,
        asked: tuple[WorkerId, ...],
        tickets_by_worker: dict[WorkerId, str] | None,
        *,
        valid_s: float,
        now_s: float,
    ) -> None:
        """Apply the answer to a call.

        :param asked: workers that the call included.
        :param tickets_by_worker: tickets of the approved workers among them, or
            ``None`` if the call failed.
        :param valid_s: lifetime of the tickets, in seconds.
        """
        self._deadline_by_call.pop((key, asked), None)
        step = self._state.step(key)
        if step is None:
            return
        if not any(other == key for other, _ in self._deadline_by_call):
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
        # Calls cannot include all approved workers if these are too many, so that the
        # tickets of the others may have expired.
        ends_s = [
            step.tickets_by_worker[worker_id][1]
            for worker_id in step.last_asked
            if worker_id in step.tickets_by_worker
        ]
        step.tickets_end_s = min(ends_s, default=end_s)

    def discard_approvals(self, worker_id: WorkerId) -> None:
        """Discard the approvals of a worker whose process was replaced."""
        for step in self._state.open_steps.values():
            step.asked_workers.discard(worker_id)
            step.tickets_by_worker.pop(worker_id, None)
            if step.approved is not None:
                step.approved -= {worker_id}

    def expire_calls(self, now_s: float) -> None:
        """Treat calls without an answer by their deadline as failed."""
        for (key, asked), end_s in list(self._deadline_by_call.items()):
            if now_s >= end_s:
                self.handle_answer(key, asked, None, valid_s=0.0, now_s=now_s)
