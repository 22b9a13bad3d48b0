"""A partition as seen by one instance: the link to its owner, or the owner itself."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from twisted.internet.interfaces import IReactorCore
from twisted.internet.task import deferLater

from ..common import Clock, Metrics, StoreUnavailableError, WorkerId, log_event
from ..workflows import Worker
from .advice_service import AdviceService
from .background import run_in_background
from .handover import HandoverMonitor
from .interfaces import AdviserClient, CoordinationStore, PlatformAdapter, QueueTable
from .job_service import JobService
from .ledger import commit_interval_s
from .member_registry import MemberRegistry
from .owner import Owner
from .owner_link import OwnerLink
from .ownership import OwnerRecord, Ownership
from .partition_map import PartitionKeys, PartitionMap, PartitionNumber
from .peer_link import PeerConnection
from .peer_messages import (
    Acknowledgement,
    Advise,
    Announce,
    JobAnswer,
    JobOutcome,
    Message,
    ProbeStore,
    TakeOver,
)
from .settings import NodeSettings
from .store_watches import DirectoryWatch
from .worker_driver import LeaseTerms

__all__ = ["InstanceContext", "Partition"]

logger = logging.getLogger(__name__)

# Length of the workers' leases: covers two takeovers, of about 2 s each.
LEASE_S = 4.5

# Delay before an instance claims a partition that it does not prefer, so that the
# preferring instance claims first: longer than a claim takes, and added once more for
# each other partition that the instance owns already.
EXTRA_CLAIM_DELAY_S = 0.4


@dataclass(frozen=True, kw_only=True)
class InstanceContext:
    """Dependencies that the partitions of an instance share.

    :param own_record: the instance's record.
    :param settings: returns the settings in force.
    :param table: returns the configuration in force, ``None`` before the first.
    :param draining: returns whether the instance is about to stop.
    :param partition_map: returns the map, ``None`` until it is known.
    :param plan_from_directory: called with the worker directory while there is no map.
    :param owned_partitions: returns the numbers of the partitions owned here.
    :param connect: returns a new connection for calls about a partition.
    :param accepted_connections: returns the open connections made by other instances.
    :param catch_up: waits for a time until a version of the configuration, or a newer
        one, is in force.
    """

    reactor: IReactorCore
    store: CoordinationStore
    translation: PlatformAdapter
    adviser: AdviserClient
    members: MemberRegistry
    clock: Clock
    metrics: Metrics
    own_record: OwnerRecord
    settings: Callable[[], NodeSettings]
    table: Callable[[], QueueTable | None]
    draining: Callable[[], bool]
    partition_map: Callable[[], PartitionMap | None]
    plan_from_directory: Callable[[dict[WorkerId, Worker]], None]
    owned_partitions: Callable[[], list[PartitionNumber]]
    connect: Callable[..., PeerConnection]
    accepted_connections: Callable[[], list[PeerConnection]]
    catch_up: Callable[[int], Awaitable[bool]]


class Partition:
    """Tracks the owner of a partition, and owns it while this instance holds the claim.

    :param number: number of the partition.
    """

    def __init__(self, number: PartitionNumber, context: InstanceContext):
        self.number = number
        self._context = context
        self._keys = PartitionKeys(number)
        self._owner: Owner | None = None
        self._directory: DirectoryWatch | None = None
        common = {"clock": context.clock, "metrics": context.metrics}
        reactor = context.reactor
        self._advice_service = AdviceService(
            context.adviser, peers=self._advising_peers, **common
        )
        self._link = OwnerLink(
            reactor,
            lambda **callbacks: context.connect(number, **callbacks),
            context.own_record.instance_id,
            on_died=lambda *args: self.ownership.handle_owner_death(*args),
            on_unreachable=lambda: self.ownership.check_store(),
        )
        self.ownership = Ownership(
            reactor,
            context.store,
            keys=self._keys,
            own_record=context.own_record,
            may_claim=lambda: context.table() is not None,
            on_owner=self._handle_owner_change,
            on_claimed=self._become_owner,
            on_lost=self._close_owner,
            fitness=context.settings().owner_fitness,
            extra_claim_delay_s=self._extra_claim_delay_s,
            **common,
        )
        self._handover = HandoverMonitor(
            reactor,
            self.ownership,
            peers=self._peers,
            fitness=self._fitness,
            recovering=lambda: self._owner is not None and not self._owner.ready,
            **common,
        )
        self.jobs = JobService(
            reactor,
            owner=self.current_owner,
            link=self._link,
            store_lost_s=lambda: self.ownership.store_lost_s,
            catch_up=context.catch_up,
            **common,
        )

    def start(self) -> None:
        """Start looking for the owner."""
        self.ownership.start()

    async def release(self) -> None:
        """Release the ownership before a stop, and keep tracking the owner."""
        self.ownership.stop_claiming()
        if self.owned:
            await self._handover.hand_over()
        await self.ownership.release()

    @property
    def owned(self) -> bool:
        """Whether this instance owns the partition, even if it is still recovering."""
        return self._owner is not None

    @property
    def reachable(self) -> bool:
        """Whether the owner is here or connected."""
        return self.owned or self._link.connection is not None

    @property
    def owner_connection(self) -> PeerConnection | None:
        """The open connection to the owner, ``None`` if there is none."""
        return self._link.connection

    def current_owner(self) -> Owner | None:
        """Return the owner if it runs here and has recovered."""
        owner = self._owner
        return owner if owner is not None and owner.ready else None

    # Choice of the owning instance.

    def _preferred_by(self, instance_id: str) -> bool:
        partition_map = self._context.partition_map()
        return (
            partition_map is None
            or partition_map.preferred_by(instance_id) == self.number
        )

    def _extra_claim_delay_s(self) -> float:
        others = sum(
            number != self.number for number in self._context.owned_partitions()
        )
        foreign = not self._preferred_by(self._context.own_record.instance_id)
        return EXTRA_CLAIM_DELAY_S * (others + foreign)

    def _fitness(self) -> float:
        """Return how fit this instance is to own the partition, 0 to 1.

        Only owned partitions with a lower number reduce the fitness, so that an
        instance that owns several does not hand all of them over.
        """
        earlier = sum(
            number < self.number for number in self._context.owned_partitions()
        )
        return self._context.settings().owner_fitness / (1 + earlier)

    def _peers(self) -> list[PeerConnection]:
        return [
            c
            for c in self._context.accepted_connections()
            if c.partition == self.number
        ]

    def _advising_peers(self) -> list[PeerConnection]:
        """Return the peers that call the adviser for this partition's owner."""
        return [c for c in self._peers() if self._preferred_by(c.peer.instance_id)]

    def _handle_owner_change(self, record: OwnerRecord | None) -> None:
        self._link.set_owner(record)
        if record is not None:
            self._context.members.register()

    def _become_owner(self, fence: int, authority_s: float) -> None:
        self._handover.start()
        if self._owner is not None:
            self._owner.renew_fence(fence)
            return
        context = self._context
        settings = context.settings()
        limit_s = settings.lease_limit_ms / 1000
        owner = Owner(
            context.reactor,
            context.store,
            context.translation,
            clock=context.clock,
            metrics=context.metrics,
            keys=self._keys,
            fence=fence,
            commit_interval_s=self._commit_interval_s,
            terms=LeaseTerms(lease_s=min(LEASE_S, limit_s), limit_s=limit_s),
            keep_final_s=settings.keep_final_s,
            advice_service=self._advice_service,
            last_contact_s=lambda: self.ownership.last_contact_s,
            lease_left_s=lambda: self.ownership.lease_left_s,
            record_contact=self.ownership.record_contact,
            on_superseded=self.ownership.give_up,
            on_failed_call=self.ownership.record_failed_call,
            table=context.table,
            directory=self._workers,
            authority_s=authority_s,
            partitions=self._partition_count,
        )
        self._owner = owner
        self._directory = DirectoryWatch(
            context.reactor,
            context.store,
            context.translation,
            on_worker_changed=lambda worker: self._worker_seen(owner, worker),
            on_worker_removed=lambda worker_id: (
                owner.ready and owner.mark_worker_unregistered(worker_id)
            ),
            clock=context.clock,
            metrics=context.metrics,
        )
        self._directory.start()
        context.members.announce(self.number, fence)
        run_in_background(
            self._recover(owner, self._directory),
            logger=logger,
            event="owner_recovery_failed",
            on_failure=lambda: owner.handle_superseded("recovery_failed"),
        )

    def _partition_count(self) -> int:
        partition_map = self._context.partition_map()
        return 1 if partition_map is None else partition_map.count

    def _commit_interval_s(self) -> float:
        settings = self._context.settings()
        return commit_interval_s(self._partition_count(), settings.store_writes_per_s)

    def _workers(self) -> dict[WorkerId, Worker]:
        """Return the partition's workers that are in the directory."""
        if self._directory is None:
            return {}
        partition_map = self._context.partition_map()
        return {
            worker_id: worker
            for worker_id, worker in self._directory.workers_by_id.items()
            if partition_map.of_worker(worker) == self.number
        }

    def _worker_seen(self, owner: Owner, worker: Worker) -> None:
        partition_map = self._context.partition_map()
        if owner.ready and partition_map.of_worker(worker) == self.number:
            owner.update_worker(worker)

    async def _recover(self, owner: Owner, directory: DirectoryWatch) -> None:
        context = self._context
        while not directory.complete:
            await deferLater(context.reactor, 0.01)
        while self._owner is owner and context.partition_map() is None:
            context.plan_from_directory(directory.workers_by_id)
            await deferLater(context.reactor, 0.1)
        while self._owner is owner and not owner.ready:
            try:
                await owner.recover()
            except StoreUnavailableError as error:
                log_event(
                    logger,
                    "ledger_read_failed",
                    partition=self.number,
                    reason=error.message,
                )
                await deferLater(context.reactor, 0.1)

    def _close_owner(self, reason: str) -> None:
        self._handover.stop()
        owner, self._owner = self._owner, None
        if owner is not None:
            owner.close()
        if self._directory is not None:
            self._directory.stop()
            self._directory = None

    def apply_table(self, table: QueueTable) -> None:
        """Apply a version of the configuration."""
        owner = self.current_owner()
        if owner is not None:
            owner.set_table(table)

    # Calls from other instances.

    async def _can_own(self) -> bool:
        """Whether this instance is not draining and reaches the store."""
        context = self._context
        if context.draining() or context.table() is None:
            return False
        try:
            await context.store.get(self._keys.owner)
        except StoreUnavailableError:
            return False
        return True

    async def answer(self, message: Message) -> Message:
        """Answer another instance's call about the partition."""
        match message:
            case Advise():
                return await self._advice_service.answer(message)
            case Announce():
                record = OwnerRecord(
                    instance_id=message.instance_id,
                    incarnation=message.incarnation,
                    address=message.address,
                )
                self.ownership.record_announcement(record, message.fence)
                return Acknowledgement()
            case ProbeStore():
                return Acknowledgement(await self._can_own())
            case TakeOver():
                taken = await self.ownership.take_over(
                    message.fence, message.authority_s
                )
                return Acknowledgement(taken)
        owner = self.current_owner()
        if owner is None:
            return JobAnswer(JobOutcome.NOT_OWNER)
        return await self.jobs.answer(owner, message)
