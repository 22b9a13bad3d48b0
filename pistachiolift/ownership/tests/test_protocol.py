"""Scenarios in which the protocol has two owners without one of its rules.

All but the last show that the rules of section 5.1 of the design (leases, successors
that promise, compare-and-swap to a new epoch) are not sufficient on their own.
"""

import pytest

from pistachiolift.ownership import (
    InstancesSeen,
    ListInstances,
    OwnershipCore,
    OwnershipTimings,
    RecordSeen,
)
from pistachiolift.ownership.tests.simulation import ViolationError, World
from pistachiolift.ownership.tests.variants import (
    ConfirmedSuccessorsOnly,
    ContactByAnyAnswer,
    LeaseFromAnswer,
    LeaseOfAnyAge,
    ListingWithoutRenewal,
    ListOfAnyAge,
    NoAbsencePeriod,
    NoListingCheck,
    PromiseDespitePendingWrite,
)


def started(core_class, **kwargs):
    world = World(core_class=core_class, **kwargs)
    world.advance(6.0)
    return world, world.store.records["p1"][0].members


def advance_until(world, condition, *, limit_s=20.0):
    end_s = world.now_s + limit_s
    while not condition():
        assert world.now_s < end_s
        world.advance(0.002)


def link(*node_ids):
    return frozenset(node_ids)


def late_takeover(core_class):
    """A takeover is delayed in the network while its sender makes a promise."""
    world, (owner, first, _) = started(core_class)
    claimant = world.nodes[first]
    claimant.delay_writes_s.append(4.0)
    world.isolate(owner)
    world.cut_links.add(link(owner, first))
    advance_until(world, lambda: not claimant.delay_writes_s)
    world.isolate(first)
    world.cut_links.clear()
    world.advance(5.0)
    world.isolate(first, False)
    world.advance(5.0)


def new_lease_with_old_record(core_class):
    """The owner gets a new lease while a takeover is delayed in the network."""
    world, (owner, first, second) = started(core_class)
    claimant = world.nodes[first]
    claimant.delay_writes_s.append(2.0)
    world.cut_links.update((link(owner, first), link(owner, second)))
    world.isolate(second)
    world.isolate(owner)
    advance_until(world, lambda: not claimant.delay_writes_s)
    world.isolate(first)
    world.nodes[owner].delay_writes_s += [6.0] * 20
    old_lease = world.nodes[owner].lease_id
    world.isolate(owner, False)
    advance_until(world, lambda: world.nodes[owner].lease_id not in (None, old_lease))
    world.isolate(owner)
    world.advance(0.95)
    world.isolate(first, False)
    world.advance(5.0)


def lost_answer_of_new_successors(core_class):
    """The owner names another successor, and the store's answer is lost."""
    world, (owner, first, _) = started(core_class)
    world.isolate(first)
    writes = world.store.writes
    world.nodes[owner].lose_answers = 1
    world.nodes[owner].watch_free_s[RecordSeen] = world.now_s + 30.0
    advance_until(world, lambda: world.store.writes > writes)
    world.isolate(owner)
    assert first not in world.store.records["p1"][0].successors
    world.advance(10.0)


def old_list_of_instances(core_class):
    """A successor learns of the owner's old lease after its new one."""
    world, (owner, first, second) = started(core_class)
    world.cut_links.update((link(owner, first), link(owner, second)))
    world.isolate(owner)
    world.advance(1.0)
    for each in (first, second):
        world.nodes[each].watch_free_s[InstancesSeen] = world.now_s + 8.0
    world.advance(4.0)
    world.isolate(owner, False)
    world.advance(2.0)
    world.nodes[owner].watch_free_s[RecordSeen] = world.now_s + 10.0
    world.advance(8.0)


def answers_without_renewal(core_class):
    """The owner reads from the store while its lease is not renewed."""
    timings = OwnershipTimings(outage_limit_s=20.0)
    world, (owner, *successors) = started(core_class, timings=timings)
    for each in successors:
        world.isolate(each)
    node = world.nodes[owner]
    node.renewing = False
    node.watch_free_s[RecordSeen] = world.now_s + 60.0
    node.every(1.0, lambda: node.act_ListInstances(ListInstances()))
    world.advance(30.0)


def answer_handled_after_pause(core_class):
    """The process stops between sending a renewal and handling its answer."""
    world, (owner, _, _) = started(core_class)
    node = world.nodes[owner]
    node.renew()
    world.pause(owner)
    world.advance(10.0)
    node.resume()
    world.advance(1.0)


FIVE = ("1", "2", "3", "1", "2")


def lag(world, *node_ids):
    for each in node_ids:
        world.nodes[each].directory_lag_s = world.timings.directory_lag_limit_s


def removed_while_running(core_class):
    """The platform replaces instances that are cut off from the store but run on.

    The members see their removal as late as possible, the other instances at once.
    """
    world, members = started(core_class, data_centres=FIVE)
    world.advance(10.0)
    lag(world, *members)
    for each in members:
        world.isolate(each)
    world.advance(10.0)
    for each in members:
        world.directory.remove(each)
    world.advance(40.0)
    assert world.store.records["p1"][0].owner not in members


def not_listed_yet(core_class):
    """New instances own a partition before the others' answers list them."""
    world = World(core_class=core_class, data_centres=FIVE)
    world.advance(0.2)
    lag(world, *world.nodes)
    world.advance(2.8)
    members = world.store.records["p1"][0].members
    for each in members:
        world.nodes[each].directory_lag_s = 0.0
    world.advance(2.0)
    for each in members:
        world.isolate(each)
    world.advance(20.0)
    assert world.store.records["p1"][0].owner in members


def listed_late(core_class):
    """Instances are listed only after they have been cut off from the store."""
    world, members = started(core_class, data_centres=FIVE)
    for each in members:
        world.directory.remove(each)
    world.advance(12.0)
    lag(world, *(set(world.nodes) - set(members)))
    for each in members:
        world.isolate(each)
    world.advance(15.0)
    for each in members:
        world.directory.add(each)
    world.advance(20.0)


SCENARIOS = [
    (late_takeover, PromiseDespitePendingWrite),
    (new_lease_with_old_record, LeaseOfAnyAge),
    (lost_answer_of_new_successors, ConfirmedSuccessorsOnly),
    (old_list_of_instances, ListOfAnyAge),
    (answers_without_renewal, ContactByAnyAnswer),
    (answer_handled_after_pause, LeaseFromAnswer),
    (removed_while_running, NoListingCheck),
    (not_listed_yet, NoAbsencePeriod),
    (listed_late, ListingWithoutRenewal),
]


class TestProtocol:
    @pytest.mark.parametrize("scenario, variant", SCENARIOS)
    def test_one_owner(self, scenario, variant):
        """Guards against two owners in a rare order of events."""
        scenario(OwnershipCore)

    @pytest.mark.parametrize("scenario, variant", SCENARIOS)
    def test_two_owners_without_the_rule(self, scenario, variant):
        """Guards against a scenario that no longer exercises its rule."""
        with pytest.raises(ViolationError):
            scenario(variant)
