"""Tests of what a new owner knows about the attempts of earlier owners."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import Clock as ReactorClock

from pistachiolift.backends import (
    Capacity,
    DirectoryEntry,
    InstanceRole,
    RunningAttempt,
)
from pistachiolift.common import (
    AttemptId,
    ManualClock,
    Metrics,
    PartitionId,
    RequestId,
    UpstreamId,
    UpstreamUnreachableError,
)
from pistachiolift.home.upstream_registry import (
    RETRY_INTERVAL_S,
    VERIFY_TIMEOUT_S,
    UpstreamRegistry,
)
from pistachiolift.requests import UpstreamPool

RUN_LIMIT_S = 20.0


def entry(name):
    return DirectoryEntry(
        id=name,
        role=InstanceRole.UPSTREAM,
        address=f"{name}:1",
        data_centre="d",
        rack="r",
        capacity=Capacity(slots=8),
    )


class Upstreams:
    """Answers each question for the running attempts with the next outcome."""

    def __init__(self):
        self.outcomes_by_address = {}

    async def list_running(self, address):
        outcomes = self.outcomes_by_address.get(address, [])
        outcome = outcomes.pop(0) if outcomes else Deferred()
        if isinstance(outcome, Exception):
            raise outcome
        return await outcome if isinstance(outcome, Deferred) else outcome


class Owner:
    """A registry of two upstreams right after a takeover."""

    def __init__(self, *, foreign=(), **outcomes):
        self.reactor, self.clock = ReactorClock(), ManualClock()
        self.client = Upstreams()
        self.client.outcomes_by_address = {
            f"{name}:1": list(values) for name, values in outcomes.items()
        }
        self.adopted = []
        self.available = 0
        self.registry = UpstreamRegistry(
            self.reactor,
            clock=self.clock,
            pool=UpstreamPool(),
            upstreams=self.client,
            metrics=Metrics(),
            partition_id=PartitionId("p"),
            has_authority=lambda: True,
            adopt_running=lambda upstream, attempt: self.adopted.append(attempt),
            on_slots_available=self._count,
        )
        for name in ("a", "b"):
            self.registry.update_upstream(entry(name))
        self.registry.look_for_lent([entry(name) for name in foreign])
        self.registry.start_grant_timeout()

    def _count(self):
        self.available += 1

    def advance(self, interval_s):
        self.clock.advance(interval_s)
        self.reactor.advance(interval_s)

    def may_run_unseen(self):
        return self.registry.may_run_unseen(RUN_LIMIT_S)


class TestSilentUpstreams:
    """Guards against two attempts of one request at once.

    Pattern: an owner that is also the entry instance is killed with all slots in use,
    on a machine so busy that an upstream does not list its attempts within a second.
    The callers send their requests again, and the silent upstream still runs some.
    """

    def test_new_work_starts_but_repeated_requests_wait(self):
        owner = Owner(a=[[]])
        owner.advance(VERIFY_TIMEOUT_S + 0.1)
        assert owner.registry.may_grant
        assert owner.may_run_unseen()

    def test_they_wait_until_the_upstream_has_listed_its_attempts(self):
        running = RunningAttempt(
            attempt_id=AttemptId("p.1.1"), request_id=RequestId("c/1")
        )
        late = Deferred()
        owner = Owner(a=[[]], b=[late])
        owner.advance(VERIFY_TIMEOUT_S + 0.1)
        late.callback([running])
        assert owner.adopted == [running]
        assert not owner.may_run_unseen()

    def test_they_wait_no_longer_than_an_attempt_can_run(self):
        owner = Owner(a=[[]])
        owner.advance(RUN_LIMIT_S - 0.1)
        assert owner.may_run_unseen()
        owner.advance(0.2)
        assert not owner.may_run_unseen()

    @pytest.mark.parametrize("refused", [True, False])
    def test_nothing_runs_at_an_upstream_whose_process_has_ended(self, refused):
        failure = UpstreamUnreachableError("no answer")
        failure.__cause__ = ConnectionRefusedError() if refused else TimeoutError()
        owner = Owner(a=[[]], b=[failure, failure])
        owner.advance(RETRY_INTERVAL_S)
        assert owner.may_run_unseen() is not refused

    def test_an_upstream_that_leaves_the_directory_is_not_waited_for(self):
        owner = Owner(a=[[]])
        owner.registry.remove(UpstreamId("b"), gone=True)
        assert not owner.may_run_unseen()

    def test_an_upstream_that_joins_later_is_not_waited_for(self):
        owner = Owner(a=[[]], b=[[]])
        owner.registry.update_upstream(entry("c"))
        assert not owner.may_run_unseen()


def running(attempt):
    return RunningAttempt(attempt_id=AttemptId(attempt), request_id=RequestId("c/1"))


class TestLentSlots:
    """Guards against a second attempt beside one on a slot of another partition.

    Pattern: an owner with all slots in use has borrowed some, and is killed while its
    attempts run there; the callers send their requests again.
    """

    def test_the_successor_adopts_its_attempts_on_upstreams_of_others(self):
        found = [running("p.1.1"), running("q.1.1")]
        owner = Owner(foreign=["f"], a=[[]], b=[[]], f=[found])
        assert owner.adopted == found[:1]
        assert not owner.may_run_unseen()

    def test_repeated_requests_wait_for_a_silent_upstream_of_another(self):
        owner = Owner(foreign=["f"], a=[[]], b=[[]])
        owner.advance(VERIFY_TIMEOUT_S + 0.1)
        assert owner.registry.may_grant
        assert owner.may_run_unseen()
        owner.advance(RUN_LIMIT_S)
        assert not owner.may_run_unseen()

    def test_an_upstream_that_does_not_answer_is_asked_again(self):
        failure = UpstreamUnreachableError("timeout")
        found = running("p.1.1")
        owner = Owner(foreign=["f"], a=[[]], b=[[]], f=[failure, [found]])
        assert owner.adopted == []
        owner.advance(RETRY_INTERVAL_S)
        assert owner.adopted == [found]

    def test_an_upstream_that_leaves_the_partition_may_still_run_attempts(self):
        owner = Owner(a=[[]])
        owner.registry.remove(UpstreamId("b"))
        assert owner.may_run_unseen()
