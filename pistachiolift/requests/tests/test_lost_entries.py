"""Tests of attempts whose entry instance is lost.

An entry instance fails while its attempts run, and its callers send their requests
again through another one.
"""

import pytest

from pistachiolift.bench.request_replay import Workload
from pistachiolift.common import Urgency
from pistachiolift.requests import AttemptResult, ConfirmAttempt, EndRequest, Grant

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
