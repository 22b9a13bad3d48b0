"""An owner that was frozen and does not know yet that it has been replaced."""

import json
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock as ReactorClock

from pistachiolift.backends import Entry
from pistachiolift.common import JobId, ManualClock, Metrics
from pistachiolift.node.interfaces import (
    PlatformAdapter,
    QueueTable,
    WorkerUnavailableError,
)
from pistachiolift.node.member_registry import MemberRegistry
from pistachiolift.node.ownership import OwnerRecord
from pistachiolift.node.partition import InstanceContext, Partition
from pistachiolift.node.partition_map import (
    PartitionKeys,
    PartitionMap,
    PartitionNumber,
)
from pistachiolift.node.settings import NodeSettings
from pistachiolift.workflows import StartAnswer
from pistachiolift.workflows.tests.virtual_cell import make_graph, make_queue, make_step

from .fake_store import FakeStore
from .test_worker_driver import WORKER, FakeConnection, report

KEYS = PartitionKeys(PartitionNumber(0))
JOB = JobId("job")
SILENT = WorkerUnavailableError("timeout")

SETTINGS = NodeSettings(
    instance_id="n0",
    ip="127.0.0.1",
    zone="z",
    caller_address="127.0.0.1:1",
    ready_address="127.0.0.1:1",
    peer_ports=(1, 1),
    store_address="127.0.0.1:1",
    adviser_address="127.0.0.1:1",
)


@dataclass(frozen=True)
class FakeAdapter(PlatformAdapter):
    """Connects all drivers of the worker to one fake connection."""

    connection: FakeConnection = field(default_factory=FakeConnection)

    def queue_table(self, value):
        raise NotImplementedError

    def worker(self, key, value):
        return WORKER

    def connect(self, worker):
        return self.connection


class Harness:
    """The partition of an instance that owns it and has one worker."""

    def __init__(self):
        self.reactor, self.clock = ReactorClock(), ManualClock()
        self.store = FakeStore()
        self.adapter = FakeAdapter(worker_prefix="servers/")
        self.connection = self.adapter.connection
        self.connection.poll_outcomes = [report()]
        self.store.entries["servers/w"] = Entry("servers/w", b"", 1)
        self.queue = make_queue(target_s=1.0, pool_id=WORKER.pool_id)
        table = QueueTable(version=1, queues=(self.queue,))
        own_record = OwnerRecord(
            instance_id="n0", incarnation="i0", address="127.0.0.1:1"
        )
        metrics = Metrics()
        members = MemberRegistry(
            self.reactor,
            self.store,
            own_record=own_record,
            metrics=metrics,
            make=None,
        )
        self.partition = Partition(
            PartitionNumber(0),
            InstanceContext(
                reactor=self.reactor,
                store=self.store,
                translation=self.adapter,
                adviser=None,
                members=members,
                clock=self.clock,
                metrics=metrics,
                own_record=own_record,
                settings=lambda: SETTINGS,
                table=lambda: table,
                draining=lambda: False,
                partition_map=lambda: PartitionMap(count=1),
                plan_from_directory=lambda workers: None,
                owned_partitions=lambda: [],
                connect=None,
                accepted_connections=lambda: [],
                catch_up=None,
            ),
        )
        self.partition.start()
        self.advance(1.0)

    def advance(self, interval_s):
        for _ in range(round(interval_s / 0.05)):
            self.clock.advance(0.05)
            self.reactor.advance(0.05)

    def submit(self):
        owner = self.partition.current_owner()
        graph = make_graph(make_step(memory=0))
        ensureDeferred(owner.calls.submit(JOB, self.queue, graph, 0.0))

    def start_without_answer(self):
        """Submit a job whose start is not answered before the returned Deferred fires.

        The next attempt is answered at once.
        """
        unanswered = Deferred()
        answer = (StartAnswer(started=True), 5001)
        self.connection.start_outcomes = [unanswered, answer]
        self.submit()
        self.advance(0.1)
        return unanswered

    def freeze(self, interval_s):
        """Let time pass without the instance, while another one takes over."""
        self.clock.advance(interval_s)
        self.store.leases.clear()
        record = json.dumps(
            {"instance_id": "n1", "incarnation": "i1", "address": "127.0.0.1:2"}
        ).encode()
        self.store.revision += 1
        for key in (KEYS.owner, KEYS.claim):
            self.store.entries[key] = Entry(key, record, self.store.revision)

    def delay_answer_to_placement(self):
        """Let the write of the placement succeed, and return its delayed answer.

        It is the second write after a submission, which the first one makes durable.
        """
        transact, answer = self.store.transact, Deferred()
        writes = []

        async def transact_without_answer(**arguments):
            revision = await transact(**arguments)
            writes.append(revision)
            if len(writes) == 2:
                await answer
            return revision

        self.store.transact = transact_without_answer
        return answer


class TestFrozenOwner:
    """Guards against starts by an owner that was frozen and has been replaced.

    When it continues, the time limits of its calls have passed, and it handles them
    before it reads from its connections that it has been replaced. A worker that was
    restarted meanwhile has not seen its successor's fencing token.
    """

    def test_a_start_without_an_answer_is_not_repeated(self):
        harness = Harness()
        unanswered = harness.start_without_answer()
        assert len(harness.connection.starts) == 1
        harness.freeze(4.0)
        unanswered.errback(SILENT)
        harness.advance(2.0)
        assert len(harness.connection.starts) == 1
        assert not harness.partition.owned

    def test_a_start_whose_ledger_write_is_answered_late_is_not_sent(self):
        harness = Harness()
        answer = harness.delay_answer_to_placement()
        harness.submit()
        harness.advance(0.1)
        assert not harness.connection.starts
        harness.freeze(4.0)
        answer.callback(None)
        harness.advance(2.0)
        assert not harness.connection.starts

    def test_a_short_freeze_delays_the_starts_until_the_lease_is_renewed(self):
        """The lease of the ownership has not ended, but may end at any moment."""
        harness = Harness()
        unanswered = harness.start_without_answer()
        harness.clock.advance(1.3)
        unanswered.errback(SILENT)
        assert len(harness.connection.starts) == 1
        harness.advance(1.0)
        assert len(harness.connection.starts) == 2


class TestStoreOutage:
    def test_starts_go_on_when_the_store_is_back(self):
        """Guards against a task that waits for good after an outage of the store."""
        harness = Harness()
        unanswered = harness.start_without_answer()
        harness.store.down = True
        harness.store.wake()
        harness.advance(3.0)
        unanswered.errback(SILENT)
        harness.advance(1.0)
        assert len(harness.connection.starts) == 1
        harness.store.down = False
        harness.advance(1.0)
        assert len(harness.connection.starts) == 2
