"""A replay of request arrivals in virtual time, through queue, admission and pool."""

import heapq
import itertools
import random
from abc import ABC, abstractmethod
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

import msgspec

from ..common import (
    AttemptId,
    CustomerId,
    InstanceId,
    KindId,
    PistachioliftError,
    RequestId,
    UpstreamId,
)
from ..requests import (
    Admission,
    ClassShares,
    FairQueue,
    KindPolicy,
    PolicySource,
    RequestSpec,
    RunTimeModel,
    SlotUsage,
    UpstreamPool,
    Urgency,
)

__all__ = [
    "FLEET_SLOTS",
    "RUN_SPREAD",
    "SHARES",
    "SLOTS_PER_UPSTREAM",
    "UPSTREAMS",
    "QueueFactory",
    "Replay",
    "ReplayResult",
    "RequestQueue",
    "StaticPolicies",
    "Workload",
    "make_spec",
]

# The fleet of section 1.3 of the design page.
UPSTREAMS = 24
SLOTS_PER_UPSTREAM = 8
FLEET_SLOTS = UPSTREAMS * SLOTS_PER_UPSTREAM

SHARES = ClassShares(
    min_share_by_urgency={
        Urgency.URGENT: 0.5,
        Urgency.NORMAL: 0.2,
        Urgency.DEFERRABLE: 0.1,
    },
    reserved_urgent_slots=0.1,
)


# Shortest and longest run as multiples of the mean.
RUN_SPREAD = (0.75, 1.25)


class Workload(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one kind that arrive at random (a Poisson process).

    :param load: expected slots in use, that is arrivals per second times run time.
    :param run_s: mean run time; single ones are uniform within 25% of it.
    :param deadline_s: shortest and longest time from arrival to deadline.
    """

    kind_id: KindId
    urgency: Urgency
    load: float
    run_s: float
    deadline_s: tuple[float, float] = (60.0, 60.0)
    customer_id: CustomerId = CustomerId("club")
    max_queue: int = 1_000_000


class StaticPolicies(PolicySource):
    """Policies of a fixed list of workloads, all with weight 1.

    :param quotas_by_customer: slots that a customer may use at once.
    """

    def __init__(
        self,
        workloads: list[Workload],
        *,
        shares: ClassShares = SHARES,
        quotas_by_customer: dict[CustomerId, int] | None = None,
        weights_by_customer: dict[CustomerId, int] | None = None,
    ):
        self.shares = shares
        self.quotas_by_customer = quotas_by_customer or {}
        self.weights_by_customer = weights_by_customer or {}
        self.policies_by_kind = {
            workload.kind_id: KindPolicy(
                urgency=workload.urgency,
                weight=1,
                max_queue=workload.max_queue,
                max_run_s=10.0,
                retry_ratio=0.1,
                max_attempts=3,
            )
            for workload in workloads
        }

    def kind_policy(self, customer_id: CustomerId, kind_id: KindId) -> KindPolicy:
        """Return the policy of the kind."""
        return self.policies_by_kind[kind_id]

    def customer_weight(self, customer_id: CustomerId) -> int:
        """Return the weight of the customer."""
        return self.weights_by_customer.get(customer_id, 1)

    def class_shares(self) -> ClassShares:
        """Return the fixed shares."""
        return self.shares

    def quota_slots(self, customer_id: CustomerId) -> int:
        """Return the quota of the customer."""
        return self.quotas_by_customer.get(customer_id, 0)


class RequestQueue(ABC):
    """What the replay needs of a queue; ``FairQueue`` has the same methods."""

    @abstractmethod
    def push(self, spec: RequestSpec, now_s: float) -> None:
        """Queue a request."""

    @abstractmethod
    def pop(self, slots: SlotUsage) -> RequestSpec | None:
        """Take the request to start next."""

    @abstractmethod
    def expire(self, now_s: float) -> list[RequestSpec]:
        """Take out the requests whose deadline has passed."""


QueueFactory = Callable[[PolicySource, RunTimeModel], RequestQueue | FairQueue]


class ReplayResult(msgspec.Struct, kw_only=True):
    """What happened in the measured interval.

    :param waits_s_by_kind: time until the start of the requests that arrived then; for
        those still queued at the end the time until then, so that a stalled queue does
        not look fast.
    :param slot_s_by_urgency: slot time used in the measured interval.
    :param useful_slot_s: slot time of the runs that ended in the measured interval and
        before their deadlines.
    :param counts: ``useful``, ``late``, ``expired`` and refusals by error code.
    """

    waits_s_by_kind: dict[KindId, list[float]]
    slot_s_by_urgency: dict[Urgency, float]
    useful_slot_s: float = 0.0
    counts: Counter[str] = msgspec.field(default_factory=Counter)

    def wait_quantile_s(self, kind_id: KindId, q: float) -> float:
        """Return a quantile of the waiting time of a kind, in seconds."""
        waits_s = sorted(self.waits_s_by_kind[kind_id])
        return waits_s[min(len(waits_s) - 1, int(q * len(waits_s)))]


class Replay:
    """Runs arrivals through a queue, optional admission and a pool of upstreams.

    :param warm_up_s: virtual time before the measured interval.
    :param measured_s: length of the measured interval, in virtual seconds.
    """

    def __init__(
        self,
        make_queue: QueueFactory,
        workloads: list[Workload],
        *,
        with_admission: bool = False,
        upstreams: int = UPSTREAMS,
        slots_per_upstream: int = SLOTS_PER_UPSTREAM,
        warm_up_s: float = 2.0,
        measured_s: float = 8.0,
        seed: int = 1,
    ):
        self._workloads = workloads
        self._policies = StaticPolicies(workloads)
        self._run_times = RunTimeModel()
        self._queue = make_queue(self._policies, self._run_times)
        self._admission: Admission | None = None
        if with_admission:
            self._admission = Admission(
                self._policies, self._queue, self._run_times, random.Random(seed)
            )
        self._pool = UpstreamPool()
        for index in range(upstreams):
            self._pool.upsert(UpstreamId(f"u{index}"), "", slots_per_upstream, 0.0)
        self._slots = SlotUsage(total_slots=self._pool.total_slots(0.0))
        self._start_s, self._end_s = warm_up_s, warm_up_s + measured_s
        self._seed = seed
        self._arrival_by_id: dict[RequestId, tuple[float, float]] = {}
        self._ends: list[tuple[float, RequestId, RequestSpec]] = []
        self.result = ReplayResult(
            waits_s_by_kind=defaultdict(list), slot_s_by_urgency=defaultdict(float)
        )

    def run(self) -> ReplayResult:
        """Replay until the end of the measured interval."""
        arrivals = heapq.merge(
            *(self._arrivals(i, w) for i, w in enumerate(self._workloads)),
            key=lambda arrival: arrival[0],
        )
        arrival = next(arrivals, None)
        now_s = 0.0
        while arrival is not None or self._ends:
            if self._ends and (arrival is None or self._ends[0][0] <= arrival[0]):
                at_s, _, spec = heapq.heappop(self._ends)
            else:
                at_s, spec = arrival
            if at_s >= self._end_s:
                break
            self._account_slots(now_s, at_s)
            now_s = at_s
            if arrival is not None and spec is arrival[1]:
                self._arrive(spec, now_s)
                arrival = next(arrivals, None)
            else:
                self._end(spec, now_s)
            expired = self._queue.expire(now_s)
            if now_s >= self._start_s:
                self.result.counts["expired"] += len(expired)
            self._start_requests(now_s)
        self._account_slots(now_s, self._end_s)
        for spec in self._queue.expire(float("inf")):
            self._note_wait(spec, self._end_s)
        return self.result

    def _arrivals(
        self, index: int, workload: Workload
    ) -> Iterator[tuple[float, RequestSpec]]:
        rng = random.Random(f"{self._seed}/{index}")
        at_s = 0.0
        for number in itertools.count():
            at_s += rng.expovariate(workload.load / workload.run_s)
            if at_s >= self._end_s:
                return
            spec = make_spec(
                f"{workload.kind_id}-{number}",
                workload,
                at_s + rng.uniform(*workload.deadline_s),
            )
            run_s = workload.run_s * rng.uniform(*RUN_SPREAD)
            self._arrival_by_id[spec.request_id] = (at_s, run_s)
            yield at_s, spec

    def _arrive(self, spec: RequestSpec, now_s: float) -> None:
        if self._admission is not None:
            try:
                self._admission.check(spec, now_s, self._slots)
            except PistachioliftError as error:
                if now_s >= self._start_s:
                    self.result.counts[error.code.value] += 1
                    self.result.counts[f"{error.code.value}.{spec.kind_id}"] += 1
                return
        self._queue.push(spec, now_s)

    def _start_requests(self, now_s: float) -> None:
        while (spec := self._queue.pop(self._slots)) is not None:
            if self._pool.acquire(AttemptId(spec.request_id), now_s) is None:
                raise AssertionError("the queue gave out more requests than free slots")
            self._slots.add_attempt(self._urgency(spec), spec.customer_id)
            self._note_wait(spec, now_s)
            _, run_s = self._arrival_by_id[spec.request_id]
            heapq.heappush(self._ends, (now_s + run_s, spec.request_id, spec))

    def _end(self, spec: RequestSpec, now_s: float) -> None:
        self._pool.release(AttemptId(spec.request_id))
        self._slots.remove_attempt(self._urgency(spec), spec.customer_id)
        _, run_s = self._arrival_by_id.pop(spec.request_id)
        self._run_times.record(spec.kind_id, run_s)
        if now_s >= self._start_s:
            is_useful = now_s <= spec.deadline_s
            self.result.counts["useful" if is_useful else "late"] += 1
            self.result.useful_slot_s += run_s * is_useful

    def _note_wait(self, spec: RequestSpec, now_s: float) -> None:
        arrived_s, _ = self._arrival_by_id[spec.request_id]
        if arrived_s >= self._start_s:
            self.result.waits_s_by_kind[spec.kind_id].append(now_s - arrived_s)

    def _account_slots(self, from_s: float, to_s: float) -> None:
        interval_s = to_s - max(from_s, self._start_s)
        if interval_s > 0:
            for urgency, running in self._slots.running_by_urgency.items():
                self.result.slot_s_by_urgency[urgency] += running * interval_s

    def _urgency(self, spec: RequestSpec) -> Urgency:
        return self._policies.kind_policy(spec.customer_id, spec.kind_id).urgency


def make_spec(request_id: str, workload: Workload, deadline_s: float) -> RequestSpec:
    """Return a request of a workload."""
    return RequestSpec(
        request_id=RequestId(request_id),
        customer_id=workload.customer_id,
        kind_id=workload.kind_id,
        deadline_s=deadline_s,
        repeatable=True,
        body_digest="",
        body_bytes=0,
        entry_id=InstanceId("entry"),
        max_run_s=10.0,
    )
