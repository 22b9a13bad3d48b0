"""Quota use and shares of the customers at this owner."""

from dataclasses import dataclass, field

from ..common import CustomerId
from .model import Resources

__all__ = ["QuotaDemand", "QuotaTable", "QuotaUse"]


@dataclass(frozen=True, slots=True)
class QuotaDemand:
    """Waiting tasks of one job.

    :param unit: resources placed at once: one task, or all tasks of a gang.
    :param count: number of units.
    """

    unit: Resources
    count: int


@dataclass(slots=True)
class QuotaUse:
    """Resources that a customer reserves and waits for.

    :param used: reserved resources.
    :param demand: waiting tasks, most urgent first.
    """

    used: Resources = Resources()
    demand: list[QuotaDemand] = field(default_factory=list)


class QuotaTable:
    """Reserved resources by customer, and this owner's shares of the quotas.

    A share is set by the caller and may shrink below the current use. Running tasks
    then continue, and no more are placed until the use has fallen below the share.
    """

    def __init__(self):
        self._share_by_customer: dict[CustomerId, Resources] = {}
        self._used_by_customer: dict[CustomerId, Resources] = {}

    def set_share(self, customer_id: CustomerId, share: Resources | None) -> None:
        """Set the limit of the customer's reservations; ``None`` means no limit."""
        if share is None:
            self._share_by_customer.pop(customer_id, None)
        else:
            self._share_by_customer[customer_id] = share

    def share(self, customer_id: CustomerId) -> Resources | None:
        """Return the share, or ``None`` if there is no limit."""
        return self._share_by_customer.get(customer_id)

    def used(self, customer_id: CustomerId) -> Resources:
        """Return the resources that the customer's tasks reserve."""
        return self._used_by_customer.get(customer_id, Resources())

    def allows(self, customer_id: CustomerId, size: Resources) -> bool:
        """Whether the customer may reserve ``size`` more."""
        share = self._share_by_customer.get(customer_id)
        return share is None or self.used(customer_id).plus(size).fits_in(share)

    def used_by_customer(self) -> dict[CustomerId, Resources]:
        """Return the reserved resources by customer."""
        return dict(self._used_by_customer)

    def charge(self, customer_id: CustomerId, size: Resources) -> None:
        """Add a reservation, which may exceed the share for restored tasks."""
        self._used_by_customer[customer_id] = self.used(customer_id).plus(size)

    def release(self, customer_id: CustomerId, size: Resources) -> None:
        """Remove a reservation."""
        used = self.used(customer_id).minus(size)
        if used == Resources():
            self._used_by_customer.pop(customer_id, None)
        else:
            self._used_by_customer[customer_id] = used
