"""Placement of waiting tasks, and preemption for urgent ones."""

from collections.abc import Mapping

from ..common import WorkerId
from .constants import (
    ATTEMPTS_PER_TICK,
    HOLD_DURATION_S,
    MAKE_ROOM_INTERVAL_S,
    MAKE_ROOM_JOBS,
    PREEMPTIONS_PER_TURN,
    TASKS_PER_TURN,
)
from .lifecycle import TaskLifecycle
from .model import EndReason, PolicyName
from .policies import (
    NoPlacement,
    NoPlacementReason,
    Placement,
    PlacementPolicy,
    PlacementRequest,
)
from .preemption import PreemptionPlan
from .records import JobRecord
from .state import SchedulerState
from .workers import Hold, WorkerState

__all__ = ["Dispatcher"]


class Dispatcher:
    """Visits jobs in order of urgency and places their tasks."""

    def __init__(
        self,
        state: SchedulerState,
        lifecycle: TaskLifecycle,
        policies: Mapping[PolicyName, PlacementPolicy],
    ):
        self.state = state
        self.lifecycle = lifecycle
        self.policies = policies
        self._retry_scheduled = False

    def run(self, now_s: float) -> None:
        """Place tasks that fit, up to a limit; the next tick places the rest."""
        queue = self.state.queue
        gang = queue.blocked.first_gang()
        if gang is not None and self.state.roomy_workers_by_id:
            queue.wake(gang)
        attempts = 0
        while attempts < ATTEMPTS_PER_TICK:
            ready, (worker, waiting) = queue.first(), self._next_waiting()
            if waiting is not None and (
                ready is None or waiting.spec.priority >= ready.spec.priority
            ):
                if not self._place_tasks_of(waiting, now_s):
                    del self.state.roomy_workers_by_id[worker.worker_id]
                attempts += 1
            elif ready is not None:
                attempts += 1 + self._place_tasks_of(ready, now_s)
            else:
                return

    def _next_waiting(self) -> tuple[WorkerState | None, JobRecord | None]:
        """Return a worker with new room and the most urgent blocked job that fits."""
        state = self.state
        while state.roomy_workers_by_id:
            worker = next(iter(state.roomy_workers_by_id.values()))
            if worker.worker_id in state.index.workers_by_id:
                job = state.queue.blocked.first_fitting(worker.free)
                if job is not None:
                    return worker, job
            del state.roomy_workers_by_id[worker.worker_id]
        return None, None

    def _place_tasks_of(self, job: JobRecord, now_s: float) -> int:
        """Place tasks of one job; returns the number of tasks or gangs placed."""
        placed = 0
        while job.placeable and placed < TASKS_PER_TURN:
            if not self._try_place(job, now_s):
                return placed
            placed += 1
        if job.placeable:
            self.state.queue.requeue(job)
        else:
            self.state.queue.remove(job)
        return placed

    def _try_place(self, job: JobRecord, now_s: float) -> bool:
        state, spec = self.state, job.spec
        count = spec.tasks if job.is_gang else 1
        if not state.quota.allows(job.customer_id, spec.resources.times(count)):
            job.blocked_by = NoPlacementReason.QUOTA
            state.queue.block_for_quota(job)
            return False
        outcome = self._ask_policy(job, count, now_s)
        if isinstance(outcome, Placement):
            job.blocked_by = None
            self._reserve(job, outcome, now_s)
            return True
        job.blocked_by = outcome.reason
        state.queue.block_for_room(job)
        if spec.priority and job.job_id not in state.held_ids_by_job:
            self._make_room(job, now_s)
        return False

    def _ask_policy(
        self, job: JobRecord, count: int, now_s: float
    ) -> Placement | NoPlacement:
        """Ask the policy, with the workers held for this job in the index."""
        state = self.state
        request = PlacementRequest(
            resources=job.spec.resources,
            tasks=count,
            tasks_by_rack=job.tasks_by_rack,
            tasks_by_worker=job.tasks_by_worker,
            avoided=job.peek().avoided,
        )
        held = [
            state.workers_by_id[worker_id]
            for worker_id in state.held_ids_by_job.get(job.job_id, ())
            if state.health.accepts(worker_id, now_s)
        ]
        for worker in held:
            state.index.put(worker)
        outcome = self.policies[job.spec.policy].place(request, state.index)
        for worker in held:
            state.refresh(worker, now_s)
        return outcome

    def _reserve(self, job: JobRecord, placement: Placement, now_s: float) -> None:
        state = self.state
        for worker_id in placement.worker_ids:
            worker = state.workers_by_id[worker_id]
            self.lifecycle.reserve(job, job.take(), worker, now_s)
            if worker.hold is not None and not job.is_gang:
                state.set_hold(worker, None, now_s)
        if not job.placeable:
            self._drop_holds(job, now_s)

    def _drop_holds(self, job: JobRecord, now_s: float) -> None:
        for worker_id in list(self.state.held_ids_by_job.get(job.job_id, ())):
            self.state.set_hold(self.state.workers_by_id[worker_id], None, now_s)

    def _make_room(self, job: JobRecord, now_s: float) -> None:
        """Preempt less urgent tasks; their room is used after the confirmed stops."""
        if now_s - job.last_preemption_search_s < MAKE_ROOM_INTERVAL_S:
            return
        job.last_preemption_search_s = now_s
        self._schedule_retry(now_s)
        workers, plans = self._plan(job, now_s)
        for plan in plans:
            self._hold(job, self.state.workers_by_id[plan.worker_id], now_s)
            for task in plan.victims:
                self.state.metrics.count("jobs.preempted")
                self.lifecycle.evict(task, EndReason.PREEMPTED, now_s)
        for worker in workers:
            self._hold(job, worker, now_s)

    def _schedule_retry(self, now_s: float) -> None:
        if not self._retry_scheduled:
            self._retry_scheduled = True
            due_s = now_s + MAKE_ROOM_INTERVAL_S
            self.state.timers.schedule(due_s, self._retry_urgent)

    def _retry_urgent(self, now_s: float) -> None:
        """Retry the most urgent blocked jobs: there may be new preemption victims."""
        self._retry_scheduled = False
        queue = self.state.queue
        woken = [queue.blocked.first_gang()]
        woken += queue.blocked.most_urgent(MAKE_ROOM_JOBS)
        for job in woken:
            if job is not None and job.spec.priority:
                queue.wake(job)
                self._schedule_retry(now_s)

    def _plan(
        self, job: JobRecord, now_s: float
    ) -> tuple[list[WorkerState], list[PreemptionPlan]]:
        """Return workers that have room already, and preemption plans for the rest."""
        need, priority = job.spec.resources, job.spec.priority
        roomy: list[WorkerState] = []
        missing = min(job.placeable, PREEMPTIONS_PER_TURN)
        if job.is_gang:
            missing = job.spec.tasks
            for worker in self.state.index.rooms.fitting(need):
                roomy.append(worker)
                missing -= need.count_in(worker.free)
        excluded = {worker.worker_id for worker in roomy}
        plans: list[PreemptionPlan] = []
        while len(plans) < missing:
            plan = self.state.planner.plan(
                need, priority, self.state.index.workers_by_id, excluded, now_s
            )
            if plan is None:
                break
            plans.append(plan)
            excluded.add(plan.worker_id)
        if job.is_gang and len(plans) < missing:
            return [], []
        return roomy, plans

    def _hold(self, job: JobRecord, worker: WorkerState, now_s: float) -> None:
        hold = Hold(job.job_id, now_s + HOLD_DURATION_S)
        self.state.set_hold(worker, hold, now_s)
        self.state.timers.schedule(hold.until_s, self._hold_due, worker.worker_id, hold)

    def _hold_due(self, worker_id: WorkerId, hold: Hold, now_s: float) -> None:
        worker = self.state.workers_by_id.get(worker_id)
        if worker is not None and worker.hold is hold:
            self.state.set_hold(worker, None, now_s)
