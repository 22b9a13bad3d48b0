"""Configurations that instances get from each other instead of from the store.

Instances exchange real frames over in-memory connections in virtual time. All of them
are connected to the owner only, as in a cell of one partition.
"""

import json
import logging
import random
import zlib
from dataclasses import dataclass, field

import msgspec
import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as ReactorClock
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from pistachiolift.backends import Entry, Listing, WatchEvent
from pistachiolift.common import (
    MalformedMessageError,
    ManualClock,
    Metrics,
    StoreUnavailableError,
)
from pistachiolift.node.configuration_exchange import (
    DECOMPRESSED_LIMIT_BYTES,
    VALUE_LIMIT_BYTES,
    ConfigurationExchange,
)
from pistachiolift.node.interfaces import (
    Changes,
    HistoryLostError,
    PlatformAdapter,
    QueueTable,
    StoreTurnedAwayError,
)
from pistachiolift.node.peer_link import PeerConnection
from pistachiolift.node.peer_messages import (
    FRAME_LIMIT_BYTES,
    ConfigurationReply,
    Frame,
    GetConfiguration,
    Hello,
    PeerState,
    Ping,
    decode_frame,
    encode_frame,
)
from pistachiolift.node.store_watches import ConfigurationWatch

# Requirement C3 (ConfigApplyMs).
APPLY_LIMIT_S = 3.0
ROUND_TRIP_S = 0.02
STEP_S = 0.01

# The smallest link of an instance.
LINK_MBPS = 5.0

BOMB = bytes(DECOMPRESSED_LIMIT_BYTES + 1)


def encode(version, filling=""):
    """Return the stored bytes of a version."""
    return json.dumps({"version": version, "filling": filling}).encode()


@dataclass(frozen=True)
class FakeAdapter(PlatformAdapter):
    """Decodes the values of :func:`encode`."""

    def queue_table(self, value):
        try:
            return QueueTable(version=json.loads(value)["version"])
        except (ValueError, KeyError, TypeError) as error:
            raise MalformedMessageError(f"value is odd: {error}") from error

    def worker(self, key, value):
        raise NotImplementedError

    def connect(self, worker):
        raise NotImplementedError


ADAPTER = FakeAdapter(configuration_key="op/config", operator_prefix="op/")


@dataclass
class Stored:
    """What the store holds, for all instances."""

    value: bytes | None = None
    revision: int = 1
    # Changes before this revision are lost.
    history_from: int = 0
    reads: int = 0

    def put(self, value):
        self.value, self.revision = value, self.revision + 1


@dataclass
class StoreView:
    """The store as one instance reaches it."""

    reactor: ReactorClock
    stored: Stored
    rejects: bool = False
    # Whether waiting watches hear nothing.
    silent: bool = False

    def _read(self):
        if self.rejects:
            raise StoreTurnedAwayError("store is busy")
        self.stored.reads += 1

    def _entry(self):
        return Entry("op/config", self.stored.value, self.stored.revision, 0)

    async def list_prefix(self, prefix):
        self._read()
        entries = {} if self.stored.value is None else {"op/config": self._entry()}
        return Listing(self.stored.revision, entries)

    async def changes(self, prefix, *, after_revision, wait_s):
        for _ in range(round(wait_s / STEP_S)):
            heard = self.stored.revision > after_revision and not self.silent
            if self.rejects or heard:
                break
            await deferLater(self.reactor, STEP_S)
        self._read()
        if self.silent:
            raise StoreUnavailableError("timeout")
        if after_revision < self.stored.history_from:
            raise HistoryLostError("changes are lost")
        events = []
        if self.stored.revision > after_revision:
            events = [WatchEvent("op/config", self._entry(), self.stored.revision)]
        return Changes(events, self.stored.revision)


@dataclass
class Pipe:
    """One direction of a connection; delivers in order after a delay."""

    reactor: ReactorClock
    target: PeerConnection | None = None
    back: "Pipe | None" = None
    open: bool = True
    # Whether the receiver's process is frozen.
    blocked: bool = False

    def write(self, data):
        self.reactor.callLater(ROUND_TRIP_S / 2, self._deliver, data)

    def writeSequence(self, parts):  # noqa: N802
        self.write(b"".join(parts))

    def _deliver(self, data):
        if self.open and not self.blocked:
            self.target.dataReceived(data)

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        for pipe in (self, self.back):
            if pipe.open:
                pipe.open = False
                pipe.target.connectionLost(Failure(ConnectionError("aborted")))

    loseConnection = abortConnection  # noqa: N815


class FakeInstance:
    """An instance with its watch, its exchange and its connections."""

    def __init__(self, cell, name, *, rejects=False):
        self.cell, self.name = cell, name
        self.store = StoreView(cell.reactor, cell.stored, rejects)
        self.metrics = Metrics()
        self.connections = []
        # Delay of the answers to fetches, and number of these.
        self.answer_delay_s = 0.0
        self.requests = 0
        # Times at which versions came into force.
        self.applied_s = {}
        self.watch = ConfigurationWatch(
            cell.reactor,
            self.store,
            ADAPTER,
            on_table=self._apply,
            clock=cell.clock,
            metrics=self.metrics,
        )
        self.exchange = ConfigurationExchange(
            cell.reactor,
            watch=self.watch,
            connections=lambda: [c for c in self.connections if c.open and c.peer],
            link_mbps=lambda: LINK_MBPS,
            limit_s=lambda: APPLY_LIMIT_S,
            clock=cell.clock,
            metrics=self.metrics,
        )
        self.watch.start()
        self.exchange.start()

    @property
    def version(self):
        return None if self.watch.table is None else self.watch.table.version

    def _apply(self, table):
        assert table.version > max(self.applied_s, default=0), "went back"
        self.applied_s[table.version] = self.cell.clock.monotonic_s()
        self.exchange.announce()

    def _state(self):
        return PeerState(
            0.0,
            configuration_version=self.version,
            configuration_age_s=self.watch.age_s if self.version else 0.0,
        )

    async def _answer(self, connection, message):
        assert isinstance(message, GetConfiguration)
        self.requests += 1
        await deferLater(self.cell.reactor, self.answer_delay_s)
        return self.exchange.answer(message)

    def connection(self, *, outgoing):
        return PeerConnection(
            self.cell.reactor,
            hello=Hello(self.name, f"{self.name}-1"),
            handler=self._answer,
            metrics=self.metrics,
            state=self._state,
            outgoing=outgoing,
            on_open=self.connections.append,
            on_state=self.exchange.handle_state,
        )

    def stop(self):
        self.watch.stop()
        self.exchange.stop()
        for connection in list(self.connections):
            connection.transport.abortConnection()


class FakeCell:
    """Instances that are connected to the first one, which is the owner."""

    def __init__(self, count, *, stored=None, rejected=()):
        self.reactor, self.clock = ReactorClock(), ManualClock()
        self.stored = stored or Stored(encode(1))
        self.instances = []
        for index in range(count):
            self.start(index, rejects=index in rejected)

    @property
    def owner(self):
        return self.instances[0]

    def start(self, index, *, rejects=False):
        """Start an instance, or replace its process by a new one."""
        instance = FakeInstance(self, f"node-{index}", rejects=rejects)
        if index < len(self.instances):
            self.instances[index].stop()
            self.instances[index] = instance
        else:
            self.instances.append(instance)
        others = self.instances[1:] if index == 0 else [instance]
        for other in others:
            self.connect(other)

    def connect(self, entry, other=None):
        """Connect an entry instance to the owner, or to another instance."""
        opened = entry.connection(outgoing=True)
        accepted = (other or self.owner).connection(outgoing=False)
        there, back = Pipe(self.reactor, accepted), Pipe(self.reactor, opened)
        there.back, back.back = back, there
        opened.makeConnection(there)
        accepted.makeConnection(back)

    def advance(self, interval_s):
        for _ in range(round(interval_s / STEP_S)):
            self.clock.advance(STEP_S)
            self.reactor.advance(STEP_S)

    def versions(self):
        return [instance.version for instance in self.instances]

    def put(self, version):
        """Let the store acknowledge a version now."""
        self.stored.put(encode(version))
        return self.clock.monotonic_s()

    def set_rejected(self, indices):
        for index, instance in enumerate(self.instances):
            instance.store.rejects = index in indices

    def slowest_s(self, version, since_s):
        """Return the time until all instances had a version or a newer one."""
        return max(
            min(at_s for v, at_s in i.applied_s.items() if v >= version) - since_s
            for i in self.instances
        )


class TestRejectedInstances:
    """Guards against instances that keep a removed key while the store rejects them."""

    @pytest.mark.parametrize("rejected", [(3, 4, 5), (0, 1, 2), (0, 4, 8)])
    def test_a_third_is_rejected_for_9_s_while_keys_change(self, rejected):
        cell = FakeCell(9)
        cell.advance(2.0)
        cell.set_rejected(rejected)
        put_s = {}
        for version in range(2, 11):
            put_s[version] = cell.put(version)
            cell.advance(1.0)
        cell.set_rejected(())
        cell.advance(3.0)
        for version, since_s in put_s.items():
            assert cell.slowest_s(version, since_s) < APPLY_LIMIT_S
        assert cell.versions() == [10] * 9

    def test_the_owner_learns_from_the_only_entry_that_reaches_the_store(self):
        cell = FakeCell(9)
        cell.advance(2.0)
        cell.set_rejected(set(range(9)) - {5})
        put_s = cell.put(2)
        cell.advance(APPLY_LIMIT_S)
        assert cell.slowest_s(2, put_s) < APPLY_LIMIT_S

    def test_the_version_is_confirmed_through_peers(self):
        """Its age is that of the last read of the store by any instance."""
        cell = FakeCell(3, rejected=(0, 1))
        cell.advance(5.0)
        assert cell.versions() == [1, 1, 1]
        assert all(instance.watch.age_s < 2.0 for instance in cell.instances)
        assert all(instance.exchange.confirmed for instance in cell.instances)
        cell.set_rejected((0, 1, 2))
        cell.advance(5.0)
        for instance in cell.instances:
            assert not instance.exchange.confirmed
            gauges = instance.metrics.gauges_by_name
            assert gauges["configuration.version"] == 1
            assert gauges["configuration.confirmed_age_s"] > 4.0

    def test_an_instance_that_reaches_the_store_fetches_nothing(self):
        """Guards against an owner that sends each version to all instances."""
        cell = FakeCell(9)
        cell.advance(2.0)
        reads = cell.stored.reads
        cell.advance(4.0)
        idle = cell.stored.reads - reads
        for version in range(2, 6):
            cell.put(version)
            cell.advance(1.0)
        assert cell.versions() == [5] * 9
        for instance in cell.instances:
            assert "configuration.fetched" not in instance.metrics.totals_by_name
        # Each change ends the wait of each instance's watch once.
        assert cell.stored.reads - reads - idle <= idle + 4 * 9

    def test_a_frozen_peer_does_not_keep_others_from_answering(self):
        cell = FakeCell(4)
        cell.advance(2.0)
        cell.set_rejected((0, 3))
        frozen = cell.instances[1].connections[0].transport.back
        put_s = cell.put(2)
        cell.advance(0.05)
        # It has reported the version, but does not answer the owner's fetch.
        frozen.blocked = True
        cell.advance(APPLY_LIMIT_S)
        assert cell.slowest_s(2, put_s) < APPLY_LIMIT_S


class TestRestarts:
    """Guards against an instance that serves an older version than its peers."""

    @pytest.mark.parametrize("survivor", [0, 2])
    def test_all_instances_but_one_are_restarted_while_the_store_is_away(
        self, survivor
    ):
        cell = FakeCell(5)
        cell.advance(2.0)
        cell.put(7)
        cell.advance(2.0)
        cell.set_rejected(range(5))
        for index in set(range(5)) - {survivor}:
            cell.start(index, rejects=True)
        assert cell.versions().count(None) == 4
        cell.advance(APPLY_LIMIT_S)
        assert cell.versions() == [7] * 5

    @pytest.mark.parametrize("history_from", [0, 1_000])
    def test_a_store_that_has_lost_its_newest_version(self, history_from):
        cell = FakeCell(3)
        cell.advance(2.0)
        cell.put(7)
        cell.advance(2.0)
        cell.stored.history_from = history_from
        cell.put(5)
        cell.advance(2.0)
        cell.start(2)
        cell.advance(APPLY_LIMIT_S)
        assert cell.versions() == [7, 7, 7]
        cell.stored.history_from = 0
        cell.put(8)
        cell.advance(APPLY_LIMIT_S)
        assert cell.versions() == [8, 8, 8]


class TestOwnWatch:
    """An instance that seems to reach the store gives its own watch some time."""

    # Guards against fetches of a long configuration that is still on its way from the
    # store, which take the link from it.
    def test_it_gets_the_time_that_the_last_value_takes_on_the_link(self):
        for length, early_s, late_s in [(0, 0.2, 0.4), (150_000, 0.5, 0.7)]:
            cell = FakeCell(2, stored=Stored(encode(1, "x" * length)))
            cell.advance(1.0)
            cell.owner.store.silent = True
            cell.put(2)
            cell.advance(early_s)
            assert cell.owner.version == 1
            cell.advance(late_s - early_s)
            assert cell.owner.version == 2


class TestBusyPeers:
    # Guards against rejected instances that give up each answer of an owner that is
    # overloaded or reads the ledger, and ask for it again.
    def test_an_answer_that_takes_longer_is_used(self):
        cell = FakeCell(3, rejected=(1, 2))
        cell.advance(1.0)
        cell.owner.answer_delay_s = 1.2
        cell.put(2)
        cell.advance(1.4)
        assert cell.versions() == [2, 2, 2]
        assert cell.owner.requests == 4

    def test_other_peers_are_asked_meanwhile(self):
        cell = FakeCell(3, rejected=(1,))
        cell.advance(1.0)
        second = FakeInstance(cell, "second")
        cell.connect(cell.instances[1], second)
        cell.advance(1.0)
        cell.owner.answer_delay_s = 60.0
        cell.put(2)
        cell.advance(1.0)
        assert cell.versions() == [2, 2, 2]
        assert cell.instances[1].exchange.newest_version == 2


class TestCallsThatWait:
    """A call waits for a version that another instance is known to have."""

    @staticmethod
    def start_behind(*, rejected=()):
        """Return a cell whose owner's watch does not hear of version 2."""
        cell = FakeCell(3, rejected=rejected)
        cell.advance(2.0)
        cell.owner.store.silent = True
        cell.put(2)
        cell.advance(0.1)
        assert cell.versions() == [1, 2, 2]
        return cell

    # Guards against an owner that lets calls of a newer version wait for its own watch.
    def test_it_is_fetched_at_once_though_the_watch_seems_to_work(self):
        cell = self.start_behind()
        in_force = [cell.owner.exchange.catch_up(2, timeout_s=1.0) for _ in range(5)]
        cell.advance(2 * ROUND_TRIP_S)
        assert [each.result for each in in_force] == [True] * 5
        assert cell.owner.version == 2
        assert cell.owner.metrics.totals_by_name["configuration.fetched"] == 1

    def test_a_version_that_is_in_force_needs_no_wait(self):
        cell = FakeCell(1)
        cell.advance(1.0)
        assert cell.owner.exchange.catch_up(1, timeout_s=1.0).result is True

    def test_one_that_nobody_has_is_not_waited_for_longer(self):
        cell = FakeCell(2)
        cell.advance(1.0)
        waiting = cell.owner.exchange.catch_up(9, timeout_s=0.5)
        cell.advance(0.4)
        assert not waiting.called
        cell.advance(0.2)
        assert waiting.result is False
        cell.put(9)
        cell.advance(1.0)
        assert cell.versions() == [9, 9]


@dataclass(eq=False)
class FakePeer:
    """A connection whose calls the test answers."""

    name: str
    peer_state: PeerState | None = None
    calls: list = field(default_factory=list)

    @property
    def peer(self):
        return Hello(self.name, "1")

    def call(self, message, *, timeout_s):
        self.calls.append(Deferred())
        return self.calls[-1]

    def send_state(self):
        pass


class TestFetches:
    """Guards against versions that go back, and against fetches in vain."""

    def start(self, value=None):
        cell = FakeCell(1, stored=Stored(value or encode(5)))
        cell.advance(0.1)
        cell.set_rejected((0,))
        cell.advance(1.0)
        return cell, cell.owner

    def offer(self, instance, peer, version):
        peer.peer_state = PeerState(0.0, configuration_version=version)
        instance.connections[:] = []
        instance.exchange.handle_state(peer, peer.peer_state)

    @pytest.mark.parametrize("first", [6, 7])
    def test_two_versions_in_flight(self, first):
        _, instance = self.start()
        peers = {6: FakePeer("a"), 7: FakePeer("b")}
        for version, peer in peers.items():
            self.offer(instance, peer, version)
            self.offer(instance, peer, version)
            assert len(peer.calls) == 1
        for version in (first, 13 - first):
            reply = ConfigurationReply(version, encode(version))
            peers[version].calls[0].callback(reply)
        assert instance.version == 7

    @pytest.mark.parametrize("version", [4, 5, None])
    def test_an_older_version_is_not_fetched(self, version):
        _, instance = self.start()
        peer = FakePeer("a")
        self.offer(instance, peer, version)
        assert not peer.calls
        assert instance.exchange.newest_version == 5

    def test_a_version_that_is_not_usable_is_known_to_be_newer(self):
        """Guards against final refusals under a version that is known to be old."""
        _, instance = self.start()
        peer = FakePeer("a")
        self.offer(instance, peer, 6)
        peer.calls[0].callback(ConfigurationReply(6, b"odd"))
        assert (instance.version, instance.exchange.newest_version) == (5, 6)

    def test_a_peer_that_sends_an_older_version_than_it_offered(self):
        _, instance = self.start()
        peer = FakePeer("a")
        self.offer(instance, peer, 9)
        peer.calls[0].callback(ConfigurationReply(4, encode(4)))
        assert instance.version == 5

    @pytest.mark.parametrize("value", [b"", b"odd", b'{"version": "x', None])
    def test_unusable_bytes_are_dropped_and_not_fetched_at_each_ping(
        self, value, caplog
    ):
        cell, instance = self.start()
        broken, sound = FakePeer("a"), FakePeer("b")
        with caplog.at_level(logging.INFO):
            self.offer(instance, broken, 6)
            broken.calls[0].callback(ConfigurationReply(6, value))
            self.offer(instance, broken, 6)
        assert instance.version == 5
        assert len(broken.calls) == 1
        name = "configuration_not_fetched" if value is None else "_malformed"
        assert name in caplog.text
        self.offer(instance, sound, 6)
        sound.calls[0].callback(ConfigurationReply(6, encode(6)))
        assert instance.version == 6
        cell.advance(6.0)
        self.offer(instance, broken, 7)
        assert len(broken.calls) == 2

    def test_a_failed_fetch_is_repeated_with_the_next_ping(self):
        _, instance = self.start()
        peer = FakePeer("a")
        self.offer(instance, peer, 6)
        peer.calls[0].callback(ConfigurationReply())
        peer = FakePeer("b")
        self.offer(instance, peer, 6)
        peer.calls[0].callback(Ping(PeerState(0.0)))
        self.offer(instance, peer, 6)
        peer.calls[1].callback(ConfigurationReply(6, encode(6)))
        assert instance.version == 6

    def test_a_value_that_is_too_long_for_a_frame_is_not_sent(self, caplog):
        value = encode(5, "x" * VALUE_LIMIT_BYTES)
        _, instance = self.start(value)
        with caplog.at_level(logging.INFO):
            reply = instance.exchange.answer(GetConfiguration())
        assert (reply.version, reply.value, reply.compressed) == (5, None, None)
        assert "configuration_too_long_to_exchange" in caplog.text

    def test_nor_is_one_whose_compressed_bytes_are_too_long(self, caplog):
        value = encode(5, random.Random(1).randbytes(VALUE_LIMIT_BYTES).hex())
        _, instance = self.start(value)
        with caplog.at_level(logging.INFO):
            reply = instance.exchange.answer(GetConfiguration(accepts_compressed=True))
        assert (reply.version, reply.value, reply.compressed) == (5, None, None)
        assert "configuration_too_long_to_exchange" in caplog.text

    def test_a_long_value_of_similar_routes_is_exchanged(self):
        """Guards against rejected instances that never learn of long configurations."""
        value = encode(5, "route" * (VALUE_LIMIT_BYTES // 2))
        cell = FakeCell(2, stored=Stored(value), rejected=(1,))
        cell.advance(1.0)
        assert cell.versions() == [5, 5]

    @pytest.mark.parametrize(
        "compressed", [b"", b"odd", zlib.compress(encode(6))[:-1], zlib.compress(BOMB)]
    )
    def test_compressed_bytes_that_cannot_be_used_are_dropped(self, compressed, caplog):
        _, instance = self.start()
        peer = FakePeer("a")
        with caplog.at_level(logging.INFO):
            self.offer(instance, peer, 6)
            reply = ConfigurationReply(6, compressed=compressed)
            peer.calls[0].callback(reply)
            self.offer(instance, peer, 6)
        assert (instance.version, len(peer.calls)) == (5, 1)
        assert "configuration_not_fetched" in caplog.text

    def test_an_instance_of_an_earlier_version_gets_the_plain_value(self):
        _, instance = self.start()
        request = msgspec.msgpack.encode([7, False, ["get_configuration"]])
        reply = instance.exchange.answer(decode_frame(request).message)
        assert (reply.version, reply.value) == (5, encode(5))

    def test_the_longest_value_fits_into_a_frame(self):
        value = encode(5, "x" * (VALUE_LIMIT_BYTES - len(encode(5))))
        assert len(value) == VALUE_LIMIT_BYTES
        cell = FakeCell(2, stored=Stored(value), rejected=(1,))
        cell.advance(1.0)
        assert cell.versions() == [5, 5]
        reply = cell.owner.exchange.answer(GetConfiguration())
        assert reply.value == value
        assert len(encode_frame(Frame(2**32, True, reply))) <= FRAME_LIMIT_BYTES


class TestVersions:
    """Guards against a rolling update in which connections are aborted."""

    def test_states_of_earlier_and_later_versions_are_understood(self):
        earlier = msgspec.msgpack.encode([0, False, ["ping", [0.1, 1, 2.0]]])
        state = decode_frame(earlier).message.state
        assert state.configuration_version is None
        later = encode_frame(
            Frame(0, False, Ping(PeerState(0.1, 1, 2.0, 7, float("inf"))))
        )
        fields = msgspec.msgpack.decode(later)
        assert fields[2][1][:3] == [0.1, 1, 2.0]
