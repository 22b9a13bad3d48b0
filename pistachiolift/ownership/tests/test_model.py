"""Model check of ownership under random faults.

The invariant of a single effective owner is checked whenever an instance handles an
event and every 0.05 s; see ``World.issue_command``.
"""

import os
from collections import Counter

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from pistachiolift.ownership import OwnershipCore, OwnershipTimings
from pistachiolift.ownership.tests.simulation import (
    LEASE_TTL_S,
    LONGEST_DELAY_S,
    RPC_TIMEOUT_S,
    ViolationError,
    World,
)
from pistachiolift.ownership.tests.variants import MODEL_VARIANTS

EXAMPLES = int(os.environ.get("PISTACHIOLIFT_OWNERSHIP_MODEL_EXAMPLES", "60"))
STEPS = 30
# The outage limit and the rebalancing times are scaled down, so that a run of 30 steps
# reaches them; all other constants have their default values.
TIMINGS = OwnershipTimings(
    outage_limit_s=25.0, rebalance_after_s=8.0, rebalance_interval_s=3.0
)
DATA_CENTRES = ("1", "2", "3", "1", "2")
COUNTS = Counter()

nodes = st.integers(0, 6)
short = st.floats(0.1, 4.0)
durations = st.floats(0.3, 40.0)


def takeover_bound_s(timings):
    """Return the longest time without an owner if a member of the record is alive.

    In this time delayed messages arrive, the old lease expires, the grace period and
    the promises end, the successors write and the commands of the old owner expire.
    """
    return (
        LONGEST_DELAY_S
        + LEASE_TTL_S
        + timings.isolation_grace_s
        + timings.promise_s
        + timings.takeover_wait_s
        + 4 * (timings.renew_interval_s + RPC_TIMEOUT_S)
    )


def claim_bound_s(timings, node_count):
    """Return the additional time without an owner if no member is alive."""
    return (
        timings.outage_limit_s
        + timings.settle_limit_s
        + timings.claim_delay_per_rank_s * (node_count + 1)
    )


class OwnershipModel(RuleBasedStateMachine):
    core_class = OwnershipCore
    check_recovery = True

    @initialize(
        seed=st.integers(0, 2**32 - 1),
        listing_s=st.sampled_from([0.0, 40.0]),
        lagging=st.sets(st.integers(0, len(DATA_CENTRES) - 1)),
    )
    def start(self, seed, listing_s, lagging):
        COUNTS["examples"] += 1
        self.world = World(
            core_class=self.core_class,
            timings=TIMINGS,
            data_centres=DATA_CENTRES,
            partitions={"p1": "1", "p2": "2"},
            seed=seed,
            listing_delay_s=listing_s,
        )
        for index in lagging:
            self.world.nodes[
                self.node(index)
            ].directory_lag_s = TIMINGS.directory_lag_limit_s
        self.world.advance(5.0)

    def node(self, index):
        ids = sorted(self.world.nodes)
        return ids[index % len(ids)]

    def member(self, index, partition_id="p1"):
        """Return a member of the record if it is alive, else any instance.

        Faults of these instances matter more than those of the others.
        """
        record, _ = self.world.store.records.get(partition_id, (None, 0))
        members = [i for i in record.members if i in self.world.nodes] if record else []
        return members[index % len(members)] if members else self.node(index)

    def run(self, interval_s):
        COUNTS["steps"] += 1
        COUNTS["seconds"] += interval_s
        self.world.advance(interval_s)

    @rule(interval_s=short)
    def advance(self, interval_s):
        self.run(interval_s)

    @rule(interval_s=durations)
    def advance_long(self, interval_s):
        self.run(interval_s)

    @rule(index=nodes, duration_s=durations, then_s=short)
    def pause(self, index, duration_s, then_s):
        self.world.pause(self.member(index), duration_s)
        self.run(then_s)

    @rule(index=nodes, duration_s=durations, then_s=short)
    def pause_after_sending_renewal(self, index, duration_s, then_s):
        node_id = self.member(index)
        self.world.nodes[node_id].run(self.world.nodes[node_id].renew)
        self.world.pause(node_id, duration_s)
        self.run(then_s)

    @rule(indices=st.sets(nodes, min_size=1, max_size=3), then_s=short)
    def isolate(self, indices, then_s):
        for index in indices:
            self.world.isolate(self.member(index))
        self.run(then_s)

    @rule(then_s=durations)
    def isolate_members(self, then_s):
        for index in range(3):
            self.world.isolate(self.member(index))
        self.run(then_s)

    @rule(then_s=short)
    def end_isolation(self, then_s):
        for each in self.world.nodes:
            self.world.isolate(each, False)
        self.run(then_s)

    @rule(ticking=st.booleans(), then_s=durations)
    def store_down(self, ticking, then_s):
        self.world.store.leases_tick_in_outage = ticking
        self.world.set_store_up(False)
        self.run(then_s)

    @precondition(lambda self: not self.world.store.up)
    @rule(then_s=short)
    def store_up(self, then_s):
        self.world.set_store_up(True)
        self.run(then_s)

    @rule(first=nodes, second=nodes, then_s=short)
    def cut_link(self, first, second, then_s):
        link = frozenset((self.member(first), self.member(second)))
        self.world.cut_links.add(link)
        self.run(then_s)

    @rule(then_s=short)
    def restore_links(self, then_s):
        self.world.cut_links.clear()
        self.run(then_s)

    @rule(
        loss=st.sampled_from([0.0, 0.05, 0.3]),
        delay_share=st.sampled_from([0.0, 0.1, 0.5]),
        then_s=short,
    )
    def network(self, loss, delay_share, then_s):
        self.world.loss, self.world.delay_share = loss, delay_share
        self.run(then_s)

    @rule(index=nodes, count=st.integers(1, 3), then_s=short)
    def lose_answers(self, index, count, then_s):
        self.world.nodes[self.member(index)].lose_answers = count
        self.run(then_s)

    @rule(
        index=nodes,
        delays_s=st.lists(st.floats(0.0, LONGEST_DELAY_S), min_size=1, max_size=3),
        then_s=short,
    )
    def delay_writes(self, index, delays_s, then_s):
        self.world.nodes[self.member(index)].delay_writes_s[:] = delays_s
        self.run(then_s)

    @rule(index=nodes, then_s=short)
    def restart(self, index, then_s):
        self.world.restart(self.member(index))
        self.run(then_s)

    @rule(index=nodes, then_s=short)
    def restart_process(self, index, then_s):
        self.world.restart_process(self.member(index))
        self.run(then_s)

    @rule(same_instances=st.booleans(), then_s=durations)
    def replace_members(self, same_instances, then_s):
        record, _ = self.world.store.records.get("p1", (None, 0))
        for each in record.members if record else ():
            if each in self.world.nodes and same_instances:
                self.world.restart_process(each)
            elif each in self.world.nodes:
                self.world.restart(each)
        self.run(then_s)

    @rule(
        index=nodes,
        share=st.sampled_from([0.0, 0.3, 1.0]),
        all_instances=st.booleans(),
        then_s=short,
    )
    def lag_directory(self, index, share, all_instances, then_s):
        lag_s = share * TIMINGS.directory_lag_limit_s
        for each in self.world.nodes if all_instances else [self.member(index)]:
            self.world.nodes[each].directory_lag_s = lag_s
        self.run(then_s)

    @rule(then_s=durations)
    def directory_down(self, then_s):
        self.world.directory.up = False
        self.run(then_s)

    @precondition(lambda self: not self.world.directory.up)
    @rule(then_s=short)
    def directory_up(self, then_s):
        self.world.directory.up = True
        self.run(then_s)

    @rule(
        listing_s=st.sampled_from([0.0, 3.0, 40.0]),
        removal_s=st.sampled_from([0.0, 3.0, 20.0]),
        then_s=short,
    )
    def directory_delays(self, listing_s, removal_s, then_s):
        """Let the platform list and remove instances late."""
        self.world.listing_delay_s = listing_s
        self.world.removal_delay_s = removal_s
        self.run(then_s)

    @rule(index=nodes, then_s=short)
    def drain(self, index, then_s):
        node = self.world.nodes[self.member(index)]
        if not node.draining:
            node.drain()
            self.world.join(node.data_centre)
        self.run(then_s)

    @rule(data_centre=st.sampled_from(["1", "2", "3"]), then_s=short)
    def join(self, data_centre, then_s):
        if len(self.world.nodes) < 7:
            self.world.join(data_centre)
        self.run(then_s)

    def teardown(self):
        if not hasattr(self, "world") or not self.check_recovery:
            return
        world = self.world
        world.heal()
        for each in DATA_CENTRES[len(world.nodes) :]:
            world.join(each)
        start_s = world.now_s
        # The records after the last delayed message determine which bound applies.
        # Later records do not: at the end of the bound the outage limit may just have
        # passed, and a record may name an instance that is still recovering.
        world.advance(LONGEST_DELAY_S)
        alive = {each: self.live_members(each) for each in world.partitions}
        missing = self.wait_for_owners(takeover_bound_s(TIMINGS) - LONGEST_DELAY_S)
        for partition_id in missing:
            members = alive[partition_id]
            assert not members, f"{members} do not own {partition_id}"
        if not missing:
            longest_s = max(COUNTS["longest takeover"], world.now_s - start_s)
            COUNTS["longest takeover"] = longest_s
        if missing:
            COUNTS["waited for the outage limit"] += 1
            missing = self.wait_for_owners(claim_bound_s(TIMINGS, len(world.nodes)))
        assert not missing, f"{missing} have no owner"
        COUNTS.update(world.statistics)

    def live_members(self, partition_id):
        world = self.world
        record, _ = world.store.records.get(partition_id, (None, 0))
        members = record.members if record else ()
        nodes = [world.nodes[each] for each in members if each in world.nodes]
        return [each.id for each in nodes if not each.draining]

    def wait_for_owners(self, bound_s):
        end_s = self.world.now_s + bound_s
        while True:
            missing = [p for p in self.world.partitions if not self.world.deciders(p)]
            if not missing or self.world.now_s >= end_s:
                return missing
            self.world.advance(0.5)


def model_settings(examples):
    return settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
        # Shrinking takes minutes; a failing example can be replayed as printed.
        phases=[Phase.explicit, Phase.generate],
    )


class TestModel:
    def test_one_owner_and_recovery_under_faults(self):
        """Guards against two effective owners and against no owner."""
        run_state_machine_as_test(OwnershipModel, settings=model_settings(EXAMPLES))

    @pytest.mark.parametrize("variant", MODEL_VARIANTS)
    def test_model_finds_violation_without(self, variant):
        """Guards against a model that cannot fail."""
        machine = type(
            "BrokenModel",
            (OwnershipModel,),
            {"core_class": variant, "check_recovery": False},
        )
        with pytest.raises(ViolationError):
            run_state_machine_as_test(machine, settings=model_settings(300))
