"""Messages between instances, such as calls from entry instances to an owner."""

from enum import Enum

import msgspec

from ..common import CustomerId, JobId, WorkerId
from ..workflows import (
    JobDetails,
    JobGraph,
    JobStatus,
    PartitionStatistics,
    Queue,
    QueueId,
    StepKey,
)
from .ownership import AUTHORITY_S
from .partition_map import PartitionNumber

__all__ = [
    "Acknowledgement",
    "AdviceReply",
    "Advise",
    "Announce",
    "CallMessage",
    "CancelJob",
    "ConfigurationReply",
    "CountWaiting",
    "DescribePartition",
    "ExplainJob",
    "FRAME_LIMIT_BYTES",
    "Frame",
    "GetConfiguration",
    "GetStatus",
    "Hello",
    "JobAnswer",
    "JobOutcome",
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
    """Outcome of a call about jobs."""

    OK = "ok"
    UNKNOWN_JOB = "unknown_job"
    NOT_OWNER = "not_owner"
    # The job was not accepted and will never run.
    REFUSED = "refused"
    # The job may have been accepted.
    UNDECIDED = "undecided"
    # The identifier belongs to a job of another customer.
    FORBIDDEN = "forbidden"
    # The sender has judged the call under an older configuration than the owner's;
    # nothing was done. Only calls that carry a version have this outcome.
    OLDER_CONFIGURATION = "older_configuration"


class Hello(msgspec.Struct, frozen=True, tag="hello", array_like=True):
    """First message of a connection.

    :param incarnation: identifies the sender's process.
    :param owner_fitness: how well the sender can own a partition, 0 to 1.
    :param partition: partition that calls on the connection are about, if the sender
        opened the connection.
    """

    instance_id: str
    incarnation: str
    owner_fitness: float = 1.0
    partition: PartitionNumber = PartitionNumber(0)


class PeerState(msgspec.Struct, frozen=True, array_like=True):
    """State that an instance reports with each ping and pong.

    :param store_age_s: seconds since the store last answered it.
    :param owned: number of partitions that it owns.
    :param age_s: seconds since it was started.
    :param configuration_version: version of the configuration that it has in force;
        ``None`` before the first, and from an instance of an earlier version.
    :param configuration_age_s: seconds since the store last confirmed, to it or to
        another instance, that this is the newest version.
    """

    store_age_s: float
    owned: int = 0
    age_s: float = 0.0
    configuration_version: int | None = None
    configuration_age_s: float = 0.0


class Ping(msgspec.Struct, frozen=True, tag="ping", array_like=True):
    """Requests a :class:`Pong`, which shows that the connection is alive."""

    state: PeerState


class Pong(msgspec.Struct, frozen=True, tag="pong", array_like=True):
    """Answers a :class:`Ping`."""

    state: PeerState


class SubmitJob(msgspec.Struct, frozen=True, tag="submit", array_like=True):
    """Submits a job.

    :param age_s: seconds since the caller's request arrived.
    :param customer_id: the customer that submits it; empty for none.
    :param configuration_version: version under which the sender has decided about the
        caller's request; ``None`` from an instance of an earlier version.
    """

    job_id: JobId
    queue: Queue
    graph: JobGraph
    age_s: float
    customer_id: CustomerId = CustomerId("")
    configuration_version: int | None = None


class CancelJob(msgspec.Struct, frozen=True, tag="cancel", array_like=True):
    """Cancels a job.

    :param customer_id: the caller's customer; empty for a caller without a key,
        ``None`` if callers need no keys.
    :param configuration_version: as in :class:`SubmitJob`.
    """

    job_id: JobId
    customer_id: CustomerId | None = None
    configuration_version: int | None = None


class GetStatus(msgspec.Struct, frozen=True, tag="status", array_like=True):
    """Requests a job's state.

    :param customer_id: the caller's customer; empty for a caller without a key,
        ``None`` if callers need no keys.
    :param configuration_version: as in :class:`SubmitJob`.
    """

    job_id: JobId
    customer_id: CustomerId | None = None
    configuration_version: int | None = None


class CountWaiting(msgspec.Struct, frozen=True, tag="waiting", array_like=True):
    """Requests the number of a queue's jobs that have not started.

    :param configuration_version: as in :class:`SubmitJob`.
    """

    queue_id: QueueId
    configuration_version: int | None = None


class ExplainJob(msgspec.Struct, frozen=True, tag="explain", array_like=True):
    """Requests the details of a job and of its tasks."""

    job_id: JobId


class DescribePartition(msgspec.Struct, frozen=True, tag="figures", array_like=True):
    """Requests the statistics of the connection's partition."""


class JobAnswer(msgspec.Struct, frozen=True, tag="job", array_like=True):
    """Answers a call about jobs.

    :param status: state of the job, if it was requested.
    :param count: number of jobs, if it was requested.
    :param retry_after_s: time after which a refused job should be submitted again, in
        seconds; 0 if the owner cannot tell.
    :param details: details of the job, if they were requested.
    :param statistics: statistics of the partition, if they were requested.
    :param configuration_version: the owner's version, if the sender's is older.
    """

    outcome: JobOutcome
    status: JobStatus | None = None
    count: int = 0
    details: JobDetails | None = None
    statistics: PartitionStatistics | None = None
    retry_after_s: float = 0.0
    configuration_version: int | None = None


class Announce(msgspec.Struct, frozen=True, tag="announce", array_like=True):
    """Announces a partition's new owner to an instance that may not reach the store.

    :param fence: version of the owner's claim.
    """

    instance_id: str
    incarnation: str
    address: str
    fence: int


class Acknowledgement(msgspec.Struct, frozen=True, tag="noted", array_like=True):
    """Acknowledges a call that has no other answer.

    :param done: whether the call was carried out.
    """

    done: bool = True


class ProbeStore(msgspec.Struct, frozen=True, tag="probe", array_like=True):
    """Asks an instance whether it reaches the store and could take over."""


class TakeOver(msgspec.Struct, frozen=True, tag="takeover", array_like=True):
    """Asks an instance to claim the ownership from an owner that has given it up.

    :param fence: version of the claim to replace.
    :param authority_s: time for which owners before that one may still renew leases;
        an instance of an earlier version does not say.
    """

    fence: int
    authority_s: float = AUTHORITY_S


class GetConfiguration(
    msgspec.Struct, frozen=True, tag="get_configuration", array_like=True
):
    """Requests the configuration that an instance has in force.

    :param accepts_compressed: whether the answer may hold the compressed bytes.
    """

    accepts_compressed: bool = False


class ConfigurationReply(
    msgspec.Struct, frozen=True, tag="configuration", array_like=True
):
    """The configuration that an instance has in force.

    :param version: its version, ``None`` if the instance has none.
    :param value: the bytes that the store holds; ``None`` if they are compressed, or
        too long for a frame.
    :param age_s: seconds since the store last confirmed that it is the newest.
    :param compressed: these bytes compressed by zlib, if the request accepts them.
    """

    version: int | None = None
    value: bytes | None = None
    age_s: float = 0.0
    compressed: bytes | None = None


class Advise(msgspec.Struct, frozen=True, tag="advise", array_like=True):
    """Asks an instance to call the placement adviser.

    :param timeout_s: longest time for the adviser's answer, in seconds.
    """

    step: StepKey
    worker_ids: tuple[WorkerId, ...]
    timeout_s: float


class AdviceReply(msgspec.Struct, frozen=True, tag="advised", array_like=True):
    """The adviser's answer.

    :param tickets: tickets by worker, ``None`` if the call failed.
    :param valid_s: lifetime of the tickets, in seconds.
    """

    tickets: dict[WorkerId, str] | None
    valid_s: float = 0.0


# Calls in which the sender has decided about a caller's request already.
CallMessage = SubmitJob | CancelJob | GetStatus | CountWaiting

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
    | GetConfiguration
    | ConfigurationReply
)


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """A message with the number of the call that it makes or answers.

    :param call: number of the call; 0 for messages that have no answer.
    :param answer: whether the message answers a call.
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

    :raises msgspec.MsgspecError: if the frame is malformed.
    """
    return _decoder.decode(data)
