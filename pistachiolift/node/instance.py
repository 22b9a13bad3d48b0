"""One instance: an entry for callers that can also become the owner."""

import logging
import uuid
from collections.abc import Callable

from klein import Klein
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.interfaces import IListeningPort, IReactorCore
from twisted.internet.task import deferLater
from twisted.web.server import Site

from ..common import Clock, Metrics, StoreUnavailableError, log_event
from ..listener import HttpLimits, Listener, StreamingSite
from .advice_desk import AdviceDesk
from .background import run_in_background
from .handover import HandoverMonitor
from .interfaces import AdviserClient, CoordinationStore, QueueTable, Translation
from .job_service import JobService
from .members import Members
from .metrics_text import render_metrics
from .owner import AUTHORITY_S, Owner
from .owner_link import OwnerLink
from .ownership import OWNER_KEY, OwnerRecord, Ownership
from .peer_link import PeerConnection, PeerServer
from .peer_messages import (
    Advise,
    Announce,
    Hello,
    JobAnswer,
    JobOutcome,
    Message,
    Noted,
    ProbeStore,
    TakeOver,
)
from .settings import NodeSettings
from .watching import ConfigurationWatch, DirectoryWatch
from .worker_driver import LeaseTerms

__all__ = ["NodeInstance"]

logger = logging.getLogger(__name__)

# Length of the workers' leases: covers a takeover, which takes about 2 s, twice.
LEASE_S = 4.5

# Time for which an instance still counts as ready after it has lost the owner.
READY_WITHOUT_OWNER_S = 4.0

# Of the time between SIGTERM and SIGKILL: connections are served for the first part
# while the balancer notices; the rest is for requests in flight.
SERVE_SHARE = 0.5
EXIT_MARGIN_S = 0.5

HTTP_LIMITS = HttpLimits(
    body_bytes=1024 * 1024,
    small_body_bytes=1024 * 1024,
    buffered_bytes=32 * 1024 * 1024,
    idle_s=120.0,
    connections=2_000,
)


def _finish_s(settings: NodeSettings) -> float:
    """Return the time that requests in flight have at the end of a drain."""
    return max(0.5, settings.grace_s * (1 - SERVE_SHARE) - EXIT_MARGIN_S)


class NodeInstance:
    """Runs all parts of an instance on one loop.

    :param make_caller_api: returns the klein application for callers.
    """

    def __init__(
        self,
        reactor: IReactorCore,
        settings: NodeSettings,
        *,
        clock: Clock,
        metrics: Metrics,
        store: CoordinationStore,
        translation: Translation,
        adviser: AdviserClient,
        make_caller_api: Callable[["NodeInstance"], Klein],
    ):
        self._reactor = reactor
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self._store = store
        self._translation = translation
        self._incarnation = uuid.uuid4().hex[:16]
        self.draining = False
        self.drained: Deferred[None] = Deferred()
        self._owner: Owner | None = None
        self._linked_s = clock.monotonic_s()
        self._peers = PeerServer(self._accept_peer)
        self._peer_port: IListeningPort | None = None
        self._ready_port: IListeningPort | None = None
        common = {"clock": clock, "metrics": metrics}
        self._desk = AdviceDesk(adviser, peers=self._open_peers, **common)
        me = OwnerRecord(
            instance_id=settings.instance_id,
            incarnation=self._incarnation,
            address=settings.peer_address,
        )
        self._members = Members(
            reactor, store, me=me, metrics=metrics, make=self._make_connection
        )
        self._link = OwnerLink(
            reactor,
            self._make_connection,
            settings.instance_id,
            on_died=lambda record: self._ownership.owner_died(record),
            on_unreachable=lambda: self._ownership.check_store(),
        )
        self.jobs = JobService(
            reactor,
            owner=self._current_owner,
            link=self._link,
            store_lost_s=lambda: self._ownership.store_lost_s,
            **common,
        )
        self._configuration = ConfigurationWatch(
            reactor, store, translation, on_table=self._table_changed, **common
        )
        self._directory: DirectoryWatch | None = None
        self._ownership = Ownership(
            reactor,
            store,
            me=me,
            may_claim=lambda: self._configuration.table is not None,
            on_owner=self._owner_changed,
            on_claimed=self._claimed,
            on_lost=self._ownership_lost,
            fitness=settings.owner_fitness,
            **common,
        )
        self._handover = HandoverMonitor(
            reactor,
            self._ownership,
            peers=self._open_peers,
            fitness=settings.owner_fitness,
            **common,
        )
        site = StreamingSite(
            make_caller_api(self), metrics=metrics, reactor=reactor, limits=HTTP_LIMITS
        )
        host, _, port = settings.caller_address.rpartition(":")
        self._listener = Listener(
            site,
            reactor=reactor,
            host=host,
            port=int(port),
            finish_s=_finish_s(settings),
        )

    @property
    def table(self) -> QueueTable | None:
        """The configuration in force, ``None`` before the first."""
        return self._configuration.table

    # Start and stop.

    def start(self) -> None:
        """Open all ports and begin to look for the owner."""
        ready_host, _, ready_port = self.settings.ready_address.rpartition(":")
        self._ready_port = self._reactor.listenTCP(
            int(ready_port), Site(self._status_app().resource()), interface=ready_host
        )
        peer_host, _, peer_port = self.settings.peer_address.rpartition(":")
        self._peer_port = self._reactor.listenTCP(
            int(peer_port), self._peers, interface=peer_host
        )
        self._listener.start()
        self._configuration.start()
        self._ownership.start()
        self._members.enter()
        self._handover.start()
        log_event(
            logger,
            "instance_started",
            instance=self.settings.instance_id,
            zone=self.settings.zone,
            incarnation=self._incarnation,
        )

    def apply_settings(self, settings: NodeSettings) -> None:
        """Use changed times: those of a drain now, others when it owns next."""
        self.settings = settings
        self._listener.finish_s = _finish_s(settings)

    def start_drain(self) -> None:
        """Hand the ownership over, finish what is in flight, and stop."""
        if self.draining:
            return
        self.draining = True
        log_event(logger, "instance_draining", owner=self._owner is not None)
        draining = ensureDeferred(self._drain())
        draining.addBoth(self._finish_drain)

    async def _drain(self) -> None:
        serve_until_s = self.clock.monotonic_s() + self.settings.grace_s * SERVE_SHARE
        await self._ownership.release()
        self._ownership.watch_again()
        await deferLater(
            self._reactor, max(0.0, serve_until_s - self.clock.monotonic_s())
        )
        await self._listener.stop_accepting()
        await self._listener.finish()

    def _finish_drain(self, result: object) -> None:
        log_event(logger, "instance_stopped", result=str(result)[:200])
        self.drained.callback(None)

    def _status_app(self) -> Klein:
        """Return the application for readiness checks and metrics."""
        app = Klein()

        @app.route("/metrics")
        def metrics(request):
            request.setHeader("Content-Type", "text/plain; version=0.0.4")
            return render_metrics(self.metrics)

        @app.route("/", branch=True)
        def ready(request):
            reason = self._not_ready()
            if reason:
                request.setResponseCode(503)
                return reason
            return b""

        return app

    def _not_ready(self) -> str:
        if self.draining:
            return "draining"
        if self.table is None:
            return "no configuration"
        now_s = self.clock.monotonic_s()
        if self._owner is not None or self._link.connection is not None:
            self._linked_s = now_s
        if now_s - self._linked_s > READY_WITHOUT_OWNER_S:
            return "no owner"
        return ""

    # Ownership.

    def _current_owner(self) -> Owner | None:
        owner = self._owner
        return owner if owner is not None and owner.ready else None

    def _owner_changed(self, record: OwnerRecord | None) -> None:
        self._link.set_owner(record)
        if record is not None:
            self._members.enter()

    def _claimed(self, fence: int, stopped: bool) -> None:
        if self._owner is not None:
            self._owner.claimed_again(fence)
            return
        owner = Owner(
            self._reactor,
            self._store,
            self._translation,
            clock=self.clock,
            metrics=self.metrics,
            fence=fence,
            terms=LeaseTerms(lease_s=min(LEASE_S, self.settings.lease_limit_ms / 1000)),
            keep_final_s=self.settings.keep_final_s,
            desk=self._desk,
            contact_s=lambda: self._ownership.contact_s,
            heard=self._ownership.heard,
            on_superseded=self._ownership.superseded,
            on_failed_call=self._ownership.call_failed,
            directory=lambda: self._directory.workers_by_id if self._directory else {},
            authority_s=0.0 if stopped else AUTHORITY_S,
        )
        self._owner = owner
        self._directory = DirectoryWatch(
            self._reactor,
            self._store,
            self._translation,
            on_seen=lambda worker: owner.ready and owner.worker_seen(worker),
            on_gone=lambda worker_id: (
                owner.ready and owner.worker_unregistered(worker_id)
            ),
            clock=self.clock,
            metrics=self.metrics,
        )
        self._directory.start()
        self._members.announce(fence)
        run_in_background(
            self._recover(owner, self._directory),
            logger=logger,
            event="owner_recovery_failed",
            on_failure=lambda: owner.superseded("recovery_failed"),
        )

    async def _recover(self, owner: Owner, directory: DirectoryWatch) -> None:
        while not directory.complete:
            await deferLater(self._reactor, 0.01)
        while self._owner is owner and not owner.ready:
            try:
                await owner.recover(self.table, directory.workers_by_id)
            except StoreUnavailableError as error:
                log_event(logger, "ledger_read_failed", reason=error.message)
                await deferLater(self._reactor, 0.1)

    def _ownership_lost(self, reason: str) -> None:
        owner, self._owner = self._owner, None
        if owner is not None:
            owner.close()
        if self._directory is not None:
            self._directory.stop()
            self._directory = None

    def _table_changed(self, table: QueueTable) -> None:
        if self._owner is not None and self._owner.ready:
            self._owner.set_table(table)

    # Peers.

    def _open_peers(self) -> list[PeerConnection]:
        return [c for c in self._peers.connections if c.open and c.peer is not None]

    def _accept_peer(self) -> PeerConnection:
        return self._make_connection(
            on_open=self._peers.connections.add,
            on_close=self._peers.connections.discard,
        )

    def _make_connection(self, **callbacks) -> PeerConnection:
        return PeerConnection(
            self._reactor,
            hello=Hello(
                self.settings.instance_id,
                self._incarnation,
                self.settings.owner_fitness,
            ),
            handler=self._answer_peer,
            metrics=self.metrics,
            store_age_s=lambda: self._ownership.store_age_s,
            **callbacks,
        )

    async def _can_own(self) -> bool:
        """Whether this instance could take over: it reaches the store and stays."""
        if self.draining or self.table is None:
            return False
        try:
            await self._store.get(OWNER_KEY)
        except StoreUnavailableError:
            return False
        return True

    async def _answer_peer(
        self, connection: PeerConnection, message: Message
    ) -> Message | None:
        match message:
            case Advise():
                return await self._desk.answer(message)
            case Announce():
                record = OwnerRecord(
                    instance_id=message.instance_id,
                    incarnation=message.incarnation,
                    address=message.address,
                )
                self._ownership.announced(record, message.fence)
                return Noted()
            case ProbeStore():
                return Noted(await self._can_own())
            case TakeOver():
                return Noted(await self._ownership.take_over(message.fence))
        owner = self._current_owner()
        if owner is None:
            return JobAnswer(JobOutcome.NOT_OWNER)
        return await self.jobs.answer(owner, message)
