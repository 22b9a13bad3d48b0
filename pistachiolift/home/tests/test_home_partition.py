"""Tests of submissions to the owner of a partition right after a takeover."""

import random

import pytest
from twisted.internet.task import Clock as ReactorClock

from pistachiolift.bench.request_replay import StaticPolicies, Workload
from pistachiolift.common import (
    CustomerId,
    Epoch,
    InstanceId,
    KindId,
    ManualClock,
    Metrics,
    PartitionId,
    RequestId,
    Urgency,
)
from pistachiolift.home.home_partition import HomeContext, HomePartition
from pistachiolift.home.lending import LoadTable
from pistachiolift.peers import AttemptGranted, RequestDescription, SubmitRequest

from .test_home_jobs import NoQuotas, Store
from .test_upstream_registry import Upstreams, entry

WORK = Workload(kind_id="k", urgency=Urgency.DEFERRABLE, load=1, run_s=4.0)


class Successor:
    """A new owner of a partition with an upstream that answers and a silent one."""

    def __init__(self):
        self.reactor, self.clock = ReactorClock(), ManualClock()
        upstreams = Upstreams()
        upstreams.outcomes_by_address = {"answers:1": [[]]}
        self.sent = []
        context = HomeContext(
            reactor=self.reactor,
            clock=self.clock,
            store=Store(),
            upstreams=upstreams,
            workers=None,
            metrics=Metrics(),
            policies=StaticPolicies([WORK]),
            partitions=lambda: [PartitionId("p")],
            job_quotas=NoQuotas(),
            rng=random.Random(1),
            self_id=InstanceId("owner"),
            send=lambda instance_id, message: self.sent.append(message),
            may_decide=lambda partition_id: True,
            dedup_window_s=lambda: 600.0,
            loads=LoadTable(self.clock),
        )
        self.home = HomePartition(
            context, partition_id=PartitionId("p"), epoch=Epoch(2)
        )
        self.home.upstreams.update_upstream(entry("answers"))
        self.home.upstreams.update_upstream(entry("silent"))
        self.home.resume()
        self.advance(1.2)

    def advance(self, interval_s):
        self.clock.advance(interval_s)
        self.reactor.advance(interval_s)

    def submit(self, *, resubmitted=False, granted_before=False, repeatable=True):
        self.home.submit(
            SubmitRequest(
                sender=InstanceId("entry"),
                partition_id=PartitionId("p"),
                request=RequestDescription(
                    request_id=RequestId("c/1"),
                    customer_id=CustomerId("c"),
                    kind_id=KindId("k"),
                    remaining_ms=60_000,
                    repeatable=repeatable,
                    body_digest="",
                    body_bytes=0,
                    resubmitted=resubmitted,
                ),
                granted_before=granted_before,
            )
        )

    def grants(self):
        return [each for each in self.sent if isinstance(each, AttemptGranted)]


class TestSilentUpstream:
    def test_a_new_request_starts(self):
        owner = Successor()
        owner.submit()
        assert len(owner.grants()) == 1

    @pytest.mark.parametrize("mark", ["resubmitted", "granted_before"])
    def test_a_request_that_may_run_there_waits_for_it(self, mark):
        owner = Successor()
        owner.submit(**{mark: True})
        assert owner.grants() == []
        owner.home.upstreams.remove("silent", gone=True)
        owner.submit(**{mark: True})
        assert len(owner.grants()) == 1

    def test_a_request_that_was_accepted_meanwhile_goes_on(self):
        owner = Successor()
        owner.submit()
        owner.submit(resubmitted=True)
        assert owner.home.requests.is_open(RequestId("c/1"))
        # The grant is sent again, since its entry instance seems not to have got it.
        assert {grant.attempt_id for grant in owner.grants()} == {"p.2.1"}
