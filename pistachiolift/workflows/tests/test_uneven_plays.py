"""Random plays with all faults of workers together, and changes of the owner."""

import random

import pytest

from pistachiolift.workflows import JobStatus, WorkerState

from .uneven_cell import UnevenCell
from .virtual_cell import make_graph, make_queue, make_step

LOAD_S = 14.0
DRAIN_S = 45.0


class UnevenPlay:
    """Jobs of all kinds of steps, and about two faults a second for 12 s.

    The cell asserts at each start that no task runs twice, after its success, out of
    order or above the capacity.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.cell = UnevenCell(sizes=(16,) * 12, seed=seed)
        self.cell.replace_after_s = 4.0
        self.cell.fail_after_s = self.rng.choice([None, 0.1])
        for number in range(60):
            self._submit_later(f"j{number}")
        at_s = 1.0
        while at_s < 13.0:
            self.cell.at(at_s, self._fault)
            at_s += self.rng.uniform(0.1, 0.9)

    def _submit_later(self, name):
        rng = self.rng
        queue = make_queue(
            f"q{rng.randrange(3)}", priority=rng.randrange(3), max_failures=40
        )
        step = make_step(
            rng.randint(1, 12),
            cpu=rng.choice([1000, 4000, 8000]),
            estimate_s=rng.uniform(0.3, 5.0),
            checkpoints=rng.random() < 0.5,
            gang=rng.random() < 0.25,
        )
        self.cell.at(
            rng.uniform(0, LOAD_S), self.cell.submit, name, queue, make_graph(step)
        )

    def _fault(self):
        cell, rng = self.cell, self.rng
        names = [
            name
            for name, fake in cell.workers_by_id.items()
            if fake.alive and fake.worker.state is WorkerState.READY
        ]
        name = rng.choice(sorted(names))
        for_s = rng.uniform(1, 7)
        fault = rng.choice(["hang", "slow", "fail", "flap", "leave", "late"])
        if fault == "late":
            cell.workers_by_id[name].late_share = 0.5
            cell.at(for_s, setattr, cell.workers_by_id[name], "late_share", 0.0)
        elif fault != "leave":
            getattr(cell, fault)(name, for_s)
        elif len(names) > 6:
            cell.leave(name, directory_s=rng.uniform(0.1, 1.5))


class TestAllFaultsTogether:
    """Guards against repeated and lost tasks when stops, faults and owners overlap."""

    @pytest.mark.parametrize("takeovers", [0, 1, 2])
    @pytest.mark.parametrize("seed", range(8))
    def test_every_job_completes(self, seed, takeovers):
        """Load: 60 jobs of 1 to 12 tasks in 14 s on 12 workers."""
        play = UnevenPlay(seed)
        for _ in range(takeovers):
            play.cell.at(play.rng.uniform(2, 12), play.cell.replace_owner)
        play.cell.run(LOAD_S + DRAIN_S)
        cell = play.cell
        assert len(cell.submitted_s) == 60
        # A new owner does not know a job whose record was not durable.
        accepted = [j for j in cell.submitted_s if j in cell.scheduler.state.jobs_by_id]
        assert len(accepted) >= 60 - takeovers
        assert {cell.status(job) for job in accepted} == {JobStatus.COMPLETED}
