"""Client of the workers, which run tasks of jobs under leases."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from twisted.internet.interfaces import IReactorTime

from ..common import (
    Epoch,
    JobId,
    MalformedMessageError,
    Message,
    PartitionId,
    TaskId,
    UpstreamUnreachableError,
    decode_json,
    encode_json,
)
from .directory import Capacity
from .http import ClientsByAddress

__all__ = [
    "CommandAction",
    "CommandBatch",
    "CommandResult",
    "CommandStatus",
    "HttpWorkerClient",
    "TaskCommand",
    "TaskReport",
    "TaskState",
    "WorkerAnswer",
    "WorkerClient",
]

CALL_TIMEOUT_S = 2.0
ANSWER_LIMIT_BYTES = 4 * 1024 * 1024


class CommandAction(Enum):
    """Action of a command on a task."""

    START = "start"
    STOP = "stop"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"


class CommandStatus(Enum):
    """A worker's answer to a command."""

    ACCEPTED = "accepted"
    STALE_EPOCH = "stale_epoch"
    TOO_LATE = "too_late"
    NO_CAPACITY = "no_capacity"
    UNKNOWN_TASK = "unknown_task"


class TaskState(Enum):
    """State of a task on a worker."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease_expired"


class TaskCommand(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A command for one task; fields after ``action`` apply to ``START`` only.

    :param resources: resources that the task may use.
    :param run_s: declared run time, in seconds; 0 for a service.
    :param payload: what to run, copied from the job.
    """

    task_id: TaskId
    action: CommandAction
    job_id: JobId = JobId("")
    resources: Capacity = Capacity()
    run_s: float = 0.0
    payload: str = ""


class CommandBatch(Message):
    """Commands from one partition's owner to one worker.

    :param start_before_ms: wall clock time, in milliseconds since the Unix epoch,
        after which the worker must not carry out the batch.
    :param renew_lease_s: new duration of the leases of all tasks of the partition on
        this worker, in seconds from receipt; 0 does not renew them.
    """

    partition_id: PartitionId
    epoch: Epoch
    start_before_ms: int
    renew_lease_s: float = 0.0
    commands: list[TaskCommand] = []


class CommandResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one command."""

    task_id: TaskId
    status: CommandStatus


class TaskReport(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """State and resource usage of one task; the usage may lag by seconds."""

    task_id: TaskId
    job_id: JobId
    partition_id: PartitionId
    state: TaskState
    resources: Capacity = Capacity()
    used_cpu_milli: int = 0
    used_memory_mb: int = 0
    run_s: float = 0.0
    checkpoint_s: float = 0.0


class WorkerAnswer(Message):
    """Results of a batch and the worker's report of its tasks.

    :param highest_epoch: highest epoch that the worker has received for the partition.
    """

    highest_epoch: Epoch
    results: list[CommandResult] = []
    tasks: list[TaskReport] = []


class WorkerClient(ABC):
    """Sends command batches to workers."""

    @abstractmethod
    async def send(self, address: str, batch: CommandBatch) -> WorkerAnswer:
        """Send a batch.

        :raises UpstreamUnreachableError: if no valid answer arrived; the worker may
            have carried out the batch.
        """


class HttpWorkerClient(WorkerClient):
    """Client of workers over HTTP."""

    def __init__(self, reactor: IReactorTime):
        self._clients = ClientsByAddress(
            reactor, timeout_s=CALL_TIMEOUT_S, make_error=UpstreamUnreachableError
        )

    async def send(self, address: str, batch: CommandBatch) -> WorkerAnswer:
        """See :meth:`WorkerClient.send`."""
        status, body = await self._clients.get(address).call(
            "POST", "/v1/commands", body=encode_json(batch)
        )
        if status != 200:
            raise UpstreamUnreachableError(f"HTTP status {status}, expected 200")
        try:
            return decode_json(body, WorkerAnswer, limit_bytes=ANSWER_LIMIT_BYTES)
        except MalformedMessageError as failure:
            raise UpstreamUnreachableError(f"malformed answer: {failure}") from failure

    async def close(self) -> None:
        """Close all idle connections."""
        await self._clients.close()
