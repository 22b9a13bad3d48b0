"""The partitions, their last known owners and the home partition of a request."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..common import (
    DataCentreId,
    Epoch,
    InstanceId,
    NoOwnerError,
    PartitionId,
    RequestId,
    rendezvous_ranking,
)

__all__ = ["Ownership", "PartitionMap"]

# A caller's identifier may begin with a data centre and this separator, which selects a
# home partition in that data centre.
DATA_CENTRE_SEPARATOR = ":"


@dataclass(frozen=True, slots=True)
class Ownership:
    """Last known owner of a partition."""

    owner: InstanceId
    epoch: Epoch


class PartitionMap:
    """The partitions of all data centres, from the settings."""

    def __init__(self) -> None:
        self._partitions_by_data_centre: dict[DataCentreId, list[PartitionId]] = {}
        self._data_centre_by_partition: dict[PartitionId, DataCentreId] = {}
        self._ownership_by_partition: dict[PartitionId, Ownership] = {}

    def configure(self, data_centres: Iterable[DataCentreId], count: int) -> None:
        """Set the partitions.

        :param count: partitions in each data centre.
        """
        self._partitions_by_data_centre = {
            dc: [PartitionId(f"{dc}-{n}") for n in range(count)] for dc in data_centres
        }
        self._data_centre_by_partition = {
            partition: dc
            for dc, partitions in self._partitions_by_data_centre.items()
            for partition in partitions
        }

    @property
    def data_centre_by_partition(self) -> dict[PartitionId, DataCentreId]:
        """All partitions with their data centres."""
        return self._data_centre_by_partition

    def record_owner(
        self, partition_id: PartitionId, owner: InstanceId, epoch: Epoch
    ) -> bool:
        """Record the owner of a partition, unless a newer one is known.

        :returns: whether the epoch was higher than the known one.
        """
        known = self._ownership_by_partition.get(partition_id)
        if known is not None and known.epoch >= epoch:
            return False
        self._ownership_by_partition[partition_id] = Ownership(owner, epoch)
        return True

    def ownership(self, partition_id: PartitionId) -> Ownership | None:
        """Return the last known owner, or ``None``."""
        return self._ownership_by_partition.get(partition_id)

    def home_of(
        self, request_id: RequestId, key: str, allowed: Iterable[DataCentreId]
    ) -> PartitionId:
        """Return the home partition of a request.

        :param key: the caller's identifier, which may begin with a data centre.
        :param allowed: data centres where the kind may run; empty means all.
        :raises NoOwnerError: if no partition is allowed.
        """
        data_centres = self._candidate_data_centres(key, allowed)
        partitions = [
            partition
            for dc in data_centres
            for partition in self._partitions_by_data_centre[dc]
        ]
        if not partitions:
            raise NoOwnerError("no data centre is configured for this kind")
        return PartitionId(rendezvous_ranking(request_id, partitions)[0])

    def _candidate_data_centres(
        self, key: str, allowed: Iterable[DataCentreId]
    ) -> list[DataCentreId]:
        wanted = set(allowed)
        known = [
            dc for dc in self._partitions_by_data_centre if not wanted or dc in wanted
        ]
        prefix = key.partition(DATA_CENTRE_SEPARATOR)[0]
        return [DataCentreId(prefix)] if prefix in known else known

    def member_partition(
        self, data_centre: DataCentreId, member_id: str
    ) -> PartitionId | None:
        """Return the partition of an upstream or worker, or ``None``."""
        partitions = self._partitions_by_data_centre.get(data_centre)
        if not partitions:
            return None
        return PartitionId(rendezvous_ranking(member_id, partitions)[0])
