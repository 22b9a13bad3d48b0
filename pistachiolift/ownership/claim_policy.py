"""Decides when an instance claims a partition that it does not own."""

from ..common import Epoch, InstanceId, PartitionId
from .assignment import choose_successors, rank_instances
from .partition import PartitionState
from .record import PartitionRecord

__all__ = ["ClaimPolicy"]


class ClaimPolicy:
    """Takeovers and first claims of partitions that this instance does not own.

    :param core: the ownership core, which holds the lease and the view of the fleet.
    """

    def __init__(self, core):
        self._core = core
        self._plan: dict[PartitionId, str] | None = None

    def discard_plan(self) -> None:
        """Discard the plan of owners that was computed for the previous event."""
        self._plan = None

    def review(self, state: PartitionState, now_s: float) -> None:
        """Claim the partition if it is safe and this instance is to claim it."""
        self._record_absence(state, now_s)
        if state.version < 0 or state.outdated:
            return
        if self._is_claim_due(state, now_s):
            if self._core.records.write(state, self._claim_record(state), now_s):
                state.machine.claim()
        elif state.pending and state.record and self._core.is_renewal_recent(now_s):
            # An earlier claim with an unknown outcome may still take effect, so this
            # instance must refuse promises. Writing the unchanged record increases its
            # version, so that the earlier claim fails.
            self._core.records.write(state, state.record, now_s)

    def _claim_record(self, state: PartitionState) -> PartitionRecord:
        core = self._core
        successors = choose_successors(
            state.partition_id,
            core.self_id,
            core.data_centre,
            core.fleet.candidates(without=[core.self_id]),
        )
        return PartitionRecord(
            owner=core.self_id, epoch=Epoch(state.epoch + 1), successors=successors
        )

    def _record_absence(self, state: PartitionState, now_s: float) -> None:
        """Record since when the keys of the record's members are known to be missing.

        A key must be missing at a version that is not older than the record. Otherwise
        the owner may have lost its lease, got a new one and written the record under
        the new lease, and the older list would show its key as missing.
        """
        fleet = self._core.fleet
        owner = state.owner
        if owner is None or owner in fleet:
            state.owner_absent_since_s = state.all_absent_since_s = None
            state.missing_from_directory_since_s.clear()
            return
        if not self.is_instance_list_current(state):
            successors = state.record.successors
            if (
                not successors
                or self._core.self_id in successors
                or fleet.absent_for_s(owner, now_s) > self._core.timings.replace_after_s
            ):
                self._core.request_instance_list(now_s)
            return
        if state.owner_absent_since_s is None:
            state.owner_absent_since_s = now_s
        if any(each in fleet for each in state.record.successors):
            state.all_absent_since_s = None
            state.missing_from_directory_since_s.clear()
        elif state.all_absent_since_s is None:
            state.all_absent_since_s = now_s

    def record_directory_absences(
        self, state: PartitionState, asked_at_s: float, now_s: float, continued: bool
    ) -> None:
        """Record since when the directory's answers lack members of the record.

        An absence counts from the time when the answer is handled, because the instance
        may have been removed while the answer was in flight. Only answers that were
        requested after the keys were known to be missing count, because earlier ones
        may lack an instance that had not started yet.

        :param asked_at_s: clock reading before the answer was requested, in seconds.
        :param continued: whether the answer follows the previous one without a gap.
        """
        if not continued:
            state.missing_from_directory_since_s.clear()
        if asked_at_s < state.all_absent_since_s:
            return
        for each in state.record.members:
            if self._core.directory.contains_instance(each):
                state.missing_from_directory_since_s.pop(each, None)
            else:
                state.missing_from_directory_since_s.setdefault(each, now_s)

    def _have_all_members_stopped(self, state: PartitionState, now_s: float) -> bool:
        """Return whether the owner and all successors have certainly stopped."""
        return state.all_absent_since_s is not None and all(
            self.is_missing_from_directory(state, each, now_s)
            or self._has_restarted(state, each, now_s)
            for each in state.record.members
        )

    def is_missing_from_directory(
        self, state: PartitionState, instance_id: InstanceId, now_s: float
    ) -> bool:
        """Return whether the directory has lacked an instance for long enough."""
        since_s = state.missing_from_directory_since_s.get(instance_id)
        return (
            since_s is not None
            and self._core.directory.is_fresh(now_s)
            and now_s - since_s > self._core.timings.directory_absence_s
        )

    def _has_restarted(
        self, state: PartitionState, instance_id: InstanceId, now_s: float
    ) -> bool:
        """Return whether a later process runs on the instance of a member.

        After a store outage, the key of an earlier process may be deleted shortly after
        that of the member. The other key must therefore still exist in a list that was
        requested ``restart_hold_s`` after the keys of all members were found missing.
        """
        fleet, timings = self._core.fleet, self._core.timings
        if not fleet.has_other_process(instance_id):
            return False
        listed_from_s = state.all_absent_since_s + timings.restart_hold_s
        if fleet.asked_at_s >= listed_from_s:
            return True
        if now_s >= listed_from_s:
            self._core.request_instance_list(now_s)
        return False

    def is_instance_list_current(self, state: PartitionState) -> bool:
        """Return whether the list of instances is not older than the record."""
        return self._core.fleet.version >= state.version

    def _is_claim_due(self, state: PartitionState, now_s: float) -> bool:
        core = self._core
        if not core.is_lease_valid(now_s) or core.promise_blocks_claim(state, now_s):
            return False
        if self._is_unowned(state, now_s):
            return self._is_own_turn(state, now_s)
        state.unowned_since_s = None
        if state.owner_absent_since_s is None:
            return False
        successors = state.record.successors
        if core.self_id not in successors:
            return False
        rank = successors.index(core.self_id)
        others = [i for i in successors if i in core.fleet.candidates()]
        if core.draining and any(each != core.self_id for each in others):
            return False
        earlier = sum(1 for each in successors[:rank] if each in others)
        delay_s = core.timings.successor_delay_s * earlier
        return now_s - state.owner_absent_since_s >= delay_s

    def _is_unowned(self, state: PartitionState, now_s: float) -> bool:
        """Return whether any instance may claim the partition."""
        if state.version < 0:
            return False
        if state.owner is None:
            return True
        if not state.record.successors:
            return state.owner_absent_since_s is not None
        return (
            state.all_absent_since_s is not None
            and now_s - state.all_absent_since_s > self._core.timings.outage_limit_s
        ) or self._have_all_members_stopped(state, now_s)

    def _is_own_turn(self, state: PartitionState, now_s: float) -> bool:
        """Return whether this instance is to claim a partition that any may claim.

        The planned owner claims it at once. Other instances claim it after a delay that
        increases with their rank, in case the planned owner fails to do so.
        """
        core = self._core
        if core.draining or not core.fleet.has_settled(now_s):
            return False
        if state.unowned_since_s is None:
            state.unowned_since_s = now_s
        if self._plan is None:
            states = core.partitions.values()
            unowned = [each for each in states if self._is_unowned(each, now_s)]
            self._plan = core.fleet.plan(unowned, states)
        if self._plan.get(state.partition_id) == core.self_id:
            return True
        ranked = rank_instances(state.partition_id, core.fleet.candidates())
        rank = ranked.index(core.self_id) if core.self_id in ranked else len(ranked)
        delay_s = core.timings.claim_delay_per_rank_s * (rank + 1)
        return now_s - state.unowned_since_s >= delay_s
