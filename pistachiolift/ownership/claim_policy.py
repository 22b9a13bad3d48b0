"""When an instance claims a partition that it does not own."""

from ..common import Epoch, InstanceId, PartitionId
from .assignment import choose_successors, rank_instances
from .partition import PartitionState
from .record import PartitionRecord

__all__ = ["ClaimPolicy"]


class ClaimPolicy:
    """Takeovers and first claims, for partitions that another instance or none owns.

    :param core: the core, which holds the lease and the view of the fleet.
    """

    def __init__(self, core):
        self._core = core
        self._plan: dict[PartitionId, str] | None = None

    def start_round(self) -> None:
        """Drop the plan of the previous event."""
        self._plan = None

    def review(self, state: PartitionState, now_s: float) -> None:
        """Claim the partition if that is safe and this instance's turn."""
        self._note_absence(state, now_s)
        if state.version < 0 or state.outdated:
            return
        if self._claim_due(state, now_s):
            if self._core.records.write(state, self._claim_record(state), now_s):
                state.machine.claim()
        elif state.pending and state.record and self._core.renewal_fresh(now_s):
            # An earlier claim with unknown effect could still take effect, so this
            # instance must refuse promises. Writing the unchanged record moves the
            # version on, and the earlier claim then fails.
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

    def _note_absence(self, state: PartitionState, now_s: float) -> None:
        """Note since when the keys of the record's members are known to be missing.

        The key must be missing at a version that is not older than the record:
        the owner may have lost a lease, got a new one and written the record under
        it, and an older list would still show it as gone.
        """
        fleet = self._core.fleet
        owner = state.owner
        if owner is None or owner in fleet:
            state.owner_absent_since_s = state.all_absent_since_s = None
            state.unlisted_since_s.clear()
            return
        if not self.absence_known(state):
            successors = state.record.successors
            if (
                not successors
                or self._core.self_id in successors
                or fleet.absent_for_s(owner, now_s) > self._core.timings.replace_after_s
            ):
                self._core.request_listing(now_s)
            return
        if state.owner_absent_since_s is None:
            state.owner_absent_since_s = now_s
        if any(each in fleet for each in state.record.successors):
            state.all_absent_since_s = None
            state.unlisted_since_s.clear()
        elif state.all_absent_since_s is None:
            state.all_absent_since_s = now_s

    def count_unlisted(
        self, state: PartitionState, asked_at_s: float, now_s: float, continued: bool
    ) -> None:
        """Note since when the directory's answers lack members of the record.

        An absence counts from the handling of the answer, because the instance may
        have been removed while the answer was on its way. Only answers asked for
        after the keys were known to be missing count: earlier ones may lack an
        instance that had not started yet.

        :param continued: whether there was no gap since the previous answer.
        """
        if not continued:
            state.unlisted_since_s.clear()
        if asked_at_s < state.all_absent_since_s:
            return
        for each in state.record.members:
            if self._core.directory.lists(each):
                state.unlisted_since_s.pop(each, None)
            else:
                state.unlisted_since_s.setdefault(each, now_s)

    def _all_gone(self, state: PartitionState, now_s: float) -> bool:
        """Tell whether the owner and all successors have certainly stopped."""
        return state.all_absent_since_s is not None and all(
            self.unlisted(state, each, now_s) or self._restarted(state, each, now_s)
            for each in state.record.members
        )

    def unlisted(
        self, state: PartitionState, instance_id: InstanceId, now_s: float
    ) -> bool:
        """Tell whether the directory has not listed an instance for long enough."""
        since_s = state.unlisted_since_s.get(instance_id)
        return (
            since_s is not None
            and self._core.directory.fresh(now_s)
            and now_s - since_s > self._core.timings.directory_absence_s
        )

    def _restarted(
        self, state: PartitionState, instance_id: InstanceId, now_s: float
    ) -> bool:
        """Tell whether a later process runs on the instance of a member.

        After a store outage the key of an earlier process may be deleted a moment
        after that of the member, so the other key must still be in a list requested
        some time after the member's was missing.
        """
        fleet, timings = self._core.fleet, self._core.timings
        if not fleet.has_other_process(instance_id):
            return False
        listed_from_s = state.all_absent_since_s + timings.restart_hold_s
        if fleet.asked_at_s >= listed_from_s:
            return True
        if now_s >= listed_from_s:
            self._core.request_listing(now_s)
        return False

    def absence_known(self, state: PartitionState) -> bool:
        """Tell whether the list of instances is not older than the record."""
        return self._core.fleet.version >= state.version

    def _claim_due(self, state: PartitionState, now_s: float) -> bool:
        core = self._core
        if not core.lease_valid(now_s) or core.promise_blocks_claim(state, now_s):
            return False
        if self._unowned(state, now_s):
            return self._chosen(state, now_s)
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

    def _unowned(self, state: PartitionState, now_s: float) -> bool:
        """Tell whether any instance may claim the partition."""
        if state.version < 0:
            return False
        if state.owner is None:
            return True
        if not state.record.successors:
            return state.owner_absent_since_s is not None
        return (
            state.all_absent_since_s is not None
            and now_s - state.all_absent_since_s > self._core.timings.outage_limit_s
        ) or self._all_gone(state, now_s)

    def _chosen(self, state: PartitionState, now_s: float) -> bool:
        """Tell whether this instance is to claim a partition that anyone may claim.

        The planned owner does so at once, the others after a delay by rank, in case
        the planned one does not.
        """
        core = self._core
        if core.draining or not core.fleet.settled(now_s):
            return False
        if state.unowned_since_s is None:
            state.unowned_since_s = now_s
        if self._plan is None:
            states = core.partitions.values()
            unowned = [each for each in states if self._unowned(each, now_s)]
            self._plan = core.fleet.plan(unowned, states)
        if self._plan.get(state.partition_id) == core.self_id:
            return True
        ranked = rank_instances(state.partition_id, core.fleet.candidates())
        rank = ranked.index(core.self_id) if core.self_id in ranked else len(ranked)
        patience_s = core.timings.claim_patience_s * (rank + 1)
        return now_s - state.unowned_since_s >= patience_s
