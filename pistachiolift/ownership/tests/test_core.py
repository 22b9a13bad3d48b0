"""Tests of single decisions of the ownership core."""

import pytest

from pistachiolift.common import MalformedMessageError
from pistachiolift.ownership import (
    BeginAuthority,
    DrainCompleted,
    DrainStarted,
    EndAuthority,
    EndReason,
    HandOver,
    HandOverReceived,
    InstanceLeaseGone,
    InstancesSeen,
    LeaseRenewed,
    ListInstances,
    OwnershipCore,
    PartitionRecord,
    PartitionRecovered,
    PartitionsConfigured,
    ReadRecord,
    RecordSeen,
    RecordWriteSucceeded,
    StartRecovery,
    Tick,
    WriteRecord,
    choose_successors,
    plan_owners,
)

FLEET = {"a": "ikeja", "b": "ibadan", "c": "lekki"}
RECORD = PartitionRecord(owner="a", epoch=1, successors=("b", "c"))


def of_type(actions, action_type):
    return [each for each in actions if isinstance(each, action_type)]


def started_core(self_id, record=None, version=0, *, now_s=0.0):
    core = OwnershipCore(self_id, FLEET[self_id])
    core.on_event(PartitionsConfigured(data_centres_by_partition={"p": "ikeja"}), now_s)
    core.on_event(
        LeaseRenewed(lease_id=1, key_version=1, sent_at_s=now_s, ttl_s=3.0), now_s
    )
    core.on_event(InstancesSeen(data_centres_by_instance=FLEET, version=5), now_s)
    seen = RecordSeen(partition_id="p", record=record, version=version)
    return core, core.on_event(seen, now_s)


def renew(core, now_s):
    event = LeaseRenewed(lease_id=1, key_version=1, sent_at_s=now_s, ttl_s=3.0)
    return core.on_event(event, now_s)


def owner_core():
    core, _ = started_core("a")
    actions = renew(core, 1.0)
    (write,) = of_type(actions, WriteRecord)
    core.on_event(
        RecordWriteSucceeded(partition_id="p", record=write.record, version=6), 1.0
    )
    recovered = PartitionRecovered(partition_id="p", epoch=1, confirmed=True)
    return core, core.on_event(recovered, 1.1)


class TestPartitionRecord:
    def test_bytes_round_trip(self):
        """Guards against a record that other instances cannot read."""
        assert PartitionRecord.from_bytes(RECORD.to_bytes()) == RECORD

    @pytest.mark.parametrize("data", [b"", b"{}", b"\xff", b" " * 5000])
    def test_invalid_bytes_raise_typed_error(self, data):
        """Guards against an untyped failure on a damaged value."""
        with pytest.raises(MalformedMessageError):
            PartitionRecord.from_bytes(data)


class TestAuthority:
    def test_claim_waits_until_instance_set_settles(self):
        """Guards against the first instance of a fleet claiming everything."""
        core, actions = started_core("a")
        assert not of_type(actions, WriteRecord)
        assert not of_type(core.on_event(Tick(), 0.9), WriteRecord)
        (write,) = of_type(core.on_event(Tick(), 1.0), WriteRecord)
        assert write.expected_version == 0
        assert write.record.owner == "a"
        assert set(write.record.successors) == {"b", "c"}

    def test_authority_begins_after_recovery(self):
        """Guards against deciding before running work is known."""
        core, actions = owner_core()
        assert of_type(actions, BeginAuthority)
        assert core.may_decide("p", 1.2)

    def test_pause_ends_authority_without_any_event(self):
        """Guards against trusting a lease after SIGSTOP and SIGCONT."""
        core, _ = owner_core()
        assert core.may_decide("p", 3.7)
        assert not core.may_decide("p", 4.0)
        (end,) = of_type(core.on_event(Tick(), 4.0), EndAuthority)
        assert end.reason is EndReason.AUTHORITY_EXPIRED

    def test_late_renewal_counts_from_sending(self):
        """Guards against an old answer that revives an expired lease."""
        core, _ = owner_core()
        event = LeaseRenewed(lease_id=1, key_version=1, sent_at_s=1.5, ttl_s=3.0)
        core.on_event(event, 100.0)
        assert not core.may_decide("p", 100.0)

    def test_record_of_another_owner_ends_authority(self):
        """Guards against two owners after a handover or a takeover."""
        core, _ = owner_core()
        other = PartitionRecord(owner="b", epoch=2)
        actions = core.on_event(
            RecordSeen(partition_id="p", record=other, version=9), 1.2
        )
        (end,) = of_type(actions, EndAuthority)
        assert end.reason is EndReason.SUPERSEDED
        assert not core.may_decide("p", 1.2)


class TestTakeover:
    def test_successor_takes_over_and_waits(self):
        """Guards against deciding while commands of the killed owner can start."""
        core, _ = started_core("b", RECORD, 4)
        actions = core.on_event(InstanceLeaseGone(instance_id="a", version=7), 1.0)
        (write,) = of_type(actions, WriteRecord)
        assert (write.record.owner, write.record.epoch) == ("b", 2)
        assert write.expected_version == 4
        renew(core, 1.1)
        actions = core.on_event(
            RecordWriteSucceeded(partition_id="p", record=write.record, version=8), 1.1
        )
        (recovery,) = of_type(actions, StartRecovery)
        assert recovery.wait_until_s == pytest.approx(1.0 + 1.26)
        event = PartitionRecovered(partition_id="p", epoch=2, confirmed=False)
        assert not of_type(core.on_event(event, 1.5), BeginAuthority)
        assert of_type(core.on_event(Tick(), 2.3), BeginAuthority)

    def test_instance_that_is_not_a_successor_does_not_take_over(self):
        """Guards against takeover by an instance that has made no promises."""
        record = PartitionRecord(owner="a", epoch=1, successors=("b",))
        core, _ = started_core("c", record, 4)
        renew(core, 10.0)
        actions = core.on_event(InstanceLeaseGone(instance_id="a", version=7), 10.0)
        assert not of_type(actions, WriteRecord)


class TestRestartedOnSameInstance:
    record = PartitionRecord(owner="x~1", epoch=1, successors=("y~1", "z~1"))

    def listed(self, core, now_s, version):
        fleet = {"c": "lekki", "x~2": "ikeja", "y~2": "ibadan", "z~2": "lekki"}
        event = InstancesSeen(
            data_centres_by_instance=fleet, version=version, asked_at_s=now_s
        )
        return core.on_event(event, now_s)

    def test_keys_must_outlast_the_hold_time(self):
        """Guards against a claim that relies on the key of an earlier process."""
        core, _ = started_core("c", self.record, 4)
        self.listed(core, 1.0, 7)
        delay_s = 4 * core.timings.claim_delay_per_rank_s
        listed_from_s = 1.0 + core.timings.restart_hold_s
        late_s = listed_from_s + delay_s
        assert of_type(renew(core, listed_from_s), ListInstances)
        assert not of_type(renew(core, late_s), WriteRecord)
        self.listed(core, late_s, 7)
        assert of_type(renew(core, late_s + delay_s), WriteRecord)


class TestRecords:
    def test_record_of_a_partition_configured_late_is_read(self):
        """Guards against an instance that ignores a partition handed over to it."""
        core, _ = started_core("b", RECORD, 4)
        both = {"p": "ikeja", "q": "ikeja"}
        core.on_event(PartitionsConfigured(data_centres_by_partition=both), 1.0)
        (read,) = of_type(renew(core, 2.0), ReadRecord)
        assert read.partition_id == "q"

    def test_no_reads_without_contact_to_the_store(self):
        """Guards against calls for each partition during a store outage."""
        core, _ = started_core("b", RECORD, 4)
        both = {"p": "ikeja", "q": "ikeja"}
        core.on_event(PartitionsConfigured(data_centres_by_partition=both), 5.0)
        assert not of_type(core.on_event(Tick(), 7.0), ReadRecord)


class TestDrain:
    def test_drain_hands_over_without_wait(self):
        """Guards against a gap in service at a planned stop."""
        owner, _ = owner_core()
        actions = owner.on_event(DrainStarted(), 1.2)
        (end,) = of_type(actions, EndAuthority)
        (write,) = of_type(actions, WriteRecord)
        assert end.reason is EndReason.DRAINING
        new_owner = write.record.owner
        assert new_owner != "a"
        actions = owner.on_event(
            RecordWriteSucceeded(partition_id="p", record=write.record, version=9), 1.2
        )
        (hand_over,) = of_type(actions, HandOver)
        assert not of_type(actions, DrainCompleted)
        assert of_type(owner.on_event(Tick(), 2.2), DrainCompleted)

        core, _ = started_core(new_owner, RECORD, 6)
        actions = core.on_event(
            HandOverReceived(
                from_id="a",
                partition_id="p",
                record=hand_over.record,
                version=hand_over.version,
            ),
            1.3,
        )
        assert of_type(actions, BeginAuthority)
        assert not of_type(actions, StartRecovery)


class TestAssignment:
    @pytest.mark.parametrize("partition_count", range(4, 9))
    def test_nine_instances_own_at_most_one_more_than_their_share(
        self, partition_count
    ):
        """Guards against one instance owning most partitions."""
        dcs = ["ikeja", "ibadan", "abeokuta", "lekki"]
        partitions = {f"p{i}": dcs[i % 4] for i in range(partition_count)}
        instances = {f"i{i}": dcs[i % 4] for i in range(9)}
        plan = plan_owners(partitions, instances, {})
        owners = list(plan.values())
        assert len(plan) == partition_count
        assert max(map(owners.count, owners)) == 1
        assert all(instances[plan[p]] == dc for p, dc in partitions.items())

    def test_successors_are_in_distinct_other_data_centres(self):
        """Guards against losing owner and successors with one data centre."""
        instances = {"a": "1", "b": "1", "c": "2", "d": "2", "e": "3"}
        first, second = choose_successors("p", "a", "1", instances)
        assert {instances[first], instances[second]} == {"2", "3"}
