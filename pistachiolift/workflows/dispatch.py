"""Places the tasks of waiting steps in order of urgency."""

import logging

from ..common import WorkerId, log_event
from .advice import AdvicePlanner
from .cap_gate import CapGate
from .decisions import StartRun
from .holding import RoomHolder
from .lifecycle import Lifecycle
from .model import PoolId, Size, TaskRunStatus
from .order import OrderPolicy, WaitingOrder
from .placement import WorkerChoice, eligible_workers, plan_gang, room_for_step
from .preemption import Preemptor, ShortStep
from .records import RunPlaced
from .scheduler_state import SchedulerState
from .state import StepEntry, TaskRun, WorkerEntry

__all__ = ["Dispatcher"]

logger = logging.getLogger(__name__)

# Run numbers of an owner begin at its fencing token times this factor. They exceed the
# numbers of all earlier owners if no owner runs a task more often than this.
RUNS_PER_FENCE = 1000


class Dispatcher:
    """Places tasks of the open steps and starts their runs.

    :param state: the owner's jobs and workers.
    :param lifecycle: records the runs.
    :param advice: requests tickets for steps that need advice.
    :param gate: keeps customers within their caps.
    :param policy: order of the waiting steps; :class:`CostAware` by default.
    """

    def __init__(
        self,
        state: SchedulerState,
        lifecycle: Lifecycle,
        advice: AdvicePlanner,
        gate: CapGate,
        policy: OrderPolicy | None = None,
    ):
        self._state = state
        self._lifecycle = lifecycle
        self._advice = advice
        self.order = WaitingOrder(state, policy)
        self.holder = RoomHolder()
        self.preemptor = Preemptor(
            state, lifecycle, first_run=lambda: state.fence * RUNS_PER_FENCE
        )
        # Sizes for which no worker of a pool has room in this pass. Room only shrinks
        # during a pass, so that later steps need not look for it.
        self._full: set[tuple[PoolId, Size]] = set()
        # Workers that get no ordinary runs in the next pass, so that the runs that
        # are started alone find a worker.
        self._kept_free: set[WorkerId] = set()
        self._gate = gate

    def run(self, now_s: float, wall_ms: float) -> None:
        """Place all waiting tasks that fit now.

        :param now_s: monotonic time.
        :param wall_ms: Unix time, in milliseconds.
        """
        self._open_due_steps(wall_ms)
        self._gate.begin_pass(now_s)
        self.holder = RoomHolder()
        self.preemptor.update_holds(now_s)
        self._full = set()
        if not self._state.open_steps:
            return
        steps = self.order.arrange(now_s, wall_ms)
        usable_by_pool: dict[PoolId, dict[WorkerId, WorkerEntry]] = {}
        # Room that was freed for a step is not for the others.
        blocked = freed = self.preemptor.held
        kept_free, self._kept_free = self._kept_free, set()
        waiting: list[StepEntry] = []
        short: list[ShortStep] = []
        # Workers whose free room is kept for the first of these steps.
        kept: frozenset[WorkerId] = frozenset()
        for step in steps:
            if step.not_before_s > now_s:
                continue
            pool_id = step.job.queue.pool_id
            usable = usable_by_pool.get(pool_id)
            if usable is None:
                usable = self._state.usable_workers(pool_id, now_s)
                usable_by_pool[pool_id] = usable
            closed = blocked - self.preemptor.held_for(step) if freed else blocked
            if step.step.gang:
                blocked |= self._place_gang(step, usable, closed, now_s)
            else:
                self._place_isolated_tasks(step, usable, closed, now_s)
                self._place_tasks(step, usable, closed | kept_free, now_s)
                chosen = self._keep_room(step, usable, blocked, now_s, wall_ms)
                blocked |= chosen
                kept |= chosen
            if step.waiting and not self._gate.is_refused(step):
                short.append((step, closed))
            if step.waiting and step.job.queue.advice is not None:
                if self._gate.may_ask_adviser(step):
                    waiting.append(step)
        self._advice.plan(waiting, usable_by_pool, now_s)
        self.preemptor.run(short, usable_by_pool, kept, now_s, wall_ms)

    def _open_due_steps(self, wall_ms: float) -> None:
        for key, step in list(self._state.timed_steps.items()):
            occurrence = step.job.occurrences[key.occurrence]
            if wall_ms >= occurrence.due_ms:
                occurrence.due = True
                del self._state.timed_steps[key]
                self._state.open_steps[key] = step

    def _place_gang(
        self,
        step: StepEntry,
        usable_by_id: dict[WorkerId, WorkerEntry],
        blocked: frozenset[WorkerId],
        now_s: float,
    ) -> frozenset[WorkerId]:
        """Start a gang if it fits; otherwise return the workers to keep free for it."""
        if len(step.waiting) != step.step.count or step.is_held(0, now_s):
            return frozenset()
        size = step.step.size.times(step.step.count)
        if not self._gate.allows(step, size, usable_by_id, now_s):
            # No worker is kept free for it, which would delay other customers.
            return frozenset()
        health = self._state.health
        eligible = eligible_workers(step, usable_by_id, now_s)
        if step.is_isolated(0):
            eligible = [entry for entry in eligible if not entry.unproven]
        if step.is_last_attempt(0):
            eligible = [entry for entry in eligible if not entry.risky]
        plan = plan_gang(step, eligible, blocked, health)
        if not plan.worker_ids:
            approved = self._advice.approved_workers(step, usable_by_id)
            plan = plan_gang(step, approved, blocked, health)
            if step.is_isolated(0) and plan.worker_ids:
                # It waits only until the runs on these workers have survived.
                return frozenset(plan.worker_ids)
            return plan.wanted
        indices = list(range(step.step.count))
        number = step.next_number(indices, self._state.fence * RUNS_PER_FENCE)
        for index, worker_id in zip(indices, plan.worker_ids, strict=True):
            worker = self._state.workers_by_id[worker_id]
            self._start(step, index, number, worker, now_s)
        return frozenset()

    def _place_tasks(
        self,
        step: StepEntry,
        usable_by_id: dict[WorkerId, WorkerEntry],
        blocked: frozenset[WorkerId],
        now_s: float,
    ) -> None:
        if step.waiting <= step.isolated:
            return
        if not self._allows_task(step, usable_by_id, now_s):
            return
        place = (step.job.queue.pool_id, step.step.reserved)
        if place in self._full and not self.preemptor.held_for(step):
            return
        candidates = _workers_with_room(step, usable_by_id, blocked, now_s)
        if not candidates:
            if _may_use_any_worker(step):
                self._full.add(place)
            return
        choice = WorkerChoice(step, candidates, self._state.health)
        for index in sorted(step.waiting):
            if step.is_isolated(index):
                continue
            if not self._allows_task(step, usable_by_id, now_s):
                return
            worker = choice.choose(index)
            if worker is None and step.is_last_attempt(index):
                # The other tasks may use the workers that this one avoids.
                self._note_safe_wait(step, index, candidates)
                continue
            if worker is None:
                return
            number = step.next_number([index], self._state.fence * RUNS_PER_FENCE)
            self._start(step, index, number, worker, now_s)

    def _keep_room(
        self,
        step: StepEntry,
        usable_by_id: dict[WorkerId, WorkerEntry],
        blocked: frozenset[WorkerId],
        now_s: float,
        wall_ms: float,
    ) -> frozenset[WorkerId]:
        """Return the workers to keep free for the tasks that have not been placed.

        None are kept if the customer's cap holds the tasks back.
        """
        if (
            not step.waiting
            or self._gate.is_refused(step)
            or not self.holder.may_hold(step.job.queue.pool_id, len(usable_by_id))
            or not self.order.holds_room(step, now_s, wall_ms)
        ):
            return frozenset()
        return self.holder.hold(step, usable_by_id, blocked, now_s)

    def _note_safe_wait(
        self, step: StepEntry, index: int, candidates: list[WorkerEntry]
    ) -> None:
        """Log once for each task that its last attempt waits for a sound worker."""
        if index in step.safe_waits:
            return
        step.safe_waits.add(index)
        self._state.counts["health.last_attempt_waits"] += 1
        log_event(
            logger,
            "last_attempt_waits",
            job=step.key.job_id,
            task=step.key.task(index).position,
            failures=len(step.failed_runs_by_index.get(step.failure_slot(index), ())),
            limit=step.job.queue.max_failures,
            candidates=len(candidates),
            risky=sum(entry.risky for entry in candidates),
        )

    def _place_isolated_tasks(
        self,
        step: StepEntry,
        usable_by_id: dict[WorkerId, WorkerEntry],
        blocked: frozenset[WorkerId],
        now_s: float,
    ) -> None:
        """Start suspected tasks, each on a worker where all runs have survived.

        They use at most half of the workers at the same time, so that the other tasks
        do not wait for them.
        """
        if not step.isolated:
            return
        used = sum(1 for entry in usable_by_id.values() if entry.isolated)
        spare = max(1, len(usable_by_id) // 2) - used - len(self._kept_free)
        candidates = _workers_with_room(step, usable_by_id, blocked, now_s)
        proven = [entry for entry in candidates if not entry.unproven]
        choice = WorkerChoice(step, proven, self._state.health)
        for index in sorted(step.waiting & step.isolated):
            if step.is_held(index, now_s):
                continue
            if spare < 1 or not self._allows_task(step, usable_by_id, now_s):
                return
            spare -= 1
            worker = choice.choose(index)
            if worker is None:
                self._keep_worker_free(candidates)
                return
            number = step.next_number([index], self._state.fence * RUNS_PER_FENCE)
            self._start(step, index, number, worker, now_s)

    def _allows_task(
        self, step: StepEntry, usable_by_id: dict[WorkerId, WorkerEntry], now_s: float
    ) -> bool:
        return self._gate.allows(step, step.step.size, usable_by_id, now_s)

    def _keep_worker_free(self, candidates: list[WorkerEntry]) -> None:
        """Give one of the workers no ordinary runs in the next pass."""
        found = [entry for entry in candidates if entry.unproven and not entry.isolated]
        if found:
            entry = min(found, key=lambda e: (len(e.unproven), e.worker_id))
            self._kept_free.add(entry.worker_id)

    def _start(
        self,
        step: StepEntry,
        index: int,
        number: int,
        worker: WorkerEntry,
        now_s: float,
    ) -> None:
        run = TaskRun(
            task=step.key.task(index),
            number=number,
            worker_id=worker.worker_id,
            size=step.step.reserved,
            status=TaskRunStatus.STARTING,
            placed_s=now_s,
            alone=step.is_isolated(index),
            charge=step.charge,
        )
        self._lifecycle.add_run(step, run, worker)
        self._state.health.record_placement(worker.worker_id)
        record = self._state.record(
            RunPlaced(
                run.task,
                number,
                worker.worker_id,
                worker.worker.incarnation,
                run.charge,
            )
        )
        self._state.emit(
            StartRun(
                task=run.task,
                number=number,
                worker_id=worker.worker_id,
                payload=step.job.graph.payload,
                ticket=step.tickets_by_worker.get(worker.worker_id, ("", 0.0))[0],
                checkpoint=step.checkpoint(index),
                after_record=record,
                alone=run.alone,
            )
        )


def _may_use_any_worker(step: StepEntry) -> bool:
    """Whether only the size of a step's tasks limits the choice of workers."""
    return (
        step.job.queue.advice is None
        and not step.step.required_label
        and not step.step.max_per_worker
    )


def _workers_with_room(
    step: StepEntry,
    usable_by_id: dict[WorkerId, WorkerEntry],
    blocked: frozenset[WorkerId],
    now_s: float,
) -> list[WorkerEntry]:
    """Return the workers on which a task of the step may start now."""
    return [
        entry
        for entry in eligible_workers(step, usable_by_id, now_s)
        if entry.worker_id not in blocked and room_for_step(step, entry)
    ]
