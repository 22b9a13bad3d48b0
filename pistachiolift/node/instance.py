"""One instance: accepts callers' requests and can own partitions."""

import logging
import uuid
from collections.abc import Callable

from twisted.internet.defer import Deferred, DeferredList, ensureDeferred
from twisted.internet.interfaces import IListeningPort, IReactorCore
from twisted.internet.task import deferLater
from twisted.web.resource import IResource
from twisted.web.server import Site

from ..common import Clock, Metrics, log_event
from ..listener import HttpLimits, Listener, StreamingSite
from .configuration_exchange import ConfigurationExchange
from .interfaces import AdviserClient, CoordinationStore, PlatformAdapter, QueueTable
from .job_router import JobRouter
from .member_registry import MemberRegistry
from .operator_api import make_operator_api
from .ownership import OwnerRecord
from .partition import InstanceContext, Partition
from .partition_map import PartitionMap, PartitionNumber
from .partition_watch import PartitionWatch
from .peer_link import PeerConnection, PeerServer
from .peer_messages import (
    GetConfiguration,
    Hello,
    JobAnswer,
    JobOutcome,
    Message,
    PeerState,
)
from .settings import NodeSettings
from .store_watches import ConfigurationWatch

__all__ = ["NodeInstance"]

logger = logging.getLogger(__name__)

# Time for which an instance without a reachable owner still counts as ready.
READY_WITHOUT_OWNER_S = 4.0

# Longest time that a call waits for a configuration that another instance has.
CATCH_UP_LIMIT_S = 1.0

# Share of the time between SIGTERM and SIGKILL for which new connections are served,
# until the load balancer has noticed the drain. The rest is for requests in flight.
SERVE_SHARE = 0.5
EXIT_MARGIN_S = 0.5

HTTP_LIMITS = HttpLimits(
    body_bytes=1024 * 1024,
    small_body_bytes=1024 * 1024,
    buffered_bytes=32 * 1024 * 1024,
    idle_s=120.0,
    connections=2_000,
    # Callers of the platform expect 400 or 401 for a malformed Authorization header.
    oversized_head_status=400,
)


def _finish_s(settings: NodeSettings) -> float:
    """Return the seconds that requests in flight have at the end of a drain."""
    return max(0.5, settings.grace_s * (1 - SERVE_SHARE) - EXIT_MARGIN_S)


class NodeInstance:
    """Runs all components of an instance on one event loop.

    :param make_caller_api: returns the resource for callers.
    """

    def __init__(
        self,
        reactor: IReactorCore,
        settings: NodeSettings,
        *,
        clock: Clock,
        metrics: Metrics,
        store: CoordinationStore,
        adapter: PlatformAdapter,
        adviser: AdviserClient,
        make_caller_api: Callable[["NodeInstance"], IResource],
    ):
        self._reactor = reactor
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self._incarnation = uuid.uuid4().hex[:16]
        self.draining = False
        self.drained: Deferred[None] = Deferred()
        self._last_reachable_s = self._started_s = clock.monotonic_s()
        self._peers = PeerServer(self._accept_peer)
        self._peer_port: IListeningPort | None = None
        self._ready_port: IListeningPort | None = None
        own_record = OwnerRecord(
            instance_id=settings.instance_id,
            incarnation=self._incarnation,
            address=settings.peer_address,
        )
        members = MemberRegistry(
            reactor, store, own_record=own_record, metrics=metrics, make=self._connect
        )
        self._members = members
        self._configuration = ConfigurationWatch(
            reactor,
            store,
            adapter,
            on_table=self._apply_table,
            clock=clock,
            metrics=metrics,
        )
        self._exchange = ConfigurationExchange(
            reactor,
            watch=self._configuration,
            connections=self._open_connections,
            link_mbps=lambda: self.settings.link_mbps,
            limit_s=lambda: self.settings.configuration_limit_ms / 1000,
            clock=clock,
            metrics=metrics,
        )
        self._partition_watch = PartitionWatch(
            reactor,
            store,
            clock=clock,
            workers_per_partition=settings.workers_per_partition,
            on_map=self._track_partitions,
        )
        self._context = InstanceContext(
            reactor=reactor,
            store=store,
            translation=adapter,
            adviser=adviser,
            members=members,
            clock=clock,
            metrics=metrics,
            own_record=own_record,
            settings=lambda: self.settings,
            table=lambda: self.table,
            draining=lambda: self.draining,
            partition_map=lambda: self._partition_watch.map,
            plan_from_directory=self._partition_watch.plan_from_directory,
            owned_partitions=self._owned_partitions,
            connect=self._connect,
            accepted_connections=self._accepted_connections,
            catch_up=self.catch_up,
        )
        # The owner of the first partition writes the map of all partitions.
        self._partitions = [Partition(PartitionNumber(0), self._context)]
        self.jobs = JobRouter(
            partition_map=lambda: self._partition_watch.map,
            service=lambda number: self._partitions[number].jobs,
        )
        self._site = StreamingSite(
            make_caller_api(self), metrics=metrics, reactor=reactor, limits=HTTP_LIMITS
        )
        host, _, port = settings.caller_address.rpartition(":")
        self._listener = Listener(
            self._site,
            reactor=reactor,
            host=host,
            port=int(port),
            finish_timeout_s=_finish_s(settings),
        )

    @property
    def table(self) -> QueueTable | None:
        """The configuration in force, ``None`` before the first."""
        return self._configuration.table

    @property
    def configuration_confirmed(self) -> bool:
        """Whether the configuration cannot have been replaced for too long."""
        return self._exchange.confirmed

    @property
    def newest_configuration(self) -> int:
        """Newest version that this instance or one of its peers has; 0 for none."""
        return self._exchange.newest_version

    def catch_up(
        self, version: int, *, timeout_s: float = CATCH_UP_LIMIT_S
    ) -> "Deferred[bool]":
        """Wait until a version of the configuration, or a newer one, is in force.

        :param timeout_s: longest time to wait, in seconds.
        :returns: fires with whether it is in force.
        """
        limit_s = max(0.0, min(timeout_s, CATCH_UP_LIMIT_S))
        return self._exchange.catch_up(version, timeout_s=limit_s)

    # Start and graceful shutdown.

    def start(self) -> None:
        """Open all ports and start looking for the owners."""
        ready_host, _, ready_port = self.settings.ready_address.rpartition(":")
        self._ready_port = self._reactor.listenTCP(
            int(ready_port),
            Site(make_operator_api(self)),
            interface=ready_host,
        )
        peer_host, _, peer_port = self.settings.peer_address.rpartition(":")
        self._peer_port = self._reactor.listenTCP(
            int(peer_port), self._peers, interface=peer_host
        )
        self._listener.start()
        self._configuration.start()
        self._exchange.start()
        for partition in self._partitions:
            partition.start()
        self._partition_watch.start()
        self._members.register()
        log_event(
            logger,
            "instance_started",
            instance=self.settings.instance_id,
            zone=self.settings.zone,
            incarnation=self._incarnation,
        )

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply changed settings.

        The times of a drain apply at once, those of an owner with the next claim.
        """
        self.settings = settings
        self._listener.finish_timeout_s = _finish_s(settings)

    def start_drain(self) -> None:
        """Hand over owned partitions, finish requests in flight, and stop."""
        if self.draining:
            return
        self.draining = True
        log_event(logger, "instance_draining", owned=len(self._owned_partitions()))
        draining = ensureDeferred(self._drain())
        draining.addBoth(self._finish_drain)

    async def _drain(self) -> None:
        serve_until_s = self.clock.monotonic_s() + self.settings.grace_s * SERVE_SHARE
        await DeferredList(
            [ensureDeferred(partition.release()) for partition in self._partitions]
        )
        await deferLater(
            self._reactor, max(0.0, serve_until_s - self.clock.monotonic_s())
        )
        await self._listener.stop_accepting()
        await self._listener.finish_requests()

    def _finish_drain(self, result: object) -> None:
        log_event(logger, "instance_stopped", result=str(result)[:200])
        self.drained.callback(None)

    def not_ready(self) -> str:
        """Return why this instance must not receive callers, empty if it may."""
        if self.draining:
            return "draining"
        if self.table is None:
            return "no configuration"
        if self._partition_watch.map is None:
            return "no partition map"
        now_s = self.clock.monotonic_s()
        if any(partition.reachable for partition in self._partitions):
            self._last_reachable_s = now_s
        if now_s - self._last_reachable_s > READY_WITHOUT_OWNER_S:
            return "no owner"
        return ""

    @property
    def partitions(self) -> tuple[Partition, ...]:
        """The known partitions, in the order of their numbers."""
        return tuple(self._partitions)

    @property
    def open_requests(self) -> int:
        """Number of open connections of callers."""
        return len(self._site.channels)

    def known_instances(self) -> list[str]:
        """Return the names of this instance and of those connected to it, sorted."""
        names = {self.settings.instance_id}
        names |= {c.peer.instance_id for c in self._accepted_connections()}
        return sorted(names)

    # Partitions.

    def _track_partitions(self, partition_map: PartitionMap) -> None:
        """Start tracking the remaining partitions of the map."""
        for number in partition_map.numbers()[len(self._partitions) :]:
            partition = Partition(number, self._context)
            self._partitions.append(partition)
            partition.start()

    def _owned_partitions(self) -> list[PartitionNumber]:
        return [each.number for each in self._partitions if each.owned]

    def _apply_table(self, table: QueueTable) -> None:
        for partition in self._partitions:
            partition.apply_table(table)
        self._exchange.announce()

    # Peers.

    def _accepted_connections(self) -> list[PeerConnection]:
        return [c for c in self._peers.connections if c.open and c.peer is not None]

    def _open_connections(self) -> list[PeerConnection]:
        """Return the connections with other instances, opened by either side."""
        links = [partition.owner_connection for partition in self._partitions]
        return self._accepted_connections() + [c for c in links if c is not None]

    def _accept_peer(self) -> PeerConnection:
        return self._make_connection(
            PartitionNumber(0),
            outgoing=False,
            on_open=self._peers.connections.add,
            on_close=self._peers.connections.discard,
        )

    def _connect(self, partition: PartitionNumber, **callbacks) -> PeerConnection:
        return self._make_connection(partition, outgoing=True, **callbacks)

    def _make_connection(
        self, partition: PartitionNumber, *, outgoing: bool, **callbacks
    ) -> PeerConnection:
        return PeerConnection(
            self._reactor,
            hello=Hello(
                self.settings.instance_id,
                self._incarnation,
                self.settings.owner_fitness,
                partition,
            ),
            outgoing=outgoing,
            handler=self._answer_peer,
            metrics=self.metrics,
            state=self._peer_state,
            on_state=self._exchange.handle_state,
            **callbacks,
        )

    def _peer_state(self) -> PeerState:
        store_age_s = min(each.ownership.store_age_s for each in self._partitions)
        age_s = self.clock.monotonic_s() - self._started_s
        table = self.table
        return PeerState(
            round(store_age_s, 3),
            owned=len(self._owned_partitions()),
            age_s=round(age_s, 1),
            configuration_version=None if table is None else table.version,
            configuration_age_s=(
                0.0 if table is None else round(self._configuration.age_s, 3)
            ),
        )

    async def _answer_peer(
        self, connection: PeerConnection, message: Message
    ) -> Message | None:
        if isinstance(message, GetConfiguration):
            return self._exchange.answer(message)
        number = connection.partition
        if not 0 <= number < len(self._partitions):
            # This instance has not read the partition map yet.
            return JobAnswer(JobOutcome.NOT_OWNER)
        return await self._partitions[number].answer(message)
