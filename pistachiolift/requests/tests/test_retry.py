"""Tests of the retry decisions."""

import random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachiolift.bench.request_replay import StaticPolicies, Workload, make_spec
from pistachiolift.requests import (
    RetryBudget,
    RetryPolicy,
    RetryRefusal,
    Urgency,
    backoff_s,
)

KIND = Workload(kind_id="k", urgency=Urgency.NORMAL, load=1.0, run_s=1.0)


def _policy(budget=None):
    policies = StaticPolicies([KIND])
    return RetryPolicy(policies, budget or RetryBudget(), random.Random(1))


class TestBackoff:
    def test_delay_has_full_jitter_and_a_cap(self):
        """Guards against synchronised retries and against unbounded delays."""
        rng = random.Random(1)
        delays_s = [backoff_s(1, rng) for _ in range(500)]
        assert min(delays_s) < 0.005 < 0.045 < max(delays_s) <= 0.05
        assert all(backoff_s(2000, rng) <= 5.0 for _ in range(100))


class TestRetryBudget:
    def test_retries_are_a_fraction_of_first_attempts(self):
        """Guards against retries that multiply the load when everything fails."""
        budget = RetryBudget()
        retries = 0
        for _ in range(1000):
            budget.earn("k", 0.1)
            while budget.try_spend("k"):
                retries += 1
        assert 99 <= retries <= 103

    def test_saved_tokens_are_capped(self):
        """Guards against a burst of retries after a long time without failures."""
        budget = RetryBudget()
        for _ in range(100_000):
            budget.earn("k", 0.5)
        assert sum(budget.try_spend("k") for _ in range(1000)) == 100


class TestRetryPolicy:
    @settings(derandomize=True, deadline=None)
    @given(st.integers(1, 2), st.floats(0, 100), st.floats(-1, 10))
    def test_never_at_or_after_the_deadline(self, attempt_number, now_s, left_s):
        """Guards against attempts for a caller that has already been answered."""
        spec = make_spec("r", KIND, now_s + left_s)
        at_s = _policy().next_attempt_at(spec, attempt_number, now_s)
        assert at_s is None or now_s <= at_s < spec.deadline_s

    def test_each_refusal_has_its_reason_and_is_counted(self):
        """Guards against refused retries that no counter records."""
        policy = _policy()
        spec = make_spec("r", KIND, 100.0)
        once = msgspec.structs.replace(spec, repeatable=False)
        cases = [
            (once, 1, 0.0, RetryRefusal.NOT_REPEATABLE),
            (spec, 3, 0.0, RetryRefusal.ATTEMPTS_EXHAUSTED),
            (spec, 1, 100.0, RetryRefusal.DEADLINE),
        ]
        for request, attempt_number, now_s, reason in cases:
            decision = policy.decide(request, attempt_number, now_s)
            assert (decision.at_s, decision.refusal) == (None, reason)
        while (decision := policy.decide(spec, 1, 0.0)).at_s is not None:
            pass
        assert decision.refusal is RetryRefusal.BUDGET_SPENT
        assert policy.refusals_by_reason == dict.fromkeys(RetryRefusal, 1)

    def test_request_that_was_not_run_may_be_retried_although_not_repeatable(self):
        """Guards against failing a request that certainly has not run."""
        once = msgspec.structs.replace(make_spec("r", KIND, 100.0), repeatable=False)
        assert _policy().next_attempt_at(once, 1, 0.0, certainly_not_run=True)

    def test_other_refusals_take_no_token(self):
        """Guards against a budget spent on retries that are never made."""
        budget = RetryBudget()
        policy = _policy(budget)
        for _ in range(10):
            policy.decide(make_spec("r", KIND, 0.0), 1, 1.0)
        assert budget.try_spend("k")
