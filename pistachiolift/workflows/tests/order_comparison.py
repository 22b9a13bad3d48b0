"""Compares orders on recorded loads in virtual time.

``python -m pistachiolift.workflows.tests.order_comparison`` prints the table in
docs/design/order-by-cost.md.
"""

import math
import random
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

import click

from pistachiolift.workflows import JobStatus
from pistachiolift.workflows.order import BandsFirst, PriorityFirst, ValuePerWork
from pistachiolift.workflows.urgency import objective_s

from .burst_loads import KINDS, LOADS, WORKERS_CPU_MILLI, Load
from .virtual_cell import VirtualCell

# Passes of the owner are at least this far apart.
PASS_S = 0.04
REPORT_S = 0.5
LATE_VALUE = 0.2
LATE_LIMIT = 3.0
DRAIN_S = 20.0


class Variant(Enum):
    """What decides about the order."""

    # Before customers: bands before priority, no room kept, nothing raised.
    EARLIER = "earlier order"
    # The policies with the shares of the customers, ageing, and room kept.
    BANDS_FIRST = "bands before priority"
    PRIORITY_FIRST = "priority before bands"
    VALUE_PER_WORK = "value per core-second"
    NO_ROOM_KEPT = "in force, no room kept"
    IN_FORCE = "in force"


POLICY_BY_VARIANT = {
    Variant.BANDS_FIRST: BandsFirst,
    Variant.PRIORITY_FIRST: PriorityFirst,
    Variant.VALUE_PER_WORK: ValuePerWork,
}


class LoadedCell(VirtualCell):
    """A cell with passes at intervals, as the owner makes them."""

    def __init__(self, variant: Variant, **options):
        self._variant = variant
        policy = POLICY_BY_VARIANT.get(variant)
        options["policy"] = None if policy is None else policy()
        self._pass_scheduled = False
        self._requests_by_id = {}
        super().__init__(workers=0, **options)
        self.report_s = REPORT_S

    def _make_scheduler(self, fence):
        scheduler = super()._make_scheduler(fence)
        if self._variant is Variant.EARLIER:
            scheduler.order = _EarlierOrder(scheduler.state)
            scheduler._dispatcher.order = scheduler.order
        if self._variant is Variant.NO_ROOM_KEPT:
            scheduler.order.holds_room = lambda step, now_s, wall_ms: False
        return scheduler

    def submit(self, job_id, *args):
        """Submit a job, and keep the request for a repetition."""
        self._requests_by_id[job_id] = args
        return super().submit(job_id, *args)

    def replace_owner(self, directory=None):
        """Replace the owner; callers without an answer repeat their requests."""
        super().replace_owner(directory)
        known = self.scheduler.state.jobs_by_id
        for job_id in [each for each in self._requests_by_id if each not in known]:
            super().submit(job_id, *self._requests_by_id[job_id])

    def _decide(self):
        if not self._pass_scheduled:
            self._pass_scheduled = True
            self._after(PASS_S, self._pass)

    def _pass(self):
        self._pass_scheduled = False
        super()._decide()
        self.record_changes()

    def _record_finished(self):
        """Done once a pass, since it visits all jobs."""

    def record_changes(self):
        """Record the jobs that have finished."""
        for job_id, job in self.scheduler.state.jobs_by_id.items():
            if job.status.final:
                self.finished_s.setdefault(job_id, self.now_s)


class _EarlierOrder:
    """The order before there were customers."""

    def __init__(self, state):
        self._state = state

    def arrange(self, now_s, wall_ms):
        key = BandsFirst().key
        steps = self._state.open_steps.values()
        return sorted(steps, key=lambda step: key(step, now_s, wall_ms))

    def holds_room(self, step, now_s, wall_ms):
        return False


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
    :param due_by_kind: tallies of the due work.
    :param is_excess: whether each job is excess at the end.
    :param work_core_s: declared work of all jobs.
    :param unstarted: jobs that have not started before the end.
    :param raised_jobs: number of jobs that were raised because of their wait.
    :param first_raised_after_s: wait after which the first of them was raised.
    :param changed: jobs that became due or excess after their submission.
    :param longest_wait_s: longest time to the first start, by kind; jobs that have not
        started count until the end.
    :param excess_core_s: core-seconds of excess jobs of the watched customers, while
        all of them had some waiting.
    """

    total: Tally = field(default_factory=Tally)
    by_kind: dict = field(default_factory=lambda: defaultdict(Tally))
    by_size: dict = field(default_factory=lambda: defaultdict(Tally))
    by_customer: dict = field(default_factory=lambda: defaultdict(Tally))
    due_by_kind: dict = field(default_factory=lambda: defaultdict(Tally))
    is_excess: dict = field(default_factory=dict)
    work_core_s: float = 0.0
    unstarted: list = field(default_factory=list)
    raised_jobs: int = 0
    first_raised_after_s: float = math.inf
    changed: list = field(default_factory=list)
    longest_wait_s: dict = field(default_factory=lambda: defaultdict(float))
    excess_core_s: dict = field(default_factory=lambda: defaultdict(float))

    @property
    def worst_tenth(self) -> float:
        """Earned share of the worst-served tenth of the customers."""
        tallies = sorted(self.by_customer.values(), key=lambda each: each.share)
        worst = tallies[: max(1, len(tallies) // 10)]
        return sum(t.earned for t in worst) / sum(t.owed for t in worst)


def run_load(load: Load, variant: Variant, *, seed=1) -> Outcome:
    """Run a load to its end and return what it earned."""
    cell = LoadedCell(
        variant, queues=[kind.queue for kind in KINDS], customers=load.customers()
    )
    rng = random.Random(seed)
    factors = defaultdict(lambda: rng.uniform(0.85, 1.2))
    cell.duration_of = lambda key, step: step.estimate_s * factors[key]

    def add_workers():
        for index, cpu in enumerate(WORKERS_CPU_MILLI):
            cell.add_worker(index, cpu=cpu, memory=1_000_000)

    cell.at(load.workers_at_s, add_workers)
    jobs = {}
    outcome = Outcome()

    def submit(job_id, kind, customer, graph):
        cell.submit(job_id, kind.queue, graph, f"c{customer}")
        job = cell.scheduler.state.jobs_by_id[job_id]
        outcome.is_excess[job_id] = job.excess

    for number, (at_s, kind, customer, graph) in enumerate(load.jobs(seed)):
        job_id = f"{kind.name}-{number}"
        jobs[job_id] = (kind, customer, graph)
        cell.at(at_s, submit, job_id, kind, customer, graph)
    for at_s, event in load.events:
        cell.at(at_s, event, cell)
    _watch_raised(cell, set(), outcome)
    if load.watched:
        _watch_excess(cell, {f"c{index}" for index in load.watched}, outcome)
    cell.run(load.duration_s + DRAIN_S)
    cell.record_changes()
    _evaluate(cell, jobs, outcome)
    return outcome


def _watch_excess(cell, watched, outcome):
    """Add up the cores of excess work while all watched customers have some waiting."""
    state = cell.scheduler.state
    waiting = {s.job.customer_id for s in state.open_steps.values() if s.job.excess}
    if watched <= waiting:
        for worker in state.workers_by_id.values():
            for run in worker.runs.values():
                job = state.jobs_by_id.get(run.task.job_id)
                if job is not None and job.excess and job.customer_id in watched:
                    cores = run.size.cpu_milli / 1000
                    outcome.excess_core_s[job.customer_id] += 0.1 * cores
    cell.at(0.1, _watch_excess, cell, watched, outcome)


def _watch_raised(cell, seen, outcome):
    """Count the jobs that are raised."""
    new = set(getattr(cell.scheduler.order, "raised_job_ids", ())) - seen
    if new and not seen:
        waits_s = [cell.now_s - cell.submitted_s[job_id] for job_id in new]
        outcome.first_raised_after_s = max(waits_s)
    seen |= new
    outcome.raised_jobs = len(seen)
    cell.at(0.1, _watch_raised, cell, seen, outcome)


def _evaluate(cell, jobs, outcome):
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
    for job_id, (kind, customer, graph) in jobs.items():
        share = _earned_share(cell, job_id)
        outcome.total.add(kind.worth, share)
        outcome.by_kind[kind.name].add(kind.worth, share)
        outcome.by_customer[customer].add(kind.worth, share)
        if not outcome.is_excess[job_id]:
            outcome.due_by_kind[kind.name].add(kind.worth, share)
        job = cell.scheduler.state.jobs_by_id.get(job_id)
        if job is not None and job.excess != outcome.is_excess[job_id]:
            outcome.changed.append(job_id)
        if job_id in group_by_job:
            outcome.by_size[kind.name, group_by_job[job_id]].add(kind.worth, share)
        step = graph.steps[0]
        outcome.work_core_s += step.count * step.size.cpu_milli / 1000 * step.estimate_s
        if job_id not in cell.first_start_s:
            outcome.unstarted.append(job_id)
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


def print_table(seeds: range) -> None:
    """Print the mean results of all loads and variants as a table."""
    click.echo(
        "| load | order | total | urgent | large | rebuild | due urgent | due large"
        " | due rebuild | least largest tenth | least next fifth | worst customers"
        " | longest wait, s |"
    )
    click.echo("|" + "---|" * 13)
    for load in LOADS:
        for variant in Variant:
            outcomes = [run_load(load, variant, seed=seed) for seed in seeds]
            rows = [_row(outcome) for outcome in outcomes]
            means = [sum(column) / len(rows) for column in zip(*rows, strict=True)]
            longest_s = max(max(o.longest_wait_s.values()) for o in outcomes)
            cells = " | ".join(f"{mean:.3f}" for mean in means)
            click.echo(f"| {load.name} | {variant.value} | {cells} | {longest_s:.1f} |")


def _row(outcome: Outcome) -> list[float]:
    names = ("urgent", "large", "rebuild")
    row = [outcome.total.share]
    row += [outcome.by_kind[name].share for name in names]
    row += [outcome.due_by_kind[name].share for name in names]
    for group in ("largest tenth", "next fifth"):
        row.append(min(outcome.by_size[name, group].share for name in names))
    return [*row, outcome.worst_tenth]


if __name__ == "__main__":
    print_table(range(3))
