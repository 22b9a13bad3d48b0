"""Log lines of the scheduler's decisions, with the inputs of each decision."""

import logging
from math import exp

from ..common import log_event
from ..workflows import JobChanged, StartRun, StopRun
from ..workflows.scheduler_state import SchedulerState

__all__ = ["log_job_changed", "log_start", "log_stop"]

logger = logging.getLogger(__name__)


def log_start(command: StartRun, state: SchedulerState, config_version: int) -> None:
    """Log a start command that is about to be sent.

    :param config_version: version of the configuration in force.
    """
    worker = state.workers_by_id[command.worker_id]
    step = state.step(command.task.step_key)
    log_event(
        logger,
        "run_placed",
        job=command.task.job_id,
        task=command.task.position,
        run=command.number,
        worker=command.worker_id,
        free_cpu_milli=worker.free_cpu_milli,
        pace=exp(worker.speed.log_ratio),
        estimate_ms=step.step.estimate_s * 1000 if step is not None else 0,
        resumed=bool(command.checkpoint),
        config=config_version,
    )


def log_stop(command: StopRun) -> None:
    """Log a stop command with its reason."""
    log_event(
        logger,
        "run_stopped",
        job=command.task.job_id,
        task=command.task.position,
        run=command.number,
        worker=command.worker_id,
        reason=command.reason,
    )


def log_job_changed(change: JobChanged) -> None:
    """Log a job's new state with its reason."""
    log_event(
        logger,
        "job_changed",
        job=change.job_id,
        status=change.status.value,
        reason=change.reason,
    )
