"""Assignment of workers and jobs to partitions."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import NewType

import msgspec

from ..common import InstanceId, JobId, RackId, decode_json, encode_json
from ..workflows import JobGraph, PoolId, Worker

__all__ = [
    "PARTITION_MAP_KEY",
    "PartitionKeys",
    "PartitionMap",
    "PartitionNumber",
    "decode_partition_map",
    "encode_partition_map",
    "plan_partitions",
]

PartitionNumber = NewType("PartitionNumber", int)

PARTITION_MAP_KEY = "pistachiolift/partitions"
MAP_LIMIT_BYTES = 512 * 1024


@dataclass(frozen=True, slots=True)
class PartitionKeys:
    """Keys of one partition in the platform's store."""

    number: PartitionNumber

    @property
    def owner(self) -> str:
        """Key of the owner's record, attached to the owner's lease."""
        return f"pistachiolift/owner/{self.number:04d}"

    @property
    def claim(self) -> str:
        """Key that each claim of the ownership changes; it has no lease."""
        return f"pistachiolift/claim/{self.number:04d}"

    @property
    def log_prefix(self) -> str:
        """Prefix of the ledger's keys."""
        return f"pistachiolift/log/{self.number:04d}/"


class PartitionMap(msgspec.Struct, frozen=True, kw_only=True):
    """The partitions of a cell. The map is written once and never changes.

    :param count: number of partitions.
    :param partition_by_rack: partitions of the racks that were known when the map was
        written. A rack that is added later is assigned by its hash.
    """

    count: int
    partition_by_rack: dict[RackId, PartitionNumber] = {}

    def __post_init__(self) -> None:
        if self.count < 1:
            raise ValueError(f"count is {self.count}; at least 1")

    def numbers(self) -> list[PartitionNumber]:
        """Return the numbers of all partitions."""
        return [PartitionNumber(number) for number in range(self.count)]

    def _of_text(self, text: str) -> PartitionNumber:
        digest = blake2b(text.encode(), digest_size=8).digest()
        return PartitionNumber(int.from_bytes(digest) % self.count)

    def of_rack(self, rack: RackId) -> PartitionNumber:
        """Return the partition of a rack."""
        known = self.partition_by_rack.get(rack)
        return self._of_text(rack) if known is None else known

    def of_worker(self, worker: Worker) -> PartitionNumber:
        """Return the partition of a worker, which is that of its rack.

        A gang that must run within one rack can therefore use the whole rack.
        """
        return self.of_rack(worker.rack or RackId(worker.worker_id))

    def of_job(self, job_id: JobId) -> PartitionNumber:
        """Return the partition of a job without data locality."""
        return self._of_text(job_id)

    def of_graph(self, job_id: JobId, graph: JobGraph) -> PartitionNumber:
        """Return the partition that a job is submitted to."""
        racks = [step.data_rack for step in graph.steps if step.data_rack]
        return self.of_rack(racks[0]) if racks else self.of_job(job_id)

    def preferred_by(self, instance_id: InstanceId) -> PartitionNumber:
        """Return the partition that an instance prefers to own."""
        return self._of_text(instance_id)


def plan_partitions(
    workers: Iterable[Worker], *, workers_per_partition: int
) -> PartitionMap:
    """Divide the racks so that each pool's cores are spread evenly over the partitions.

    :param workers_per_partition: approximate number of workers per partition.
    """
    cores_by_rack: dict[tuple[PoolId, RackId], int] = defaultdict(int)
    total = 0
    for worker in workers:
        total += 1
        if worker.rack:
            cores_by_rack[worker.pool_id, worker.rack] += worker.capacity.cpu_milli
    count = max(1, round(total / workers_per_partition))
    used_by_pool: dict[PoolId, list[int]] = defaultdict(lambda: [0] * count)
    partition_by_rack: dict[RackId, PartitionNumber] = {}
    largest_first = sorted(
        cores_by_rack.items(), key=lambda item: (item[0][0], -item[1], item[0][1])
    )
    for (pool_id, rack), cores in largest_first:
        used = used_by_pool[pool_id]
        known = partition_by_rack.get(rack)
        number = used.index(min(used)) if known is None else known
        partition_by_rack[rack] = PartitionNumber(number)
        used[number] += cores
    return PartitionMap(
        count=count, partition_by_rack=partition_by_rack if count > 1 else {}
    )


def encode_partition_map(partition_map: PartitionMap) -> bytes:
    """Encode a map for the store."""
    return encode_json(partition_map)


def decode_partition_map(value: bytes) -> PartitionMap:
    """Decode a map from the store.

    :raises MalformedMessageError: if the value is malformed.
    """
    return decode_json(value, PartitionMap, limit_bytes=MAP_LIMIT_BYTES)
