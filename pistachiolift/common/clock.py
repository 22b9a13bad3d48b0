"""Clocks that can be replaced in tests."""

import time
from abc import ABC, abstractmethod

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(ABC):
    """A source of monotonic and wall time, both in seconds."""

    @abstractmethod
    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary fixed point; never decreases."""

    @abstractmethod
    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock(Clock):
    """The clocks of the operating system.

    The monotonic reading is ``CLOCK_BOOTTIME``, which keeps running while the
    machine is suspended, so that an expired lease does not appear valid on resume.
    """

    def monotonic_s(self) -> float:
        """Return the time since boot, including suspends, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when a test advances it.

    :param start_s: first monotonic reading, in seconds.
    :param wall_offset_s: wall time minus monotonic time, in seconds.
    """

    def __init__(self, *, start_s: float = 1000.0, wall_offset_s: float = 1.7e9):
        self._now_s = start_s
        self._wall_offset_s = wall_offset_s

    def monotonic_s(self) -> float:
        """Return the current reading, in seconds."""
        return self._now_s

    def wall_s(self) -> float:
        """Return the current wall time, in seconds."""
        return self._now_s + self._wall_offset_s

    def advance(self, interval_s: float) -> None:
        """Move the clock forward.

        :param interval_s: seconds to add, zero or more.
        """
        if interval_s < 0:
            raise ValueError(f"interval_s is {interval_s}; it must be 0 or more")
        self._now_s += interval_s
