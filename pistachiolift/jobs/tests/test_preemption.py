"""Tests of preemption and of tasks that exceed their declared size."""

import pytest

from pistachiolift.jobs import CheckpointTask, PolicyName, StopTask, ThrottleTask

from .harness import Cell, make_spec


@pytest.fixture
def cell():
    cell = Cell()
    for number in range(2):
        cell.add_worker(number, size=(2000, 2000, 0))
    cell.settle()
    return cell


def commands(cell, kind):
    return [d.task_id for d in cell.log if isinstance(d, kind)]


class TestPreemption:
    def test_least_lost_work_and_confirmed_stop(self, cell):
        """Guards against avoidable loss of work and room reused before a stop."""
        for job_id in ("old", "new"):
            cell.call("submit_job", make_spec(job_id, tasks=2))
            cell.advance(100)
        cell.call("submit_job", make_spec("urgent", priority=5))
        cell.finish_write()
        (victim,) = commands(cell, StopTask)
        assert victim.startswith("new")
        assert not any(start.job_id == "urgent" for start in cell.starts)
        cell.settle()
        assert "urgent.0.1" in cell.running()
        assert len(cell.running()) == 4

    def test_checkpoint_precedes_the_stop(self, cell):
        """Guards against work lost although it could have been saved."""
        cell.call("submit_job", make_spec("saved", tasks=2, checkpointable=True))
        cell.advance(100)
        cell.call("submit_job", make_spec("fresh", tasks=2))
        cell.advance(1)
        cell.call("submit_job", make_spec("urgent", priority=5))
        assert [t[:5] for t in commands(cell, CheckpointTask)] == ["saved"]
        assert not commands(cell, StopTask)
        cell.advance(1)
        assert [t[:5] for t in commands(cell, StopTask)] == ["saved"]
        assert "urgent.0.1" in cell.running()

    def test_only_for_more_urgent_jobs(self, cell):
        """Guards against equally urgent jobs that preempt each other."""
        cell.call("submit_job", make_spec("a", tasks=4, priority=5))
        cell.advance(1)
        cell.call("submit_job", make_spec("b", priority=5))
        cell.call("submit_job", make_spec("c", priority=4))
        cell.advance(40)
        assert not commands(cell, StopTask)

    def test_gang_makes_room_for_all_its_tasks(self, cell):
        """Guards against victims stopped for a gang that still cannot start."""
        cell.call("submit_job", make_spec("low", tasks=4))
        cell.advance(1)
        gang = make_spec("g", PolicyName.GANG, 2, size=(2000, 2000, 0), priority=1)
        cell.call("submit_job", gang)
        cell.advance(1)
        assert set(cell.running()) == {"g.0.1", "g.1.1"}

    def test_gang_without_enough_victims_stops_nothing(self, cell):
        """Guards against preemption for a gang that cannot start anyway."""
        cell.call("submit_job", make_spec("high", tasks=2, priority=9))
        cell.call("submit_job", make_spec("low", tasks=2))
        cell.advance(1)
        gang = make_spec("g", PolicyName.GANG, 2, size=(2000, 2000, 0), priority=1)
        cell.call("submit_job", gang)
        cell.advance(40)
        assert not commands(cell, StopTask)

    def test_urgent_job_submitted_before_its_victims_run(self, cell):
        """Guards against an urgent job that never finds victims that started late."""
        cell.call("submit_job", make_spec("low", tasks=4))
        cell.call("submit_job", make_spec("urgent", priority=5))
        cell.settle()
        cell.advance(4.7)
        assert "urgent.0.1" in cell.running()

    def test_large_waiting_job_does_not_hide_small_ones(self, cell):
        """Guards against free room that waiting jobs do not get."""
        cell.call("submit_job", make_spec("a", tasks=4))
        cell.settle()
        cell.call("submit_job", make_spec("large", size=(2000, 2000, 0)))
        cell.call("submit_job", make_spec("small", size=(900, 900, 0)))
        cell.settle()
        cell.finish("a.0.1")
        cell.settle()
        assert "small.0.1" in cell.running()


class TestOveruse:
    def test_throttle_then_stop_of_the_offender(self, cell):
        """Guards against a task above its size that slows down its neighbours."""
        cell.call("submit_job", make_spec(tasks=4, max_attempts=1))
        cell.settle()
        (offender,) = [w.running["j1.2.1"] for w in cell.workers.values()
                       if "j1.2.1" in w.running]  # fmt: skip
        offender.used_cpu_milli = 1500
        cell.advance(6)
        assert commands(cell, ThrottleTask) == ["j1.2.1"]
        cell.advance(30)
        assert not commands(cell, StopTask), (
            "the task was stopped although throttling worked"
        )

    def test_throttling_without_effect(self, cell):
        """Guards against a task that ignores throttling forever."""
        cell.call("submit_job", make_spec(tasks=4))
        cell.settle()
        tasks = {t: w.running[t] for w in cell.workers.values() for t in w.running}
        tasks["j1.2.1"].used_cpu_milli = 1500
        tasks["j1.2.1"].obeys_throttle = False
        cell.advance(20)
        assert commands(cell, StopTask) == ["j1.2.1"]


class TestLargeJob:
    def test_fifteen_thousand_tasks(self):
        """Guards against decisions and entries that grow with the tasks of a job."""
        cell = Cell(ledger_interval_s=1.0)
        for number in range(10):
            cell.add_worker(number, size=(15_000, 150_000, 0))
        cell.advance(1)
        cell.call("submit_job", make_spec("large", tasks=15_000))
        cell.call("submit_job", make_spec("small"))
        cell.advance(6)
        assert len(cell.running()) == 150
        assert "small.0.1" in cell.running(), "the large job blocks the small one"
        entry = cell.entries["large"]
        assert len(entry.running) == 149 and not entry.waiting
        explained = cell.scheduler.explain("large")
        assert explained.not_started == 15_000 - 149
