"""Decisions of the decision cores, as recorded in a trace."""

import zlib

import msgspec

from ..common import (
    AttemptId,
    ErrorCode,
    InstanceId,
    JobId,
    Outcome,
    RequestId,
    TaskId,
    UpstreamId,
    WorkerId,
)
from ..jobs import (
    CheckpointTask,
    EndReason,
    JobAccepted,
    JobDecision,
    JobEnded,
    JobRefused,
    LedgerEntry,
    LedgerWrite,
    RenewLease,
    Resources,
    StartTask,
    StopTask,
    ThrottleTask,
)
from ..requests import (
    ConfirmAttempt,
    EndRequest,
    Grant,
    RecordOutcome,
    StopAttempt,
    WriteIntent,
)

__all__ = [
    "ConfirmationAsked",
    "Granted",
    "IntentWrite",
    "JobDropped",
    "JobDurable",
    "JobOver",
    "LeaseRenewed",
    "LedgerPut",
    "OutcomeWrite",
    "StopSent",
    "TaskCommanded",
    "TaskStarted",
    "Told",
    "TraceDecision",
    "command_kind",
    "describe_decision",
]


class TraceDecision(
    msgspec.Struct, tag_field="do", tag=True, omit_defaults=True, frozen=True
):
    """Base class of the recorded decisions of a core."""


class Granted(TraceDecision, frozen=True):
    """See ``Grant``."""

    request_id: RequestId
    entry_id: InstanceId
    attempt_id: AttemptId
    upstream_id: UpstreamId
    start_before_s: float
    run_limit_s: float


class Told(TraceDecision, frozen=True):
    """The outcome that is reported to the entry instance; see ``EndRequest``."""

    request_id: RequestId
    entry_id: InstanceId
    outcome: Outcome
    code: ErrorCode | None = None
    retry_after_s: float | None = None
    status: int | None = None


class StopSent(TraceDecision, frozen=True):
    """See ``StopAttempt``."""

    attempt_id: AttemptId


class ConfirmationAsked(TraceDecision, frozen=True):
    """See ``ConfirmAttempt``."""

    attempt_id: AttemptId
    stop: bool


class IntentWrite(TraceDecision, frozen=True):
    """See ``WriteIntent``."""

    request_id: RequestId
    attempt_id: AttemptId


class OutcomeWrite(TraceDecision, frozen=True):
    """See ``RecordOutcome``."""

    request_id: RequestId
    outcome: Outcome


class TaskStarted(TraceDecision, frozen=True):
    """See ``StartTask``."""

    worker_id: WorkerId
    task_id: TaskId
    job_id: JobId
    resources: Resources


class TaskCommanded(TraceDecision, frozen=True):
    """A stop, checkpoint or throttle of a task."""

    command: str
    worker_id: WorkerId
    task_id: TaskId
    reason: EndReason | None = None


class LeaseRenewed(TraceDecision, frozen=True):
    """See ``RenewLease``."""

    worker_id: WorkerId
    lease_s: float


class LedgerPut(TraceDecision, frozen=True):
    """See ``LedgerWrite``; has a checksum of each entry, ``None`` for a removed one."""

    batch_id: int
    checksums_by_job: dict[JobId, int | None]


class JobDurable(TraceDecision, frozen=True):
    """See ``JobAccepted``."""

    job_id: JobId


class JobDropped(TraceDecision, frozen=True):
    """The refusal of a job that could not be stored; see ``JobRefused``."""

    job_id: JobId
    code: ErrorCode


class JobOver(TraceDecision, frozen=True):
    """The end of a job; see ``JobEnded``."""

    job_id: JobId
    reason: EndReason
    code: ErrorCode | None
    tasks_done: int


def command_kind(command: JobDecision) -> str:
    """Return the name of a command's type."""
    return type(command).__name__


def _checksum(entry: LedgerEntry | None) -> int | None:
    # The specification is left out because it is recorded with the submission.
    if entry is None:
        return None
    fields = [getattr(entry, n) for n in entry.__struct_fields__ if n != "spec"]
    return zlib.crc32(msgspec.msgpack.encode(fields))


def describe_decision(decision: object) -> TraceDecision:
    """Return the recorded form of a decision."""
    match decision:
        case Grant():
            return Granted(
                decision.request_id,
                decision.entry_id,
                decision.attempt_id,
                decision.upstream_id,
                decision.start_before_s,
                decision.run_limit_s,
            )
        case EndRequest(result=result):
            return Told(
                decision.request_id,
                decision.entry_id,
                result.outcome,
                result.code,
                result.retry_after_s,
                result.answer.status if result.answer else None,
            )
        case StopAttempt():
            return StopSent(decision.attempt_id)
        case ConfirmAttempt():
            return ConfirmationAsked(decision.attempt_id, decision.stop)
        case WriteIntent():
            return IntentWrite(decision.intent.request_id, decision.attempt_id)
        case RecordOutcome(record=record):
            return OutcomeWrite(record.request_id, record.outcome)
    return _describe_job_decision(decision)


def _describe_job_decision(decision: object) -> TraceDecision:
    match decision:
        case StartTask():
            return TaskStarted(
                decision.worker_id,
                decision.task_id,
                decision.job_id,
                decision.resources,
            )
        case StopTask() | CheckpointTask() | ThrottleTask():
            return TaskCommanded(
                command_kind(decision),
                decision.worker_id,
                decision.task_id,
                decision.reason if isinstance(decision, StopTask) else None,
            )
        case RenewLease():
            return LeaseRenewed(decision.worker_id, decision.lease_s)
        case LedgerWrite():
            checksums = {job: _checksum(e) for job, e in decision.entries.items()}
            return LedgerPut(decision.batch_id, checksums)
        case JobAccepted():
            return JobDurable(decision.job_id)
        case JobRefused():
            return JobDropped(decision.job_id, decision.code)
        case JobEnded():
            return JobOver(
                decision.job_id, decision.reason, decision.code, decision.tasks_done
            )
    raise TypeError(f"{type(decision).__name__} is not a decision")
