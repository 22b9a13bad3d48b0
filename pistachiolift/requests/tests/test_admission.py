"""Tests of admission."""

import random

import pytest

from pistachiolift.bench.queueing import measure_goodput
from pistachiolift.bench.request_replay import StaticPolicies, Workload, make_spec
from pistachiolift.common import (
    DeadlineExpiredError,
    OverloadedError,
    QueueFullError,
    QuotaExceededError,
)
from pistachiolift.requests import (
    Admission,
    FairQueue,
    RunTimeModel,
    SlotUsage,
    Urgency,
)

KIND = Workload(kind_id="k", urgency=Urgency.NORMAL, load=1.0, run_s=1.0, max_queue=200)
URGENT = Workload(kind_id="u", urgency=Urgency.URGENT, load=1.0, run_s=0.02)


class _Setup:
    def __init__(self, *, runs_s=None, total_slots=10, **options):
        self.policies = StaticPolicies([KIND, URGENT], **options)
        self.run_times = RunTimeModel()
        for kind_id, run_s in (runs_s or {"k": 1.0, "u": 0.02}).items():
            self.run_times.record(kind_id, run_s)
        self.queue = FairQueue(self.policies, self.run_times)
        self.admission = Admission(
            self.policies, self.queue, self.run_times, random.Random(1)
        )
        self.slots = SlotUsage(total_slots=total_slots)

    def fill(self, count, *, workload=KIND, deadline_s=1000.0):
        for number in range(count):
            name = f"{workload.kind_id}-{number}"
            self.queue.push(make_spec(name, workload, deadline_s), 0.0)

    def run(self, urgency, count):
        for _ in range(count):
            self.slots.add_attempt(urgency, "club")

    def check(self, deadline_s, *, workload=KIND, now_s=0.0):
        spec = make_spec("new", workload, deadline_s)
        self.admission.check(spec, now_s, self.slots)


class TestAdmission:
    @pytest.mark.parametrize("deadline_s", [4.0, 5.0, float("nan")])
    def test_passed_deadline_is_refused_without_a_retry_time(self, deadline_s):
        """Guards against asking callers to retry what can no longer succeed."""
        with pytest.raises(DeadlineExpiredError) as refusal:
            _Setup().check(deadline_s, now_s=5.0)
        assert refusal.value.retry_after_s is None

    def test_wait_beyond_the_deadline_is_refused_at_once(self):
        """Guards against queueing a request that cannot start before its deadline."""
        setup = _Setup()
        setup.run(Urgency.NORMAL, 9)
        setup.fill(100)
        setup.check(1001.0)
        setup.fill(1, workload=URGENT)
        with pytest.raises(OverloadedError) as refusal:
            setup.check(5.0 + 1000.0, now_s=1000.0)
        # About 100 s of slot time on 9 slots, less the 4 s that it may wait.
        assert 100 / 9 - 4 < refusal.value.retry_after_s < 1.5 * 1.5 * (100 / 9)

    def test_idle_pool_admits_a_request_whose_run_fits_its_deadline(self):
        """Guards against refusing work while slots are free."""
        _Setup().check(1.1)

    def test_flood_of_deferrable_work_does_not_refuse_urgent_work(self):
        """Guards against refusing urgent requests because others are queued."""
        setup = _Setup()
        setup.run(Urgency.NORMAL, 9)
        setup.fill(200)
        setup.check(0.2, workload=URGENT)

    @pytest.mark.parametrize("is_running", [True, False])
    def test_urgent_work_leaves_only_the_minimum_to_other_classes(self, is_running):
        """Guards against counting on slots that urgent work uses or will use."""
        setup = _Setup()
        if is_running:
            setup.run(Urgency.URGENT, 8)
        else:
            setup.fill(5000, workload=URGENT)
        setup.fill(20, deadline_s=8.0)
        with pytest.raises(OverloadedError):
            setup.check(9.0)

    def test_momentarily_free_slots_do_not_shorten_the_predicted_wait(self):
        """Guards against predictions from a momentary drop of a fluctuating load."""
        setup = _Setup()
        setup.run(Urgency.URGENT, 8)
        setup.check(100.0)
        setup.slots.running_by_urgency[Urgency.URGENT] = 0
        setup.fill(20, deadline_s=8.0)
        with pytest.raises(OverloadedError):
            setup.check(9.1, now_s=0.1)

    def test_admitted_requests_are_not_pushed_beyond_their_deadlines(self):
        """Guards against new requests that make queued ones miss their deadlines."""
        setup = _Setup()
        setup.run(Urgency.NORMAL, 9)
        setup.fill(70, deadline_s=10.0)
        with pytest.raises(OverloadedError, match="queued request"):
            setup.check(6.0)

    def test_request_that_the_quota_delays_too_long_is_refused(self):
        """Guards against queueing requests that the quota cannot start in time."""
        setup = _Setup(quotas_by_customer={"club": 1})
        setup.fill(9, deadline_s=4.0)
        with pytest.raises(QuotaExceededError) as refusal:
            setup.check(5.0)
        # 9 s of work on one slot; the request can wait 4 s. Jitter adds up to half.
        assert 5.0 <= refusal.value.retry_after_s <= 7.5

    def test_quota_does_not_delay_urgent_work_behind_other_work(self):
        """Guards against refusing urgent requests for the customer's other work."""
        setup = _Setup(quotas_by_customer={"club": 1})
        setup.fill(199)
        setup.check(0.5, workload=URGENT)

    def test_request_is_refused_when_there_are_no_slots(self):
        """Guards against queueing requests that no upstream can run."""
        with pytest.raises(OverloadedError) as refusal:
            _Setup(total_slots=0).check(100.0)
        assert refusal.value.retry_after_s > 0

    def test_unknown_kind_is_not_refused_for_its_prior_estimate(self):
        """Guards against a kind that never runs, so its run time is never learned."""
        _Setup(runs_s={"u": 0.02}).check(0.5)

    def test_slow_kind_is_probed_at_intervals(self):
        """Guards against permanently refusing a kind that has become faster."""
        setup = _Setup(runs_s={"k": 30.0})
        setup.check(5.0)
        with pytest.raises(OverloadedError) as refusal:
            setup.check(6.0, now_s=1.0)
        assert 0 < refusal.value.retry_after_s <= 15.0
        setup.check(25.0, now_s=20.0)

    def test_full_queue_gives_callers_different_retry_times(self):
        """Guards against unbounded queues and synchronised retries."""
        setup = _Setup()
        setup.fill(200)
        delays_s = set()
        for _ in range(20):
            with pytest.raises(QueueFullError) as refusal:
                setup.check(1000.0)
            delays_s.add(refusal.value.retry_after_s)
        assert len(delays_s) == 20
        assert 0 < max(delays_s) <= 1.5 * min(delays_s)


class TestGoodput:
    """The bound is the target of section 1.4: 95% of the value at full load."""

    @pytest.mark.parametrize("with_admission", [True, False])
    def test_only_admission_keeps_goodput_in_overload(self, with_admission):
        """Guards against runs that start too late and a check that cannot fail."""
        goodput = measure_goodput("fair", with_admission=with_admission, upstreams=1)
        assert (goodput.ratio >= 0.95) == with_admission
