"""Tasks that can be done, whose workers crash for other reasons."""

import pytest

from pistachiolift.workflows import JobStatus

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

# Time from a start to a crash in which no report shows the run yet.
BEFORE_REPORT_S = 0.05


# Virtual time in which a waiting task is started again.
START_LIMIT_S = 30.0


def wait_for_starts(cell, job, count, index=None):
    """Wait until a job, or its task with an index, has been started so often.

    :returns: the starts.
    """
    end_s = cell.now_s + START_LIMIT_S
    while cell.now_s < end_s:
        starts = [run for run in cell.runs_by_job[job] if index in (None, run[2].index)]
        if len(starts) >= count:
            return starts
        assert cell.status(job) is not JobStatus.FAILED
        cell.run(0.002)
    raise AssertionError(f"{job} was started {len(starts)} times, expected {count}")


def crash_after_start(cell, job, count, index=None):
    """Crash a worker of a job soon after its next start.

    :param count: number of starts of the job, or of the task, to wait for.
    :param index: index of the task whose worker crashes; the newest by default.
    """
    starts = wait_for_starts(cell, job, count, index)
    cell.run(BEFORE_REPORT_S)
    fake = cell.workers_by_id.get(starts[-1][1])
    if fake is not None:
        cell.crash_silently(fake)


class TestGangs:
    """Guards against a gang that fails by the crashes of workers of different members.

    A gang starts on many workers at once, so that it meets more crashes than one task.
    """

    @pytest.mark.parametrize("long_running", [False, True])
    def test_crashes_of_different_members_do_not_add_up(self, long_running):
        cell = VirtualCell(workers=10)
        # The gang works for longer than the lease of a lost worker lasts.
        step = make_step(
            5, cpu=8000, estimate_s=8.0, gang=True, long_running=long_running
        )
        job = cell.submit("a", make_queue(), make_graph(step))
        for index in range(5):
            crash_after_start(cell, job, index + 1, index)
            cell.run(0.5)
        cell.run(30.0)
        wanted = JobStatus.RUNNING if long_running else JobStatus.COMPLETED
        assert cell.status(job) is wanted


class TestRunsThatSurvived:
    """Guards against crashes that count again after a later run survived its start."""

    @pytest.mark.parametrize("compacted", [False, True])
    def test_cleared_crashes_do_not_count_for_the_next_owner(self, compacted):
        cell = VirtualCell(workers=8)
        step = make_step(estimate_s=30.0)
        job = cell.submit("a", make_queue(), make_graph(step))
        for count in range(1, 7):
            # Each second start survives, and its worker crashes later.
            crash_after_start(cell, job, 2 * count - 1)
            wait_for_starts(cell, job, 2 * count)
            cell.run(1.0)
            if compacted:
                cell.committed = cell.scheduler.compact(
                    cell.committed, now_s=cell.now_s, wall_ms=cell.wall_ms
                )
            cell.replace_owner()
            assert cell.status(job) is JobStatus.RUNNING
            cell.run(0.5)
            cell.crash_silently(cell.workers_by_id[cell.runs_by_job[job][-1][1]])
        cell.run(60.0)
        assert cell.status(job) is JobStatus.COMPLETED
