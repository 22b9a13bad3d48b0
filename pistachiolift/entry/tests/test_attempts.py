"""Tests of what an entry instance knows of the attempts that it has started."""

from hypothesis import given
from hypothesis import strategies as st

from pistachiolift.common import (
    AttemptId,
    CustomerId,
    Epoch,
    InstanceId,
    KindId,
    ManualClock,
    Metrics,
    PartitionId,
    RequestId,
    UpstreamId,
)
from pistachiolift.entry.attempts import AttemptRunner
from pistachiolift.entry.dispatcher import AttemptOutcome
from pistachiolift.entry.session import Caller, RequestSession, SessionTable
from pistachiolift.peers import AttemptEnd, AttemptGranted

NOT_RUN = {AttemptEnd.NOT_STARTED, AttemptEnd.UNREACHABLE}


class Dispatcher:
    """Ends each attempt as told."""

    def __init__(self):
        self.ends = []

    async def run(self, order, caller):
        return AttemptOutcome(self.ends.pop(0), 0.1)


class Reports(set):
    """Takes the reports of the home partition."""

    def __contains__(self, attempt_id):
        return False

    def add(self, message):
        pass


class Answer:
    retryable = True
    ended = False


class Body:
    replayable = True


def make_session():
    return RequestSession(
        request_id=RequestId("c/1"),
        customer_id=CustomerId("c"),
        kind_id=KindId("k"),
        partition_id=PartitionId("p"),
        deadline_s=30.0,
        repeatable=True,
        body_digest="",
        body_bytes=0,
        last_contact_s=0.0,
        callers=[Caller(Body(), Answer(), b"")],
    )


def grant(number):
    return AttemptGranted(
        sender=InstanceId("home"),
        partition_id=PartitionId("p"),
        epoch=Epoch(1),
        request_id=RequestId("c/1"),
        attempt_id=AttemptId(f"p.1.{number}"),
        upstream_id=UpstreamId("u"),
        address="127.0.0.1:1",
        start_before_ms=10**15,
        run_limit_ms=1000,
    )


class TestAttemptsThatMayHaveRun:
    """Guards against "not run" for a request of which an earlier attempt ran.

    Pattern: the upstreams of a data centre are killed one after the other. The first
    attempt is lost with its upstream, the next one finds nobody listening, and then
    the home is silent for longer than a caller waits.
    """

    @given(st.lists(st.sampled_from(sorted(AttemptEnd, key=lambda e: e.value))))
    def test_an_attempt_that_was_not_started_does_not_hide_an_earlier_one(self, ends):
        sessions, dispatcher = SessionTable(), Dispatcher()
        session = make_session()
        sessions.add(session)
        runner = AttemptRunner(
            clock=ManualClock(),
            self_id=InstanceId("entry"),
            sessions=sessions,
            dispatcher=dispatcher,
            reports=Reports(),
            metrics=Metrics(),
            on_answered=lambda *arguments: None,
        )
        for number, end in enumerate(ends):
            dispatcher.ends.append(end)
            runner.handle_grant(grant(number))
            assert session.held_attempt is None
        assert session.granted_before is any(end not in NOT_RUN for end in ends)
