"""Which jobs are refused in a burst, and that no others are."""

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
from pistachiolift.workflows.fleet_capacity import KNOWN_S
from pistachiolift.workflows.urgency import LATE_LIMIT_FACTOR

from .burst_cell import (
    CAPACITY_CORES,
    CHECKS,
    CLIENT_RETRIES,
    CORES,
    QUEUES,
    REBUILD,
    REBUILDS,
    WORKERS,
    BurstCell,
)
from .virtual_cell import make_graph, make_step


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

    @pytest.mark.parametrize("seed", [1, 2])
    def test_after_a_flood_of_rebuilds_of_a_capped_customer(self, seed):
        cap = Size(cpu_milli=200_000)
        customers = (Customer(customer_id=CustomerId("a"), weight=1e4, cap=cap),)
        cell = BurstCell(seed=seed, shadow=True, shortest=True, customers=customers)
        cell.know_workers()
        cell.flood(REBUILDS, 80)
        cell.run(LATE_LIMIT_FACTOR * 17.0 + 1.0)
        assert len(cell.refused) > 20
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

    def test_a_question_about_a_job_is_not_remembered(self):
        """Guards against answers to operators that change the decision."""
        cell = BurstCell()
        cell.know_workers()
        cell.flood(REBUILDS, 150)
        assert not cell.decide("asked", REBUILDS, REBUILD).admitted
        cell.run(1.0)
        admission = cell.scheduler.admission
        assert admission.first_received(JobId("asked"), 7.0, 7) == (7.0, 7)

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
        cell.flood(REBUILDS, 2 * REMEMBERED_JOBS, name="more")
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
