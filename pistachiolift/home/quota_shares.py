"""Shares of a customer's job quota that the owners of the partitions may use.

All shares of a customer are one value in the store. During a store outage they stay as
they are. Rejected alternatives:

- Equal static shares: a customer whose jobs are in one partition would get only a
  fraction of its quota.
- Transfers by messages between owners: the totals must survive takeovers and changes of
  the quota, so a durable record is needed anyway.
- Loans that expire: a long-running service would never return its loan.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from ..common import NO_LIMIT, Epoch, PartitionId, QuotaDemand
from ..jobs import Resources

__all__ = [
    "NO_RESOURCES",
    "UNLIMITED",
    "CustomerShare",
    "QuotaRecord",
    "ShareEntry",
    "next_share",
]

# A share is returned after it has been idle for this long. Tasks of one job follow each
# other faster, so a running job does not return and reacquire its share.
RELEASE_AFTER_S = 5.0
NO_RESOURCES = Resources()
UNLIMITED = Resources(NO_LIMIT, NO_LIMIT, NO_LIMIT)


class ShareEntry(msgspec.Struct, frozen=True, array_like=True):
    """Share of one partition and the epoch of the owner that wrote it."""

    epoch: Epoch
    size: Resources


class QuotaRecord(msgspec.Struct, frozen=True):
    """The shares of one customer, stored as one value.

    The record is changed by compare-and-swap only, and every change keeps the sum at or
    below the quota that is in force at its writer.
    """

    shares: Mapping[PartitionId, ShareEntry] = {}

    def total(self) -> Resources:
        """Return the sum of all shares."""
        total = NO_RESOURCES
        for entry in self.shares.values():
            total = total.plus(entry.size)
        return total

    def with_share(
        self, partition_id: PartitionId, epoch: Epoch, size: Resources
    ) -> "QuotaRecord":
        """Return a copy of the record with a new share of one partition."""
        shares = {**self.shares, partition_id: ShareEntry(epoch, size)}
        return QuotaRecord(shares)


def _map_components(function: Callable[..., int], *sizes: Resources) -> Resources:
    names = Resources.__struct_fields__
    return Resources(
        *(function(*(getattr(size, name) for size in sizes)) for name in names)
    )


def next_share(
    current: Resources,
    free: Resources,
    used: Resources,
    demand: Sequence[QuotaDemand],
) -> Resources:
    """Return the share that a partition should have.

    Quota is acquired in whole units only. Otherwise two partitions could each hold a
    part of what a gang needs and wait for the other part. Beyond the first unit, at
    most half of the free quota is acquired, so that one partition does not acquire
    everything at once.

    :param current: current share.
    :param free: quota that no partition holds; negative after the quota was lowered.
    :param used: what the customer's tasks reserve here.
    :param demand: waiting tasks, most urgent first.
    """
    ceiling = current.plus(_map_components(lambda room: max(0, room), free))
    target = _map_components(min, used, ceiling)
    if target != used:
        return target
    fair_share = _map_components(
        max,
        current,
        current.plus(_map_components(lambda room: max(0, room) // 2, free)),
    )
    for each in demand:
        if not each.count or not each.unit.fits_in(ceiling.minus(target)):
            continue
        count = 1 if target == used else 0
        count = max(
            count, min(each.count, each.unit.count_in(fair_share.minus(target)))
        )
        target = target.plus(each.unit.times(count))
    return target


@dataclass(slots=True)
class CustomerShare:
    """Share of one customer at one owner: its limit and the next change of the record.

    The owner lowers its limit before it lowers the share in the record, and raises the
    limit only after the record. A lost answer of the store can therefore reduce the
    usable share but never exceed the quota.

    The limit is raised only while no other write can be in flight. A new owner first
    writes its own epoch into the record, and after a write without an answer the owner
    first completes another write: any earlier compare-and-swap then fails.

    :param quota: the customer's quota in force.
    :param has_unconfirmed_write: whether an earlier write may still take effect.
    """

    partition_id: PartitionId
    epoch: Epoch
    quota: Resources
    limit: Resources = NO_RESOURCES
    record: QuotaRecord = field(default_factory=QuotaRecord)
    has_unconfirmed_write: bool = False
    _idle_since_s: float | None = None

    def plan(
        self, used: Resources, demand: Sequence[QuotaDemand], now_s: float
    ) -> QuotaRecord | None:
        """Return the record to write, or ``None``; lowers the limit immediately.

        :param now_s: monotonic time, in seconds.
        """
        entry = self.record.shares.get(self.partition_id)
        if entry is not None and entry.epoch > self.epoch:
            self.limit = NO_RESOURCES
            return None
        current = entry.size if entry is not None else NO_RESOURCES
        wanted = self._wanted_share(current, used, demand, now_s)
        is_confirmed = not self.has_unconfirmed_write and (
            entry is None or entry.epoch == self.epoch
        )
        if is_confirmed and wanted == current:
            self.limit = current
            return None
        self.limit = _map_components(min, self.limit, wanted)
        return self.record.with_share(self.partition_id, self.epoch, wanted)

    def _wanted_share(
        self,
        current: Resources,
        used: Resources,
        demand: Sequence[QuotaDemand],
        now_s: float,
    ) -> Resources:
        total = self.record.total()
        if not total.fits_in(self.quota):
            self._idle_since_s = None
            return _scaled(current, total, self.quota)
        wanted = next_share(current, self.quota.minus(total), used, demand)
        if current.fits_in(wanted):
            self._idle_since_s = None
            return wanted
        if self._idle_since_s is None:
            self._idle_since_s = now_s
        if now_s - self._idle_since_s < RELEASE_AFTER_S:
            return _map_components(max, current, wanted)
        return wanted

    def confirm_write(self, record: QuotaRecord) -> None:
        """Apply the share of a record whose write was confirmed."""
        self.record = record
        self.has_unconfirmed_write = False
        self.limit = record.shares[self.partition_id].size


def _scaled(current: Resources, total: Resources, quota: Resources) -> Resources:
    """Return this partition's part of the quota after the quota was lowered."""
    return _map_components(
        lambda part, whole, limit: part if whole <= limit else part * limit // whole,
        current,
        total,
        quota,
    )
