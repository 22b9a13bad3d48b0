"""Inputs of the decision cores, as recorded in a trace."""

import msgspec

from ..common import (
    AttemptId,
    CustomerId,
    Epoch,
    ErrorCode,
    InstanceId,
    JobId,
    KindId,
    Outcome,
    RequestId,
    TaskId,
    UpstreamId,
    WorkerId,
)
from ..jobs import (
    CommandStatus,
    JobSpec,
    LedgerEntry,
    Resources,
    TaskReport,
    WorkerSpec,
)
from ..requests import AttemptResult, ClassShares, KindPolicy, RequestSpec

__all__ = [
    "Adopted",
    "AttemptConfirmed",
    "AttemptReported",
    "Cancelled",
    "CommandAnswered",
    "EndedRestored",
    "EntryLost",
    "EpochChanged",
    "IntentsFailed",
    "IntentsWritten",
    "JobCancelled",
    "JobQuotaSet",
    "JobSubmitted",
    "JobsStarted",
    "KindSet",
    "LedgerFailed",
    "LedgerRestored",
    "LedgerWritten",
    "MemoryBegan",
    "OrphanAdopted",
    "QuotaSet",
    "RecordingStopped",
    "RequestsStarted",
    "SharesSet",
    "Submitted",
    "Ticked",
    "TraceEvent",
    "UpstreamLeaving",
    "UpstreamRemoved",
    "UpstreamSet",
    "WeightSet",
    "WorkerJoined",
    "WorkerLeaving",
    "WorkerLost",
    "WorkerReported",
]


class TraceEvent(
    msgspec.Struct, tag_field="event", tag=True, omit_defaults=True, frozen=True
):
    """Base class of the recorded inputs of a core."""


class RequestsStarted(TraceEvent, frozen=True):
    """A request scheduler was created, with its random seed."""

    version: str
    seed: int


class JobsStarted(TraceEvent, frozen=True):
    """A job scheduler was created, with its random seed."""

    version: str
    seed: int


class EpochChanged(TraceEvent, frozen=True):
    """Later decisions carry the epoch of this line."""


class RecordingStopped(TraceEvent, frozen=True):
    """Recording stopped after this line."""

    reason: str


class Ticked(TraceEvent, frozen=True):
    """``tick`` was called."""


# Settings


class KindSet(TraceEvent, frozen=True):
    """The settings of a kind, when first used or changed."""

    customer_id: CustomerId
    kind_id: KindId
    policy: KindPolicy


class WeightSet(TraceEvent, frozen=True):
    """The weight of a customer."""

    customer_id: CustomerId
    weight: int


class SharesSet(TraceEvent, frozen=True):
    """How the classes divide the slots."""

    shares: ClassShares


class QuotaSet(TraceEvent, frozen=True):
    """The slots that a customer may use; 0 means no limit."""

    customer_id: CustomerId
    slots: int


# Requests


class Submitted(TraceEvent, frozen=True):
    """See ``RequestScheduler.submit``."""

    spec: RequestSpec
    granted_before: bool = True


class AttemptReported(TraceEvent, frozen=True):
    """See ``RequestScheduler.attempt_ended``.

    :param answer_bytes: size of the answer, if there was one.
    """

    request_id: RequestId
    attempt_id: AttemptId
    result: AttemptResult
    run_s: float
    body_held: bool = True
    status: int | None = None
    answer_bytes: int = 0


class AttemptConfirmed(TraceEvent, frozen=True):
    """See ``RequestScheduler.attempt_confirmed``."""

    attempt_id: AttemptId
    result: AttemptResult | None


class IntentsWritten(TraceEvent, frozen=True):
    """See ``RequestScheduler.intents_written``."""

    attempt_ids: list[AttemptId]


class IntentsFailed(TraceEvent, frozen=True):
    """See ``RequestScheduler.intents_failed``."""

    attempt_ids: list[AttemptId]


class Cancelled(TraceEvent, frozen=True):
    """See ``RequestScheduler.cancel``."""

    request_id: RequestId
    entry_id: InstanceId


class EntryLost(TraceEvent, frozen=True):
    """See ``RequestScheduler.entry_lost``."""

    entry_id: InstanceId


class Adopted(TraceEvent, frozen=True):
    """See ``RequestScheduler.adopt``."""

    spec: RequestSpec
    attempt_id: AttemptId
    upstream_id: UpstreamId
    run_limit_s: float


class OrphanAdopted(TraceEvent, frozen=True):
    """See ``RequestScheduler.adopt_orphan``."""

    request_id: RequestId
    attempt_id: AttemptId
    upstream_id: UpstreamId
    run_limit_s: float


class MemoryBegan(TraceEvent, frozen=True):
    """See ``RequestScheduler.forget_before``."""


class EndedRestored(TraceEvent, frozen=True):
    """See ``RequestScheduler.restore_ended``."""

    request_id: RequestId
    kind_id: str
    body_digest: str
    outcome: Outcome
    code: ErrorCode | None
    ended_s: float
    intent_entry: InstanceId | None = None
    status: int | None = None
    answer_bytes: int = 0


class UpstreamSet(TraceEvent, frozen=True):
    """See ``UpstreamPool.upsert``."""

    upstream_id: UpstreamId
    slots: int


class UpstreamLeaving(TraceEvent, frozen=True):
    """See ``UpstreamPool.mark_leaving``."""

    upstream_id: UpstreamId


class UpstreamRemoved(TraceEvent, frozen=True):
    """See ``UpstreamPool.remove``."""

    upstream_id: UpstreamId


# Jobs


class JobSubmitted(TraceEvent, frozen=True):
    """See ``JobScheduler.submit_job``."""

    spec: JobSpec


class JobCancelled(TraceEvent, frozen=True):
    """See ``JobScheduler.cancel_job``."""

    customer_id: CustomerId
    job_id: JobId


class WorkerJoined(TraceEvent, frozen=True):
    """See ``JobScheduler.worker_joined``."""

    worker: WorkerSpec


class WorkerLeaving(TraceEvent, frozen=True):
    """See ``JobScheduler.worker_leaving``."""

    worker_id: WorkerId


class WorkerLost(TraceEvent, frozen=True):
    """See ``JobScheduler.worker_lost``."""

    worker_id: WorkerId


class WorkerReported(TraceEvent, frozen=True):
    """See ``JobScheduler.worker_report``."""

    worker_id: WorkerId
    reports: list[TaskReport]


class CommandAnswered(TraceEvent, frozen=True):
    """See ``JobScheduler.command_result``.

    :param command: name of the type of the decision that was sent.
    """

    command: str
    worker_id: WorkerId
    task_id: TaskId | None
    issued_s: float
    status: CommandStatus | None = None


class LedgerWritten(TraceEvent, frozen=True):
    """See ``JobScheduler.ledger_written``."""

    batch_id: int


class LedgerFailed(TraceEvent, frozen=True):
    """See ``JobScheduler.ledger_failed``."""

    batch_id: int


class LedgerRestored(TraceEvent, frozen=True):
    """See ``JobScheduler.restore``."""

    entries: list[LedgerEntry]
    epoch: Epoch


class JobQuotaSet(TraceEvent, frozen=True):
    """See ``JobScheduler.set_quota``."""

    customer_id: CustomerId
    share: Resources | None
