"""Timers of the job scheduler."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

__all__ = ["Timers"]


class Timers:
    """Callbacks ordered by due time.

    Timers are not cancelled. Each callback checks whether it still applies, which is
    cheaper than removal from the heap.
    """

    def __init__(self):
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._sequence = count()

    def schedule(self, due_s: float, callback: Callable, *args: object) -> None:
        """Call ``callback(*args, now_s)`` in the first run at or after ``due_s``."""
        heappush(self._heap, (due_s, next(self._sequence), callback, args))

    def run(self, now_s: float) -> None:
        """Call all callbacks that are due."""
        while self._heap and self._heap[0][0] <= now_s:
            _, _, callback, args = heappop(self._heap)
            callback(*args, now_s)

    def next_due_s(self) -> float | None:
        """Return the earliest due time, or ``None`` if there is no timer."""
        return self._heap[0][0] if self._heap else None
