"""Messages between entry instances.

They are encoded as MessagePack arrays; the tag is the first element and the format
version the second, so that a process rejects messages that it cannot decode.
"""

from enum import Enum

import msgspec

from ..common import (
    AttemptId,
    CustomerId,
    DataCentreId,
    Epoch,
    InstanceId,
    KindId,
    MalformedMessageError,
    PartitionId,
    RequestId,
    Revision,
)

__all__ = [
    "MESSAGE_LIMIT_BYTES",
    "AttemptEnd",
    "AttemptEnded",
    "AttemptEndedAck",
    "AttemptGranted",
    "BorrowSlots",
    "CancelRequest",
    "FinishedRequest",
    "HandOver",
    "Heartbeat",
    "HeldAttempt",
    "HomeAnswer",
    "HomeCall",
    "HomeCallKind",
    "LentSlot",
    "NotOwner",
    "OwnershipNotice",
    "PartitionLoad",
    "PartitionState",
    "PeerMessage",
    "RecoverPartition",
    "RequestAccepted",
    "RequestDescription",
    "RequestEnded",
    "ReturnSlots",
    "SettingsOffer",
    "SlotsLent",
    "StopAttempt",
    "StoredAnswer",
    "SubmitRequest",
    "decode_message",
    "encode_message",
]

MESSAGE_LIMIT_BYTES = 2 * 1024 * 1024
FORMAT_VERSION = 1


class AttemptEnd(Enum):
    """How an attempt ended, as the entry instance saw it."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_STARTED = "not_started"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    STOPPED = "stopped"


class RequestDescription(msgspec.Struct, frozen=True, array_like=True):
    """A request as it is sent between instances.

    :param remaining_ms: time to the deadline at the time of sending; an absolute
        time would be wrong, because the clocks of instances differ.
    :param resubmitted: whether the caller has sent the identifier before.
    """

    request_id: RequestId
    customer_id: CustomerId
    kind_id: KindId
    remaining_ms: int
    repeatable: bool
    body_digest: str
    body_bytes: int
    resubmitted: bool = False


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A small answer, stored to answer repeated submissions of a request."""

    status: int
    content_type: str
    body: bytes


class HeldAttempt(msgspec.Struct, frozen=True, array_like=True):
    """An attempt in flight on an entry instance, as reported to a new owner."""

    request: RequestDescription
    attempt_id: AttemptId
    upstream_id: str
    run_limit_ms: int
    address: str = ""


class FinishedRequest(msgspec.Struct, frozen=True, array_like=True):
    """A recently finished request, as reported to a new owner."""

    request: RequestDescription
    outcome: str
    code: str
    answer: StoredAnswer | None


class PartitionLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one partition, sent as part of a heartbeat."""

    partition_id: PartitionId
    epoch: Epoch
    free_slots: int
    queued: int


class LentSlot(msgspec.Struct, frozen=True, array_like=True):
    """A slot of an upstream that is lent to another partition."""

    upstream_id: str
    address: str


class PeerMessage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base class of all messages.

    :param sender: identity of the process that sent the message.
    """

    format_version: int = FORMAT_VERSION
    sender: InstanceId


class Heartbeat(PeerMessage, tag=1):
    """Liveness and load of an instance; at most 150 bytes for two partitions."""

    data_centre: DataCentreId
    revision: Revision
    draining: bool
    loads: list[PartitionLoad]


class SubmitRequest(PeerMessage, tag=2):
    """An entry instance submits or resubmits a request to its home.

    :param held_attempt: the request's attempt in flight on the entry instance.
    :param granted_before: whether the entry instance has started an attempt before.
    """

    partition_id: PartitionId
    request: RequestDescription
    held_attempt: HeldAttempt | None = None
    granted_before: bool = False


class RequestAccepted(PeerMessage, tag=3):
    """The home has queued the request."""

    partition_id: PartitionId
    epoch: Epoch
    request_id: RequestId


class AttemptGranted(PeerMessage, tag=4):
    """A grant, which permits the entry instance to run one attempt."""

    partition_id: PartitionId
    epoch: Epoch
    request_id: RequestId
    attempt_id: AttemptId
    upstream_id: str
    address: str
    start_before_ms: int
    run_limit_ms: int


class AttemptEnded(PeerMessage, tag=5):
    """The result of an attempt.

    :param run_ms: service time measured by the entry instance, in milliseconds.
    :param body_held: whether the entry instance can send the body again.
    """

    partition_id: PartitionId
    request_id: RequestId
    attempt_id: AttemptId
    end: AttemptEnd
    run_ms: int
    body_held: bool
    answer: StoredAnswer | None = None


class AttemptEndedAck(PeerMessage, tag=6):
    """The home has processed an :class:`AttemptEnded`."""

    attempt_id: AttemptId


class RequestEnded(PeerMessage, tag=7):
    """The final outcome of a request.

    :param code: an error code; empty if the request was answered.
    :param retry_after_ms: delay before a retry, in milliseconds; 0 if unspecified.
    """

    partition_id: PartitionId
    request_id: RequestId
    outcome: str
    code: str
    message: str
    retry_after_ms: int = 0
    answer: StoredAnswer | None = None


class CancelRequest(PeerMessage, tag=8):
    """A caller cancels its request."""

    partition_id: PartitionId
    request_id: RequestId
    customer_id: CustomerId


class StopAttempt(PeerMessage, tag=9):
    """The home asks the entry instance to stop an attempt."""

    partition_id: PartitionId
    request_id: RequestId
    attempt_id: AttemptId


class NotOwner(PeerMessage, tag=10):
    """The receiver of a message does not own the partition.

    :param reference: identifier of the rejected request or call.
    :param owner: the last known owner; empty if unknown.
    """

    partition_id: PartitionId
    reference: str
    owner: InstanceId
    epoch: Epoch


class HomeCallKind(Enum):
    """Operator calls that an entry instance forwards to a home."""

    SUBMIT_JOB = "submit_job"
    CANCEL_JOB = "cancel_job"
    GET_JOB = "get_job"
    LIST_JOBS = "list_jobs"
    EXPLAIN = "explain"
    STATUS = "status"


class HomeCall(PeerMessage, tag=11):
    """An operator's call with a JSON document."""

    partition_id: PartitionId
    call_id: str
    kind: HomeCallKind
    subject: str
    document: bytes = b""


class HomeAnswer(PeerMessage, tag=12):
    """Answer to a :class:`HomeCall`.

    :param code: an error code; empty on success.
    :param retry_after_ms: delay before a retry after an error, in milliseconds; 0 if
        unspecified.
    """

    call_id: str
    code: str
    message: str
    document: bytes = b""
    retry_after_ms: int = 0


class RecoverPartition(PeerMessage, tag=13):
    """A new owner asks an entry instance for its state of a partition.

    The entry instance rejects grants of lower epochs from then on.
    """

    partition_id: PartitionId
    epoch: Epoch


class PartitionState(PeerMessage, tag=14):
    """Answer to :class:`RecoverPartition`.

    :param held: attempts in flight.
    :param finished: recently finished requests.
    """

    partition_id: PartitionId
    epoch: Epoch
    held: list[HeldAttempt]
    finished: list[FinishedRequest]


class OwnershipNotice(PeerMessage, tag=15):
    """A message of the ownership protocol, encoded by its core."""

    payload: bytes


class HandOver(PeerMessage, tag=16):
    """State of a partition that a draining owner sends to its successor.

    :param held: attempts in flight.
    :param finished: recently finished requests.
    """

    partition_id: PartitionId
    epoch: Epoch
    held: list[HeldAttempt]
    finished: list[FinishedRequest]


class SettingsOffer(PeerMessage, tag=17):
    """A revision of the settings tree.

    :param data: the encoded tree; empty to request a revision above ``revision``.
    """

    revision: Revision
    data: bytes


class BorrowSlots(PeerMessage, tag=18):
    """A home without free slots asks the owner of another partition for a loan."""

    partition_id: PartitionId
    borrower_partition: PartitionId
    loan_id: str
    count: int


class SlotsLent(PeerMessage, tag=19):
    """Answer to :class:`BorrowSlots`, with at most as many slots as requested."""

    partition_id: PartitionId
    lender_partition: PartitionId
    loan_id: str
    slots: list[LentSlot]


class ReturnSlots(PeerMessage, tag=20):
    """The borrower returns all slots of a loan."""

    partition_id: PartitionId
    loan_id: str


AnyMessage = (
    Heartbeat
    | SubmitRequest
    | RequestAccepted
    | AttemptGranted
    | AttemptEnded
    | AttemptEndedAck
    | RequestEnded
    | CancelRequest
    | StopAttempt
    | NotOwner
    | HomeCall
    | HomeAnswer
    | RecoverPartition
    | PartitionState
    | OwnershipNotice
    | HandOver
    | SettingsOffer
    | BorrowSlots
    | SlotsLent
    | ReturnSlots
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message.

    :returns: MessagePack bytes.
    """
    return _encoder.encode(message)


def decode_message(data: bytes) -> AnyMessage:
    """Decode a message.

    :param data: MessagePack bytes, at most :data:`MESSAGE_LIMIT_BYTES`.
    :raises MalformedMessageError: if the data is too long, has another format
        version or does not match a known message.
    """
    if len(data) > MESSAGE_LIMIT_BYTES:
        raise MalformedMessageError(
            f"message has {len(data)} bytes; at most {MESSAGE_LIMIT_BYTES} are allowed"
        )
    try:
        message = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError(f"cannot decode peer message: {error}") from error
    if message.format_version != FORMAT_VERSION:
        raise MalformedMessageError(
            f"message has format version {message.format_version}; "
            f"this process reads version {FORMAT_VERSION}"
        )
    return message
