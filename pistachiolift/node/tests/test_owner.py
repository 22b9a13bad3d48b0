"""The owner's side: recovery, and workers that are seen again."""

from dataclasses import dataclass, field

import msgspec
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock as ReactorClock

from pistachiolift.common import ManualClock, Metrics
from pistachiolift.node.advice_service import AdviceService
from pistachiolift.node.interfaces import (
    PlatformAdapter,
    QueueTable,
    WorkerUnavailableError,
)
from pistachiolift.node.owner import Owner
from pistachiolift.node.partition_map import PartitionKeys, PartitionNumber
from pistachiolift.node.worker_driver import LeaseTerms
from pistachiolift.workflows.tests.virtual_cell import make_queue

from .fake_store import FakeStore
from .test_worker_driver import WORKER, FakeConnection, listing


@dataclass(frozen=True)
class Connections(PlatformAdapter):
    """Hands out connections whose next answers are set in advance."""

    outcomes: list = field(default_factory=list)
    made: list = field(default_factory=list)

    def queue_table(self, value):
        raise NotImplementedError

    def worker(self, key, value):
        raise NotImplementedError

    def connect(self, worker):
        connection = FakeConnection()
        connection.list_outcomes = self.outcomes.pop(0) if self.outcomes else []
        self.made.append(worker)
        return connection


class Bench:
    """An owner over a store in memory."""

    def __init__(self, outcomes=()):
        self.reactor, self.clock = ReactorClock(), ManualClock()
        self.connections = Connections(outcomes=list(outcomes))
        self.table = QueueTable(version=1, queues=[make_queue(target_s=1.0)])
        self.workers = {WORKER.worker_id: WORKER}
        self.store = FakeStore()
        common = {"clock": self.clock, "metrics": Metrics()}
        self.owner = Owner(
            self.reactor,
            self.store,
            self.connections,
            keys=PartitionKeys(PartitionNumber(0)),
            fence=1,
            commit_interval_s=lambda: 0.015,
            terms=LeaseTerms(lease_s=4.5),
            keep_final_s=60.0,
            desk=AdviceService(None, peers=lambda: [], **common),
            contact_s=self.clock.monotonic_s,
            heard=lambda sent_s: None,
            on_superseded=lambda reason: None,
            on_failed_call=lambda: None,
            table=lambda: self.table,
            directory=lambda: self.workers,
            **common,
        )

    def advance(self, interval_s):
        for _ in range(round(interval_s / 0.05)):
            self.clock.advance(0.05)
            self.reactor.advance(0.05)


class TestRecovery:
    def test_changes_made_while_the_ledger_is_read_are_in_force(self):
        """Covers a configuration that was lost until the next one came."""
        bench = Bench()
        listed = Deferred()
        list_prefix = bench.store.list_prefix

        async def list_late(prefix):
            await listed
            return await list_prefix(prefix)

        bench.store.list_prefix = list_late
        ensureDeferred(bench.owner.recover())
        bench.table = QueueTable(version=2, queues=[make_queue(target_s=9.0)])
        other = msgspec.structs.replace(WORKER, worker_id="other")
        bench.workers = {**bench.workers, "other": other}
        listed.callback(None)
        assert bench.owner.ready
        [queue] = bench.owner.scheduler.state.queues_by_id.values()
        assert queue.target_s == 9.0
        assert set(bench.owner.scheduler.state.workers_by_id) == set(bench.workers)
        bench.owner.close()


class TestWorkersSeenAgain:
    def test_a_worker_taken_for_dead_is_driven_again_when_its_entry_changes(self):
        refused = WorkerUnavailableError("refused", refused=True)
        bench = Bench([[refused, refused], [listing()]])
        ensureDeferred(bench.owner.recover())
        # The second refusal comes between two ticks, and the entry right after it.
        while bench.owner.scheduler.state.workers_by_id:
            bench.advance(0.05)
        larger = msgspec.structs.replace(WORKER, zone="elsewhere")
        bench.workers[WORKER.worker_id] = larger
        bench.owner.update_worker(larger)
        bench.advance(0.5)
        assert len(bench.connections.made) == 2
        assert bench.owner.scheduler.state.workers_by_id[WORKER.worker_id].has_reported
        bench.owner.close()
