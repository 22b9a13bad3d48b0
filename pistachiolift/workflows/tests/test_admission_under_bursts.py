"""Which jobs are refused while capacity is short, and that no others are.

The loads are those of a cell with urgent checks, large runs and rebuilds, on 12 workers
of 48 cores.
"""

from math import exp, log

import pytest

from pistachiolift.common import CustomerId, JobId
from pistachiolift.workflows import AdmissionReason, Customer, Size
from pistachiolift.workflows.admission import (
    BACKLOG_AGE_S,
    REMEMBERED_JOBS,
    REMEMBERED_S,
    RETRY_LEAST_S,
    RETRY_MOST_S,
)
from pistachiolift.workflows.fleet_capacity import HOLD_S, KNOWN_S
from pistachiolift.workflows.urgency import LATE_LIMIT_FACTOR, objective_s

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

WORKERS, CORES = 12, 48
CAPACITY_CORES = WORKERS * CORES

CHECKS = make_queue("checks", priority=0, stretch=1.0, target_s=0.7)
LARGE = make_queue("large", priority=1, stretch=1.0, target_s=6.0)
REBUILDS = make_queue("rebuilds", priority=2, stretch=1.0, target_s=13.6)
QUEUES = (CHECKS, LARGE, REBUILDS)

CHECK = make_graph(make_step(3, cpu=10_000, estimate_s=0.8))
LARGE_RUN = make_graph(make_step(20, cpu=18_000, estimate_s=4.0))
REBUILD = make_graph(make_step(25, cpu=7_000, estimate_s=3.4))

# Shares of all cores that the kinds use on average.
SHARES = {"checks": 0.08, "large": 0.31, "rebuilds": 0.36}
GRAPHS = {"checks": CHECK, "large": LARGE_RUN, "rebuilds": REBUILD}

# The rates are far above the loads, so that all work is due.
CUSTOMERS = tuple(Customer(customer_id=CustomerId(n), weight=1e4) for n in "ab")

# Retries of a client after its first attempt.
CLIENT_RETRIES = 4


def work_core_s(graph):
    """Return the declared work of a job, in core-seconds."""
    return sum(s.count * s.size.cpu_milli * s.estimate_s / 1000 for s in graph.steps)


def rate_of(queue):
    """Return the usual rate of a kind, in jobs per second."""
    share = SHARES[queue.queue_id] * CAPACITY_CORES
    return share / work_core_s(GRAPHS[queue.queue_id])


class BurstCell(VirtualCell):
    """A cell whose clients submit through the admission, and retry what is refused.

    :param shadow: whether refused jobs are submitted nevertheless, to see what becomes
        of them.
    :param shortest: whether all tasks take half of their declared times.
    """

    def __init__(self, *, seed=1, shadow=False, shortest=False, retries=0, **kwargs):
        kwargs = {"customers": CUSTOMERS, "queues": QUEUES, **kwargs}
        super().__init__(
            workers=WORKERS, cpu=CORES * 1000, memory=1_000_000, seed=seed, **kwargs
        )
        self._shadow = shadow
        self._retries = retries
        self._factors = {}
        self.decisions = []
        self.refused = {}
        self.tries = []
        self._shortest = shortest
        self.duration_of = lambda key, step: step.estimate_s * self._factor(key)

    def _factor(self, key):
        if self._shortest:
            return 0.5
        if key not in self._factors:
            self._factors[key] = exp(self.rng.uniform(-log(2), log(2)))
        return self._factors[key]

    def decide(self, job_id, queue, graph, customer_id="a"):
        """Return the decision about a job that arrives now."""
        admission = self.scheduler.admission
        received_s, received_ms = admission.first_received(
            JobId(job_id), self.now_s, self.wall_ms
        )
        return admission.decide(
            JobId(job_id),
            queue,
            graph,
            received_s=received_s,
            received_ms=received_ms,
            now_s=self.now_s,
            wall_ms=self.wall_ms,
            customer_id=CustomerId(customer_id),
        )

    def hand_in(self, job_id, queue, graph, customer_id="a", tries=0):
        """Submit a job unless it is refused, and retry a refused one."""
        decision = self.decide(job_id, queue, graph, customer_id)
        self.decisions.append((self.now_s, queue.queue_id, decision))
        if decision.admitted or self._shadow:
            self.submit(job_id, queue, graph, customer_id)
        if not decision.admitted:
            self.refused[job_id] = (queue, graph, decision)
            self.tries.append(self.now_s)
            if tries < self._retries:
                self.at(
                    decision.retry_after_s,
                    self.hand_in,
                    job_id,
                    queue,
                    graph,
                    customer_id,
                    tries + 1,
                )
        return decision

    def arrive(self, queue, *, from_s, for_s, factor=1.0, customer_id="a"):
        """Let jobs of a kind arrive at random times."""
        graph, rate = GRAPHS[queue.queue_id], rate_of(queue) * factor
        at_s, number = from_s + self.rng.expovariate(rate), 0
        while at_s < from_s + for_s:
            name = f"{queue.queue_id}-{customer_id}-{from_s}-{number}"
            self.at(at_s, self.hand_in, name, queue, graph, customer_id)
            at_s += self.rng.expovariate(rate)
            number += 1

    def flood(self, queue, count, name="flood", customer_id="a"):
        """Submit jobs of a kind at once."""
        graph = GRAPHS[queue.queue_id]
        return [
            self.hand_in(f"{name}-{number}", queue, graph, customer_id)
            for number in range(count)
        ]

    def know_workers(self):
        """Run until the owner has known its workers for long enough."""
        self.run(KNOWN_S + 0.5)

    def useful(self, job_id):
        """Whether a job ended within three times its objective."""
        finished_s = self.finished_s.get(job_id)
        if finished_s is None:
            return False
        entry = self.scheduler.state.jobs_by_id[job_id]
        return finished_s - entry.received_s <= LATE_LIMIT_FACTOR * objective_s(entry)


class TestRebuildBurst:
    """Rebuilds arrive at 2.4 times their rate for 7 s, beside the usual load.

    Guards against refusals while there is room, or soon will be.
    """

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_nothing_is_refused(self, seed):
        cell = BurstCell(seed=seed)
        cell.know_workers()
        for queue in QUEUES:
            cell.arrive(queue, from_s=0.0, for_s=25.0)
        cell.arrive(REBUILDS, from_s=8.0, for_s=7.0, factor=1.4)
        cell.run(40.0)
        judged = [d for _, _, d in cell.decisions]
        assert len(judged) > 40
        assert {d.reason for d in judged} == {AdmissionReason.IN_TIME}

    @pytest.mark.parametrize("seed", [1, 2])
    def test_nothing_is_refused_while_a_third_of_the_workers_is_away(self, seed):
        cell = BurstCell(seed=seed)
        cell.know_workers()
        for queue in QUEUES:
            cell.arrive(queue, from_s=0.0, for_s=20.0)
        cell.arrive(REBUILDS, from_s=8.0, for_s=7.0, factor=1.4)
        cell.run(8.0)
        for fake in list(cell.workers_by_id.values())[: WORKERS // 3]:
            cell.crash_silently(fake)
        cell.run(30.0)
        assert not cell.refused


class TestChecksBesideAFloodOfRebuilds:
    """Rebuilds for 400 s arrive at once, and then urgent checks."""

    @pytest.fixture
    def cell(self):
        cell = BurstCell()
        cell.know_workers()
        cell.flood(REBUILDS, 400)
        return cell

    def test_the_rebuilds_that_cannot_end_in_time_are_refused(self, cell):
        refused = [d for _, _, d in cell.decisions if not d.admitted]
        assert 200 < len(refused) < 350
        for decision in refused:
            assert decision.reason is AdmissionReason.NO_CAPACITY
            assert decision.least_wait_s > decision.most_wait_s > 0
            assert decision.capacity_milli == CAPACITY_CORES * 1000

    def test_no_check_is_refused(self, cell):
        """Guards against urgent jobs that are refused because of other queues."""
        cell.arrive(CHECKS, from_s=0.0, for_s=10.0, factor=2.4)
        cell.run(14.0)
        checks = [d for _, queue_id, d in cell.decisions if queue_id == "checks"]
        assert len(checks) > 20
        assert all(d.reason is AdmissionReason.IN_TIME for d in checks)
        # The rebuilds are not expected to delay them either.
        assert max(d.wait_s for d in checks) < 1.0

    def test_what_is_refused_is_told_when_to_retry(self, cell):
        retries = [d.retry_after_s for _, _, d in cell.decisions if not d.admitted]
        assert set(retries) <= set(range(RETRY_LEAST_S, RETRY_MOST_S + 1))
        # They do not come back together.
        assert max(map(retries.count, set(retries))) < 0.7 * len(retries)


class TestCertainty:
    """Each refused job is run nevertheless, and must turn out to be of no use."""

    @pytest.mark.parametrize("shortest", [True, False])
    @pytest.mark.parametrize("seed", [1, 2])
    def test_after_a_flood_of_rebuilds(self, shortest, seed):
        """All tasks take half of their declared times, or between half and twice."""
        cell = BurstCell(seed=seed, shadow=True, shortest=shortest)
        cell.know_workers()
        cell.flood(REBUILDS, 300)
        cell.run(LATE_LIMIT_FACTOR * 17.0 + 1.0)
        assert len(cell.refused) > 50
        assert not [job_id for job_id in cell.refused if cell.useful(job_id)]

    @pytest.mark.parametrize("seed", [1, 2])
    def test_under_checks_at_30_times_their_rate(self, seed):
        cell = BurstCell(seed=seed, shadow=True, shortest=True)
        cell.know_workers()
        cell.arrive(CHECKS, from_s=0.0, for_s=8.0, factor=30.0)
        cell.run(16.0)
        assert not [job_id for job_id in cell.refused if cell.useful(job_id)]


class TestRetries:
    """Clients send refused jobs again, up to four times, when they were told to."""

    def test_a_job_is_judged_from_its_first_request(self):
        """Guards against retries that are accepted when they are of no use."""
        cell = BurstCell()
        cell.know_workers()
        cell.flood(CHECKS, 400)
        name, (queue, graph, decision) = next(iter(cell.refused.items()))
        limit_s = LATE_LIMIT_FACTOR * 1.5
        assert decision.reason is AdmissionReason.NO_CAPACITY
        cell.run(limit_s + 0.1)
        again = cell.decide(name, queue, graph)
        assert again.reason is AdmissionReason.TOO_LATE
        assert cell.decide("new", queue, graph).most_wait_s > again.most_wait_s

    def test_an_accepted_retry_keeps_the_time_of_its_first_request(self):
        cell = BurstCell(retries=CLIENT_RETRIES)
        cell.know_workers()
        cell.flood(REBUILDS, 150)
        name = next(iter(cell.refused))
        refused_s = cell.now_s
        cell.run(17.0)
        admission = cell.scheduler.admission
        received_s, _ = admission.first_received(JobId(name), cell.now_s, cell.wall_ms)
        assert received_s == refused_s
        per_job = len(cell.tries) / len(cell.refused)
        assert per_job <= 1 + CLIENT_RETRIES

    def test_the_memory_of_refused_jobs_is_bounded(self):
        cell = BurstCell()
        cell.know_workers()
        cell.flood(REBUILDS, 300)
        memory = cell.scheduler.admission._first_received
        for number in range(2 * REMEMBERED_JOBS):
            cell.decide(f"more-{number}", REBUILDS, REBUILD)
        assert len(memory) == REMEMBERED_JOBS
        cell.run(REMEMBERED_S + 1.0)
        cell.flood(REBUILDS, 400, name="later")
        assert not [job_id for job_id in memory if job_id.startswith("more")]


class TestTakeover:
    """The owner is replaced while there is far too much work."""

    def test_the_new_owner_refuses_nothing_until_it_knows_its_workers(self):
        cell = BurstCell()
        cell.know_workers()
        cell.flood(REBUILDS, 400)
        assert cell.refused
        # Time until the ledger holds the jobs that were accepted.
        cell.run(0.1)
        cell.replace_owner()
        first = cell.flood(REBUILDS, 40, name="after")
        assert {d.reason for d in first} == {AdmissionReason.NOT_JUDGED}
        cell.run(KNOWN_S - 0.5)
        assert cell.flood(REBUILDS, 1, name="still")[0].admitted
        cell.run(1.0)
        assert not cell.flood(REBUILDS, 1, name="later")[0].admitted

    def test_a_fleet_that_is_still_growing_is_not_known(self):
        """The directory is read while the owner starts."""
        cell = BurstCell()
        cell.run(KNOWN_S - 0.5)
        cell.add_worker(WORKERS, cpu=CORES * 1000, memory=1_000_000)
        cell.run(1.0)
        decision = cell.decide("j", REBUILDS, REBUILD)
        assert decision.reason is AdmissionReason.NOT_JUDGED
        cell.run(KNOWN_S)
        assert cell.decide("j", REBUILDS, REBUILD).reason is AdmissionReason.IN_TIME

    def test_nothing_is_judged_by_workers_that_have_not_reported(self):
        cell = BurstCell()
        for fake in cell.workers_by_id.values():
            fake.cut = True
        cell.replace_owner()
        cell.run(KNOWN_S + 1.0)
        decision = cell.decide("j", REBUILDS, REBUILD)
        assert decision.reason is AdmissionReason.NOT_JUDGED


class TestCellsWithoutCustomers:
    def test_nothing_is_refused(self):
        cell = BurstCell(customers=())
        cell.know_workers()
        assert all(
            d.reason is AdmissionReason.NOT_JUDGED for d in cell.flood(REBUILDS, 400)
        )


class TestWorkThatDoesNotCount:
    """Guards against refusals because of work that takes no room from a job."""

    def _refuses(self, cell):
        return not cell.decide("new", REBUILDS, REBUILD).admitted

    def _load(self, cell, *steps, queue=REBUILDS, customer_id="a", count=400):
        for number in range(count):
            cell.submit(f"load-{number}", queue, make_graph(*steps), customer_id)

    def test_the_same_work_counts_otherwise(self):
        cell = BurstCell()
        cell.know_workers()
        self._load(cell, *REBUILD.steps)
        assert self._refuses(cell)

    @pytest.mark.parametrize(
        "changes",
        [
            # No worker has the label.
            {"required_label": "none"},
            # Two workers have it; the others are free.
            {"required_label": "r9"},
            # No worker can hold it.
            {"cpu": CORES * 1000 + 1},
            # The fleet cannot hold it.
            {"gang": True, "count": 1 + CAPACITY_CORES // 7},
            # It reserves no processors.
            {"fills": True},
        ],
    )
    def test_work_that_needs_other_workers(self, changes):
        cell = BurstCell()
        cell.know_workers()
        fields = {"count": 25, "cpu": 7000, "estimate_s": 3.4, **changes}
        self._load(cell, make_step(**fields))
        assert not self._refuses(cell)

    def test_work_of_a_customer_above_its_cap(self):
        """It does not start before, so it keeps nothing from the others."""
        cap = Size(cpu_milli=CAPACITY_CORES * 100)
        customers = (
            Customer(customer_id=CustomerId("a"), weight=1e4, cap=cap),
            Customer(customer_id=CustomerId("b"), weight=1e4),
        )
        cell = BurstCell(customers=customers)
        cell.know_workers()
        self._load(cell, *REBUILD.steps, customer_id="a")
        assert cell.decide("new", REBUILDS, REBUILD, "b").admitted

    def test_excess_work_of_other_customers(self):
        customers = (
            Customer(customer_id=CustomerId("a"), weight=1.0),
            Customer(customer_id=CustomerId("b"), weight=1e4),
        )
        cell = BurstCell(customers=customers)
        cell.know_workers()
        self._load(cell, *REBUILD.steps, customer_id="a")
        assert cell.decide("new", REBUILDS, REBUILD, "b").admitted
        own = cell.decide("own", REBUILDS, REBUILD, "a")
        assert own.excess and not own.admitted

    def test_workers_that_have_just_left_still_count(self):
        """They may come back: a cut or a restart takes some seconds."""
        cell = BurstCell()
        cell.know_workers()
        self._load(cell, *REBUILD.steps, count=60)
        for fake in list(cell.workers_by_id.values())[1:]:
            cell.crash(fake.worker.worker_id)
        cell.run(1.0)
        assert not self._refuses(cell)
        cell.run(HOLD_S + 0.5)
        assert self._refuses(cell)


class TestExcessJobs:
    def test_due_work_of_any_priority_precedes_them(self):
        customers = (
            Customer(customer_id=CustomerId("a"), weight=1.0),
            Customer(customer_id=CustomerId("b"), weight=1e4),
        )
        cell = BurstCell(customers=customers)
        cell.know_workers()
        for number in range(40):
            cell.submit(f"due-{number}", REBUILDS, REBUILD, "b")
        assert cell.decide("first", CHECKS, CHECK, "a").admitted
        for number in range(2):
            cell.submit(f"check-{number}", CHECKS, CHECK, "a")
        decision = cell.decide("excess", CHECKS, CHECK, "a")
        assert decision.excess and not decision.admitted
        assert decision.reason is AdmissionReason.NO_CAPACITY


class TestJobsThatFitNowhere:
    """Guards against jobs that are held although no worker can ever run them."""

    def _gang(self, count):
        return make_graph(make_step(count, cpu=18_000, estimate_s=4.0, gang=True))

    def test_a_gang_larger_than_the_fleet_is_refused(self):
        cell = BurstCell()
        slots = WORKERS * (CORES // 18)
        cell.run(1.0)
        assert cell.decide("g", LARGE, self._gang(slots + 1)).admitted
        cell.know_workers()
        assert cell.decide("g", LARGE, self._gang(slots)).admitted
        decision = cell.decide("g", LARGE, self._gang(slots + 1))
        assert decision.reason is AdmissionReason.FITS_NOWHERE

    def test_a_worker_that_has_just_left_counts_as_room(self):
        cell = BurstCell()
        cell.know_workers()
        slots = WORKERS * (CORES // 18)
        cell.crash("w3")
        cell.run(1.0)
        assert cell.decide("g", LARGE, self._gang(slots)).admitted
        cell.run(HOLD_S + 0.5)
        assert not cell.decide("g", LARGE, self._gang(slots)).admitted

    def test_jobs_without_an_end_to_judge_by_are_accepted(self):
        cell = BurstCell()
        cell.know_workers()
        cell.flood(REBUILDS, 400)
        service = make_graph(make_step(long_running=True))
        timed = make_graph(occurrences=2, first_due_ms=cell.wall_ms, interval_ms=1000)
        without = make_queue("no-objective", priority=9, stretch=0.0, target_s=0.0)
        for queue, graph in [(REBUILDS, service), (REBUILDS, timed), (without, CHECK)]:
            decision = cell.decide("j", queue, graph)
            assert decision.reason is AdmissionReason.NOT_JUDGED

    def test_a_pool_without_workers_refuses_nothing(self):
        cell = BurstCell()
        cell.know_workers()
        queue = make_queue("other", pool_id="other")
        assert cell.decide("j", queue, CHECK).reason is AdmissionReason.NOT_JUDGED


class TestCost:
    def test_the_order_is_evaluated_at_a_bounded_rate(self):
        """60 submissions a second beside 2,000 waiting steps."""
        cell = BurstCell()
        cell.know_workers()
        step = make_step(25, cpu=7000, estimate_s=3.4)
        for number in range(1000):
            cell.scheduler.submit(
                JobId(f"load-{number}"),
                REBUILDS,
                make_graph(step, step),
                received_s=cell.now_s,
                received_ms=cell.wall_ms,
                customer_id=CustomerId("a"),
            )
        assert len(cell.scheduler.state.open_steps) >= 2000
        calls = []
        order = cell.scheduler.order
        key = order.key
        order.key = lambda *args: calls.append(args) or key(*args)
        for number in range(60):
            cell.decide(f"new-{number}", REBUILDS, REBUILD)
            cell.now_s += 1 / 60
        evaluations = 1 / BACKLOG_AGE_S + 1
        assert len(calls) <= evaluations * 2000 + 60
