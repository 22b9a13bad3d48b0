"""Limits on the slots that urgency classes and customers use at once."""

import math
from collections import Counter
from collections.abc import Mapping

import msgspec

from ..common import CustomerId
from .model import ClassShares, PolicySource, Urgency

__all__ = ["ClassSlots", "SlotLimits", "SlotUsage", "class_slots", "has_quota_left"]

# Absorbs rounding errors such as 0.07 * 100 == 7.000000000000001.
ROUNDING_TOLERANCE = 1e-9


class SlotUsage(msgspec.Struct, kw_only=True):
    """Slots of the pool and their current use.

    :param total_slots: free slots plus occupied slots.
    :param running_by_urgency: attempts that hold a slot, by class.
    :param running_by_customer: attempts that hold a slot, by customer.
    """

    total_slots: int
    running_by_urgency: Counter[Urgency] = msgspec.field(default_factory=Counter)
    running_by_customer: Counter[CustomerId] = msgspec.field(default_factory=Counter)

    @property
    def running(self) -> int:
        """Attempts that hold a slot."""
        return sum(self.running_by_urgency.values())

    @property
    def free_slots(self) -> int:
        """Slots that no attempt holds, 0 or more."""
        return max(0, self.total_slots - self.running)

    def add_attempt(self, urgency: Urgency, customer_id: CustomerId) -> None:
        """Count an attempt that occupies a slot from now on."""
        self.running_by_urgency[urgency] += 1
        self.running_by_customer[customer_id] += 1

    def remove_attempt(self, urgency: Urgency, customer_id: CustomerId) -> None:
        """Stop counting an attempt that has released its slot."""
        self.running_by_urgency[urgency] -= 1
        self.running_by_customer[customer_id] -= 1
        if self.running_by_customer[customer_id] <= 0:
            del self.running_by_customer[customer_id]


class ClassSlots(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers of slots that result from the class shares for one size of the pool.

    :param minimum_by_urgency: slots that a class keeps while it has work queued; a
        fraction of a slot is granted as a fraction of the time of one slot.
    :param non_urgent_limit: slots that all classes except urgent may use together.
    """

    minimum_by_urgency: Mapping[Urgency, float]
    non_urgent_limit: int


def class_slots(shares: ClassShares, total_slots: int) -> ClassSlots:
    """Convert the class shares to numbers of slots.

    The slots reserved for urgent work are rounded up, so that a small pool has a
    reserved slot too, but at least one slot remains for the other classes. If the
    minimums of the other classes exceed the slots that are not reserved, they are
    scaled down in proportion. The urgent minimum is limited to the remaining slots.

    :param total_slots: slots of the pool, 0 or more.
    """
    reserved = math.ceil(
        shares.reserved_urgent_slots * total_slots - ROUNDING_TOLERANCE
    )
    non_urgent_limit = total_slots - max(0, min(reserved, total_slots - 1))
    minimum_by_urgency = {
        urgency: shares.min_share_by_urgency.get(urgency, 0.0) * total_slots
        for urgency in Urgency
    }
    urgent_minimum = minimum_by_urgency.pop(Urgency.URGENT)
    non_urgent_sum = sum(minimum_by_urgency.values())
    if non_urgent_sum > non_urgent_limit:
        scale = non_urgent_limit / non_urgent_sum
        minimum_by_urgency = {u: m * scale for u, m in minimum_by_urgency.items()}
        non_urgent_sum = non_urgent_limit
    minimum_by_urgency[Urgency.URGENT] = min(
        urgent_minimum, total_slots - non_urgent_sum
    )
    return ClassSlots(
        minimum_by_urgency=minimum_by_urgency, non_urgent_limit=non_urgent_limit
    )


class SlotLimits:
    """Caches the class slots; they are recomputed when an input changes.

    :param policies: looked up on every use.
    """

    def __init__(self, policies: PolicySource):
        self._policies = policies
        self._shares: ClassShares | None = None
        self._total_slots = -1
        self._class_slots: ClassSlots | None = None

    def current(self, total_slots: int) -> ClassSlots:
        """Return the class slots for a pool of this size."""
        shares = self._policies.class_shares()
        if total_slots != self._total_slots or shares != self._shares:
            self._class_slots = class_slots(shares, total_slots)
            self._shares, self._total_slots = shares, total_slots
        return self._class_slots


def has_quota_left(
    policies: PolicySource, customer_id: CustomerId, slots: SlotUsage
) -> bool:
    """Return whether the quota allows the customer one more slot."""
    quota = policies.quota_slots(customer_id)
    return quota <= 0 or slots.running_by_customer.get(customer_id, 0) < quota
