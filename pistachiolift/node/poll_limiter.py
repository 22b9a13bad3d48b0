"""Limits the concurrency and the rate of the polls of workers."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from twisted.internet.defer import Deferred, DeferredSemaphore, ensureDeferred

__all__ = ["PollLimiter"]

# Limit of polls in flight that do not wait for an end: first polls, and polls of
# workers that did not answer. Each one, with its new connection, takes 1 to 2 ms of the
# owner's processor time, and all answers must be read before the first poll's time
# limit of 0.3 s.
MAX_CONCURRENT_POLLS = 96

# Range of the time that a poll waits for an end. Each poll renews the lease.
MIN_WAIT_S = 0.8
# Longest wait that a worker accepts.
MAX_WAIT_S = 2.0
# Rate of waiting polls to all workers together; each takes about 1 ms of the owner's
# processor time.
POLLS_PER_S = 250.0
# Rate of the polls of lost workers that are repeated sooner than usual, all together.
HURRIED_POLLS_PER_S = 300.0

Result = TypeVar("Result")


class PollLimiter:
    """Limits the polls of all workers to the owner's processing capacity.

    :param workers: returns the number of workers.
    """

    def __init__(self, workers: Callable[[], int]):
        self._workers = workers
        self._semaphore = DeferredSemaphore(MAX_CONCURRENT_POLLS)
        # Time of the last hurried poll that was admitted.
        self._hurried_s = float("-inf")

    @property
    def wait_s(self) -> float:
        """Time for which a poll waits for an end, in seconds."""
        wait_s = self._workers() / POLLS_PER_S
        return min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s))

    def hurried_pause_s(
        self, wanted_s: float, *, usual_s: float, now_s: float
    ) -> float:
        """Return the pause before a poll that is repeated sooner than usual.

        :param wanted_s: shortest pause, in seconds; others may come first.
        :param usual_s: longest pause, in seconds.
        """
        next_s = self._hurried_s + 1 / HURRIED_POLLS_PER_S
        poll_s = max(next_s, now_s + wanted_s)
        if poll_s >= now_s + usual_s:
            return usual_s
        self._hurried_s = poll_s
        return poll_s - now_s

    def run(self, call: Callable[[], Awaitable[Result]]) -> Deferred[Result]:
        """Make a poll that does not wait, once fewer than the limit are in flight."""
        return self._semaphore.run(lambda: ensureDeferred(call()))
