"""State of one partition at one instance."""

from collections.abc import Callable, Container
from dataclasses import dataclass, field
from math import inf

from ..common import DataCentreId, Epoch, InstanceId, PartitionId
from .directory import DirectoryView
from .machine import OwnershipPhase, build_machine
from .record import PartitionRecord
from .timings import OwnershipTimings

__all__ = ["InstanceLease", "PartitionState", "PendingWrite"]

_new_machine = build_machine()


@dataclass(frozen=True, slots=True)
class InstanceLease:
    """The lease of this instance; times are readings of its own clock, in seconds.

    :param key_version: version at which the instance key was written under the lease.
    :param sent_at_s: time before the last successful renewal was sent.
    :param valid_until_s: time until which the store certainly keeps the lease.
    """

    lease_id: int
    key_version: int
    sent_at_s: float
    valid_until_s: float


@dataclass(slots=True)
class PendingWrite:
    """A write of the record whose outcome is not known.

    :param has_failed: whether the call has failed. The write may still take effect
        until the version of the record has increased.
    """

    record: PartitionRecord
    expected_version: int
    sent_at_s: float
    has_failed: bool = False


@dataclass(eq=False)
class PartitionState:
    """State of one partition; also the context of its state machine.

    :param version: version of the last record seen; 0 for none, -1 if not read yet.
    :param pending: writes that may still take effect.
    :param must_read: whether the record must be read from the store.
    :param outdated: whether a conflict has shown that the record has changed.
    :param removed: whether the partition is no longer configured.
    :param last_renewal_s: time of the last renewal of a lease that counts for the
        record.
    :param promise_given_until_s: end of the promise that this instance has given.
    :param promises_received_until_s: ends of the promises received, by instance.
    :param owner_absent_since_s: time at which the owner's key was first known to be
        missing at a version that is not older than the record.
    :param all_absent_since_s: the same for the keys of the owner and all successors.
    :param missing_from_directory_since_s: for members that the directory's answers lack
        while all keys are missing, the time at which the first such answer was handled.
    """

    partition_id: PartitionId
    data_centre: DataCentreId
    emit: Callable
    timings: OwnershipTimings
    record: PartitionRecord | None = None
    version: int = -1
    pending: list[PendingWrite] = field(default_factory=list)
    next_write_s: float = -inf
    next_read_s: float = -inf
    must_read: bool = False
    outdated: bool = False
    removed: bool = False
    phase: OwnershipPhase = OwnershipPhase.FOLLOWING
    decided_epoch: Epoch = Epoch(0)
    deciding_since_s: float = inf
    next_move_check_s: float = -inf
    recovered: bool = False
    recovery_epoch: Epoch = Epoch(0)
    wait_until_s: float = inf
    last_renewal_s: float = -inf
    promise_given_until_s: float = -inf
    promises_received_until_s: dict[InstanceId, float] = field(default_factory=dict)
    promise_requests_sent_s: dict[tuple[InstanceId, int], float] = field(
        default_factory=dict
    )
    next_promise_request_s: float = -inf
    owner_absent_since_s: float | None = None
    all_absent_since_s: float | None = None
    missing_from_directory_since_s: dict[InstanceId, float] = field(
        default_factory=dict
    )
    unowned_since_s: float | None = None

    def __post_init__(self):
        self.machine = _new_machine(self)

    @property
    def epoch(self) -> Epoch:
        """Epoch of the last record seen; 0 for none."""
        return Epoch(0) if self.record is None else self.record.epoch

    @property
    def owner(self) -> InstanceId | None:
        """Owner in the last record seen, or ``None``."""
        return None if self.record is None else self.record.owner

    def needs_no_review(self, instances: Container[InstanceId]) -> bool:
        """Return whether another instance owns the partition and nothing is due.

        This applies to most partitions of a large fleet, so their review is skipped.
        """
        return (
            self.phase is OwnershipPhase.FOLLOWING
            and self.record is not None
            and self.record.owner in instances
            and self.owner_absent_since_s is None
            and self.all_absent_since_s is None
            and not (self.pending or self.must_read or self.removed)
        )

    @property
    def next_owner(self) -> InstanceId | None:
        """Owner after a handover in progress, otherwise the current owner."""
        if self.phase is OwnershipPhase.HANDING_OVER and self.pending:
            return self.pending[-1].record.owner
        return self.owner

    def possible_successors(self) -> set[InstanceId] | None:
        """Return the instances that may take over before the outage limit.

        A write with an unknown outcome may have changed the successors, so the
        successors of all records that may be in the store are included.

        :returns: ``None`` if one of these records has no successors, because then any
            instance may take over.
        """
        records = [self.record, *(write.record for write in self.pending)]
        if any(record is None or not record.successors for record in records):
            return None
        return {each for record in records for each in record.successors}

    def lease_authority_end_s(self, lease: InstanceLease | None) -> float:
        """Return the end of the authority that the lease gives.

        The lease counts only if the instance key is older than the record. An instance
        that saw the deletion of an older key may have sent a takeover, which fails only
        after a change of the record's version.
        """
        if lease is None or lease.key_version >= self.version:
            return -inf
        return lease.valid_until_s

    def promise_authority_end_s(self) -> float:
        """Return the end of the authority that promises give.

        All possible successors must have promised. After the outage limit any instance
        may take over. It counts the limit from the time when it found the owner's key
        missing, which is later than the owner's last renewal.
        """
        successors = self.possible_successors()
        if successors is None:
            return -inf
        limit_s = self.timings.outage_limit_s
        end_s = self.last_renewal_s + limit_s - self.timings.margin_s(limit_s)
        for each in successors:
            end_s = min(end_s, self.promises_received_until_s.get(each, -inf))
        return end_s

    def authority_end_s(
        self, lease: InstanceLease | None, directory: DirectoryView
    ) -> float:
        """Return the end of this instance's authority, on its own clock."""
        listed_until_s = directory.promise_reliance_end_s(self.last_renewal_s)
        by_promises_s = min(self.promise_authority_end_s(), listed_until_s)
        return max(self.lease_authority_end_s(lease), by_promises_s)

    def clear_ownership(self) -> None:
        """Reset the state of an earlier period of ownership."""
        self.recovered = False
        self.recovery_epoch = Epoch(0)
        self.wait_until_s = inf
        self.last_renewal_s = -inf
        self.promises_received_until_s.clear()
        self.promise_requests_sent_s.clear()
