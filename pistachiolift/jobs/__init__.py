"""Decision core for jobs: placement, quotas, health, preemption, ledger."""

from .baselines import BestFitPolicy, DotProductPolicy, FirstFitPolicy
from .decisions import (
    CheckpointTask,
    JobAccepted,
    JobDecision,
    JobEnded,
    JobRefused,
    LedgerEntry,
    LedgerWrite,
    RenewLease,
    RunningEntry,
    StartTask,
    StopTask,
    TaskDecision,
    ThrottleTask,
    WaitingEntry,
)
from .health import WorkerHealth
from .index import WorkerIndex
from .lifecycle import TaskLifecycle
from .model import (
    CommandStatus,
    EndReason,
    JobSpec,
    JobState,
    PolicyName,
    ReportedState,
    Resources,
    TaskReport,
    TaskState,
    WorkerSpec,
    WorkerStatus,
    make_task_id,
    parse_task_id,
    validate_spec,
)
from .policies import (
    BatchPolicy,
    GangPolicy,
    NoPlacement,
    NoPlacementReason,
    Placement,
    PlacementPolicy,
    PlacementRequest,
    ServicePolicy,
)
from .preemption import PreemptionPlan, PreemptionPlanner
from .quota import QuotaDemand, QuotaTable, QuotaUse
from .scheduler import JobScheduler
from .tasks import TaskRecord
from .views import JobExplanation, SchedulerStatus
from .workers import WorkerState

__all__ = [
    "BatchPolicy",
    "BestFitPolicy",
    "CheckpointTask",
    "CommandStatus",
    "DotProductPolicy",
    "EndReason",
    "FirstFitPolicy",
    "GangPolicy",
    "JobAccepted",
    "JobDecision",
    "JobEnded",
    "JobExplanation",
    "JobRefused",
    "JobScheduler",
    "JobSpec",
    "JobState",
    "LedgerEntry",
    "LedgerWrite",
    "NoPlacement",
    "NoPlacementReason",
    "Placement",
    "PlacementPolicy",
    "PlacementRequest",
    "PolicyName",
    "PreemptionPlan",
    "PreemptionPlanner",
    "QuotaDemand",
    "QuotaTable",
    "QuotaUse",
    "RenewLease",
    "ReportedState",
    "Resources",
    "RunningEntry",
    "SchedulerStatus",
    "ServicePolicy",
    "StartTask",
    "StopTask",
    "TaskDecision",
    "TaskLifecycle",
    "TaskRecord",
    "TaskReport",
    "TaskState",
    "ThrottleTask",
    "WaitingEntry",
    "WorkerHealth",
    "WorkerIndex",
    "WorkerSpec",
    "WorkerState",
    "WorkerStatus",
    "make_task_id",
    "parse_task_id",
    "validate_spec",
]
