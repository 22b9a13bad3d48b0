"""Tests of the owner's side of jobs, with a store in memory and virtual time."""

import random

import msgspec
import pytest
from twisted.internet.task import Clock as TwistedClock

from pistachiolift.backends import (
    Capacity,
    DirectoryEntry,
    InstanceRole,
    InstanceState,
)
from pistachiolift.common import (
    ErrorCode,
    ManualClock,
    Metrics,
    StoreUnavailableError,
)
from pistachiolift.home.home_jobs import COPY_COMPLETE_KEY, HomeJobs
from pistachiolift.home.quota_manager import JobQuotas
from pistachiolift.jobs import JobSpec, LedgerEntry, PolicyName, Resources

SPEC = JobSpec(
    job_id="j1",
    customer_id="c1",
    policy=PolicyName.BATCH,
    tasks=1,
    resources=Resources(1000, 1000, 0),
)


class Store:
    """A store in memory in which chosen operations fail."""

    def __init__(self):
        self.values: dict[str, bytes] = {}
        self.fails: set[str] = set()

    def _check(self, name):
        if name in self.fails:
            raise StoreUnavailableError("down")

    async def get(self, key):
        self._check("get")

    async def put(self, key, value, *, expected_version=None):
        self._check("put")
        self.values[key] = value
        return 1

    async def list_prefix(self, prefix):
        self._check("list")
        found = {k: v for k, v in self.values.items() if k.startswith(prefix)}
        entries = {
            k: type("Entry", (), {"value": v, "version": 1}) for k, v in found.items()
        }
        return type("Listing", (), {"entries_by_key": entries})

    async def delete(self, key):
        self.values.pop(key)


class NoQuotas(JobQuotas):
    def quota(self, customer_id):
        return None


class Owner:
    """The job side of a partition's owner under virtual time."""

    def __init__(self, epoch=1):
        self.reactor = TwistedClock()
        self.clock = ManualClock()
        self.store = Store()
        self.results = []
        self.jobs = HomeJobs(
            self.reactor,
            self.store,
            None,
            partition_id="p1",
            epoch=epoch,
            clock=self.clock,
            metrics=Metrics(),
            rng=random.Random(1),
            has_authority=lambda: True,
            quotas=NoQuotas(),
        )

    def pass_time(self, interval_s):
        for _ in range(int(interval_s / 0.1)):
            self.clock.advance(0.1)
            self.reactor.advance(0.1)

    def submit(self):
        self.jobs.submit_job(SPEC, self.results.append)


def worker(cpu_milli, state):
    return DirectoryEntry(
        id="w1",
        role=InstanceRole.WORKER,
        data_centre="ikeja",
        rack="r1",
        address="127.0.0.1:1",
        state=InstanceState(state),
        capacity=Capacity(cpu_milli=cpu_milli, memory_mb=1000),
    )


@pytest.fixture
def owner():
    owner = Owner()
    owner.jobs.restore([], 1)
    yield owner
    owner.jobs.close()


class TestSubmission:
    def test_accepted_once_stored(self, owner):
        """Guards against an acknowledged job that a takeover would not find."""
        owner.submit()
        assert owner.results == []
        owner.pass_time(1.0)
        assert owner.results == [None]
        assert owner.store.values

    def test_refused_when_the_store_does_not_answer(self, owner):
        """Guards against a job that is refused as not run but runs after the outage."""
        owner.store.fails = {"get", "put"}
        owner.submit()
        [error] = owner.results
        assert error.code is ErrorCode.STORE_UNAVAILABLE
        assert error.retry_after_s
        owner.store.fails = set()
        owner.pass_time(20.0)
        assert not owner.jobs.scheduler.knows("j1")

    def test_unknown_when_the_write_fails(self, owner):
        """Guards against reporting "not run" after a write that may have succeeded."""
        owner.store.fails = {"put"}
        owner.submit()
        owner.pass_time(4.0)
        [error] = owner.results
        assert error.code is ErrorCode.OUTCOME_UNKNOWN

    def test_known_job_is_not_refused(self, owner):
        """Guards against reporting "not run" for a repetition of a running job."""
        owner.submit()
        owner.pass_time(1.0)
        owner.store.fails = {"get", "put"}
        owner.submit()
        assert owner.results == [None, None]


class TestHandOver:
    def test_reads_the_ledger_before_accepting_calls(self):
        """Guards against losing jobs in a planned replacement of the owner."""
        owner = Owner(epoch=2)
        entry = msgspec.msgpack.encode(LedgerEntry(spec=SPEC))
        page = msgspec.msgpack.encode({"j1": entry})
        owner.store.values["jobs/p1/0000000001/000000"] = page
        owner.store.fails = {"list"}
        owner.jobs.sync_workers({})
        owner.submit()
        assert not owner.jobs.is_ready and owner.results == []
        owner.store.fails = set()
        owner.pass_time(1.0)
        assert owner.jobs.is_ready and owner.jobs.scheduler.knows("j1")
        assert list(owner.store.values) == ["jobs/p1/0000000002/000000"]
        owner.jobs.close()

    def test_undeleted_pages_do_not_restore_removed_jobs(self):
        """Guards against undeleted pages that restore a removed job."""
        owner = Owner(epoch=3)
        entry = msgspec.msgpack.encode(LedgerEntry(spec=SPEC))
        copied = msgspec.msgpack.encode({COPY_COMPLETE_KEY: b""})
        owner.store.values["jobs/p1/0000000001/000000"] = msgspec.msgpack.encode(
            {"j1": entry}
        )
        owner.store.values["jobs/p1/0000000002/000000"] = copied
        owner.jobs.sync_workers({})
        assert owner.jobs.is_ready and not owner.jobs.scheduler.knows("j1")
        owner.jobs.close()


class TestWorkers:
    def test_changed_capacity_reaches_the_scheduler(self, owner):
        """Guards against tasks for a worker that returned with less capacity."""
        states = []
        joined = owner.jobs.scheduler.worker_joined
        owner.jobs.scheduler.worker_joined = lambda spec, now_s: (
            states.append(spec.capacity.cpu_milli) or joined(spec, now_s)
        )
        for cpu_milli, state in ((8000, "live"), (4000, "live"), (4000, "leaving")):
            owner.jobs.update_worker(worker(cpu_milli, state))
        owner.jobs.update_worker(worker(4000, "live"))
        owner.jobs.update_worker(worker(4000, "live"))
        assert states == [8000, 4000, 4000]
