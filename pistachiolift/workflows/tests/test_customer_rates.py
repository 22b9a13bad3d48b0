"""Tests of the division of jobs into due work and excess."""

import pytest

from pistachiolift.common import CustomerId
from pistachiolift.workflows import Customer, GraphScheduler
from pistachiolift.workflows.customer_rates import CustomerRates, effective_weights

from .virtual_cell import VirtualCell, make_graph, make_queue

QUEUE = make_queue()


def customer(name, weight):
    return Customer(customer_id=CustomerId(name), weight=weight)


def marks(cell):
    jobs = cell.scheduler.state.jobs_by_id
    return {job_id: job.excess for job_id, job in jobs.items()}


class TestWeights:
    """Guards against customers that have no due work, or unlimited due work."""

    def test_a_weight_that_is_not_positive_is_the_smallest_positive_one(self):
        weights = effective_weights(
            [customer("a", 3), customer("b", 0), customer("c", -1), customer("d", 2)]
        )
        assert weights == {"a": 3, "b": 2, "c": 2, "d": 2}

    def test_without_any_positive_weight_it_is_one(self):
        assert effective_weights([customer("a", 0), customer("b", -2)]) == {
            "a": 1,
            "b": 1,
        }


class TestBuckets:
    """Guards against marks that do not follow from the weight."""

    @pytest.mark.parametrize("weight", [0.5, 1, 4, 33])
    def test_the_due_rate_is_the_weight(self, weight):
        rates = CustomerRates()
        rates.set_customers([customer("a", weight)])
        due = sum(not rates.take("a", 1000 + ms) for ms in range(0, 20_000, 5))
        assert due == pytest.approx(20 * weight + max(1, weight), abs=1)

    def test_after_a_pause_one_second_of_jobs_is_due(self):
        rates = CustomerRates()
        rates.set_customers([customer("a", 5)])
        for at_ms in (1_000, 100_000):
            assert [rates.take("a", at_ms) for _ in range(7)] == 5 * [False] + [
                True,
                True,
            ]

    def test_a_clock_that_goes_back_adds_no_tokens(self):
        rates = CustomerRates()
        rates.set_customers([customer("a", 2)])
        assert [rates.take("a", at) for at in (9_000, 9_000, 5_000, 9_400, 9_500)] == [
            *(False, False, True, True, False)
        ]

    def test_jobs_without_a_known_customer_are_never_excess(self):
        rates = CustomerRates()
        rates.set_customers([customer("a", 1)])
        assert not any(rates.take("", 1_000) for _ in range(50))
        assert not any(rates.take("removed", 1_000) for _ in range(50))

    def test_a_changed_weight_changes_the_rate_from_then_on(self):
        rates = CustomerRates()
        rates.set_customers([customer("a", 10)])
        rates.set_customers([customer("a", 2)])
        assert sum(not rates.take("a", 1_000) for _ in range(10)) == 2
        rates.set_customers([customer("a", 10)])
        assert rates.take("a", 1_000)
        assert sum(not rates.take("a", 2_000) for _ in range(20)) == 10

    def test_a_reloaded_configuration_adds_no_tokens(self):
        rates = CustomerRates()
        for _ in range(5):
            rates.set_customers([customer("a", 1)])
            rates.take("a", 1_000)
        assert rates.take("a", 1_000)


class TestJobs:
    """Guards against marks that change when the owner does."""

    def make_cell(self, weight=2):
        return VirtualCell(queues=[QUEUE], customers=[customer("a", weight)])

    def test_a_repeated_submission_takes_no_token(self):
        cell = self.make_cell()
        for _ in range(3):
            cell.submit("j0", QUEUE, make_graph(), "a")
        cell.submit("j1", QUEUE, make_graph(), "a")
        assert marks(cell) == {"j0": False, "j1": False}

    def test_a_refused_job_returns_its_token(self):
        cell = self.make_cell(weight=1)
        cell.submit("j0", QUEUE, make_graph(), "a")
        cell.scheduler.withdraw("j0")
        cell.submit("j1", QUEUE, make_graph(), "a")
        cell.submit("j2", QUEUE, make_graph(), "a")
        assert marks(cell) == {"j1": False, "j2": True}

    @pytest.mark.parametrize("compacted", [False, True])
    def test_a_takeover_keeps_the_marks_and_the_tokens(self, compacted):
        def run(taken_over):
            cell = self.make_cell()
            for number in range(40):
                cell.submit(f"j{number}", QUEUE, make_graph(), "a")
                cell.run(0.1)
                if number == 20 and taken_over:
                    if compacted:
                        cell.committed = cell.scheduler.compact(
                            cell.committed, now_s=cell.now_s, wall_ms=cell.wall_ms
                        )
                    cell.replace_owner()
            return marks(cell)

        expected = run(False)
        assert sum(expected.values()) > 20
        assert run(True) == expected

    def test_a_takeover_after_a_lower_weight_keeps_due_work_due(self):
        cell = self.make_cell(weight=5)
        for number in range(5):
            cell.submit(f"j{number}", QUEUE, make_graph(), "a")
        cell.run(0.05)
        cell.scheduler.set_customers([customer("a", 1)])
        cell.replace_owner()
        assert not any(marks(cell).values())
        cell.submit("j5", QUEUE, make_graph(), "a")
        assert marks(cell)["j5"]

    def test_without_customers_nothing_is_excess(self):
        scheduler = GraphScheduler(fence=1, keep_final_s=60, longest_lease_s=10)
        for number in range(50):
            scheduler.submit(
                f"j{number}", QUEUE, make_graph(), received_s=1.0, received_ms=1_000
            )
        assert not any(job.excess for job in scheduler.state.jobs_by_id.values())
