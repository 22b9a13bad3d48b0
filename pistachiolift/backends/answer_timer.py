"""Adaptive time-out of calls, based on the measured response times."""

__all__ = ["AnswerTimer"]

# Gains of RFC 6298 for the smoothed response time and its deviation.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_FACTOR = 4.0


class AnswerTimer:
    """A time-out that adapts to the response times, as in RFC 6298.

    A lost answer is detected quickly while the server is fast, and a server that has
    become slow does not get repeated calls.

    :param min_timeout_s: lower bound of the time-out, in seconds; it must exceed the
        pauses of a process on a small instance.
    :param max_timeout_s: upper bound of the time-out, in seconds.
    """

    def __init__(self, *, min_timeout_s: float, max_timeout_s: float):
        self._min_timeout_s = min_timeout_s
        self._max_timeout_s = max_timeout_s
        self._mean_s: float | None = None
        self._deviation_s = 0.0
        self._backoff_factor = 1.0

    @property
    def timeout_s(self) -> float:
        """Seconds after which a call counts as unanswered."""
        if self._mean_s is None:
            estimate_s = self._min_timeout_s
        else:
            estimate_s = self._mean_s + DEVIATION_FACTOR * self._deviation_s
        timeout_s = max(self._min_timeout_s, estimate_s) * self._backoff_factor
        return min(self._max_timeout_s, timeout_s)

    def record_answer(self, elapsed_s: float) -> None:
        """Record the response time of an answered call, in seconds."""
        self._backoff_factor = 1.0
        if self._mean_s is None:
            self._mean_s, self._deviation_s = elapsed_s, elapsed_s / 2
            return
        difference_s = elapsed_s - self._mean_s
        self._deviation_s += DEVIATION_GAIN * (abs(difference_s) - self._deviation_s)
        self._mean_s += MEAN_GAIN * difference_s

    def record_timeout(self) -> None:
        """Record an unanswered call; doubles the time-out until the next answer."""
        if self.timeout_s < self._max_timeout_s:
            self._backoff_factor *= 2
