"""Divides the customers' slot quotas between the partitions."""

from collections.abc import Callable

from ..common import CustomerId, KindId, PartitionId
from ..requests import ClassShares, KindPolicy, PolicySource

__all__ = ["PartitionPolicies"]


class PartitionPolicies(PolicySource):
    """The policies of one partition, with its part of each slot quota.

    A hash of their identifiers distributes requests over the partitions, so equal parts
    fit the demand without any exchange between owners. The parts of all partitions add
    up to the quota. A quota below the number of partitions counts as one slot in each,
    because any partition may be the home of a customer's request.

    :param partitions: returns all partitions.
    """

    def __init__(
        self,
        policies: PolicySource,
        partition_id: PartitionId,
        partitions: Callable[[], list[PartitionId]],
    ):
        self._policies = policies
        self._partition_id = partition_id
        self._partitions = partitions

    def kind_policy(self, customer_id: CustomerId, kind_id: KindId) -> KindPolicy:
        """See :meth:`PolicySource.kind_policy`."""
        return self._policies.kind_policy(customer_id, kind_id)

    def customer_weight(self, customer_id: CustomerId) -> int:
        """See :meth:`PolicySource.customer_weight`."""
        return self._policies.customer_weight(customer_id)

    def class_shares(self) -> ClassShares:
        """See :meth:`PolicySource.class_shares`."""
        return self._policies.class_shares()

    def quota_slots(self, customer_id: CustomerId) -> int:
        """Return this partition's part of a quota; 0 means unlimited."""
        quota = self._policies.quota_slots(customer_id)
        if quota == 0:
            return 0
        partitions = sorted(self._partitions())
        if self._partition_id not in partitions:
            return quota
        share, rest = divmod(quota, len(partitions))
        has_extra_slot = partitions.index(self._partition_id) < rest
        return max(1, share + has_extra_slot)
