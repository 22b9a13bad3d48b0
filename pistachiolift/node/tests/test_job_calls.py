"""Calls about jobs: store outages, and jobs of other customers."""

import gc
import logging

import pytest
from twisted.internet.defer import CancelledError, ensureDeferred
from twisted.logger import globalLogPublisher

from pistachiolift.common import CustomerId, JobId, Metrics
from pistachiolift.node.job_calls import MAX_CONTACT_AGE_S, STALLED_LIMIT_S, JobCalls
from pistachiolift.node.ledger import read_ledger
from pistachiolift.node.peer_messages import JobOutcome
from pistachiolift.workflows import GraphScheduler, JobAccepted, JobStatus
from pistachiolift.workflows.tests.virtual_cell import make_graph, make_queue

from .test_ledger import KEYS, Harness

JOB = JobId("0123456789abcdef")


class CallsHarness(Harness):
    """Job calls with a scheduler and a ledger."""

    def __init__(self):
        super().__init__()
        self.scheduler = GraphScheduler(
            fence=1, keep_final_s=60.0, longest_lease_s=10.0
        )
        self.last_contact_s = self.clock.monotonic_s()
        self.metrics = Metrics()
        self.calls = JobCalls(
            self.scheduler,
            self.ledger,
            clock=self.clock,
            metrics=self.metrics,
            is_ready=lambda: True,
            last_contact_s=lambda: self.last_contact_s,
            on_changed=self._append,
        )

    def _append(self):
        self.scheduler.take_decisions()
        self.ledger.append(self.scheduler.take_records())

    def _durable(self, count):
        super()._durable(count)
        self.scheduler.record_commit(count)

    def kinds(self):
        """Return the types of the records in the store."""
        batches = ensureDeferred(read_ledger(self.store, KEYS)).result.values()
        return [type(record) for batch in batches for record in batch]

    def submit(self, job_id=JOB, *, customer="", queue=None):
        """Submit a job and return the list that will hold the outcome."""
        answers = []
        call = self.calls.submit(
            job_id, queue or make_queue(), make_graph(), 0.0, CustomerId(customer)
        )
        ensureDeferred(call).addCallback(lambda a: answers.append(a.outcome))
        return answers


class TestSubmissions:
    def test_a_job_is_accepted_once_it_is_durable(self):
        harness = CallsHarness()
        assert harness.submit() == [JobOutcome.OK]
        assert harness.calls.status(JOB).status is JobStatus.PENDING

    def test_all_calls_for_an_unsent_job_are_refused_together(self):
        harness = CallsHarness()
        harness.store.down = True
        first = harness.submit(JobId("0" * 16))
        second, again = harness.submit(), harness.submit()
        harness.advance(1.0)
        harness.calls.refuse_unsent()
        assert second == again == [JobOutcome.REFUSED]
        assert first == []
        harness.store.down = False
        harness.advance(1.0)
        assert first == [JobOutcome.OK]
        assert harness.calls.status(JOB).outcome is JobOutcome.UNDECIDED
        harness.last_contact_s = harness.clock.monotonic_s()
        assert harness.calls.status(JOB).outcome is JobOutcome.UNKNOWN_JOB

    def test_a_new_job_is_refused_at_once_in_an_outage(self):
        harness = CallsHarness()
        harness.store.down = True
        harness.submit(JobId("0" * 16))
        harness.advance(1.0)
        assert harness.submit() == [JobOutcome.REFUSED]

    def test_a_call_to_an_owner_that_is_replaced_is_undecided(self):
        harness = CallsHarness()
        harness.store.down = True
        answers = harness.submit()
        harness.ledger.close()
        assert answers == [JobOutcome.UNDECIDED]


class TestStoreThatRejectsCalls:
    """Jobs are submitted while the store rejects all calls as busy."""

    def test_jobs_are_refused_although_their_write_was_tried(self):
        harness = CallsHarness()
        harness.store.rejects_calls = True
        answers = harness.submit()
        harness.advance(STALLED_LIMIT_S + 0.2)
        assert harness.ledger.stalled_s > STALLED_LIMIT_S
        harness.calls.refuse_unsent()
        assert answers == [JobOutcome.REFUSED]
        harness.store.rejects_calls = False
        harness.advance(1.0)
        harness.last_contact_s = harness.clock.monotonic_s()
        assert harness.calls.status(JOB).outcome is JobOutcome.UNKNOWN_JOB
        assert harness.ledger.stalled_s == 0.0
        assert not [r for r in harness.kinds() if r is JobAccepted]

    def test_a_job_whose_first_write_may_still_take_effect_is_not_refused(self):
        harness = CallsHarness()
        harness.store.down = True
        answers = harness.submit()
        harness.advance(0.3)
        harness.store.rejects_calls = True
        harness.advance(1.0)
        harness.calls.refuse_unsent()
        assert answers == []
        harness.store.down = harness.store.rejects_calls = False
        harness.advance(1.0)
        assert answers == [JobOutcome.OK]


class TestCallersThatLeave:
    def test_the_job_of_a_cancelled_call_is_kept(self):
        harness = CallsHarness()
        harness.store.down = True
        call = ensureDeferred(
            harness.calls.submit(JOB, make_queue(), make_graph(), 0.0)
        )
        call.addErrback(lambda failure: failure.trap(CancelledError) and None)
        call.cancel()
        assert call.result is None or call.result.outcome is JobOutcome.UNDECIDED
        harness.store.down = False
        harness.advance(1.0)
        assert harness.calls.status(JOB).status is JobStatus.PENDING

    def test_a_cancelled_call_leaves_no_unhandled_error(self):
        """Callers disconnect while the store accepts no writes."""
        harness = CallsHarness()
        harness.store.down = True
        harness.submit(JobId("0" * 16))
        call = ensureDeferred(
            harness.calls.submit(JOB, make_queue(), make_graph(), 0.0)
        )
        call.addErrback(lambda failure: failure.trap(CancelledError) and None)
        events = []
        globalLogPublisher.addObserver(events.append)
        try:
            call.cancel()
            harness.calls.refuse_unsent()
            harness.store.down = False
            harness.advance(1.0)
            del call
            gc.collect()
        finally:
            globalLogPublisher.removeObserver(events.append)
        assert not [event for event in events if "log_failure" in event]


class TestJobsOfOtherCustomers:
    """Guards against customers that see, stop or take over the jobs of others."""

    def _look(self, harness, customer_id):
        return harness.calls.status(JOB, customer_id).outcome

    def _cancel(self, harness, customer_id):
        answers = []
        call = ensureDeferred(harness.calls.cancel(JOB, customer_id))
        call.addCallback(lambda answer: answers.append(answer.outcome))
        harness.advance(0.1)
        return answers

    def test_they_are_answered_as_unknown(self):
        harness = CallsHarness()
        assert harness.submit(customer="a") == [JobOutcome.OK]
        assert self._look(harness, "b") is JobOutcome.UNKNOWN_JOB
        assert self._cancel(harness, "b") == [JobOutcome.UNKNOWN_JOB]
        assert self._look(harness, "a") is JobOutcome.OK
        assert harness.calls.status(JOB).status is JobStatus.PENDING
        assert self._cancel(harness, "a") == [JobOutcome.OK]

    def test_an_owner_that_may_be_replaced_does_not_call_them_unknown(self):
        """The answer for another customer's job does not differ from an unknown one."""
        harness = CallsHarness()
        harness.submit(customer="a")
        harness.advance(MAX_CONTACT_AGE_S + 0.5)
        assert self._look(harness, "b") is JobOutcome.UNDECIDED
        assert harness.calls.status(JobId("0" * 16), "b") == harness.calls.status(
            JOB, "b"
        )

    def test_all_are_visible_if_callers_need_no_keys(self):
        harness = CallsHarness()
        harness.submit(customer="a")
        assert self._look(harness, None) is JobOutcome.OK
        assert self._cancel(harness, None) == [JobOutcome.OK]

    def test_callers_without_a_key_see_those_of_public_queues_only(self):
        harness = CallsHarness()
        harness.submit(customer="a")
        assert self._look(harness, "") is JobOutcome.UNKNOWN_JOB
        assert self._cancel(harness, "") == [JobOutcome.UNKNOWN_JOB]
        harness = CallsHarness()
        harness.submit(customer="a", queue=make_queue(public=True))
        assert self._look(harness, "") is JobOutcome.OK
        assert self._look(harness, "b") is JobOutcome.UNKNOWN_JOB

    def test_a_job_without_a_customer_is_for_all(self):
        harness = CallsHarness()
        harness.submit()
        assert {self._look(harness, each) for each in ("", "a", None)} == {
            JobOutcome.OK
        }
        assert harness.submit(customer="a") == [JobOutcome.OK]

    @pytest.mark.parametrize("customer", ["b", ""])
    def test_an_identifier_in_use_is_forbidden(self, customer):
        harness = CallsHarness()
        queue = make_queue(public=True)
        assert harness.submit(customer="a", queue=queue) == [JobOutcome.OK]
        forbidden = [JobOutcome.FORBIDDEN]
        assert harness.submit(customer=customer, queue=queue) == forbidden
        assert harness.submit(customer="a", queue=queue) == [JobOutcome.OK]
        accepted = [kind for kind in harness.kinds() if kind is JobAccepted]
        assert len(accepted) == 1

    def test_a_finished_job_stays_with_its_customer(self):
        harness = CallsHarness()
        harness.submit(customer="a")
        self._cancel(harness, "a")
        assert self._look(harness, "b") is JobOutcome.UNKNOWN_JOB
        assert harness.submit(customer="b") == [JobOutcome.FORBIDDEN]
        assert harness.submit(customer="a") == [JobOutcome.OK]
        assert harness.calls.status(JOB).status is JobStatus.CANCELLED

    @pytest.mark.parametrize("compacted", [False, True])
    @pytest.mark.parametrize("cancelled", [False, True])
    def test_they_stay_so_under_the_next_owner(self, cancelled, compacted):
        harness = CallsHarness()
        harness.submit(customer="a")
        if cancelled:
            self._cancel(harness, "a")
        harness.advance(0.1)
        log = ensureDeferred(read_ledger(harness.store, KEYS)).result
        records = [record for batch in log.values() for record in batch]
        times = dict(now_s=harness.clock.monotonic_s(), wall_ms=1000)
        if compacted:
            records = harness.scheduler.compact(records, **times)
        successor = CallsHarness()
        successor.scheduler.replay(records, lease_end_s=0.0, **times)
        assert self._look(successor, "a") is JobOutcome.OK
        assert self._look(successor, "b") is JobOutcome.UNKNOWN_JOB
        assert successor.submit(customer="b") == [JobOutcome.FORBIDDEN]

    def test_a_flood_of_identifiers_in_use_is_logged_at_a_bounded_rate(self, caplog):
        caplog.set_level(logging.INFO)
        harness = CallsHarness()
        harness.submit(customer="a")
        for _ in range(500):
            harness.submit(customer="b")
            harness.clock.advance(0.0045)
        lines = [r.message for r in caplog.records if "identifier_in_use" in r.message]
        assert 2 <= len(lines) <= 3
        assert all(f"job={JOB} customer=b" in line for line in lines)

    def test_operators_are_shown_the_customer(self):
        harness = CallsHarness()
        harness.submit(customer="a")
        assert harness.calls.explain(JOB).details.customer_id == "a"
