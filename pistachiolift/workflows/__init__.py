"""Scheduling decisions for jobs that are graphs of steps; performs no I/O."""

from .admission import AdmissionDecision, AdmissionReason
from .caps import CustomerCaps
from .decisions import AskAdvice, Decision, JobChanged, SetRunSpeed, StartRun, StopRun
from .details import (
    JobDetails,
    PartitionStatistics,
    TaskDetails,
    describe_job,
    describe_partition,
)
from .lifecycle import START_DELAY_LIMIT_S
from .model import (
    AdvicePolicy,
    Customer,
    EndKind,
    JobGraph,
    JobStatus,
    PoolId,
    Queue,
    QueueId,
    RunCharge,
    Size,
    Step,
    StepKey,
    TaskKey,
    Worker,
    WorkerState,
)
from .records import (
    JobAccepted,
    JobCancelled,
    JobForgotten,
    LedgerRecord,
    RunPlaced,
    TaskFinished,
    WorkerInUse,
    WorkerReleased,
    decode_batch,
    encode_batch,
)
from .run_reports import SURVIVAL_S, ReportedEnd, ReportedRun
from .scheduler import GraphScheduler, StartAnswer
from .validation import validate_graph

__all__ = [
    "START_DELAY_LIMIT_S",
    "SURVIVAL_S",
    "AdmissionDecision",
    "AdmissionReason",
    "AdvicePolicy",
    "AskAdvice",
    "Customer",
    "CustomerCaps",
    "Decision",
    "EndKind",
    "GraphScheduler",
    "JobAccepted",
    "JobCancelled",
    "JobChanged",
    "JobDetails",
    "JobForgotten",
    "JobGraph",
    "JobStatus",
    "LedgerRecord",
    "PartitionStatistics",
    "PoolId",
    "Queue",
    "QueueId",
    "ReportedEnd",
    "ReportedRun",
    "RunCharge",
    "RunPlaced",
    "SetRunSpeed",
    "Size",
    "StartAnswer",
    "StartRun",
    "Step",
    "StepKey",
    "StopRun",
    "TaskDetails",
    "TaskFinished",
    "TaskKey",
    "Worker",
    "WorkerInUse",
    "WorkerReleased",
    "WorkerState",
    "decode_batch",
    "describe_job",
    "describe_partition",
    "encode_batch",
    "validate_graph",
]
