"""How many workers are listed at once, and how often."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from twisted.internet.defer import Deferred, DeferredSemaphore, ensureDeferred

__all__ = ["ListingPace"]

# Listings that wait for nothing, in flight at once: first ones, and those of workers
# that did not answer. Each takes 1 to 2 ms of the owner's processor with its new
# connection, and all must be read before the first one's time limit of 0.3 s.
AT_ONCE = 96

# Longest time that a listing waits for an end; the lease is renewed with each.
SHORTEST_WAIT_S = 0.8
# The worker's limit.
LONGEST_WAIT_S = 2.0
# Waiting listings of all workers together; each takes about 1 ms of the owner.
LISTINGS_PER_S = 250.0

Result = TypeVar("Result")


class PollLimiter:
    """Shares the owner's time among its drivers.

    :param workers: returns the number of workers.
    """

    def __init__(self, workers: Callable[[], int]):
        self._workers = workers
        self._gate = DeferredSemaphore(AT_ONCE)

    @property
    def wait_s(self) -> float:
        """How long a listing may wait for an end."""
        wait_s = self._workers() / LISTINGS_PER_S
        return min(LONGEST_WAIT_S, max(SHORTEST_WAIT_S, wait_s))

    def run(self, call: Callable[[], Awaitable[Result]]) -> Deferred[Result]:
        """Make a call that waits for nothing, when its turn has come."""
        return self._gate.run(lambda: ensureDeferred(call()))
