"""Tests of attempts whose entry instance is lost.

An entry instance fails while its attempts run, and its callers send their requests
again through another one.
"""

import pytest

from pistachiolift.bench.request_replay import Workload
from pistachiolift.common import Outcome, Urgency
from pistachiolift.requests import (
    AttemptReport,
    AttemptResult,
    ConfirmAttempt,
    EndRequest,
    Grant,
    WriteIntent,
)

from .home import Home

WORK = Workload(kind_id="k", urgency=Urgency.DEFERRABLE, load=1, run_s=4.0)
REQUESTS = 20
DEADLINE_S = 60.0


@pytest.fixture
def home():
    """A home whose requests were sent through two entry instances."""
    home = Home(WORK, slots=2 * REQUESTS, deadline_s=DEADLINE_S)
    for entry_id, now_s in (("lost", 0.0), ("other", 1.0)):
        for number in range(REQUESTS):
            home.submit(f"c/{number}", now_s, entry_id=entry_id)
    assert len(home.decisions_of_type(Grant)) == REQUESTS
    return home


class TestResubmittedRequests:
    @pytest.mark.parametrize("detected_s", [5.0, 13.0])
    def test_each_request_gets_a_second_attempt(self, home, detected_s):
        """Guards against requests that end with the attempt of the lost instance.

        The loss is detected before or after the run limit of the attempts.
        """
        home.advance(1.0, detected_s)
        home.lose_entry("lost", detected_s)
        home.advance(detected_s, detected_s + 2.0)
        assert home.decisions_of_type(EndRequest) == []
        again = home.decisions_of_type(Grant)[REQUESTS:]
        assert len({grant.request_id for grant in again}) == REQUESTS

    def test_further_unreported_attempts_need_the_retry_budget(self, home):
        """Guards against unlimited retries at upstreams whose answers are lost."""
        home.advance(1.0, 40.0)
        assert len(home.decisions_of_type(EndRequest)) > REQUESTS / 2


class TestAttemptsOnLentSlots:
    """An earlier owner's attempt runs on an upstream of another partition.

    Its caller sends the request again, while no entry instance holds the attempt.
    """

    def test_the_request_starts_again_once_the_attempt_has_ended(self):
        home = Home(WORK, slots=1, deadline_s=DEADLINE_S)
        orphan = "p.1.7"
        home.decisions += home.scheduler.adopt_orphan(
            "c/1", orphan, "lent", 30.0, 0.0, address="192.0.2.9:80"
        )
        [question] = home.decisions_of_type(ConfirmAttempt)
        assert question.attempt_id == orphan
        assert question.address == "192.0.2.9:80"
        home.submit("c/1", 0.1)
        home.advance(0.1, 2.0)
        assert home.grants("c/1") == []
        home.decisions += home.scheduler.attempt_confirmed(
            orphan, AttemptResult.STOPPED, 2.0
        )
        home.advance(2.0, 4.0)
        assert len(home.grants("c/1")) == 1


class TestEntriesThatReturn:
    """A frozen entry instance is taken for lost, resumes and submits again.

    Its caller still waits, and nobody has been told that the request has ended.
    """

    LOST_S = 6.0
    RETURN_S = 6.5

    def home_with_request(self, *, slot_taken=False, repeatable=True):
        home = Home(WORK, slots=1, deadline_s=DEADLINE_S)
        if slot_taken:
            home.submit("c/first", 0.0, entry_id="other")
        home.submit("c/1", 0.0, entry_id="frozen", repeatable=repeatable)
        return home

    def lose(self, home):
        home.decisions += home.scheduler.entry_lost("frozen", self.LOST_S)

    def assert_runs_again(self, home, grants_before):
        assert home.outcomes("c/1") == []
        assert home.scheduler.is_open("c/1")
        grants = home.grants("c/1")[grants_before:]
        assert [grant.entry_id for grant in grants] == ["frozen"]

    def test_a_request_that_certainly_did_not_start_is_granted_again(self):
        """Guards against "cancelled_not_run" for a request that nobody cancelled."""
        home = self.home_with_request()
        [grant] = home.grants("c/1")
        self.lose(home)
        home.decisions += home.scheduler.attempt_confirmed(
            grant.attempt_id, AttemptResult.NOT_STARTED, self.LOST_S + 0.1
        )
        home.submit("c/1", self.RETURN_S, entry_id="frozen")
        self.assert_runs_again(home, grants_before=1)

    def test_a_request_that_waited_in_the_queue_waits_again(self):
        """Guards against "cancelled" for a request that had no slot yet."""
        home = self.home_with_request(slot_taken=True)
        [first] = home.grants("c/first")
        self.lose(home)
        home.submit("c/1", self.RETURN_S, entry_id="frozen")
        home.report(first, AttemptResult.ANSWERED, self.RETURN_S + 0.1)
        self.assert_runs_again(home, grants_before=0)

    def test_a_request_whose_intent_was_being_written_is_granted(self):
        """Guards against "cancelled" for a request that must not be repeated."""
        home = self.home_with_request(repeatable=False)
        self.lose(home)
        self.complete_write(home, self.LOST_S + 0.1)
        home.submit("c/1", self.RETURN_S, entry_id="frozen", repeatable=False)
        self.complete_write(home, self.RETURN_S + 0.1)
        self.assert_runs_again(home, grants_before=0)

    def complete_write(self, home, now_s):
        intent = home.decisions_of_type(WriteIntent)[-1]
        home.decisions += home.scheduler.intents_written([intent.attempt_id], now_s)

    def test_a_cancelled_request_stays_cancelled(self):
        """Guards against a run after a caller was told that there will be none."""
        home = self.home_with_request(slot_taken=True)
        home.decisions += home.scheduler.cancel("c/1", "other", 1.0)
        self.lose(home)
        home.submit("c/1", self.RETURN_S - self.LOST_S + 1.0, entry_id="frozen")
        assert set(home.outcomes("c/1")) == {Outcome.CANCELLED_NOT_RUN}
        assert not home.scheduler.is_open("c/1")

    def test_a_request_cancelled_through_the_lost_entry_stays_cancelled(self):
        """Guards against the same where nobody is left to be told at once."""
        home = self.home_with_request()
        [grant] = home.grants("c/1")
        home.decisions += home.scheduler.cancel("c/1", "frozen", 1.0)
        self.lose(home)
        home.decisions += home.scheduler.attempt_confirmed(
            grant.attempt_id, AttemptResult.NOT_STARTED, self.LOST_S + 0.1
        )
        assert home.outcomes("c/1") == []
        home.submit("c/1", self.RETURN_S, entry_id="frozen")
        assert home.outcomes("c/1") == [Outcome.CANCELLED_NOT_RUN]
        assert not home.scheduler.is_open("c/1")

    def test_a_request_of_which_another_caller_was_told_stays_ended(self):
        """Guards against a run of a request that was reported as not run.

        The other caller's body was consumed, so that it cannot be sent again.
        """
        home = self.home_with_request()
        home.submit("c/1", 1.0, entry_id="other")
        [grant] = home.grants("c/1")
        home.report(grant, AttemptResult.NOT_STARTED, 1.1)
        home.advance(1.1, 1.3)
        grant = home.grants("c/1")[-1]
        assert grant.entry_id == "other"
        self.lose(home)
        report = AttemptReport(
            "c/1", grant.attempt_id, AttemptResult.NOT_STARTED, 0.0, body_held=False
        )
        home.decisions += home.scheduler.attempt_ended(report, self.LOST_S)
        home.submit("c/1", self.RETURN_S, entry_id="frozen")
        assert home.outcomes("c/1") == [Outcome.CANCELLED_NOT_RUN] * 2
        assert len(home.grants("c/1")) == 2
