"""Submissions while the ledger takes no writes."""

import gc

from twisted.internet.defer import CancelledError, ensureDeferred
from twisted.logger import globalLogPublisher

from pistachiolift.common import JobId, Metrics
from pistachiolift.node.job_calls import STALLED_LIMIT_S, JobCalls
from pistachiolift.node.ledger import read_ledger
from pistachiolift.node.peer_messages import JobOutcome
from pistachiolift.workflows import GraphScheduler, JobAccepted, JobStatus
from pistachiolift.workflows.tests.virtual_cell import make_graph, make_queue

from .test_ledger import KEYS, Bench

JOB = JobId("0123456789abcdef")


class CallsBench(Bench):
    """Calls over a scheduler and a ledger."""

    def __init__(self):
        super().__init__()
        self.scheduler = GraphScheduler(fence=1, keep_final_s=60.0)
        self.contact_s = self.clock.monotonic_s()
        self.calls = JobCalls(
            self.scheduler,
            self.ledger,
            clock=self.clock,
            metrics=Metrics(),
            is_ready=lambda: True,
            contact_s=lambda: self.contact_s,
            on_changed=self._append,
        )

    def _append(self):
        self.scheduler.take_decisions()
        self.ledger.append(self.scheduler.take_records())

    def _durable(self, count):
        super()._durable(count)
        self.scheduler.record_commit(count)

    def kinds(self):
        """Return the kinds of the records in the store."""
        batches = ensureDeferred(read_ledger(self.store, KEYS)).result.values()
        return [type(record) for batch in batches for record in batch]

    def submit(self, job_id=JOB):
        answers = []
        call = self.calls.submit(job_id, make_queue(), make_graph(), 0.0)
        ensureDeferred(call).addCallback(lambda a: answers.append(a.outcome))
        return answers


class TestSubmissions:
    def test_a_job_is_accepted_once_it_is_durable(self):
        bench = CallsBench()
        assert bench.submit() == [JobOutcome.OK]
        assert bench.calls.status(JOB).status is JobStatus.PENDING

    def test_all_calls_for_an_unsent_job_are_refused_together(self):
        bench = CallsBench()
        bench.store.down = True
        first = bench.submit(JobId("0" * 16))
        second, again = bench.submit(), bench.submit()
        bench.advance(1.0)
        bench.calls.refuse_unsent()
        assert second == again == [JobOutcome.REFUSED]
        assert first == []
        bench.store.down = False
        bench.advance(1.0)
        assert first == [JobOutcome.OK]
        assert bench.calls.status(JOB).outcome is JobOutcome.UNDECIDED
        bench.contact_s = bench.clock.monotonic_s()
        assert bench.calls.status(JOB).outcome is JobOutcome.UNKNOWN_JOB

    def test_a_new_job_is_refused_at_once_in_an_outage(self):
        bench = CallsBench()
        bench.store.down = True
        bench.submit(JobId("0" * 16))
        bench.advance(1.0)
        assert bench.submit() == [JobOutcome.REFUSED]

    def test_a_call_to_an_owner_that_is_replaced_is_undecided(self):
        bench = CallsBench()
        bench.store.down = True
        answers = bench.submit()
        bench.ledger.close()
        assert answers == [JobOutcome.UNDECIDED]


class TestStoreThatTurnsCallsAway:
    """Pattern: jobs are handed in while the store is busy, and says so."""

    def test_jobs_are_refused_although_their_write_was_tried(self):
        bench = CallsBench()
        bench.store.turns_away = True
        answers = bench.submit()
        bench.advance(STALLED_LIMIT_S + 0.2)
        assert bench.ledger.stalled_s > STALLED_LIMIT_S
        bench.calls.refuse_unsent()
        assert answers == [JobOutcome.REFUSED]
        bench.store.turns_away = False
        bench.advance(1.0)
        bench.contact_s = bench.clock.monotonic_s()
        assert bench.calls.status(JOB).outcome is JobOutcome.UNKNOWN_JOB
        assert bench.ledger.stalled_s == 0.0
        assert not [r for r in bench.kinds() if r is JobAccepted]

    def test_a_job_whose_first_write_may_still_arrive_is_not_refused(self):
        bench = CallsBench()
        bench.store.down = True
        answers = bench.submit()
        bench.advance(0.3)
        bench.store.turns_away = True
        bench.advance(1.0)
        bench.calls.refuse_unsent()
        assert answers == []
        bench.store.down = bench.store.turns_away = False
        bench.advance(1.0)
        assert answers == [JobOutcome.OK]


class TestCallersThatLeave:
    def test_the_job_of_a_cancelled_call_stays(self):
        bench = CallsBench()
        bench.store.down = True
        call = ensureDeferred(bench.calls.submit(JOB, make_queue(), make_graph(), 0.0))
        call.addErrback(lambda failure: failure.trap(CancelledError) and None)
        call.cancel()
        assert call.result is None or call.result.outcome is JobOutcome.UNDECIDED
        bench.store.down = False
        bench.advance(1.0)
        assert bench.calls.status(JOB).status is JobStatus.PENDING

    def test_a_cancelled_call_leaves_no_unhandled_error(self):
        """Pattern: callers give up while the store takes no writes."""
        bench = CallsBench()
        bench.store.down = True
        bench.submit(JobId("0" * 16))
        call = ensureDeferred(bench.calls.submit(JOB, make_queue(), make_graph(), 0.0))
        call.addErrback(lambda failure: failure.trap(CancelledError) and None)
        events = []
        globalLogPublisher.addObserver(events.append)
        try:
            call.cancel()
            bench.calls.refuse_unsent()
            bench.store.down = False
            bench.advance(1.0)
            del call
            gc.collect()
        finally:
            globalLogPublisher.removeObserver(events.append)
        assert not [event for event in events if "log_failure" in event]
