"""Ledger records, from which a new owner rebuilds the scheduler's state."""

import msgspec

from ..common import CustomerId, JobId, WorkerId
from .model import (
    CrashCause,
    EndKind,
    JobGraph,
    JobStatus,
    Queue,
    RunCharge,
    TaskKey,
)

__all__ = [
    "JobAccepted",
    "JobCancelled",
    "JobForgotten",
    "JobFinished",
    "LedgerRecord",
    "QueueChanged",
    "RunCrashed",
    "RunPlaced",
    "TaskFinished",
    "WorkerInUse",
    "WorkerReleased",
    "decode_batch",
    "encode_batch",
]


class JobAccepted(msgspec.Struct, frozen=True, tag="job", array_like=True):
    """A job that the system has accepted.

    :param queue: the policy at that time, used if the queue is removed later.
    :param received_ms: Unix time of the first request, in milliseconds.
    :param customer_id: the customer whose job it is; empty for none.
    :param excess: whether its customer had submitted more than its rate allows.
    """

    job_id: JobId
    queue: Queue
    received_ms: int
    graph: JobGraph
    customer_id: CustomerId = CustomerId("")
    excess: bool = False


class JobCancelled(msgspec.Struct, frozen=True, tag="cancel", array_like=True):
    """A job that its caller has cancelled.

    :param at_ms: Unix time of the cancellation, in milliseconds.
    """

    job_id: JobId
    at_ms: int


class TaskFinished(msgspec.Struct, frozen=True, tag="end", array_like=True):
    """The end of a run, written before it is acknowledged to the worker.

    :param run: number of the run; all members of a gang share it.
    :param checkpoint: saved position, empty for none.
    :param at_ms: Unix time at which the owner learned of the end, in milliseconds.
    """

    task: TaskKey
    run: int
    kind: EndKind
    checkpoint: str
    at_ms: int


class RunPlaced(msgspec.Struct, frozen=True, tag="run", array_like=True):
    """A run that is about to be started, written before the start is sent.

    A later owner assumes that the run is on the worker until the worker's run report or
    the end of its lease proves otherwise.

    :param incarnation: start time of the worker's process; a process older than the
        one in the directory has ended.
    :param charge: what the run counts against its customer's cap, also when its job is
        no longer known; ``None`` without a customer.
    """

    task: TaskKey
    run: int
    worker_id: WorkerId
    incarnation: int
    charge: RunCharge | None = None


class RunCrashed(msgspec.Struct, frozen=True, tag="crash", array_like=True):
    """A run whose worker was lost before the run was known to survive its start.

    :param cause: what is known of the loss; a later record of the same run replaces an
        earlier one.
    """

    task: TaskKey
    run: int
    cause: CrashCause


class JobFinished(msgspec.Struct, frozen=True, tag="settled", array_like=True):
    """A finished job, without its graph.

    :param at_ms: Unix time at which the job finished, in milliseconds.
    :param excess: as in :class:`JobAccepted`.
    """

    job_id: JobId
    queue: Queue
    status: JobStatus
    received_ms: int
    at_ms: int
    customer_id: CustomerId = CustomerId("")
    excess: bool = False


class JobForgotten(msgspec.Struct, frozen=True, tag="forget", array_like=True):
    """A finished job that was removed at the end of its retention period."""

    job_id: JobId


class WorkerInUse(msgspec.Struct, frozen=True, tag="use", array_like=True):
    """A worker that may run tasks, written before its first start."""

    worker_id: WorkerId
    address: str
    incarnation: int


class WorkerReleased(msgspec.Struct, frozen=True, tag="release", array_like=True):
    """A worker on which no task can still be running."""

    worker_id: WorkerId
    incarnation: int


class QueueChanged(msgspec.Struct, frozen=True, tag="queue", array_like=True):
    """A queue with unfinished jobs that has got another policy.

    A later owner may have read an older configuration, or one without the queue.

    :param version: version of the configuration with the policy.
    """

    queue: Queue
    version: int


LedgerRecord = (
    JobAccepted
    | JobCancelled
    | TaskFinished
    | RunPlaced
    | RunCrashed
    | JobFinished
    | JobForgotten
    | WorkerInUse
    | WorkerReleased
    | QueueChanged
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[LedgerRecord])


def encode_batch(records: list[LedgerRecord]) -> bytes:
    """Encode the records of one commit."""
    return _encoder.encode(records)


def decode_batch(data: bytes) -> list[LedgerRecord]:
    """Decode the records of one commit.

    :raises msgspec.MsgspecError: if the data is not a batch of records.
    """
    return _decoder.decode(data)
