"""Claims of several instances with expired leases, dead owners and handovers."""

import pytest
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock as ReactorClock
from twisted.internet.task import deferLater

from pistachiolift.backends import Entry
from pistachiolift.common import ManualClock, Metrics, StoreUnavailableError
from pistachiolift.node.handover import MAX_CONTACT_AGE_S
from pistachiolift.node.interfaces import Changes
from pistachiolift.node.ownership import (
    AUTHORITY_S,
    DeathEvidence,
    OwnerRecord,
    Ownership,
)
from pistachiolift.node.partition_map import PartitionKeys, PartitionNumber

from .fake_store import FakeStore

KEYS = PartitionKeys(PartitionNumber(0))


class Cell:
    """Instances that share a store and a clock."""

    def __init__(self, instances=3, fitness=1.0):
        self.fitness = fitness
        self.reactor = ReactorClock()
        self.clock = ManualClock()
        self.store = FakeStore()
        self.events = []
        self.ownerships = [self._make(index) for index in range(instances)]
        for ownership in self.ownerships:
            ownership.start()

    def _make(self, index):
        own_record = OwnerRecord(
            instance_id=f"n{index}",
            incarnation=f"i{index}",
            address=f"127.0.0.1:{index}",
        )

        def claimed(fence, authority_s):
            self.events.append(("claimed", index, fence, authority_s))

        def lost(reason):
            self.events.append(("lost", index, reason))

        return Ownership(
            self.reactor,
            self.store,
            keys=KEYS,
            own_record=own_record,
            clock=self.clock,
            metrics=Metrics(),
            may_claim=lambda: True,
            on_owner=lambda record: None,
            on_claimed=claimed,
            on_lost=lost,
            fitness=self.fitness,
        )

    def advance(self, interval_s):
        for _ in range(round(interval_s / 0.05)):
            self.clock.advance(0.05)
            self.reactor.advance(0.05)

    def owners(self):
        return [i for i, o in enumerate(self.ownerships) if o.fence is not None]

    def owner(self):
        (index,) = self.owners()
        return index

    def kill_owner(self):
        """Simulate the death of the owner's process; return its index and record."""
        index = self.owner()
        ownership = self.ownerships[index]
        ownership.fence = None
        ownership.stop_claiming()
        ownership._renewing.stop()
        return index, ownership.owner


class TestClaims:
    def test_one_instance_becomes_the_owner(self):
        cell = Cell()
        cell.advance(1.0)
        assert len(cell.owners()) == 1
        names = {o.owner.instance_id for o in cell.ownerships}
        assert names == {f"n{cell.owner()}"}

    def test_unfit_instances_leave_time_for_the_claim_of_a_fit_one(self):
        """Guards against an owner on a slow link after an outage of the store.

        The fit instance notices the return of the store up to a second later.
        """
        cell = Cell(instances=3, fitness=0.1)
        cell.advance(0.9)
        assert cell.owners() == []
        cell.fitness = 1.0
        fit = cell._make(3)
        cell.ownerships.append(fit)
        fit.start()
        cell.advance(1.0)
        assert cell.owners() == [3]

    def test_unfit_instances_claim_if_there_is_no_other(self):
        cell = Cell(instances=3, fitness=0.1)
        cell.advance(2.0)
        assert len(cell.owners()) == 1

    def test_a_claim_whose_answer_was_lost_is_found(self):
        cell = Cell(instances=1)
        cell.store.lost_answers = 1
        cell.advance(1.0)
        assert cell.owners() == [0]
        assert cell.ownerships[0].fence == cell.store.entries[KEYS.owner].version

    def test_a_lapsed_lease_is_claimed_again_under_a_higher_fence(self):
        cell = Cell(instances=1)
        cell.advance(1.0)
        first = cell.ownerships[0].fence
        cell.store.lapse(cell.store.entries[KEYS.owner].lease_id)
        cell.advance(1.0)
        assert cell.ownerships[0].fence > first
        assert not [event for event in cell.events if event[0] == "lost"]

    def test_an_owner_cut_off_from_the_store_is_replaced_and_steps_down(self):
        cell = Cell(instances=2)
        cell.advance(1.0)
        old = cell.owner()
        cut = FakeStore()
        cut.down = True
        cell.ownerships[old].store = cut
        cell.store.lapse(cell.store.entries[KEYS.owner].lease_id)
        cell.advance(1.0)
        new = 1 - old
        assert cell.ownerships[new].fence > cell.ownerships[old].fence
        cell.ownerships[old].record_announcement(
            cell.ownerships[new].owner, cell.ownerships[new].fence
        )
        assert cell.owners() == [new]
        assert cell.ownerships[old].failed_calls > 0


class TestDeathAndHandover:
    @pytest.mark.parametrize(
        "evidence, authority_s",
        [(DeathEvidence.REPLACED, 0.0), (DeathEvidence.REFUSED, AUTHORITY_S)],
    )
    def test_a_dead_owner_is_replaced_before_its_lease_ends(
        self, evidence, authority_s
    ):
        """Guards against ending leases that an owner in a network cut still renews."""
        cell = Cell(instances=3)
        cell.advance(AUTHORITY_S + 1.0)
        old, record = cell.kill_owner()
        others = [o for i, o in enumerate(cell.ownerships) if i != old]
        for other in others:
            other.handle_owner_death(record, evidence)
        cell.advance(0.5)
        claims = [event for event in cell.events if event[0] == "claimed"]
        assert len(claims) == 2
        assert claims[-1][3] == authority_s

    def test_an_owner_that_dies_in_an_outage_is_replaced_when_the_store_is_back(self):
        cell = Cell(instances=3)
        cell.advance(1.0)
        old, record = cell.kill_owner()
        cell.store.down = True
        cell.store.wake()
        for index in {0, 1, 2} - {old}:
            cell.ownerships[index].handle_owner_death(record, DeathEvidence.REFUSED)
        cell.advance(4.0)
        assert cell.owners() == []
        cell.store.down = False
        # The dead owner's lease was paused during the outage and has not ended.
        cell.advance(0.5)
        assert len(cell.owners()) == 1

    def test_a_death_that_is_proven_during_an_outage_counts_as_proven(self):
        cell = Cell(instances=2)
        cell.advance(AUTHORITY_S + 1.0)
        old, record = cell.kill_owner()
        cell.store.down = True
        cell.store.wake()
        other = cell.ownerships[1 - old]
        other.handle_owner_death(record, DeathEvidence.REFUSED)
        cell.advance(1.0)
        other.handle_owner_death(record, DeathEvidence.REPLACED)
        cell.store.down = False
        cell.advance(0.5)
        assert cell.events[-1][3] == 0.0

    def test_a_silent_store_is_detected_while_a_watch_waits(self):
        cell = Cell(instances=2)
        cell.advance(1.0)
        other = cell.ownerships[1 - cell.owner()]
        cell.store.down = True
        cell.advance(0.3)
        assert other.store_lost_s == 0.0
        other.check_store()
        cell.advance(0.5)
        assert other.store_lost_s > 0.4
        cell.store.down = False
        other.check_store()
        assert other.store_lost_s == 0.0

    def test_the_death_of_an_earlier_owner_causes_no_claim(self):
        cell = Cell(instances=2)
        cell.advance(1.0)
        stale = OwnerRecord(instance_id="x", incarnation="y", address="127.0.0.1:9")
        other = cell.ownerships[1 - cell.owner()]
        other.handle_owner_death(stale, DeathEvidence.REPLACED)
        cell.advance(0.5)
        assert len([e for e in cell.events if e[0] == "claimed"]) == 1

    def test_an_owner_hands_over_to_a_named_instance(self):
        cell = Cell(instances=3)
        cell.advance(1.0)
        old = cell.owner()
        fence = cell.ownerships[old].fence
        chosen = (old + 1) % 3
        cell.ownerships[old].give_up("store_out_of_reach")
        result = ensureDeferred(cell.ownerships[chosen].take_over(fence, 0.0))
        assert result.result is True
        cell.advance(1.0)
        assert cell.owners() == [chosen]

    def test_a_handover_of_an_outdated_claim_is_refused(self):
        cell = Cell(instances=2)
        cell.advance(1.0)
        other = 1 - cell.owner()
        result = ensureDeferred(cell.ownerships[other].take_over(3, 0.0))
        assert result.result is False
        assert len(cell.owners()) == 1

    def test_a_handover_costs_two_calls_to_the_store(self):
        """With a slow store, the calls determine the time without decisions."""
        cell = Cell(instances=2)
        cell.advance(1.0)
        old = cell.owner()
        fence = cell.ownerships[old].fence
        cell.ownerships[old].give_up("planned_stop")
        cell.store.get = None
        result = ensureDeferred(cell.ownerships[1 - old].take_over(fence, 0.0))
        assert result.result is True

    def test_a_handover_after_the_lease_has_ended(self):
        cell = Cell(instances=2)
        cell.advance(1.0)
        old = cell.owner()
        fence = cell.ownerships[old].fence
        cell.ownerships[old].give_up("planned_stop")
        # The watches have not reported the deletion yet.
        del cell.store.entries[KEYS.owner]
        result = ensureDeferred(cell.ownerships[1 - old].take_over(fence, 0.0))
        assert result.result is True

    def test_a_claim_in_flight_when_the_stop_begins_is_abandoned(self):
        cell = Cell(instances=1)
        (ownership,) = cell.ownerships
        transact = cell.store.transact

        async def transact_then_stop(**arguments):
            version = await transact(**arguments)
            ownership.stop_claiming()
            return version

        cell.store.transact = transact_then_stop
        cell.advance(1.0)
        assert cell.events == []
        assert ensureDeferred(cell.store.get(KEYS.owner)).result is None

    def test_a_planned_release_lets_another_instance_claim_at_once(self):
        cell = Cell(instances=2)
        cell.advance(1.0)
        old = cell.owner()
        ensureDeferred(cell.ownerships[old].release())
        cell.advance(1.0)
        assert cell.owners() == [1 - old]


class TestOddRecords:
    def test_a_claim_that_cannot_be_read_is_not_taken_for_an_own_one(self):
        """Guards against an instance that stops watching the ownership for good.

        The answer to its claim was lost, and the key holds another writer's value.
        """
        cell = Cell(instances=1)
        transact = cell.store.transact

        async def lose_answer(**arguments):
            cell.store.transact = transact
            cell.store.entries[KEYS.claim] = Entry(KEYS.claim, b"odd", 7)
            raise StoreUnavailableError("answer lost")

        cell.store.transact = lose_answer
        cell.advance(2.0)
        assert cell.owners() == [0]


class SilentWatchStore(FakeStore):
    """Another instance's view of a store whose watches hear nothing."""

    def __init__(self, store):
        self.__dict__ = store.__dict__

    async def changes(self, prefix, *, after_revision, wait_s):
        await Deferred()


class ReturningWatchStore(SilentWatchStore):
    """The same store, whose watches return without a change after their wait."""

    def __init__(self, store, reactor):
        super().__init__(store)
        self._reactor = reactor

    async def changes(self, prefix, *, after_revision, wait_s):
        await deferLater(self._reactor, wait_s)
        return Changes([], after_revision)


class TestContactWithTheStore:
    def test_an_instance_that_only_watches_is_not_taken_for_cut_off(self):
        """Guards against a handover to a weak instance while better ones are idle.

        The age of their contact was counted from the sending of the watch that had
        returned last, up to twice the wait of a watch ago.
        """
        cell = Cell(instances=2)
        cell.advance(1.0)
        other = cell.ownerships[1 - cell.owner()]
        other.store = ReturningWatchStore(cell.store, cell.reactor)
        cell.store.wake()
        ages = []
        for _ in range(200):
            cell.advance(0.05)
            ages.append(other.store_age_s)
        assert max(ages[50:]) < MAX_CONTACT_AGE_S

    def test_the_contact_of_one_that_is_cut_off_grows_old(self):
        cell = Cell(instances=2)
        cell.advance(1.0)
        other = cell.ownerships[1 - cell.owner()]
        other.store = ReturningWatchStore(cell.store, cell.reactor)
        cell.store.wake()
        cell.advance(4.0)
        other.store = FakeStore()
        other.store.down = True
        cell.advance(5.0)
        assert other.store_age_s > MAX_CONTACT_AGE_S


class TestReplacedOwners:
    def make_cell(self):
        """Return a cell, and the index of its owner, whose watch hears nothing."""
        cell = Cell(instances=2)
        cell.advance(1.0)
        old = cell.owner()
        cell.ownerships[old].store = SilentWatchStore(cell.store)
        cell.store.wake()
        cell.advance(0.1)
        return cell, old

    def test_an_owner_that_does_not_hear_of_its_successor_steps_down(self):
        """Guards against renewing leases after the time that successors wait.

        The lease of its key lives on, although the key belongs to another one.
        """
        cell, old = self.make_cell()
        ownership = cell.ownerships[old]
        cell.ownerships[1 - old].handle_owner_death(
            ownership.owner, DeathEvidence.REFUSED
        )
        cell.advance(0.2)
        assert cell.ownerships[1 - old].fence is not None
        claimed_s = cell.clock.monotonic_s()
        cell.advance(1.0)
        assert cell.owners() == [1 - old]
        assert ownership.last_contact_s < claimed_s + 0.5

    def test_a_lease_that_could_not_be_ended_at_once_is_ended_later(self):
        """Guards against two owners after a call to the store that got no answer."""
        cell, old = self.make_cell()
        ownership = cell.ownerships[old]
        revoke, calls = cell.store.revoke_lease, []

        async def revoke_lease(lease_id):
            calls.append(lease_id)
            if len(calls) == 1:
                raise StoreUnavailableError("timeout")
            await revoke(lease_id)

        cell.store.revoke_lease = revoke_lease
        cell.ownerships[1 - old].handle_owner_death(
            ownership.owner, DeathEvidence.REFUSED
        )
        cell.advance(3.0)
        assert cell.owners() == [1 - old]


class TestEarlierOwners:
    """Guards against ending leases that the owner before the last one still renews.

    It may be cut off from the store while the ownership changes hands twice.
    """

    def make_cell(self):
        """Return a cell whose owner has replaced one that is only cut off."""
        cell = Cell(instances=3)
        cell.advance(AUTHORITY_S + 1.0)
        record = cell.ownerships[cell.owner()].owner
        cut = cell.owner()
        for index in {0, 1, 2} - {cut}:
            cell.ownerships[index].handle_owner_death(record, DeathEvidence.REFUSED)
        cell.advance(0.5)
        assert cell.owner() != cut
        # Claims no more.
        cell.ownerships[cut].stop_claiming()
        return cell

    def test_the_next_owner_dies(self):
        cell = self.make_cell()
        cell.advance(1.0)
        _, record = cell.kill_owner()
        for ownership in cell.ownerships:
            ownership.handle_owner_death(record, DeathEvidence.REPLACED)
        cell.advance(0.5)
        assert AUTHORITY_S - 2.5 < cell.events[-1][3] < AUTHORITY_S

    def test_the_next_owner_knows_how_long_they_may_renew(self):
        cell = self.make_cell()
        cell.advance(1.0)
        next_owner = cell.ownerships[cell.owner()]
        assert AUTHORITY_S - 2.5 < next_owner.earlier_authority_s < AUTHORITY_S
        cell.advance(AUTHORITY_S)
        assert next_owner.earlier_authority_s == 0.0

    def test_the_owner_that_takes_over_waits_for_them(self):
        cell = self.make_cell()
        old = cell.owner()
        fence = cell.ownerships[old].fence
        cell.ownerships[old].give_up("planned_stop")
        other = next(o for o in cell.ownerships if o.fence is None and not o._retiring)
        assert ensureDeferred(other.take_over(fence, 8.0)).result is True
        assert cell.events[-1][3] == 8.0
        assert other.earlier_authority_s == 8.0
