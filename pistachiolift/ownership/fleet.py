"""One instance's view of the other instances, from their keys in the store."""

from collections.abc import Iterable, Mapping
from math import inf

from ..common import DataCentreId, InstanceId, PartitionId, platform_instance_id
from .assignment import plan_owners
from .partition import PartitionState
from .timings import OwnershipTimings

__all__ = ["FleetView"]


class FleetView:
    """The instances whose keys exist, and since when they exist or are missing.

    :param self_id: this instance.
    """

    def __init__(self, self_id: InstanceId, timings: OwnershipTimings):
        self._self_id = self_id
        self._timings = timings
        self._settled_at_s = inf
        self._settle_limit_at_s = inf
        self.version = 0
        self.asked_at_s = -inf
        self.data_centres: dict[InstanceId, DataCentreId] = {}
        self.present_since_s: dict[InstanceId, float] = {}
        self.leaving: frozenset[InstanceId] = frozenset()
        self._absent_since_s: dict[InstanceId, float] = {}

    def __contains__(self, instance_id: InstanceId) -> bool:
        return instance_id in self.data_centres

    def replace(
        self,
        seen: Mapping[InstanceId, DataCentreId],
        version: int,
        now_s: float,
        asked_at_s: float | None = None,
    ) -> None:
        """Replace the list of instances unless a later version is known."""
        if version < self.version:
            return
        self.version = version
        if asked_at_s is not None:
            self.asked_at_s = max(self.asked_at_s, asked_at_s)
        for each in self.data_centres.keys() - seen.keys():
            self._forget(each, now_s)
        joined = seen.keys() - self.data_centres.keys()
        for each in joined:
            self.present_since_s[each] = now_s
            self._absent_since_s.pop(each, None)
        self.data_centres = dict(seen)
        if joined:
            self._settled_at_s = now_s + self._timings.settle_s
        if self._self_id in joined and self._settle_limit_at_s == inf:
            self._settle_limit_at_s = now_s + self._timings.settle_limit_s

    def remove(self, instance_id: InstanceId, version: int, now_s: float) -> None:
        """Remove an instance whose key was deleted at a version."""
        if version >= self.version:
            self.version = version
            if instance_id in self.data_centres:
                self._forget(instance_id, now_s)

    def _forget(self, instance_id: InstanceId, now_s: float) -> None:
        del self.data_centres[instance_id]
        self.present_since_s.pop(instance_id, None)
        self._absent_since_s[instance_id] = now_s

    def has_settled(self, now_s: float) -> bool:
        """Return whether the set of instances has stopped growing since the start.

        Without this wait, the first of several instances that start at the same time
        would claim all partitions.
        """
        return now_s >= min(self._settled_at_s, self._settle_limit_at_s)

    def absent_for_s(self, instance_id: InstanceId, now_s: float) -> float:
        """Return how long the key of an instance has been missing; 0 if it exists."""
        if instance_id in self.data_centres:
            return 0.0
        return now_s - self._absent_since_s.setdefault(instance_id, now_s)

    def has_other_process(self, instance_id: InstanceId) -> bool:
        """Return whether another process on the same instance has a key."""
        platform = platform_instance_id(instance_id)
        return any(
            platform_instance_id(each) == platform and each != instance_id
            for each in self.data_centres
        )

    def present_for_s(self, instance_id: InstanceId, now_s: float) -> float:
        """Return how long the key of an instance has existed; 0 if it is missing."""
        return now_s - self.present_since_s.get(instance_id, now_s)

    def candidates(
        self, *, without: Iterable[InstanceId] = ()
    ) -> dict[InstanceId, DataCentreId]:
        """Return the instances that are not leaving, with their data centres."""
        excluded = self.leaving.union(without)
        return {i: dc for i, dc in self.data_centres.items() if i not in excluded}

    def plan(
        self,
        unowned: Iterable[PartitionState],
        partitions: Iterable[PartitionState],
        *,
        without: Iterable[InstanceId] = (),
    ) -> dict[PartitionId, InstanceId]:
        """Choose owners for partitions; loads are counted from the records seen."""
        return plan_owners(
            {each.partition_id: each.data_centre for each in unowned},
            self.candidates(without=without),
            self.loads(partitions),
        )

    def loads(self, partitions: Iterable[PartitionState]) -> dict[InstanceId, int]:
        """Return the number of partitions per owner, after handovers in progress."""
        loads: dict[InstanceId, int] = {}
        for each in partitions:
            owner = each.next_owner
            if owner is not None:
                loads[owner] = loads.get(owner, 0) + 1
        return loads
