"""An entry instance: all components of a ``serve`` process."""

import logging
import random
from contextlib import AsyncExitStack

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorCore
from twisted.internet.task import LoopingCall, deferLater

from ..backends import (
    DirectoryEntry,
    EtcdStore,
    HttpInstanceDirectory,
    HttpUpstreamClient,
    HttpWorkerClient,
    InstanceRole,
    InstanceState,
)
from ..common import (
    Clock,
    Epoch,
    InstanceId,
    MalformedMessageError,
    Metrics,
    PartitionId,
    SystemClock,
    UpstreamId,
    WorkerId,
    log_event,
    new_process_identity,
    platform_instance_id,
)
from ..home import (
    AuthorityListener,
    HomeContext,
    HomeService,
    LoadTable,
    OwnershipDriver,
    PartitionMap,
    StoreListener,
    StoreSession,
)
from ..listener import Listener, StreamingSite, klein_resource
from ..ownership import (
    DirectorySeen,
    InstancesLeaving,
    OwnershipCore,
    OwnershipEvent,
    PartitionRecovered,
    PartitionsConfigured,
)
from ..peers import (
    HandOver,
    Heartbeat,
    OwnershipNotice,
    PeerMessage,
    PeerNetwork,
    SettingsOffer,
)
from ..settings import SettingsOperations, SettingsRepository, SettingsView
from .caller_api import CallerApi
from .config import InstanceConfig
from .directory_poller import DirectoryListener, DirectoryPoller
from .dispatcher import Dispatcher
from .liveness import HEARTBEAT_FANOUT, LivenessTracker
from .operator_api import OperatorApi
from .operator_calls import OperatorCalls
from .policies import SettingsJobQuotas, SettingsPolicies
from .request_service import RequestService
from .settings_sync import SettingsSync

__all__ = ["Instance"]

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 1.0
LIVENESS_INTERVAL_S = 0.5
METRICS_INTERVAL_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.1


class Instance(StoreListener, AuthorityListener, DirectoryListener):
    """Creates and connects the components of an entry instance.

    As an asynchronous context manager it starts all components and closes them.

    :param config: addresses and identity.
    """

    def __init__(
        self,
        reactor: IReactorCore,
        config: InstanceConfig,
        *,
        clock: Clock | None = None,
    ):
        self._reactor = reactor
        self.config = config
        self.identity = new_process_identity(config.instance_id)
        self.clock = clock or SystemClock()
        self.metrics = Metrics(address=config.statsd)
        self.draining = False
        self.drained: Deferred[None] = Deferred()
        self._draining_peers: set[InstanceId] = set()
        self._partitions_released = False
        self._rng = random.Random()
        self._stack = AsyncExitStack()
        self._build_platform()
        self._build_settings()
        self._build_home()
        self._build_requests()
        self._build_listeners()

    def _build_platform(self) -> None:
        config = self.config
        self._store = EtcdStore(self._reactor, config.store_url)
        self._upstreams = HttpUpstreamClient(self._reactor)
        self._workers = HttpWorkerClient(self._reactor)
        self.network = PeerNetwork(
            self._reactor,
            self_id=self.identity,
            listen_address=config.peer_address,
            secret=config.peer_secret,
            metrics=self.metrics,
            on_message=self._handle_message,
        )
        self.directory = DirectoryPoller(
            self._reactor,
            HttpInstanceDirectory(self._reactor, config.directory_url),
            clock=self.clock,
            metrics=self.metrics,
            listener=self,
        )

    def _build_settings(self) -> None:
        self.settings = SettingsView(metrics=self.metrics)
        self.settings.add_listener(self._settings_changed)
        self.settings_operations = SettingsOperations(
            self.settings,
            SettingsRepository(
                self._store,
                clock=self.clock,
                sleep=lambda interval_s: deferLater(self._reactor, interval_s),
                rng=self._rng,
                metrics=self.metrics,
            ),
            clock=self.clock,
        )
        self._settings_sync = SettingsSync(
            self._reactor,
            self._store,
            self.settings,
            self_id=self.identity,
            metrics=self.metrics,
            send=self.network.send,
        )

    def _build_home(self) -> None:
        config = self.config
        self.partition_map = PartitionMap()
        self._loads = LoadTable(self.clock)
        self.session = StoreSession(
            self._reactor,
            self._store,
            clock=self.clock,
            self_id=self.identity,
            data_centre=config.data_centre,
            metrics=self.metrics,
            listener=self,
        )
        self.ownership = OwnershipDriver(
            self._reactor,
            OwnershipCore(self.identity, config.data_centre),
            self._store,
            clock=self.clock,
            self_id=self.identity,
            metrics=self.metrics,
            listener=self,
        )
        context = HomeContext(
            reactor=self._reactor,
            clock=self.clock,
            store=self._store,
            upstreams=self._upstreams,
            workers=self._workers,
            metrics=self.metrics,
            policies=SettingsPolicies(self.settings),
            partitions=lambda: list(self.partition_map.data_centre_by_partition),
            job_quotas=SettingsJobQuotas(self.settings),
            rng=self._rng,
            self_id=self.identity,
            send=self.network.send,
            may_decide=self.ownership.may_decide,
            dedup_window_s=self._dedup_window_s,
            loads=self._loads,
        )
        self.homes = HomeService(
            context,
            self.partition_map,
            live_entries=self._recovery_entries,
            on_recovered=self._recovered,
        )
        self._liveness = LivenessTracker(
            clock=self.clock, on_lost=self.homes.entry_lost
        )

    def _recovery_entries(self) -> set[InstanceId]:
        """Return the entry instances that may hold grants of an earlier owner.

        Leases alone are not sufficient: after a store outage all of them have expired.

        :returns: the platform's identifiers.
        """
        listed = self._listed_entries()
        live = {platform_instance_id(each) for each in self.session.live_instances}
        lost = {platform_instance_id(each) for each in self._liveness.lost}
        return live | (listed - lost)

    def _listed_entries(self) -> frozenset[InstanceId]:
        return frozenset(
            entry.id
            for entry in self.directory.entries_by_id.values()
            if entry.role is InstanceRole.ENTRY
        )

    def _dedup_window_s(self) -> float:
        return self.settings.tree.cell().dedup_window_s

    def _build_requests(self) -> None:
        self.requests = RequestService(
            self._reactor,
            clock=self.clock,
            self_id=self.identity,
            partition_map=self.partition_map,
            dispatcher=Dispatcher(
                self._upstreams, clock=self.clock, metrics=self.metrics
            ),
            metrics=self.metrics,
            send=self.network.send,
            dedup_window_s=self._dedup_window_s,
        )

    def _build_listeners(self) -> None:
        config = self.config
        self.calls = OperatorCalls(
            self._reactor,
            self_id=self.identity,
            partition_map=self.partition_map,
            send=self.network.send,
        )
        self._caller_api = CallerApi(
            clock=self.clock,
            settings=self.settings,
            partition_map=self.partition_map,
            requests=self.requests,
            calls=self.calls,
            metrics=self.metrics,
            is_draining=lambda: self.draining,
        )
        self._operator_api = OperatorApi(self)
        self._caller_listener = self._listener(self._caller_api.app, config.caller_port)
        self._operator_listener = self._listener(
            self._operator_api.app, config.operator_port, finish_timeout_s=1.0
        )

    def _listener(
        self, app, port: int, *, finish_timeout_s: float | None = None
    ) -> Listener:
        site = StreamingSite(
            klein_resource(app), metrics=self.metrics, reactor=self._reactor
        )
        return Listener(
            site,
            reactor=self._reactor,
            host=self.config.host,
            port=port,
            key_file=self.config.key_file,
            certificate_file=self.config.certificate_file,
            finish_timeout_s=finish_timeout_s,
        )

    async def __aenter__(self) -> "Instance":
        for component in (
            self.network,
            self._settings_sync,
            self.ownership,
            self.session,
            self.directory,
            self.requests,
        ):
            self._stack.enter_context(component)
        self._stack.callback(self.homes.close)
        for listener in (self._caller_listener, self._operator_listener):
            listener.start()
        self._start_loops()
        log_event(
            logger,
            "instance_started",
            instance=self.identity,
            data_centre=self.config.data_centre,
        )
        return self

    def _start_loops(self) -> None:
        for interval_s, function in (
            (HEARTBEAT_INTERVAL_S, self._send_heartbeats),
            (METRICS_INTERVAL_S, self.metrics.flush),
            (LIVENESS_INTERVAL_S, self._check_liveness),
        ):
            loop = LoopingCall(function)
            loop.clock = self._reactor
            loop.start(interval_s, now=False)
            self._stack.callback(loop.stop)

    async def __aexit__(self, *exc_info: object) -> None:
        await self._caller_listener.stop_accepting()
        await self._operator_listener.stop_accepting()
        await self._operator_listener.finish_requests()
        await self._stack.aclose()
        await self._upstreams.close()
        await self._workers.close()
        await self._store.close()

    def _check_liveness(self) -> None:
        self._liveness.check(set(self.session.live_instances))

    # Draining

    def start_drain(self) -> None:
        """Start a graceful shutdown.

        The instance accepts no new requests, finishes those in flight, hands its
        partitions over and releases its lease; ``drained`` fires at the end.
        """
        if not self.draining:
            self.draining = True
            log_event(logger, "drain_started", instance=self.identity)
            # Instances that drain at the same time must not hand partitions over to
            # each other.
            self._send_heartbeats()
            ensureDeferred(self._drain()).addErrback(self._log_failure)

    async def _drain(self) -> None:
        await deferLater(self._reactor, self.config.drain_grace_s)
        await self._caller_listener.stop_accepting()
        while not self.requests.is_idle:
            await deferLater(self._reactor, DRAIN_POLL_INTERVAL_S)
        await self._caller_listener.finish_requests()
        while self.homes.has_unexpired_loans:
            await deferLater(self._reactor, DRAIN_POLL_INTERVAL_S)
        self.ownership.start_drain()
        while not self._partitions_released:
            await deferLater(self._reactor, DRAIN_POLL_INTERVAL_S)
        await self.session.release_lease()
        log_event(logger, "drain_completed", instance=self.identity)
        self.drained.callback(None)

    def drain_completed(self) -> None:
        """See :meth:`AuthorityListener.drain_completed`."""
        self._partitions_released = True

    def _log_failure(self, failure) -> None:
        log_event(
            logger,
            "instance_task_failed",
            level=logging.ERROR,
            error=failure.getErrorMessage(),
            traceback=failure.getTraceback(),
        )

    # Peers

    def _send_heartbeats(self) -> None:
        heartbeat = Heartbeat(
            sender=self.identity,
            data_centre=self.config.data_centre,
            revision=self.settings.revision,
            draining=self.draining,
            loads=self.homes.partition_loads(),
        )
        self._loads.record_loads(self.identity, heartbeat.loads)
        self.homes.loads_changed()
        peers = self.network.peer_ids
        for peer_id in self._rng.sample(peers, min(HEARTBEAT_FANOUT, len(peers))):
            self.network.send(peer_id, heartbeat)

    def _handle_message(self, message: PeerMessage) -> None:
        self._liveness.record_contact(message.sender)
        if self.homes.handle(message) or self.requests.handle(message):
            return
        if self.calls.handle(message):
            return
        match message:
            case Heartbeat():
                self._handle_heartbeat(message)
            case SettingsOffer():
                self._settings_sync.handle(message)
            case OwnershipNotice():
                self._handle_notice(message)
            case HandOver():
                self.homes.record_hand_over(message)

    def _handle_heartbeat(self, message: Heartbeat) -> None:
        self._settings_sync.record_peer_revision(message.sender, message.revision)
        for load in message.loads:
            self._learn_owner(load.partition_id, message.sender, load.epoch)
        loads = [] if message.draining else message.loads
        self._loads.record_loads(message.sender, loads)
        self.homes.loads_changed()
        if message.draining and message.sender not in self._draining_peers:
            self._draining_peers.add(message.sender)
            self._report_leaving_instances()

    def _report_leaving_instances(self) -> None:
        """Report all instances that are known to be leaving to the ownership core."""
        listed = {
            entry.id
            for entry in self.directory.entries_by_id.values()
            if entry.state is InstanceState.LEAVING
        }
        live = self.session.live_instances
        self._draining_peers.intersection_update(live)
        leaving = {each for each in live if platform_instance_id(each) in listed}
        event = InstancesLeaving(instance_ids=frozenset(leaving | self._draining_peers))
        self.ownership.handle(event)

    def _handle_notice(self, message: OwnershipNotice) -> None:
        try:
            self.ownership.handle_notice(message.sender, message.payload)
        except MalformedMessageError as error:
            self.metrics.count(f"refusal.{error.code.value}")

    def _learn_owner(
        self, partition_id: PartitionId, owner: InstanceId, epoch: Epoch
    ) -> None:
        if self.partition_map.record_owner(partition_id, owner, epoch):
            self.requests.owner_changed(partition_id)

    # StoreListener

    def handle_ownership_event(self, event: OwnershipEvent) -> None:
        """See :meth:`StoreListener.handle_ownership_event`."""
        self.ownership.handle(event)

    def handle_instance_lost(self, instance_id: InstanceId) -> None:
        """See :meth:`StoreListener.handle_instance_lost`."""
        if instance_id != self.identity:
            self._liveness.record_lease_loss(instance_id)

    # AuthorityListener

    def recovery_started(self, partition_id: PartitionId, epoch: Epoch) -> None:
        """See :meth:`AuthorityListener.recovery_started`."""
        self.homes.start_recovery(partition_id, epoch)

    def _recovered(
        self, partition_id: PartitionId, epoch: Epoch, confirmed: bool
    ) -> None:
        self.ownership.handle(
            PartitionRecovered(
                partition_id=partition_id, epoch=epoch, confirmed=confirmed
            )
        )

    def authority_began(self, partition_id: PartitionId, epoch: Epoch) -> None:
        """See :meth:`AuthorityListener.authority_began`."""
        self.homes.begin_authority(partition_id, epoch)
        self._learn_owner(partition_id, self.identity, epoch)

    def epoch_changed(self, partition_id: PartitionId, epoch: Epoch) -> None:
        """See :meth:`AuthorityListener.epoch_changed`."""
        self.homes.change_epoch(partition_id, epoch)

    def authority_ended(self, partition_id: PartitionId, reason: str) -> None:
        """See :meth:`AuthorityListener.authority_ended`."""
        suspend = reason == "authority_expired"
        self.homes.end_authority(partition_id, suspend=suspend)

    def owner_seen(
        self, partition_id: PartitionId, owner: InstanceId | None, epoch: Epoch
    ) -> None:
        """See :meth:`AuthorityListener.owner_seen`."""
        self._learn_owner(partition_id, owner or InstanceId(""), epoch)

    def hand_over(
        self, to_id: InstanceId, partition_id: PartitionId, notice: bytes
    ) -> None:
        """See :meth:`AuthorityListener.hand_over`."""
        state = self.homes.build_hand_over(partition_id)
        if state is not None:
            self.network.send(to_id, state)
        self.send_notice(to_id, notice)

    def send_notice(self, to_id: InstanceId, notice: bytes) -> None:
        """See :meth:`AuthorityListener.send_notice`."""
        message = OwnershipNotice(sender=self.identity, payload=notice)
        self.network.send(to_id, message)

    # DirectoryListener

    def directory_polled(self, asked_at_s: float) -> None:
        """See :meth:`DirectoryListener.directory_polled`."""
        event = DirectorySeen(entry_ids=self._listed_entries(), at_s=asked_at_s)
        self.ownership.handle(event)

    def directory_changed(
        self, changed: list[DirectoryEntry], removed: list[InstanceId]
    ) -> None:
        """See :meth:`DirectoryListener.directory_changed`."""
        by_role: dict[InstanceRole, list[DirectoryEntry]] = {
            r: [] for r in InstanceRole
        }
        for entry in changed:
            by_role[entry.role].append(entry)
        self._update_peers(by_role[InstanceRole.ENTRY], removed)
        self.homes.upstreams_changed(
            by_role[InstanceRole.UPSTREAM], [UpstreamId(i) for i in removed]
        )
        self.homes.workers_changed(
            by_role[InstanceRole.WORKER], [WorkerId(i) for i in removed]
        )

    def _update_peers(
        self, changed: list[DirectoryEntry], removed: list[InstanceId]
    ) -> None:
        for entry in changed:
            if entry.id != self.config.instance_id:
                self.network.connect(entry.id, entry.address)
        for instance_id in removed:
            self.network.disconnect(instance_id)
        if any(entry.state is InstanceState.LEAVING for entry in changed):
            self._report_leaving_instances()

    # Settings

    def _settings_changed(self, tree) -> None:
        data_centres = tree.resolve("", "data_centres").value
        cell = tree.cell()
        before = self.partition_map.data_centre_by_partition
        self.partition_map.configure(data_centres, cell.partitions_per_data_centre)
        after = self.partition_map.data_centre_by_partition
        self.homes.settings_changed()
        if before != after:
            self.ownership.handle(
                PartitionsConfigured(data_centres_by_partition=dict(after))
            )
            self.homes.reconfigure()
