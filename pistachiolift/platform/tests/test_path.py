"""Jobs from submission to completion, with real processes and platform stand-ins."""

import json
import time
from urllib.parse import quote

import pytest

from pistachiolift.cli.exit_codes import ExitCode

from .odd_entries import ODD_ENTRIES
from .platform_cell import PlatformCell

JOB = "00000000000000{:02x}"


@pytest.fixture
def cell(tmp_path):
    with PlatformCell(tmp_path) as running:
        yield running


def overlaps(runs):
    """Return pairs of runs of the same task that overlap in time."""
    found = []
    for i, run in enumerate(runs):
        for other in runs[i + 1 :]:
            if run["task"] != other["task"]:
                continue
            ends = [r["end"] or float("inf") for r in (run, other)]
            if run["start"] < ends[1] and other["start"] < ends[0]:
                found.append((run, other))
    return found


def done_twice(runs):
    """Return the tasks that ended successfully more than once."""
    done = [run["task"] for run in runs if run["how"] == "done"]
    return {task for task in done if done.count(task) > 1}


class TestCalls:
    def test_a_job_goes_from_acceptance_to_completion(self, cell):
        job = JOB.format(1)
        steps = [
            {"Count": 3, "Cpu": 500, "MemMb": 100, "EstimateMs": 200},
            {"Count": 1, "Cpu": 500, "MemMb": 100, "EstimateMs": 200, "After": [0]},
        ]
        assert cell.submit(0, job, steps=steps) == 200
        assert cell.submit(1, job, steps=steps) == 200
        cell.wait_until(lambda: cell.state(2, job) == "completed", "completion", 10)
        runs = cell.runs()
        assert len(runs) == 4
        last = next(run for run in runs if run["task"].endswith(".1.0"))
        assert all(run["end"] <= last["start"] for run in runs if run is not last)
        assert cell.call(0, "DELETE", f"/urgent/{job}")[0] == 200
        assert cell.state(0, job) == "completed"

    def test_calls_that_cannot_be_served_get_their_status(self, cell):
        job = JOB.format(2)
        assert cell.call(0, "GET", f"/urgent/{job}")[0] == 410
        assert cell.call(0, "DELETE", f"/urgent/{job}")[0] == 410
        assert cell.call(0, "GET", f"/nowhere/{job}")[0] == 404
        assert cell.call(0, "GET", "/urgent/")[1] == {"Waiting": 0}
        assert cell.call(0, "POST", f"/urgent/{job}", ["no job"])[0] == 400
        assert cell.submit(0, "not-an-id") == 400
        wrong = [{"Count": 0, "Cpu": 1}]
        assert cell.submit(0, job, steps=wrong) == 400
        later = [{"Count": 1, "Cpu": 1, "After": [1]}, {"Count": 1, "Cpu": 1}]
        assert cell.submit(0, job, steps=later) == 400
        cell.control("/item/servers/i-broken", {"Service": 3})
        cell.control("/item/op/config", {"Version": "x"})
        assert cell.submit(0, job) == 200
        cell.wait_until(lambda: cell.state(1, job) == "completed", "completion", 10)

    def test_operators_can_explain_jobs_at_any_instance(self, cell):
        """Every instance answers operators, whether it is the owner or not."""
        job = JOB.format(9)
        steps = [
            {"Count": 2, "Cpu": 500, "MemMb": 100, "EstimateMs": 200},
            {"Count": 1, "Cpu": 500, "MemMb": 100, "EstimateMs": 200, "After": [0]},
        ]
        assert cell.submit(0, job, ms=60_000, steps=steps) == 200
        cell.wait_until(lambda: len(cell.runs()) == 2, "both tasks run", 10)
        for index in range(3):
            explained = cell.operate(index, "explain", "job", job)
            assert explained.returncode == 0, explained.stderr
            assert "is running. Of 3 tasks 2 are placed" in " ".join(
                explained.stdout.split()
            )
            assert "Task 1.0" in explained.stdout
            assert "the steps before it have not succeeded" in explained.stdout
            shown = cell.operate(index, "status", "--output", "json")
            assert shown.returncode == 0, shown.stderr
            [partition] = json.loads(shown.stdout)["partitions"]
            owner = json.loads(cell.settings_path(cell.owner()).read_text())
            assert partition["owner"] == owner["instance_id"]
            assert partition["status"]["jobs"]["tasks_placed"] == 2
        for arguments in (
            ("explain", "job", JOB.format(10)),
            ("explain", "job", "no-identifier"),
            ("status", "--partition", "7"),
            ("status", "--partition", "x"),
        ):
            unknown = cell.operate(0, *arguments)
            assert unknown.returncode == ExitCode.NOT_FOUND, unknown.stderr

    def test_a_queue_with_advice_is_served(self, cell):
        job = JOB.format(3)
        assert cell.submit(0, job, queue="advised") == 200
        cell.wait_until(
            lambda: cell.state(0, job, "advised") == "completed", "completion", 10
        )

    def test_a_cancelled_job_is_stopped(self, cell):
        job = JOB.format(4)
        assert cell.submit(0, job, ms=20_000) == 200
        cell.wait_until(lambda: cell.state(0, job) == "running", "start", 10)
        assert cell.call(1, "DELETE", f"/urgent/{job}")[0] == 200
        assert cell.state(2, job) == "cancelled"
        cell.wait_until(
            lambda: all(run["how"] == "stopped" for run in cell.runs()), "stops", 5
        )


class TestEntriesOfAnotherWriter:
    """Guards against owners that give up one after the other.

    Each of them reads the same directory entry when it takes over.
    """

    def test_jobs_are_done_beside_odd_entries_also_after_a_kill(self, cell):
        for key, value in ODD_ENTRIES.values():
            # The control port does not accept paths with a line break.
            if "\n" not in key:
                cell.control("/item/" + quote(key), value)
        jobs = [JOB.format(0x60 + n) for n in range(3)]
        for index, job in enumerate(jobs):
            assert cell.submit(index, job, ms=1500) == 200
        cell.wait_until(lambda: len(cell.runs()) == 6, "starts", 10)
        owner = cell.owner()
        cell.kill(owner)
        other = (owner + 1) % 3
        for job in jobs:
            cell.wait_until(
                lambda job=job: cell.state(other, job) == "completed", "completion", 15
            )
        assert done_twice(cell.runs()) == set()
        for index in {0, 1, 2} - {owner}:
            log = (cell.directory / f"instance-{index}.log").read_text()
            assert "level=ERROR" not in log


class TestFailures:
    def _submit_until_accepted(self, cell, indices, job, **options):
        """Submit to the instances in turn until one accepts, as a client does."""
        for _ in range(40):
            for index in indices:
                if cell.submit(index, job, **options) == 200:
                    return
            time.sleep(0.1)
        raise AssertionError(f"job {job} was never accepted")

    def test_the_owner_is_killed_between_acceptance_and_completion(self, cell):
        jobs = [JOB.format(16 + i) for i in range(6)]
        for i, job in enumerate(jobs):
            assert cell.submit(i % 3, job, ms=1500) == 200
        owner = cell.owner()
        assert owner is not None
        cell.kill(owner)
        others = [i for i in range(3) if i != owner]
        late = JOB.format(32)
        self._submit_until_accepted(cell, others, late, ms=200)
        for job in [*jobs, late]:
            cell.wait_until(
                lambda j=job: cell.state(others[0], j) == "completed", "completion", 20
            )
        runs = cell.runs()
        assert not overlaps(runs)
        assert not done_twice(runs)
        assert len([run for run in runs if run["how"] == "done"]) == 14

    def test_all_instances_are_killed_and_started_again(self, cell):
        jobs = [JOB.format(48 + i) for i in range(4)]
        for job in jobs:
            assert cell.submit(0, job, ms=1000) == 200
        for index in range(3):
            cell.kill(index)
        for index in range(3):
            cell.start_instance(index)
        for job in jobs:
            cell.wait_until(
                lambda j=job: cell.state(0, j) == "completed", "completion", 30
            )
        assert not overlaps(cell.runs())
        assert not done_twice(cell.runs())

    def test_the_store_is_down_for_a_while(self, cell):
        job = JOB.format(64)
        assert cell.submit(0, job, ms=1500) == 200
        cell.control("/store/down")
        time.sleep(1.0)
        # The owner is called as well, and first, while no write is in flight.
        owner = cell.owner()
        for index in sorted(range(3), key=lambda i: i != owner):
            assert cell.submit(index, JOB.format(65 + index)) in (503, 504)
        time.sleep(1.0)
        cell.control("/store/up")
        cell.wait_until(lambda: cell.state(2, job) == "completed", "completion", 20)
        assert not done_twice(cell.runs())

    def test_a_planned_stop_hands_the_ownership_over(self, cell):
        owner = cell.owner()
        cell.terminate(owner)
        others = [i for i in range(3) if i != owner]
        job = JOB.format(80)
        self._submit_until_accepted(cell, others, job, ms=200)
        cell.wait_until(
            lambda: cell.state(others[1], job) == "completed", "completion", 10
        )
        assert cell.processes[f"instance-{owner}"].wait(10) == 0


class TestPartitions:
    """A cell whose workers are divided among several partitions."""

    PARTITIONS = 3

    @pytest.fixture
    def cell(self, tmp_path):
        with PlatformCell(tmp_path, partitions=self.PARTITIONS) as running:
            running.wait_until(lambda: None not in self.owners(running), "owners", 10)
            yield running

    def owners(self, cell):
        return [cell.owner(number) for number in range(self.PARTITIONS)]

    def test_jobs_of_all_partitions_are_served_through_any_instance(self, cell):
        jobs = [JOB.format(96 + i) for i in range(12)]
        for i, job in enumerate(jobs):
            assert cell.submit(i % 3, job) == 200
        for i, job in enumerate(jobs):
            cell.wait_until(
                lambda i=i, j=job: cell.state((i + 1) % 3, j) == "completed",
                "completion",
                10,
            )
        runs = cell.runs()
        assert len(runs) == 24
        assert not done_twice(runs)
        assert cell.call(0, "GET", "/urgent/")[1] == {"Waiting": 0}
        assert cell.call(1, "GET", f"/urgent/{JOB.format(1)}")[0] == 410

    def test_the_owners_are_spread_over_all_instances(self, cell):
        cell.wait_until(lambda: len(set(self.owners(cell))) == 3, "spread", 20)

    def test_the_jobs_of_a_partition_survive_the_death_of_its_owner(self, cell):
        jobs = [JOB.format(112 + i) for i in range(9)]
        for i, job in enumerate(jobs):
            assert cell.submit(i % 3, job, ms=1500) == 200
        killed = cell.owner(1)
        cell.kill(killed)
        others = [i for i in range(3) if i != killed]
        for i, job in enumerate(jobs):
            cell.wait_until(
                lambda i=i, j=job: cell.state(others[i % 2], j) == "completed",
                "completion",
                20,
            )
        runs = cell.runs()
        assert not overlaps(runs)
        assert not done_twice(runs)
