"""Shares of the customers' caps with several owners, against a fake store (C7)."""

import random

import msgspec
import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as ReactorClock

from pistachiolift.common import (
    CustomerId,
    JobId,
    ManualClock,
    Metrics,
    QuotaRecord,
    StoreUnavailableError,
    WorkerId,
)
from pistachiolift.node.cap_shares import (
    CAP_SHARE_PREFIX,
    MAX_CHANGES,
    ROUND_INTERVAL_S,
    CapShares,
)
from pistachiolift.node.interfaces import TransactionConflictError
from pistachiolift.workflows import (
    Customer,
    EndKind,
    GraphScheduler,
    PoolId,
    ReportedEnd,
    ReportedRun,
    Size,
    StartRun,
    Worker,
    WorkerState,
)
from pistachiolift.workflows.tests.virtual_cell import make_graph, make_queue, make_step

from .fake_store import FakeStore

STEP_S = 0.1
C = CustomerId("c")


class LateStore(FakeStore):
    """Can also carry out a write after its answer was lost."""

    def __init__(self):
        super().__init__()
        self.calls = 0
        self.delays_next = False
        self.late: list[dict] = []

    async def list_prefix(self, prefix):
        self.calls += 1
        return await super().list_prefix(prefix)

    async def transact(self, **arguments):
        self.calls += 1
        if self.delays_next:
            self.delays_next = False
            self.late.append(arguments)
            self.down, was_down = True, self.down
            try:
                self._check()
            finally:
                self.down = was_down
        return await super().transact(**arguments)

    async def carry_out_late(self) -> bool:
        try:
            await super().transact(**self.late.pop(0))
        except (TransactionConflictError, StoreUnavailableError):
            return False
        return True


class OwnerStand:
    """One partition: its worker, and its present owner."""

    def __init__(self, cell, number):
        self.cell = cell
        self.number = number
        self.fence = 0
        # Runs on the worker with the time of their end, and ends to report.
        self.running: dict = {}
        self.ended: list[ReportedEnd] = []
        self.records: list = []
        self.worker = Worker(
            worker_id=WorkerId(f"w{number}"),
            address=f"10.0.0.{number}:1",
            pool_id=PoolId("pool"),
            zone="z",
            incarnation=1,
            state=WorkerState.READY,
            capacity=Size(cpu_milli=100_000, memory_mb=100_000),
        )
        self.shares = None
        self.take_over()

    def take_over(self):
        """Start a new owner from the durable records."""
        self.lose()
        self.fence = self.cell.next_fence()
        now_s, wall_ms = self.cell.now_s, self.cell.wall_ms
        self.scheduler = GraphScheduler(
            fence=self.fence, keep_final_s=600, longest_lease_s=10
        )
        self.scheduler.set_customers(self.cell.customers)
        self.scheduler.fleet.update_worker(self.worker, now_s=now_s)
        self.scheduler.replay(
            self.records, lease_end_s=now_s + 5, now_s=now_s, wall_ms=wall_ms
        )
        self.metrics = Metrics()
        self.shares = CapShares(
            self.cell.reactor,
            self.cell.store,
            partition=self.number,
            partitions=lambda: self.cell.count,
            fence=lambda: self.fence,
            clock=self.cell.clock,
            metrics=self.metrics,
            scheduler=self.scheduler,
            may_write=lambda: True,
            on_changed=lambda: None,
        )
        self.shares.start()

    def lose(self):
        """End the owner; the worker runs on."""
        if self.shares is not None:
            self.shares.close()
        self.shares = None

    def submit(self, name, *steps, duration_s=1.0, customer=C):
        self.cell.duration_by_job[JobId(name)] = duration_s
        self.scheduler.submit(
            JobId(name),
            make_queue(target_s=100.0),
            make_graph(*steps),
            received_s=self.cell.now_s,
            received_ms=self.cell.wall_ms,
            customer_id=customer,
        )

    def set_customers(self):
        if self.shares is not None:
            self.scheduler.set_customers(self.cell.customers)
            self.shares.handle_new_caps()

    def used(self, customer=C) -> int:
        """Return the processors that the customer's runs use, in thousandths."""
        return sum(
            size for (_, size, owner) in self.running.values() if owner == customer
        )

    def limit(self) -> int:
        return self.scheduler.state.caps.limit(C).cpu_milli

    def step(self):
        now_s = self.cell.now_s
        for key, (end_s, _, _) in list(self.running.items()):
            if now_s >= end_s:
                del self.running[key]
                self.ended.append(ReportedEnd(*key, EndKind.DONE))
        if self.shares is None:
            return
        scheduler = self.scheduler
        scheduler.tick(now_s)
        scheduler.fleet.extend_lease(self.worker.worker_id, now_s + 5)
        scheduler.fleet.apply_report(
            self.worker.worker_id,
            [
                ReportedRun(*key, percent=self._percent(key, end_s))
                for key, (end_s, _, _) in self.running.items()
            ],
            self.ended,
            complete=True,
            sent_s=now_s,
            now_s=now_s,
            wall_ms=self.cell.wall_ms,
        )
        self.ended = []
        self._commit()
        scheduler.dispatch(now_s=now_s, wall_ms=self.cell.wall_ms)
        self._commit()

    def _percent(self, key, end_s) -> int:
        """Return a run's progress; without any, it would count as stalled."""
        duration_s = self.cell.duration_by_job[key[0].job_id]
        left_s = max(0.0, end_s - self.cell.now_s)
        return min(99, int(100 * (1 - left_s / duration_s)))

    def _commit(self):
        records = self.scheduler.take_records()
        self.records += records
        self.scheduler.record_commit(len(records))
        for decision in self.scheduler.take_decisions():
            if isinstance(decision, StartRun):
                self._start(decision)

    def _start(self, order):
        order = self.scheduler.prepare_start(order, self.cell.now_s)
        if order is None:
            return
        job = self.scheduler.state.jobs_by_id[order.task.job_id]
        size = job.graph.steps[order.task.step].size.cpu_milli
        self.cell.check_start(job.customer_id, size)
        end_s = self.cell.now_s + self.cell.duration_by_job[job.job_id]
        self.running[order.task, order.number] = (end_s, size, job.customer_id)


class Cell:
    """Several partitions with one store; checks each start against the cap."""

    def __init__(self, count, cap=10_000, customers=None):
        self.count = count
        self.reactor = ReactorClock()
        self.clock = ManualClock()
        self.store = LateStore()
        self.duration_by_job: dict = {}
        self.customers = customers or [make_customer(cap)]
        self._fence = 0
        self.stands = []
        for number in range(count):
            self.stands.append(OwnerStand(self, number))

    @property
    def now_s(self):
        return self.clock.monotonic_s()

    @property
    def wall_ms(self):
        return int(self.clock.wall_s() * 1000)

    def next_fence(self):
        self._fence += 1
        return self._fence

    def set_cap(self, cap, stands=None):
        self.customers = [make_customer(cap)]
        for stand in stands or self.stands:
            stand.set_customers()

    def used(self, customer=C):
        return sum(stand.used(customer) for stand in self.stands)

    def check_start(self, customer, size):
        caps = [c.cap.cpu_milli for c in self.customers if c.customer_id == customer]
        total = self.used(customer) + size
        assert total <= (caps[0] or total), f"{customer} gets {total} of {caps[0]}"

    def check_shares(self):
        """Check that the shares, and what runs under them, stay within the cap."""
        cap = self.customers[0].cap.cpu_milli
        held = [
            max(stand.used(), stand.limit() if stand.shares else 0)
            for stand in self.stands
        ]
        assert sum(held) <= max(cap, self.used())
        return self.record()

    def record(self):
        entry = self.store.entries.get(CAP_SHARE_PREFIX + "c")
        if entry is None:
            return QuotaRecord()
        return msgspec.json.decode(entry.value, type=QuotaRecord[Size])

    def run(self, duration_s, *, check=True):
        for _ in range(round(duration_s / STEP_S)):
            self.clock.advance(STEP_S)
            self.reactor.advance(STEP_S)
            for stand in self.stands:
                stand.step()
            if check:
                self.check_shares()


def make_customer(cap, name=C):
    return Customer(customer_id=CustomerId(name), cap=Size(cpu_milli=cap))


class TestOneOwner:
    def test_the_store_sees_no_call(self):
        """Guards against load on the store in cells with one partition."""
        cell = Cell(1)
        cell.stands[0].submit("a", make_step(30))
        cell.run(1.0, check=False)
        assert cell.used() == 10_000
        cell.run(10, check=False)
        assert cell.store.calls == 0


class TestSeveralOwners:
    """Guards against owners that together exceed a cap, or do not get to use it."""

    def test_no_call_without_caps(self):
        cell = Cell(2, customers=[Customer(customer_id=C)])
        cell.stands[0].submit("a", make_step(30))
        cell.run(5, check=False)
        assert cell.store.calls == 0
        assert not cell.stands[0].running

    @pytest.mark.parametrize("count", [2, 4])
    def test_they_share_the_cap(self, count):
        cell = Cell(count)
        for stand in cell.stands:
            stand.submit(f"j{stand.number}", make_step(1000))
        cell.run(20)
        assert cell.used() >= 9000
        cell.run(40)
        assert min(stand.used() for stand in cell.stands) > 0
        assert cell.store.writes <= 60 * count

    def test_one_gets_the_whole_cap(self):
        """Work in one partition only, after another has used the cap."""
        cell = Cell(2)
        cell.stands[0].submit("a", make_step(20))
        cell.run(4)
        assert cell.stands[0].used() > 0
        cell.run(15)
        cell.stands[1].submit("b", make_step(100))
        cell.run(8)
        assert cell.stands[1].used() == 10_000

    def test_first_start_within_three_seconds(self):
        cell = Cell(4)
        cell.run(2.5)
        cell.stands[3].submit("a", make_step(1))
        cell.run(2.9)
        assert len(cell.stands[3].records) and "a" in {
            r.task.job_id
            for r in cell.stands[3].records
            if hasattr(r, "worker_id") and hasattr(r, "task")
        }

    @pytest.mark.parametrize("count", [2, 4])
    @pytest.mark.parametrize("position", [0, 1, -1])
    def test_a_gang_that_needs_most_of_the_cap(self, count, position):
        """Guards against a gang that waits for ever while others use the cap (G2)."""
        cell = Cell(count)
        others = [s for s in cell.stands if s is not cell.stands[position]]
        for stand in others:
            for number in range(900 // count):
                stand.submit(f"s{stand.number}-{number}", make_step(1))
        cell.run(10)
        cell.stands[position].submit("gang", make_step(9, gang=True))
        started = False
        for _ in range(15):
            cell.run(1)
            started = started or cell.stands[position].used() == 9000
        assert started
        # The others go on afterwards.
        cell.run(20)
        assert all(stand.used() for stand in others)

    @pytest.mark.parametrize("count", [2, 4])
    def test_gangs_that_need_most_of_the_cap_in_all_partitions(self, count):
        """Guards against owners that each hold a part of what all of them need."""
        cell = Cell(count)
        for stand in cell.stands:
            for number in range(4):
                stand.submit(f"g{stand.number}-{number}", make_step(7, gang=True))
                for small in range(10):
                    name = f"s{stand.number}-{number}-{small}"
                    stand.submit(name, make_step(1), duration_s=2.0)
        cell.run(60 * count)
        for stand in cell.stands:
            assert all(
                job.status.final for job in stand.scheduler.state.jobs_by_id.values()
            )


class TestFaults:
    def test_owner_lost(self):
        """Its share stays until its successor has taken it over."""
        cell = Cell(2)
        for stand in cell.stands:
            stand.submit(f"j{stand.number}", make_step(400))
        cell.run(20)
        lost, other = cell.stands
        lost.lose()
        cell.run(10)
        held = cell.record().shares["0"].size.cpu_milli
        assert held > 0
        assert other.used() <= 10_000 - held
        cell.store.down = True
        lost.take_over()
        assert lost.limit() == 0
        cell.store.down = False
        cell.run(10)
        assert lost.used() > 0
        assert cell.record().shares["0"].epoch == lost.fence

    def test_successor_counts_what_runs(self):
        cell = Cell(2)
        for stand in cell.stands:
            stand.submit(f"j{stand.number}", make_step(100), duration_s=4.0)
        for _ in range(12):
            cell.run(2.3)
            cell.stands[0].take_over()
        cell.run(5)
        assert cell.used() > 5000

    def test_store_away(self):
        """The shares stay as they are, and are used."""
        cell = Cell(2)
        for stand in cell.stands:
            stand.submit(f"j{stand.number}", make_step(400))
        cell.run(20)
        limits = [stand.limit() for stand in cell.stands]
        cell.store.down = True
        cell.run(10)
        assert [stand.limit() for stand in cell.stands] == limits
        assert cell.used() > 8000

    def test_nothing_before_the_first_read(self):
        cell = Cell(2)
        cell.store.down = True
        cell.run(0.1)
        cell.stands[0].take_over()
        cell.stands[0].submit("a", make_step(5), duration_s=5.0)
        cell.run(5)
        assert not cell.used()
        cell.store.down = False
        cell.run(1.5)
        assert cell.used() > 0

    def test_lost_answer_of_a_write(self):
        cell = Cell(2)
        for stand in cell.stands:
            stand.submit(f"j{stand.number}", make_step(400))
        for _ in range(15):
            cell.store.lost_answers = 1
            cell.run(1.7)
        cell.store.lost_answers = 0
        cell.run(5)
        assert cell.used() >= 9000

    def test_late_return_of_a_share_that_is_used_again(self):
        """Guards against a write that takes effect after its owner has given it up."""
        cell = Cell(2)
        second, first = cell.stands
        first.submit("a", make_step(40))
        cell.run(8)
        assert not first.used()
        cell.store.delays_next = True
        for _ in range(60):
            if not cell.store.late:
                cell.run(STEP_S)
        assert len(cell.store.late) == 1
        first.submit("b", make_step(40), duration_s=20.0)
        cell.run(1.5)
        assert first.used() == 10_000
        second.submit("c", make_step(40), duration_s=20.0)
        cell.run(STEP_S)
        finished = Deferred.fromCoroutine(cell.store.carry_out_late())
        assert finished.called
        cell.run(10)
        assert first.used() + second.used() == 10_000

    @pytest.mark.parametrize("seed", range(30))
    def test_any_faults(self, seed):
        """Lost owners, outages, lost answers, late writes and changed caps."""
        rng = random.Random(seed)
        cell = Cell(rng.choice([2, 3, 4]))
        number = 0
        for _ in range(60):
            stand = rng.choice(cell.stands)
            action = rng.randrange(10)
            if action < 4 and stand.shares is not None:
                number += 1
                gang = rng.random() < 0.3
                step = make_step(rng.randint(1, 8), gang=gang)
                stand.submit(f"j{number}", step, duration_s=rng.uniform(0.3, 5))
            elif action == 4:
                stand.take_over()
            elif action == 5:
                stand.lose()
            elif action == 6:
                cell.store.down = not cell.store.down
            elif action == 7:
                cell.store.lost_answers = rng.randrange(2)
            elif action == 8 and not cell.store.down:
                cell.store.delays_next = True
            elif action == 9:
                cell.set_cap(rng.choice([4000, 10_000, 16_000]))
            cell.run(rng.uniform(0.1, 2.0), check=False)
            if cell.store.late and rng.random() < 0.5 and not cell.store.down:
                finished = Deferred.fromCoroutine(cell.store.carry_out_late())
                assert finished.called
        cell.store.down, cell.store.lost_answers = False, 0
        cell.store.delays_next = False
        for stand in cell.stands:
            stand.take_over()
        cell.set_cap(10_000)
        cell.run(100, check=False)
        for stand in cell.stands:
            jobs = stand.scheduler.state.jobs_by_id.values()
            assert all(job.status.final for job in jobs)


class TestChangedCap:
    """Guards against starts above a lowered cap while other owners use more."""

    def test_lowered_below_the_use(self):
        cell = Cell(2)
        first, second = cell.stands
        first.submit("a", make_step(100), duration_s=10.0)
        cell.run(6)
        assert first.used() >= 8000
        second.submit("b", make_step(100))
        cell.set_cap(4000)
        cell.run(3)
        # What runs is not stopped, and nothing is started.
        assert not second.used()
        cell.run(30)
        assert 3000 <= cell.used() <= 4000
        assert cell.record().total(Size()).cpu_milli <= 4000

    def test_one_owner_learns_of_it_later(self):
        """The other must not start anything that the shares do not allow."""
        cell = Cell(2)
        for stand in cell.stands:
            stand.submit(f"j{stand.number}", make_step(400))
        cell.run(20)
        cell.set_cap(5000, stands=cell.stands[:1])
        cell.customers = [make_customer(10_000)]
        cell.run(3)
        cell.set_cap(5000)
        cell.run(5)
        assert cell.record().total(Size()).cpu_milli <= 5000
        cell.set_cap(10_000)
        cell.run(10)
        assert cell.used() >= 9000


class TestManyCustomers:
    def test_more_than_one_transaction_holds(self):
        """Guards against customers that never get their share written."""
        names = [f"c{number}" for number in range(3 * MAX_CHANGES)]
        cell = Cell(2, customers=[make_customer(5000, name) for name in names])
        for name in names:
            cell.stands[0].submit(
                name, make_step(5), duration_s=60.0, customer=CustomerId(name)
            )
        cell.run(3 * ROUND_INTERVAL_S + 0.5, check=False)
        started = {r.task.job_id for r in cell.stands[0].records if hasattr(r, "run")}
        assert started == set(names)
