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

    :param live_entries: called for the entry instances with a lease.
    :param recovered: called when a recovery has finished, with partition, epoch and
        whether it is confirmed.
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
        self._recovered = on_recovered
        self._homes_by_id: dict[PartitionId, HomePartition] = {}
        self._handed_over_by_id: dict[PartitionId, HandOver] = {}
        self._recoveries_by_id: dict[PartitionId, Recovery] = {}
        self._upstreams_by_id: dict[UpstreamId, DirectoryEntry] = {}
        self._workers_by_id: dict[WorkerId, DirectoryEntry] = {}
        self._calls = HomeCalls(context.self_id, context.send)

    @property
    def homes(self) -> list[HomePartition]:
        """Partitions that this instance decides about or has suspended."""
        return list(self._homes_by_id.values())

    def home(self, partition_id: PartitionId) -> HomePartition | None:
        """Return a partition that this instance decides about."""
        return self._homes_by_id.get(partition_id)

    def close(self) -> None:
        """Close all partitions."""
        for recovery in self._recoveries_by_id.values():
            recovery.stop()
        for partition_id in list(self._homes_by_id):
            self._close_home(partition_id)

    # Authority

    def start_recovery(self, partition_id: PartitionId, epoch: Epoch) -> None:
        """Collect what earlier owners have issued."""
        self._stop_recovery(partition_id)
        home = self._open_home(partition_id, epoch)

        def done(confirmed: bool) -> None:
            self._recovered(partition_id, epoch, confirmed)

        recovery = Recovery(
            self._context.reactor,
            home,
            self_id=self._context.self_id,
            live_entries=self._live_entries,
            send=self._context.send,
            on_done=done,
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
        """Decide about a partition; a suspended one goes on."""
        recovery = self._recoveries_by_id.pop(partition_id, None)
        if recovery is not None:
            recovery.stop()
            self._close_home(partition_id)
            self._homes_by_id[partition_id] = recovery.home
        elif partition_id not in self._homes_by_id:
            self._homes_by_id[partition_id] = self._open_home(partition_id, epoch)
        self.change_epoch(partition_id, epoch)
        home = self._homes_by_id[partition_id]
        handed_over = self._handed_over_by_id.pop(partition_id, None)
        if handed_over is not None:
            home.restore_finished_requests(handed_over.finished)
        home.load_intents()
        for upstream in self._upstreams_by_id.values():
            self._apply_upstream(home, upstream)
        home.jobs.sync_workers(self._workers_of(partition_id))
        home.resume()

    def change_epoch(self, partition_id: PartitionId, epoch: Epoch) -> None:
        """Use a new epoch in later grants."""
        home = self._homes_by_id.get(partition_id)
        if home is not None:
            home.change_epoch(epoch)

    def end_authority(self, partition_id: PartitionId, *, suspend: bool) -> None:
        """Stop deciding about a partition.

        :param suspend: keep the state, because nobody else has taken over yet.
        """
        self._stop_recovery(partition_id)
        if not suspend:
            self._close_home(partition_id)

    def _close_home(self, partition_id: PartitionId) -> None:
        home = self._homes_by_id.pop(partition_id, None)
        if home is not None:
            home.__exit__()

    def build_hand_over(self, partition_id: PartitionId) -> HandOver | None:
        """Return the state that the next owner needs."""
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
        """Keep what the previous owner finished until authority begins."""
        self._handed_over_by_id[message.partition_id] = message

    # Messages

    def handle(self, message: PeerMessage) -> bool:
        """Take a message for a home.

        :returns: whether the message is one for a home.
        """
        match message:
            case SubmitRequest():
                self._with_home(message, message.request.request_id, "submit")
            case AttemptEnded():
                self._with_home(message, message.request_id, "attempt_ended")
            case CancelRequest():
                self._with_home(message, message.request_id, "cancel")
            case BorrowSlots():
                self._with_home(message, message.loan_id, "lend")
            case SlotsLent():
                self._with_lending(message.partition_id, "take_loan", message)
            case ReturnSlots():
                self._with_lending(message.partition_id, "take_back", message)
            case HomeCall():
                self._with_home(message, message.call_id, "call")
            case PartitionState():
                recovery = self._recoveries_by_id.get(message.partition_id)
                if recovery is not None:
                    recovery.record_answer(message)
            case _:
                return False
        return True

    def _with_home(self, message: PeerMessage, reference: str, method: str) -> None:
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

    def _with_lending(
        self, partition_id: PartitionId, method: str, message: PeerMessage
    ) -> None:
        home = self._homes_by_id.get(partition_id)
        if home is not None:
            getattr(home.lending, method)(message)

    def loads_changed(self) -> None:
        """Borrow slots where requests wait, now that new loads are known."""
        for home in self.homes:
            if len(home.requests.queue) and home.has_authority:
                home.lending.update()

    @property
    def has_unexpired_loans(self) -> bool:
        """Whether an attempt may still start on a slot that was lent."""
        return any(home.lending.has_unexpired_loans for home in self.homes)

    def entry_lost(self, entry_id: InstanceId) -> None:
        """Take note that an entry instance has gone."""
        log_event(logger, "entry_lost", instance=entry_id)
        for home in self.homes:
            home.entry_lost(entry_id)

    # Upstreams

    def upstreams_changed(
        self, changed: list[DirectoryEntry], removed: list[UpstreamId]
    ) -> None:
        """Take changes of the directory."""
        for entry in changed:
            self._upstreams_by_id[UpstreamId(entry.id)] = entry
        for upstream_id in removed:
            self._upstreams_by_id.pop(upstream_id, None)
        for home in self._all_homes():
            for entry in changed:
                self._apply_upstream(home, entry)
            for upstream_id in removed:
                home.upstreams.remove(upstream_id)
            home.grant_free_slots()

    def workers_changed(
        self, changed: list[DirectoryEntry], removed: list[WorkerId]
    ) -> None:
        """Take changes of the directory."""
        for entry in changed:
            self._workers_by_id[WorkerId(entry.id)] = entry
        for worker_id in removed:
            self._workers_by_id.pop(worker_id, None)
        for home in self._all_homes():
            for entry in changed:
                self._apply_worker(home, entry)
            for worker_id in removed:
                home.jobs.remove_worker(worker_id)

    def _apply_worker(self, home: HomePartition, entry: DirectoryEntry) -> None:
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
        """Apply changed settings to what is queued."""
        for home in self.homes:
            home.requests.settings_changed()

    def reconfigure(self) -> None:
        """Assign upstreams and workers again after the partitions have changed."""
        self.upstreams_changed(list(self._upstreams_by_id.values()), [])
        self.workers_changed(list(self._workers_by_id.values()), [])

    def _apply_upstream(self, home: HomePartition, entry: DirectoryEntry) -> None:
        partition = self._map.member_partition(entry.data_centre, entry.id)
        if partition == home.partition_id:
            home.upstreams.update_upstream(entry)
        else:
            home.upstreams.remove(UpstreamId(entry.id))

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
