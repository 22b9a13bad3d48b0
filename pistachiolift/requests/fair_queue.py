"""Queue of requests, with fair sharing between classes, customers and kinds."""

from collections import Counter

import msgspec
from sortedcontainers import SortedList

from ..common import CustomerId, KindId, RequestId
from .class_queue import MIN_COST_S, ClassQueue, CustomerQueue, KindQueue
from .model import PolicySource, RequestSpec, Urgency
from .quota import SlotLimits, SlotUsage
from .run_times import RunTimeModel

__all__ = ["FairQueue"]


class _Entry(msgspec.Struct, frozen=True):
    """A queued request, its kind and its position within the kind."""

    spec: RequestSpec
    kind: KindQueue
    position: tuple[float, int, RequestId]


class _CompetingWork(msgspec.Struct, frozen=True, kw_only=True):
    """Queued work in the same class that competes with one kind for slot time.

    :param other_kinds_s: slot time queued for other kinds of the customer, in seconds.
    :param other_kinds_ratio: sum of their weights divided by the weight of the kind.
    :param other_customers_s: slot time queued for other customers, in seconds.
    :param other_customers_ratio: sum of their weights divided by that of the customer.
    """

    other_kinds_s: float
    other_kinds_ratio: float
    other_customers_s: float
    other_customers_ratio: float

    def class_time_s(self, own_s: float) -> float:
        """Estimate the slot time of the class until the kind has received ``own_s``.

        Other customers receive slot time by weight, up to what they have queued.
        """
        customer_s = self.customer_time_s(own_s)
        others_s = customer_s * self.other_customers_ratio
        return customer_s + max(0.0, min(self.other_customers_s, others_s))

    def customer_time_s(self, own_s: float) -> float:
        """Estimate the customer's slot time until the kind has received ``own_s``."""
        others_s = own_s * self.other_kinds_ratio
        return own_s + max(0.0, min(self.other_kinds_s, others_s))


class FairQueue:
    """Requests that wait for a slot.

    Classes are served in order of urgency, except that classes below their minimum
    share are served before the others. Customers within a class, and kinds within a
    customer, are served by deficit round robin. The cost of a request is the expected
    run time of its kind, so weights divide slot time, not requests. Within a kind the
    earliest deadline is served first. ``push``, ``pop`` and ``remove`` cost O(log n)
    in the number of queued requests.

    :param policies: looked up on every use.
    :param run_times: source of the expected run time of each kind.
    """

    def __init__(self, policies: PolicySource, run_times: RunTimeModel):
        self._policies = policies
        self._run_times = run_times
        self._classes = {u: ClassQueue(u, policies) for u in Urgency}
        self._kinds_by_key: dict[tuple[CustomerId, KindId], KindQueue] = {}
        self._entries_by_id: dict[RequestId, _Entry] = {}
        self._by_deadline: SortedList = SortedList()
        self._limits = SlotLimits(policies)
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries_by_id)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._entries_by_id

    @property
    def depth_by_kind(self) -> dict[KindId, int]:
        """Number of queued requests of each kind, over all customers."""
        depths: Counter[KindId] = Counter()
        for (_, kind_id), kind in self._kinds_by_key.items():
            depths[kind_id] += len(kind.positions)
        return dict(depths)

    def depth(self, urgency: Urgency) -> int:
        """Return the number of queued requests of a class."""
        return self._classes[urgency].depth

    def kind_depth(self, customer_id: CustomerId, kind_id: KindId) -> int:
        """Return the number of queued requests of one kind of one customer."""
        kind = self._kinds_by_key.get((customer_id, kind_id))
        return 0 if kind is None else len(kind.positions)

    def backlog_s(self, urgency: Urgency) -> float:
        """Return the expected slot time of a class's queued requests, in seconds."""
        return self._classes[urgency].work_s

    def next_deadline_s(self) -> float | None:
        """Return the earliest deadline in the queue, or ``None`` when it is empty."""
        return self._by_deadline[0][0] if self._by_deadline else None

    def push(self, spec: RequestSpec, now_s: float) -> None:
        """Queue a request.

        :raises ValueError: if a request with this identifier is queued already.
        """
        if spec.request_id in self._entries_by_id:
            raise ValueError(f"request {spec.request_id} is queued already")
        key = (spec.customer_id, spec.kind_id)
        kind = self._kinds_by_key.get(key)
        if kind is None:
            kind = self._kinds_by_key[key] = KindQueue(*key)
        self._assign_class(kind)
        self._sequence += 1
        position = (spec.deadline_s, self._sequence, spec.request_id)
        self._entries_by_id[spec.request_id] = _Entry(spec, kind, position)
        self._by_deadline.add(position)
        kind.positions.add(position)
        kind.class_queue.resize(kind, 1, self._cost_s(kind))

    def pop(self, slots: SlotUsage) -> RequestSpec | None:
        """Remove and return the request to start on a free slot, or ``None``.

        The caller must call ``expire`` first, so that no request starts after its
        deadline, and add the started attempt to ``slots`` before the next call.

        :param slots: current number and use of the slots.
        """
        while (choice := self._choose(slots)) is not None:
            kind, is_below_minimum = choice
            # If the settings have moved the kind to another class, move it and
            # choose again.
            if not self._assign_class(kind):
                return self._take(kind, slots, is_below_minimum=is_below_minimum)
        return None

    def remove(self, request_id: RequestId) -> RequestSpec | None:
        """Remove and return one request; ``None`` when it is not queued."""
        entry = self._entries_by_id.get(request_id)
        if entry is None:
            return None
        self._discard(entry)
        return entry.spec

    def expire(self, now_s: float) -> list[RequestSpec]:
        """Remove and return the requests whose deadline has passed, earliest first."""
        expired = []
        while self._by_deadline and self._by_deadline[0][0] <= now_s:
            entry = self._entries_by_id[self._by_deadline[0][2]]
            self._discard(entry)
            expired.append(entry.spec)
        return expired

    def update_kind_classes(self) -> None:
        """Move kinds whose class has changed; costs one lookup per queued kind.

        Without this call, a kind moves at its next push or when it is next served.
        """
        for kind in list(self._kinds_by_key.values()):
            self._assign_class(kind)

    def work_ahead_in_class_s(self, spec: RequestSpec) -> float:
        """Estimate the slot time of its own class that is served before a request.

        Requests of the same kind with earlier deadlines are served first. Meanwhile,
        other kinds and customers receive slot time in proportion to their weights, up
        to what they have queued.

        :returns: slot time in seconds.
        """
        return self._competing_work(spec).class_time_s(
            self._work_until_s(spec)
        ) - self._cost_s(spec)

    def work_ahead_in_customer_s(self, spec: RequestSpec) -> float:
        """Estimate the slot time of its customer that is served before a request.

        Less urgent kinds of the customer do not count.

        :returns: slot time in seconds.
        """
        own = self._policies.kind_policy(spec.customer_id, spec.kind_id).urgency
        cost_s = self._cost_s(spec)
        ahead_s = (
            self._competing_work(spec).customer_time_s(self._work_until_s(spec))
            - cost_s
        )
        for urgency, class_queue in self._classes.items():
            if urgency is own:
                break
            customers = class_queue.customers_by_id
            ahead_s += customers.get(spec.customer_id, _NO_CUSTOMER).work_s
        return ahead_s

    def work_ahead_of_later(
        self, spec: RequestSpec, *, samples: int
    ) -> list[tuple[float, float]]:
        """Estimate how a request would delay those of its kind with later deadlines.

        :param samples: number of later requests to examine, evenly spread.
        :returns: for each examined request, its deadline and the slot time of its own
            class that would be served before it, both in seconds.
        """
        kind = self._kinds_by_key.get((spec.customer_id, spec.kind_id))
        if kind is None:
            return []
        cost_s = self._cost_s(spec)
        competing = self._competing_work(spec)
        count = len(kind.positions)
        first = kind.count_until(spec.deadline_s)
        step = max(1, -(-(count - first) // samples))
        # From the end, because the last request has the most work ahead of it.
        return [
            (
                kind.positions[index][0],
                competing.class_time_s(cost_s * (index + 2)) - cost_s,
            )
            for index in range(count - 1, first - 1, -step)
        ]

    def work_ahead_s(self, spec: RequestSpec) -> float:
        """Estimate the slot time of all classes that is served before a request.

        :returns: slot time in seconds, including the backlog of more urgent classes.
        """
        own = self._policies.kind_policy(spec.customer_id, spec.kind_id).urgency
        ahead_s = self.work_ahead_in_class_s(spec)
        for urgency, class_queue in self._classes.items():
            if urgency is own:
                break
            ahead_s += class_queue.work_s
        return ahead_s

    def _choose(self, slots: SlotUsage) -> tuple[KindQueue, bool] | None:
        """Return the kind to serve and whether its class is below its minimum."""
        if slots.free_slots <= 0 or not self._entries_by_id:
            return None
        for class_queue, is_below_minimum in self._classes_in_order(slots):
            kind = class_queue.next_kind(slots)
            if kind is not None:
                return kind, is_below_minimum
        return None

    def _classes_in_order(self, slots: SlotUsage) -> list[tuple[ClassQueue, bool]]:
        """Return the classes that may use a free slot, in the order of service.

        Each is returned with whether it is below its minimum.
        """
        limits = self._limits.current(slots.total_slots)
        running = slots.running_by_urgency
        non_urgent_running = slots.running - running.get(Urgency.URGENT, 0)
        candidates = []
        for urgency, class_queue in self._classes.items():
            if class_queue.depth == 0:
                continue
            if (
                urgency is not Urgency.URGENT
                and non_urgent_running >= limits.non_urgent_limit
            ):
                continue
            minimum = limits.minimum_by_urgency[urgency]
            is_below_minimum = class_queue.is_below_minimum(
                running.get(urgency, 0), minimum
            )
            candidates.append((class_queue, is_below_minimum))
        # The sort is stable, so more urgent classes stay first within each group.
        candidates.sort(key=lambda candidate: not candidate[1])
        return candidates

    def _take(
        self, kind: KindQueue, slots: SlotUsage, *, is_below_minimum: bool
    ) -> RequestSpec:
        limits = self._limits.current(slots.total_slots)
        entry = self._entries_by_id[kind.positions[0][2]]
        cost_s = self._cost_s(kind)
        kind.class_queue.charge(kind, cost_s)
        for urgency, class_queue in self._classes.items():
            if class_queue.depth:
                share = limits.minimum_by_urgency[urgency] / slots.total_slots
                class_queue.earn(share * cost_s)
        kind.class_queue.spend(cost_s, is_below_minimum=is_below_minimum)
        self._discard(entry)
        return entry.spec

    def _discard(self, entry: _Entry) -> None:
        kind = entry.kind
        del self._entries_by_id[entry.spec.request_id]
        self._by_deadline.remove(entry.position)
        kind.positions.remove(entry.position)
        kind.class_queue.resize(kind, -1, self._cost_s(kind))
        if not kind.positions:
            kind.class_queue.detach(kind)
            del self._kinds_by_key[(kind.customer_id, kind.kind_id)]

    def _assign_class(self, kind: KindQueue) -> bool:
        """Move a kind to the class given by its settings; return whether it moved."""
        policy = self._policies.kind_policy(kind.customer_id, kind.kind_id)
        target = self._classes[policy.urgency]
        if kind.class_queue is target:
            return False
        if kind.class_queue is not None:
            kind.class_queue.detach(kind)
        target.attach(kind)
        return True

    def _cost_s(self, flow: KindQueue | RequestSpec) -> float:
        """Return the expected run time of a kind in seconds; more than 0."""
        policy = self._policies.kind_policy(flow.customer_id, flow.kind_id)
        mean_s = self._run_times.mean(flow.kind_id, max_run_s=policy.max_run_s)
        return max(MIN_COST_S, mean_s)

    def _work_until_s(self, spec: RequestSpec) -> float:
        """Return the slot time of a request and of earlier requests of its kind."""
        kind = self._kinds_by_key.get((spec.customer_id, spec.kind_id))
        earlier = 0 if kind is None else kind.count_until(spec.deadline_s)
        return self._cost_s(spec) * (earlier + 1)

    def _competing_work(self, spec: RequestSpec) -> "_CompetingWork":
        policy = self._policies.kind_policy(spec.customer_id, spec.kind_id)
        class_queue = self._classes[policy.urgency]
        customer = class_queue.customers_by_id.get(spec.customer_id, _NO_CUSTOMER)
        kind = customer.kinds_by_id.get(spec.kind_id, _NO_KIND)
        return _CompetingWork(
            other_kinds_s=customer.work_s - kind.work_s,
            other_kinds_ratio=(customer.kind_weight_sum - kind.weight) / policy.weight,
            other_customers_s=class_queue.work_s - customer.work_s,
            other_customers_ratio=(class_queue.customer_weight_sum - customer.weight)
            / self._policies.customer_weight(spec.customer_id),
        )


_NO_CUSTOMER = CustomerQueue()
_NO_KIND = KindQueue(CustomerId(""), KindId(""))
