"""Exchange of configurations between instances, for those that the store rejects."""

import logging
import zlib
from collections.abc import Callable, Iterable

from twisted.internet.defer import Deferred, DeferredList, succeed
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall, deferLater

from ..common import Clock, MalformedMessageError, Metrics, NoOwnerError, log_event
from .background import run_in_background
from .peer_link import PeerConnection
from .peer_messages import (
    FRAME_LIMIT_BYTES,
    ConfigurationReply,
    GetConfiguration,
    PeerState,
)
from .store_watches import ConfigurationWatch

__all__ = ["ConfigurationExchange"]

logger = logging.getLogger(__name__)

# Time after which other peers are asked too. Two of these times and the pings before
# them are possible within the 3 s that a configuration may take.
NEXT_PEER_DELAY_S = 0.5

# Longest time for the answer to a fetch. An owner that is overloaded, or that reads the
# ledger over a small link, answers after seconds.
FETCH_TIMEOUT_S = 4.0

# Time for which an instance that reaches the store waits for its own watch before a
# fetch. Without it, each new version would be sent to all instances by the owner.
OWN_WATCH_DELAY_S = 0.25

# A long configuration may still be on its way from the store after that delay, which is
# extended, up to a limit, by the time that one of the last one's length takes as base64
# text on the instance's link.
BASE64_FACTOR = 4 / 3
OWN_WATCH_DELAY_LIMIT_S = 1.5

# The fastest level; routes are similar enough to compress well with it.
COMPRESSION_LEVEL = 1

# Time for which the bytes of a version are not fetched from a peer again after they
# could not be applied: fetches at each ping would repeat the transfer in vain.
UNUSABLE_PAUSE_S = 5.0

# Longest bytes that fit into a frame together with the rest of the message.
VALUE_LIMIT_BYTES = FRAME_LIMIT_BYTES - 1024

# Longest value that is decompressed, above the store's limit.
DECOMPRESSED_LIMIT_BYTES = 4 * 1024 * 1024

CHECK_INTERVAL_S = 0.5


class ConfigurationExchange:
    """Fetches newer configurations from peers, and answers their fetches.

    Each instance reports the version that it has with its pings and pongs. An instance
    that learns of a newer version fetches the stored bytes and applies them as if it
    had read them from the store. It then reports the version to all its peers at once.

    :param watch: applies configurations.
    :param connections: returns the open connections to other instances.
    :param link_mbps: returns the bandwidth of the instance's link, in Mbit/s.
    :param limit_s: returns the time within which an acknowledged configuration must be
        in force, in seconds.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        *,
        watch: ConfigurationWatch,
        connections: Callable[[], Iterable[PeerConnection]],
        link_mbps: Callable[[], float],
        limit_s: Callable[[], float],
        clock: Clock,
        metrics: Metrics,
    ):
        self._reactor = reactor
        self._watch = watch
        self._connections = connections
        self._link_mbps = link_mbps
        self._limit_s = limit_s
        self._clock = clock
        self._metrics = metrics
        self._fetching: set[int] = set()
        # Connections with a fetch that is not answered yet.
        self._asked: set[PeerConnection] = set()
        # Newest version that any peer has reported.
        self._newest_offered = 0
        # Versions that calls wait for, and those that are fetched for them.
        self._waiting: list[tuple[int, Deferred[bool]]] = []
        self._fetching_at_once: set[int] = set()
        self._paused_until_s: dict[tuple[str, int], float] = {}
        self._unconfirmed = False
        # The version that was compressed last, and its bytes.
        self._compressed: tuple[int, bytes] | None = None
        self._checking = LoopingCall(self._check)
        self._checking.clock = reactor

    def start(self) -> None:
        """Start to report the age of the configuration."""
        self._checking.start(CHECK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stop reporting the age."""
        if self._checking.running:
            self._checking.stop()

    @property
    def confirmed(self) -> bool:
        """Whether the store has confirmed the configuration recently enough.

        Otherwise a newer one may be in force elsewhere.
        """
        return self._watch.age_s <= self._limit_s()

    @property
    def newest_version(self) -> int:
        """Newest version that this instance or one of its peers has; 0 for none."""
        table = self._watch.table
        return max(0 if table is None else table.version, self._newest_offered)

    def announce(self) -> None:
        """Report a new version in force to all peers, and to the calls that wait.

        Peers get it before all later calls, without waiting for a ping.
        """
        for connection in list(self._connections()):
            connection.send_state()
        waiting, self._waiting = self._waiting, []
        for version, waiter in waiting:
            if self._is_newer(version):
                self._waiting.append((version, waiter))
            elif not waiter.called:
                waiter.callback(True)

    def catch_up(self, version: int, *, timeout_s: float) -> "Deferred[bool]":
        """Wait until a version or a newer one is in force, and fetch it at once.

        :param timeout_s: longest time to wait, in seconds.
        :returns: fires with whether it is in force.
        """
        if not self._is_newer(version):
            return succeed(True)
        self._waiting = [each for each in self._waiting if not each[1].called]
        waiter: Deferred[bool] = Deferred()
        waiter.addTimeout(timeout_s, self._reactor, lambda *_: False)
        self._waiting.append((version, waiter))
        if version not in self._fetching_at_once:
            self._fetching_at_once.add(version)
            run_in_background(
                self._fetch_from_peers(version, []),
                logger=logger,
                event="configuration_fetch_failed",
                config=version,
            ).addBoth(lambda _: self._fetching_at_once.discard(version))
        return waiter

    def answer(self, request: GetConfiguration) -> ConfigurationReply:
        """Answer a peer's fetch."""
        watch = self._watch
        if watch.table is None:
            return ConfigurationReply()
        value: bytes = watch.value
        if request.accepts_compressed:
            value = self._compress(watch.table.version, value)
        if len(value) > VALUE_LIMIT_BYTES:
            log_event(
                logger,
                "configuration_too_long_to_exchange",
                level=logging.WARNING,
                config=watch.table.version,
                value_bytes=len(value),
                limit_bytes=VALUE_LIMIT_BYTES,
            )
            return ConfigurationReply(watch.table.version, None, watch.age_s)
        if request.accepts_compressed:
            return ConfigurationReply(watch.table.version, None, watch.age_s, value)
        return ConfigurationReply(watch.table.version, value, watch.age_s)

    def _compress(self, version: int, value: bytes) -> bytes:
        """Return the compressed value, which is kept for the next peer."""
        if self._compressed is None or self._compressed[0] != version:
            self._compressed = version, zlib.compress(value, COMPRESSION_LEVEL)
        return self._compressed[1]

    def handle_state(self, connection: PeerConnection, state: PeerState) -> None:
        """Compare a peer's version with the one in force, and fetch a newer one."""
        offered = state.configuration_version
        if offered is None:
            return
        self._newest_offered = max(self._newest_offered, offered)
        if self._watch.table is not None and offered == self._watch.table.version:
            now_s = self._clock.monotonic_s()
            self._watch.record_confirmation(now_s - state.configuration_age_s)
            return
        if not self._is_wanted(connection, offered) or offered in self._fetching:
            return
        self._fetching.add(offered)
        run_in_background(
            self._fetch(connection, offered),
            logger=logger,
            event="configuration_fetch_failed",
            config=offered,
        ).addBoth(lambda _: self._fetching.discard(offered))

    def _is_newer(self, version: int) -> bool:
        return self._watch.table is None or version > self._watch.table.version

    def _is_wanted(self, connection: PeerConnection, version: int) -> bool:
        """Whether a version is newer, and its bytes from this peer may be usable.

        An unanswered fetch will be answered with the newest version that the peer has.
        """
        if connection.peer is None or not self._is_newer(version):
            return False
        if connection in self._asked:
            return False
        until_s = self._paused_until_s.get((connection.peer.instance_id, version), 0.0)
        return self._clock.monotonic_s() >= until_s

    @property
    def _own_watch_delay_s(self) -> float:
        bytes_per_s = self._link_mbps() * 1_000_000 / 8
        transfer_s = len(self._watch.value) * BASE64_FACTOR / bytes_per_s
        return min(OWN_WATCH_DELAY_S + transfer_s, OWN_WATCH_DELAY_LIMIT_S)

    async def _fetch(self, connection: PeerConnection, version: int) -> None:
        """Fetch a version from the peer that offers it, or else from other peers."""
        if self._watch.connected:
            await deferLater(self._reactor, self._own_watch_delay_s)
        if self._is_newer(version):
            await self._fetch_from(connection, version)
        await self._fetch_from_peers(version, [connection])

    async def _fetch_from_peers(
        self, version: int, tried: list[PeerConnection]
    ) -> None:
        """Fetch a version from the peers that have it, until one has sent it.

        :param tried: connections that are left out.
        """
        while self._is_newer(version):
            untried = (each for each in self._connections() if each not in tried)
            connection = next(
                (each for each in untried if self._is_offered(each, version)), None
            )
            if connection is None:
                return
            tried.append(connection)
            await self._fetch_from(connection, version)

    def _is_offered(self, connection: PeerConnection, version: int) -> bool:
        """Whether a peer has reported a version or a newer one, which may be usable."""
        state = connection.peer_state
        offered = None if state is None else state.configuration_version
        return (
            offered is not None
            and offered >= version
            and self._is_wanted(connection, version)
        )

    async def _fetch_from(self, connection: PeerConnection, version: int) -> None:
        """Ask a peer until it answers, or until it is time to ask others too."""
        if connection in self._asked:
            return
        asking = run_in_background(
            self._ask(connection, version),
            logger=logger,
            event="configuration_fetch_failed",
            config=version,
        )
        waiting = deferLater(self._reactor, NEXT_PEER_DELAY_S)
        await DeferredList(
            [asking, waiting], fireOnOneCallback=True, consumeErrors=True
        )
        if not waiting.called:
            waiting.cancel()

    async def _ask(self, connection: PeerConnection, version: int) -> None:
        """Ask a peer for its configuration, and apply it unless it is an older one."""
        self._asked.add(connection)
        try:
            await self._apply_from(connection, version)
        finally:
            self._asked.discard(connection)

    async def _apply_from(self, connection: PeerConnection, version: int) -> None:
        peer = connection.peer.instance_id
        sent_s = self._clock.monotonic_s()
        try:
            reply = await connection.call(
                GetConfiguration(accepts_compressed=True), timeout_s=FETCH_TIMEOUT_S
            )
        except NoOwnerError as error:
            self._record_failure(peer, version, error.message)
            return
        if not isinstance(reply, ConfigurationReply):
            # An instance that does not know the partition answers all calls so.
            self._record_failure(peer, version, f"answer is a {type(reply).__name__}")
            return
        try:
            value = _decompress(reply)
        except MalformedMessageError as error:
            self._record_failure(peer, version, error.message)
        else:
            self._metrics.count("configuration.fetched")
            self._watch.apply(value, source=peer, read_s=sent_s - reply.age_s)
        if self._is_newer(version):
            self._pause(peer, version)

    def _record_failure(self, peer: str, version: int, reason: str) -> None:
        self._metrics.count("configuration.fetch_failed")
        log_event(
            logger,
            "configuration_not_fetched",
            level=logging.WARNING,
            config=version,
            in_force=self._watch.table.version if self._watch.table else None,
            peer=peer,
            reason=reason,
        )

    def _pause(self, peer: str, version: int) -> None:
        now_s = self._clock.monotonic_s()
        self._paused_until_s = {
            key: until_s
            for key, until_s in self._paused_until_s.items()
            if until_s > now_s
        }
        self._paused_until_s[peer, version] = now_s + UNUSABLE_PAUSE_S

    def _check(self) -> None:
        """Report the version and the age of its last confirmation."""
        table = self._watch.table
        if table is None:
            return
        age_s = self._watch.age_s
        self._metrics.gauge("configuration.version", table.version)
        self._metrics.gauge("configuration.confirmed_age_s", round(age_s, 3))
        unconfirmed = not self.confirmed
        if unconfirmed != self._unconfirmed:
            self._unconfirmed = unconfirmed
            log_event(
                logger,
                "configuration_unconfirmed" if unconfirmed else "configuration_current",
                level=logging.WARNING if unconfirmed else logging.INFO,
                config=table.version,
                age_s=round(age_s, 3),
                limit_s=self._limit_s(),
                store_reached=self._watch.connected,
                peers=sum(1 for _ in self._connections()),
            )


def _decompress(reply: ConfigurationReply) -> bytes:
    """Return the stored bytes.

    :raises MalformedMessageError: if the reply has none, or none that can be read.
    """
    if reply.compressed is None:
        if reply.value is None:
            raise MalformedMessageError("value is too long for a frame")
        return reply.value
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(reply.compressed, DECOMPRESSED_LIMIT_BYTES)
    except zlib.error as error:
        raise MalformedMessageError(f"value cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise MalformedMessageError(
            f"value is truncated, or exceeds {DECOMPRESSED_LIMIT_BYTES} bytes"
        )
    return value
