"""Home of a partition with one upstream, for tests of its decisions."""

import random

import msgspec

from pistachiolift.bench.request_replay import StaticPolicies, Workload, make_spec
from pistachiolift.requests import (
    AttemptReport,
    AttemptResult,
    ConfirmAttempt,
    EndRequest,
    Grant,
    RequestScheduler,
)


class Home:
    """Runs a scheduler and collects its decisions.

    :param work: kind of all requests.
    :param slots: slots of the upstream.
    :param deadline_s: deadline of all requests, in seconds.
    """

    def __init__(self, work: Workload, *, slots: int, deadline_s: float):
        self._work = work
        self._deadline_s = deadline_s
        self.scheduler = RequestScheduler(
            partition_id="p",
            epoch=1,
            policies=StaticPolicies([work]),
            rng=random.Random(1),
        )
        self.scheduler.pool.upsert("u", "192.0.2.1:80", slots, 0.0)
        self.decisions = []

    def submit(self, request_id, now_s, *, entry_id="entry", repeatable=True):
        spec = make_spec(request_id, self._work, self._deadline_s)
        spec = msgspec.structs.replace(spec, entry_id=entry_id, repeatable=repeatable)
        self.decisions += self.scheduler.submit(spec, now_s)

    def decisions_of_type(self, decision_type):
        return [each for each in self.decisions if isinstance(each, decision_type)]

    def grants(self, request_id):
        return [g for g in self.decisions_of_type(Grant) if g.request_id == request_id]

    def report(self, grant, result, now_s):
        report = AttemptReport(grant.request_id, grant.attempt_id, result, 0.0)
        self.decisions += self.scheduler.attempt_ended(report, now_s)

    def lose_entry(self, entry_id, now_s):
        self._collect(self.scheduler.entry_lost(entry_id, now_s), now_s)

    def advance(self, begin_s, end_s):
        steps = round((end_s - begin_s) / 0.05)
        for step in range(steps + 1):
            now_s = begin_s + step * 0.05
            self._collect(self.scheduler.tick(now_s), now_s)

    def _collect(self, decisions, now_s):
        """Collect decisions; confirm that each lost attempt has run to its end."""
        self.decisions += decisions
        for each in decisions:
            if isinstance(each, ConfirmAttempt):
                self.decisions += self.scheduler.attempt_confirmed(
                    each.attempt_id, AttemptResult.LOST, now_s
                )

    def outcomes(self, request_id):
        return [
            each.result.outcome
            for each in self.decisions_of_type(EndRequest)
            if each.request_id == request_id
        ]
