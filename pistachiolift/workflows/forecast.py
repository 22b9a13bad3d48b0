"""Forecasts the end of runs."""

from dataclasses import dataclass
from math import exp

from .model import TaskRunStatus
from .state import StepEntry, TaskRun, WorkerEntry

__all__ = ["RunForecast", "forecast_run"]

DONE_PERCENT = 100

# Progress from which the speed of a run is known well enough; the percent is cut to
# whole numbers.
MIN_MEASURED_PERCENT = 5
# A run whose percent has not changed for as long as this many percent usually take
# stands still.
MAX_STEPS = 3
# Factors by which a forecast may be too long. Declared times are wrong by about 2.
MEASURED_ERROR = 1.2
DECLARED_ERROR = 2.0


@dataclass(frozen=True, slots=True)
class RunForecast:
    """The expected end of a run.

    :param rest_s: expected time until the end, in seconds.
    :param measured: whether it follows from the run's progress, not from the declared
        time.
    """

    rest_s: float
    measured: bool

    @property
    def shortest_s(self) -> float:
        """Shortest time until the end that is likely, in seconds."""
        return self.rest_s / (MEASURED_ERROR if self.measured else DECLARED_ERROR)


def forecast_run(
    run: TaskRun, step: StepEntry, worker: WorkerEntry, now_s: float
) -> RunForecast:
    """Forecast the end of a run from its progress, else from its declared time.

    :param worker: the run's worker, whose speed counts with a declared time.
    :param now_s: monotonic time.
    """
    if run.percent >= DONE_PERCENT:
        return RunForecast(0.0, measured=True)
    first_s = run.first_percent_s
    advanced = run.percent - run.first_percent
    if first_s is not None and advanced >= MIN_MEASURED_PERCENT:
        percent_s = (run.progressed_s - first_s) / advanced
        rest_s = (DONE_PERCENT - run.percent) * percent_s
        # A run that stands still in the newest report gets no nearer to its end.
        if worker.reported_s - run.progressed_s <= MAX_STEPS * percent_s:
            rest_s -= now_s - run.progressed_s
        return RunForecast(max(0.0, rest_s), measured=True)
    total_s = step.step.estimate_s * exp(worker.speed.log_ratio)
    total_s *= 1 - run.first_percent / DONE_PERCENT
    begun_s = run.confirmed_s if first_s is None else first_s
    if begun_s is None or run.status is TaskRunStatus.STARTING:
        return RunForecast(total_s, measured=False)
    return RunForecast(max(0.0, total_s - (now_s - begun_s)), measured=False)
