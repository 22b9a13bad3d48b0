"""Quarantines by recent failures, and data centres that fail as a whole."""

import pytest

from pistachiolift.workflows import JobStatus
from pistachiolift.workflows.failure_rates import (
    PERIODS_S,
    RISK_S,
    FailureRates,
)

from .uneven_cell import REBUILD, URGENT, UnevenCell
from .uneven_scenarios import (
    FAULT_AT_S,
    LOAD_S,
    chance,
    fail,
    fail_at_end,
    fail_zone,
    faulty_jobs,
    run_scenario,
)
from .virtual_cell import make_graph, make_queue, make_step

FAULT_S = 6.5
# A probe follows within a period and shows in a report after 0.8 s, or two.
RECOVERY_S = PERIODS_S[0] + 2 * 0.8


def make_rates(limit=10):
    return FailureRates(limit=lambda: limit)


class TestQuarantine:
    def test_the_second_failure_counts_if_a_job_succeeds_elsewhere(self):
        rates = make_rates()
        rates.record_success("w2", "known", now_s=0.0)
        assert rates.record_failure("w1", "other", 1.0) == []
        assert rates.record_failure("w1", "known", 1.5) == ["w1"]

    def test_three_failures_of_unknown_jobs_are_needed(self):
        rates = make_rates()
        assert rates.record_failure("w1", "a", 0.0) == []
        assert rates.record_failure("w1", "b", 0.2) == []
        assert rates.record_failure("w1", "c", 0.4) == ["w1"]

    def test_failures_that_lie_far_apart_do_not_add_up(self):
        rates = make_rates()
        for number in range(10):
            assert rates.record_failure("w1", f"j{number}", 20.0 * number) == []

    def test_many_failures_of_one_job_count_once(self):
        rates = make_rates()
        rates.record_success("w2", "a", now_s=0.0)
        for number in range(10):
            assert rates.record_failure("w1", "a", 0.1 * number) == []

    def test_runs_from_before_the_fault_do_not_clear_the_worker(self):
        """Guards against faults that hit new runs only, while older ones end well."""
        rates = make_rates()
        for job in "ab":
            rates.record_failure("w1", job, 1.0, started_s=0.9)
            rates.record_success("w1", "old", started_s=0.2, now_s=1.1)
        assert rates.record_failure("w1", "c", 1.2, started_s=1.1) == ["w1"]
        rates.record_success("w1", "old", started_s=0.2, now_s=1.3)
        assert rates.is_quarantined("w1")

    def test_a_worker_that_fails_half_of_its_runs_is_found(self):
        rates = make_rates()
        changed = []
        for number in range(12):
            now_s = 0.3 * number
            rates.record_success("w1", f"good{number}", started_s=now_s, now_s=now_s)
            changed += rates.record_failure("w1", f"bad{number}", now_s + 0.1)
        assert changed

    def test_rare_failures_are_no_reason(self):
        rates = make_rates()
        for number in range(200):
            now_s = 0.4 * number
            if number % 20 == 0:
                assert rates.record_failure("w1", f"j{number}", now_s) == []
            rates.record_success("w1", f"j{number}", started_s=now_s, now_s=now_s)

    def fail_jobs_everywhere(self, rates, *, jobs):
        """Let jobs fail three times on each of three workers with a few successes."""
        changed = []
        for number in range(jobs):
            now_s = 0.3 * number
            for worker in ("w1", "w2", "w3") * 3:
                started_s = now_s - 0.1
                changed += rates.record_failure(
                    worker, f"bad{number}", now_s, started_s=started_s
                )
            for worker in ("w1", "w2", "w3"):
                rates.record_success(worker, "good", started_s=now_s, now_s=now_s)
        return changed

    def test_jobs_that_fail_everywhere_do_not_count_in_the_share(self):
        """Guards against quarantines of sound workers by faulty jobs of many tasks."""
        rates = make_rates()
        assert self.fail_jobs_everywhere(rates, jobs=12) == []
        assert rates.failure_share("w1") == 0.0

    def test_their_failures_stay_out_once_they_are_forgotten(self):
        rates = make_rates()
        self.fail_jobs_everywhere(rates, jobs=12)
        for number in range(12):
            rates.forget_job(f"bad{number}")
        assert rates.failure_share("w1") == 0.0
        assert rates.record_failure("w1", "other", 3.4, started_s=3.35) == []

    def test_the_failures_count_again_if_the_job_succeeds_after_all(self):
        """Guards against failing workers that the first jobs there hide."""
        rates = make_rates()
        self.fail_jobs_everywhere(rates, jobs=1)
        rates.record_success("w4", "bad0", now_s=0.1)
        assert rates.failure_share("w1") == pytest.approx(0.5)

    def test_workers_in_quarantine_are_one_place(self):
        """Guards against sound jobs that release the failing workers they met."""
        rates = make_rates()
        for worker in ("w1", "w2", "w3"):
            for number in range(3):
                rates.record_failure(worker, f"{worker}-{number}", 1.0)
            rates.record_failure(worker, "k", 1.1)
        assert not rates.job_fails_everywhere("k")
        rates.record_failure("w4", "k", 1.2)
        rates.record_failure("w5", "k", 1.3)
        assert rates.job_fails_everywhere("k")

    def test_no_more_than_the_limit(self):
        """Guards against jobs that wait beside many idle workers."""
        rates = make_rates(limit=2)
        for worker in ("w1", "w2", "w3"):
            for number in range(3):
                rates.record_failure(worker, f"{worker}-{number}", 0.1 * number)
        assert [rates.is_quarantined(w) for w in ("w1", "w2", "w3")] == [1, 1, 0]


class TestProbes:
    def quarantine(self, rates):
        for job in "abc":
            rates.record_failure("w1", job, 1.0, started_s=0.5)
        assert rates.is_quarantined("w1")

    def test_probes_follow_soon_and_later_more_rarely(self):
        rates = make_rates()
        self.quarantine(rates)
        now_s = 1.0
        for number in range(1, 8):
            period_s = rates.quarantined_until_s("w1") - now_s
            expected_s = PERIODS_S[min(number, len(PERIODS_S)) - 1]
            factor = 2 ** max(0, number - len(PERIODS_S))
            assert period_s == pytest.approx(expected_s * factor)
            now_s += period_s
            assert rates.accepts("w1", now_s)
            rates.record_placement("w1")
            assert not rates.accepts("w1", now_s), "more than one probe"
            rates.record_failure("w1", f"p{number}", now_s, started_s=now_s)

    def test_the_end_of_an_older_run_is_not_the_probe(self):
        rates = make_rates()
        self.quarantine(rates)
        rates.record_placement("w1")
        assert rates.record_failure("w1", "old", 3.0, started_s=0.8) == []
        assert rates.quarantined_until_s("w1") == 1.0 + PERIODS_S[0]

    def test_a_probe_that_outlives_the_failed_runs_ends_the_quarantine(self):
        rates = make_rates()
        self.quarantine(rates)
        rates.record_placement("w1")
        assert not rates.record_probe("w1", zone="", age_s=9.0, now_s=3.0), "unknown"
        rates.record_failure("w1", "p", 3.0, started_s=2.8)
        assert not rates.record_probe("w1", zone="", age_s=0.4, now_s=5.0)
        assert rates.record_probe("w1", zone="", age_s=0.8, now_s=5.0)
        assert not rates.is_quarantined("w1")


class TestDataCentres:
    SIZES = {"z1": 6, "z2": 6, "z3": 6}

    def fail_zone(self, rates, workers, now_s=1.0):
        for worker in workers:
            zone = "z" + worker[1]
            started_s = now_s - 0.1
            rates.record_failure(
                worker, f"of-{worker}", now_s, zone=zone, started_s=started_s
            )
        rates.update_zones(self.SIZES, now_s)

    def test_half_of_its_workers(self):
        rates = make_rates()
        self.fail_zone(rates, ["w1a", "w1b"])
        assert not rates.failing_zones
        self.fail_zone(rates, ["w1c"], now_s=1.2)
        assert rates.failing_zones == {"z1"}

    def test_workers_that_fail_everywhere_are_no_data_centre(self):
        rates = make_rates()
        self.fail_zone(rates, ["w1a", "w1b", "w1c", "w2a", "w2b", "w3a"])
        assert not rates.failing_zones

    def test_one_job_is_no_reason(self):
        """Guards against a faulty job whose tasks fail in one data centre first."""
        rates = make_rates()
        rates.update_zones(self.SIZES, 0.0)
        for worker in ("w1a", "w1b", "w1c", "w1d"):
            rates.record_failure(worker, "k", 1.0, zone="z1")
        rates.update_zones(self.SIZES, 1.0)
        assert not rates.failing_zones
        rates.record_failure("w1a", "other", 1.1, zone="z1")
        rates.update_zones(self.SIZES, 1.1)
        assert rates.failing_zones == {"z1"}

    def test_each_failure_there_starts_a_quarantine(self):
        rates = make_rates()
        self.fail_zone(rates, ["w1a", "w1b", "w1c"])
        assert rates.record_failure("w1d", "k", 1.3, zone="z1") == ["w1d"]

    def test_a_job_that_fails_only_there_is_not_faulty(self):
        """Guards against quarantines that are lifted in a failing data centre."""
        rates = make_rates()
        self.fail_zone(rates, ["w1a", "w1b", "w1c"])
        for worker in ("w1a", "w1b", "w1c"):
            rates.record_failure(worker, "k", 1.3, zone="z1")
        assert not rates.job_fails_everywhere("k")
        assert rates.is_quarantined("w1a")

    def test_a_job_is_faulty_if_it_fails_in_two_data_centres(self):
        """Guards against evidence of a failing data centre that its jobs discard."""
        rates = make_rates()
        rates.update_zones(self.SIZES, 0.0)
        for worker in ("w1a", "w1b", "w1c"):
            rates.record_failure(worker, "k", 1.0, zone="z1")
        assert not rates.job_fails_everywhere("k")
        rates.record_failure("w2a", "k", 1.2, zone="z2")
        assert rates.job_fails_everywhere("k")
        assert rates.failing_job_count("w1a") == 0

    def test_two_successes_of_new_runs_end_the_failure(self):
        rates = make_rates()
        self.fail_zone(rates, ["w1a", "w1b", "w1c"])
        rates.record_failure("w1d", "k", 1.3, zone="z1", started_s=1.2)
        for worker, started_s in (("w1e", 0.5), ("w1f", 2.0)):
            rates.record_success(worker, "k", zone="z1", started_s=started_s, now_s=3.0)
        assert rates.failing_zones
        rates.record_success("w1g", "k", zone="z1", started_s=2.0, now_s=3.0)
        assert not rates.failing_zones
        assert rates.accepts("w1d", 3.0), "probes follow at once"


class TestCell:
    @pytest.mark.parametrize("scenario", [fail, fail_at_end, fail_zone])
    @pytest.mark.parametrize("seed", range(3))
    def test_no_job_fails(self, scenario, seed):
        """Load: all three kinds; 5 of 36 workers, or 12, fail what they start 6.5 s.

        Guards against jobs given up after three failures on failing workers.
        """
        cell = run_scenario(scenario, seed)
        assert {cell.status(job) for job in cell.submitted_s} == {JobStatus.COMPLETED}

    @pytest.mark.parametrize("scenario", [fail, fail_zone])
    @pytest.mark.parametrize("seed", range(3))
    def test_workers_are_used_again_soon_after_the_fault(self, scenario, seed):
        """Load: as above; no task waits beside a sound worker in quarantine."""
        cell = UnevenCell(seed=seed)
        cell.seed = seed
        cell.submit_mix(LOAD_S, seed=seed)
        scenario(cell)
        cell.run(FAULT_AT_S + FAULT_S + 2 * RECOVERY_S)
        state = cell.scheduler.state
        quarantined = [e for e in state.workers_by_id.values() if e.quarantined_s]
        assert not (quarantined and state.open_steps)

    @pytest.mark.parametrize("scenario", [faulty_jobs, chance])
    @pytest.mark.parametrize("seed", [1, 3])
    def test_failures_of_jobs_keep_no_sound_worker_idle(self, seed, scenario):
        """Load: all three kinds; jobs that fail everywhere, or 3% of all runs.

        Guards against quarantines of sound workers while tasks wait. A worker gets
        a probe after the first period, so that none stays in quarantine for long.
        """
        cell = run_scenario(scenario, seed)
        assert cell.counts["health.zone_failing"] == 0
        quarantines = cell.counts["health.worker_quarantined"]
        # Less than 1 in 50 of the time of all workers.
        assert quarantines * PERIODS_S[0] < 36 * LOAD_S / 50

    def test_one_task_at_a_time_is_the_probe(self):
        """Load: a rebuild of 60 tasks on 3 workers, one of which fails all of them.

        Guards against several tasks that one placing pass puts on a worker.
        """
        cell = UnevenCell(sizes=(32,) * 3)
        cell.fail_after_s = 0.1
        cell.fail("w0", 60.0)
        queue = make_queue("r", priority=2, max_failures=9)
        for number in range(3):
            step = make_step(20, cpu=4000, estimate_s=1.0)
            cell.submit(f"r{number}", queue, make_graph(step))
        entry = cell.scheduler.state.workers_by_id["w0"]
        most = 0
        for _ in range(120):
            cell.run(0.05)
            if entry.quarantined_s is not None:
                since_s = entry.quarantined_s
                placed = [r for r in entry.runs.values() if r.placed_s >= since_s]
                most = max(most, len(placed))
        assert most == 1

    def test_a_last_attempt_waits_for_a_sound_worker(self):
        """Load: a check beside a full sound worker and a failing one."""
        cell = UnevenCell(sizes=(8, 8))
        cell.fail_after_s = 0.1
        cell.fail("w0", 60.0)
        cell.run(0.2)
        full = make_step(1, cpu=8000, estimate_s=2.0)
        cell.scheduler.state.workers_by_id["w0"].paused_until_s = cell.now_s + 0.1
        cell.submit("full", REBUILD, make_graph(full))
        cell.run(0.2)
        job = cell.submit("a", URGENT, make_graph(make_step(1, cpu=4000)))
        cell.run(2.0 + 2.0)
        assert cell.status(job) is JobStatus.COMPLETED
        assert [w for _, w, _ in cell.runs_by_job[job]] == ["w0", "w0", "w1"]

    def test_a_gang_gets_quarantined_workers_in_the_end(self):
        """Load: checks, and later a gang that needs all 4 workers, alone.

        Guards against a gang that waits for ever for probes of other tasks.
        """
        cell = UnevenCell(sizes=(8,) * 4)
        cell.fail_after_s = 0.1
        cell.fail("w0", 2.0)
        for number in range(12):
            queue = make_queue("q", priority=2, max_failures=9)
            step = make_step(4, cpu=2000, estimate_s=0.5)
            cell.at(0.1 * number, cell.submit, f"j{number}", queue, make_graph(step))
        cell.run(1.0)
        assert cell.scheduler.state.health.is_quarantined("w0")
        for number in range(12):
            cell.at(0.5, cell.cancel, f"j{number}")
        cell.run(1.0)
        gang = make_step(8, cpu=4000, estimate_s=1.0, gang=True)
        job = cell.submit("g", URGENT, make_graph(gang))
        cell.run(12.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_the_wait_is_bounded(self):
        """Guards against a last attempt that waits for ever beside one worker."""
        cell = UnevenCell(sizes=(8,))
        cell.fail_after_s = 0.1
        cell.fail("w0", 1.0)
        cell.run(0.2)
        job = cell.submit("a", URGENT, make_graph(make_step(1, cpu=4000)))
        cell.run(RISK_S + 4.0)
        assert cell.status(job) is JobStatus.COMPLETED
