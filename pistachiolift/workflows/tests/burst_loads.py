"""Recorded loads of three kinds and several customers, for comparisons of orders."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from pistachiolift.common import CustomerId
from pistachiolift.workflows import Customer

from .virtual_cell import make_graph, make_queue, make_step

# A quarter of the cores of the deployment. Large runs and rebuilds have
# half of the tasks at twice the rate, so that there are enough of them.
WORKERS_CPU_MILLI = 22 * (32_000, 64_000)
BEGIN_S = 3.0


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
    :param workers_at_s: time at which the workers come up.
    :param watched: customers whose use of the workers by excess work is compared.
    """

    name: str
    bursts: tuple[Burst, ...] = ()
    weights: tuple[float, ...] = (8, 5, 4, 3, 3, 2, 2, 1, 1, 1)
    due_factor: float = 1.1
    duration_s: float = 14.0
    events: tuple[tuple[float, Callable], ...] = ()
    workers_at_s: float = 0.0
    watched: tuple[int, ...] = ()

    def customers(self) -> list[Customer]:
        """Return the customers with their weights in jobs per second."""
        usual = sum(kind.per_s for kind in KINDS)
        unit = self.due_factor * usual / sum(self.weights)
        return [
            Customer(customer_id=CustomerId(f"c{index}"), weight=unit * weight)
            for index, weight in enumerate(self.weights)
        ]

    def factor(self, at_s: float, kind: str, customer: int) -> float:
        """Return the factor of the usual rate at a time."""
        return math.prod(
            burst.factor for burst in self.bursts if burst.covers(at_s, kind, customer)
        )

    def jobs(self, seed: int) -> list[tuple[float, Kind, int, object]]:
        """Return the time, kind, customer and graph of each job."""
        rng = random.Random(f"{self.name} {seed}")
        found = []
        for kind in KINDS:
            for customer, weight in enumerate(self.weights):
                usual = kind.per_s * weight / sum(self.weights)
                at_s = 0.0
                begins_s = [0.0, *(burst.begin_s for burst in self.bursts)]
                peak = max(self.factor(t, kind.name, customer) for t in begins_s)
                while True:
                    at_s += rng.expovariate(usual * peak)
                    if at_s >= self.duration_s:
                        break
                    # Thins the peak rate out to the one at this time.
                    if rng.random() <= self.factor(at_s, kind.name, customer) / peak:
                        found.append((at_s, kind, customer, _draw_graph(kind, rng)))
        return sorted(found, key=lambda item: item[0])


def _draw_graph(kind: Kind, rng):
    """Return the graph of a job; sizes vary as in the deployment."""
    size = min(3.0, max(0.3, rng.lognormvariate(0, 0.5)))
    step = make_step(
        max(1, round(kind.tasks * size)),
        cpu=kind.cpu_milli,
        estimate_s=kind.estimate_s * rng.uniform(0.8, 1.2),
    )
    return make_graph(step)


# Weights so high that no job is excess.
NO_EXCESS = 1e6


def _change_weights(cell) -> None:
    """Exchange the weights of the heaviest and the lightest customer."""
    customers = list(cell.scheduler.state.customers_by_id.values())
    first, last = customers[0], customers[-1]
    customers[0] = msgspec.structs.replace(first, weight=last.weight)
    customers[-1] = msgspec.structs.replace(last, weight=first.weight)
    cell.scheduler.set_customers(customers)


BURSTS = (
    Burst(2.4, duration_s=7, kind="rebuild"),
    Burst(2.0, duration_s=4, kind="urgent"),
)
LOADS = (
    Load("usual load", due_factor=NO_EXCESS),
    Load("usual load, weights near it"),
    Load("rebuilds 2.4, checks 2.0", BURSTS, due_factor=NO_EXCESS),
    Load(
        "the same, a hot customer",
        (*BURSTS, Burst(6.0, duration_s=7, customer=3)),
    ),
    Load(
        "large runs 1.6",
        (Burst(1.6, duration_s=4, kind="large"),),
        due_factor=NO_EXCESS,
    ),
    Load("sustained 1.6", (Burst(1.6, begin_s=0),), due_factor=NO_EXCESS),
    Load("outage of 8 s", workers_at_s=8.0, due_factor=NO_EXCESS),
    Load(
        "two hot customers",
        (Burst(7.0, customer=1), Burst(7.0, customer=4)),
        weights=(8, 4, 4, 3, 2, 2, 2, 1),
        watched=(1, 4),
    ),
    Load(
        "a hundred small, one large",
        (Burst(4.0, duration_s=7, customer=0),),
        weights=(100,) + 100 * (1,),
        due_factor=1.5,
    ),
    Load(
        "weights exchanged",
        (Burst(1.3, begin_s=0),),
        weights=(8, 4, 2, 1),
        events=((7.0, _change_weights),),
    ),
    Load(
        "takeover at 6 s",
        (*BURSTS, Burst(4.0, duration_s=7, customer=0)),
        weights=(8, 5, 4, 3),
        events=((6.0, lambda cell: cell.replace_owner()),),
    ),
)
LOAD_BY_NAME = {load.name: load for load in LOADS}
