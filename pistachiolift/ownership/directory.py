"""One instance's view of the platform's directory of instances."""

from collections.abc import Collection
from math import inf

from ..common import InstanceId, platform_instance_id
from .timings import OwnershipTimings

__all__ = ["DirectoryView"]


class DirectoryView:
    """The last answer of the directory and the times relevant to ownership.

    :param self_id: identity of this process.
    """

    def __init__(self, self_id: InstanceId, timings: OwnershipTimings):
        self._platform_id = platform_instance_id(self_id)
        self._timings = timings
        self._listed: frozenset[InstanceId] = frozenset()
        self._asked_at_s = -inf
        self._self_asked_at_s = -inf
        self._self_since_s = inf

    def update(
        self, entry_ids: Collection[InstanceId], asked_at_s: float, now_s: float
    ) -> bool:
        """Replace the last answer.

        :param asked_at_s: clock reading before the answer was requested, in seconds.
        :returns: whether the answer follows the previous one without a gap.
        """
        continued = (
            asked_at_s - self._asked_at_s <= self._timings.directory_answer_max_age_s
        )
        self._asked_at_s = asked_at_s
        self._listed = frozenset(entry_ids)
        if self._platform_id not in self._listed:
            self._self_asked_at_s = -inf
            self._self_since_s = inf
            return continued
        self._self_asked_at_s = asked_at_s
        self._self_since_s = min(self._self_since_s, now_s)
        return continued

    def is_not_older(self, asked_at_s: float) -> bool:
        """Return whether an answer is not older than the last one."""
        return asked_at_s >= self._asked_at_s

    def contains_instance(self, instance_id: InstanceId) -> bool:
        """Return whether the last answer lists the instance of a process."""
        return platform_instance_id(instance_id) in self._listed

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the last answer is recent enough to count absences."""
        return now_s - self._asked_at_s <= self._timings.directory_answer_max_age_s

    def promise_reliance_end_s(self, last_renewal_s: float) -> float:
        """Return the time until which this instance may rely on promises.

        An answer that lags may lack an instance that was listed only recently, so
        another instance may have sent a claim based on the time before the listing.
        This instance therefore relies on promises only if it has renewed its lease
        since it first saw itself listed; no such claim was possible before the renewal.

        :param last_renewal_s: time of the last renewal that counts for the record.
        """
        if last_renewal_s < self._self_since_s:
            return -inf
        fresh_s = self._timings.directory_answer_max_age_s
        return self._self_asked_at_s + fresh_s - self._timings.margin_s(fresh_s)
