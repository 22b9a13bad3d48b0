"""Counts and log lines of refused calls."""

import logging
import re

from ..common import Clock, CustomerId, Metrics, log_event

__all__ = ["NAME_LIMIT", "OTHER_CUSTOMERS", "RefusalLog"]

# Shortest time between two log lines of the same reason, in seconds.
LINE_INTERVAL_S = 1.0

# Customers that are counted by name; bounds the number of counters of a process.
CUSTOMERS_COUNTED = 64
# Name under which the refusals of all further customers are counted.
OTHER_CUSTOMERS = "other"

# Length to which names of customers are cut in counters and log lines.
NAME_LIMIT = 40
_NOT_ALLOWED = re.compile(r"[^A-Za-z0-9_-]")


class RefusalLog:
    """Counts refused calls by reason and customer, and logs them at a bounded rate.

    A client that repeats refused calls as fast as it can causes one line a second for
    each reason; ``count`` in it is the number of refusals since the line before.
    """

    def __init__(self, logger: logging.Logger, *, clock: Clock, metrics: Metrics):
        self._logger = logger
        self._clock = clock
        self._metrics = metrics
        self._logged_s_by_reason: dict[str, float] = {}
        self._unlogged_by_reason: dict[str, int] = {}
        self._label_by_customer: dict[CustomerId, str] = {}

    def count_for_customer(self, reason: str, customer_id: CustomerId) -> None:
        """Count a refusal for its customer; nothing if there is none."""
        if customer_id:
            label = self._label(customer_id)
            self._metrics.count(f"refusal.customer.{label}.{reason}")

    def record(
        self,
        reason: str,
        *,
        event: str = "request_refused",
        customer_id: CustomerId = CustomerId(""),
        **fields: object,
    ) -> None:
        """Count a refused call, and log it unless its reason was just logged.

        :param reason: one of a fixed set, in snake case.
        :param customer_id: the customer that made the call, if it is known.
        :param fields: further fields of the log line.
        """
        self._metrics.count(f"refusal.{reason}")
        self.count_for_customer(reason, customer_id)
        count = self._unlogged_by_reason.get(reason, 0) + 1
        now_s = self._clock.monotonic_s()
        logged_s = self._logged_s_by_reason.get(reason)
        if logged_s is not None and now_s - logged_s < LINE_INTERVAL_S:
            self._unlogged_by_reason[reason] = count
            return
        self._unlogged_by_reason[reason] = 0
        self._logged_s_by_reason[reason] = now_s
        if customer_id:
            fields["customer"] = customer_id[:NAME_LIMIT]
        log_event(self._logger, event, reason=reason, count=count, **fields)

    def _label(self, customer_id: CustomerId) -> str:
        label = self._label_by_customer.get(customer_id)
        if label is None:
            if len(self._label_by_customer) >= CUSTOMERS_COUNTED:
                return OTHER_CUSTOMERS
            label = _NOT_ALLOWED.sub("_", customer_id[:NAME_LIMIT])
            self._label_by_customer[customer_id] = label
        return label
