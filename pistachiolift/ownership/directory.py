"""What one instance knows from the platform's list of instances."""

from collections.abc import Collection
from math import inf

from ..common import InstanceId, platform_instance_id
from .timings import OwnershipTimings

__all__ = ["DirectoryView"]


class DirectoryView:
    """The last answer of the directory, with the times that the rules count from.

    :param self_id: identity of this process.
    """

    def __init__(self, self_id: InstanceId, timings: OwnershipTimings):
        self._platform_id = platform_instance_id(self_id)
        self._timings = timings
        self._listed: frozenset[InstanceId] = frozenset()
        self._asked_at_s = -inf
        self._self_asked_at_s = -inf
        self._self_since_s = inf

    def take(
        self, entry_ids: Collection[InstanceId], asked_at_s: float, now_s: float
    ) -> bool:
        """Take over an answer.

        :returns: whether it continues the earlier answers without a gap.
        """
        continued = asked_at_s - self._asked_at_s <= self._timings.directory_fresh_s
        self._asked_at_s = asked_at_s
        self._listed = frozenset(entry_ids)
        if self._platform_id not in self._listed:
            self._self_asked_at_s = -inf
            self._self_since_s = inf
            return continued
        self._self_asked_at_s = asked_at_s
        self._self_since_s = min(self._self_since_s, now_s)
        return continued

    def later_than_known(self, asked_at_s: float) -> bool:
        """Tell whether an answer is not older than the one known."""
        return asked_at_s >= self._asked_at_s

    def lists(self, instance_id: InstanceId) -> bool:
        """Tell whether the last answer contains the instance of a process."""
        return platform_instance_id(instance_id) in self._listed

    def fresh(self, now_s: float) -> bool:
        """Tell whether the last answer is recent enough to count absences."""
        return now_s - self._asked_at_s <= self._timings.directory_fresh_s

    def authority_end_s(self, contact_s: float) -> float:
        """Return the time up to which this instance may rely on promises.

        A lagging answer may lack an instance that was listed a moment ago, so a
        claim may be on its way that rests on the time before. The instance relies
        on its listing only if it has renewed its lease since it first saw it: until
        that renewal no such claim was possible.

        :param contact_s: time of the last renewal that counts for the record.
        """
        if contact_s < self._self_since_s:
            return -inf
        fresh_s = self._timings.directory_fresh_s
        return self._self_asked_at_s + fresh_s - self._timings.margin_s(fresh_s)
