"""Reports of two polls of one worker that arrive in another order."""

import msgspec
from twisted.internet.defer import Deferred

from pistachiolift.node.interfaces import RunReport
from pistachiolift.node.worker_driver import SURVIVAL_POLL_S
from pistachiolift.workflows import EndKind, ReportedEnd, ReportedRun, StartAnswer

from .test_worker_driver import COMMAND, TASK, Harness, report


class TestOvertakenReports:
    """Guards against lists that are applied although a newer one has been.

    A waiting poll is answered long after it was sent, so that the order of the requests
    is not that of the lists. Each report carries the clock of the worker.
    """

    SUSPECTED = msgspec.structs.replace(COMMAND, alone=True)

    def harness(self, waiting, survival):
        first = report()
        harness = Harness(
            start_outcomes=[(StartAnswer(started=True), 5000)],
            poll_outcomes=[first, waiting, survival, Deferred()],
        )
        harness.reports = []
        handle = harness.events.handle_run_report

        def record(worker, new, sent_s):
            harness.reports.append(new.clock_ms)
            return handle(worker, new, sent_s)

        harness.events.handle_run_report = record
        harness.driver.run()
        harness.driver.start(self.SUSPECTED)
        harness.clock.advance(SURVIVAL_POLL_S)
        harness.reactor.advance(SURVIVAL_POLL_S)
        assert len(harness.connection.polls) == 3
        return harness

    @staticmethod
    def listed(clock_ms):
        run = ReportedRun(TASK, 7)
        return RunReport(
            clock_ms=clock_ms, running=[run], ended=[], last_end=0, complete=True
        )

    @staticmethod
    def ended(clock_ms):
        end = ReportedEnd(TASK, 7, EndKind.FAILED)
        return RunReport(
            clock_ms=clock_ms, running=[], ended=[end], last_end=1, complete=True
        )

    def test_a_delayed_list_of_the_later_poll_is_not_applied(self):
        """Guards against an ended run that is taken for one that was found."""
        waiting, survival = Deferred(), Deferred()
        harness = self.harness(waiting, survival)
        # The worker answered the later poll first, but this answer arrives later.
        waiting.callback(self.ended(5130))
        survival.callback(self.listed(5121))
        assert harness.reports == [5000, 5130]

    def test_the_later_answer_of_the_earlier_poll_is_applied(self):
        """Guards against an end that is read but waits for one more poll."""
        waiting, survival = Deferred(), Deferred()
        harness = self.harness(waiting, survival)
        survival.callback(self.listed(5121))
        waiting.callback(self.ended(5900))
        assert harness.reports == [5000, 5121, 5900]
