"""Gauges of what the customers use of their caps."""

from ..common import NO_LIMIT, CustomerId, Metrics
from ..workflows import CustomerCaps

__all__ = ["CapGauges"]

# Bounds the number of metrics; customers beyond it, by name, have none.
MAX_CUSTOMERS = 64


class CapGauges:
    """Sets the gauges of each customer with a cap, in cores.

    :param prefix: first components of the names, which tell the owner.
    """

    def __init__(self, metrics: Metrics, *, prefix: str):
        self._metrics = metrics
        self._prefix = prefix
        self._customers: set[CustomerId] = set()

    def update(self, caps: CustomerCaps) -> None:
        """Set the gauges; those of a customer without a cap any more become 0."""
        cap_by_customer = caps.caps_by_customer()
        present = set(sorted(cap_by_customer)[:MAX_CUSTOMERS])
        for customer_id in present:
            self._set(customer_id, "used", caps.used(customer_id).cpu_milli)
            self._set(customer_id, "cap", cap_by_customer[customer_id].cpu_milli)
            self._set(customer_id, "limit", caps.limit(customer_id).cpu_milli)
        for customer_id in self._customers - present:
            for kind in ("used", "cap", "limit"):
                self._set(customer_id, kind, 0)
        self._customers = present

    def _set(self, customer_id: CustomerId, kind: str, cpu_milli: int) -> None:
        name = f"{self._prefix}.customer.{customer_id}.{kind}_cores"
        # A cap without a limit of the processors is shown as 0, as it is configured.
        self._metrics.gauge(name, 0.0 if cpu_milli == NO_LIMIT else cpu_milli / 1000)
