"""Decides when to ask the placement adviser, and for which steps."""

from ..common import WorkerId
from .book import Book
from .decisions import AskAdvice
from .model import PoolId, StepKey
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


class AdvicePlanner:
    """Keeps the tickets of the most urgent steps fresh.

    :param book: the owner's tables.
    """

    def __init__(self, book: Book):
        self._book = book
        self._asked: dict[StepKey, float] = {}
        self.instances = 1

    def approved(
        self, step: StepEntry, workers: list[WorkerEntry]
    ) -> list[WorkerEntry]:
        """Return the workers that may run the step once it has fresh tickets."""
        if step.job.queue.advice is None:
            return workers
        allowed = step.approved or frozenset()
        return [entry for entry in workers if entry.worker_id in allowed]

    def plan(
        self,
        waiting: list[StepEntry],
        workers_by_pool: dict[PoolId, list[WorkerEntry]],
        now_s: float,
    ) -> None:
        """Ask for the steps that need it, the most urgent first.

        :param waiting: steps with tasks that could not be placed, in order.
        """
        for step in waiting:
            if len(self._asked) >= CALLS_PER_INSTANCE * self.instances:
                return
            workers = workers_by_pool[step.job.queue.pool_id]
            if step.asked_s is None and self._stale(step, workers, now_s):
                self._ask(step, workers, now_s)

    def _stale(self, step: StepEntry, workers: list[WorkerEntry], now_s: float) -> bool:
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
            for entry in workers
            if entry.worker_id in step.approved
            or entry.worker_id not in step.asked_workers
        )

    def _ask(self, step: StepEntry, workers: list[WorkerEntry], now_s: float) -> None:
        named = [
            entry
            for entry in workers
            if step.approved is None
            or entry.worker_id in step.approved
            or entry.worker_id not in step.asked_workers
        ]
        label = step.step.required_label
        if label:
            named = [entry for entry in named if label in entry.worker.labels]
        near = step.step.data_rack
        named.sort(
            key=lambda e: (bool(near) and e.worker.rack != near, -e.free_cpu_milli)
        )
        ids = tuple(entry.worker_id for entry in named[:MAX_WORKERS_PER_CALL])
        if not ids:
            return
        policy = step.job.queue.advice
        cost_s = policy.decide_s + policy.each_s * len(ids)
        step.asked_s = now_s
        step.asked_workers.update(ids)
        self._asked[step.key] = now_s + PATIENCE_BASE_S + PATIENCE_FACTOR * cost_s
        self._book.emit(AskAdvice(step=step.key, worker_ids=ids, cost_s=cost_s))

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
        self._asked.pop(key, None)
        step = self._book.step(key)
        if step is None:
            return
        step.asked_s = None
        if tickets_by_worker is None:
            step.asked_workers.difference_update(asked)
            return
        end_s = now_s + valid_s
        others = (step.approved or frozenset()).difference(asked)
        step.approved = others | frozenset(tickets_by_worker)
        step.tickets_end_s = end_s
        for worker_id in asked:
            step.tickets_by_worker.pop(worker_id, None)
        for worker_id, ticket in tickets_by_worker.items():
            step.tickets_by_worker[worker_id] = (ticket, end_s)

    def worker_replaced(self, worker_id: WorkerId) -> None:
        """Forget what was approved for an earlier life of a worker."""
        for step in self._book.open_steps.values():
            step.asked_workers.discard(worker_id)
            step.tickets_by_worker.pop(worker_id, None)
            if step.approved is not None:
                step.approved -= {worker_id}

    def expire(self, now_s: float) -> None:
        """Give up calls that have not been answered."""
        for key, end_s in list(self._asked.items()):
            if now_s >= end_s:
                step = self._book.step(key)
                asked = tuple(step.asked_workers) if step is not None else ()
                self.answered(key, asked, None, valid_s=0.0, now_s=now_s)
