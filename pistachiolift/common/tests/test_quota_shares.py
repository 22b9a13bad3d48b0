"""Tests of the shares of job quotas."""

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachiolift.common import QuotaDemand
from pistachiolift.common.quota_shares import (
    RELEASE_AFTER_S,
    CustomerShare,
    QuotaRecord,
    next_share,
)
from pistachiolift.jobs import Resources

QUOTA = Resources(6, 2**62, 2**62)
NOTHING = Resources()
PARTITIONS = 2


def cores(count):
    return Resources(count, 0, 0)


class TestNextShare:
    def test_gang_takes_all_or_nothing(self):
        """Guards against two partitions that each hold a part of what a gang needs."""
        gang = [QuotaDemand(cores(4), 1)]
        assert next_share(cores(0), cores(3), cores(0), gang) == cores(0)
        assert next_share(cores(1), cores(3), cores(0), gang) == cores(4)

    def test_nothing_for_tasks_behind_a_gang_that_waits(self):
        """Guards against a share for tasks that do not start before the gang."""
        demand = [QuotaDemand(cores(4), 1), QuotaDemand(cores(1), 9)]
        free, none = cores(3), cores(0)
        assert next_share(none, free, none, demand, in_order=True) == none
        assert next_share(none, free, none, demand) == cores(1)

    def test_takes_half_of_the_free_quota(self):
        """Guards against one partition acquiring the whole quota at once."""
        tasks = [QuotaDemand(cores(1), 50)]
        assert next_share(cores(0), cores(10), cores(0), tasks) == cores(5)

    def test_running_tasks_come_first(self):
        """Guards against starting tasks while restored ones exceed the share."""
        tasks = [QuotaDemand(cores(1), 50)]
        assert next_share(cores(2), cores(1), cores(6), tasks) == cores(3)


class Fleet:
    """Owners of several partitions and one record with compare-and-swap."""

    def __init__(self):
        self.record, self.version = QuotaRecord(), 0
        self.now_s = 0.0
        self.epochs = [1] * PARTITIONS
        self.used = [0] * PARTITIONS
        self.late: list[tuple[int, QuotaRecord]] = []
        self.owners = [self.new_owner(p) for p in range(PARTITIONS)]

    def new_owner(self, partition):
        share = CustomerShare(f"p{partition}", self.epochs[partition], QUOTA)
        return [share, self.read(share)]

    def read(self, share):
        share.record = self.record
        return self.version

    def swap(self, expected, record):
        if expected != self.version:
            return False
        self.record, self.version = record, self.version + 1
        return True

    def step(self, partition, demand, outcome):
        share, version = owner = self.owners[partition]
        used = cores(self.used[partition])
        record = share.plan(used, [QuotaDemand(cores(1), demand)], self.now_s)
        if record is None:
            owner[1] = self.read(share)
        elif outcome == "late":
            # The answer is lost; the write may still take effect later.
            self.late.append((version, record))
            share.has_unconfirmed_write = True
            owner[1] = self.read(share)
        else:
            done = self.swap(version, record)
            if done and outcome == "answered":
                share.confirm_write(record)
                owner[1] = self.version
                return
            share.has_unconfirmed_write = (
                share.has_unconfirmed_write or outcome == "lost"
            )
            owner[1] = self.read(share)

    def check(self):
        limits = [owner[0].limit.cpu_milli for owner in self.owners]
        held = [max(pair) for pair in zip(limits, self.used, strict=True)]
        assert sum(held) <= QUOTA.cpu_milli
        assert self.record.total(NOTHING).fits_in(QUOTA)


OWNER = st.integers(0, PARTITIONS - 1)
OUTCOMES = st.sampled_from(["answered", "answered", "lost", "late"])
DEMANDS = st.sampled_from([0, 0, 2, 8])
EVENTS = st.one_of(
    st.tuples(st.just("step"), OWNER, DEMANDS, OUTCOMES),
    st.tuples(st.just("step"), OWNER, DEMANDS, OUTCOMES),
    st.tuples(st.just("use"), OWNER, DEMANDS),
    st.tuples(st.just("release"), OWNER, OUTCOMES),
    st.tuples(st.just("takeover"), OWNER),
    st.tuples(st.just("late"), st.integers(0, 3)),
)


class TestSum:
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(EVENTS, min_size=30, max_size=40))
    def test_never_above_the_quota(self, events):
        """Guards against lost answers, late writes or takeovers exceeding the quota."""
        fleet = Fleet()
        for kind, *arguments in events:
            if kind == "step":
                fleet.step(*arguments)
            elif kind == "use":
                partition, use = arguments
                limit = fleet.owners[partition][0].limit.cpu_milli
                fleet.used[partition] = min(use, max(limit, fleet.used[partition]))
            elif kind == "release":
                partition, outcome = arguments
                fleet.used[partition] = 0
                fleet.step(partition, 0, "answered")
                fleet.now_s += RELEASE_AFTER_S
                fleet.step(partition, 0, outcome)
            elif kind == "takeover":
                [partition] = arguments
                fleet.epochs[partition] += 1
                fleet.owners[partition] = fleet.new_owner(partition)
            elif kind == "late" and fleet.late:
                [number] = arguments
                fleet.swap(*fleet.late.pop(number % len(fleet.late)))
            fleet.check()

    def fill(self, fleet, partition):
        """Let one partition acquire the whole free quota."""
        for _ in range(12):
            fleet.step(partition, 10, "answered")
            fleet.used[partition] = fleet.owners[partition][0].limit.cpu_milli

    def test_release_whose_answer_is_lost(self):
        """Guards against an owner that still uses a share that it has returned."""
        fleet = Fleet()
        self.fill(fleet, 0)
        fleet.used[0] = 0
        fleet.step(0, 0, "answered")
        fleet.now_s += RELEASE_AFTER_S
        fleet.step(0, 0, "lost")
        self.fill(fleet, 1)
        assert fleet.used[1] == QUOTA.cpu_milli
        fleet.check()

    def test_late_release_after_its_owner_wants_the_share_again(self):
        """Guards against a late write that returns a share which is in use again."""
        fleet = Fleet()
        self.fill(fleet, 0)
        fleet.used[0] = 0
        fleet.step(0, 0, "answered")
        fleet.now_s += RELEASE_AFTER_S
        fleet.step(0, 0, "late")
        fleet.step(0, 10, "answered")
        fleet.used[0] = fleet.owners[0][0].limit.cpu_milli
        fleet.swap(*fleet.late.pop())
        self.fill(fleet, 1)
        fleet.check()

    def test_late_release_by_the_previous_owner(self):
        """Guards against a late write of the old owner that returns the new share."""
        fleet = Fleet()
        self.fill(fleet, 0)
        fleet.used[0] = 0
        fleet.step(0, 0, "answered")
        fleet.now_s += RELEASE_AFTER_S
        fleet.step(0, 0, "late")
        fleet.epochs[0] += 1
        fleet.owners[0] = fleet.new_owner(0)
        fleet.step(0, 10, "answered")
        fleet.used[0] = fleet.owners[0][0].limit.cpu_milli
        fleet.swap(*fleet.late.pop())
        self.fill(fleet, 1)
        fleet.check()

    def test_idle_share_goes_to_others(self):
        """Guards against idle shares that are never returned."""
        fleet = Fleet()
        for _ in range(12):
            fleet.step(0, 10, "answered")
            fleet.used[0] = fleet.owners[0][0].limit.cpu_milli
        assert fleet.owners[0][0].limit.cpu_milli == QUOTA.cpu_milli
        fleet.used[0] = 0
        for _ in range(12):
            fleet.step(0, 0, "answered")
            fleet.used[1] = fleet.owners[1][0].limit.cpu_milli
            fleet.step(1, 10, "answered")
            fleet.now_s += RELEASE_AFTER_S
        assert fleet.owners[1][0].limit.cpu_milli == QUOTA.cpu_milli

    def test_lowered_quota_shrinks_every_share(self):
        """Guards against shares that stay above a quota that was lowered."""
        fleet = Fleet()
        for _ in range(4):
            for partition in range(PARTITIONS):
                fleet.step(partition, 3, "answered")
        for partition in range(PARTITIONS):
            fleet.owners[partition][0].quota = Resources(3, 2**62, 2**62)
            fleet.owners[partition][1] = fleet.read(fleet.owners[partition][0])
            fleet.step(partition, 3, "answered")
        assert fleet.record.total(NOTHING).cpu_milli <= 3
