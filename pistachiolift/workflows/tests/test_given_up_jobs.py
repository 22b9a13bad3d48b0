"""Log lines from which a verdict on a job can be explained."""

import logging

from pistachiolift.workflows import JobStatus

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step


def lines_of(caplog, event, job):
    """Return the log lines of an event that name a job."""
    lines = [record.getMessage() for record in caplog.records]
    return [x for x in lines if f"event={event} " in x and f"job={job} " in x]


class TestLogLines:
    """Guards against a failed job whose log does not say which decision ended it."""

    def test_crashes_are_logged_with_their_evidence(self, caplog):
        caplog.set_level(logging.INFO)
        cell = VirtualCell(workers=6)
        cell.crashes_worker = lambda task: task.job_id == "bad"
        job = cell.submit("bad", make_queue(), make_graph())
        cell.run(60.0)
        assert cell.status(job) is JobStatus.FAILED
        crashed = lines_of(caplog, "run_crashed", job)
        assert len(crashed) == len(cell.runs_by_job[job])
        assert "started_alone=False suspected_there=1" in crashed[0]
        assert "started_alone=True suspected_there=1" in crashed[-1]
        (line,) = lines_of(caplog, "job_given_up", job)
        assert "task=0.0.0 reason=workers_crashed" in line
        assert line.count(":unknown") == len(crashed)

    def test_failed_runs_are_logged_with_the_limit(self, caplog):
        caplog.set_level(logging.INFO)
        cell = VirtualCell(workers=2)
        for fake in cell.workers_by_id.values():
            fake.fails = True
        queue = make_queue(max_failures=2)
        job = cell.submit("a", queue, make_graph(make_step(estimate_s=0.3)))
        cell.run(10.0)
        assert cell.status(job) is JobStatus.FAILED
        (line,) = lines_of(caplog, "job_given_up", job)
        assert "reason=too_many_failures failed_runs=1000,1001 limit=2" in line
