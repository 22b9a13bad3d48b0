"""Recovery of an owner, and workers that return after they counted as dead."""

import dataclasses
from dataclasses import dataclass, field

import msgspec
import pytest
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock as ReactorClock
from twisted.internet.task import deferLater

from pistachiolift.backends import Entry
from pistachiolift.common import (
    CustomerId,
    InvalidInputError,
    JobId,
    ManualClock,
    Metrics,
    WorkerId,
)
from pistachiolift.node.advice_service import AdviceService
from pistachiolift.node.cap_shares import CAP_SHARE_PREFIX
from pistachiolift.node.interfaces import (
    PlatformAdapter,
    Put,
    QueueTable,
    WorkerReplacedError,
    WorkerUnavailableError,
)
from pistachiolift.node.owner import Owner
from pistachiolift.node.partition_map import PartitionKeys, PartitionNumber
from pistachiolift.node.worker_driver import LeaseTerms
from pistachiolift.workflows import Customer, Size, WorkerState, encode_batch
from pistachiolift.workflows.records import WorkerInUse
from pistachiolift.workflows.tests.virtual_cell import make_graph, make_queue, make_step

from .fake_store import FakeStore
from .test_worker_driver import WORKER, FakeConnection, report

TERMS = LeaseTerms(lease_s=4.5, limit_s=10.0)


@dataclass(frozen=True)
class FakeAdapter(PlatformAdapter):
    """Returns connections whose next answers are set in advance."""

    outcomes: list = field(default_factory=list)
    made: list = field(default_factory=list)

    def queue_table(self, value):
        raise NotImplementedError

    def worker(self, key, value):
        raise NotImplementedError

    def connect(self, worker):
        connection = FakeConnection()
        connection.poll_outcomes = self.outcomes.pop(0) if self.outcomes else []
        self.made.append(worker)
        return connection


class Harness:
    """An owner with an in-memory store.

    :param adapter: connects the workers, by default with the answers in ``outcomes``.
    """

    def __init__(self, outcomes=(), authority_s=0.0, partitions=1, adapter=None):
        self.reactor, self.clock = ReactorClock(), ManualClock()
        self.adapter = adapter or FakeAdapter(outcomes=list(outcomes))
        queue = make_queue(target_s=1.0, pool_id=WORKER.pool_id)
        self.table = QueueTable(version=1, queues=[queue])
        self.workers = {WORKER.worker_id: WORKER}
        self.store = FakeStore()
        keys = PartitionKeys(PartitionNumber(0))
        self.store.entries[keys.claim] = Entry(keys.claim, b"", 1)
        common = {"clock": self.clock, "metrics": Metrics()}
        self.owner = Owner(
            self.reactor,
            self.store,
            self.adapter,
            keys=keys,
            fence=1,
            commit_interval_s=lambda: 0.015,
            terms=TERMS,
            keep_final_s=60.0,
            advice_service=AdviceService(None, peers=lambda: [], **common),
            last_contact_s=self.clock.monotonic_s,
            lease_left_s=lambda: 1.0,
            record_contact=lambda sent_s: None,
            on_superseded=lambda reason: None,
            on_failed_call=lambda: None,
            table=lambda: self.table,
            directory=lambda: self.workers,
            authority_s=authority_s,
            partitions=lambda: partitions,
            **common,
        )

    def write_ledger(self, *records):
        """Write records of an earlier owner."""
        key = f"{PartitionKeys(PartitionNumber(0)).log_prefix}1"
        write = self.store.transact(
            expected={}, puts={key: Put(encode_batch(list(records)))}
        )
        ensureDeferred(write)

    def advance(self, interval_s):
        for _ in range(round(interval_s / 0.05)):
            self.clock.advance(0.05)
            self.reactor.advance(0.05)


class TestRecovery:
    def test_changes_made_during_the_ledger_read_are_applied(self):
        """Guards against losing a configuration that arrives during the recovery."""
        harness = Harness()
        released = Deferred()
        list_prefix = harness.store.list_prefix

        async def list_when_released(prefix):
            await released
            return await list_prefix(prefix)

        harness.store.list_prefix = list_when_released
        ensureDeferred(harness.owner.recover())
        harness.table = QueueTable(version=2, queues=[make_queue(target_s=9.0)])
        other = msgspec.structs.replace(WORKER, worker_id="other")
        harness.workers = {**harness.workers, "other": other}
        released.callback(None)
        assert harness.owner.ready
        [queue] = harness.owner.scheduler.state.queues_by_id.values()
        assert queue.target_s == 9.0
        assert set(harness.owner.scheduler.state.workers_by_id) == set(harness.workers)
        harness.owner.close()

    @pytest.mark.parametrize("authority_s", [0.0, 7.5])
    def test_leases_that_earlier_owners_may_still_renew_are_waited_for(
        self, authority_s
    ):
        """Guards against two runs of a task on a worker that only they reach."""
        harness = Harness(authority_s=authority_s)
        harness.workers = {}
        harness.write_ledger(WorkerInUse(WORKER.worker_id, WORKER.address, 1))
        ensureDeferred(harness.owner.recover())
        [worker] = harness.owner.scheduler.state.workers_by_id.values()
        end_s = TERMS.end_s(harness.clock.monotonic_s() + authority_s)
        assert worker.lease_end_s == pytest.approx(end_s)
        harness.owner.close()


class TestCaps:
    """Guards against owners that start work before they know their share of a cap."""

    CUSTOMER = Customer(customer_id=CustomerId("c"), cap=Size(cpu_milli=4000))

    def _recover(self, partitions, *, store_down=False):
        harness = Harness(partitions=partitions)
        prefixes = []
        list_prefix = harness.store.list_prefix

        async def list_and_note(prefix):
            prefixes.append(prefix)
            harness.store.down = store_down and prefix == CAP_SHARE_PREFIX
            return await list_prefix(prefix)

        harness.store.list_prefix = list_and_note
        harness.table = msgspec.structs.replace(
            harness.table, customers=(self.CUSTOMER,)
        )
        ensureDeferred(harness.owner.recover())
        harness.advance(2.5)
        return harness, prefixes.count(CAP_SHARE_PREFIX)

    def test_one_partition(self):
        harness, reads = self._recover(1)
        caps = harness.owner.scheduler.state.caps
        assert caps.allows("c", Size(cpu_milli=4000))
        assert not caps.allows("c", Size(cpu_milli=4001))
        assert reads == 0
        harness.owner.close()

    def test_several_partitions(self):
        harness, reads = self._recover(2)
        caps = harness.owner.scheduler.state.caps
        assert not caps.allows("c", Size(cpu_milli=1))
        assert reads == 3
        harness.owner.close()
        # No timer of it is left.
        assert not harness.reactor.getDelayedCalls()

    def test_several_partitions_without_the_store(self):
        harness, _ = self._recover(2, store_down=True)
        assert not harness.owner.scheduler.state.caps.allows("c", Size(cpu_milli=1))
        harness.owner.close()


class TestWorkersThatCannotBeConnected:
    """Guards against owners that give up one after the other.

    The ledger may hold a worker whose address an earlier release accepted.
    """

    def test_such_a_worker_gets_no_driver(self):
        harness = Harness([[], [report()]])
        connect = FakeAdapter.connect

        def connect_unless_odd(adapter, worker):
            if worker.worker_id == "odd":
                raise InvalidInputError("address is 'http://127.0.0.1:9'")
            return connect(adapter, worker)

        FakeAdapter.connect = connect_unless_odd
        try:
            harness.write_ledger(WorkerInUse(WorkerId("odd"), "http://127.0.0.1:9", 1))
            ensureDeferred(harness.owner.recover())
            assert harness.owner.ready
            assert harness.adapter.made == [WORKER]
            # Its lease has ended by then.
            harness.advance(6.0)
            assert set(harness.owner.scheduler.state.workers_by_id) == {
                WORKER.worker_id
            }
        finally:
            FakeAdapter.connect = connect
        harness.owner.close()


class TestReturningWorkers:
    def test_a_worker_that_counted_as_dead_is_polled_again_when_its_entry_changes(self):
        silent = WorkerUnavailableError("timeout")
        harness = Harness([[silent, WorkerReplacedError("new")], [report()]])
        ensureDeferred(harness.owner.recover())
        # The second answer falls between two ticks, and the entry changes right after.
        while harness.owner.scheduler.state.workers_by_id:
            harness.advance(0.05)
        larger = msgspec.structs.replace(WORKER, zone="elsewhere")
        harness.workers[WORKER.worker_id] = larger
        harness.owner.update_worker(larger)
        harness.advance(0.5)
        assert len(harness.adapter.made) == 2
        assert harness.owner.scheduler.state.workers_by_id[
            WORKER.worker_id
        ].has_reported
        harness.owner.close()


class TestLeavingWorkers:
    def test_the_remaining_time_is_asked_for_once_when_the_entry_changes(self):
        """Guards against a notice of 2 s that is read after a wait of up to 2 s."""
        leaving = dataclasses.replace(report(), remaining_s=1.5)
        harness = Harness([[report(), Deferred(), leaving]])
        ensureDeferred(harness.owner.recover())
        harness.advance(0.1)
        driver = harness.owner._drivers_by_id[WORKER.worker_id]
        assert len(driver._connection.polls) == 2
        draining = msgspec.structs.replace(WORKER, state=WorkerState.DRAINING)
        for _ in range(3):
            harness.owner.update_worker(draining)
        assert [poll["wait_s"] for poll in driver._connection.polls[2:]] == [0.0]
        entry = harness.owner.scheduler.state.workers_by_id[WORKER.worker_id]
        assert entry.leaves_s == harness.clock.monotonic_s() + 1.5
        harness.owner.close()


class TestWorkersThatRefuseConnections:
    def _harness(self):
        """Return an owner whose task runs on a worker that then refuses connections."""
        refused = WorkerUnavailableError("connection refused")
        waiting_poll = Deferred()
        harness = Harness([[report(), waiting_poll, *[refused] * 100]])
        later = [deferLater(harness.reactor, n / 2, report) for n in range(1, 20)]
        harness.adapter.outcomes.append([report(), *later])
        ensureDeferred(harness.owner.recover())
        harness.owner.scheduler.submit(
            JobId("job"),
            harness.table.queues[0],
            make_graph(make_step(memory=0)),
            received_s=0.0,
            received_ms=0,
        )
        harness.advance(0.3)
        waiting_poll.errback(refused)
        other = msgspec.structs.replace(WORKER, worker_id=WorkerId("other"))
        harness.owner.update_worker(other)
        return harness

    @staticmethod
    def _worker_of_task(harness):
        job = harness.owner.scheduler.state.jobs_by_id[JobId("job")]
        runs = job.occurrences[0].steps[0].runs_by_index
        return runs[0].worker_id if runs else None

    def test_its_tasks_are_not_started_elsewhere_before_their_lease_ends(self):
        """Guards against two runs of a task whose worker is only cut off.

        A network failure may refuse or reset connections while the worker runs on.
        """
        harness = self._harness()
        assert self._worker_of_task(harness) == WORKER.worker_id
        lease_end_s = harness.owner.scheduler.state.workers_by_id[
            WORKER.worker_id
        ].lease_end_s
        while harness.clock.monotonic_s() + 0.05 < lease_end_s:
            harness.advance(0.05)
            assert self._worker_of_task(harness) == WORKER.worker_id
        harness.advance(0.3)
        assert self._worker_of_task(harness) == WorkerId("other")
        harness.owner.close()


class TestOldDirectoryEntries:
    def test_an_entry_of_an_older_process_does_not_replace_the_driver(self):
        """Guards against calls to a process that has ended.

        The directory may be read late.
        """
        harness = Harness()
        ensureDeferred(harness.owner.recover())
        older = msgspec.structs.replace(
            WORKER, incarnation=WORKER.incarnation - 1, address="127.0.0.1:9"
        )
        harness.owner.update_worker(older)
        assert harness.adapter.made == [WORKER]
        harness.owner.close()

    def test_a_process_on_record_that_is_newer_than_the_directory_is_polled(self):
        newer = msgspec.structs.replace(
            WORKER, incarnation=WORKER.incarnation + 1, address="127.0.0.1:9"
        )
        harness = Harness()
        use = WorkerInUse(newer.worker_id, newer.address, newer.incarnation)
        harness.write_ledger(use)
        ensureDeferred(harness.owner.recover())
        [made] = harness.adapter.made
        assert (made.incarnation, made.address) == (newer.incarnation, newer.address)
        harness.owner.close()


class TestClocksThatStepBack:
    def test_a_restarted_worker_with_an_earlier_start_time_is_used_again(self):
        """Guards against a worker that is never used again.

        Its machine's clock was set back, so that its new process seems to be older.
        """
        silent = WorkerUnavailableError("connection refused")
        harness = Harness([[report(), *[silent] * 1000], [report()]])
        ensureDeferred(harness.owner.recover())
        harness.advance(0.3)
        restarted = msgspec.structs.replace(
            WORKER, incarnation=WORKER.incarnation - 1, address="127.0.0.1:9"
        )
        harness.workers[WORKER.worker_id] = restarted
        harness.owner.update_worker(restarted)
        for _ in range(600):
            harness.advance(0.05)
        entry = harness.owner.scheduler.state.workers_by_id.get(WORKER.worker_id)
        assert entry is not None
        assert entry.worker == restarted
        harness.owner.close()

    def test_it_is_used_again_after_a_takeover(self):
        silent = WorkerUnavailableError("connection refused")
        newer = msgspec.structs.replace(
            WORKER, incarnation=WORKER.incarnation + 1, address="127.0.0.1:9"
        )
        harness = Harness([[silent] * 1000, [report()]])
        use = WorkerInUse(newer.worker_id, newer.address, newer.incarnation)
        harness.write_ledger(use)
        ensureDeferred(harness.owner.recover())
        for _ in range(600):
            harness.advance(0.05)
        entry = harness.owner.scheduler.state.workers_by_id.get(WORKER.worker_id)
        assert entry is not None
        assert entry.worker == WORKER
        harness.owner.close()
