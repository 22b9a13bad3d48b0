"""Load: many tasks of a service are lost with one worker, soon after their start."""

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

# A task of a service may be without a run for this time.
GAP_LIMIT_S = 9.0


class TestServicesAfterALostWorker:
    """Guards against tasks that wait, beside idle workers, to be started one by one.

    Each of them is suspected of the crash and started alone on a worker, until a report
    shows that it has survived.
    """

    def test_all_tasks_are_started_again_in_time(self):
        cell = VirtualCell(workers=24, cpu=64_000)
        cell.report_s = 1.2
        step = make_step(60, long_running=True)
        job = cell.submit("a", make_queue(), make_graph(step))
        cell.run(0.4)
        first = list(cell.runs_by_job[job])
        assert len({worker_id for _, worker_id, _ in first}) == 1
        lost_s = cell.now_s
        cell.crash_silently(cell.workers_by_id[first[0][1]])
        cell.run(20.0)
        again = {task: at_s for at_s, _, task in cell.runs_by_job[job][len(first) :]}
        assert len(again) == 60
        assert max(again.values()) - lost_s < GAP_LIMIT_S
