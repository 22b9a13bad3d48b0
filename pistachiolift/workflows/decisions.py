"""Decisions of the scheduler, to be carried out by the owner's process."""

import msgspec

from ..common import JobId, WorkerId
from .model import JobStatus, StepKey, TaskKey

__all__ = ["AskAdvice", "Decision", "JobChanged", "SetRunSpeed", "StartRun", "StopRun"]


class StartRun(msgspec.Struct, frozen=True, kw_only=True):
    """Start a run on a worker.

    :param ticket: the adviser's approval, empty if the queue needs none.
    :param checkpoint: saved position to resume from, empty for none.
    :param after_record: number of the record that must be durable before the start.
    :param alone: whether the task is suspected of crashing workers, so that a report
        shall show soon whether the run has survived its start.
    """

    task: TaskKey
    number: int
    worker_id: WorkerId
    payload: str
    ticket: str = ""
    checkpoint: str = ""
    after_record: int = 0
    alone: bool = False


class StopRun(msgspec.Struct, frozen=True, kw_only=True):
    """Stop a run; the worker also rejects a start of it that arrives later.

    :param reason: reason of the stop, in snake case.
    """

    task: TaskKey
    number: int
    worker_id: WorkerId
    reason: str


class SetRunSpeed(msgspec.Struct, frozen=True, kw_only=True):
    """Limit a run that fills a worker to a share of its free processor time.

    :param percent: the share.
    """

    task: TaskKey
    number: int
    worker_id: WorkerId
    percent: int


class AskAdvice(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the adviser which workers may run a step.

    :param cost_s: expected duration of the call, in seconds.
    """

    step: StepKey
    worker_ids: tuple[WorkerId, ...]
    cost_s: float


class JobChanged(msgspec.Struct, frozen=True, kw_only=True):
    """A job's state has changed."""

    job_id: JobId
    status: JobStatus
    reason: str


Decision = StartRun | StopRun | SetRunSpeed | AskAdvice | JobChanged
