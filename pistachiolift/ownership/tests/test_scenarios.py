"""Scenarios of ownership in a simulated fleet, each named after its fault."""

import pytest

from pistachiolift.ownership import OwnershipTimings
from pistachiolift.ownership.tests.simulation import World

URGENT_START_S = 4.7


def owner_of(world, partition_id="p1"):
    (owner,) = world.deciders(partition_id)
    return owner


def started(**kwargs):
    world = World(**kwargs)
    world.advance(6.0)
    return world


def members_of(world, partition_id="p1"):
    return world.store.records[partition_id][0].members


def time_until_decided(world, limit_s, partition_id="p1", *, step_s=0.05):
    """Return the time until an instance has authority, or fail at the limit."""
    start_s = world.now_s
    while not world.deciders(partition_id):
        assert world.now_s - start_s < limit_s
        world.advance(step_s)
    return world.now_s - start_s


class TestStart:
    @pytest.mark.parametrize("partition_count", [4, 6, 8])
    def test_fleet_shares_partitions_with_one_write_each(self, partition_count):
        """Guards against slow or unequal ownership after a common start."""
        dcs = ["ikeja", "ibadan", "abeokuta", "lekki"]
        partitions = {f"p{i}": dcs[i % 4] for i in range(partition_count)}
        world = World(
            data_centres=[dcs[i % 4] for i in range(9)], partitions=partitions
        )
        world.advance(4.0)
        owners = [owner_of(world, each) for each in partitions]
        assert max(map(owners.count, owners)) == 1
        assert world.store.writes == partition_count
        for each, data_centre in partitions.items():
            assert world.nodes[owner_of(world, each)].data_centre == data_centre

    def test_release_of_all_then_common_start(self):
        """Guards against records of drained instances that block a new fleet."""
        world = started()
        for node in list(world.nodes.values()):
            node.drain()
            world.advance(1.5)
        assert not world.nodes
        for data_centre in ("1", "2", "3"):
            world.join(data_centre)
        assert time_until_decided(world, 6.0)

    def test_drain_of_all_at_once_then_common_start(self):
        """Guards against a handover to an instance that has left already."""
        world = started()
        for node in list(world.nodes.values()):
            node.drain()
        world.advance(3.0)
        assert not world.nodes
        for data_centre in ("1", "2", "3"):
            world.join(data_centre)
        assert time_until_decided(world, 6.0)


class TestOwnerKilled:
    @pytest.mark.parametrize("seed", range(8))
    def test_successor_decides_within_the_limit_for_urgent_work(self, seed):
        """Guards against a takeover that delays urgent work."""
        world = started(seed=seed)
        world.advance(seed / 8)
        world.kill(owner_of(world))
        time_until_decided(world, URGENT_START_S)

    def test_owner_and_first_successor_killed(self):
        """Guards against a takeover that depends on the first successor."""
        world = started()
        for each in members_of(world)[:2]:
            world.kill(each)
        time_until_decided(world, URGENT_START_S + 1.0)


class TestOwnerPaused:
    @pytest.mark.parametrize("pause_s", [1.0, 2.0, 2.9, 3.1, 5.0, 30.0, 1000.0])
    def test_resumed_owner_does_not_decide(self, pause_s):
        """Guards against trusting a lease from before the pause."""
        world = started()
        owner = owner_of(world)
        world.pause(owner)
        world.advance(pause_s)
        node = world.nodes[owner]
        if pause_s > 3.0:
            assert not node.core.may_decide("p1", node.now_s())
        node.resume()
        world.advance(10.0)
        assert owner_of(world)


class TestStoreDown:
    @pytest.mark.parametrize("leases_tick", [True, False])
    def test_owner_decides_throughout_a_ten_minute_outage(self, leases_tick):
        """Guards against an interruption during or after a store outage."""
        world = started()
        world.store.leases_tick_in_outage = leases_tick
        owner = owner_of(world)
        world.set_store_up(False)
        for _ in range(1200):
            world.advance(0.5)
            assert owner_of(world) == owner
        world.set_store_up(True)
        for _ in range(40):
            world.advance(0.5)
            assert owner_of(world) == owner

    def test_outage_limit_ends_authority(self):
        """Guards against an owner that decides for longer than the limit."""
        world = started(timings=OwnershipTimings(outage_limit_s=60.0))
        world.set_store_up(False)
        world.advance(61.0)
        assert not world.deciders("p1")
        world.set_store_up(True)
        time_until_decided(world, 10.0)

    def test_owner_stops_without_the_promise_of_a_successor(self):
        """Guards against an isolated owner that decides during a takeover."""
        world = started()
        owner, successor, _ = members_of(world)
        world.set_store_up(False)
        world.advance(5.0)
        world.cut_links.add(frozenset((owner, successor)))
        world.advance(world.timings.promise_s)
        assert not world.deciders("p1")
        world.cut_links.clear()
        world.advance(2.0)
        assert owner_of(world) == owner


class TestOwnerCutOffFromStore:
    def test_successor_takes_over_after_the_grace_period(self):
        """Guards against an owner that cannot write for a whole outage limit."""
        world = started()
        owner = owner_of(world)
        world.isolate(owner)
        world.advance(5.0)
        assert owner_of(world) == owner
        timings = world.timings
        world.advance(timings.isolation_grace_s + timings.promise_s)
        world.advance(timings.takeover_wait_s + 1.0)
        assert owner_of(world) != owner


class TestCutOffTogether:
    """Special case (a) of section 5.1 of the design."""

    limit_s = 60.0

    def cut_off(self):
        timings = OwnershipTimings(outage_limit_s=self.limit_s)
        world = started(timings=timings, data_centres=("1", "2", "3", "1", "2"))
        members = members_of(world)
        for each in members:
            world.isolate(each)
        return world, members

    def test_others_take_over_only_after_the_outage_limit(self):
        """Guards against two owners when the record's members are cut off."""
        world, members = self.cut_off()
        world.advance(self.limit_s - 5.0)
        assert owner_of(world) == members[0]
        time_until_decided(world, 30.0)
        world.advance(20.0)
        assert owner_of(world) not in members

    def test_owner_returns_before_the_outage_limit(self):
        """Guards against replacing the owner although the outage ends in time."""
        world, members = self.cut_off()
        world.advance(self.limit_s - 5.0)
        for each in members:
            world.isolate(each, False)
        world.advance(30.0)
        assert owner_of(world) == members[0]


class TestAllKilled:
    """The owner and both successors are killed together."""

    @pytest.mark.parametrize("lag_s", [0.0, 10.0])
    @pytest.mark.parametrize("seed", range(4))
    def test_replaced_by_new_instances(self, seed, lag_s):
        """Guards against partitions without an owner for a whole outage limit."""
        world = started(seed=seed)
        for each in list(world.nodes):
            world.restart(each)
        for node in world.nodes.values():
            node.directory_lag_s = lag_s
        timings = world.timings
        limit_s = world.removal_delay_s + lag_s + timings.directory_absence_s
        limit_s += timings.takeover_wait_s + timings.settle_limit_s + 2.0
        took_s = time_until_decided(world, limit_s)
        assert took_s > timings.directory_absence_s
        world.advance(10.0)
        assert owner_of(world) in world.nodes

    @pytest.mark.parametrize("seed", range(8))
    def test_processes_restarted_on_the_same_instances(self, seed):
        """Guards against waiting for the outage limit while the list is unchanged."""
        world = started(seed=seed)
        for each in list(world.nodes):
            world.restart_process(each)
        # The old leases expire, then the new keys must outlast the hold time.
        time_until_decided(world, 3.0 + world.timings.restart_hold_s + 5.0)

    def test_others_take_over(self):
        """Guards against a rule that works for new instances only."""
        world = started(data_centres=("1", "2", "3", "1", "2"))
        for each in members_of(world):
            world.kill(each)
        time_until_decided(world, 3.0 + world.timings.directory_absence_s + 5.0)

    def test_killed_instances_stay_listed(self):
        """Guards against a takeover from instances that may still run."""
        world = started(timings=OwnershipTimings(outage_limit_s=60.0))
        world.removal_delay_s = 1000.0
        for each in list(world.nodes):
            world.restart(each)
        world.advance(55.0)
        assert not world.deciders("p1")
        time_until_decided(world, 20.0)


class TestDirectoryUnavailable:
    def test_owner_with_lease_goes_on(self):
        """Guards against making the directory a condition of normal operation."""
        world = started()
        owner = owner_of(world)
        world.directory.up = False
        for _ in range(120):
            world.advance(0.5)
            assert owner_of(world) == owner

    def test_owner_stops_while_the_store_is_down_too(self):
        """Guards against promises that outlast the listing of their owner."""
        world = started()
        owner = owner_of(world)
        world.set_store_up(False)
        world.advance(10.0)
        assert owner_of(world) == owner
        world.directory.up = False
        world.advance(world.timings.directory_answer_max_age_s)
        assert not world.deciders("p1")
        world.directory.up = True
        world.advance(2.0)
        assert owner_of(world) == owner

    def test_all_replaced_without_a_directory(self):
        """Guards against counting an absence without answers."""
        world = started(timings=OwnershipTimings(outage_limit_s=60.0))
        world.advance(10.0)
        for each in list(world.nodes):
            world.restart(each)
        world.advance(8.0)
        world.directory.up = False
        world.advance(50.0)
        assert not world.deciders("p1")
        time_until_decided(world, 20.0)

    def test_gap_in_the_answers_restarts_the_count(self):
        """Guards against counting an absence that was not observed throughout."""
        world = started()
        for each in list(world.nodes):
            world.restart(each)
        world.advance(12.0)
        world.directory.up = False
        world.advance(world.timings.directory_answer_max_age_s + 1.5)
        world.directory.up = True
        world.advance(world.timings.directory_absence_s - 1.0)
        assert not world.deciders("p1")
        time_until_decided(world, 6.0)


class TestSuccessorReplaced:
    """Special case (b) of section 5.1 of the design."""

    def test_new_identity_does_not_take_over(self):
        """Guards against an instance that has lost its promises with its memory."""
        timings = OwnershipTimings(outage_limit_s=60.0)
        world = started(timings=timings)
        owner, first, second = members_of(world)
        world.set_store_up(False)
        world.advance(10.0)
        assert owner_of(world) == owner
        world.isolate(owner)
        world.isolate(second)
        new = world.restart(first)
        world.set_store_up(True)
        world.advance(40.0)
        assert not world.deciders("p1")
        assert new.core.record("p1").owner == owner
        time_until_decided(world, 30.0)


class TestDrain:
    def test_hand_over_takes_no_waiting_period(self):
        """Guards against a gap in service at a planned stop."""
        world = started()
        owner = owner_of(world)
        world.nodes[owner].drain()
        world.advance(0.2)
        assert owner_of(world) != owner

    def test_lost_hand_over_message_falls_back_to_recovery(self):
        """Guards against a new owner that waits for a lost message forever."""
        world = started()
        owner = owner_of(world)
        world.cut_links.update(frozenset((owner, each)) for each in world.nodes)
        world.nodes[owner].drain()
        world.advance(0.5)
        assert not world.deciders("p1")
        time_until_decided(world, 1.5)


class TestRebalance:
    def test_partition_returns_to_its_data_centre(self):
        """Guards against a takeover that moves a partition for good."""
        world = started(timings=OwnershipTimings(rebalance_after_s=10.0))
        owner = owner_of(world)
        other = next(
            each.id
            for each in world.nodes.values()
            if each.data_centre == "1" and each.id != owner
        )
        world.kill(owner)
        world.kill(other)
        time_until_decided(world, URGENT_START_S + 1.0)
        assert world.nodes[owner_of(world)].data_centre != "1"
        world.join("1")
        world.advance(16.0)
        assert world.nodes[owner_of(world)].data_centre == "1"
