"""Messages between instances: calls of entry instances to the owner, and back."""

from enum import Enum

import msgspec

from ..common import JobId, WorkerId
from ..workflows import (
    JobDetails,
    JobGraph,
    JobStatus,
    PartitionStatistics,
    Queue,
    QueueId,
    StepKey,
)
from .partition_map import PartitionNumber

__all__ = [
    "Advise",
    "Advised",
    "Announce",
    "CancelJob",
    "CountWaiting",
    "DescribePartition",
    "ExplainJob",
    "FRAME_LIMIT_BYTES",
    "Frame",
    "GetStatus",
    "Hello",
    "JobAnswer",
    "JobOutcome",
    "Noted",
    "PeerState",
    "Ping",
    "Pong",
    "ProbeStore",
    "SubmitJob",
    "TakeOver",
    "decode_frame",
    "encode_frame",
]

FRAME_LIMIT_BYTES = 1024 * 1024


class JobOutcome(Enum):
    """The owner's answer to a call about jobs."""

    OK = "ok"
    UNKNOWN_JOB = "unknown_job"
    NOT_OWNER = "not_owner"
    # The job was not accepted and never runs.
    REFUSED = "refused"
    # The job may have been accepted.
    UNDECIDED = "undecided"


class Hello(msgspec.Struct, frozen=True, tag="hello", array_like=True):
    """First message of a connection.

    :param incarnation: identifies the sender's process.
    :param owner_fitness: how well the sender can own, 0 to 1.
    :param partition: what calls on the connection are about, if the sender opened it.
    """

    instance_id: str
    incarnation: str
    owner_fitness: float = 1.0
    partition: PartitionNumber = PartitionNumber(0)


class PeerState(msgspec.Struct, frozen=True, array_like=True):
    """What an instance tells of itself again and again.

    :param store_age_s: seconds since it last heard from the store.
    :param owned: number of partitions that it owns.
    :param age_s: seconds since it was started.
    """

    store_age_s: float
    owned: int = 0
    age_s: float = 0.0


class Ping(msgspec.Struct, frozen=True, tag="ping", array_like=True):
    """Asks for a sign of life."""

    state: PeerState


class Pong(msgspec.Struct, frozen=True, tag="pong", array_like=True):
    """A sign of life."""

    state: PeerState


class SubmitJob(msgspec.Struct, frozen=True, tag="submit", array_like=True):
    """Submits a job.

    :param age_s: seconds since the caller's request arrived.
    """

    job_id: JobId
    queue: Queue
    graph: JobGraph
    age_s: float


class CancelJob(msgspec.Struct, frozen=True, tag="cancel", array_like=True):
    """Cancels a job."""

    job_id: JobId


class GetStatus(msgspec.Struct, frozen=True, tag="status", array_like=True):
    """Asks for a job's state."""

    job_id: JobId


class CountWaiting(msgspec.Struct, frozen=True, tag="waiting", array_like=True):
    """Asks for the number of a queue's jobs that have not begun."""

    queue_id: QueueId


class ExplainJob(msgspec.Struct, frozen=True, tag="explain", array_like=True):
    """Asks where a job stands."""

    job_id: JobId


class DescribePartition(msgspec.Struct, frozen=True, tag="figures", array_like=True):
    """Asks for the figures of the connection's partition."""


class JobAnswer(msgspec.Struct, frozen=True, tag="job", array_like=True):
    """Answers a call about jobs.

    :param standing: where the job stands, if that was asked.
    :param figures: those of the partition, if they were asked for.
    """

    outcome: JobOutcome
    status: JobStatus | None = None
    count: int = 0
    details: JobDetails | None = None
    statistics: PartitionStatistics | None = None


class Announce(msgspec.Struct, frozen=True, tag="announce", array_like=True):
    """Tells an instance who owns now; it may not reach the store itself.

    :param fence: version of the owner's claim.
    """

    instance_id: str
    incarnation: str
    address: str
    fence: int


class Acknowledgement(msgspec.Struct, frozen=True, tag="noted", array_like=True):
    """Answers a call that asks for nothing else.

    :param done: whether it could be done.
    """

    done: bool = True


class ProbeStore(msgspec.Struct, frozen=True, tag="probe", array_like=True):
    """Asks an instance whether it reaches the store."""


class TakeOver(msgspec.Struct, frozen=True, tag="takeover", array_like=True):
    """Asks an instance to claim the ownership from an owner that has stopped.

    :param fence: version of the claim to replace.
    """

    fence: int


class Advise(msgspec.Struct, frozen=True, tag="advise", array_like=True):
    """Has an instance ask the placement adviser."""

    step: StepKey
    worker_ids: tuple[WorkerId, ...]
    timeout_s: float


class AdviceReply(msgspec.Struct, frozen=True, tag="advised", array_like=True):
    """The adviser's answer; ``tickets`` is ``None`` if the call failed."""

    tickets: dict[WorkerId, str] | None
    valid_s: float = 0.0


Message = (
    Hello
    | Ping
    | Pong
    | SubmitJob
    | CancelJob
    | GetStatus
    | CountWaiting
    | ExplainJob
    | DescribePartition
    | JobAnswer
    | Announce
    | Acknowledgement
    | ProbeStore
    | TakeOver
    | Advise
    | AdviceReply
)


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """A message with the number of the call that it makes or answers.

    :param call: 0 for messages that are not answered.
    """

    call: int
    answer: bool
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame."""
    return _encoder.encode(frame)


def decode_frame(data: bytes) -> Frame:
    """Decode a frame.

    :raises msgspec.MsgspecError: if it is malformed.
    """
    return _decoder.decode(data)
