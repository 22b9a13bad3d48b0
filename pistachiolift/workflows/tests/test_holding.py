"""Tests of the room that is kept for tasks that fit nowhere yet."""

from pistachiolift.workflows.ageing import AGED_AFTER_S

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

URGENT = make_queue("urgent", priority=0, stretch=1.5, target_s=0.6)
REBUILD = make_queue("rebuild", priority=2, stretch=4.0, target_s=30.0)


def make_busy_cell(queues, *, workers=1, small_s=0.5):
    """Return a cell whose workers are filled by small tasks that end one by one."""
    cell = VirtualCell(workers=workers, cpu=8000, queues=queues)
    cell.duration_of = lambda key, step: (
        small_s * (1 + key.index % 4 / 4) if key.job_id == "small" else step.estimate_s
    )
    small = make_step(200, cpu=2000, estimate_s=small_s)
    cell.submit("small", queues[-1], make_graph(small))
    cell.run(0.2)
    return cell


class TestRoomForUrgentTasks:
    """Guards against small tasks that take the room piece by piece."""

    def test_a_large_urgent_task_starts_once_enough_tasks_have_ended(self):
        cell = make_busy_cell([URGENT, REBUILD])
        cell.submit("check", URGENT, make_graph(make_step(1, cpu=6000, estimate_s=0.8)))
        cell.run(3.0)
        assert cell.wait_s("check") < 1.0

    def test_room_is_kept_on_as_many_workers_as_tasks_wait(self):
        cell = make_busy_cell([URGENT, REBUILD], workers=8)
        cell.submit("check", URGENT, make_graph(make_step(1, cpu=6000, estimate_s=0.8)))
        cell.run(0.1)
        running = [len(w.running) for w in cell.workers_by_id.values()]
        cell.run(0.7)
        assert "check" in cell.first_start_s
        full = sum(len(w.running) == 4 for w in cell.workers_by_id.values())
        assert running == 8 * [4]
        assert full >= 6

    def test_a_raised_task_gets_room_in_the_end(self):
        cell = make_busy_cell([URGENT, REBUILD])
        cell.submit("old", REBUILD, make_graph(make_step(1, cpu=6000, estimate_s=0.8)))
        old = cell.scheduler.state.jobs_by_id["old"]
        old.received_s -= 100 + AGED_AFTER_S
        cell.run(3.0)
        assert "old" in cell.first_start_s


class TestNoRoomKept:
    """Guards against idle cores that nothing urgent waits for."""

    def test_with_one_priority_and_no_customers(self):
        cell = make_busy_cell([REBUILD])
        large = make_step(1, cpu=6000, estimate_s=0.8)
        cell.submit("large", REBUILD, make_graph(large))
        for _ in range(20):
            cell.run(0.1)
            assert cell.scheduler.state.workers_by_id["w0"].free_cpu_milli == 0

    def test_for_a_task_larger_than_every_worker(self):
        cell = make_busy_cell([URGENT, REBUILD])
        cell.submit("huge", URGENT, make_graph(make_step(1, cpu=9000)))
        for _ in range(10):
            cell.run(0.1)
            assert cell.scheduler.state.workers_by_id["w0"].free_cpu_milli == 0
