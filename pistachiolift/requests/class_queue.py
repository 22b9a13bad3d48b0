"""The queued requests of one urgency class, by customer and kind."""

import math

from sortedcontainers import SortedList

from ..common import CustomerId, KindId
from .model import PolicySource, Urgency
from .quota import ROUNDING_TOLERANCE, SlotUsage, has_quota_left
from .round_robin import DeficitRoundRobin

__all__ = ["ClassQueue", "CustomerQueue", "KindQueue"]

# Lower bound of the cost of a request; at a cost of 0 a flow would be served without
# limit in one round.
MIN_COST_S = 0.001


class KindQueue:
    """The requests of one kind of one customer, earliest deadline first.

    ``positions`` holds ``(deadline_s, sequence, request_id)``; ``work_s`` is the
    expected slot time of all of them.
    """

    def __init__(self, customer_id: CustomerId, kind_id: KindId):
        self.customer_id = customer_id
        self.kind_id = kind_id
        self.class_queue: ClassQueue | None = None
        self.positions: SortedList = SortedList()
        self.work_s = 0.0
        self.weight = 0

    def count_until(self, deadline_s: float) -> int:
        """Return the number of requests with this deadline or an earlier one."""
        return self.positions.bisect_right((deadline_s, float("inf")))


class CustomerQueue:
    """The kinds of one customer that are in the class."""

    def __init__(self) -> None:
        self.kinds_by_id: dict[KindId, KindQueue] = {}
        self.order: DeficitRoundRobin[KindId] = DeficitRoundRobin()
        self.work_s = 0.0
        self.weight = 0
        self.kind_weight_sum = 0


class ClassQueue:
    """The customers with queued work of one class.

    ``work_s`` is the expected slot time of all queued requests. ``credit_s`` is the
    slot time that the class may use for the fractional slot of its minimum.
    """

    def __init__(self, urgency: Urgency, policies: PolicySource):
        self.urgency = urgency
        self.depth = 0
        self.work_s = 0.0
        self.credit_s = 0.0
        self.customers_by_id: dict[CustomerId, CustomerQueue] = {}
        self.customer_weight_sum = 0
        self._order: DeficitRoundRobin[CustomerId] = DeficitRoundRobin()
        self._policies = policies

    def attach(self, kind: KindQueue) -> None:
        """Add a kind with its queued requests."""
        customer = self.customers_by_id.get(kind.customer_id)
        if customer is None:
            customer = self.customers_by_id[kind.customer_id] = CustomerQueue()
            customer.weight = self._policies.customer_weight(kind.customer_id)
            self.customer_weight_sum += customer.weight
            self._order.activate(kind.customer_id)
        policy = self._policies.kind_policy(kind.customer_id, kind.kind_id)
        kind.weight = policy.weight
        customer.kind_weight_sum += kind.weight
        customer.kinds_by_id[kind.kind_id] = kind
        customer.order.activate(kind.kind_id)
        customer.work_s += kind.work_s
        kind.class_queue = self
        self.depth += len(kind.positions)
        self.work_s += kind.work_s

    def detach(self, kind: KindQueue) -> None:
        """Remove a kind together with its queued requests."""
        customer = self.customers_by_id[kind.customer_id]
        customer.order.deactivate(kind.kind_id)
        customer.kind_weight_sum -= kind.weight
        customer.work_s -= kind.work_s
        del customer.kinds_by_id[kind.kind_id]
        kind.class_queue = None
        self.depth -= len(kind.positions)
        self.work_s -= kind.work_s
        if not customer.kinds_by_id:
            self._order.deactivate(kind.customer_id)
            self.customer_weight_sum -= customer.weight
            del self.customers_by_id[kind.customer_id]
        if self.depth == 0:
            # An idle class keeps no credit. Setting the work to 0 also removes
            # accumulated rounding errors.
            self.credit_s = min(0.0, self.credit_s)
            self.work_s = 0.0

    def resize(self, kind: KindQueue, added: int, cost_s: float) -> None:
        """Account for a request added to or removed from a kind.

        All queued requests of the kind are counted at the current expected cost.

        :param added: 1, or -1 for a request that has been removed.
        :param cost_s: expected run time of one request, in seconds.
        """
        change_s = len(kind.positions) * cost_s - kind.work_s
        kind.work_s += change_s
        self.customers_by_id[kind.customer_id].work_s += change_s
        self.work_s += change_s
        self.depth += added

    def is_below_minimum(self, running: int, minimum: float) -> bool:
        """Return whether the class occupies fewer slots than its minimum.

        Whole slots are compared with the occupied slots. A fraction of a slot is
        granted as slot time: the class may occupy one more slot once its credit
        covers the cost of a request.

        :param running: slots that the class occupies.
        :param minimum: slots that it is guaranteed, possibly with a fraction.
        """
        if running < math.floor(minimum + ROUNDING_TOLERANCE):
            return True
        if running >= math.ceil(minimum - ROUNDING_TOLERANCE):
            return False
        return self.credit_s >= self._mean_cost_s()

    def earn(self, credit_s: float) -> None:
        """Add credit while work is queued, up to the cost of two requests."""
        limit_s = 2 * self._mean_cost_s()
        self.credit_s = min(self.credit_s + credit_s, max(limit_s, self.credit_s))

    def spend(self, cost_s: float, *, is_below_minimum: bool) -> None:
        """Deduct the cost of a started request from the credit.

        :param is_below_minimum: whether the request was started to reach the minimum.
            Otherwise it runs on a slot lent by other classes, and its cost does not
            reduce the credit below 0.
        """
        floor_s = -cost_s if is_below_minimum else min(0.0, self.credit_s)
        self.credit_s = max(self.credit_s - cost_s, floor_s)

    def next_kind(self, slots: SlotUsage) -> KindQueue | None:
        """Return the kind to serve next, skipping customers that are at their quota."""
        for customer_id in self._order:
            if has_quota_left(self._policies, customer_id, slots):
                customer = self.customers_by_id[customer_id]
                return customer.kinds_by_id[next(iter(customer.order))]
        return None

    def charge(self, kind: KindQueue, cost_s: float) -> None:
        """Charge a kind and its customer for a request that has been removed to run.

        Also applies weights that have changed in the settings.
        """
        customer = self.customers_by_id[kind.customer_id]
        policy = self._policies.kind_policy(kind.customer_id, kind.kind_id)
        customer.kind_weight_sum += policy.weight - kind.weight
        kind.weight = policy.weight
        weight = self._policies.customer_weight(kind.customer_id)
        self.customer_weight_sum += weight - customer.weight
        customer.weight = weight
        customer.order.charge(kind.kind_id, cost_s, kind.weight)
        self._order.charge(kind.customer_id, cost_s, customer.weight)

    def _mean_cost_s(self) -> float:
        return max(MIN_COST_S, self.work_s / self.depth) if self.depth else MIN_COST_S
