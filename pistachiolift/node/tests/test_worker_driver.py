"""Orders and listings to a worker that answers, is silent, or is replaced."""

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock as ReactorClock

from pistachiolift.common import JobId, ManualClock, Metrics, WorkerId
from pistachiolift.node.interfaces import (
    RunReport,
    StaleOwnerError,
    WorkerConnection,
    WorkerReplacedError,
    WorkerUnavailableError,
)
from pistachiolift.node.poll_limiter import AT_ONCE, PollLimiter
from pistachiolift.node.worker_driver import LeaseTerms, WorkerDriver, WorkerEvents
from pistachiolift.workflows import (
    EndKind,
    PoolId,
    ReportedEnd,
    Size,
    StartAnswer,
    StartRun,
    StopRun,
    TaskKey,
    Worker,
    WorkerState,
)

WORKER = Worker(
    worker_id=WorkerId("w"),
    address="127.0.0.1:1",
    pool_id=PoolId("p"),
    zone="z",
    incarnation=1,
    state=WorkerState.READY,
    capacity=Size(cpu_milli=1000),
)
TASK = TaskKey(JobId("j"), 0, 0, 0)
ORDER = StartRun(task=TASK, number=7, worker_id=WORKER.worker_id, payload="p")


class FakeConnection(WorkerConnection):
    """Answers each call with the next outcome; keeps what was sent."""

    def __init__(self):
        self.listings = []
        self.starts = []
        self.stops = []
        self.list_outcomes = []
        self.start_outcomes = []

    @staticmethod
    async def _outcome(outcomes):
        outcome = outcomes.pop(0) if outcomes else Deferred()
        if isinstance(outcome, Exception):
            raise outcome
        if isinstance(outcome, Deferred):
            return await outcome
        return outcome

    async def poll_runs(self, **kwargs):
        self.listings.append(kwargs)
        return await self._outcome(self.list_outcomes)

    async def start(self, task, number, **kwargs):
        self.starts.append((task, number, kwargs))
        return await self._outcome(self.start_outcomes)

    async def stop(self, task, number, *, fence):
        self.stops.append((task, number))

    async def set_speed(self, task, number, *, percent, fence):
        pass

    async def close(self):
        pass


class Events(WorkerEvents):
    """Keeps what the driver reports."""

    def __init__(self):
        self.log = []
        self.durable = True
        self.runs = {(TASK, 7)}

    def may_send_commands(self):
        return True

    def handle_run_report(self, worker, listing, sent_s):
        self.log.append("listed")
        return succeed(self.durable)

    def handle_start_answer(self, order, answer):
        self.log.append(("start", answer.started, answer.reason, answer.repeated))

    def handle_unanswered_start(self, order):
        self.log.append("start_unanswered")

    def handle_stop_answer(self, order):
        self.log.append("stop_answered")

    def handle_unreachable(self, worker):
        self.log.append("unreachable")

    def handle_worker_ended(self, worker, reason):
        self.log.append(("ended", reason))

    def record_lease(self, worker, lease_end_s):
        self.log.append(("lease", lease_end_s))

    def handle_superseded(self, reason):
        self.log.append(("superseded", reason))

    def has_run(self, worker, task, number):
        return (task, number) in self.runs


def listing(ended=(), last_end=0):
    """Return a list of runs."""
    return RunReport(
        clock_ms=5000, running=[], ended=list(ended), last_end=last_end, complete=True
    )


class Bench:
    """A driver with fakes around it."""

    def __init__(self, **outcomes):
        self.reactor = ReactorClock()
        self.clock = ManualClock()
        self.connection = FakeConnection()
        for name, values in outcomes.items():
            setattr(self.connection, name, list(values))
        self.events = Events()
        self.driver = WorkerDriver(
            self.reactor,
            WORKER,
            self.connection,
            clock=self.clock,
            metrics=Metrics(),
            terms=LeaseTerms(lease_s=4.0),
            events=self.events,
            pace=PollLimiter(lambda: 1),
            fence=lambda: 3,
        )

    def advance(self, interval_s):
        self.clock.advance(interval_s)
        self.reactor.advance(interval_s)

    def leases(self):
        return [event for event in self.events.log if event[0] == "lease"]


class TestListings:
    def test_the_first_listing_learns_the_clock_and_the_second_renews(self):
        bench = Bench(list_outcomes=[listing()])
        bench.driver.run()
        first, second = bench.connection.listings
        assert first["lease_until_ms"] is None
        assert second["lease_until_ms"] == 9000

    def test_a_silent_worker_is_looked_at_without_renewing_its_lease(self):
        silent = WorkerUnavailableError("timeout")
        bench = Bench(list_outcomes=[listing(), silent, silent, silent, listing()])
        bench.driver.run()
        for _ in range(4):
            bench.advance(0.2)
        sent = [call["lease_until_ms"] is None for call in bench.connection.listings]
        assert sent == [True, False, True, True, True, False]
        assert len(bench.leases()) == 2

    def test_ends_are_acknowledged_only_once_they_are_durable(self):
        end = ReportedEnd(TASK, 7, EndKind.DONE)
        bench = Bench(list_outcomes=[listing([end], 4), listing([end], 4)])
        bench.events.durable = False
        bench.driver.run()
        bench.events.durable = True
        bench.advance(0.6)
        seen = [call["last_end"] for call in bench.connection.listings]
        assert seen == [0, 0, 4]

    def test_two_refused_connections_mean_that_the_process_has_ended(self):
        refused = WorkerUnavailableError("refused", refused=True)
        bench = Bench(list_outcomes=[refused, refused])
        bench.driver.run()
        assert ("ended", "connection_refused") not in bench.events.log
        bench.advance(0.2)
        assert ("ended", "connection_refused") in bench.events.log

    def test_another_incarnation_ends_the_driver(self):
        bench = Bench(list_outcomes=[WorkerReplacedError("new")])
        bench.driver.run()
        assert bench.events.log == [("ended", "replaced")]

    def test_a_higher_fence_ends_the_ownership(self):
        bench = Bench(list_outcomes=[StaleOwnerError("fence")])
        bench.driver.run()
        assert ("superseded", "fence_at_worker") in bench.events.log


class TestStarts:
    def _bench(self, *outcomes):
        bench = Bench(list_outcomes=[listing()], start_outcomes=outcomes)
        bench.driver.run()
        bench.driver.start(ORDER)
        return bench

    def test_a_start_without_an_answer_is_sent_again(self):
        silent = WorkerUnavailableError("timeout")
        bench = self._bench(silent, (StartAnswer(started=True), 5001))
        assert len(bench.connection.starts) == 2
        assert ("start", True, "", True) in bench.events.log

    def test_a_refusal_tells_whether_an_earlier_send_had_no_answer(self):
        refusal = (StartAnswer(started=False, reason="room"), 5001)
        bench = self._bench(refusal)
        assert ("start", False, "room", False) in bench.events.log
        bench = self._bench(WorkerUnavailableError("timeout"), refusal)
        assert ("start", False, "room", True) in bench.events.log

    def test_a_start_that_is_never_answered_is_given_up(self):
        bench = self._bench(*[WorkerUnavailableError("timeout")] * 5)
        assert "start_unanswered" in bench.events.log

    def test_a_start_that_is_no_longer_wanted_is_not_repeated(self):
        answer = Deferred()
        bench = self._bench(answer)
        bench.events.runs.clear()
        answer.errback(WorkerUnavailableError("timeout"))
        assert len(bench.connection.starts) == 1


class TestStops:
    def test_a_stop_is_repeated_until_the_run_is_over(self):
        bench = Bench()
        order = StopRun(
            task=TASK, number=7, worker_id=WORKER.worker_id, reason="cancelled"
        )
        bench.driver.stop(order)
        bench.advance(0.5)
        assert len(bench.connection.stops) == 2
        bench.events.runs.clear()
        bench.advance(2.0)
        assert len(bench.connection.stops) == 2


class TestListingPace:
    """Pattern: a new owner lists hundreds of workers."""

    def test_not_all_workers_are_listed_at_once(self):
        answers = []
        pace = PollLimiter(lambda: 500)

        async def list_worker():
            answer = Deferred()
            answers.append(answer)
            return await answer

        listed = [pace.run(list_worker) for _ in range(500)]
        most = 0
        while answers:
            most = max(most, len(answers))
            answers.pop(0).callback(None)
        assert most == AT_ONCE
        assert all(each.called for each in listed)

    def test_a_failed_call_gives_its_turn_on(self):
        pace = PollLimiter(lambda: 500)

        async def fail():
            raise WorkerUnavailableError("no answer")

        failures = []
        for _ in range(2 * AT_ONCE):
            pace.run(fail).addErrback(failures.append)
        assert len(failures) == 2 * AT_ONCE

    @pytest.mark.parametrize(
        ("workers", "wait_s"), [(24, 0.8), (176, 0.8), (400, 1.6), (2000, 2.0)]
    )
    def test_many_workers_are_listed_less_often(self, workers, wait_s):
        assert PollLimiter(lambda: workers).wait_s == pytest.approx(wait_s)
