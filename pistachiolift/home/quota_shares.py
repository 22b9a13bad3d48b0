"""How much of a customer's job quota the owner of one partition may use.

The shares of a customer are one value in the store. Considered and rejected: equal
static shares (a customer whose jobs are in one partition gets a fraction of its quota);
transfers by messages between owners (their totals must survive a takeover and a changed
quota, so they need a durable record all the same); loans that expire (a service never
returns them). In an outage of the store the shares stay as they are.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from ..common import Epoch, PartitionId
from ..jobs import QuotaDemand, Resources

__all__ = [
    "NO_RESOURCES",
    "UNLIMITED",
    "CustomerShare",
    "QuotaRecord",
    "ShareEntry",
    "next_share",
]

# A share that has been idle for so long goes back. Tasks of one job follow each other
# faster, so a running job does not return and take its share again.
RELEASE_AFTER_S = 5.0
NO_RESOURCES = Resources()
# Stands for a component without a limit; sums of it stay exact.
NO_LIMIT = 2**62
UNLIMITED = Resources(NO_LIMIT, NO_LIMIT, NO_LIMIT)


class ShareEntry(msgspec.Struct, frozen=True, array_like=True):
    """Share of one partition and the epoch of the owner that wrote it."""

    epoch: Epoch
    size: Resources


class QuotaRecord(msgspec.Struct, frozen=True):
    """The shares of one customer, one value in the store.

    It is changed by compare-and-swap only, and every change keeps the sum at or below
    the quota that its writer has in force.
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
        """Return the record with another share of one partition."""
        shares = {**self.shares, partition_id: ShareEntry(epoch, size)}
        return QuotaRecord(shares)


def _each(function: Callable[..., int], *sizes: Resources) -> Resources:
    names = Resources.__struct_fields__
    return Resources(
        *(function(*(getattr(size, name) for size in sizes)) for name in names)
    )


def next_share(
    mine: Resources,
    free: Resources,
    used: Resources,
    demand: Sequence[QuotaDemand],
) -> Resources:
    """Return the share that a partition should have.

    Room is taken in whole units only, so that no two partitions each hold a part of
    what a gang needs and wait for the other part. After the first unit at most half
    of the free quota is taken, so that one partition does not take all at once.

    :param mine: present share.
    :param free: quota that no partition holds; negative after the quota was lowered.
    :param used: what the customer's tasks reserve here.
    :param demand: waiting tasks, most urgent first.
    """
    ceiling = mine.plus(_each(lambda room: max(0, room), free))
    target = _each(min, used, ceiling)
    if target != used:
        return target
    fair = _each(max, mine, mine.plus(_each(lambda room: max(0, room) // 2, free)))
    for each in demand:
        if not each.count or not each.unit.fits_in(ceiling.minus(target)):
            continue
        count = 1 if target == used else 0
        count = max(count, min(each.count, each.unit.count_in(fair.minus(target))))
        target = target.plus(each.unit.times(count))
    return target


@dataclass(slots=True)
class CustomerShare:
    """One customer at one owner: the limit now, and the next change of the record.

    The owner's limit is lowered before the record is, and raised after the record
    was, so an answer of the store that is lost can only lose share. The limit is
    raised only while no other write can be under way: not before a write of its own
    has put the owner's epoch into the record, and after a write without an answer not
    before another one, since a compare-and-swap that comes later fails.

    :param quota: the customer's quota in force.
    :param uncertain: whether a write may still take effect.
    """

    partition_id: PartitionId
    epoch: Epoch
    quota: Resources
    limit: Resources = NO_RESOURCES
    record: QuotaRecord = field(default_factory=QuotaRecord)
    uncertain: bool = False
    _idle_since_s: float | None = None

    def plan(
        self, used: Resources, demand: Sequence[QuotaDemand], now_s: float
    ) -> QuotaRecord | None:
        """Return the record to write, or ``None``; lower the limit at once.

        :param now_s: monotonic time, in seconds.
        """
        entry = self.record.shares.get(self.partition_id)
        if entry is not None and entry.epoch > self.epoch:
            self.limit = NO_RESOURCES
            return None
        mine = entry.size if entry is not None else NO_RESOURCES
        wanted = self._wanted(mine, used, demand, now_s)
        settled = not self.uncertain and (entry is None or entry.epoch == self.epoch)
        if settled and wanted == mine:
            self.limit = mine
            return None
        self.limit = _each(min, self.limit, wanted)
        return self.record.with_share(self.partition_id, self.epoch, wanted)

    def _wanted(
        self,
        mine: Resources,
        used: Resources,
        demand: Sequence[QuotaDemand],
        now_s: float,
    ) -> Resources:
        total = self.record.total()
        if not total.fits_in(self.quota):
            self._idle_since_s = None
            return _scaled(mine, total, self.quota)
        wanted = next_share(mine, self.quota.minus(total), used, demand)
        if mine.fits_in(wanted):
            self._idle_since_s = None
            return wanted
        if self._idle_since_s is None:
            self._idle_since_s = now_s
        if now_s - self._idle_since_s < RELEASE_AFTER_S:
            return _each(max, mine, wanted)
        return wanted

    def written(self, record: QuotaRecord) -> None:
        """Use the share of a record whose write was confirmed."""
        self.record = record
        self.uncertain = False
        self.limit = record.shares[self.partition_id].size


def _scaled(mine: Resources, total: Resources, quota: Resources) -> Resources:
    """Return this partition's part of the quota after the quota was lowered."""
    return _each(
        lambda part, whole, limit: part if whole <= limit else part * limit // whole,
        mine,
        total,
        quota,
    )
