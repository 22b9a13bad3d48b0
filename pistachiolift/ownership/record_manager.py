"""Adoption and writing of partition records."""

from math import inf

from .actions import WriteRecord
from .machine import OWNED_PHASES, OwnershipPhase
from .partition import PartitionState, PendingWrite
from .record import PartitionRecord

__all__ = ["RecordManager"]


class RecordManager:
    """Keeps the record of each partition in step with the store.

    :param core: the core, which holds the lease and collects the actions.
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
        """Take over a record unless it is older than the one known."""
        if version <= state.version:
            if version == state.version and not state.outdated:
                state.must_read = False
            return
        pending, previous = state.pending, state.record
        state.record, state.version, state.pending = record, version, []
        state.must_read = state.outdated = False
        state.next_write_s = -inf
        state.owner_absent_since_s = state.all_absent_since_s = None
        state.unlisted_since_s.clear()
        state.unowned_since_s = None
        if record is None:
            return
        written_here = any(write.record == record for write in pending)
        if record.owner != self._core.self_id:
            if state.phase is OwnershipPhase.HANDING_OVER and written_here:
                state.machine.deliver(record, version)
            else:
                state.machine.lose()
            state.forget_authority()
            return
        # A record for this instance that it has not written itself was written by
        # an owner that took over in the meantime and handed over, unless the epoch
        # shows that a successor has only moved the version on.
        unchanged = previous is not None and previous.epoch == record.epoch
        if state.phase in OWNED_PHASES and (written_here or unchanged):
            state.machine.renew()
        else:
            if state.phase in OWNED_PHASES:
                state.machine.lose()
            state.forget_authority()
            self._start_owning(
                state, pending if written_here else [], now_s, handed_over
            )
        self.count_contact(state)

    def _start_owning(
        self,
        state: PartitionState,
        claims: list[PendingWrite],
        now_s: float,
        handed_over: bool,
    ) -> None:
        # The earlier owner's authority had ended before the claim was sent.
        since_s = max((each.sent_at_s for each in claims), default=now_s)
        state.recovery_epoch = state.epoch
        state.wait_until_s = since_s + self._core.takeover_wait_s(state)
        state.machine.own(None if handed_over else state.wait_until_s)

    def count_contact(self, state: PartitionState) -> None:
        """Note the last renewal if the lease counts for the partition's record.

        A store answer without a renewal does not count: other instances measure
        the outage limit from the end of the lease.
        """
        if (
            self._core.lease is not None
            and self._core.lease.key_version < state.version
        ):
            state.contact_s = max(state.contact_s, self._core.lease.sent_at_s)

    def write(
        self, state: PartitionState, record: PartitionRecord, now_s: float
    ) -> bool:
        """Send a write unless one is in flight or was sent a moment ago.

        :returns: whether it was sent.
        """
        if (
            state.outdated
            or now_s < state.next_write_s
            or any(not each.answered for each in state.pending)
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
