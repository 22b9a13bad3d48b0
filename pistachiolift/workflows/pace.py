"""Finds workers on which runs stand still or are far slower than elsewhere."""

import logging
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import exp, inf
from statistics import median

from ..common import WorkerId, log_event
from .lifecycle import Lifecycle
from .model import StepKey, TaskRunStatus
from .placement import count_room
from .scheduler_state import SchedulerState
from .state import StepEntry, TaskRun, WorkerEntry

__all__ = ["PaceMonitor", "record_percent"]

logger = logging.getLogger(__name__)

# The pace of a run is measured over this time plus this share of its declared time, in
# which its percent grows by 4 or more if the declared time is right.
WINDOW_BASE_S = 0.5
WINDOW_SHARE = 0.04
# After a window longer than this multiple, the worker was paused or not polled.
MAX_WINDOW_FACTOR = 4.0
# A pace is used for this long after its window, by the worker's clock.
PACE_VALID_S = 2.0

CHECK_INTERVAL_S = 0.2

# Shares of the pace elsewhere. Declared times are wrong by about 2, so that a run below
# the first one is slowed down by its worker, if another run there is as well.
BEHIND_SHARE = 0.25
SOUND_SHARE = 0.5
# Number of runs that must be behind, and of workers with a known pace.
MIN_BEHIND_RUNS = 2
MIN_WORKERS = 3

# A worker without runs that was behind gets a task as a probe after this time.
PROBE_AFTER_S = 1.0
PROBE_URGENT_AFTER_S = 3.0
# A worker that was behind is used last for this time after it has recovered.
SUSPECT_S = 8.0
# Longest time for which a worker counts as behind without new evidence.
MAX_BEHIND_S = 8.0

# Expected time until a worker goes on on which runs stand still.
STANDSTILL_S = 3.0
# Time from a stop to the start of the next run.
RESTART_S = 0.3
# Limit of the runs of a task that are stopped for their pace.
MAX_MOVES = 2
URGENT_PRIORITY = 0


def record_percent(run: TaskRun, step: StepEntry, percent: int, clock_ms: int) -> None:
    """Measure a run's pace from a report, on the worker's clock.

    The owner's clock is not used, since the owner may have been paused.

    :param percent: reported progress.
    :param clock_ms: worker's clock at the time of the report; 0 if unknown.
    """
    if not clock_ms:
        return
    if not run.mark_ms:
        run.mark_percent, run.mark_ms = percent, clock_ms
        return
    taken_s = (clock_ms - run.mark_ms) / 1000
    window_s = WINDOW_BASE_S + WINDOW_SHARE * step.step.estimate_s
    if taken_s < window_s:
        return
    if taken_s <= MAX_WINDOW_FACTOR * window_s:
        advanced_s = (percent - run.mark_percent) / 100 * step.step.estimate_s
        run.pace, run.pace_ms = max(0.0, advanced_s) / taken_s, clock_ms
    run.mark_percent, run.mark_ms = percent, clock_ms


@dataclass(frozen=True, slots=True)
class _Measure:
    """Pace of a run compared with others.

    :param expected: pace elsewhere, of the same step if known.
    :param same_step: whether it is of the same step.
    """

    run: TaskRun
    step: StepEntry
    expected: float
    same_step: bool

    @property
    def behind(self) -> bool:
        return self.run.pace < BEHIND_SHARE * self.expected

    @property
    def sound(self) -> bool:
        return self.run.pace > 0 and self.run.pace >= SOUND_SHARE * self.expected


class PaceMonitor:
    """Keeps new work off workers that are behind, and moves runs from them.

    A worker is behind if runs of several jobs advance on it at less than a quarter of
    the pace elsewhere and none at half of it. Gangs do not count, since their members
    wait for each other.

    :param state: the owner's jobs and workers.
    :param lifecycle: stops the runs.
    """

    def __init__(self, state: SchedulerState, lifecycle: Lifecycle):
        self._state = state
        self._lifecycle = lifecycle
        self._checked_s = float("-inf")

    def check(self, now_s: float) -> None:
        """Check all workers, at most five times a second.

        :param now_s: monotonic time.
        """
        if now_s - self._checked_s < CHECK_INTERVAL_S:
            return
        self._checked_s = now_s
        runs_by_worker = self._measured_runs()
        typical = _typical_pace(runs_by_worker.values())
        steps = _paces_by_step(self._state, runs_by_worker)
        for worker in list(self._state.workers_by_id.values()):
            runs = runs_by_worker.get(worker.worker_id, [])
            if worker.suspect and now_s >= worker.suspect_until_s:
                worker.suspect = False
            if worker.behind_s is None and not any(
                run.pace < BEHIND_SHARE * max(typical, steps[step.key].highest)
                for run, step in runs
            ):
                continue
            measures = [
                _compare(run, step, worker, steps[step.key], typical)
                for run, step in runs
            ]
            self._update(worker, measures, typical, now_s)
            if worker.behind_s is not None:
                for measure in measures:
                    self._move_if_earlier(worker, measure, now_s)

    def _measured_runs(self) -> dict[WorkerId, list[tuple[TaskRun, StepEntry]]]:
        found = {}
        for worker in self._state.workers_by_id.values():
            if not worker.reachable or not worker.runs:
                continue
            oldest_ms = worker.clock_ms - PACE_VALID_S * 1000
            runs = []
            for run in worker.runs.values():
                if run.pace is None or run.pace_ms < oldest_ms:
                    continue
                step = self._state.step_of(run.task)
                if step is not None and _is_comparable(run, step):
                    runs.append((run, step))
            if runs:
                found[worker.worker_id] = runs
        return found

    # Workers.

    def _update(
        self,
        worker: WorkerEntry,
        measures: list[_Measure],
        typical: float,
        now_s: float,
    ) -> None:
        behind = [measure for measure in measures if measure.behind]
        sound = any(measure.sound for measure in measures)
        known = worker.behind_s is not None
        if behind and not sound and (known or _is_evidence(behind)):
            worker.behind_s, worker.probe_only = now_s, False
            if not known:
                self._log_worker("worker_behind", worker, behind, typical, now_s)
            return
        if not known:
            return
        silent_s = now_s - worker.behind_s
        if sound or silent_s > MAX_BEHIND_S:
            worker.behind_s, worker.probe_only = None, False
            self._state.suspect(worker, "was_behind", now_s, SUSPECT_S)
            self._log_worker("worker_pace_recovered", worker, measures, typical, now_s)
        elif not worker.runs and silent_s >= PROBE_AFTER_S:
            worker.probe_only = True
            worker.probe_urgent = silent_s >= PROBE_URGENT_AFTER_S

    def _log_worker(
        self,
        event: str,
        worker: WorkerEntry,
        measures: list[_Measure],
        typical: float,
        now_s: float,
    ) -> None:
        self._state.counts[f"pace.{event}"] += 1
        paces = [measure.run.pace for measure in measures]
        log_event(
            logger,
            event,
            worker=worker.worker_id,
            runs=len(measures),
            jobs=len({measure.run.task.job_id for measure in measures}),
            pace=median(paces) if paces else -1.0,
            typical=typical,
            speed=exp(worker.speed.log_ratio),
            report_age_s=now_s - worker.report_requested_s,
        )

    # Runs.

    def _move_if_earlier(
        self, worker: WorkerEntry, measure: _Measure, now_s: float
    ) -> None:
        """Stop a run on a worker that is behind if it ends earlier elsewhere.

        It must fit elsewhere now, unless it is urgent and its expected time is up.
        """
        run, step = measure.run, measure.step
        index = run.task.index
        estimate_s = step.step.estimate_s
        elapsed_s = (worker.clock_ms - run.started_ms) / 1000
        if not measure.behind or not run.started_ms:
            return
        if step.moves_by_index.get(index, 0) >= MAX_MOVES:
            return
        rest = 1 - run.percent / 100
        here_s = rest * estimate_s / run.pace if run.pace else inf
        here_s = min(here_s, STANDSTILL_S + rest * estimate_s)
        saved = step.step.checkpoints and bool(step.checkpoint(index))
        elsewhere_s = RESTART_S + (rest if saved else 1.0) * estimate_s
        if elsewhere_s >= here_s:
            return
        overdue = elapsed_s >= estimate_s
        urgent = overdue and step.job.queue.priority == URGENT_PRIORITY
        if not urgent and not self._fits_elsewhere(step, now_s):
            return
        self._state.counts["pace.run_moved"] += 1
        log_event(
            logger,
            "run_moved",
            job=run.task.job_id,
            task=run.task.position,
            run=run.number,
            worker=worker.worker_id,
            percent=run.percent,
            elapsed_s=elapsed_s,
            pace=run.pace,
            expected=measure.expected,
            here_s=here_s,
            elsewhere_s=elsewhere_s,
            report_age_s=now_s - worker.report_requested_s,
        )
        step.moves_by_index[index] = step.moves_by_index.get(index, 0) + 1
        self._lifecycle.stop(run, "worker_behind")

    def _fits_elsewhere(self, step: StepEntry, now_s: float) -> bool:
        usable = self._state.usable_workers(step.job.queue.pool_id, now_s)
        return count_room(step, usable.values()) > 0


def _is_comparable(run: TaskRun, step: StepEntry) -> bool:
    spec = step.step
    return (
        run.status is TaskRunStatus.RUNNING
        and run.speed_percent == 100
        and spec.estimate_s > 0
        and not (spec.gang or spec.long_running or spec.fills)
    )


@dataclass(slots=True)
class _StepPaces:
    """Paces of a step's runs on workers that are not behind.

    :param highest: the highest of them, and of the one last known.
    """

    paces: list[tuple[WorkerId, float]] = field(default_factory=list)
    highest: float = 0.0


def _paces_by_step(
    state: SchedulerState,
    runs_by_worker: dict[WorkerId, list[tuple[TaskRun, StepEntry]]],
) -> dict[StepKey, _StepPaces]:
    found: dict[StepKey, _StepPaces] = defaultdict(_StepPaces)
    for worker_id, runs in runs_by_worker.items():
        behind = state.workers_by_id[worker_id].behind_s is not None
        for run, step in runs:
            entry = found[step.key]
            if not behind:
                entry.paces.append((worker_id, run.pace))
                entry.highest = max(entry.highest, run.pace)
            if step.pace_elsewhere is not None:
                entry.highest = max(entry.highest, step.pace_elsewhere)
    return found


def _typical_pace(
    runs_of_workers: Iterable[list[tuple[TaskRun, StepEntry]]],
) -> float:
    """Return the median of the workers' paces, 0 if too few are known."""
    paces = []
    for runs in runs_of_workers:
        of_worker = sorted(run.pace for run, _ in runs)
        paces.append(of_worker[len(of_worker) // 2])
    return median(paces) if len(paces) >= MIN_WORKERS else 0.0


def _compare(
    run: TaskRun,
    step: StepEntry,
    worker: WorkerEntry,
    known: _StepPaces,
    typical: float,
) -> _Measure:
    """Compare a run with those of its step elsewhere, or with all runs.

    A worker that is known to be slow is expected to be so.
    """
    others = [pace for worker_id, pace in known.paces if worker_id != worker.worker_id]
    if len(others) >= MIN_BEHIND_RUNS:
        # Kept, since at last only runs that stand still are left.
        step.pace_elsewhere = median(others)
    same_step = step.pace_elsewhere is not None
    expected = step.pace_elsewhere if same_step else typical
    expected *= min(1.0, exp(-worker.speed.log_ratio))
    return _Measure(run, step, expected, same_step)


def _is_evidence(behind: list[_Measure]) -> bool:
    """Whether the runs that are behind show that their worker is the cause."""
    if len(behind) < MIN_BEHIND_RUNS:
        return False
    jobs = {measure.run.task.job_id for measure in behind}
    return len(jobs) > 1 or all(measure.same_step for measure in behind)
