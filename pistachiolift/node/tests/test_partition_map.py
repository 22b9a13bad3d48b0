"""Assignment of racks, workers and jobs to partitions."""

from collections import Counter

import pytest

from pistachiolift.common import JobId, MalformedMessageError, RackId, WorkerId
from pistachiolift.node.partition_map import (
    PartitionKeys,
    PartitionMap,
    decode_partition_map,
    encode_partition_map,
    plan_partitions,
)
from pistachiolift.workflows import PoolId, Size, Worker, WorkerState
from pistachiolift.workflows.tests.virtual_cell import make_graph, make_step

PER_PARTITION = 48


def make_workers(racks, per_rack=12, *, pool="pool"):
    return [
        Worker(
            worker_id=WorkerId(f"{pool}-{rack}-{index}"),
            address="127.0.0.1:1",
            pool_id=PoolId(pool),
            zone="z",
            incarnation=1,
            state=WorkerState.READY,
            capacity=Size(cpu_milli=32_000, memory_mb=65_536),
            labels=("a", f"{pool}-r{rack}"),
            rack=RackId(f"{pool}-r{rack}"),
        )
        for rack in range(racks)
        for index in range(per_rack)
    ]


class TestPlan:
    def test_a_small_fleet_is_one_partition(self):
        planned = plan_partitions(make_workers(4), workers_per_partition=176)
        assert planned == PartitionMap(count=1)

    def test_each_partition_has_its_share_of_each_pool(self):
        workers = make_workers(15) + make_workers(9, pool="other")
        planned = plan_partitions(workers, workers_per_partition=96)
        assert planned.count == 3
        shares = Counter((w.pool_id, planned.of_worker(w)) for w in workers)
        assert set(shares.values()) == {5 * 12, 3 * 12}

    def test_workers_of_a_rack_share_a_partition_even_if_the_rack_is_added_later(self):
        planned = plan_partitions(make_workers(12), workers_per_partition=PER_PARTITION)
        for rack in range(20):
            members = make_workers(rack + 1)[-12:]
            assert len({planned.of_worker(worker) for worker in members}) == 1

    def test_a_fleet_without_workers_is_one_partition(self):
        assert plan_partitions([], workers_per_partition=PER_PARTITION).count == 1


class TestJobs:
    def test_jobs_are_spread_evenly(self):
        partition_map = PartitionMap(count=3)
        jobs = [JobId(f"{index:016x}") for index in range(3000)]
        counts = Counter(partition_map.of_job(job) for job in jobs)
        assert set(counts) == {0, 1, 2}
        assert min(counts.values()) > 900

    def test_a_job_goes_to_the_partition_of_its_data(self):
        partition_map = PartitionMap(count=2, partition_by_rack={RackId("r"): 1})
        near = make_graph(make_step(), make_step(data_rack=RackId("r")))
        jobs = [JobId(f"{index:016x}") for index in range(20)]
        assert {partition_map.of_graph(job, near) for job in jobs} == {1}
        assert {partition_map.of_graph(job, make_graph()) for job in jobs} == {0, 1}


class TestCodec:
    def test_a_map_is_read_as_it_was_written(self):
        planned = plan_partitions(make_workers(12), workers_per_partition=PER_PARTITION)
        assert decode_partition_map(encode_partition_map(planned)) == planned

    @pytest.mark.parametrize("value", [b"", b"{}", b'{"count":0}', b'{"count":"x"}'])
    def test_a_malformed_map_is_refused(self, value):
        with pytest.raises(MalformedMessageError):
            decode_partition_map(value)

    def test_no_key_of_a_partition_is_the_prefix_of_another_one_s(self):
        keys = [PartitionKeys(number) for number in range(120)]
        names = [n for k in keys for n in (k.owner, k.claim, k.log_prefix)]
        for name in names:
            assert [other for other in names if other.startswith(name)] == [name]
