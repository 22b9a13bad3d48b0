"""Deadlines that pass while an attempt is under way.

Pattern: more slow requests than slots, so that starts are refused late.
"""

import random

import pytest

from pistachiolift.bench.request_replay import StaticPolicies, Workload, make_spec
from pistachiolift.common import Outcome, Urgency
from pistachiolift.requests import (
    AttemptReport,
    AttemptResult,
    EndRequest,
    Grant,
    RequestScheduler,
)

WORK = Workload(kind_id="k", urgency=Urgency.DEFERRABLE, load=1, run_s=1.5)
DEADLINE_S = 2.0
SLOTS = 8


class Home:
    """The owner of a partition with one upstream."""

    def __init__(self):
        self.scheduler = RequestScheduler(
            partition_id="p",
            epoch=1,
            policies=StaticPolicies([WORK]),
            rng=random.Random(1),
        )
        self.scheduler.pool.upsert("u", "192.0.2.1:80", SLOTS, 0.0)
        self.decisions = []

    def submit(self, request_id, now_s):
        spec = make_spec(request_id, WORK, DEADLINE_S)
        self.decisions += self.scheduler.submit(spec, now_s)

    def grants(self, request_id):
        return [
            each
            for each in self.decisions
            if isinstance(each, Grant) and each.request_id == request_id
        ]

    def report(self, grant, result, now_s):
        report = AttemptReport(grant.request_id, grant.attempt_id, result, 0.0)
        self.decisions += self.scheduler.attempt_ended(report, now_s)

    def advance(self, begin_s, end_s):
        steps = round((end_s - begin_s) / 0.05)
        for step in range(steps + 1):
            self.decisions += self.scheduler.tick(begin_s + step * 0.05)

    def outcomes(self, request_id):
        return [
            each.result.outcome
            for each in self.decisions
            if isinstance(each, EndRequest) and each.request_id == request_id
        ]


class TestRefusedStarts:
    @pytest.mark.parametrize(
        "result", [AttemptResult.NOT_STARTED, AttemptResult.UNREACHABLE]
    )
    @pytest.mark.parametrize("slots_taken", [False, True])
    def test_a_start_refused_after_the_deadline_ends_the_request(
        self, result, slots_taken
    ):
        home = Home()
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

    def test_a_start_refused_just_before_the_deadline_ends_the_request_at_it(self):
        home = Home()
        home.submit("c/first", 0.0)
        home.submit("c/second", 1.5)
        home.scheduler.pool.upsert("u", "192.0.2.1:80", 1, 1.5)
        [grant] = home.grants("c/second")
        home.report(grant, AttemptResult.NOT_STARTED, DEADLINE_S - 0.01)
        home.advance(DEADLINE_S, DEADLINE_S + 0.1)
        assert home.outcomes("c/second") == [Outcome.EXPIRED]
        assert len(home.grants("c/second")) == 1
