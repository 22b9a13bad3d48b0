"""The watch of the worker directory."""

import logging
from dataclasses import dataclass

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock as ReactorClock
from twisted.internet.task import deferLater

from pistachiolift.common import MalformedMessageError, ManualClock, Metrics
from pistachiolift.node.interfaces import (
    Changes,
    HistoryLostError,
    PlatformAdapter,
    Put,
)
from pistachiolift.node.store_watches import (
    RETRY_INTERVAL_S,
    ConfigurationWatch,
    DirectoryWatch,
)

from .fake_store import FakeStore
from .test_worker_driver import WORKER

KEY = "servers/w"


@dataclass(frozen=True)
class FakeAdapter(PlatformAdapter):
    """Decodes the value ``worker`` only."""

    def queue_table(self, value):
        raise NotImplementedError

    def worker(self, key, value):
        if value != b"worker":
            raise MalformedMessageError("value is odd")
        return WORKER

    def connect(self, worker):
        raise NotImplementedError


class Harness:
    """A watch that has read a directory with one worker."""

    def __init__(self, store=None):
        self.reactor, self.clock = ReactorClock(), ManualClock()
        self.store = store or FakeStore()
        self.events = []
        self.watch = DirectoryWatch(
            self.reactor,
            self.store,
            FakeAdapter(worker_prefix="servers/"),
            on_worker_changed=lambda worker: self.events.append("changed"),
            on_worker_removed=lambda worker_id: self.events.append("removed"),
            clock=self.clock,
            metrics=Metrics(),
        )
        self.put(b"worker")
        self.watch.start()
        self.advance(1.0)

    def advance(self, interval_s):
        for _ in range(round(interval_s / 0.05)):
            self.clock.advance(0.05)
            self.reactor.advance(0.05)

    def put(self, value, key=KEY):
        ensureDeferred(self.store.transact(expected={}, puts={key: Put(value)}))


class TestEntriesOfAnotherWriter:
    def test_a_worker_whose_entry_was_overwritten_is_not_used(self):
        """Guards against instances that disagree about the directory.

        One that reads all entries does not find the worker.
        """
        harness = Harness()
        harness.put(b"odd")
        harness.advance(1.0)
        assert harness.events == ["changed", "removed"]
        assert not harness.watch.workers_by_id

    def test_it_is_used_again_after_its_next_heartbeat(self):
        harness = Harness()
        harness.put(b"odd")
        harness.advance(1.0)
        harness.put(b"worker")
        harness.advance(1.0)
        assert harness.events == ["changed", "removed", "changed"]

    @pytest.mark.parametrize("value", [b"", b"odd"])
    def test_an_odd_entry_beside_it_changes_nothing(self, value):
        harness = Harness()
        harness.put(value, "servers/odd")
        harness.advance(1.0)
        harness.put(value, "servers/odd")
        harness.advance(5.0)
        assert harness.events == ["changed"]
        assert set(harness.watch.workers_by_id) == {WORKER.worker_id}


class ForgetfulStore(FakeStore):
    """A store that sometimes answers a watch without the events before its revision."""

    skips = False

    async def changes(self, prefix, *, after_revision, wait_s):
        changes = await super().changes(
            prefix, after_revision=after_revision, wait_s=wait_s
        )
        return Changes([], changes.revision) if self.skips else changes


class TestChangesWithoutAnEvent:
    """A change that the watch has passed is reported once a listing shows it."""

    @pytest.mark.parametrize("skips", [True, False])
    def test_it_is_logged(self, skips, caplog):
        harness = Harness(store=ForgetfulStore())
        harness.store.skips = skips
        with caplog.at_level(logging.INFO):
            harness.put(b"worker")
            harness.advance(2.0)
            harness.store.skips = False
            harness.store.down = True
            harness.store.wake()
            harness.advance(1.0)
            harness.store.down = False
            harness.advance(1.0)
        assert ("watch_change_missed" in caplog.text) == skips


class StoreWithoutHistory(FakeStore):
    """A store that answers listings only, each after a time."""

    ANSWER_S = 0.004

    def __init__(self, reactor):
        super().__init__()
        self._reactor = reactor
        self.listings = 0

    async def list_prefix(self, prefix):
        self.listings += 1
        await deferLater(self._reactor, self.ANSWER_S)
        return await super().list_prefix(prefix)

    async def changes(self, prefix, *, after_revision, wait_s):
        await deferLater(self._reactor, self.ANSWER_S)
        raise HistoryLostError("changes are lost")


class TestLostHistory:
    # Guards against instances that use up the store's rate of reads when it loses its
    # history again and again.
    def test_listings_are_repeated_with_a_pause(self):
        reactor = ReactorClock()
        store = StoreWithoutHistory(reactor)
        watch = ConfigurationWatch(
            reactor,
            store,
            FakeAdapter(operator_prefix="op/"),
            on_table=lambda table: None,
            clock=ManualClock(),
            metrics=Metrics(),
        )
        watch.start()
        for _ in range(3000):
            reactor.advance(0.001)
        assert 3.0 / RETRY_INTERVAL_S / 2 < store.listings
        assert store.listings <= 3.0 / RETRY_INTERVAL_S + 1
