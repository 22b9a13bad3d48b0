"""Log lines of the scheduler's decisions, with the inputs that decided."""

import logging
from math import exp

from ..common import log_event
from ..workflows import JobChanged, StartRun, StopRun
from ..workflows.scheduler_state import SchedulerState

__all__ = ["log_job_changed", "log_start", "log_stop"]

logger = logging.getLogger(__name__)


def log_start(order: StartRun, book: SchedulerState, config_version: int) -> None:
    """Log a start that is about to be sent.

    :param config_version: version of the configuration in force.
    """
    worker = book.workers_by_id[order.worker_id]
    step = book.step(order.task.step_key)
    log_event(
        logger,
        "run_placed",
        job=order.task.job_id,
        task=order.task.position,
        run=order.number,
        worker=order.worker_id,
        free_cpu_milli=worker.free_cpu_milli,
        pace=exp(worker.speed.log_ratio),
        estimate_ms=step.step.estimate_s * 1000 if step is not None else 0,
        resumed=bool(order.checkpoint),
        config=config_version,
    )


def log_stop(order: StopRun) -> None:
    """Log a stop with its reason."""
    log_event(
        logger,
        "run_stopped",
        job=order.task.job_id,
        task=order.task.position,
        run=order.number,
        worker=order.worker_id,
        reason=order.reason,
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
