"""Calls at an entry instance while there is no owner, or the owner is stalled."""

import pytest
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock as ReactorClock

from pistachiolift.common import JobId, ManualClock, Metrics
from pistachiolift.node.job_service import OWNER_WAIT_S, JobService
from pistachiolift.node.peer_messages import JobAnswer, JobOutcome
from pistachiolift.workflows.tests.virtual_cell import make_graph, make_queue

JOB = JobId("0123456789abcdef")
DEADLINE_S = 3.0


class Peer:
    """A connection to an instance that answers every call with the same outcome."""

    def __init__(self, outcome):
        self.outcome = outcome

    async def call(self, message, *, timeout_s):
        return JobAnswer(self.outcome)


class Link:
    def __init__(self):
        self.connection = None


class StalledOwner:
    """An owner in this process that answers only when the test lets it."""

    configuration_version = 0

    def __init__(self):
        self.calls = self
        self.answer = Deferred()

    async def submit(self, job_id, queue, graph, age_s, customer_id):
        return await self.answer


class Entry:
    """An entry instance, initially without an owner."""

    def __init__(self):
        self.reactor, self.clock = ReactorClock(), ManualClock()
        self.link = Link()
        self.store_lost_s = 0.0
        self.owner = None
        self.service = JobService(
            self.reactor,
            clock=self.clock,
            metrics=Metrics(),
            owner=lambda: self.owner,
            link=self.link,
            store_lost_s=lambda: self.store_lost_s,
        )
        self.answers = []

    def submit(self):
        until_s = self.clock.monotonic_s() + DEADLINE_S
        call = self.service.submit(JOB, make_queue(), make_graph(), until_s=until_s)
        ensureDeferred(call).addCallback(lambda a: self.answers.append(a.outcome))

    def advance(self, interval_s):
        for _ in range(round(interval_s / 0.05)):
            self.clock.advance(0.05)
            self.reactor.advance(0.05)


class TestOutageWithoutAnOwner:
    """The owner dies while the store is unreachable."""

    @pytest.mark.parametrize("peer", [None, Peer(JobOutcome.NOT_OWNER)])
    def test_a_job_that_cannot_be_accepted_is_refused_at_once(self, peer):
        entry = Entry()
        entry.link.connection = peer
        entry.store_lost_s = 1.0
        entry.submit()
        entry.advance(0.1)
        assert entry.answers == [JobOutcome.REFUSED]

    def test_a_call_that_an_owner_left_undecided_is_not_reported_as_refused(self):
        entry = Entry()
        entry.link.connection = Peer(JobOutcome.UNDECIDED)
        entry.submit()
        entry.link.connection = None
        entry.store_lost_s = 1.0
        entry.advance(0.1)
        assert entry.answers == [JobOutcome.UNDECIDED]

    def test_a_call_waits_for_a_takeover_while_the_store_answers(self):
        entry = Entry()
        entry.submit()
        entry.advance(OWNER_WAIT_S - 0.3)
        assert entry.answers == []
        entry.link.connection = Peer(JobOutcome.OK)
        entry.advance(0.1)
        assert entry.answers == [JobOutcome.OK]

    def test_a_reachable_owner_is_called_although_the_store_is_unreachable(self):
        entry = Entry()
        entry.store_lost_s = 1.0
        entry.link.connection = Peer(JobOutcome.OK)
        entry.submit()
        assert entry.answers == [JobOutcome.OK]


class TestOwnerInThisProcess:
    """Jobs are submitted at the owner while the store accepts no writes."""

    def test_a_caller_is_answered_before_its_time_is_over(self):
        entry = Entry()
        entry.owner = StalledOwner()
        entry.submit()
        entry.advance(DEADLINE_S - 0.1)
        assert entry.answers == []
        entry.advance(0.2)
        assert entry.answers == [JobOutcome.UNDECIDED]
        entry.owner.answer.callback(JobAnswer(JobOutcome.OK))
        assert entry.answers == [JobOutcome.UNDECIDED]

    def test_an_answer_in_time_is_returned(self):
        entry = Entry()
        entry.owner = StalledOwner()
        entry.submit()
        entry.advance(1.0)
        entry.owner.answer.callback(JobAnswer(JobOutcome.OK))
        assert entry.answers == [JobOutcome.OK]
        assert not entry.reactor.getDelayedCalls()
