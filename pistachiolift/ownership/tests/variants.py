"""Ownership cores with one safety mechanism disabled."""

from math import inf

from pistachiolift.ownership import OwnershipCore, StoreContact
from pistachiolift.ownership.claim_policy import ClaimPolicy
from pistachiolift.ownership.directory import DirectoryView
from pistachiolift.ownership.machine import OwnershipPhase
from pistachiolift.ownership.partition import PartitionState


class NoTakeoverWait(OwnershipCore):
    def takeover_wait_s(self, state):
        return 0.0


class NoClockCheck(OwnershipCore):
    def may_decide(self, partition_id, now_s):
        state = self.partitions.get(partition_id)
        return state is not None and state.phase is OwnershipPhase.DECIDING


class LeaseFromAnswer(OwnershipCore):
    """Counts the lease from the time when the answer is handled."""

    def lease_end_s(self, event, now_s):
        return now_s + event.ttl_s - self.timings.margin_s(event.ttl_s)


class NoPromiseCheck(OwnershipCore):
    def promise_blocks_claim(self, state, now_s):
        return False


class PromiseDespitePendingWrite(OwnershipCore):
    """Promises although an earlier takeover may still take effect."""

    def write_blocks_promise(self, state):
        return False


class UnlimitedState(PartitionState):
    def promise_authority_end_s(self):
        successors = self.possible_successors() or ()
        ends = [self.promises_received_until_s.get(each, -inf) for each in successors]
        return min(ends, default=-inf)


class NoOutageLimit(OwnershipCore):
    state_class = UnlimitedState


class ContactByAnyAnswer(OwnershipCore):
    """Counts the outage limit from any answer of the store."""

    def on_event(self, event, now_s):
        if isinstance(event, StoreContact):
            for state in self.partitions.values():
                state.last_renewal_s = max(state.last_renewal_s, event.at_s)
        return super().on_event(event, now_s)


class UnboundLeaseState(PartitionState):
    def lease_authority_end_s(self, lease):
        return -inf if lease is None else lease.valid_until_s


class LeaseOfAnyAge(OwnershipCore):
    """Trusts a new lease without rewriting the record."""

    state_class = UnboundLeaseState


class ConfirmedSuccessorsState(PartitionState):
    def possible_successors(self):
        return set(self.record.successors) or None if self.record else None


class ConfirmedSuccessorsOnly(OwnershipCore):
    """Ignores successors named by an own write whose answer was lost."""

    state_class = ConfirmedSuccessorsState


class AnyListPolicy(ClaimPolicy):
    def is_instance_list_current(self, state):
        return True


class ListOfAnyAge(OwnershipCore):
    """Takes over based on a list of instances that is older than the record."""

    claim_policy_class = AnyListPolicy


class AlwaysListedView(DirectoryView):
    def promise_reliance_end_s(self, last_renewal_s):
        return inf


class NoListingCheck(OwnershipCore):
    """Relies on promises although the directory has removed the owner."""

    directory_class = AlwaysListedView


class ListedAgainView(DirectoryView):
    def promise_reliance_end_s(self, last_renewal_s):
        return super().promise_reliance_end_s(inf)


class ListingWithoutRenewal(OwnershipCore):
    """Relies on promises as soon as the directory lists the owner."""

    directory_class = ListedAgainView


class NoAbsencePeriodPolicy(ClaimPolicy):
    def is_missing_from_directory(self, state, instance_id, now_s):
        return instance_id in state.missing_from_directory_since_s


class NoAbsencePeriod(OwnershipCore):
    """Takes over as soon as the directory's answers lack all members."""

    claim_policy_class = NoAbsencePeriodPolicy


# Variants for which the model finds a violation within a few examples. The others need
# a rare order of events and have a scenario in test_protocol.py instead. For
# NoListingCheck, the search takes tens of examples, and the values that hypothesis
# draws also depend on the constants of all modules that other tests have imported.
MODEL_VARIANTS = [
    NoTakeoverWait,
    NoClockCheck,
    LeaseFromAnswer,
    NoPromiseCheck,
    NoOutageLimit,
]
