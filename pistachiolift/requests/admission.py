"""Admission control: decides whether a request is queued or refused."""

import math
import random
from collections import OrderedDict

import msgspec

from ..common import (
    CustomerId,
    DeadlineExpiredError,
    KindId,
    OverloadedError,
    QueueFullError,
    QuotaExceededError,
)
from .fair_queue import FairQueue
from .model import KindPolicy, PolicySource, RequestSpec, Urgency
from .quota import SlotLimits, SlotUsage
from .run_times import RunTimeModel

__all__ = ["Admission"]

# Quantile of the run time that must fit between the predicted start and the deadline.
RUN_TIME_QUANTILE = 0.9

# Queued requests with later deadlines that are checked against the delay that a new
# request would cause. Each check costs about 2 us; more checks detect more of the
# requests that would miss their deadlines.
LATER_REQUESTS_CHECKED = 8

# Time constant of the moving average of the slots that each class occupies: longer
# than a single run, shorter than typical deadlines.
AVERAGING_TIME_S = 2.0

# Factor by which predicted waits are increased. During overload, admission fills the
# queue up to the limit. Run times and the slots available to a class vary, so without
# this margin half of the admitted requests would start too late.
WAIT_MARGIN = 1.25

# Bounds of the retry-after time. A shorter delay would let callers overload the entry
# instance; a longer one would keep callers away after a burst has passed.
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 60.0
# Fraction of the delay that is added at random, so that callers refused together do
# not retry together.
RETRY_AFTER_JITTER = 0.5
# Delay when there are no slots: the directory is polled every 0.5 s and may list new
# upstreams.
RETRY_AFTER_NO_SLOTS_S = 1.0

# A kind whose learned run time exceeds its deadlines is still admitted once per
# interval. Otherwise the model could not learn that the kind has become faster.
RUN_TIME_PROBE_INTERVAL_S = 10.0
MAX_PROBED_KINDS = 1000


class _ServiceRate(msgspec.Struct, frozen=True, kw_only=True):
    """The rate at which queued work of a class is served.

    :param available_slots: slots that other classes do not keep for themselves.
    :param backlog_s: slot time queued for more urgent classes, which is served on
        the available slots first.
    :param minimum_slots: slots that the class is guaranteed.
    """

    available_slots: float
    backlog_s: float
    minimum_slots: float

    def time_s(self, work_s: float) -> float:
        """Return how long it takes to serve an amount of slot time, with the margin."""
        shared_s = alone_s = float("inf")
        if self.available_slots > 0:
            shared_s = (work_s + self.backlog_s) / self.available_slots
        if self.minimum_slots > 0:
            alone_s = work_s / self.minimum_slots
        return WAIT_MARGIN * min(shared_s, alone_s)


class Admission:
    """Admits requests whose predicted wait and run time fit their deadlines.

    :param policies: looked up on every use.
    :param queue: the queue that an admitted request joins.
    :param run_times: learned run times.
    :param rng: source of the jitter of the retry-after times.
    """

    def __init__(
        self,
        policies: PolicySource,
        queue: FairQueue,
        run_times: RunTimeModel,
        rng: random.Random,
    ):
        self._policies = policies
        self._queue = queue
        self._run_times = run_times
        self._rng = rng
        self._limits = SlotLimits(policies)
        self._average_running: dict[Urgency, float] = {}
        self._observed_at_s = float("-inf")
        self._probed_at_by_kind: OrderedDict[tuple[CustomerId, KindId], float] = (
            OrderedDict()
        )

    def check(self, spec: RequestSpec, now_s: float, slots: SlotUsage) -> None:
        """Check that a request may be queued; return if so.

        :param slots: current number and use of the slots.
        :raises DeadlineExpiredError: if the deadline has passed.
        :raises QueueFullError: if the queue of the kind is full.
        :raises QuotaExceededError: if the customer's quota delays the request too long.
        :raises OverloadedError: if the wait and the run do not fit the deadline.
        """
        self._update_averages(slots, now_s)
        budget_s = spec.deadline_s - now_s
        # Not written as budget_s <= 0, which would accept a deadline of NaN.
        if not budget_s > 0:
            raise DeadlineExpiredError(
                f"the deadline passed {-budget_s:.3f} s ago; it must be in the future"
            )
        policy = self._policies.kind_policy(spec.customer_id, spec.kind_id)
        self._check_queue(spec, policy, slots)
        run_s = self._run_s(spec.kind_id)
        if run_s > budget_s:
            self._check_probe(spec, run_s, budget_s, now_s)
            run_s = 0.0
        self._check_quota(spec, budget_s - run_s)
        self._check_wait(spec, slots, budget_s - run_s)
        self._check_later_requests(spec, now_s, slots, run_s)

    def predicted_wait_s(self, spec: RequestSpec, slots: SlotUsage) -> float:
        """Return the expected time until the request gets a slot, in seconds."""
        policy = self._policies.kind_policy(spec.customer_id, spec.kind_id)
        ahead_s = self._queue.work_ahead_in_class_s(spec)
        if ahead_s <= 0 and self._may_start(policy.urgency, slots):
            return 0.0
        mean_s = self._run_times.mean(spec.kind_id, max_run_s=policy.max_run_s)
        # A full pool frees a slot after a fraction of a run time, not a whole one.
        return self._service_rate(policy.urgency, slots).time_s(ahead_s + mean_s)

    def _check_queue(
        self, spec: RequestSpec, policy: KindPolicy, slots: SlotUsage
    ) -> None:
        depth = self._queue.kind_depth(spec.customer_id, spec.kind_id)
        if depth < policy.max_queue:
            return
        mean_s = self._run_times.mean(spec.kind_id, max_run_s=policy.max_run_s)
        # Time to drain half of the queue, so that retrying callers can be queued.
        drain_s = self._service_rate(policy.urgency, slots).time_s(0.5 * depth * mean_s)
        raise QueueFullError(
            f"{depth} requests of kind {spec.kind_id} are queued; "
            f"the limit is {policy.max_queue}",
            retry_after_s=self._retry_after_s(drain_s),
        )

    def _check_probe(
        self, spec: RequestSpec, run_s: float, budget_s: float, now_s: float
    ) -> None:
        if self._is_probe_due(spec, now_s):
            return
        # The next probe may show that the kind has become faster.
        raise OverloadedError(
            f"kind {spec.kind_id} takes {run_s:.3f} s; "
            f"the deadline is in {budget_s:.3f} s",
            retry_after_s=self._retry_after_s(RUN_TIME_PROBE_INTERVAL_S),
        )

    def _check_quota(self, spec: RequestSpec, wait_limit_s: float) -> None:
        quota = self._policies.quota_slots(spec.customer_id)
        if quota <= 0:
            return
        wait_s = self._queue.work_ahead_in_customer_s(spec) / quota
        if wait_s > max(0.0, wait_limit_s):
            raise QuotaExceededError(
                f"customer {spec.customer_id} may use {quota} slots, which are taken "
                f"for {wait_s:.3f} s; the request can wait {wait_limit_s:.3f} s",
                retry_after_s=self._retry_after_s(wait_s - wait_limit_s),
            )

    def _check_wait(
        self, spec: RequestSpec, slots: SlotUsage, wait_limit_s: float
    ) -> None:
        wait_s = self.predicted_wait_s(spec, slots)
        if wait_s <= max(0.0, wait_limit_s):
            return
        if wait_s == float("inf"):
            raise OverloadedError(
                f"no slots for kind {spec.kind_id}",
                retry_after_s=self._retry_after_s(RETRY_AFTER_NO_SLOTS_S),
            )
        raise OverloadedError(
            f"the predicted wait is {wait_s:.3f} s; "
            f"the request can wait {wait_limit_s:.3f} s",
            retry_after_s=self._retry_after_s(wait_s - wait_limit_s),
        )

    def _check_later_requests(
        self, spec: RequestSpec, now_s: float, slots: SlotUsage, run_s: float
    ) -> None:
        """Refuse a request that would make queued requests miss their deadlines.

        Without this check, requests with earlier deadlines overtake requests that
        were admitted before, which then start too late.
        """
        urgency = self._policies.kind_policy(spec.customer_id, spec.kind_id).urgency
        later = self._queue.work_ahead_of_later(spec, samples=LATER_REQUESTS_CHECKED)
        rate = self._service_rate(urgency, slots) if later else None
        for deadline_s, ahead_s in later:
            excess_s = now_s + rate.time_s(ahead_s) + run_s - deadline_s
            if excess_s > 0:
                raise OverloadedError(
                    f"a queued request of kind {spec.kind_id} would miss its deadline "
                    f"by {excess_s:.3f} s",
                    retry_after_s=self._retry_after_s(excess_s),
                )

    def _update_averages(self, slots: SlotUsage, now_s: float) -> None:
        """Update the moving average of the slots that each class occupies.

        The current number fluctuates on the scale of one run time. Predictions from
        its most favourable values would admit more work than can be served.
        """
        interval_s = max(0.0, now_s - self._observed_at_s)
        decay = math.exp(-interval_s / AVERAGING_TIME_S)
        for urgency in Urgency:
            running = slots.running_by_urgency.get(urgency, 0)
            average = self._average_running.get(urgency, 0.0)
            self._average_running[urgency] = decay * average + (1 - decay) * running
        self._observed_at_s = now_s

    def _may_start(self, urgency: Urgency, slots: SlotUsage) -> bool:
        """Return whether there is a free slot that the class may use."""
        if slots.free_slots <= 0 or urgency is Urgency.URGENT:
            return slots.free_slots > 0
        non_urgent_running = slots.running - slots.running_by_urgency.get(
            Urgency.URGENT, 0
        )
        return (
            non_urgent_running
            < self._limits.current(slots.total_slots).non_urgent_limit
        )

    def _service_rate(self, urgency: Urgency, slots: SlotUsage) -> "_ServiceRate":
        """Estimate the rate at which a class is served from now on.

        Assumes that more urgent classes keep the slots that they occupy and have
        their backlog served first, and that less urgent classes keep their minimum
        while they have work queued.
        """
        limits = self._limits.current(slots.total_slots)
        available: float = slots.total_slots
        non_urgent_available: float = limits.non_urgent_limit
        backlog_s = 0.0
        is_more_urgent = True
        for other in Urgency:
            if other is urgency:
                is_more_urgent = False
            elif is_more_urgent:
                # The average lags behind a rise; it must not overestimate the slots
                # that are left.
                running = max(
                    self._average_running.get(other, 0.0),
                    slots.running_by_urgency.get(other, 0),
                )
                available -= running
                non_urgent_available -= 0 if other is Urgency.URGENT else running
                backlog_s += self._queue.backlog_s(other)
            elif self._queue.depth(other):
                available -= limits.minimum_by_urgency[other]
                non_urgent_available -= limits.minimum_by_urgency[other]
        if urgency is not Urgency.URGENT:
            available = min(available, non_urgent_available)
        return _ServiceRate(
            available_slots=available,
            backlog_s=backlog_s,
            minimum_slots=limits.minimum_by_urgency[urgency],
        )

    def _run_s(self, kind_id: KindId) -> float:
        """Return the run time to allow for, in seconds; 0 for a kind that never ran.

        A kind refused because of its prior estimate would never run, so its run time
        could not be learned.
        """
        if not self._run_times.has_samples(kind_id):
            return 0.0
        return self._run_times.quantile(kind_id, RUN_TIME_QUANTILE)

    def _is_probe_due(self, spec: RequestSpec, now_s: float) -> bool:
        key = (spec.customer_id, spec.kind_id)
        probed_at_s = self._probed_at_by_kind.get(key)
        if probed_at_s is not None and now_s - probed_at_s < RUN_TIME_PROBE_INTERVAL_S:
            return False
        self._probed_at_by_kind[key] = now_s
        self._probed_at_by_kind.move_to_end(key)
        if len(self._probed_at_by_kind) > MAX_PROBED_KINDS:
            self._probed_at_by_kind.popitem(last=False)
        return True

    def _retry_after_s(self, delay_s: float) -> float:
        bounded_s = min(max(delay_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        return bounded_s * (1 + self._rng.uniform(0, RETRY_AFTER_JITTER))
