"""Load: a fifth of the workers crashes every 1.5 s, none of them by its tasks."""

import pytest

from pistachiolift.workflows import JobStatus

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

WORKERS = 30
WAVE_SHARE = 0.2
WAVE_GAP_S = 1.5
WAVES = 10


def crash_some(cell):
    """Crash a share of the workers at the same time."""
    alive = [fake for fake in cell.workers_by_id.values() if fake.alive]
    for fake in cell.rng.sample(alive, min(len(alive), int(WORKERS * WAVE_SHARE))):
        cell.crash_silently(fake)


def play(seed, *, same_id):
    """Play waves of crashes beside short jobs, gangs and a service."""
    cell = VirtualCell(workers=WORKERS, seed=seed)
    cell.report_s = 1.2
    cell.restart_s = 4.5
    cell.restart_under_new_id = not same_id
    queue = make_queue()
    for number in range(300):
        step = make_step(
            cell.rng.randint(1, 4),
            estimate_s=cell.rng.uniform(0.3, 2.0),
            gang=cell.rng.random() < 0.3,
            checkpoints=True,
        )
        cell.at(
            cell.rng.uniform(0, 15), cell.submit, f"j{number}", queue, make_graph(step)
        )
    service = make_graph(make_step(20, long_running=True))
    cell.at(0.0, cell.submit, "service", queue, service)
    for wave in range(WAVES):
        cell.at(1.0 + wave * WAVE_GAP_S, crash_some, cell)
    cell.run(45.0)
    return cell


class TestJobsInACrashStorm:
    """Guards against jobs that are given up because workers die for other reasons."""

    @pytest.mark.parametrize("seed", range(6))
    def test_no_job_is_given_up(self, seed):
        cell = play(seed, same_id=seed % 2 == 0)
        status = {job: cell.status(job) for job in cell.submitted_s}
        assert not [j for j, s in status.items() if s is JobStatus.FAILED]
        assert status["service"] is JobStatus.RUNNING
