"""Checks in a virtual cell that the running tasks of customers stay within their caps.

The check counts what the simulated workers run, independently of the scheduler.
"""

from collections import Counter

from pistachiolift.common import CustomerId
from pistachiolift.workflows import Customer, Size
from pistachiolift.workflows.caps import cap_limit

__all__ = ["CapCheck", "make_customer"]


def make_customer(name="c", *, cpu=0, memory=0, weight=1.0) -> Customer:
    """Return a customer with a cap, in thousandths of a core and in megabytes."""
    return Customer(
        customer_id=CustomerId(name),
        weight=weight,
        cap=Size(cpu_milli=cpu, memory_mb=memory),
    )


class CapCheck:
    """The customers of a cell, and what their tasks use on the workers.

    :param cell: the virtual cell.
    """

    def __init__(self, cell):
        self._cell = cell
        self.customers: tuple[Customer, ...] = ()
        # Earlier customers, with the time until which they were in force.
        self._earlier: list[tuple[float, tuple[Customer, ...]]] = []
        self._jobs: dict = {}
        # Most processors in use at a time by customer, in thousandths of a core.
        self.peak_by_customer: Counter = Counter()
        self.starts_by_customer: Counter = Counter()

    def set_customers(self, customers) -> None:
        """Change the customers; starts sent before may still arrive."""
        self._earlier.append((self._cell.now_s, self.customers))
        self.customers = tuple(customers)

    def add_job(self, job_id, graph, customer_id) -> None:
        """Keep a job's customer and graph after the scheduler has forgotten it."""
        self._jobs.setdefault(job_id, (graph, CustomerId(customer_id)))

    def _job(self, job_id):
        """Return graph and customer; tests may submit to the scheduler directly."""
        if job_id not in self._jobs:
            job = self._cell.scheduler.state.jobs_by_id[job_id]
            self._jobs[job_id] = job.graph, job.customer_id
        return self._jobs[job_id]

    def graph(self, job_id):
        """Return a job's graph, also after the scheduler has forgotten the job."""
        return self._job(job_id)[0]

    def running(self, customer_id) -> Size:
        """Return what the customer's tasks use on all workers, also cut off ones."""
        total = Size()
        for fake in self._cell.workers_by_id.values():
            if not fake.alive:
                continue
            for task, _ in fake.running:
                graph, owner = self._job(task.job_id)
                if owner == customer_id:
                    total = total.plus(graph.steps[task.step].size)
        return total

    def check_start(self, task, sent_s: float) -> None:
        """Check a start before it is carried out.

        :param sent_s: time at which it was sent.
        """
        graph, customer_id = self._job(task.job_id)
        if not customer_id:
            return
        total = self.running(customer_id).plus(graph.steps[task.step].size)
        self.starts_by_customer[customer_id] += 1
        peak = self.peak_by_customer[customer_id]
        self.peak_by_customer[customer_id] = max(peak, total.cpu_milli)
        in_force = [self.customers]
        in_force += [each for end_s, each in self._earlier if end_s >= sent_s]
        assert any(_allow(each, customer_id, total) for each in in_force), (
            f"{task} brings {customer_id} to {total}"
        )

    def check_totals(self) -> None:
        """Check that the scheduler's totals are the sum over the workers' runs."""
        state = self._cell.scheduler.state
        charges = []
        for worker in state.workers_by_id.values():
            charges += worker.possible_charges_by_run.values()
            charges += [run.charge for run in worker.runs.values() if run.charge]
        totals: dict = {}
        for charge in charges:
            total = totals.get(charge.customer_id, Size())
            totals[charge.customer_id] = total.plus(charge.size)
        totals = {name: size for name, size in totals.items() if size != Size()}
        assert state.caps.used_by_customer() == totals


def _allow(customers, customer_id, total: Size) -> bool:
    """Whether a version of the configuration allows a customer's use."""
    caps = [each.cap for each in customers if each.customer_id == customer_id]
    return all(total.fits_in(cap_limit(cap)) for cap in caps)
