"""What each customer's runs reserve on all workers, and the customers' caps."""

from collections.abc import Iterable

from ..common import NO_LIMIT, CustomerId, QuotaTable
from .model import Customer, RunCharge, Size

__all__ = ["CustomerCaps", "cap_limit"]


def cap_limit(cap: Size) -> Size:
    """Return a cap as a limit: a component of 0 becomes one without a limit."""
    return cap.combine(lambda part: part or NO_LIMIT)


class CustomerCaps:
    """Adds up the charges of the runs, and compares them with the limits.

    The workers charge and release their runs, see :class:`WorkerEntry`, so that a
    charge ends exactly when the resources of the run become free.

    A customer's limit is its cap, or this owner's share of it if there are several
    owners. Customers that are not in the configuration have no limit.
    """

    def __init__(self):
        self._table = QuotaTable(Size())
        # The part of the charges that does not end by itself.
        self._long_running = QuotaTable(Size())
        self._cap_by_customer: dict[CustomerId, Size] = {}
        self._share_by_customer: dict[CustomerId, Size] | None = None

    # Charges.

    def charge(self, charge: RunCharge | None) -> None:
        """Count a run, which may exceed the limit if it is found on a worker."""
        if charge is not None:
            self._table.charge(charge.customer_id, charge.size)
            if charge.long_running:
                self._long_running.charge(charge.customer_id, charge.size)

    def release(self, charge: RunCharge | None) -> None:
        """Stop counting a run that has certainly ended."""
        if charge is not None:
            self._table.release(charge.customer_id, charge.size)
            if charge.long_running:
                self._long_running.release(charge.customer_id, charge.size)

    def used(self, customer_id: CustomerId) -> Size:
        """Return what the customer's runs reserve."""
        return self._table.used(customer_id)

    def long_running(self, customer_id: CustomerId) -> Size:
        """Return the part of the use that does not end by itself."""
        return self._long_running.used(customer_id)

    def used_by_customer(self) -> dict[CustomerId, Size]:
        """Return what the runs reserve, by customer."""
        return self._table.used_by_customer()

    # Limits.

    def set_customers(self, customers: Iterable[Customer]) -> None:
        """Replace the caps of all customers."""
        self._cap_by_customer = {
            each.customer_id: cap_limit(each.cap)
            for each in customers
            if each.cap != Size()
        }
        self._update_limits()

    def set_shares(self, share_by_customer: dict[CustomerId, Size] | None) -> None:
        """Set this owner's shares of the caps; ``None`` if it is the only owner.

        A customer without a share gets nothing new.
        """
        self._share_by_customer = share_by_customer
        self._update_limits()

    def _update_limits(self) -> None:
        for customer_id in self._table.shares_by_customer():
            if customer_id not in self._cap_by_customer:
                self._table.set_share(customer_id, None)
        for customer_id, cap in self._cap_by_customer.items():
            limit = cap
            if self._share_by_customer is not None:
                share = self._share_by_customer.get(customer_id, Size())
                limit = cap.combine(_share_of_component, share)
            self._table.set_share(customer_id, limit)

    def cap(self, customer_id: CustomerId) -> Size | None:
        """Return the customer's cap on all owners, ``None`` if it has none."""
        return self._cap_by_customer.get(customer_id)

    def caps_by_customer(self) -> dict[CustomerId, Size]:
        """Return the caps of the customers that have one."""
        return dict(self._cap_by_customer)

    def limit(self, customer_id: CustomerId) -> Size | None:
        """Return the limit at this owner, ``None`` if there is none."""
        return self._table.share(customer_id)

    def limits_by_customer(self) -> dict[CustomerId, Size]:
        """Return the limits of the customers that have one."""
        return self._table.shares_by_customer()

    def allows(self, customer_id: CustomerId, size: Size) -> bool:
        """Whether the customer may have ``size`` more running."""
        return self._table.allows(customer_id, size)

    def is_exceeded(self, customer_id: CustomerId) -> bool:
        """Whether the customer's runs reserve more than its limit."""
        return not self._table.allows(customer_id, Size())

    def ever_allows(self, customer_id: CustomerId, size: Size) -> bool:
        """Whether ``size`` fits under the cap when nothing else is running."""
        cap = self._cap_by_customer.get(customer_id)
        return cap is None or size.fits_in(cap)

    def allows_later(self, customer_id: CustomerId, size: Size) -> bool:
        """Whether ``size`` fits under the cap once the finite runs have ended."""
        cap = self._cap_by_customer.get(customer_id)
        lasting = self._long_running.used(customer_id)
        return cap is None or size.fits_beside(lasting, cap)

    def is_below_half(self, customer_id: CustomerId) -> bool:
        """Whether the customer's runs reserve less than half of its limit."""
        limit = self._table.share(customer_id)
        if limit is None:
            return True
        used = self.used(customer_id)
        return (
            2 * used.cpu_milli < limit.cpu_milli
            and 2 * used.memory_mb < limit.memory_mb
            and 2 * used.accelerators < limit.accelerators
        )


def _share_of_component(cap: int, share: int) -> int:
    return cap if cap == NO_LIMIT else min(cap, share)
