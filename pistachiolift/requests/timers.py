"""Timers of the decision core, which does not read a clock itself."""

import heapq
from collections.abc import Callable

__all__ = ["TimerQueue"]


class TimerQueue:
    """Calls functions at given times; timers cannot be cancelled.

    A callback must check whether it still applies. This costs less than removing
    entries from the middle of the heap.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._heap)

    def call_at(self, due_s: float, callback: Callable[[float], None]) -> None:
        """Add a timer.

        :param due_s: monotonic time, in seconds.
        :param callback: called with the clock reading passed to :meth:`run_due`.
        """
        self._sequence += 1
        heapq.heappush(self._heap, (due_s, self._sequence, callback))

    def run_due(self, now_s: float) -> None:
        """Call the callbacks that are due at ``now_s``."""
        while self._heap and self._heap[0][0] <= now_s:
            heapq.heappop(self._heap)[2](now_s)

    def next_due_s(self) -> float | None:
        """Return the time of the earliest timer, or ``None``."""
        return self._heap[0][0] if self._heap else None
