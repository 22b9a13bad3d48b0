"""Tests of deadlines that pass during an attempt.

With more slow requests than slots, an attempt may be granted shortly before the
deadline and be reported as not started after it.
"""

import pytest

from pistachiolift.bench.request_replay import Workload
from pistachiolift.common import Outcome, Urgency
from pistachiolift.requests import AttemptResult

from .home import Home

WORK = Workload(kind_id="k", urgency=Urgency.DEFERRABLE, load=1, run_s=1.5)
DEADLINE_S = 2.0
SLOTS = 8


class TestAttemptsNotStarted:
    @pytest.mark.parametrize(
        "result", [AttemptResult.NOT_STARTED, AttemptResult.UNREACHABLE]
    )
    @pytest.mark.parametrize("slots_taken", [False, True])
    def test_a_start_refused_after_the_deadline_ends_the_request(
        self, result, slots_taken
    ):
        home = Home(WORK, slots=SLOTS, deadline_s=DEADLINE_S)
        home.submit("c/first", 0.0)
        home.submit("c/second", 1.5)
        [grant] = home.grants("c/second")
        home.advance(1.5, DEADLINE_S + 0.1)
        assert home.outcomes("c/second") == []
        if slots_taken:
            home.scheduler.pool.upsert("u", "192.0.2.1:80", 1, DEADLINE_S)
        home.report(grant, result, DEADLINE_S + 0.1)
        home.advance(DEADLINE_S + 0.1, DEADLINE_S + 0.3)
        assert home.outcomes("c/second") == [Outcome.EXPIRED]
        assert len(home.grants("c/second")) == 1

    def test_a_start_refused_before_the_deadline_ends_the_request_at_the_deadline(self):
        home = Home(WORK, slots=SLOTS, deadline_s=DEADLINE_S)
        home.submit("c/first", 0.0)
        home.submit("c/second", 1.5)
        home.scheduler.pool.upsert("u", "192.0.2.1:80", 1, 1.5)
        [grant] = home.grants("c/second")
        home.report(grant, AttemptResult.NOT_STARTED, DEADLINE_S - 0.01)
        home.advance(DEADLINE_S, DEADLINE_S + 0.1)
        assert home.outcomes("c/second") == [Outcome.EXPIRED]
        assert len(home.grants("c/second")) == 1
