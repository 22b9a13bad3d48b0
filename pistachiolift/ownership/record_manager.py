"""Updates partition records from the store and writes them."""

from math import inf

from .actions import WriteRecord
from .machine import OWNER_PHASES, OwnershipPhase
from .partition import PartitionState, PendingWrite
from .record import PartitionRecord

__all__ = ["RecordManager"]


class RecordManager:
    """Keeps the record of each partition up to date with the store.

    :param core: the ownership core, which holds the lease and collects the actions.
    """

    def __init__(self, core):
        self._core = core

    def adopt(
        self,
        state: PartitionState,
        record: PartitionRecord | None,
        version: int,
        now_s: float,
        *,
        handed_over: bool = False,
    ) -> None:
        """Replace the known record unless the new one is older.

        :param handed_over: whether the record came with a handover of the state.
        """
        if version <= state.version:
            if version == state.version and not state.outdated:
                state.must_read = False
            return
        pending, previous = state.pending, state.record
        state.record, state.version, state.pending = record, version, []
        state.must_read = state.outdated = False
        state.next_write_s = -inf
        state.owner_absent_since_s = state.all_absent_since_s = None
        state.missing_from_directory_since_s.clear()
        state.unowned_since_s = None
        if record is None:
            return
        written_here = any(write.record == record for write in pending)
        if record.owner != self._core.self_id:
            if state.phase is OwnershipPhase.HANDING_OVER and written_here:
                state.machine.complete_hand_over(record, version)
            else:
                state.machine.lose_ownership()
            state.clear_ownership()
            return
        # If this instance did not write a record that names it, another instance took
        # over in the meantime and handed the partition over, unless the epoch is
        # unchanged: then a successor has only rewritten the record to increase its
        # version.
        unchanged = previous is not None and previous.epoch == record.epoch
        if state.phase in OWNER_PHASES and (written_here or unchanged):
            state.machine.keep_ownership()
        else:
            if state.phase in OWNER_PHASES:
                state.machine.lose_ownership()
            state.clear_ownership()
            self._start_owning(
                state, pending if written_here else [], now_s, handed_over
            )
        self.record_renewal(state)

    def _start_owning(
        self,
        state: PartitionState,
        own_writes: list[PendingWrite],
        now_s: float,
        handed_over: bool,
    ) -> None:
        # The authority of the earlier owner ended before the claim was sent, so the
        # waiting period counts from then.
        since_s = max((each.sent_at_s for each in own_writes), default=now_s)
        state.recovery_epoch = state.epoch
        state.wait_until_s = since_s + self._core.takeover_wait_s(state)
        state.machine.become_owner(None if handed_over else state.wait_until_s)

    def record_renewal(self, state: PartitionState) -> None:
        """Record the last renewal if the lease counts for the partition's record.

        Other answers of the store do not count, because other instances measure the
        outage limit from the end of the lease.
        """
        if (
            self._core.lease is not None
            and self._core.lease.key_version < state.version
        ):
            state.last_renewal_s = max(state.last_renewal_s, self._core.lease.sent_at_s)

    def write(
        self, state: PartitionState, record: PartitionRecord, now_s: float
    ) -> bool:
        """Send a write unless one is in flight or was sent a short time ago.

        :returns: whether the write was sent.
        """
        if (
            state.outdated
            or now_s < state.next_write_s
            or any(not each.has_failed for each in state.pending)
        ):
            return False
        state.pending = [each for each in state.pending if each.record != record]
        state.pending.append(PendingWrite(record, state.version, now_s))
        state.next_write_s = now_s + self._core.timings.write_retry_s
        self._core.emit(
            WriteRecord(
                partition_id=state.partition_id,
                record=record,
                expected_version=state.version,
            )
        )
        return True
