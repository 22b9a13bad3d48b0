"""Choice of owners and successors by rendezvous hashing."""

from collections.abc import Iterable, Mapping
from hashlib import blake2b

from ..common import DataCentreId, InstanceId, PartitionId

__all__ = ["SUCCESSOR_COUNT", "choose_successors", "plan_owners", "rank_instances"]

SUCCESSOR_COUNT = 2


def _score(partition_id: PartitionId, instance_id: InstanceId) -> int:
    text = f"{partition_id}\0{instance_id}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest())


def rank_instances(
    partition_id: PartitionId, instance_ids: Iterable[InstanceId]
) -> list[InstanceId]:
    """Return the instances in rendezvous order, highest score first."""
    return sorted(instance_ids, key=lambda each: (-_score(partition_id, each), each))


def plan_owners(
    data_centres_by_partition: Mapping[PartitionId, DataCentreId],
    data_centres_by_instance: Mapping[InstanceId, DataCentreId],
    loads_by_instance: Mapping[InstanceId, int],
) -> dict[PartitionId, InstanceId]:
    """Choose an owner for each partition that has none.

    Instances in the partition's data centre are preferred, then instances with fewer
    partitions, then the rendezvous order. Rendezvous hashing alone would too often
    assign three of eight partitions to one of nine instances. Instances with the same
    view of the fleet compute the same plan.

    :param data_centres_by_partition: the partitions without an owner.
    :param loads_by_instance: number of partitions that each instance owns.
    :returns: the owners; empty if there is no instance.
    """
    loads = dict(loads_by_instance)
    plan = {}
    for partition_id in sorted(data_centres_by_partition):
        data_centre = data_centres_by_partition[partition_id]
        local = [i for i, dc in data_centres_by_instance.items() if dc == data_centre]
        ranked = rank_instances(partition_id, local or data_centres_by_instance)
        if not ranked:
            continue
        owner = min(ranked, key=lambda each: loads.get(each, 0))
        loads[owner] = loads.get(owner, 0) + 1
        plan[partition_id] = owner
    return plan


def choose_successors(
    partition_id: PartitionId,
    owner_id: InstanceId,
    owner_data_centre: DataCentreId,
    data_centres_by_instance: Mapping[InstanceId, DataCentreId],
    *,
    keep: Iterable[InstanceId] = (),
) -> tuple[InstanceId, ...]:
    """Choose up to two successors, in data centres other than the owner's if possible.

    :param data_centres_by_instance: the candidates.
    :param keep: current successors that remain, in this order.
    """
    chosen = list(keep)[:SUCCESSOR_COUNT]
    if len(chosen) == SUCCESSOR_COUNT:
        return tuple(chosen)
    ranked = rank_instances(partition_id, data_centres_by_instance)
    used = {data_centres_by_instance.get(each) for each in chosen}
    while len(chosen) < SUCCESSOR_COUNT:
        candidates = [i for i in ranked if i != owner_id and i not in chosen]
        if not candidates:
            break
        best = min(
            candidates,
            key=lambda each: (
                data_centres_by_instance[each] == owner_data_centre,
                data_centres_by_instance[each] in used,
            ),
        )
        chosen.append(best)
        used.add(data_centres_by_instance[best])
    return tuple(chosen)
