"""Tests with gangs that wait while the workers are full."""

from pistachiolift.workflows import JobStatus
from pistachiolift.workflows.model import AdvicePolicy

from .virtual_cell import TICKET_VALID_S, VirtualCell, make_graph, make_queue, make_step

ADVICE = AdvicePolicy(decide_s=0.015, each_s=0.00013, valid_s=TICKET_VALID_S)
WORKERS = 176
WORKERS_PER_CALL = 100
WAIT_S = 12.0


class TestAdvice:
    """Guards against calls without a pause for a step with over 100 approved workers.

    One call renews the tickets of 100 workers at most, so that some have expired.
    """

    def _count_calls(self, *, approved_percent, monkeypatch):
        cell = VirtualCell(workers=WORKERS)
        cell.approve = lambda step, worker_id: (
            int(worker_id.removeprefix("w")) * 37 % 100 < approved_percent
        )
        # The workers beyond the first call have the most free processors at the next.
        cell.duration_of = lambda task, step: (
            1.0
            if task.job_id == "full" and task.index >= WORKERS_PER_CALL
            else step.estimate_s
        )
        cell.run(0.1)
        full = make_step(WORKERS, cpu=8000, estimate_s=WAIT_S)
        cell.submit("full", make_queue("fillers"), make_graph(full))
        cell.run(0.1)
        nearly_full = make_step(
            WORKERS - WORKERS_PER_CALL, cpu=6000, estimate_s=WAIT_S - 1.0
        )
        cell.submit("nearly-full", make_queue("fillers"), make_graph(nearly_full))
        cell.run(0.2)
        calls = []
        advise = cell._advise
        monkeypatch.setattr(
            cell, "_advise", lambda asked: (calls.append(cell.now_s), advise(asked))
        )
        gang = make_graph(make_step(3, cpu=5000, gang=True))
        job = cell.submit("gang", make_queue("gangs", advice=ADVICE), gang)
        cell.run(WAIT_S - 0.5)
        assert not cell.runs_by_job[job]
        waiting_calls = len(calls)
        cell.run(4.0)
        assert cell.status(job) is JobStatus.COMPLETED
        return waiting_calls

    def test_tickets_of_many_approved_workers_are_renewed_once_in_their_life(
        self, monkeypatch
    ):
        calls = self._count_calls(approved_percent=70, monkeypatch=monkeypatch)
        assert calls <= 2 * WAIT_S / TICKET_VALID_S

    def test_tickets_of_few_approved_workers_are_renewed_once_in_their_life(
        self, monkeypatch
    ):
        calls = self._count_calls(approved_percent=40, monkeypatch=monkeypatch)
        assert calls <= 2 * WAIT_S / TICKET_VALID_S
