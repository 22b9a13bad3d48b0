"""Decision core for requests: admission, queueing, grants and retries."""

from .admission import Admission
from .decisions import (
    Answer,
    AttemptReport,
    AttemptResult,
    ConfirmAttempt,
    Decision,
    EndRequest,
    Grant,
    IntentRecord,
    OutcomeRecord,
    RecordOutcome,
    RequestResult,
    StopAttempt,
    WriteIntent,
)
from .ended import EndedRequest, EndedRequests
from .fair_queue import FairQueue
from .model import ClassShares, KindPolicy, PolicySource, RequestSpec, Urgency
from .quota import ClassSlots, SlotUsage, class_slots, has_quota_left
from .request_table import RequestTimings
from .retry import (
    RetryBudget,
    RetryDecision,
    RetryPolicy,
    RetryRefusal,
    backoff_s,
)
from .run_times import RunTimeModel
from .scheduler import RequestScheduler
from .upstream_pool import UpstreamPool, UpstreamState

__all__ = [
    "Admission",
    "Answer",
    "AttemptReport",
    "AttemptResult",
    "ClassShares",
    "ClassSlots",
    "ConfirmAttempt",
    "Decision",
    "EndRequest",
    "EndedRequest",
    "EndedRequests",
    "FairQueue",
    "Grant",
    "IntentRecord",
    "KindPolicy",
    "OutcomeRecord",
    "PolicySource",
    "RecordOutcome",
    "RequestResult",
    "RequestScheduler",
    "RequestSpec",
    "RequestTimings",
    "RetryBudget",
    "RetryDecision",
    "RetryPolicy",
    "RetryRefusal",
    "RunTimeModel",
    "SlotUsage",
    "StopAttempt",
    "UpstreamPool",
    "UpstreamState",
    "Urgency",
    "WriteIntent",
    "backoff_s",
    "class_slots",
    "has_quota_left",
]
