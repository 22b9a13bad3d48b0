"""Tasks of the owner of a partition: promises, successors and handover."""

from ..common import Epoch, InstanceId
from .actions import EndReason, RequestPromise
from .assignment import choose_successors
from .machine import OwnershipPhase
from .partition import PartitionState
from .record import PartitionRecord

__all__ = ["OwnerPolicy"]


class OwnerPolicy:
    """Maintains the partitions that this instance owns.

    :param core: the ownership core, which holds the lease and the view of the fleet.
    """

    def __init__(self, core):
        self._core = core
        self._next_rebalance_s = float("-inf")

    def review(self, state: PartitionState, now_s: float) -> None:
        """Update the authority; send the promise requests and writes that are due."""
        if (
            state.phase is OwnershipPhase.RECOVERING
            and state.recovered
            and now_s >= state.wait_until_s
        ):
            state.machine.complete_recovery()
        self._collect_promises(state, now_s)
        has_authority = now_s < state.authority_end_s(
            self._core.lease, self._core.directory
        )
        if state.phase is OwnershipPhase.SUSPENDED and has_authority:
            state.machine.gain_authority()
            state.deciding_since_s = now_s
        elif state.phase is OwnershipPhase.DECIDING and not has_authority:
            state.machine.lose_authority()
        self._maintain_record(state, now_s)
        if state.phase is OwnershipPhase.DECIDING:
            self._hand_over_if_due(state, now_s)

    def _collect_promises(self, state: PartitionState, now_s: float) -> None:
        """Request promises while the lease is not renewed in time."""
        core = self._core
        if core.is_renewal_recent(now_s) and core.lease.key_version < state.version:
            return
        successors = state.possible_successors()
        if successors is None or now_s < state.next_promise_request_s:
            return
        state.next_promise_request_s = now_s + core.timings.promise_retry_s
        oldest_s = now_s - core.timings.promise_s
        sent = {k: v for k, v in state.promise_requests_sent_s.items() if v > oldest_s}
        for each in sorted(successors):
            request_id = core.new_request_id()
            sent[each, request_id] = now_s
            core.emit(
                RequestPromise(
                    to_id=each,
                    partition_id=state.partition_id,
                    epoch=state.epoch,
                    request_id=request_id,
                )
            )
        state.promise_requests_sent_s = sent

    def _maintain_record(self, state: PartitionState, now_s: float) -> None:
        """Write the record again after a change of the lease or the successors.

        Writes with an unknown outcome are also followed by a new write.
        """
        core = self._core
        if not core.is_lease_valid(now_s) or state.removed:
            return
        successors = self._choose_successors(state, now_s)
        if (
            core.lease.key_version >= state.version
            or state.pending
            or (successors != state.record.successors and core.is_renewal_recent(now_s))
        ):
            record = PartitionRecord(
                owner=core.self_id,
                epoch=Epoch(state.epoch + 1),
                successors=successors,
            )
            core.records.write(state, record, now_s)

    def _choose_successors(self, state: PartitionState, now_s: float) -> tuple:
        fleet = self._core.fleet
        candidates = fleet.candidates(without=[self._core.self_id])
        keep = [
            each
            for each in state.record.successors
            if not self._is_replaceable(each, candidates, state, now_s)
        ]
        return choose_successors(
            state.partition_id,
            self._core.self_id,
            self._core.data_centre,
            candidates,
            keep=keep,
        )

    def _is_replaceable(
        self, each: InstanceId, candidates: dict, state: PartitionState, now_s: float
    ) -> bool:
        fleet, timings = self._core.fleet, self._core.timings
        if each in fleet.leaving:
            return True
        if fleet.absent_for_s(each, now_s) >= timings.replace_after_s:
            return True
        home = self._core.data_centre
        return fleet.data_centres.get(each) == home and any(
            data_centre != home
            and other not in state.record.successors
            and fleet.present_for_s(other, now_s) >= timings.rebalance_after_s
            for other, data_centre in candidates.items()
        )

    def _hand_over_if_due(self, state: PartitionState, now_s: float) -> None:
        """Start a handover if one is due and the store is available.

        Without the store, the partition would have no owner until the store answers.
        """
        core = self._core
        if not core.is_renewal_recent(now_s) or state.pending:
            return
        if state.removed:
            reason = EndReason.REMOVED
        elif core.draining:
            reason = EndReason.DRAINING
        elif self._is_move_due(state, now_s):
            reason = EndReason.REBALANCED
            self._next_rebalance_s = now_s + core.timings.rebalance_interval_s
        else:
            return
        target = self._choose_target(state, now_s)
        state.machine.start_hand_over(reason)
        self._write_hand_over(state, target, now_s)

    def continue_hand_over(self, state: PartitionState, now_s: float) -> None:
        """Repeat the write of a handover until the record has changed."""
        last = state.pending[-1].record.owner if state.pending else None
        keep = last is not None and last in self._core.fleet.candidates()
        target = last if keep else self._choose_target(state, now_s)
        self._write_hand_over(state, target, now_s)

    def _write_hand_over(
        self, state: PartitionState, target: InstanceId | None, now_s: float
    ) -> None:
        core = self._core
        successors = ()
        if target is not None:
            without = [target, core.self_id] if core.draining else [target]
            successors = choose_successors(
                state.partition_id,
                target,
                core.fleet.data_centres[target],
                core.fleet.candidates(without=without),
            )
        record = PartitionRecord(
            owner=target, epoch=Epoch(state.epoch + 1), successors=successors
        )
        core.records.write(state, record, now_s)

    def _choose_target(self, state: PartitionState, now_s: float) -> InstanceId | None:
        if state.removed:
            return None
        core = self._core
        better = None if core.draining else self._better_owner(state, now_s)
        if better is not None:
            return better
        plan = core.fleet.plan(
            [state], core.partitions.values(), without=[core.self_id]
        )
        return plan.get(state.partition_id)

    def _is_move_due(self, state: PartitionState, now_s: float) -> bool:
        if now_s < state.next_move_check_s:
            return False
        state.next_move_check_s = now_s + self._core.timings.renew_interval_s
        return self._better_owner(state, now_s) is not None

    def _better_owner(self, state: PartitionState, now_s: float) -> InstanceId | None:
        """Return an instance in the partition's data centre that should own it.

        There is one if this instance is in another data centre or owns at least two
        partitions more. Both instances must have been present for
        ``rebalance_after_s``, and an instance hands over one partition at a time, so
        that restarts cause no additional handovers.
        """
        core, timings = self._core, self._core.timings
        min_presence_s = timings.rebalance_after_s
        if (
            now_s < self._next_rebalance_s
            or now_s - state.deciding_since_s < min_presence_s
        ):
            return None
        local = {
            each: data_centre
            for each, data_centre in core.fleet.candidates().items()
            if data_centre == state.data_centre
            and each != core.self_id
            and core.fleet.present_for_s(each, now_s) >= min_presence_s
        }
        if not local:
            return None
        loads = core.fleet.loads(core.partitions.values())
        best = min(local, key=lambda each: (loads.get(each, 0), each))
        better_placed = core.data_centre != state.data_centre
        if better_placed or loads.get(best, 0) + 2 <= loads.get(core.self_id, 0):
            return best
        return None
