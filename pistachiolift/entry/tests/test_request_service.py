"""Tests of the answers to callers when the home of their request is silent."""

import pytest
from twisted.internet.task import Clock as ReactorClock

from pistachiolift.common import (
    CustomerId,
    Epoch,
    InstanceId,
    KindId,
    ManualClock,
    Metrics,
    Outcome,
    PartitionId,
    RequestId,
)
from pistachiolift.entry.request_service import (
    DEADLINE_GRACE_S,
    HOME_SILENCE_LIMIT_S,
    RequestService,
)
from pistachiolift.entry.session import Caller, RequestSession
from pistachiolift.home import PartitionMap
from pistachiolift.peers import RequestEnded


class Answer:
    """Records the errors sent to a caller."""

    retryable = True

    def __init__(self):
        self.errors = []

    def fail(self, error):
        self.errors.append(error)


class Body:
    replayable = True


class Entry:
    """The request service of an entry instance whose messages are all lost."""

    def __init__(self):
        self.reactor, self.clock = ReactorClock(), ManualClock()
        self.partition_map = PartitionMap()
        self.service = RequestService(
            self.reactor,
            clock=self.clock,
            self_id=InstanceId("entry"),
            partition_map=self.partition_map,
            dispatcher=None,
            metrics=Metrics(),
            send=lambda instance_id, message: False,
            dedup_window_s=lambda: 600.0,
        )

    def submit(self, deadline_s, **changes):
        """Submit a request and return the answer to its caller."""
        now_s = self.clock.monotonic_s()
        session = RequestSession(
            request_id=RequestId("c/1"),
            customer_id=CustomerId("c"),
            kind_id=KindId("k"),
            partition_id=PartitionId("p"),
            deadline_s=now_s + deadline_s,
            repeatable=True,
            body_digest="",
            body_bytes=0,
            last_contact_s=now_s,
            **changes,
        )
        answer = Answer()
        self.service.submit(session, Caller(Body(), answer, b""))
        return answer

    def advance(self, interval_s):
        for _ in range(round(interval_s / 0.25)):
            self.clock.advance(0.25)
            self.reactor.advance(0.25)


class TestSilentHome:
    @pytest.mark.parametrize(
        "changes, outcome",
        [
            ({}, Outcome.EXPIRED),
            ({"granted_before": True}, Outcome.UNKNOWN),
            ({"resubmitted": True}, Outcome.UNKNOWN),
        ],
    )
    def test_a_request_expires_after_its_deadline(self, changes, outcome):
        entry = Entry()
        with entry.service:
            answer = entry.submit(2.0, **changes)
            entry.advance(2.0)
            assert answer.errors == []
            entry.advance(DEADLINE_GRACE_S + 0.25)
        [error] = answer.errors
        assert error.outcome is outcome
        assert error.retry_after_s is None
        assert entry.service.is_idle

    def test_a_request_before_its_deadline_is_refused_with_a_retry_delay(self):
        entry = Entry()
        with entry.service:
            answer = entry.submit(30.0)
            entry.advance(HOME_SILENCE_LIMIT_S + 0.5)
        [error] = answer.errors
        assert error.outcome is Outcome.REFUSED
        assert error.retry_after_s > 0

    def test_a_pause_of_this_process_does_not_count_as_silence_of_the_home(self):
        """Guards against refusing requests in flight when a frozen process resumes."""
        entry = Entry()
        with entry.service:
            answer = entry.submit(30.0)
            entry.clock.advance(HOME_SILENCE_LIMIT_S + 1.0)
            entry.advance(HOME_SILENCE_LIMIT_S - 0.5)
            assert answer.errors == []
            entry.advance(1.0)
        [error] = answer.errors
        assert error.outcome is Outcome.REFUSED


class TestHomeAfterTakeover:
    """Guards against "not run" from an owner that does not know an earlier attempt.

    Pattern: the owner is killed after an attempt was lost with its upstream; the next
    owner, whose slots are all in use, refuses the request that is sent to it again.
    """

    def end(self, *, home_epoch, outcome, **changes):
        entry = Entry()
        answer = entry.submit(30.0, **changes)
        entry.partition_map.record_owner(
            PartitionId("p"), InstanceId("home"), Epoch(home_epoch)
        )
        entry.service.handle(
            RequestEnded(
                sender=InstanceId("home"),
                partition_id=PartitionId("p"),
                request_id=RequestId("c/1"),
                outcome=outcome.value,
                code="queue_full",
                message="",
            )
        )
        [error] = answer.errors
        return error.outcome

    @pytest.mark.parametrize(
        "outcome, expected",
        [
            (Outcome.REFUSED, Outcome.UNKNOWN),
            (Outcome.EXPIRED, Outcome.UNKNOWN),
            (Outcome.CANCELLED_NOT_RUN, Outcome.CANCELLED_MAY_HAVE_RUN),
            (Outcome.FAILED, Outcome.FAILED),
        ],
    )
    def test_a_later_owner_cannot_say_that_nothing_ran(self, outcome, expected):
        ran = {"granted_before": True, "granted_epoch": Epoch(3)}
        assert self.end(home_epoch=4, outcome=outcome, **ran) is expected

    def test_the_owner_that_granted_the_attempt_knows_its_end(self):
        ran = {"granted_before": True, "granted_epoch": Epoch(3)}
        outcome = self.end(home_epoch=3, outcome=Outcome.REFUSED, **ran)
        assert outcome is Outcome.REFUSED

    def test_a_request_that_no_attempt_was_started_for_has_not_run(self):
        outcome = self.end(home_epoch=4, outcome=Outcome.REFUSED)
        assert outcome is Outcome.REFUSED
