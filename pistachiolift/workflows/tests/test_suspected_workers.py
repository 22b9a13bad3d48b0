"""Workers that go down and up, or leave starts without an answer, are used last."""

from pistachiolift.workflows import JobStatus

from .uneven_cell import REBUILD, URGENT, UnevenCell
from .virtual_cell import make_graph, make_step


def submit_check(cell):
    """Submit a job of one task, and return the worker that it starts on."""
    name = f"j{len(cell.submitted_s)}"
    job = cell.submit(name, URGENT, make_graph(make_step(1, cpu=1000)))
    cell.run(0.1)
    starts = cell.runs_by_job[job]
    return starts[0][1] if starts else None


def prefer_w0(cell):
    """Load w0, since workers with less room are chosen first."""
    step = make_step(1, cpu=4000, estimate_s=30.0)
    for entry in cell.scheduler.state.workers_by_id.values():
        entry.paused_until_s = cell.now_s + (entry.worker_id != "w0") * 0.1
    cell.submit("load", REBUILD, make_graph(step))
    cell.run(0.2)


class TestWorkersThatReturn:
    def test_they_are_used_last_for_a_while(self):
        """Load: single checks; a worker is cut off for 1.4 s and returns.

        Guards against tasks on a worker that goes down and up every 1.4 s.
        """
        cell = UnevenCell(sizes=(8, 8))
        prefer_w0(cell)
        assert submit_check(cell) == "w0"
        cell.workers_by_id["w0"].cut = True
        cell.run(1.4)
        cell.workers_by_id["w0"].cut = False
        cell.run(1.0)
        assert submit_check(cell) == "w1"
        cell.run(6.0)
        assert not cell.scheduler.state.workers_by_id["w0"].suspect

    def test_they_are_used_if_no_other_fits(self):
        """Load: as above, with more tasks than the other worker holds."""
        cell = UnevenCell(sizes=(8, 8))
        cell.run(0.2)
        cell.workers_by_id["w0"].cut = True
        cell.run(1.4)
        cell.workers_by_id["w0"].cut = False
        cell.run(1.0)
        job = cell.submit("a", URGENT, make_graph(make_step(4, cpu=4000)))
        cell.run(0.1)
        assert {worker for _, worker, _ in cell.runs_by_job[job]} == {"w0", "w1"}


class TestStartsWithoutAnAnswer:
    def test_further_tasks_go_elsewhere(self):
        """Load: single checks; a worker answers no start, but its polls."""
        cell = UnevenCell(sizes=(8, 8))
        prefer_w0(cell)
        cell.workers_by_id["w0"].late_share = 1.0
        assert submit_check(cell) is None
        cell.run(0.4)
        assert submit_check(cell) == "w1"
        cell.workers_by_id["w0"].late_share = 0.0
        cell.run(20.0)
        done = [job for job in cell.submitted_s if job != "load"]
        assert {cell.status(job) for job in done} == {JobStatus.COMPLETED}

    def test_a_slow_store_makes_no_worker_suspect(self):
        """Guards against starts that wait for the store and not for the worker."""
        cell = UnevenCell(sizes=(8, 8))
        cell.run(0.2)
        cell.store_up = False
        cell.submit("a", URGENT, make_graph(make_step(2)))
        cell.run(2.0)
        cell.store_up = True
        cell.run(1.0)
        assert not cell.counts
