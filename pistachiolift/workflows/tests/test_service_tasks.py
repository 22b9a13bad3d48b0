"""Long-running tasks whose ends are reported more than once."""

import pytest

from pistachiolift.workflows import JobStatus

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

QUEUE = make_queue()


def make_service_cell(count=4, **options):
    """Return a cell with a running service."""
    cell = VirtualCell(queues=[QUEUE], **options)
    graph = make_graph(make_step(count, long_running=True))
    job = cell.submit("service", QUEUE, graph)
    cell.run(2.0)
    assert len(cell.runs_by_job[job]) == count
    return cell, job


def running_tasks(cell):
    """Return the tasks that are running, sorted."""
    workers = cell.workers_by_id.values()
    return sorted(task for fake in workers for task, _ in fake.running)


class TestEndsReportedAgain:
    """Guards against copies of a service's tasks, which restart after each exit.

    A worker reports an end until it is acknowledged, and each report caused a run. The
    cell asserts at each start that no other run of the task exists.
    """

    def test_reports_during_an_outage_of_the_store_start_one_run(self):
        cell, job = make_service_cell()
        cell.store_up = False
        for worker_id in list(cell.workers_by_id):
            cell.exit_service_tasks(worker_id)
        cell.run(3.0)
        cell.store_up = True
        cell.run(3.0)
        assert len(cell.runs_by_job[job]) == 8
        assert len(running_tasks(cell)) == len(set(running_tasks(cell))) == 4

    def test_a_report_to_the_next_owner_starts_no_run(self):
        cell, job = make_service_cell()
        for worker_id in list(cell.workers_by_id):
            cell.exit_service_tasks(worker_id)
        while len(cell.runs_by_job[job]) < 8:
            cell.run(0.001)
        # The next owner is the first to acknowledge the ends.
        cell.replace_owner()
        cell.run(3.0)
        assert len(cell.runs_by_job[job]) == 8
        assert len(running_tasks(cell)) == 4

    def test_reports_of_one_end_are_recorded_once(self):
        """Guards against a ledger that grows with each report in an outage."""
        cell, _ = make_service_cell(count=1)
        cell.store_up = False
        for worker_id in list(cell.workers_by_id):
            cell.exit_service_tasks(worker_id)
        recorded = cell.scheduler.state.recorded
        cell.run(3.0)
        assert cell.scheduler.state.recorded == recorded

    def test_a_report_after_the_cancellation_starts_no_run(self):
        cell, job = make_service_cell()
        cell.store_up = False
        for worker_id in list(cell.workers_by_id):
            cell.exit_service_tasks(worker_id)
        cell.cancel(job)
        cell.run(1.0)
        cell.store_up = True
        cell.run(3.0)
        assert cell.status(job) is JobStatus.CANCELLED
        assert len(cell.runs_by_job[job]) == 4

    @pytest.mark.parametrize("seed", range(12))
    def test_random_exits_outages_and_takeovers(self, seed):
        cell, _ = make_service_cell(count=6, seed=seed)
        rng = cell.rng
        for _ in range(60):
            match rng.randrange(4):
                case 0:
                    cell.store_up = not cell.store_up
                case 1:
                    cell.replace_owner()
                case _:
                    cell.exit_service_tasks(rng.choice(sorted(cell.workers_by_id)))
            cell.run(rng.uniform(0.01, 0.8))
        cell.store_up = True
        cell.run(10.0)
        tasks = running_tasks(cell)
        assert len(tasks) == len(set(tasks)) == 6

    @pytest.mark.parametrize("seed", range(12))
    def test_takeovers_between_the_report_and_its_acknowledgement(self, seed):
        """Guards against copies when the owner is replaced soon after an exit."""
        cell, _ = make_service_cell(count=6, seed=seed)
        rng = cell.rng
        for _ in range(40):
            if rng.random() < 0.3:
                cell.store_up = not cell.store_up
            cell.exit_service_tasks(rng.choice(sorted(cell.workers_by_id)))
            cell.run(rng.uniform(0.0, 0.02))
            cell.replace_owner()
            cell.run(rng.uniform(0.001, 0.8))
        cell.store_up = True
        cell.run(10.0)
        tasks = running_tasks(cell)
        assert len(tasks) == len(set(tasks)) == 6


class TestGangs:
    def test_a_gang_that_exits_is_started_again_once(self):
        """Guards against a gang that waits for good, or runs in two copies."""
        cell = VirtualCell(queues=[QUEUE])
        graph = make_graph(make_step(3, long_running=True, gang=True))
        job = cell.submit("service", QUEUE, graph)
        cell.run(2.0)
        cell.store_up = False
        for worker_id in list(cell.workers_by_id):
            cell.exit_service_tasks(worker_id)
        cell.run(2.0)
        cell.store_up = True
        cell.run(3.0)
        assert len(cell.runs_by_job[job]) == 6
        assert len(running_tasks(cell)) == 3
