"""The lines of a trace, and conversions from the types of the decision cores."""

import hashlib
from typing import Any

import msgspec

from ..common import (
    Epoch,
    PartitionId,
    PistachioliftError,
)
from ..jobs import (
    JobSpec,
    LedgerEntry,
)
from ..requests import (
    AttemptReport,
    EndedRequest,
    RequestSpec,
)
from .trace_decisions import (
    ConfirmationAsked,
    Granted,
    IntentWrite,
    JobDropped,
    JobDurable,
    JobOver,
    LeaseRenewed,
    LedgerPut,
    OutcomeWrite,
    StopSent,
    TaskCommanded,
    TaskStarted,
    Told,
    TraceDecision,
    command_kind,
    describe_decision,
)
from .trace_events import (
    Adopted,
    AttemptConfirmed,
    AttemptReported,
    Cancelled,
    CommandAnswered,
    EndedRestored,
    EntryLost,
    EpochChanged,
    IntentsFailed,
    IntentsWritten,
    JobCancelled,
    JobQuotaSet,
    JobsStarted,
    JobSubmitted,
    KindSet,
    LedgerFailed,
    LedgerRestored,
    LedgerWritten,
    MemoryBegan,
    OrphanAdopted,
    QuotaSet,
    RecordingStopped,
    RequestsStarted,
    SharesSet,
    Submitted,
    Ticked,
    TraceEvent,
    UpstreamLeaving,
    UpstreamRemoved,
    UpstreamSet,
    WeightSet,
    WorkerJoined,
    WorkerLeaving,
    WorkerLost,
    WorkerReported,
)

__all__ = [
    "Adopted",
    "AttemptConfirmed",
    "AttemptReported",
    "Cancelled",
    "CommandAnswered",
    "ConfirmationAsked",
    "EndedRestored",
    "EntryLost",
    "EpochChanged",
    "Granted",
    "IntentWrite",
    "IntentsFailed",
    "IntentsWritten",
    "JobCancelled",
    "JobDropped",
    "JobDurable",
    "JobOver",
    "JobQuotaSet",
    "JobSubmitted",
    "JobsStarted",
    "KindSet",
    "LeaseRenewed",
    "LedgerFailed",
    "LedgerPut",
    "LedgerRestored",
    "LedgerWritten",
    "MemoryBegan",
    "OrphanAdopted",
    "OutcomeWrite",
    "QuotaSet",
    "RecordingStopped",
    "RequestsStarted",
    "SharesSet",
    "StopSent",
    "Submitted",
    "TaskCommanded",
    "TaskStarted",
    "Ticked",
    "Told",
    "TraceDecision",
    "TraceEvent",
    "TraceLine",
    "UpstreamLeaving",
    "UpstreamRemoved",
    "UpstreamSet",
    "WeightSet",
    "WorkerJoined",
    "WorkerLeaving",
    "WorkerLost",
    "WorkerReported",
    "command_kind",
    "decision_types",
    "describe_decision",
    "describe_ended",
    "describe_report",
    "entry_with_payload_digest",
    "error_name",
    "event_types",
    "with_payload_digest",
    "with_short_digest",
]

# The name of the algorithm and 16 digits, enough to distinguish the bodies of a trace.
DIGEST_CHARACTERS = len("sha256:") + 16


class TraceLine(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One event.

    :param stream: number of the core in the file; each start gets a new one.
    :param at_s: reading of the monotonic clock, in seconds.
    :param error: code of the error that the core raised, or empty.
    """

    stream: int
    at_s: float
    partition_id: PartitionId
    epoch: Epoch
    event: Any
    decisions: list[Any] = []
    error: str = ""


# Conversion


def with_short_digest(spec: RequestSpec) -> RequestSpec:
    """Return a specification with a shortened digest of the body."""
    digest = spec.body_digest[:DIGEST_CHARACTERS]
    return msgspec.structs.replace(spec, body_digest=digest)


def with_payload_digest(spec: JobSpec) -> JobSpec:
    """Return a specification with a digest instead of the payload."""
    if not spec.payload:
        return spec
    digest = hashlib.sha256(spec.payload.encode()).hexdigest()
    return msgspec.structs.replace(spec, payload=digest[:DIGEST_CHARACTERS])


def entry_with_payload_digest(entry: LedgerEntry) -> LedgerEntry:
    """Return a ledger entry with a digest instead of the payload."""
    return msgspec.structs.replace(entry, spec=with_payload_digest(entry.spec))


def describe_report(report: AttemptReport) -> AttemptReported:
    """Return the event for an entry instance's report."""
    answer = report.answer
    return AttemptReported(
        report.request_id,
        report.attempt_id,
        report.result,
        report.run_s,
        report.body_held,
        answer.status if answer else None,
        len(answer.body) if answer else 0,
    )


def describe_ended(ended: EndedRequest) -> EndedRestored:
    """Return the event for a request that ended under an earlier owner."""
    answer = ended.result.answer
    return EndedRestored(
        ended.request_id,
        ended.kind_id,
        ended.body_digest[:DIGEST_CHARACTERS],
        ended.result.outcome,
        ended.result.code,
        ended.ended_s,
        ended.intent_entry,
        answer.status if answer else None,
        len(answer.body) if answer else 0,
    )


def error_name(error: Exception) -> str:
    """Return the code of a typed error, or the class name of any other error."""
    if isinstance(error, PistachioliftError):
        return error.code.value
    return type(error).__name__


def event_types() -> tuple[type[TraceEvent], ...]:
    """Return all types of events."""
    return tuple(TraceEvent.__subclasses__())


def decision_types() -> tuple[type[TraceDecision], ...]:
    """Return all types of decisions."""
    return tuple(TraceDecision.__subclasses__())
