"""Division of the customers' jobs into due work and excess."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..common import CustomerId
from .model import Customer
from .state import JobEntry

__all__ = ["CustomerRates", "effective_weights"]

# A bucket holds what it gets in this time, and at least one token, so that a customer
# below one job per second has due work as well.
BUCKET_S = 1.0
MIN_BUCKET_TOKENS = 1.0
# Weight of customers without a positive one if no customer has one.
DEFAULT_WEIGHT = 1.0


def effective_weights(customers: Iterable[Customer]) -> dict[CustomerId, float]:
    """Return the positive weight of each customer.

    A customer without a positive weight gets the smallest positive one.

    :returns: jobs per second, by customer.
    """
    weights = {each.customer_id: each.weight for each in customers}
    smallest = min((w for w in weights.values() if w > 0), default=DEFAULT_WEIGHT)
    return {
        customer_id: weight if weight > 0 else smallest
        for customer_id, weight in weights.items()
    }


@dataclass(slots=True)
class _Bucket:
    """Tokens of a customer.

    :param rate: tokens added per second.
    :param at_ms: Unix time of the newest job, in milliseconds.
    """

    rate: float
    tokens: float
    at_ms: int = 0

    @property
    def limit(self) -> float:
        """Tokens that the bucket can hold."""
        return max(MIN_BUCKET_TOKENS, BUCKET_S * self.rate)

    def refill(self, at_ms: int) -> None:
        """Add the tokens due since the last job; time never goes back."""
        if at_ms <= self.at_ms:
            return
        added = self.rate * (at_ms - self.at_ms) / 1000
        self.tokens = min(self.limit, self.tokens + added)
        self.at_ms = at_ms


class CustomerRates:
    """A token bucket for each customer; a job without a token is excess.

    Only the times at which jobs were first received count, in order of submission, so
    that a later owner can rebuild the buckets from the ledger.
    """

    def __init__(self):
        self.weights_by_id: Mapping[CustomerId, float] = {}
        self._buckets_by_id: dict[CustomerId, _Bucket] = {}
        self._marked_by_id: Counter[CustomerId] = Counter()

    def set_customers(self, customers: Iterable[Customer]) -> None:
        """Apply the weights of a configuration; present tokens are kept.

        Jobs that were submitted earlier stay due or excess.
        """
        self.weights_by_id = effective_weights(customers)
        buckets, self._buckets_by_id = self._buckets_by_id, {}
        for customer_id, weight in self.weights_by_id.items():
            bucket = buckets.get(customer_id)
            if bucket is None:
                bucket = _Bucket(rate=weight, tokens=0.0)
                bucket.tokens = bucket.limit
            bucket.rate = weight
            bucket.tokens = min(bucket.tokens, bucket.limit)
            self._buckets_by_id[customer_id] = bucket

    def take(self, customer_id: CustomerId, received_ms: int) -> bool:
        """Take a token for a new job.

        :param customer_id: empty for a job without a customer.
        :param received_ms: Unix time of the first request, in milliseconds.
        :returns: whether the job is excess; never for a job without a known customer.
        """
        bucket = self._buckets_by_id.get(customer_id)
        if bucket is None:
            return False
        bucket.refill(received_ms)
        if bucket.tokens < 1:
            self._marked_by_id[customer_id] += 1
            return True
        bucket.tokens -= 1
        return False

    def would_exceed(self, customer_id: CustomerId, received_ms: int) -> bool:
        """Whether a job would be excess; takes no token.

        :param received_ms: Unix time of the first request, in milliseconds.
        """
        bucket = self._buckets_by_id.get(customer_id)
        if bucket is None:
            return False
        bucket.refill(received_ms)
        return bucket.tokens < 1

    def take_marked(self) -> Counter[CustomerId]:
        """Return and clear the numbers of jobs marked as excess, by customer."""
        marked, self._marked_by_id = self._marked_by_id, Counter()
        return marked

    def give_back(self, job: JobEntry) -> None:
        """Return the token of a job that was refused before it was accepted."""
        bucket = self._buckets_by_id.get(job.customer_id)
        if bucket is not None and not job.excess:
            bucket.tokens = min(bucket.limit, bucket.tokens + 1)

    def rebuild(self, jobs: Iterable[JobEntry]) -> None:
        """Fill the buckets as the jobs of the ledger have left them.

        A job of the ledger keeps its mark: those that are due have had a token.
        """
        for job in sorted(jobs, key=lambda each: each.received_ms):
            bucket = self._buckets_by_id.get(job.customer_id)
            if bucket is None:
                continue
            bucket.refill(job.received_ms)
            if not job.excess:
                bucket.tokens = max(0.0, bucket.tokens - 1)
