"""One partition at an instance: a way to its owner, and the owner if it is here."""

import logging
from collections.abc import Callable
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
from .owner import AUTHORITY_S, Owner
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

__all__ = ["InstanceParts", "Partition"]

logger = logging.getLogger(__name__)

# Length of the workers' leases: covers a takeover, which takes about 2 s, twice.
LEASE_S = 4.5

# An instance leaves other partitions than its preferred one to their own instances for
# longer than a claim takes, and longer still with each that it owns already.
RELUCTANCE_S = 0.4


@dataclass(frozen=True, kw_only=True)
class InstanceContext:
    """What the partitions of an instance share.

    :param me: the instance's record.
    :param settings: returns the settings in force.
    :param table: returns the configuration in force, ``None`` before the first.
    :param draining: whether the instance is about to stop.
    :param partition_map: returns the map, ``None`` until it is known.
    :param directory_seen: called with the directory while there is no map.
    :param owned: returns the numbers of the partitions that are owned here.
    :param connect: returns a new connection about a partition.
    :param accepted: returns the open connections that other instances have made.
    """

    reactor: IReactorCore
    store: CoordinationStore
    translation: PlatformAdapter
    adviser: AdviserClient
    members: MemberRegistry
    clock: Clock
    metrics: Metrics
    me: OwnerRecord
    settings: Callable[[], NodeSettings]
    table: Callable[[], QueueTable | None]
    draining: Callable[[], bool]
    partition_map: Callable[[], PartitionMap | None]
    directory_seen: Callable[[dict[WorkerId, Worker]], None]
    owned: Callable[[], list[PartitionNumber]]
    connect: Callable[..., PeerConnection]
    accepted: Callable[[], list[PeerConnection]]


class Partition:
    """Follows the owner of a partition, and owns it if this instance has to."""

    def __init__(self, number: PartitionNumber, parts: InstanceContext):
        self.number = number
        self._parts = parts
        self._keys = PartitionKeys(number)
        self._owner: Owner | None = None
        self._directory: DirectoryWatch | None = None
        common = {"clock": parts.clock, "metrics": parts.metrics}
        reactor = parts.reactor
        self._desk = AdviceService(parts.adviser, peers=self._advisers, **common)
        self._link = OwnerLink(
            reactor,
            lambda **callbacks: parts.connect(number, **callbacks),
            parts.me.instance_id,
            on_died=lambda record: self.ownership.handle_owner_death(record),
            on_unreachable=lambda: self.ownership.check_store(),
        )
        self.ownership = Ownership(
            reactor,
            parts.store,
            keys=self._keys,
            me=parts.me,
            may_claim=lambda: parts.table() is not None,
            on_owner=self._owner_changed,
            on_claimed=self._claimed,
            on_lost=self._ownership_lost,
            fitness=parts.settings().owner_fitness,
            reluctance_s=self._reluctance_s,
            **common,
        )
        self._handover = HandoverMonitor(
            reactor,
            self.ownership,
            peers=self._peers,
            fitness=self._fitness,
            **common,
        )
        self.jobs = JobService(
            reactor,
            owner=self.current_owner,
            link=self._link,
            store_lost_s=lambda: self.ownership.store_lost_s,
            **common,
        )

    def start(self) -> None:
        """Begin to look for the owner."""
        self.ownership.start()

    async def release(self) -> None:
        """Let another instance own, and go on following the owner."""
        self.ownership.stop_claiming()
        if self.owned:
            await self._handover.hand_over()
        await self.ownership.release()

    @property
    def owned(self) -> bool:
        """Whether this instance owns the partition, ready or not."""
        return self._owner is not None

    @property
    def reachable(self) -> bool:
        """Whether there is an owner here or a connection to one."""
        return self.owned or self._link.connection is not None

    def current_owner(self) -> Owner | None:
        """Return the owner if it is here and ready."""
        owner = self._owner
        return owner if owner is not None and owner.ready else None

    # Which instance owns.

    def _preferred_by(self, instance_id: str) -> bool:
        partition_map = self._parts.partition_map()
        return (
            partition_map is None
            or partition_map.preferred_by(instance_id) == self.number
        )

    def _reluctance_s(self) -> float:
        others = sum(number != self.number for number in self._parts.owned())
        foreign = not self._preferred_by(self._parts.me.instance_id)
        return RELUCTANCE_S * (others + foreign)

    def _fitness(self) -> float:
        """Return how fit this instance is to own the partition beside earlier ones.

        Of several partitions the first counts as undisturbed, so that not all of them
        are handed over.
        """
        earlier = sum(number < self.number for number in self._parts.owned())
        return self._parts.settings().owner_fitness / (1 + earlier)

    def _peers(self) -> list[PeerConnection]:
        return [c for c in self._parts.accepted() if c.partition == self.number]

    def _advisers(self) -> list[PeerConnection]:
        """Return the instances that ask the adviser for this partition's owner."""
        return [c for c in self._peers() if self._preferred_by(c.peer.instance_id)]

    def _owner_changed(self, record: OwnerRecord | None) -> None:
        self._link.set_owner(record)
        if record is not None:
            self._parts.members.enter()

    def _claimed(self, fence: int, stopped: bool) -> None:
        self._handover.start()
        if self._owner is not None:
            self._owner.renew_fence(fence)
            return
        parts = self._parts
        settings = parts.settings()
        owner = Owner(
            parts.reactor,
            parts.store,
            parts.translation,
            clock=parts.clock,
            metrics=parts.metrics,
            keys=self._keys,
            fence=fence,
            commit_interval_s=self._commit_interval_s,
            terms=LeaseTerms(lease_s=min(LEASE_S, settings.lease_limit_ms / 1000)),
            keep_final_s=settings.keep_final_s,
            desk=self._desk,
            contact_s=lambda: self.ownership.contact_s,
            heard=self.ownership.record_contact,
            on_superseded=self.ownership.give_up,
            on_failed_call=self.ownership.record_failed_call,
            table=parts.table,
            directory=self._workers,
            authority_s=0.0 if stopped else AUTHORITY_S,
        )
        self._owner = owner
        self._directory = DirectoryWatch(
            parts.reactor,
            parts.store,
            parts.translation,
            on_seen=lambda worker: self._worker_seen(owner, worker),
            on_gone=lambda worker_id: (
                owner.ready and owner.mark_worker_unregistered(worker_id)
            ),
            clock=parts.clock,
            metrics=parts.metrics,
        )
        self._directory.start()
        parts.members.announce(self.number, fence)
        run_in_background(
            self._recover(owner, self._directory),
            logger=logger,
            event="owner_recovery_failed",
            on_failure=lambda: owner.handle_superseded("recovery_failed"),
        )

    def _commit_interval_s(self) -> float:
        partition_map = self._parts.partition_map()
        partitions = 1 if partition_map is None else partition_map.count
        settings = self._parts.settings()
        return commit_interval_s(partitions, settings.store_writes_per_s)

    def _workers(self) -> dict[WorkerId, Worker]:
        """Return the workers of the partition that the directory names."""
        if self._directory is None:
            return {}
        partition_map = self._parts.partition_map()
        return {
            worker_id: worker
            for worker_id, worker in self._directory.workers_by_id.items()
            if partition_map.of_worker(worker) == self.number
        }

    def _worker_seen(self, owner: Owner, worker: Worker) -> None:
        partition_map = self._parts.partition_map()
        if owner.ready and partition_map.of_worker(worker) == self.number:
            owner.update_worker(worker)

    async def _recover(self, owner: Owner, directory: DirectoryWatch) -> None:
        parts = self._parts
        while not directory.complete:
            await deferLater(parts.reactor, 0.01)
        while self._owner is owner and parts.partition_map() is None:
            parts.directory_seen(directory.workers_by_id)
            await deferLater(parts.reactor, 0.1)
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
                await deferLater(parts.reactor, 0.1)

    def _ownership_lost(self, reason: str) -> None:
        self._handover.stop()
        owner, self._owner = self._owner, None
        if owner is not None:
            owner.close()
        if self._directory is not None:
            self._directory.stop()
            self._directory = None

    def apply_table(self, table: QueueTable) -> None:
        """Put a version of the configuration in force."""
        owner = self.current_owner()
        if owner is not None:
            owner.set_table(table)

    # Calls of other instances.

    async def _can_own(self) -> bool:
        """Whether this instance could take over: it reaches the store and stays."""
        parts = self._parts
        if parts.draining() or parts.table() is None:
            return False
        try:
            await parts.store.get(self._keys.owner)
        except StoreUnavailableError:
            return False
        return True

    async def answer(self, message: Message) -> Message:
        """Answer another instance's call about the partition."""
        match message:
            case Advise():
                return await self._desk.answer(message)
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
                return Acknowledgement(await self.ownership.take_over(message.fence))
        owner = self.current_owner()
        if owner is None:
            return JobAnswer(JobOutcome.NOT_OWNER)
        return await self.jobs.answer(owner, message)
