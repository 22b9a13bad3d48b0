"""All partitions that an instance owns or recovers."""

import logging
from collections.abc import Callable, Iterable

from ..backends import DirectoryEntry
from ..common import (
    Epoch,
    InstanceId,
    PartitionId,
    UpstreamId,
    WorkerId,
    log_event,
)
from ..peers import (
    AttemptEnded,
    BorrowSlots,
    CancelRequest,
    HandOver,
    HomeCall,
    NotOwner,
    PartitionLoad,
    PartitionState,
    PeerMessage,
    ReturnSlots,
    SlotsLent,
    SubmitRequest,
)
from .home_calls import HomeCalls
from .home_partition import HomeContext, HomePartition
from .partition_map import PartitionMap
from .recovery import Recovery

__all__ = ["HomeService"]

logger = logging.getLogger(__name__)


class HomeService:
    """Creates, recovers and closes home partitions and passes messages to them.

    :param live_entries: returns the entry instances with a lease.
    :param on_recovered: called when a recovery has finished, with the partition, the
        epoch and whether the recovery is confirmed.
    """

    def __init__(
        self,
        context: HomeContext,
        partition_map: PartitionMap,
        *,
        live_entries: Callable[[], Iterable[InstanceId]],
        on_recovered: Callable[[PartitionId, Epoch, bool], None],
    ):
        self._context = context
        self._map = partition_map
        self._live_entries = live_entries
        self._on_recovered = on_recovered
        self._homes_by_id: dict[PartitionId, HomePartition] = {}
        self._hand_overs_by_id: dict[PartitionId, HandOver] = {}
        self._recoveries_by_id: dict[PartitionId, Recovery] = {}
        self._upstreams_by_id: dict[UpstreamId, DirectoryEntry] = {}
        self._workers_by_id: dict[WorkerId, DirectoryEntry] = {}
        self._calls = HomeCalls(context.self_id, context.send)

    @property
    def homes(self) -> list[HomePartition]:
        """Partitions for which this instance makes decisions or has suspended them."""
        return list(self._homes_by_id.values())

    def home(self, partition_id: PartitionId) -> HomePartition | None:
        """Return a partition that this instance owns, or ``None``."""
        return self._homes_by_id.get(partition_id)

    def close(self) -> None:
        """Close all partitions."""
        for recovery in self._recoveries_by_id.values():
            recovery.stop()
        for partition_id in list(self._homes_by_id):
            self._close_home(partition_id)

    # Authority

    def start_recovery(self, partition_id: PartitionId, epoch: Epoch) -> None:
        """Start to collect what earlier owners of a partition have issued."""
        self._stop_recovery(partition_id)
        home = self._open_home(partition_id, epoch)

        def on_done(confirmed: bool) -> None:
            self._on_recovered(partition_id, epoch, confirmed)

        recovery = Recovery(
            self._context.reactor,
            home,
            self_id=self._context.self_id,
            live_entries=self._live_entries,
            send=self._context.send,
            on_done=on_done,
        )
        self._recoveries_by_id[partition_id] = recovery
        recovery.start()

    def _stop_recovery(self, partition_id: PartitionId) -> None:
        recovery = self._recoveries_by_id.pop(partition_id, None)
        if recovery is not None:
            recovery.stop()
            recovery.home.__exit__()

    def _open_home(self, partition_id: PartitionId, epoch: Epoch) -> HomePartition:
        home = HomePartition(self._context, partition_id=partition_id, epoch=epoch)
        home.__enter__()
        return home

    def begin_authority(self, partition_id: PartitionId, epoch: Epoch) -> None:
        """Start decisions for a partition, or resume them for a suspended one."""
        recovery = self._recoveries_by_id.pop(partition_id, None)
        if recovery is not None:
            recovery.stop()
            self._close_home(partition_id)
            self._homes_by_id[partition_id] = recovery.home
        elif partition_id not in self._homes_by_id:
            self._homes_by_id[partition_id] = self._open_home(partition_id, epoch)
        self.change_epoch(partition_id, epoch)
        home = self._homes_by_id[partition_id]
        handed_over = self._hand_overs_by_id.pop(partition_id, None)
        if handed_over is not None:
            home.restore_finished_requests(handed_over.finished)
        home.load_intents()
        for upstream in self._upstreams_by_id.values():
            self._update_upstream(home, upstream)
        if recovery is not None and epoch > 1:
            home.upstreams.look_for_lent(self._upstreams_of_others(partition_id))
        home.jobs.sync_workers(self._workers_of(partition_id))
        home.resume()

    def change_epoch(self, partition_id: PartitionId, epoch: Epoch) -> None:
        """Use a new epoch in later grants."""
        home = self._homes_by_id.get(partition_id)
        if home is not None:
            home.change_epoch(epoch)

    def end_authority(self, partition_id: PartitionId, *, suspend: bool) -> None:
        """Stop decisions for a partition.

        :param suspend: keep the state, because no other owner has taken over yet.
        """
        self._stop_recovery(partition_id)
        if not suspend:
            self._close_home(partition_id)

    def _close_home(self, partition_id: PartitionId) -> None:
        home = self._homes_by_id.pop(partition_id, None)
        if home is not None:
            home.__exit__()

    def build_hand_over(self, partition_id: PartitionId) -> HandOver | None:
        """Return the hand-over message with the state for the next owner."""
        home = self._homes_by_id.get(partition_id)
        if home is None:
            return None
        return HandOver(
            sender=self._context.self_id,
            partition_id=partition_id,
            epoch=home.epoch,
            held=[],
            finished=home.finished_requests(),
        )

    def record_hand_over(self, message: HandOver) -> None:
        """Store the previous owner's finished requests until authority begins."""
        self._hand_overs_by_id[message.partition_id] = message

    # Messages

    def handle(self, message: PeerMessage) -> bool:
        """Handle a message to the owner of a partition.

        :returns: whether the message has a type that owners handle.
        """
        match message:
            case SubmitRequest():
                self._pass_to_home(message, message.request.request_id, "submit")
            case AttemptEnded():
                self._pass_to_home(message, message.request_id, "attempt_ended")
            case CancelRequest():
                self._pass_to_home(message, message.request_id, "cancel")
            case BorrowSlots():
                self._pass_to_home(message, message.loan_id, "lend")
            case SlotsLent():
                self._pass_to_lending(message.partition_id, "accept_loan", message)
            case ReturnSlots():
                self._pass_to_lending(message.partition_id, "release_loan", message)
            case HomeCall():
                self._pass_to_home(message, message.call_id, "call")
            case PartitionState():
                recovery = self._recoveries_by_id.get(message.partition_id)
                if recovery is not None:
                    recovery.record_answer(message)
            case _:
                return False
        return True

    def _pass_to_home(self, message: PeerMessage, reference: str, method: str) -> None:
        home = self._homes_by_id.get(message.partition_id)
        if home is not None and home.has_authority:
            if method == "call":
                self._calls.handle(home, message)
            elif method == "lend":
                home.lending.lend(message)
            else:
                getattr(home, method)(message)
            return
        self._context.metrics.count("home.not_owner")
        ownership = self._map.ownership(message.partition_id)
        self._context.send(
            message.sender,
            NotOwner(
                sender=self._context.self_id,
                partition_id=message.partition_id,
                reference=reference,
                owner=ownership.owner if ownership else InstanceId(""),
                epoch=ownership.epoch if ownership else Epoch(0),
            ),
        )

    def _pass_to_lending(
        self, partition_id: PartitionId, method: str, message: PeerMessage
    ) -> None:
        home = self._homes_by_id.get(partition_id)
        if home is not None:
            getattr(home.lending, method)(message)

    def loads_changed(self) -> None:
        """Borrow slots for waiting requests after new loads were recorded."""
        for home in self.homes:
            if len(home.requests.queue) and home.has_authority:
                home.lending.update()

    @property
    def has_unexpired_loans(self) -> bool:
        """Whether an attempt may still start on a slot of any loan."""
        return any(home.lending.has_unexpired_loans for home in self.homes)

    def entry_lost(self, entry_id: InstanceId) -> None:
        """Handle the loss of an entry instance."""
        log_event(logger, "entry_lost", instance=entry_id)
        for home in self.homes:
            home.entry_lost(entry_id)

    # Upstreams

    def upstreams_changed(
        self, changed: list[DirectoryEntry], removed: list[UpstreamId]
    ) -> None:
        """Apply changes of the upstreams in the directory."""
        for entry in changed:
            self._upstreams_by_id[UpstreamId(entry.id)] = entry
        for upstream_id in removed:
            self._upstreams_by_id.pop(upstream_id, None)
        for home in self._all_homes():
            for entry in changed:
                self._update_upstream(home, entry)
            for upstream_id in removed:
                home.upstreams.remove(upstream_id, gone=True)
            home.grant_free_slots()

    def workers_changed(
        self, changed: list[DirectoryEntry], removed: list[WorkerId]
    ) -> None:
        """Apply changes of the workers in the directory."""
        for entry in changed:
            self._workers_by_id[WorkerId(entry.id)] = entry
        for worker_id in removed:
            self._workers_by_id.pop(worker_id, None)
        for home in self._all_homes():
            for entry in changed:
                self._update_worker(home, entry)
            for worker_id in removed:
                home.jobs.remove_worker(worker_id)

    def _update_worker(self, home: HomePartition, entry: DirectoryEntry) -> None:
        partition = self._map.member_partition(entry.data_centre, entry.id)
        if partition == home.partition_id:
            home.jobs.update_worker(entry)
        else:
            home.jobs.remove_worker(WorkerId(entry.id))

    def _workers_of(self, partition_id: PartitionId) -> dict[WorkerId, DirectoryEntry]:
        return {
            worker_id: entry
            for worker_id, entry in self._workers_by_id.items()
            if self._map.member_partition(entry.data_centre, entry.id) == partition_id
        }

    def _all_homes(self) -> list[HomePartition]:
        return self.homes + [r.home for r in self._recoveries_by_id.values()]

    def settings_changed(self) -> None:
        """Apply changed settings to the queued requests."""
        for home in self.homes:
            home.requests.settings_changed()

    def reconfigure(self) -> None:
        """Assign upstreams and workers again after the partitions have changed."""
        self.upstreams_changed(list(self._upstreams_by_id.values()), [])
        self.workers_changed(list(self._workers_by_id.values()), [])

    def _update_upstream(self, home: HomePartition, entry: DirectoryEntry) -> None:
        partition = self._map.member_partition(entry.data_centre, entry.id)
        if partition == home.partition_id:
            home.upstreams.update_upstream(entry)
        else:
            home.upstreams.remove(UpstreamId(entry.id))

    def _upstreams_of_others(self, partition_id: PartitionId) -> list[DirectoryEntry]:
        return [
            entry
            for entry in self._upstreams_by_id.values()
            if self._map.member_partition(entry.data_centre, entry.id) != partition_id
        ]

    def partition_loads(self) -> list[PartitionLoad]:
        """Return the load of each partition, for heartbeats."""
        now_s = self._context.clock.monotonic_s()
        return [
            PartitionLoad(
                home.partition_id,
                home.epoch,
                home.requests.pool.free_slots(now_s),
                len(home.requests.queue),
            )
            for home in self.homes
            if home.has_authority
        ]
