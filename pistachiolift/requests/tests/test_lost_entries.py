"""Attempts whose entry instance has gone.

Pattern: an entry instance dies with all slots in use, and its callers send their
requests again through another one.
"""

import random

import msgspec
import pytest

from pistachiolift.bench.request_replay import StaticPolicies, Workload, make_spec
from pistachiolift.common import Urgency
from pistachiolift.requests import (
    AttemptResult,
    ConfirmAttempt,
    EndRequest,
    Grant,
    RequestScheduler,
)

WORK = Workload(kind_id="k", urgency=Urgency.DEFERRABLE, load=1, run_s=4.0)
REQUESTS = 20
DEADLINE_S = 60.0


class Home:
    """The owner of a partition; its upstreams have a slot for each request."""

    def __init__(self):
        self.scheduler = RequestScheduler(
            partition_id="p",
            epoch=1,
            policies=StaticPolicies([WORK]),
            rng=random.Random(1),
        )
        self.scheduler.pool.upsert("u", "192.0.2.1:80", 2 * REQUESTS, 0.0)
        self.decisions = []

    def submit_all(self, entry_id, now_s):
        for number in range(REQUESTS):
            spec = make_spec(f"c/{number}", WORK, DEADLINE_S)
            spec = msgspec.structs.replace(spec, entry_id=entry_id)
            self.decisions += self.scheduler.submit(spec, now_s)

    def of_kind(self, kind):
        return [each for each in self.decisions if isinstance(each, kind)]

    def advance(self, begin_s, end_s):
        """Let time pass; the upstreams say that each lost attempt ran to its end."""
        for step in range(round((end_s - begin_s) / 0.1)):
            now_s = begin_s + step * 0.1
            decisions = self.scheduler.tick(now_s)
            for each in list(decisions):
                if isinstance(each, ConfirmAttempt):
                    decisions += self.scheduler.attempt_confirmed(
                        each.attempt_id, AttemptResult.LOST, now_s
                    )
            self.decisions += decisions


class TestCallersThatComeAgain:
    @pytest.mark.parametrize("noticed_s", [5.0, 13.0])
    def test_each_gets_an_attempt_of_its_own(self, noticed_s):
        """The loss is noticed before, or after, the attempts pass their run limit."""
        home = Home()
        home.submit_all("lost", 0.0)
        home.submit_all("other", 1.0)
        home.advance(1.0, noticed_s)
        home.decisions += home.scheduler.entry_lost("lost", noticed_s)
        for each in home.of_kind(ConfirmAttempt):
            home.decisions += home.scheduler.attempt_confirmed(
                each.attempt_id, AttemptResult.LOST, noticed_s
            )
        home.advance(noticed_s, noticed_s + 2.0)
        assert home.of_kind(EndRequest) == []
        again = home.of_kind(Grant)[REQUESTS:]
        assert len({grant.request_id for grant in again}) == REQUESTS

    def test_a_second_silent_attempt_needs_the_budget(self):
        """Covers retries without end to upstreams whose answers are lost."""
        home = Home()
        home.submit_all("lost", 0.0)
        home.submit_all("other", 1.0)
        home.advance(1.0, 40.0)
        assert len(home.of_kind(EndRequest)) > REQUESTS / 2
