"""Calls at an entry instance while there is no owner, or the owner is stalled."""

import pytest
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock as ReactorClock

from pistachiolift.common import CustomerId, JobId, ManualClock, Metrics
from pistachiolift.node.job_service import OWNER_WAIT_S, JobService
from pistachiolift.node.peer_messages import (
    CancelJob,
    CountWaiting,
    GetStatus,
    JobAnswer,
    JobOutcome,
    SubmitJob,
)
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
            catch_up=self.catch_up,
        )
        self.answers = []
        self.obtainable = set()

    async def catch_up(self, version):
        """Get a version of the configuration if the test lets the owner have it."""
        if version in self.obtainable:
            self.owner.configuration_version = version
        return version in self.obtainable

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


class JudgingOwner:
    """An owner that records under which version it decides about each call."""

    def __init__(self, configuration_version):
        self.configuration_version = configuration_version
        self.calls = self
        self.decided_under = []

    def status(self, job_id, customer_id):
        self.decided_under.append(self.configuration_version)
        return JobAnswer(JobOutcome.OK)

    def count_pending_jobs(self, queue_id):
        return self.status(queue_id, None)

    async def submit(self, job_id, queue, graph, age_s, customer_id):
        return self.status(job_id, customer_id)

    async def cancel(self, job_id, customer_id):
        return self.status(job_id, customer_id)


def make_calls(version):
    """Return one call of each kind that was judged under a version."""
    queue, customer = make_queue(), CustomerId("a")
    return [
        SubmitJob(JOB, queue, make_graph(), 0.0, customer, version),
        CancelJob(JOB, customer, version),
        GetStatus(JOB, customer, version),
        CountWaiting(queue.queue_id, version),
    ]


class TestVersionsOfCallerAndOwner:
    """The newest configuration of the two instances decides about a call."""

    @staticmethod
    def decide(*, caller, owner, obtainable=()):
        """Return the answers, and the versions under which the owner has decided."""
        entry = Entry()
        entry.owner, entry.obtainable = JudgingOwner(owner), set(obtainable)
        answers = [
            ensureDeferred(entry.service.answer(entry.owner, call)).result
            for call in make_calls(caller)
        ]
        return answers, entry.owner.decided_under

    # Guards against an owner that runs a job of an added or moved route under the
    # configuration before it, and then refuses the same route itself.
    def test_an_owner_that_is_behind_catches_up_before_it_decides(self):
        answers, versions = self.decide(caller=8, owner=7, obtainable=[8])
        assert [answer.outcome for answer in answers] == [JobOutcome.OK] * 4
        assert versions == [8] * 4

    # Guards against a dropped route or a removed key that is still accepted, because
    # the instance that took the call has not heard of the change.
    def test_an_owner_that_is_ahead_does_nothing(self):
        answers, versions = self.decide(caller=6, owner=7)
        expected = JobAnswer(JobOutcome.OLDER_CONFIGURATION, configuration_version=7)
        assert answers == [expected] * 4
        assert versions == []

    def test_an_owner_that_overtakes_the_caller_meanwhile_does_nothing(self):
        entry = Entry()
        entry.owner = JudgingOwner(7)

        async def overtake(version):
            entry.owner.configuration_version = version + 1
            return True

        entry.service._catch_up = overtake
        for call in make_calls(8):
            entry.owner.configuration_version = 7
            answer = ensureDeferred(entry.service.answer(entry.owner, call)).result
            assert answer.configuration_version == 9
        assert entry.owner.decided_under == []

    @pytest.mark.parametrize("caller", [None, 7, 8])
    def test_otherwise_the_owner_decides_under_its_own(self, caller):
        """Also if it cannot get the newer one: all calls would fail otherwise."""
        answers, versions = self.decide(caller=caller, owner=7)
        assert [answer.outcome for answer in answers] == [JobOutcome.OK] * 4
        assert versions == [7] * 4

    def test_a_call_that_an_owner_left_undecided_stays_undecided(self):
        """Guards against a job that is accepted and then answered with 404."""
        entry = Entry()
        entry.link.connection = Peer(JobOutcome.UNDECIDED)
        entry.submit()
        entry.link.connection = Peer(JobOutcome.OLDER_CONFIGURATION)
        entry.advance(0.1)
        assert entry.answers == [JobOutcome.UNDECIDED]
