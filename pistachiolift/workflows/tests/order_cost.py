"""Measures what a pass with many waiting steps costs.

``python -m pistachiolift.workflows.tests.order_cost`` prints the figures in
docs/design/order-by-cost.md.
"""

import random
import time
from statistics import median

import click

from pistachiolift.workflows.holding import RoomHolder
from pistachiolift.workflows.order import BandsFirst

from .burst_loads import KINDS, LOADS
from .order_comparison import LoadedCell, Variant
from .virtual_cell import make_graph, make_step

WORKERS = 270
STEPS = 2000
REPEATS = 31
# Ages of the waiting jobs, in seconds, so that every band and aged work occur.
AGES_S = (0.0, 80.0)


def make_cell(load, *, excess: bool) -> LoadedCell:
    """Return a cell with full workers and waiting steps."""
    cell = LoadedCell(
        Variant.IN_FORCE, queues=[kind.queue for kind in KINDS], customers=()
    )
    if excess:
        cell.scheduler.set_customers(load.customers())
    for index in range(WORKERS):
        cell.add_worker(index, cpu=32_000, memory=1_000_000)
    cell.submit("full", KINDS[2].queue, make_graph(make_step(8 * WORKERS, cpu=4000)))
    cell.run(0.2)
    rng = random.Random(1)
    for number in range(STEPS):
        kind = rng.choice(KINDS)
        step = make_step(kind.tasks, cpu=kind.cpu_milli, estimate_s=kind.estimate_s)
        job_id = f"j{number}"
        customer = rng.randrange(len(load.weights))
        cell.scheduler.submit(
            job_id,
            kind.queue,
            make_graph(step),
            received_s=cell.now_s,
            received_ms=cell.wall_ms,
            customer_id=f"c{customer}" if excess else "",
        )
        job = cell.scheduler.state.jobs_by_id[job_id]
        job.received_s -= rng.uniform(*AGES_S)
    return cell


def time_ms(action, *args) -> float:
    """Return the median processor time of an action, in milliseconds."""
    durations = []
    for _ in range(REPEATS):
        begin_s = time.process_time()
        action(*args)
        durations.append(1000 * (time.process_time() - begin_s))
    return median(durations)


def sort_as_before(steps, now_s, wall_ms) -> None:
    """Sort the steps by the earlier order."""
    key = BandsFirst().key
    sorted(steps, key=lambda step: key(step, now_s, wall_ms))


def keep_room(scheduler, steps, now_s, wall_ms) -> None:
    """Keep room for all steps."""
    holder, blocked = RoomHolder(), frozenset()
    usable = scheduler.state.usable_workers("pool", now_s)
    for step in steps:
        if not holder.may_hold("pool", len(usable)):
            return
        if scheduler.order.holds_room(step, now_s, wall_ms):
            blocked |= holder.hold(step, usable, blocked, now_s)


def run_pass(scheduler, now_s, wall_ms) -> None:
    """Run a whole pass."""
    scheduler.dispatch(now_s=now_s, wall_ms=wall_ms)


def main() -> None:
    """Print the cost of the parts of a pass."""
    for excess in (False, True):
        cell = make_cell(LOADS[1], excess=excess)
        scheduler, times = cell.scheduler, (cell.now_s, cell.wall_ms)
        steps = list(scheduler.state.open_steps.values())
        costs_ms = {
            "earlier sort": time_ms(sort_as_before, steps, *times),
            "arrange": time_ms(scheduler.order.arrange, *times),
            "room kept": time_ms(keep_room, scheduler, steps, *times),
            "whole pass": time_ms(run_pass, scheduler, *times),
        }
        found = ", ".join(f"{name} {cost:.2f} ms" for name, cost in costs_ms.items())
        marked = sum(step.job.excess for step in steps)
        click.echo(f"{len(steps)} steps, {marked} of them excess: {found}")


if __name__ == "__main__":
    main()
