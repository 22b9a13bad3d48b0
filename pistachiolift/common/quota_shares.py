"""Shares of a customer's quota that the owners of the partitions may use.

All shares of a customer are one value in the store. During a store outage they stay as
they are. Rejected alternatives:

- Equal static shares: a customer whose jobs are in one partition would get only a
  fraction of its quota.
- Transfers by messages between owners: the totals must survive takeovers and changes of
  the quota, so a durable record is needed anyway.
- Loans that expire: a long-running service would never return its loan.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

import msgspec

from .ids import Epoch, PartitionId
from .quota_table import QuotaDemand
from .resource_amounts import ResourceAmounts

__all__ = [
    "CustomerShare",
    "QuotaRecord",
    "ShareEntry",
    "StarvingWork",
    "next_share",
]

# A share is returned after it has been idle for this long. Tasks of one job follow each
# other faster, so a running job does not return and reacquire its share.
RELEASE_AFTER_S = 5.0

# Partitions give up a part of their shares for work of another one that has waited for
# the quota this long; work that waits for its turn only starts sooner.
STARVING_MS = 1_000

# They do so for the first part of each period of the wait. This bounds how long the
# room is unused if the work can't start, or if its partition has no owner.
YIELD_MS = 16_000
YIELD_PERIOD_MS = 20_000

Amounts = TypeVar("Amounts", bound=ResourceAmounts)


class ShareEntry(msgspec.Struct, Generic[Amounts], frozen=True, array_like=True):
    """Share of one partition and the epoch of the owner that wrote it.

    :param missing: what work that has waited for long needs beyond the share; ``None``
        without such work.
    :param waits_since_ms: Unix time since when it has waited, in milliseconds.
    """

    epoch: Epoch
    size: Amounts
    missing: Amounts | None = None
    waits_since_ms: int = 0


class QuotaRecord(msgspec.Struct, Generic[Amounts], frozen=True):
    """The shares of one customer, stored as one value.

    The record is changed by compare-and-swap only, and every change keeps the sum at or
    below the quota that is in force at its writer.
    """

    shares: Mapping[PartitionId, ShareEntry[Amounts]] = {}

    def total(self, none: Amounts) -> Amounts:
        """Return the sum of all shares.

        :param none: the sum without any.
        """
        total = none
        for entry in self.shares.values():
            total = total.plus(entry.size)
        return total

    def with_share(
        self, partition_id: PartitionId, entry: ShareEntry[Amounts]
    ) -> "QuotaRecord[Amounts]":
        """Return a copy of the record with a new share of one partition."""
        return QuotaRecord({**self.shares, partition_id: entry})

    def longest_waiting(self, wall_ms: int) -> PartitionId | None:
        """Return the partition for whose work the others give up room, if any."""
        waiting = [
            (entry.waits_since_ms, partition_id)
            for partition_id, entry in self.shares.items()
            if entry.missing is not None
            and (wall_ms - entry.waits_since_ms) % YIELD_PERIOD_MS < YIELD_MS
        ]
        return min(waiting)[1] if waiting else None


@dataclass(frozen=True, slots=True)
class StarvingWork(Generic[Amounts]):
    """Work of a partition that waits for the quota.

    :param needed: the use with which it can start, without use that ends before.
    :param since_ms: Unix time since when it has waited, in milliseconds.
    """

    needed: Amounts
    since_ms: int


def _positive(amounts: Amounts) -> Amounts:
    return amounts.combine(lambda part: max(0, part))


def next_share(
    current: Amounts,
    free: Amounts,
    used: Amounts,
    demand: Sequence[QuotaDemand[Amounts]],
    *,
    in_order: bool = False,
) -> Amounts:
    """Return the share that a partition should have.

    Quota is acquired in whole units only. Otherwise two partitions could each hold a
    part of what a gang needs and wait for the other part. Beyond the first unit, at
    most half of the free quota is acquired, so that one partition does not acquire
    everything at once.

    :param current: current share.
    :param free: quota that no partition holds; negative after the quota was lowered.
    :param used: what the customer's tasks reserve here.
    :param demand: waiting tasks, most urgent first.
    :param in_order: whether nothing is acquired for tasks behind one that does not fit,
        because they do not start before it.
    """
    ceiling = current.plus(_positive(free))
    target = used.combine(min, ceiling)
    if target != used:
        return target
    half_free = _positive(free).combine(lambda room: room // 2)
    fair_share = current.plus(half_free)
    for each in demand:
        if not each.count:
            continue
        if not each.unit.fits_in(ceiling.minus(target)):
            if in_order:
                break
            continue
        count = 1 if target == used else 0
        count = max(
            count, min(each.count, each.unit.count_in(fair_share.minus(target)))
        )
        target = target.plus(each.unit.times(count))
    return target


@dataclass(slots=True)
class CustomerShare(Generic[Amounts]):
    """Share of one customer at one owner: its limit and the next change of the record.

    The owner lowers its limit before it lowers the share in the record, and raises the
    limit only after the record. A lost answer of the store can therefore reduce the
    usable share but never exceed the quota.

    The limit is raised only while no other write can be in flight. A new owner first
    writes its own epoch into the record, and after a write without an answer the owner
    first completes another write: any earlier compare-and-swap then fails.

    A share in the record is never lower than what runs under it. As long as the shares
    exceed a quota that was lowered, nothing new may start at any owner.

    :param quota: the customer's quota in force.
    :param limit: what the owner's tasks may reserve; ``None`` stands for nothing.
    :param has_unconfirmed_write: whether an earlier write may still take effect.
    :param in_order: see :func:`next_share`.
    """

    partition_id: PartitionId
    epoch: Epoch
    quota: Amounts
    limit: Amounts | None = None
    record: QuotaRecord[Amounts] = QuotaRecord()
    has_unconfirmed_write: bool = False
    in_order: bool = False
    _idle_since_s: float | None = None
    # Limit below the share; ``None`` if the whole share may be used.
    _ceiling: Amounts | None = None

    def __post_init__(self):
        if self.limit is None:
            self.limit = self._none

    @property
    def _none(self) -> Amounts:
        return type(self.quota)()

    def set_quota(self, quota: Amounts) -> None:
        """Change the quota; the limit is lowered immediately if the shares exceed it.

        It is not raised here, since the record may be out of date.
        """
        self.quota = quota
        if not self.record.total(self._none).fits_in(quota):
            self._ceiling = self.limit = self._none

    def plan(
        self,
        used: Amounts,
        demand: Sequence[QuotaDemand[Amounts]],
        now_s: float,
        *,
        starving: StarvingWork[Amounts] | None = None,
        wall_ms: int = 0,
    ) -> QuotaRecord[Amounts] | None:
        """Return the record to write, or ``None``; lowers the limit immediately.

        :param now_s: monotonic time, in seconds.
        :param starving: work that has waited for the quota, if any.
        :param wall_ms: Unix time, in milliseconds.
        """
        entry = self.record.shares.get(self.partition_id)
        if entry is not None and entry.epoch > self.epoch:
            self.limit = self._none
            return None
        current = entry.size if entry is not None else self._none
        oldest = self.record.longest_waiting(wall_ms)
        self._ceiling = self._find_ceiling(current, oldest)
        wanted = self._wanted_share(current, used, demand, now_s, oldest)
        wanted_entry = self._entry(wanted, starving, wall_ms)
        is_confirmed = not self.has_unconfirmed_write and (
            entry is None or entry.epoch == self.epoch
        )
        if is_confirmed and wanted_entry == (
            entry or ShareEntry(self.epoch, self._none)
        ):
            self.limit = self._below_ceiling(current)
            return None
        self.limit = self._below_ceiling(self.limit.combine(min, wanted))
        return self.record.with_share(self.partition_id, wanted_entry)

    def _entry(
        self, size: Amounts, starving: StarvingWork[Amounts] | None, wall_ms: int
    ) -> ShareEntry[Amounts]:
        if starving is None or wall_ms - starving.since_ms < STARVING_MS:
            return ShareEntry(self.epoch, size)
        missing = _positive(starving.needed.minus(size))
        if missing == self._none:
            return ShareEntry(self.epoch, size)
        return ShareEntry(self.epoch, size, missing, starving.since_ms)

    def _find_ceiling(
        self, current: Amounts, oldest: PartitionId | None
    ) -> Amounts | None:
        """Return the limit below the share, if there is one."""
        total = self.record.total(self._none)
        if not total.fits_in(self.quota):
            return self._none
        if oldest is None or oldest == self.partition_id:
            return None
        waiting = self.record.shares[oldest]
        deficit = _positive(waiting.missing.minus(self.quota.minus(total)))
        if deficit == self._none:
            return None
        # All other partitions give up the same part of their shares.
        others = total.minus(waiting.size)
        given = current.combine(
            lambda part, lack, whole: min(part, -(-part * lack // max(1, whole))),
            deficit,
            others,
        )
        return current.minus(given)

    def _below_ceiling(self, size: Amounts) -> Amounts:
        return size if self._ceiling is None else size.combine(min, self._ceiling)

    def _wanted_share(
        self,
        current: Amounts,
        used: Amounts,
        demand: Sequence[QuotaDemand[Amounts]],
        now_s: float,
        oldest: PartitionId | None,
    ) -> Amounts:
        total = self.record.total(self._none)
        if self._ceiling is not None:
            self._idle_since_s = None
            lowered = self._ceiling
            if not total.fits_in(self.quota):
                lowered = _scaled(current, total, self.quota)
            return lowered.combine(max, current.combine(min, used))
        free = self.quota.minus(total)
        if oldest is not None and oldest != self.partition_id:
            free = free.minus(self.record.shares[oldest].missing)
        wanted = next_share(current, free, used, demand, in_order=self.in_order)
        if current.fits_in(wanted):
            self._idle_since_s = None
            return wanted
        if self._idle_since_s is None:
            self._idle_since_s = now_s
        if now_s - self._idle_since_s < RELEASE_AFTER_S:
            return current.combine(max, wanted)
        return wanted

    def confirm_write(self, record: QuotaRecord[Amounts]) -> None:
        """Apply the share of a record whose write was confirmed."""
        self.record = record
        self.has_unconfirmed_write = False
        share = record.shares[self.partition_id].size
        if record.total(self._none).fits_in(self.quota):
            self.limit = self._below_ceiling(share)
        else:
            self.limit = self._none


def _scaled(current: Amounts, total: Amounts, quota: Amounts) -> Amounts:
    """Return this partition's part of the quota after the quota was lowered."""
    return current.combine(
        lambda part, whole, limit: part if whole <= limit else part * limit // whole,
        total,
        quota,
    )
