"""Actions of the ownership core, which its caller carries out."""

from enum import Enum

import msgspec

from ..common import Epoch, InstanceId, PartitionId
from .record import PartitionRecord

__all__ = [
    "BeginAuthority",
    "DrainCompleted",
    "EndAuthority",
    "EndReason",
    "EpochChanged",
    "HandOver",
    "ListInstances",
    "OwnershipAction",
    "ReadRecord",
    "RefusalReason",
    "RefusePromise",
    "RequestPromise",
    "SendPromise",
    "StartRecovery",
    "WriteRecord",
]


class EndReason(Enum):
    """Why the authority of an instance over a partition has ended."""

    AUTHORITY_EXPIRED = "authority_expired"
    SUPERSEDED = "superseded"
    DRAINING = "draining"
    REBALANCED = "rebalanced"
    REMOVED = "removed"


class RefusalReason(Enum):
    """Why a promise was refused."""

    UNKNOWN_PARTITION = "unknown_partition"
    SUPERSEDED = "superseded"
    WRITE_PENDING = "write_pending"
    OWNER_ISOLATED = "owner_isolated"


class OwnershipAction(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base class of the actions."""


class WriteRecord(OwnershipAction, frozen=True):
    """Write the record of a partition by compare-and-swap.

    Leads to ``RecordWriteSucceeded`` or ``RecordWriteFailed``.

    :param expected_version: version that the record must have; 0 if no record may
        exist.
    """

    partition_id: PartitionId
    record: PartitionRecord
    expected_version: int


class ReadRecord(OwnershipAction, frozen=True):
    """Read the record of a partition; leads to ``RecordSeen``."""

    partition_id: PartitionId


class ListInstances(OwnershipAction, frozen=True):
    """List the instance keys; leads to ``InstancesSeen``."""


class RequestPromise(OwnershipAction, frozen=True):
    """Request a successor to promise that it does not take over."""

    to_id: InstanceId
    partition_id: PartitionId
    epoch: Epoch
    request_id: int


class SendPromise(OwnershipAction, frozen=True):
    """Promise an owner not to write its record for ``duration_s`` seconds."""

    to_id: InstanceId
    partition_id: PartitionId
    request_id: int
    duration_s: float


class RefusePromise(OwnershipAction, frozen=True):
    """Refuse a promise; the owner needs no message, since it acts on promises only."""

    to_id: InstanceId
    partition_id: PartitionId
    request_id: int
    reason: RefusalReason


class StartRecovery(OwnershipAction, frozen=True):
    """Recover the state of earlier owners; leads to ``PartitionRecovered``.

    :param wait_until_s: clock reading, in seconds, from which no command of an earlier
        owner can start.
    """

    partition_id: PartitionId
    epoch: Epoch
    wait_until_s: float


class BeginAuthority(OwnershipAction, frozen=True):
    """The instance has authority over the partition from now on.

    Follows a recovery, a handover, or an ``EndAuthority`` with the reason
    ``AUTHORITY_EXPIRED``. In the last case no other instance has had authority in the
    meantime, so the state in memory is still valid.
    """

    partition_id: PartitionId
    epoch: Epoch


class EpochChanged(OwnershipAction, frozen=True):
    """The authority continues; later commands must carry the new epoch."""

    partition_id: PartitionId
    epoch: Epoch


class EndAuthority(OwnershipAction, frozen=True):
    """The instance has no authority over the partition from now on.

    With the reason ``SUPERSEDED`` the state in memory is obsolete. This reason can
    follow ``AUTHORITY_EXPIRED``, or a ``StartRecovery`` that did not lead to authority.
    """

    partition_id: PartitionId
    epoch: Epoch
    reason: EndReason


class HandOver(OwnershipAction, frozen=True):
    """Send the state of the partition to its new owner.

    Leads to ``HandOverReceived`` at the new owner. If the message is lost, the new
    owner sees the record and recovers after the waiting period.
    """

    to_id: InstanceId
    partition_id: PartitionId
    record: PartitionRecord
    version: int


class DrainCompleted(OwnershipAction, frozen=True):
    """The draining instance no longer owns any partition.

    The process then revokes its lease and may exit.
    """
