"""Recorded loads of three kinds and several customers, for comparisons of orders."""

import math
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from pistachiolift.common import CustomerId
from pistachiolift.workflows import Customer, JobStatus
from pistachiolift.workflows.urgency import objective_s

from .virtual_cell import VirtualCell, make_graph, make_queue, make_step

# A quarter of the cores of the deployment. Large runs and rebuilds have
# half of the tasks at twice the rate, so that there are enough of them.
WORKERS_CPU_MILLI = 22 * (32_000, 64_000)
# Passes of the owner are at least this far apart.
PASS_S = 0.02
REPORT_S = 0.5
LATE_VALUE = 0.2
LATE_LIMIT = 3.0
BEGIN_S = 5.0
DRAIN_S = 25.0


@dataclass(frozen=True)
class Kind:
    """A kind of job.

    :param per_s: jobs per second at the usual load.
    """

    queue: object
    per_s: float
    tasks: int
    cpu_milli: int
    estimate_s: float

    @property
    def name(self) -> str:
        return str(self.queue.queue_id)

    @property
    def worth(self) -> float:
        """Worth of a job; at the usual load every kind is worth the same."""
        return 1 / self.per_s


KINDS = (
    Kind(
        make_queue("urgent", priority=0, stretch=1.5, target_s=0.3),
        per_s=9.5,
        tasks=3,
        cpu_milli=10_000,
        estimate_s=0.8,
    ),
    Kind(
        make_queue("large", priority=1, stretch=2.0, target_s=2.0),
        per_s=1.0,
        tasks=10,
        cpu_milli=18_000,
        estimate_s=4.0,
    ),
    Kind(
        make_queue("rebuild", priority=2, stretch=4.0, target_s=3.4),
        per_s=2.35,
        tasks=12,
        cpu_milli=7_000,
        estimate_s=3.4,
    ),
)
KIND_BY_NAME = {kind.name: kind for kind in KINDS}


@dataclass(frozen=True)
class Burst:
    """A change of the rate of some jobs for some time.

    :param kind: name of the kind; empty for all.
    :param customer: index of the customer; ``None`` for all.
    """

    factor: float
    begin_s: float = BEGIN_S
    duration_s: float = math.inf
    kind: str = ""
    customer: int | None = None

    def covers(self, at_s: float, kind: str, customer: int) -> bool:
        """Whether the burst applies to jobs of a kind and a customer at a time."""
        return (
            self.begin_s <= at_s < self.begin_s + self.duration_s
            and self.kind in ("", kind)
            and self.customer in (None, customer)
        )


@dataclass(frozen=True)
class Load:
    """A load, the same for every order.

    :param weights: weight of each customer, which is also its share of the usual load.
    :param due_factor: sum of the weights over the usual rate of jobs.
    :param events: calls on the cell, by the time after the begin of the load.
    """

    name: str
    bursts: tuple[Burst, ...] = ()
    weights: tuple[float, ...] = (8, 5, 4, 3, 3, 2, 2, 1, 1, 1)
    due_factor: float = 1.5
    duration_s: float = 24.0
    events: tuple[tuple[float, Callable], ...] = ()
    workers_at_s: float = 0.0

    def customers(self) -> list[Customer]:
        """Return the customers with their weights in jobs per second."""
        usual = sum(kind.per_s for kind in KINDS)
        unit = self.due_factor * usual / sum(self.weights)
        return [
            Customer(customer_id=CustomerId(f"c{index}"), weight=unit * weight)
            for index, weight in enumerate(self.weights)
        ]

    def jobs(self, seed: int) -> list[tuple[float, Kind, int, object]]:
        """Return the time, kind, customer and graph of each job."""
        rng = random.Random(f"{self.name} {seed}")
        found = []
        for kind in KINDS:
            for customer, weight in enumerate(self.weights):
                usual = kind.per_s * weight / sum(self.weights)
                at_s = 0.0
                peak = max(
                    [1.0]
                    + [
                        math.prod(
                            burst.factor
                            for burst in self.bursts
                            if burst.covers(other.begin_s, kind.name, customer)
                        )
                        for other in self.bursts
                    ]
                )
                while True:
                    at_s += rng.expovariate(usual * peak)
                    if at_s >= self.duration_s:
                        break
                    factor = math.prod(
                        burst.factor
                        for burst in self.bursts
                        if burst.covers(at_s, kind.name, customer)
                    )
                    if rng.random() > factor / peak:
                        continue
                    size = min(3.0, max(0.3, rng.lognormvariate(0, 0.5)))
                    count = max(1, round(kind.tasks * size))
                    step = make_step(
                        count,
                        cpu=kind.cpu_milli,
                        estimate_s=kind.estimate_s * rng.uniform(0.8, 1.2),
                    )
                    found.append((at_s, kind, customer, make_graph(step)))
        return sorted(found, key=lambda item: item[0])


class LoadedCell(VirtualCell):
    """A cell with passes at intervals, as the owner makes them.

    :param make_order: replaces the order of a scheduler; ``None`` to keep it.
    """

    def __init__(self, *, make_order=None, **options):
        self._make_order = make_order
        self._pass_scheduled = False
        super().__init__(workers=0, **options)
        self.report_s = REPORT_S

    def _make_scheduler(self, fence):
        scheduler = super()._make_scheduler(fence)
        if self._make_order is not None:
            scheduler.order.arrange = self._make_order(scheduler.state)
        return scheduler

    def _decide(self):
        if not self._pass_scheduled:
            self._pass_scheduled = True
            self._after(PASS_S, self._pass)

    def _pass(self):
        self._pass_scheduled = False
        super()._decide()
        self._record_changes()

    def _record_finished(self):
        """Done once a pass, since it visits all jobs."""

    def _record_changes(self):
        for job_id, job in self.scheduler.state.jobs_by_id.items():
            if job.status.final:
                self.finished_s.setdefault(job_id, self.now_s)


@dataclass
class Tally:
    """Worth of jobs owed and earned."""

    owed: float = 0.0
    earned: float = 0.0
    jobs: int = 0
    late: int = 0
    lost: int = 0

    def add(self, worth: float, share: float) -> None:
        """Add a job that has earned a share of its worth."""
        self.owed += worth
        self.earned += worth * share
        self.jobs += 1
        self.late += share == LATE_VALUE
        self.lost += share == 0

    @property
    def share(self) -> float:
        """Earned share; 1 if nothing is owed."""
        return self.earned / self.owed if self.owed else 1.0


@dataclass
class Outcome:
    """Result of a load under an order.

    :param by_size: tallies of the largest tenth of a kind and of the fifth below it,
        by kind and name.
    :param longest_wait_s: longest time to the first start, by kind; jobs that have not
        started count until the end.
    :param excess_core_s: core-seconds of excess jobs, by customer, while all customers
        with excess had some waiting.
    """

    total: Tally = field(default_factory=Tally)
    by_kind: dict = field(default_factory=lambda: defaultdict(Tally))
    by_size: dict = field(default_factory=lambda: defaultdict(Tally))
    by_customer: dict = field(default_factory=lambda: defaultdict(Tally))
    by_mark: dict = field(default_factory=lambda: defaultdict(Tally))
    longest_wait_s: dict = field(default_factory=lambda: defaultdict(float))
    excess_core_s: dict = field(default_factory=lambda: defaultdict(float))

    @property
    def worst_tenth(self) -> float:
        """Earned share of the worst-served tenth of the customers."""
        tallies = sorted(self.by_customer.values(), key=lambda each: each.share)
        worst = tallies[: max(1, len(tallies) // 10)]
        return sum(t.earned for t in worst) / sum(t.owed for t in worst)


def run_load(load: Load, *, policy=None, make_order=None, seed=1) -> Outcome:
    """Run a load to its end and return what it earned.

    :param policy: order of the due work; ``None`` for the one in force.
    :param make_order: returns the function that arranges the steps, instead.
    """
    cell = LoadedCell(
        queues=[kind.queue for kind in KINDS],
        customers=load.customers(),
        policy=policy,
        make_order=make_order,
    )
    rng = random.Random(seed)
    factors = defaultdict(lambda: rng.uniform(0.85, 1.2))
    cell.duration_of = lambda key, step: step.estimate_s * factors[key]

    def add_workers():
        for index, cpu in enumerate(WORKERS_CPU_MILLI):
            cell.add_worker(index, cpu=cpu, memory=1_000_000)

    cell.at(load.workers_at_s, add_workers)
    jobs = {}
    marks = {}

    def submit(job_id, kind, customer, graph):
        cell.submit(job_id, kind.queue, graph, f"c{customer}")
        marks[job_id] = cell.scheduler.state.jobs_by_id[job_id].excess

    for number, (at_s, kind, customer, graph) in enumerate(load.jobs(seed)):
        job_id = f"{kind.name}-{number}"
        jobs[job_id] = (kind, customer, graph)
        cell.at(at_s, submit, job_id, kind, customer, graph)
    for at_s, event in load.events:
        cell.at(at_s, event, cell)
    outcome = Outcome()
    _watch_excess(cell, outcome)
    cell.run(load.duration_s + DRAIN_S)
    _evaluate(cell, jobs, marks, outcome)
    return outcome


def _watch_excess(cell, outcome):
    """Add up the cores of excess work while all customers with excess wait."""
    state = cell.scheduler.state
    with_excess = {j.customer_id for j in state.jobs_by_id.values() if j.excess}
    waiting = {s.job.customer_id for s in state.open_steps.values() if s.job.excess}
    if len(waiting) > 1 and waiting == with_excess:
        for worker in state.workers_by_id.values():
            for run in worker.runs.values():
                job = state.jobs_by_id.get(run.task.job_id)
                if job is not None and job.excess:
                    cores = run.size.cpu_milli / 1000
                    outcome.excess_core_s[job.customer_id] += 0.1 * cores
    cell.at(0.1, _watch_excess, cell, outcome)


def _evaluate(cell, jobs, marks, outcome):
    sizes = defaultdict(list)
    for job_id, (kind, _, graph) in jobs.items():
        step = graph.steps[0]
        sizes[kind.name].append((step.count * step.estimate_s, job_id))
    group_by_job = {}
    for found in sizes.values():
        found.sort(reverse=True)
        tenth, fifth = math.ceil(len(found) / 10), math.ceil(len(found) / 5)
        for index, (_, job_id) in enumerate(found[: tenth + fifth]):
            group_by_job[job_id] = "largest tenth" if index < tenth else "next fifth"
    for job_id, (kind, customer, _) in jobs.items():
        share = _earned_share(cell, job_id)
        outcome.total.add(kind.worth, share)
        outcome.by_kind[kind.name].add(kind.worth, share)
        outcome.by_customer[customer].add(kind.worth, share)
        outcome.by_mark["excess" if marks[job_id] else "due"].add(kind.worth, share)
        if job_id in group_by_job:
            outcome.by_size[kind.name, group_by_job[job_id]].add(kind.worth, share)
        start_s = cell.first_start_s.get(job_id, cell.now_s)
        wait_s = start_s - cell.submitted_s[job_id]
        longest = outcome.longest_wait_s
        longest[kind.name] = max(longest[kind.name], wait_s)


def _earned_share(cell, job_id) -> float:
    job = cell.scheduler.state.jobs_by_id.get(job_id)
    if job is None or job.status is not JobStatus.COMPLETED:
        return 0.0
    took = cell.took_s(job_id) / objective_s(job)
    if took <= 1:
        return 1.0
    return LATE_VALUE if took <= LATE_LIMIT else 0.0
