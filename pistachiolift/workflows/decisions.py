"""What the scheduler asks its process to do."""

import msgspec

from ..common import JobId, WorkerId
from .model import JobStatus, StepKey, TaskKey

__all__ = ["AskAdvice", "Decision", "JobChanged", "SetRunSpeed", "StartRun", "StopRun"]


class StartRun(msgspec.Struct, frozen=True, kw_only=True):
    """Start a run on a worker.

    :param ticket: the adviser's approval, empty if the queue needs none.
    :param checkpoint: saved position to resume from, empty for none.
    :param after_record: number of the record that must be durable before.
    """

    task: TaskKey
    number: int
    worker_id: WorkerId
    payload: str
    ticket: str = ""
    checkpoint: str = ""
    after_record: int = 0


class StopRun(msgspec.Struct, frozen=True, kw_only=True):
    """Stop a run, and block it if its start is still on the way.

    :param reason: why, in snake case.
    """

    task: TaskKey
    number: int
    worker_id: WorkerId
    reason: str


class SetRunSpeed(msgspec.Struct, frozen=True, kw_only=True):
    """Let a run that fills a worker use only a share of what is free."""

    task: TaskKey
    number: int
    worker_id: WorkerId
    percent: int


class AskAdvice(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the adviser which workers may run a step.

    :param cost_s: time that the adviser needs for the call, in seconds.
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
