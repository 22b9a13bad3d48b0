"""How long to wait for an answer before a call is made again."""

__all__ = ["AnswerTimer"]

# Gains of RFC 6298 for the mean and the deviation.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4.0


class AnswerTimer:
    """A time limit that follows the times that answers take, as in RFC 6298.

    A lost answer is found out soon while a server is fast, and a server that has
    become slow is not called again and again.

    :param shortest_s: lower bound of the limit, in seconds; covers the pauses of a
        process on a small instance.
    :param longest_s: upper bound of the limit, in seconds.
    """

    def __init__(self, *, min_timeout_s: float, max_timeout_s: float):
        self._shortest_s = min_timeout_s
        self._longest_s = max_timeout_s
        self._mean_s: float | None = None
        self._deviation_s = 0.0
        self._factor = 1.0

    @property
    def timeout_s(self) -> float:
        """Seconds after which a call counts as unanswered."""
        if self._mean_s is None:
            estimate_s = self._shortest_s
        else:
            estimate_s = self._mean_s + DEVIATIONS * self._deviation_s
        limit_s = max(self._shortest_s, estimate_s) * self._factor
        return min(self._longest_s, limit_s)

    def record_answer(self, took_s: float) -> None:
        """Note how long an answer took."""
        self._factor = 1.0
        if self._mean_s is None:
            self._mean_s, self._deviation_s = took_s, took_s / 2
            return
        difference_s = took_s - self._mean_s
        self._deviation_s += DEVIATION_GAIN * (abs(difference_s) - self._deviation_s)
        self._mean_s += MEAN_GAIN * difference_s

    def record_timeout(self) -> None:
        """Double the limit until the next answer."""
        if self.timeout_s < self._longest_s:
            self._factor *= 2
