"""Commands and polls to a worker that answers, is silent, or is restarted."""

import msgspec
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
from pistachiolift.node.poll_limiter import (
    HURRIED_POLLS_PER_S,
    MAX_CONCURRENT_POLLS,
    MIN_WAIT_S,
    PollLimiter,
)
from pistachiolift.node.worker_driver import (
    SURVIVAL_POLL_S,
    LeaseTerms,
    WorkerDriver,
    WorkerEvents,
)
from pistachiolift.node.worker_fence import VALUES_PER_CLAIM, WorkerFence
from pistachiolift.workflows import (
    START_DELAY_LIMIT_S,
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
COMMAND = StartRun(task=TASK, number=7, worker_id=WORKER.worker_id, payload="p")


class FakeConnection(WorkerConnection):
    """Answers each call with the next outcome, and records the calls."""

    def __init__(self):
        self.polls = []
        self.starts = []
        self.stops = []
        self.speeds = []
        self.poll_outcomes = []
        self.start_outcomes = []
        self.stop_outcomes = []

    @staticmethod
    async def _outcome(outcomes):
        outcome = outcomes.pop(0) if outcomes else Deferred()
        if isinstance(outcome, Exception):
            raise outcome
        if isinstance(outcome, Deferred):
            return await outcome
        return outcome

    async def poll_runs(self, **kwargs):
        self.polls.append(kwargs)
        return await self._outcome(self.poll_outcomes)

    async def start(self, task, number, **kwargs):
        self.starts.append((task, number, kwargs))
        return await self._outcome(self.start_outcomes)

    async def stop(self, task, number, *, fence):
        self.stops.append((task, number))
        if self.stop_outcomes:
            await self._outcome(self.stop_outcomes)

    async def set_speed(self, task, number, *, percent, fence):
        self.speeds.append((task, number, percent))

    async def close(self):
        pass


class RecordedEvents(WorkerEvents):
    """Records the events that the driver reports."""

    def __init__(self):
        self.log = []
        self.durable = True
        self.runs = {(TASK, 7)}

    def may_send_commands(self):
        return True

    def may_start_runs(self):
        return True

    def handle_run_report(self, worker, report, sent_s):
        self.log.append("run_report")
        return succeed(self.durable)

    def handle_start_answer(self, command, answer):
        self.log.append(("start", answer.started, answer.reason, answer.repeated))

    def handle_unanswered_start(self, command):
        self.log.append("start_unanswered")

    def handle_stop_answer(self, command):
        self.log.append("stop_answered")

    def handle_unreachable(self, worker):
        self.log.append("unreachable")

    def record_unanswered_start(self, command, sent_s):
        self.log.append(("unanswered", command.number))

    def handle_worker_replaced(self, worker, incarnation):
        self.log.append(("replaced", incarnation))

    def record_lease(self, worker, lease_end_s):
        self.log.append(("lease", lease_end_s))

    def handle_superseded(self, reason):
        self.log.append(("superseded", reason))

    def has_run(self, worker, task, number):
        return (task, number) in self.runs


def report(ended=(), last_end=0):
    """Return a run report without running runs."""
    return RunReport(
        clock_ms=5000, running=[], ended=list(ended), last_end=last_end, complete=True
    )


class Harness:
    """A driver with a fake connection and recorded events."""

    def __init__(self, **outcomes):
        self.reactor = ReactorClock()
        self.clock = ManualClock()
        self.connection = FakeConnection()
        for name, values in outcomes.items():
            setattr(self.connection, name, list(values))
        self.events = RecordedEvents()
        self.fence = WorkerFence(lambda: 3)
        self.driver = WorkerDriver(
            self.reactor,
            WORKER,
            self.connection,
            clock=self.clock,
            metrics=Metrics(),
            terms=LeaseTerms(lease_s=4.0, limit_s=10.0),
            events=self.events,
            poll_limiter=PollLimiter(lambda: 1),
            fence=self.fence,
        )

    def advance(self, interval_s):
        self.clock.advance(interval_s)
        self.reactor.advance(interval_s)

    def leases(self):
        return [event for event in self.events.log if event[0] == "lease"]


class TestPolls:
    def test_the_first_poll_reads_the_clock_and_the_second_renews_the_lease(self):
        harness = Harness(poll_outcomes=[report()])
        harness.driver.run()
        first, second = harness.connection.polls
        assert first["lease_until_ms"] is None
        assert second["lease_until_ms"] == 9000

    def test_polls_of_a_silent_worker_do_not_renew_its_lease(self):
        silent = WorkerUnavailableError("timeout")
        harness = Harness(poll_outcomes=[report(), silent, silent, silent, report()])
        harness.driver.run()
        for _ in range(4):
            harness.advance(0.2)
        sent = [call["lease_until_ms"] is None for call in harness.connection.polls]
        assert sent == [True, False, True, True, True, False]
        assert len(harness.leases()) == 2

    def test_ends_are_acknowledged_only_once_they_are_durable(self):
        end = ReportedEnd(TASK, 7, EndKind.DONE)
        harness = Harness(poll_outcomes=[report([end], 4), report([end], 4)])
        harness.events.durable = False
        harness.driver.run()
        harness.events.durable = True
        harness.advance(0.6)
        seen = [call["last_end"] for call in harness.connection.polls]
        assert seen == [0, 0, 4]

    def test_a_poll_after_one_without_an_answer_acknowledges_nothing(self):
        """Guards against a restarted worker that forgets ends nobody has seen.

        Its ends are numbered from 1 again, so that a number of the process before
        would acknowledge them.
        """
        end = ReportedEnd(TASK, 7, EndKind.DONE)
        silent = WorkerUnavailableError("timeout")
        answers = [report([end], 4), report(), silent, report()]
        harness = Harness(poll_outcomes=answers)
        harness.driver.run()
        harness.advance(0.2)
        seen = [call["last_end"] for call in harness.connection.polls]
        assert seen == [0, 4, 4, 0, 4]

    def test_a_poll_after_a_pause_neither_acknowledges_nor_renews_the_lease(self):
        """Guards against the same after a freeze of this instance.

        The worker may have been restarted meanwhile and used by a later owner, which
        does not know of the lease.
        """
        end = ReportedEnd(TASK, 7, EndKind.DONE)
        answer = Deferred()
        harness = Harness(poll_outcomes=[report([end], 4), answer])
        harness.driver.run()
        harness.events.durable = False
        answer.callback(report([end], 5))
        # The driver pauses, since the second end is not durable.
        harness.clock.advance(4.0)
        harness.advance(0.6)
        last = harness.connection.polls[-1]
        assert (last["last_end"], last["lease_until_ms"]) == (0, None)

    def test_refused_connections_do_not_mean_that_the_process_has_ended(self):
        """Guards against ending the runs of a worker that is only cut off."""
        refused = WorkerUnavailableError("connection refused")
        harness = Harness(poll_outcomes=[report(), *[refused] * 20])
        harness.driver.run()
        for _ in range(20):
            harness.advance(0.2)
        assert not harness.driver.closed
        assert harness.events.log.count("unreachable") == 20
        assert not [event for event in harness.events.log if event[0] == "replaced"]
        assert len(harness.leases()) == 1

    def test_another_incarnation_ends_the_driver(self):
        harness = Harness(poll_outcomes=[WorkerReplacedError("new")])
        harness.driver.run()
        assert harness.events.log == [("replaced", None)]
        assert harness.driver.closed

    def test_a_higher_fence_ends_the_ownership(self):
        harness = Harness(poll_outcomes=[StaleOwnerError("fence")])
        harness.driver.run()
        assert ("superseded", "fence_at_worker") in harness.events.log


class TestStartsInDoubt:
    """Guards against a delayed start that the next process of its worker carries out.

    No call names a process, but each rejects calls with a lower fencing token than it
    has seen.
    """

    SILENT = WorkerUnavailableError("timeout")

    def _lose_worker(self, **outcomes):
        """Return a driver whose worker did not answer a start, and then no poll."""
        answer = Deferred()
        polls = [report(), answer, *[self.SILENT] * 20]
        harness = Harness(poll_outcomes=polls, start_outcomes=[self.SILENT], **outcomes)
        harness.driver.run()
        harness.driver.start(COMMAND)
        harness.first_fence = harness.connection.polls[0]["fence"]
        answer.errback(self.SILENT)
        return harness

    def test_polls_after_a_loss_prevent_it(self):
        harness = self._lose_worker()
        assert ("unanswered", 7) in harness.events.log
        harness.advance(0.2)
        last = harness.connection.polls[-1]
        assert last["fence"] > harness.first_fence

    def test_the_next_start_prevents_it_before_any_poll(self):
        """A poll may be seconds away while ends are being made durable."""
        started = StartAnswer(started=True), 5001
        outcomes = [self.SILENT, started]
        harness = Harness(poll_outcomes=[report()], start_outcomes=outcomes)
        harness.driver.run()
        harness.driver.start(COMMAND)
        first, second = harness.connection.starts
        assert second[2]["fence"] > first[2]["fence"]

    def test_a_start_overtaken_by_a_newer_call_is_sent_again(self):
        rejected = Deferred()
        started = StartAnswer(started=True), 5001
        harness = Harness(poll_outcomes=[report()], start_outcomes=[rejected, started])
        harness.driver.run()
        harness.driver.start(COMMAND)
        harness.fence.advance()
        rejected.errback(StaleOwnerError("fence"))
        assert len(harness.connection.starts) == 2
        # It was not carried out, so that its repetition is the first start.
        assert ("start", True, "", False) in harness.events.log
        assert ("unanswered", 7) not in harness.events.log

    def test_a_poll_overtaken_by_a_newer_call_is_sent_again(self):
        rejected = Deferred()
        harness = Harness(poll_outcomes=[report(), rejected, report()])
        harness.driver.run()
        harness.fence.advance()
        rejected.errback(StaleOwnerError("fence"))
        harness.advance(0.2)
        assert len(harness.connection.polls) == 4
        assert "unreachable" not in harness.events.log

    def test_a_loss_without_such_a_start_keeps_the_token(self):
        harness = Harness(poll_outcomes=[report(), self.SILENT])
        harness.driver.run()
        harness.advance(0.2)
        assert len({poll["fence"] for poll in harness.connection.polls}) == 1

    def test_the_worker_is_asked_more_often_until_the_doubt_is_old(self):
        harness = self._lose_worker()
        before = len(harness.connection.polls)
        for _ in range(4):
            harness.advance(0.005)
        assert len(harness.connection.polls) == before + 4
        harness.clock.advance(START_DELAY_LIMIT_S)
        harness.advance(0.2)
        before = len(harness.connection.polls)
        for _ in range(4):
            harness.advance(0.005)
        assert len(harness.connection.polls) == before

    def test_calls_overtaken_by_a_higher_token_do_not_end_the_ownership(self):
        harness = self._lose_worker()
        stopped = Deferred()
        harness.connection.stop_outcomes = [stopped]
        harness.driver.stop(
            StopRun(task=TASK, number=7, worker_id=WORKER.worker_id, reason="test")
        )
        harness.fence.advance()
        stopped.errback(StaleOwnerError("fence"))
        assert not [each for each in harness.events.log if each[0] == "superseded"]


class TestHurriedPolls:
    def _pause_s(self, limiter, now_s):
        return limiter.hurried_pause_s(0.002, usual_s=0.15, now_s=now_s)

    def test_their_rate_is_limited_for_all_workers_together(self):
        """Guards against an owner kept busy by polls when many workers are lost."""
        limiter = PollLimiter(lambda: 500)
        pauses = [self._pause_s(limiter, 100.0) for _ in range(1000)]
        assert pauses[0] == pytest.approx(0.002)
        hurried = [pause for pause in pauses if pause < 0.15]
        assert len(hurried) <= 0.15 * HURRIED_POLLS_PER_S + 1
        assert self._pause_s(limiter, 100.2) == pytest.approx(0.002)


class TestWorkerFence:
    def test_it_rises_with_each_advance_and_each_claim(self):
        claim = 5
        fence = WorkerFence(lambda: claim)
        values = [fence.value]
        for _ in range(3):
            fence.advance()
            values.append(fence.value)
        claim = 6
        values.append(fence.value)
        assert values == sorted(set(values))
        assert WorkerFence(lambda: 7).value > values[-1]

    def test_it_stays_below_the_tokens_of_the_next_claim(self):
        fence = WorkerFence(lambda: 5)
        for _ in range(2 * VALUES_PER_CLAIM):
            fence.advance()
        assert fence.value < WorkerFence(lambda: 6).value


class TestSurvivalPolls:
    """Guards against suspected tasks that wait for the report of a long poll.

    Until a report shows that they have survived their start, a crash of their worker
    counts against them, and the worker gets no other task.
    """

    SUSPECTED = msgspec.structs.replace(COMMAND, alone=True)

    def harness(self, command, **outcomes):
        started = (StartAnswer(started=True), 5000)
        harness = Harness(start_outcomes=[started], **outcomes)
        harness.driver.run()
        harness.driver.start(command)
        harness.clock.advance(SURVIVAL_POLL_S)
        harness.reactor.advance(SURVIVAL_POLL_S)
        return harness

    def test_a_report_is_requested_soon_after_the_start(self):
        harness = self.harness(self.SUSPECTED, poll_outcomes=[report()])
        waits = [call["wait_s"] for call in harness.connection.polls]
        assert waits == [0.0, MIN_WAIT_S, 0.0]

    def test_other_starts_cause_no_poll(self):
        harness = self.harness(COMMAND, poll_outcomes=[report()])
        assert len(harness.connection.polls) == 2

    def test_a_run_that_has_ended_causes_no_poll(self):
        harness = Harness(
            start_outcomes=[(StartAnswer(started=True), 5000)],
            poll_outcomes=[report()],
        )
        harness.driver.run()
        harness.driver.start(self.SUSPECTED)
        harness.events.runs.clear()
        harness.advance(SURVIVAL_POLL_S)
        assert len(harness.connection.polls) == 2

    def test_an_older_report_that_arrives_later_is_not_applied(self):
        """Guards against runs that come back from a list that was overtaken."""
        waiting = Deferred()
        end = ReportedEnd(TASK, 7, EndKind.DONE)
        outcomes = [report(), waiting, report(), Deferred()]
        harness = self.harness(self.SUSPECTED, poll_outcomes=outcomes)
        assert harness.events.log.count("run_report") == 2
        waiting.callback(report([end], 4))
        assert harness.events.log.count("run_report") == 2
        last = harness.connection.polls[-1]
        assert (last["wait_s"], last["last_end"]) == (0.0, 0)


class TestRequestedReports:
    def test_a_report_is_requested_beside_the_waiting_poll(self):
        """Guards against a notice to leave that is read when the wait is over."""
        harness = Harness(poll_outcomes=[report()])
        harness.driver.run()
        assert [poll["wait_s"] for poll in harness.connection.polls] == [0.0, 0.8]
        harness.driver.request_report()
        assert [poll["wait_s"] for poll in harness.connection.polls[2:]] == [0.0]


class TestFaultsOfACall:
    """Guards against owners that give up one after the other because of one worker."""

    def test_a_failed_poll_counts_as_no_answer(self):
        fault = OverflowError("port must be 0-65535")
        harness = Harness(poll_outcomes=[fault, report()])
        harness.driver.run()
        assert harness.events.log == ["unreachable"]
        harness.advance(0.2)
        assert "run_report" in harness.events.log
        assert not harness.driver.closed

    @pytest.mark.parametrize("name", ["start", "stop", "set_speed"])
    def test_a_failed_command_counts_as_no_answer(self, name):
        harness = Harness(poll_outcomes=[report()])
        harness.driver.run()

        async def fail(*_args, **_options):
            raise ValueError("no valid header")

        setattr(harness.connection, name, fail)
        stop = StopRun(task=TASK, number=7, worker_id=WORKER.worker_id, reason="x")
        match name:
            case "start":
                harness.driver.start(COMMAND)
                assert "start_unanswered" in harness.events.log
            case "stop":
                harness.driver.stop(stop)
            case "set_speed":
                harness.driver.set_speed(TASK, 7, 40)
        harness.events.runs.clear()
        harness.advance(1.0)
        superseded = [e for e in harness.events.log if e[0] == "superseded"]
        assert not superseded

    def test_a_fault_in_handling_a_report_still_ends_the_ownership(self):
        """The owner's state may be inconsistent; its successor reads the ledger."""
        harness = Harness(poll_outcomes=[report()])

        def fail(worker, run_report, sent_s):
            raise KeyError("job")

        harness.events.handle_run_report = fail
        harness.driver.run()
        assert ("superseded", "driver_failed") in harness.events.log


class TestStarts:
    def _harness(self, *outcomes):
        harness = Harness(poll_outcomes=[report()], start_outcomes=outcomes)
        harness.driver.run()
        harness.driver.start(COMMAND)
        return harness

    def test_a_start_without_an_answer_is_sent_again(self):
        silent = WorkerUnavailableError("timeout")
        harness = self._harness(silent, (StartAnswer(started=True), 5001))
        assert len(harness.connection.starts) == 2
        assert ("start", True, "", True) in harness.events.log

    def test_a_refusal_reports_whether_an_earlier_attempt_was_unanswered(self):
        refusal = (StartAnswer(started=False, reason="room"), 5001)
        harness = self._harness(refusal)
        assert ("start", False, "room", False) in harness.events.log
        harness = self._harness(WorkerUnavailableError("timeout"), refusal)
        assert ("start", False, "room", True) in harness.events.log

    def test_a_start_that_is_never_answered_is_reported_as_unanswered(self):
        harness = self._harness(*[WorkerUnavailableError("timeout")] * 5)
        assert "start_unanswered" in harness.events.log

    def test_a_start_that_is_no_longer_wanted_is_not_repeated(self):
        answer = Deferred()
        harness = self._harness(answer)
        harness.events.runs.clear()
        answer.errback(WorkerUnavailableError("timeout"))
        assert len(harness.connection.starts) == 1


class TestStops:
    def test_a_stop_is_repeated_until_the_run_is_over(self):
        harness = Harness()
        command = StopRun(
            task=TASK, number=7, worker_id=WORKER.worker_id, reason="cancelled"
        )
        harness.driver.stop(command)
        harness.advance(0.5)
        assert len(harness.connection.stops) == 2
        harness.events.runs.clear()
        harness.advance(2.0)
        assert len(harness.connection.stops) == 2

    def test_an_answer_that_arrives_after_the_driver_was_replaced_is_ignored(self):
        """Guards against taking a run for blocked at a worker's next process.

        Only the process before has confirmed the stop.
        """
        answer = Deferred()
        harness = Harness(stop_outcomes=[answer])
        command = StopRun(
            task=TASK, number=7, worker_id=WORKER.worker_id, reason="start_unanswered"
        )
        harness.driver.stop(command)
        harness.driver.close()
        answer.callback(None)
        assert "stop_answered" not in harness.events.log

    def test_no_answer_after_the_driver_was_replaced_says_nothing(self):
        answer = Deferred()
        harness = Harness(poll_outcomes=[answer])
        harness.driver.run()
        harness.driver.close()
        answer.errback(WorkerUnavailableError("timeout"))
        assert "unreachable" not in harness.events.log


class TestPollLimiter:
    """A new owner must not poll hundreds of workers at the same time."""

    def test_the_number_of_polls_in_flight_is_limited(self):
        answers = []
        poll_limiter = PollLimiter(lambda: 500)

        async def poll_worker():
            answer = Deferred()
            answers.append(answer)
            return await answer

        polls_made = [poll_limiter.run(poll_worker) for _ in range(500)]
        most = 0
        while answers:
            most = max(most, len(answers))
            answers.pop(0).callback(None)
        assert most == MAX_CONCURRENT_POLLS
        assert all(each.called for each in polls_made)

    def test_a_failed_poll_releases_its_slot(self):
        poll_limiter = PollLimiter(lambda: 500)

        async def fail():
            raise WorkerUnavailableError("no answer")

        failures = []
        for _ in range(2 * MAX_CONCURRENT_POLLS):
            poll_limiter.run(fail).addErrback(failures.append)
        assert len(failures) == 2 * MAX_CONCURRENT_POLLS

    @pytest.mark.parametrize(
        ("workers", "wait_s"), [(24, 0.8), (176, 0.8), (400, 1.6), (2000, 2.0)]
    )
    def test_polls_wait_longer_with_more_workers(self, workers, wait_s):
        assert PollLimiter(lambda: workers).wait_s == pytest.approx(wait_s)


class TestSpeeds:
    def test_an_ordered_speed_is_sent_to_the_worker(self):
        harness = Harness()
        harness.driver.set_speed(TASK, 7, 40)
        assert harness.connection.speeds == [(TASK, 7, 40)]
