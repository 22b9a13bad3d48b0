"""Decision core of partition ownership."""

from functools import singledispatchmethod
from math import inf

from ..common import DataCentreId, Epoch, InstanceId, PartitionId
from . import events as ev
from .actions import (
    DrainCompleted,
    ListInstances,
    OwnershipAction,
    ReadRecord,
    RefusalReason,
    RefusePromise,
    SendPromise,
)
from .claim_policy import ClaimPolicy
from .directory import DirectoryView
from .fleet import FleetView
from .machine import ACTIVE_OWNER_PHASES, OWNER_PHASES, OwnershipPhase
from .owner_policy import OwnerPolicy
from .partition import InstanceLease, PartitionState
from .record import PartitionRecord
from .record_manager import RecordManager
from .timings import OwnershipTimings

__all__ = ["OwnershipCore"]


class OwnershipCore:
    """Decides which partitions this instance owns; it does no I/O.

    ``now_s`` is always a reading of the instance's monotonic clock, in seconds. The
    clock must continue while the process is paused.

    :param self_id: identity of this process; not reused after a restart.
    :param data_centre: data centre of this instance.
    :param timings: timing constants; all instances must use the same ones.
    """

    state_class = PartitionState
    claim_policy_class = ClaimPolicy
    directory_class = DirectoryView

    def __init__(
        self,
        self_id: InstanceId,
        data_centre: DataCentreId,
        *,
        timings: OwnershipTimings | None = None,
    ):
        self.self_id = self_id
        self.data_centre = data_centre
        self.timings = timings or OwnershipTimings()
        self.fleet = FleetView(self_id, self.timings)
        self.directory = self.directory_class(self_id, self.timings)
        self.partitions: dict[PartitionId, PartitionState] = {}
        self.lease: InstanceLease | None = None
        self.draining = False
        self._drain_end_s = inf
        self._drain_reported = False
        self._last_contact_s = -inf
        self._next_list_s = -inf
        self._last_request_id = 0
        self._actions: list[OwnershipAction] = []
        self.records = RecordManager(self)
        # Bound once, because binding a singledispatchmethod for each event costs as
        # much as handling the event.
        self._handle_event = self._handle
        self._claim_policy = self.claim_policy_class(self)
        self._owner_policy = OwnerPolicy(self)

    def on_event(self, event: ev.OwnershipEvent, now_s: float) -> list[OwnershipAction]:
        """Process one event.

        :param now_s: clock reading at the time of processing, in seconds.
        :returns: the actions to carry out, in order.
        """
        self._handle_event(event, now_s)
        self._claim_policy.discard_plan()
        for state in list(self.partitions.values()):
            if not state.needs_no_review(self.fleet):
                self._review(state, now_s)
        self._emit_drain_completed(now_s)
        actions, self._actions = self._actions, []
        return actions

    def may_decide(self, partition_id: PartitionId, now_s: float) -> bool:
        """Return whether this instance has authority over a partition at ``now_s``.

        Authority is counted from before the renewal or promise request was sent. The
        result is therefore correct after a pause of any length, even before any event
        is processed. Commands issued after this check must expire ``start_before_s``
        after ``now_s``.

        :param now_s: clock reading, in seconds.
        """
        state = self.partitions.get(partition_id)
        return (
            state is not None
            and state.phase is OwnershipPhase.DECIDING
            and (
                now_s < state.lease_authority_end_s(self.lease)
                or (
                    now_s < state.promise_authority_end_s()
                    and now_s
                    < self.directory.promise_reliance_end_s(state.last_renewal_s)
                )
            )
        )

    def epoch(self, partition_id: PartitionId) -> Epoch:
        """Return the epoch for commands of a partition that this instance owns."""
        return self.partitions[partition_id].decided_epoch

    def record(self, partition_id: PartitionId) -> PartitionRecord | None:
        """Return the last record seen, for routing; ``None`` if there is none."""
        state = self.partitions.get(partition_id)
        return None if state is None else state.record

    def phase(self, partition_id: PartitionId) -> OwnershipPhase:
        """Return the phase of a partition at this instance, for status pages."""
        return self.partitions[partition_id].phase

    def owned_partitions(self) -> list[PartitionId]:
        """Return the partitions whose last record seen names this instance."""
        return [i for i, each in self.partitions.items() if each.owner == self.self_id]

    @singledispatchmethod
    def _handle(self, event, now_s):
        raise TypeError(f"event is {event!r}; it must be an OwnershipEvent")

    @_handle.register(ev.Tick)
    @_handle.register(ev.LeaseRenewalFailed)
    def _(self, event, now_s):
        """Do nothing: the review after each event handles all that is due."""

    @_handle.register
    def _(self, event: ev.PartitionsConfigured, now_s):
        configured = event.data_centres_by_partition
        for partition_id, data_centre in configured.items():
            state = self.partitions.get(partition_id)
            if state is None:
                state = self.state_class(
                    partition_id, data_centre, self.emit, self.timings
                )
                # A record that was seen before the partition was configured has been
                # ignored.
                state.must_read = True
                state.next_read_s = now_s + self.timings.renew_interval_s
                self.partitions[partition_id] = state
            state.data_centre = data_centre
            state.removed = False
        for partition_id in self.partitions.keys() - configured.keys():
            self.partitions[partition_id].removed = True

    @_handle.register
    def _(self, event: ev.LeaseRenewed, now_s):
        self._last_contact_s = max(self._last_contact_s, event.sent_at_s)
        order = (event.key_version, event.sent_at_s)
        if self.lease and order < (self.lease.key_version, self.lease.sent_at_s):
            return
        self.lease = InstanceLease(
            event.lease_id,
            event.key_version,
            event.sent_at_s,
            self.lease_end_s(event, now_s),
        )
        for state in self.partitions.values():
            self.records.record_renewal(state)

    @_handle.register
    def _(self, event: ev.LeaseLost, now_s):
        if self.lease is not None and self.lease.lease_id == event.lease_id:
            self.lease = None

    @_handle.register
    def _(self, event: ev.StoreContact, now_s):
        self._last_contact_s = max(self._last_contact_s, event.at_s)

    @_handle.register(ev.RecordSeen)
    @_handle.register(ev.RecordWriteSucceeded)
    def _(self, event, now_s):
        state = self.partitions.get(event.partition_id)
        if state is not None:
            self.records.adopt(state, event.record, event.version, now_s)

    @_handle.register
    def _(self, event: ev.RecordWriteFailed, now_s):
        state = self.partitions.get(event.partition_id)
        if state is None or event.expected_version != state.version:
            return
        for write in state.pending:
            write.has_failed = True
        state.must_read = True
        if event.failure is ev.WriteFailure.CONFLICT:
            state.outdated = True

    @_handle.register
    def _(self, event: ev.InstancesSeen, now_s):
        self.fleet.replace(
            event.data_centres_by_instance, event.version, now_s, event.asked_at_s
        )

    @_handle.register
    def _(self, event: ev.InstanceLeaseGone, now_s):
        self.fleet.remove(event.instance_id, event.version, now_s)

    @_handle.register
    def _(self, event: ev.InstancesLeaving, now_s):
        self.fleet.leaving = event.instance_ids

    @_handle.register
    def _(self, event: ev.DirectorySeen, now_s):
        if not self.directory.is_not_older(event.at_s):
            return
        continued = self.directory.update(event.entry_ids, event.at_s, now_s)
        for state in self.partitions.values():
            if state.all_absent_since_s is not None:
                self._claim_policy.record_directory_absences(
                    state, event.at_s, now_s, continued
                )

    @_handle.register
    def _(self, event: ev.PromiseRequested, now_s):
        state = self.partitions.get(event.partition_id)
        answer = {
            "to_id": event.from_id,
            "partition_id": event.partition_id,
            "request_id": event.request_id,
        }
        reason = self._refusal_reason(state, event, now_s)
        if reason is not None:
            self.emit(RefusePromise(reason=reason, **answer))
            return
        duration_s = self.timings.promise_s
        state.promise_given_until_s = max(
            state.promise_given_until_s, now_s + duration_s
        )
        self.emit(SendPromise(duration_s=duration_s, **answer))

    @_handle.register
    def _(self, event: ev.PromiseReceived, now_s):
        state = self.partitions.get(event.partition_id)
        request = (event.from_id, event.request_id)
        if state is None or request not in state.promise_requests_sent_s:
            return
        duration_s = min(event.duration_s, self.timings.promise_s)
        until_s = state.promise_requests_sent_s[request] + duration_s
        until_s -= self.timings.margin_s(duration_s)
        known_s = state.promises_received_until_s.get(event.from_id, -inf)
        state.promises_received_until_s[event.from_id] = max(known_s, until_s)

    @_handle.register
    def _(self, event: ev.PartitionRecovered, now_s):
        state = self.partitions.get(event.partition_id)
        if state is not None and state.recovery_epoch == event.epoch:
            state.recovered = True
            if event.confirmed:
                state.wait_until_s = -inf

    @_handle.register
    def _(self, event: ev.HandOverReceived, now_s):
        state = self.partitions.get(event.partition_id)
        if state is None:
            return
        self.records.adopt(state, event.record, event.version, now_s, handed_over=True)
        recovering = state.phase is OwnershipPhase.RECOVERING
        if recovering and state.version == event.version:
            state.recovered = True
            state.wait_until_s = -inf

    @_handle.register
    def _(self, event: ev.DrainStarted, now_s):
        if not self.draining:
            self.draining = True
            self._drain_end_s = now_s + self.timings.min_drain_s

    def _refusal_reason(
        self, state: PartitionState | None, event: ev.PromiseRequested, now_s: float
    ) -> RefusalReason | None:
        """Return why a promise must be refused, or ``None`` if it may be given."""
        if state is None:
            return RefusalReason.UNKNOWN_PARTITION
        if state.owner != event.from_id and state.epoch >= event.epoch:
            return RefusalReason.SUPERSEDED
        if self.write_blocks_promise(state):
            return RefusalReason.WRITE_PENDING
        absent_since_s = state.owner_absent_since_s
        if (
            absent_since_s is not None
            and now_s - absent_since_s > self.timings.isolation_grace_s
            and self._is_store_reachable(now_s)
        ):
            return RefusalReason.OWNER_ISOLATED
        return None

    def _review(self, state: PartitionState, now_s: float) -> None:
        if (
            state.must_read
            and now_s >= state.next_read_s
            and self._is_store_reachable(now_s)
        ):
            state.next_read_s = now_s + self.timings.write_retry_s
            self.emit(ReadRecord(partition_id=state.partition_id))
        if state.phase in ACTIVE_OWNER_PHASES:
            self._owner_policy.review(state, now_s)
        elif state.phase is OwnershipPhase.HANDING_OVER:
            self._owner_policy.continue_hand_over(state, now_s)
        elif state.removed:
            del self.partitions[state.partition_id]
        else:
            self._claim_policy.review(state, now_s)

    def _is_store_reachable(self, now_s: float) -> bool:
        return now_s - self._last_contact_s < self.timings.store_contact_max_age_s

    def _emit_drain_completed(self, now_s: float) -> None:
        if now_s < self._drain_end_s or self._drain_reported:
            return
        states = self.partitions.values()
        if not any(each.phase in OWNER_PHASES or each.pending for each in states):
            self._drain_reported = True
            self.emit(DrainCompleted())

    # Methods for the policies, and the rules on which safety depends

    def emit(self, action: OwnershipAction) -> None:
        """Add an action to the result of the current event."""
        self._actions.append(action)

    def new_request_id(self) -> int:
        """Return a new number that identifies a promise request."""
        self._last_request_id += 1
        return self._last_request_id

    def request_instance_list(self, now_s: float) -> None:
        """Request a new list of the instances, at a limited rate."""
        if now_s >= self._next_list_s:
            self._next_list_s = now_s + self.timings.write_retry_s
            self.emit(ListInstances())

    def is_lease_valid(self, now_s: float) -> bool:
        """Return whether this instance certainly still has its lease."""
        return self.lease is not None and now_s < self.lease.valid_until_s

    def is_renewal_recent(self, now_s: float) -> bool:
        """Return whether the last renewal is recent, so the store is available."""
        return (
            self.is_lease_valid(now_s)
            and now_s - self.lease.sent_at_s <= self.timings.renewal_late_s
        )

    def lease_end_s(self, event: ev.LeaseRenewed, now_s: float) -> float:
        """Return the end of the lease, counted from before the renewal was sent."""
        return event.sent_at_s + event.ttl_s - self.timings.margin_s(event.ttl_s)

    def takeover_wait_s(self, state: PartitionState) -> float:
        """Return how long commands of earlier owners may still start, in seconds."""
        return 0.0 if state.epoch == 1 else self.timings.takeover_wait_s

    def promise_blocks_claim(self, state: PartitionState, now_s: float) -> bool:
        """Return whether a promise prevents this instance from claiming a partition."""
        return now_s < state.promise_given_until_s

    def write_blocks_promise(self, state: PartitionState) -> bool:
        """Return whether a takeover by this instance may still take effect.

        A write whose answer was lost can take effect later, while the promise is in
        force. It cannot take effect any more once the version of the record has
        increased.
        """
        return bool(state.pending)
