"""Attempts whose entry instance has gone.

Pattern: an entry instance dies with all slots in use, and its callers send their
requests again through another one.
"""

import pytest

from pistachiolift.bench.request_replay import Workload
from pistachiolift.common import Urgency
from pistachiolift.requests import EndRequest, Grant

from .home import Home

WORK = Workload(kind_id="k", urgency=Urgency.DEFERRABLE, load=1, run_s=4.0)
REQUESTS = 20
DEADLINE_S = 60.0


@pytest.fixture
def home():
    """A home whose requests have been sent to two entry instances."""
    home = Home(WORK, slots=2 * REQUESTS, deadline_s=DEADLINE_S)
    for entry_id, now_s in (("lost", 0.0), ("other", 1.0)):
        for number in range(REQUESTS):
            home.submit(f"c/{number}", now_s, entry_id=entry_id)
    assert len(home.of_kind(Grant)) == REQUESTS
    return home


class TestCallersThatComeAgain:
    @pytest.mark.parametrize("noticed_s", [5.0, 13.0])
    def test_each_gets_an_attempt_of_its_own(self, home, noticed_s):
        """The loss is noticed before, or after, the attempts pass their run limit."""
        home.advance(1.0, noticed_s)
        home.lose_entry("lost", noticed_s)
        home.advance(noticed_s, noticed_s + 2.0)
        assert home.of_kind(EndRequest) == []
        again = home.of_kind(Grant)[REQUESTS:]
        assert len({grant.request_id for grant in again}) == REQUESTS

    def test_a_second_silent_attempt_needs_the_budget(self, home):
        """Covers retries without end to upstreams whose answers are lost."""
        home.advance(1.0, 40.0)
        assert len(home.of_kind(EndRequest)) > REQUESTS / 2
