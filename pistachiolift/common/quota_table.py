"""Quota use and shares of the customers at one owner."""

from dataclasses import dataclass, field
from typing import Generic, TypeVar

from .ids import CustomerId
from .resource_amounts import ResourceAmounts

__all__ = ["QuotaDemand", "QuotaTable", "QuotaUse"]

Amounts = TypeVar("Amounts", bound=ResourceAmounts)


@dataclass(frozen=True, slots=True)
class QuotaDemand(Generic[Amounts]):
    """Waiting tasks of one job.

    :param unit: resources placed at once: one task, or all tasks of a gang.
    :param count: number of units.
    """

    unit: Amounts
    count: int


@dataclass(slots=True)
class QuotaUse(Generic[Amounts]):
    """Resources that a customer reserves and waits for.

    :param used: reserved resources.
    :param demand: waiting tasks, most urgent first.
    """

    used: Amounts
    demand: list[QuotaDemand[Amounts]] = field(default_factory=list)


class QuotaTable(Generic[Amounts]):
    """Reserved resources by customer, and this owner's shares of the quotas.

    A share is set by the caller and may shrink below the current use. Running tasks
    then continue, and no more are placed until the use has fallen below the share.

    :param none: the amount of a customer that reserves nothing.
    """

    def __init__(self, none: Amounts):
        self._none = none
        self._share_by_customer: dict[CustomerId, Amounts] = {}
        self._used_by_customer: dict[CustomerId, Amounts] = {}

    def set_share(self, customer_id: CustomerId, share: Amounts | None) -> None:
        """Set the limit of the customer's reservations; ``None`` means no limit."""
        if share is None:
            self._share_by_customer.pop(customer_id, None)
        else:
            self._share_by_customer[customer_id] = share

    def share(self, customer_id: CustomerId) -> Amounts | None:
        """Return the share, or ``None`` if there is no limit."""
        return self._share_by_customer.get(customer_id)

    def shares_by_customer(self) -> dict[CustomerId, Amounts]:
        """Return the shares of the customers with a limit."""
        return dict(self._share_by_customer)

    def used(self, customer_id: CustomerId) -> Amounts:
        """Return the resources that the customer's tasks reserve."""
        return self._used_by_customer.get(customer_id, self._none)

    def allows(self, customer_id: CustomerId, size: Amounts) -> bool:
        """Whether the customer may reserve ``size`` more."""
        share = self._share_by_customer.get(customer_id)
        return share is None or size.fits_beside(self.used(customer_id), share)

    def used_by_customer(self) -> dict[CustomerId, Amounts]:
        """Return the reserved resources by customer."""
        return dict(self._used_by_customer)

    def charge(self, customer_id: CustomerId, size: Amounts) -> None:
        """Add a reservation, which may exceed the share for restored tasks."""
        self._used_by_customer[customer_id] = self.used(customer_id).plus(size)

    def release(self, customer_id: CustomerId, size: Amounts) -> None:
        """Remove a reservation."""
        used = self.used(customer_id).minus(size)
        if used == self._none:
            self._used_by_customer.pop(customer_id, None)
        else:
            self._used_by_customer[customer_id] = used
