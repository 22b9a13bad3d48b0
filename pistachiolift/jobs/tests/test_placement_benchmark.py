"""Tests of the placement benchmark, without assertions on durations."""

from pistachiolift.bench.placement import (
    LEDGER_WRITES_TARGET,
    PACKING_TARGET,
    measure_decisions,
    measure_packing,
)


class TestPlacementBenchmark:
    def test_packing(self):
        """Guards against a batch policy that packs worse than the textbook ones."""
        result = measure_packing(seeds=4)
        assert result.met and result.worst_ratio >= PACKING_TARGET
        assert max(result.used_by_policy.values()) <= result.bound

    def test_full_partition(self):
        """Guards against a benchmark that measures an idle partition."""
        result = measure_decisions(20, decisions=200)
        assert result.running_tasks > 0.9 * 15 * 20
        assert result.p50_s <= result.p99_s

    def test_store_calls(self):
        """Guards against ledger writes that grow with the number of tasks."""
        result = measure_decisions(100, decisions=300)
        assert result.ledger_writes_per_start < LEDGER_WRITES_TARGET
