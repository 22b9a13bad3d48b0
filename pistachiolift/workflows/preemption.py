"""Stops runs of less urgent queues for urgent work that would otherwise be late."""

import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from ..common import WorkerId, log_event
from .lifecycle import Lifecycle
from .model import PoolId, StepKey
from .placement import eligible_workers
from .room_forecast import STOP_S, RoomForecast
from .scheduler_state import SchedulerState
from .state import StepEntry, TaskRun, WorkerEntry
from .urgency import measure
from .victims import RoomPlan, StopHistory, VictimFinder, plan_room

__all__ = ["Preemptor", "ShortStep"]

logger = logging.getLogger(__name__)

# Searches are limited to this rate, and to this many steps each, so that passes stay
# short. The slack of an urgent step is several times the interval.
SEARCH_INTERVAL_S = 0.05
MAX_STEPS = 4

# A step whose latest start is further away can wait for room that appears by itself.
ACT_WITHIN_S = 1.0

# The freed room is kept for the step until this time after the stop. A stop that has
# not ended its run by then was probably lost, and is being repeated.
HOLD_S = 1.5
# Share of a pool's workers on which stops may be in flight at the same time. In a small
# pool, stops for one step at a time are allowed.
MAX_HELD_SHARE = 0.125


# A waiting step for which a pass has found no room, and the workers that were kept free
# for others. Passes make thousands of them.
ShortStep = tuple[StepEntry, frozenset[WorkerId]]


@dataclass(slots=True)
class _Hold:
    """Workers that are kept free for a step while the victims on them are stopped.

    :param left: number of tasks of the step for which no room was made.
    :param until_s: monotonic time at which they are given up.
    :param freed: whether all victims have ended, so that the next pass is the last.
    """

    worker_ids: frozenset[WorkerId]
    victims: tuple[TaskRun, ...]
    left: int
    until_s: float
    freed: bool = False


class Preemptor:
    """Frees room for urgent steps that would miss their objective by waiting.

    Runs of queues with a larger priority number are stopped, those that lose the least
    work first. This is done only for configurations with customers, and only if all
    tasks that lack room get it in time and their declared work exceeds the lost work.

    :param state: the owner's jobs and workers.
    :param lifecycle: stops the runs.
    :param first_run: returns the lowest number of the runs of this owner.
    """

    def __init__(
        self,
        state: SchedulerState,
        lifecycle: Lifecycle,
        first_run: Callable[[], int],
    ):
        self._state = state
        self._lifecycle = lifecycle
        self._first_run = first_run
        self._searched_s = float("-inf")
        self._holds_by_step: dict[StepKey, _Hold] = {}
        self._history = StopHistory()
        # Steps whose declined preemption has been logged.
        self._declined: set[StepKey] = set()

    # Workers that are kept free.

    @property
    def held(self) -> frozenset[WorkerId]:
        """Workers that are kept free for a step."""
        if not self._holds_by_step:
            return frozenset()
        return frozenset().union(*(h.worker_ids for h in self._holds_by_step.values()))

    def held_for(self, step: StepEntry) -> frozenset[WorkerId]:
        """Return the workers that are kept free for a step."""
        hold = self._holds_by_step.get(step.key)
        return frozenset() if hold is None else hold.worker_ids

    def update_holds(self, now_s: float) -> None:
        """Give up the workers of steps that have started or waited too long."""
        for key, hold in list(self._holds_by_step.items()):
            step = self._state.open_steps.get(key)
            if step is not None and not hold.freed and now_s < hold.until_s:
                hold.freed = all(
                    self._state.run(run.worker_id, run.key) is not run
                    for run in hold.victims
                )
                continue
            del self._holds_by_step[key]
            if step is not None and len(step.waiting) > hold.left:
                self._state.counts["preemption.unused"] += 1
                log_event(
                    logger,
                    "preemption_unused",
                    job=key.job_id,
                    step=f"{key.occurrence}.{key.step}",
                    waiting=len(step.waiting),
                    workers=len(hold.worker_ids),
                    freed=hold.freed,
                    held_s=round(now_s - hold.until_s + HOLD_S, 3),
                )

    # Search.

    def run(
        self,
        short: Sequence[ShortStep],
        usable_by_pool: Mapping[PoolId, Mapping[WorkerId, WorkerEntry]],
        kept: frozenset[WorkerId],
        now_s: float,
        wall_ms: float,
    ) -> None:
        """Stop runs for urgent steps, if that makes them start in time.

        :param short: waiting steps without room, in the order of their placement.
        :param usable_by_pool: workers that may get new runs.
        :param kept: workers whose free room less urgent steps do not take.
        :param now_s: monotonic time.
        :param wall_ms: Unix time, in milliseconds.
        """
        if not self._state.customers_by_id or not short:
            return
        if now_s - self._searched_s < SEARCH_INTERVAL_S:
            return
        self._searched_s = now_s
        self._history.keep_only(self._state.jobs_by_id.keys())
        self._declined &= self._state.open_steps.keys()
        by_pool: dict[PoolId, list[ShortStep]] = {}
        for each in short:
            by_pool.setdefault(each[0].job.queue.pool_id, []).append(each)
        for pool_id, steps in by_pool.items():
            self._search_pool(steps, usable_by_pool[pool_id], kept, now_s, wall_ms)

    def _search_pool(
        self,
        short: list[ShortStep],
        usable_by_id: Mapping[WorkerId, WorkerEntry],
        kept: frozenset[WorkerId],
        now_s: float,
        wall_ms: float,
    ) -> None:
        forecast = RoomForecast(
            self._state,
            now_s,
            until_s=now_s + ACT_WITHIN_S,
            contended=len(short) > 1,
            kept=kept,
        )
        finder = VictimFinder(
            self._state,
            self._history,
            first_run=self._first_run(),
            now_s=now_s,
            wall_ms=wall_ms,
        )
        # Fewer stops are needed on workers with more free processors.
        by_free = sorted(
            usable_by_id.items(), key=lambda item: (-item[1].free_cpu_milli, item[0])
        )
        usable_by_id = dict(by_free)
        queues = self._state.queues_by_id.values()
        # An owner may know no queue; then nothing is stopped.
        least_urgent = max((queue.priority for queue in queues), default=0)
        examined = 0
        for step, blocked in short:
            if step.job.queue.priority >= least_urgent or step.job.excess:
                continue
            slack_s = measure(step, now_s, wall_ms)[1] - now_s
            if not STOP_S <= slack_s <= ACT_WITHIN_S or step.isolated:
                continue
            if step.key in self._holds_by_step or not self._cap_allows(step):
                continue
            examined += 1
            if examined > MAX_STEPS:
                return
            workers = self._workers_for(step, blocked, usable_by_id, now_s)
            missing = _tasks_without_room(step, workers, forecast, now_s + slack_s)
            if not missing:
                continue
            plan = plan_room(step, missing, workers, finder)
            limit = int(MAX_HELD_SHARE * len(usable_by_id))
            reason = self._reason_against(plan, step, missing, limit)
            if reason:
                self._log_declined(step, reason, plan, missing, slack_s)
                # Less urgent steps do not take the victims that it may need soon.
                least_urgent = min(least_urgent, step.job.queue.priority + 1)
                continue
            self._carry_out(plan, step, missing, slack_s, now_s)
            finder.exclude_jobs_of(plan.victims)

    def _cap_allows(self, step: StepEntry) -> bool:
        """Whether all waiting tasks of a step may run under the customer's cap."""
        customer_id = step.job.customer_id
        size = step.step.size.times(len(step.waiting))
        return not customer_id or self._state.caps.allows(customer_id, size)

    def _workers_for(
        self,
        step: StepEntry,
        blocked: frozenset[WorkerId],
        usable_by_id: Mapping[WorkerId, WorkerEntry],
        now_s: float,
    ) -> list[WorkerEntry]:
        """Return the workers on which room may be made for a step.

        Workers that may fail or delay its tasks are left out. The tickets, if the step
        needs some, are valid when the stop is over.
        """
        excluded = blocked | self.held
        excluded = excluded.union(*step.failed_on_by_index.values())
        return [
            entry
            for entry in eligible_workers(step, usable_by_id, now_s + STOP_S)
            if entry.worker_id not in excluded
            and not entry.isolated
            and not entry.probe_only
            and not entry.suspect
        ]

    def _reason_against(
        self, plan: RoomPlan | None, step: StepEntry, missing: int, limit: int
    ) -> str:
        """Return why a plan is not carried out, empty if it is.

        :param limit: number of workers on which stops may be in flight.
        """
        if plan is None or not plan.victims:
            return "too_few_victims"
        if plan.lost_core_s > _work_core_s(step, missing):
            return "loss_exceeds_gain"
        workers = {entry.worker_id for entry in plan.workers}
        if self.held and len(self.held | workers) > limit:
            return "too_many_in_flight"
        return ""

    def _log_declined(
        self,
        step: StepEntry,
        reason: str,
        plan: RoomPlan | None,
        missing: int,
        slack_s: float,
    ) -> None:
        """Log once for each step why nothing was stopped for it."""
        if step.key in self._declined:
            return
        self._declined.add(step.key)
        log_event(
            logger,
            "preemption_declined",
            job=step.job.job_id,
            step=f"{step.key.occurrence}.{step.key.step}",
            reason=reason,
            tasks=missing,
            slack_s=round(slack_s, 3),
            lost_core_s=-1.0 if plan is None else round(plan.lost_core_s, 3),
            gained_core_s=round(_work_core_s(step, missing), 3),
            held=len(self.held),
        )

    def _carry_out(
        self,
        plan: RoomPlan,
        step: StepEntry,
        missing: int,
        slack_s: float,
        now_s: float,
    ) -> None:
        gained_core_s = _work_core_s(step, missing)
        runs = tuple(run for victim in plan.victims for run in victim.runs)
        log_event(
            logger,
            "preemption",
            job=step.job.job_id,
            step=f"{step.key.occurrence}.{step.key.step}",
            priority=step.job.queue.priority,
            tasks=missing,
            slack_s=round(slack_s, 3),
            stops=len(runs),
            lost_core_s=round(plan.lost_core_s, 3),
            gained_core_s=round(gained_core_s, 3),
            held=len(self.held),
        )
        self._holds_by_step[step.key] = _Hold(
            worker_ids=frozenset(entry.worker_id for entry in plan.workers),
            victims=runs,
            left=len(step.waiting) - missing,
            until_s=now_s + HOLD_S,
        )
        for victim in plan.victims:
            self._history.record([run.task for run in victim.runs], now_s)
            for run in victim.runs:
                log_event(
                    logger,
                    "run_preempted",
                    job=run.task.job_id,
                    task=run.task.position,
                    run=run.number,
                    worker=run.worker_id,
                    priority=victim.step.job.queue.priority,
                    cpu_milli=run.size.cpu_milli,
                    percent=run.percent,
                    age_s=round(now_s - run.confirmed_s, 3),
                    checkpoints=victim.step.step.checkpoints,
                    lost_core_s=round(victim.lost_core_s, 3),
                    for_job=step.job.job_id,
                )
                self._lifecycle.stop(run, "preempted")
        counts = self._state.counts
        counts["preemption.steps"] += 1
        counts["preemption.stops"] += len(runs)
        counts["preemption.lost_core_ms"] += round(1000 * plan.lost_core_s)
        counts["preemption.gained_core_ms"] += round(1000 * gained_core_s)


def _tasks_without_room(
    step: StepEntry, workers: list[WorkerEntry], forecast: RoomForecast, until_s: float
) -> int:
    """Return for how many waiting tasks no room appears in time.

    A gang that does not fit as a whole needs room for all its tasks.
    """
    waiting = len(step.waiting)
    missing = waiting - forecast.take_room(step, workers, waiting, until_s)
    return waiting if missing and step.step.gang else missing


def _work_core_s(step: StepEntry, tasks: int) -> float:
    """Return the declared work of some tasks of a step, in core-seconds."""
    return tasks * step.step.size.cpu_milli / 1000 * step.step.estimate_s
