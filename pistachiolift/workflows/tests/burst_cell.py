"""A cell with urgent checks, large runs and rebuilds, on 12 workers of 48 cores."""

from math import exp, log

from pistachiolift.common import CustomerId, JobId
from pistachiolift.workflows import Customer
from pistachiolift.workflows.fleet_capacity import KNOWN_S
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
            self.scheduler.admission.record_refusal(
                JobId(job_id),
                received_s=self.now_s,
                received_ms=self.wall_ms,
                now_s=self.now_s,
            )
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
