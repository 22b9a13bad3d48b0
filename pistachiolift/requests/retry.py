"""Retries: backoff, retry budget and the decision about another attempt."""

import random
from collections import Counter, OrderedDict
from enum import Enum

import msgspec

from ..common import KindId
from .model import PolicySource, RequestSpec

__all__ = ["RetryBudget", "RetryDecision", "RetryPolicy", "RetryRefusal", "backoff_s"]

# With this base, the first retry of a short request comes within its usual run time of
# tens of milliseconds. The cap allows several attempts within a deadline of a minute.
BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 5.0

# Lets a kind with little traffic retry a few times before it has earned tokens.
INITIAL_TOKENS = 3.0
# Limits the burst of retries after a long period without failures.
MAX_TOKENS = 100.0
MAX_KINDS = 10_000


class RetryRefusal(Enum):
    """Why no further attempt is made; the values are parts of counter names."""

    NOT_REPEATABLE = "not_repeatable"
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    DEADLINE = "deadline"
    BUDGET_SPENT = "budget_spent"


class RetryDecision(msgspec.Struct, frozen=True, kw_only=True):
    """The time of the next attempt, or the reason why there is none."""

    at_s: float | None = None
    refusal: RetryRefusal | None = None


def backoff_s(attempt_number: int, rng: random.Random) -> float:
    """Return an exponential delay with full jitter, in seconds.

    :param attempt_number: number of the attempt that has ended, from 1.
    """
    if attempt_number < 1:
        raise ValueError(f"attempt_number is {attempt_number}; it must be 1 or more")
    # The exponent is bounded because 2.0 ** 1024 overflows.
    longest_s = BACKOFF_BASE_S * 2.0 ** min(attempt_number - 1, 64)
    return rng.uniform(0.0, min(BACKOFF_CAP_S, longest_s))


class RetryBudget:
    """Retry tokens per kind: a retry takes one, a first attempt adds a fraction.

    When all attempts fail, retries thus increase the load by at most that fraction.
    """

    def __init__(self) -> None:
        self._tokens_by_kind: OrderedDict[KindId, float] = OrderedDict()

    def earn(self, kind_id: KindId, retry_ratio: float) -> None:
        """Add the tokens of a first attempt.

        :param retry_ratio: tokens per first attempt, 0 to 1.
        """
        if not 0 <= retry_ratio <= 1:
            raise ValueError(f"retry_ratio is {retry_ratio}; it must be from 0 to 1")
        tokens = self._tokens_by_kind.get(kind_id, INITIAL_TOKENS)
        self._set(kind_id, min(MAX_TOKENS, tokens + retry_ratio))

    def try_spend(self, kind_id: KindId) -> bool:
        """Take the token for one retry; return whether there was one."""
        tokens = self._tokens_by_kind.get(kind_id, INITIAL_TOKENS)
        if tokens < 1:
            return False
        self._set(kind_id, tokens - 1)
        return True

    def _set(self, kind_id: KindId, tokens: float) -> None:
        self._tokens_by_kind[kind_id] = tokens
        self._tokens_by_kind.move_to_end(kind_id)
        if len(self._tokens_by_kind) > MAX_KINDS:
            self._tokens_by_kind.popitem(last=False)


class RetryPolicy:
    """Decides whether and when a request is attempted again; counts refusals.

    :param rng: source of the jitter.
    """

    def __init__(self, policies: PolicySource, budget: RetryBudget, rng: random.Random):
        self._policies = policies
        self._budget = budget
        self._rng = rng
        self.refusals_by_reason: Counter[RetryRefusal] = Counter()

    def record_first_attempt(self, spec: RequestSpec) -> None:
        """Add the tokens of a first attempt to the retry budget of its kind."""
        policy = self._policies.kind_policy(spec.customer_id, spec.kind_id)
        self._budget.earn(spec.kind_id, policy.retry_ratio)

    def next_attempt_at(
        self,
        spec: RequestSpec,
        attempt_number: int,
        now_s: float,
        *,
        certainly_not_run: bool = False,
    ) -> float | None:
        """Return when to retry, in seconds, before the deadline, or ``None``."""
        return self.decide(
            spec, attempt_number, now_s, certainly_not_run=certainly_not_run
        ).at_s

    def decide(
        self,
        spec: RequestSpec,
        attempt_number: int,
        now_s: float,
        *,
        certainly_not_run: bool = False,
    ) -> RetryDecision:
        """Return the time of the next attempt or the reason why there is none.

        :param attempt_number: number of the attempt that has ended, from 1.
        :param certainly_not_run: whether no attempt of the request can have run; a
            request that is not repeatable may be retried only then.
        """
        policy = self._policies.kind_policy(spec.customer_id, spec.kind_id)
        at_s = now_s + backoff_s(attempt_number, self._rng)
        if not (spec.repeatable or certainly_not_run):
            return self._refuse(RetryRefusal.NOT_REPEATABLE)
        if attempt_number >= policy.max_attempts:
            return self._refuse(RetryRefusal.ATTEMPTS_EXHAUSTED)
        if at_s >= spec.deadline_s:
            return self._refuse(RetryRefusal.DEADLINE)
        # Checked last, so that a retry refused for another reason takes no token.
        if not self._budget.try_spend(spec.kind_id):
            return self._refuse(RetryRefusal.BUDGET_SPENT)
        return RetryDecision(at_s=at_s)

    def _refuse(self, reason: RetryRefusal) -> RetryDecision:
        self.refusals_by_reason[reason] += 1
        return RetryDecision(refusal=reason)
