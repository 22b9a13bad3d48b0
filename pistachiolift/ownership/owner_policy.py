"""What the owner of a partition does: promises, successors, hand-over."""

from ..common import Epoch, InstanceId
from .actions import EndReason, RequestPromise
from .assignment import choose_successors
from .machine import OwnershipPhase
from .partition import PartitionState
from .record import PartitionRecord

__all__ = ["OwnerPolicy"]


class OwnerPolicy:
    """Upkeep of the partitions that this instance owns.

    :param core: the core, which holds the lease and the view of the fleet.
    """

    def __init__(self, core):
        self._core = core
        self._next_rebalance_s = float("-inf")

    def review(self, state: PartitionState, now_s: float) -> None:
        """Update the authority and do the writes that are due."""
        if (
            state.phase is OwnershipPhase.RECOVERING
            and state.recovered
            and now_s >= state.wait_until_s
        ):
            state.machine.recover()
        self._collect_promises(state, now_s)
        valid = now_s < state.authority_until_s(self._core.lease, self._core.directory)
        if state.phase is OwnershipPhase.SUSPENDED and valid:
            state.machine.authorise()
            state.deciding_since_s = now_s
        elif state.phase is OwnershipPhase.DECIDING and not valid:
            state.machine.lapse()
        self._maintain_record(state, now_s)
        if state.phase is OwnershipPhase.DECIDING:
            self._consider_hand_over(state, now_s)

    def _collect_promises(self, state: PartitionState, now_s: float) -> None:
        """Request promises while the lease is not renewed in time."""
        core = self._core
        if core.renewal_fresh(now_s) and core.lease.key_version < state.version:
            return
        successors = state.possible_successors()
        if successors is None or now_s < state.next_request_s:
            return
        state.next_request_s = now_s + core.timings.promise_retry_s
        oldest_s = now_s - core.timings.promise_s
        sent = {k: v for k, v in state.requests_sent_s.items() if v > oldest_s}
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
        state.requests_sent_s = sent

    def _maintain_record(self, state: PartitionState, now_s: float) -> None:
        """Rewrite the record under a new lease or with other successors."""
        core = self._core
        if not core.lease_valid(now_s) or state.removed:
            return
        successors = self._successors(state, now_s)
        if (
            core.lease.key_version >= state.version
            or state.pending
            or (successors != state.record.successors and core.renewal_fresh(now_s))
        ):
            record = PartitionRecord(
                owner=core.self_id,
                epoch=Epoch(state.epoch + 1),
                successors=successors,
            )
            core.records.write(state, record, now_s)

    def _successors(self, state: PartitionState, now_s: float) -> tuple:
        fleet = self._core.fleet
        candidates = fleet.candidates(without=[self._core.self_id])
        keep = [
            each
            for each in state.record.successors
            if not self._replaceable(each, candidates, state, now_s)
        ]
        return choose_successors(
            state.partition_id,
            self._core.self_id,
            self._core.data_centre,
            candidates,
            keep=keep,
        )

    def _replaceable(
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

    def _consider_hand_over(self, state: PartitionState, now_s: float) -> None:
        """Start a hand-over while the store is healthy.

        Otherwise the partition would have no owner until the store answers.
        """
        core = self._core
        if not core.renewal_fresh(now_s) or state.pending:
            return
        if state.removed:
            reason = EndReason.REMOVED
        elif core.draining:
            reason = EndReason.DRAINING
        elif self._move_due(state, now_s):
            reason = EndReason.REBALANCED
            self._next_rebalance_s = now_s + core.timings.rebalance_interval_s
        else:
            return
        target = self._target(state, now_s)
        state.machine.hand_over(reason)
        self._write_hand_over(state, target, now_s)

    def continue_hand_over(self, state: PartitionState, now_s: float) -> None:
        """Repeat the write of a hand-over until the record has changed."""
        last = state.pending[-1].record.owner if state.pending else None
        keep = last is not None and last in self._core.fleet.candidates()
        target = last if keep else self._target(state, now_s)
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

    def _target(self, state: PartitionState, now_s: float) -> InstanceId | None:
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

    def _move_due(self, state: PartitionState, now_s: float) -> bool:
        if now_s < state.next_move_check_s:
            return False
        state.next_move_check_s = now_s + self._core.timings.renew_interval_s
        return self._better_owner(state, now_s) is not None

    def _better_owner(self, state: PartitionState, now_s: float) -> InstanceId | None:
        """Return an instance of the partition's data centre that should own it.

        That is the case if this instance is in another data centre or owns at least
        two partitions more. Both must have been there for long, and an instance
        gives away one partition at a time, so that restarts cause no extra moves.
        """
        core, timings = self._core, self._core.timings
        long_s = timings.rebalance_after_s
        if now_s < self._next_rebalance_s or now_s - state.deciding_since_s < long_s:
            return None
        local = {
            each: data_centre
            for each, data_centre in core.fleet.candidates().items()
            if data_centre == state.data_centre
            and each != core.self_id
            and core.fleet.present_for_s(each, now_s) >= long_s
        }
        if not local:
            return None
        loads = core.fleet.loads(core.partitions.values())
        best = min(local, key=lambda each: (loads.get(each, 0), each))
        better_placed = core.data_centre != state.data_centre
        if better_placed or loads.get(best, 0) + 2 <= loads.get(core.self_id, 0):
            return best
        return None
