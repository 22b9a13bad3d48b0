"""Answers to submissions while capacity is short."""

import logging

import pytest
from twisted.internet.defer import ensureDeferred

from pistachiolift.common import CustomerId, JobId, Metrics, WorkerId
from pistachiolift.node.peer_messages import JobOutcome
from pistachiolift.node.wait_predictions import WaitPredictions
from pistachiolift.workflows import (
    AdmissionDecision,
    AdmissionReason,
    Customer,
    JobAccepted,
    JobChanged,
    JobStatus,
    PoolId,
    QueueId,
    Size,
    Worker,
    WorkerState,
)
from pistachiolift.workflows.fleet_capacity import KNOWN_S
from pistachiolift.workflows.tests.virtual_cell import (
    make_graph,
    make_queue,
    make_step,
)

from .test_job_calls import CallsHarness

QUEUE = make_queue("rebuilds", priority=2, stretch=1.0, target_s=10.0)
# It fills the worker for 100 s, three times as long as short jobs are of use.
LONG = make_graph(make_step(100, cpu=1000, estimate_s=8.0))
SHORT = make_graph(make_step(1, cpu=1000, estimate_s=1.0))


WORKER = Worker(
    worker_id=WorkerId("w1"),
    address="10.0.0.1:80",
    pool_id=PoolId("pool"),
    zone="z",
    incarnation=1,
    state=WorkerState.READY,
    capacity=Size(cpu_milli=8000, memory_mb=64_000),
)


class BusyHarness(CallsHarness):
    """Job calls of an owner with one worker of 8 cores, known for some seconds.

    :param weight: rate of the customer, in jobs per second.
    """

    def __init__(self, weight=99.0):
        super().__init__()
        customer = Customer(customer_id=CustomerId("a"), weight=weight)
        self.scheduler.set_customers([customer])
        now_s = self.clock.monotonic_s()
        self.scheduler.fleet.update_worker(WORKER, now_s=now_s)
        self.report()
        for _ in range(round(KNOWN_S) + 1):
            self.scheduler.tick(self.clock.monotonic_s())
            self.advance(1.0)
        self.scheduler.tick(self.clock.monotonic_s())

    def report(self):
        """Let the worker report that nothing runs on it."""
        now_s = self.clock.monotonic_s()
        self.scheduler.fleet.apply_report(
            WORKER.worker_id,
            [],
            [],
            complete=True,
            sent_s=now_s,
            now_s=now_s,
            wall_ms=0,
        )

    def answer(self, job_id, graph):
        """Submit a job and return the answer."""
        answers = []
        call = self.calls.submit(JobId(job_id), QUEUE, graph, 0.0, CustomerId("a"))
        ensureDeferred(call).addCallback(answers.append)
        self.advance(0.1)
        return answers[0]


class TestRefusedJobs:
    def test_they_are_answered_with_a_time_and_not_accepted(self, caplog):
        caplog.set_level(logging.INFO)
        harness = BusyHarness()
        assert harness.answer("1" * 16, LONG).outcome is JobOutcome.OK
        answer = harness.answer("2" * 16, SHORT)
        assert answer.outcome is JobOutcome.REFUSED
        assert answer.retry_after_s in (1.0, 2.0, 3.0, 4.0)
        assert harness.calls.status(JobId("2" * 16)).status is None
        assert len([kind for kind in harness.kinds() if kind is JobAccepted]) == 1
        [line] = [r.message for r in caplog.records if "job_refused" in r.message]
        assert "reason=no_capacity" in line and "customer=a" in line
        for field in ("least_wait_s", "most_wait_s", "ahead_s", "capacity_milli"):
            assert f" {field}=" in line
        assert harness.metrics.totals_by_name["refusal.admission.no_capacity"] == 1

    def test_a_job_that_is_known_is_never_refused(self):
        """Guards against a refusal of a job that runs nevertheless."""
        harness = BusyHarness()
        assert harness.answer("2" * 16, SHORT).outcome is JobOutcome.OK
        assert harness.answer("1" * 16, LONG).outcome is JobOutcome.OK
        assert harness.answer("3" * 16, SHORT).outcome is JobOutcome.REFUSED
        assert harness.answer("2" * 16, SHORT).outcome is JobOutcome.OK

    def test_a_retry_is_judged_from_the_first_request(self):
        """Guards against retries that are accepted when they are of no use."""
        harness = BusyHarness()
        harness.answer("1" * 16, LONG)
        assert harness.answer("2" * 16, SHORT).outcome is JobOutcome.REFUSED
        harness.advance(34.0)
        assert harness.answer("2" * 16, SHORT).outcome is JobOutcome.REFUSED
        totals = harness.metrics.totals_by_name
        assert totals["refusal.admission.too_late"] == 1

    def test_a_refused_job_takes_nothing_of_its_customers_rate(self):
        harness = BusyHarness(weight=2.0)
        assert harness.answer("1" * 16, LONG).outcome is JobOutcome.OK
        for number in range(5):
            answer = harness.answer(f"{number:016x}", SHORT)
            assert answer.outcome is JobOutcome.REFUSED
        rates = harness.scheduler.state.rates
        # Of the two tokens, the accepted job has one.
        assert not rates.would_exceed(CustomerId("a"), 0)
        rates.take(CustomerId("a"), 0)
        assert rates.would_exceed(CustomerId("a"), 0)


class TestPredictions:
    def _decision(self, wait_s):
        return AdmissionDecision(reason=AdmissionReason.IN_TIME, wait_s=wait_s)

    def _changed(self, status):
        return JobChanged(job_id=JobId("j"), status=status, reason="")

    @pytest.mark.parametrize(
        "started_s, side, error_ms", [(12.5, "longer", 500), (10.5, "shorter", 1500)]
    )
    def test_the_error_is_recorded_by_queue(self, started_s, side, error_ms):
        metrics = Metrics()
        predictions = WaitPredictions(metrics)
        predictions.add(JobId("j"), QueueId("q"), self._decision(2.0), 10.0)
        predictions.resolve(self._changed(JobStatus.RUNNING), started_s)
        predictions.resolve(self._changed(JobStatus.COMPLETED), 20.0)
        [(name, histogram)] = metrics.histograms_by_name.items()
        assert name == f"admission.{side}.q"
        assert histogram.total_ms == pytest.approx(error_ms)

    @pytest.mark.parametrize("wait_s", [None, 1.0])
    def test_a_job_that_never_starts_leaves_nothing_behind(self, wait_s):
        metrics = Metrics()
        predictions = WaitPredictions(metrics)
        predictions.add(JobId("j"), QueueId("q"), self._decision(wait_s), 10.0)
        predictions.resolve(self._changed(JobStatus.CANCELLED), 11.0)
        predictions.resolve(self._changed(JobStatus.RUNNING), 12.0)
        assert not metrics.histograms_by_name
