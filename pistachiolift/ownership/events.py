"""Events that the ownership core handles.

Versions are revisions of the store. Each change in the store has a higher revision than
the changes before.
"""

from enum import Enum

import msgspec

from ..common import DataCentreId, Epoch, InstanceId, PartitionId
from .record import PartitionRecord

__all__ = [
    "DirectorySeen",
    "DrainStarted",
    "HandOverReceived",
    "InstanceLeaseGone",
    "InstancesLeaving",
    "InstancesSeen",
    "LeaseLost",
    "LeaseRenewalFailed",
    "LeaseRenewed",
    "OwnershipEvent",
    "PartitionRecovered",
    "PartitionsConfigured",
    "PromiseReceived",
    "PromiseRequested",
    "RecordSeen",
    "RecordWriteFailed",
    "RecordWriteSucceeded",
    "StoreContact",
    "Tick",
    "WriteFailure",
]


class OwnershipEvent(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base class of the events."""


class WriteFailure(Enum):
    """How a write of a record failed.

    - ``CONFLICT``: the record did not have the expected version.
    - ``UNKNOWN``: there was no answer; the write may still take effect.
    """

    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class Tick(OwnershipEvent, frozen=True):
    """Time has passed; must be sent at least every 0.1 s."""


class PartitionsConfigured(OwnershipEvent, frozen=True):
    """All partitions of the fleet with their data centres."""

    data_centres_by_partition: dict[PartitionId, DataCentreId]


class LeaseRenewed(OwnershipEvent, frozen=True):
    """The instance lease was granted or renewed.

    For a new lease, the event is sent once the lease is granted and the instance key
    is written under it. The key must be written with an expected version of 0, and
    under a new lease after a write with an unknown outcome. Otherwise a delayed write
    could attach the key to an older lease, and the key would be deleted although the
    current lease is renewed.

    :param key_version: version at which the instance key was first written under
        this lease.
    :param sent_at_s: clock reading before the grant or renewal was sent, in seconds.
    :param ttl_s: time to live, in seconds.
    """

    lease_id: int
    key_version: int
    sent_at_s: float
    ttl_s: float


class LeaseRenewalFailed(OwnershipEvent, frozen=True):
    """A renewal has failed without an answer; the lease may have been renewed."""


class LeaseLost(OwnershipEvent, frozen=True):
    """The store has reported that the lease has expired."""

    lease_id: int


class StoreContact(OwnershipEvent, frozen=True):
    """The store has answered a call.

    :param at_s: clock reading before the call was sent, in seconds.
    """

    at_s: float


class RecordSeen(OwnershipEvent, frozen=True):
    """The record of a partition, from a read or a watch.

    :param record: ``None`` if the partition has no record.
    :param version: version of the record; 0 if there is none.
    """

    partition_id: PartitionId
    record: PartitionRecord | None
    version: int


class RecordWriteSucceeded(OwnershipEvent, frozen=True):
    """The record was written with this version."""

    partition_id: PartitionId
    record: PartitionRecord
    version: int


class RecordWriteFailed(OwnershipEvent, frozen=True):
    """A write of a record has failed; see ``WriteFailure``."""

    partition_id: PartitionId
    expected_version: int
    failure: WriteFailure


class InstancesSeen(OwnershipEvent, frozen=True):
    """The instances whose keys exist at one version of the store.

    Comes from a list, or from a watch that continues a list without a gap.

    :param asked_at_s: clock reading before the list was requested; ``None`` if the
        event comes from a watch.
    """

    data_centres_by_instance: dict[InstanceId, DataCentreId]
    version: int
    asked_at_s: float | None = None


class InstanceLeaseGone(OwnershipEvent, frozen=True):
    """A watch reported the deletion of an instance key.

    All earlier changes of instance keys must have been sent as events before. Changes
    that a watch reports after a list are thus sent after the ``InstancesSeen`` of that
    list.

    :param version: version of the store at the deletion.
    """

    instance_id: InstanceId
    version: int


class InstancesLeaving(OwnershipEvent, frozen=True):
    """Instances that the directory or a peer reports as leaving; only a hint."""

    instance_ids: frozenset[InstanceId]


class DirectorySeen(OwnershipEvent, frozen=True):
    """The directory has answered; sent after each answer, even without a change.

    :param entry_ids: the platform's identifiers of all listed entry instances.
    :param at_s: clock reading before the request was sent, in seconds.
    """

    entry_ids: frozenset[InstanceId]
    at_s: float


class PromiseRequested(OwnershipEvent, frozen=True):
    """An owner requests this instance to promise that it does not take over."""

    from_id: InstanceId
    partition_id: PartitionId
    epoch: Epoch
    request_id: int


class PromiseReceived(OwnershipEvent, frozen=True):
    """A successor has promised not to take over.

    :param request_id: identifies the request; the promise counts from the time when the
        request was sent.
    :param duration_s: duration of the promise, in seconds.
    """

    from_id: InstanceId
    partition_id: PartitionId
    request_id: int
    duration_s: float


class PartitionRecovered(OwnershipEvent, frozen=True):
    """The recovery of a partition has collected all state that it can.

    :param confirmed: whether every live entry instance has answered, so that no command
        of a lower epoch can start any more. Otherwise authority does not begin before
        the end of the waiting period.
    """

    partition_id: PartitionId
    epoch: Epoch
    confirmed: bool


class HandOverReceived(OwnershipEvent, frozen=True):
    """The previous owner has handed over its complete state to this instance."""

    from_id: InstanceId
    partition_id: PartitionId
    record: PartitionRecord
    version: int


class DrainStarted(OwnershipEvent, frozen=True):
    """A drain has started: the instance is to hand over all its partitions."""
