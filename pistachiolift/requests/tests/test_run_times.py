"""Tests of the learned run times."""

import pytest

from pistachiolift.requests import RunTimeModel


class TestRunTimeModel:
    def test_unknown_kind_is_estimated_from_its_limit(self):
        """Guards against an estimate of zero for a kind that never ran."""
        model = RunTimeModel()
        assert model.mean("new", max_run_s=30.0) == pytest.approx(3.0)
        assert model.quantile("new", 0.99, max_run_s=30.0) == pytest.approx(3.0)
        assert model.mean("new") > 0
        assert not model.has_samples("new")

    def test_quantiles_and_mean_match_the_recorded_run_times(self):
        """Guards against errors of unit or precision."""
        model = RunTimeModel()
        for run_ms in range(1, 201):
            model.record("k", run_ms / 1000)
        assert model.quantile("k", 0.5) == pytest.approx(0.1, rel=0.08)
        assert model.quantile("k", 0.99) == pytest.approx(0.198, rel=0.08)
        assert model.mean("k") == pytest.approx(0.1005)

    def test_old_run_times_have_no_effect_after_the_window(self):
        """Guards against estimates that stay at earlier, longer run times."""
        model = RunTimeModel()
        for _ in range(5000):
            model.record("k", 10.0)
        for _ in range(512):
            model.record("k", 0.1)
        assert model.mean("k") == pytest.approx(0.1)
        assert model.quantile("k", 1.0) == pytest.approx(0.1, rel=0.02)

    def test_memory_is_bounded_for_many_kinds(self):
        """Guards against memory use that grows with every kind."""
        model = RunTimeModel(max_kinds=10)
        for number in range(100):
            model.record(f"k{number}", 1.0)
        assert len(model) == 10
        assert model.has_samples("k99")
        assert not model.has_samples("k0")

    @pytest.mark.parametrize("run_s", [-1.0, float("nan")])
    def test_invalid_run_time_is_rejected(self, run_s):
        """Guards against one invalid report that corrupts all estimates."""
        with pytest.raises(ValueError, match="0 or more"):
            RunTimeModel().record("k", run_s)
