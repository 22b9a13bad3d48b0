"""Order in which waiting steps are placed."""

import math
from abc import ABC, abstractmethod
from collections.abc import Collection
from heapq import heapify, heappop, heapreplace
from operator import itemgetter

from ..common import CustomerId, JobId
from .ageing import Ageing
from .customer_rates import DEFAULT_WEIGHT
from .scheduler_state import SchedulerState
from .state import JobEntry, StepEntry
from .urgency import Band, measure

__all__ = [
    "BandsFirst",
    "CostAware",
    "OrderPolicy",
    "PriorityFirst",
    "ValuePerWork",
    "WaitingOrder",
]

# Share of its value that a late but useful result keeps.
LATE_VALUE = 0.2
# Raised work has its place between the most urgent work, class 0, and the rest.
RAISED_CLASS = 0.5
FIRST_CLASS = -math.inf
# Work that takes no processor time is compared as if it took this, in core-seconds.
MIN_WORK_CORE_S = 0.001


class OrderPolicy(ABC):
    """Sorts the waiting steps of due work."""

    def __init__(self):
        self.urgent_priority = 0

    def prepare(self, state: SchedulerState) -> None:
        """Read from the queues what the keys of a pass depend on."""
        self.urgent_priority = min(
            (each.priority for each in state.queues_by_id.values()), default=0
        )

    @abstractmethod
    def key(self, step: StepEntry, now_s: float, wall_ms: float) -> tuple:
        """Return the sort key of a step; the smallest is placed first.

        Raised steps follow those whose key begins with 0.

        :param now_s: monotonic time.
        :param wall_ms: Unix time, in milliseconds.
        """


class BandsFirst(OrderPolicy):
    """Puts what can be on time before what is late, whatever the priorities.

    Within each band, steps are sorted by priority and then by the latest start that
    meets the objective.
    """

    def key(self, step: StepEntry, now_s: float, wall_ms: float) -> tuple:
        """Return the band, the priority and the latest start."""
        band, latest_s = measure(step, now_s, wall_ms)
        return band, step.job.queue.priority, latest_s


class PriorityFirst(OrderPolicy):
    """Puts urgent queues first, also with late or useless work."""

    def key(self, step: StepEntry, now_s: float, wall_ms: float) -> tuple:
        """Return the priority, the band and the latest start."""
        band, latest_s = measure(step, now_s, wall_ms)
        return step.job.queue.priority, band, latest_s


class ValuePerWork(OrderPolicy):
    """Puts first what loses the most value per core-second if it has to wait on.

    The jobs of all queues have the same value.
    """

    def key(self, step: StepEntry, now_s: float, wall_ms: float) -> tuple:
        """Return the negative value at risk per core-second, and the latest start."""
        band, latest_s = measure(step, now_s, wall_ms)
        at_risk = (1 - LATE_VALUE, LATE_VALUE, 0.0)[band]
        return -at_risk / _waiting_work_core_s(step), latest_s


def _waiting_work_core_s(step: StepEntry) -> float:
    """Return the declared work of a job's unfinished tasks, in core-seconds."""
    occurrence = step.job.occurrences[step.key.occurrence]
    work = sum(
        (each.step.count - len(each.finished))
        * each.step.size.cpu_milli
        * each.step.estimate_s
        for each in occurrence.steps
    )
    return max(MIN_WORK_CORE_S, work / 1000)


class CostAware(OrderPolicy):
    """Delays what costs callers least.

    Useful work of the most urgent queues comes first, since it needs few cores and is
    late after a short wait. Between the other queues, what can be on time comes before
    what is late and worth a fifth. Useless work comes last.
    """

    def key(self, step: StepEntry, now_s: float, wall_ms: float) -> tuple:
        """Return the class of the step and its place in the class."""
        band, latest_s = measure(step, now_s, wall_ms)
        priority = step.job.queue.priority
        if band is Band.USELESS:
            return 3, priority, latest_s
        if priority <= self.urgent_priority:
            return 0, band, latest_s
        if band is Band.ON_TIME:
            return 1, priority, latest_s
        return 2, priority, latest_s


class WaitingOrder:
    """Arranges the waiting steps of a pass.

    Due work is sorted by the policy. Excess work of the customers follows, in an order
    that divides the workers by weight. A limited share of the work that has waited long
    is raised above all but the most urgent work, so that its wait is bounded.

    :param state: the owner's jobs and workers.
    :param policy: order of the due work.
    """

    def __init__(self, state: SchedulerState, policy: OrderPolicy | None = None):
        self._state = state
        self._policy = policy or CostAware()
        # Without customers and priorities there is nothing to weigh up.
        self._simple = BandsFirst()
        self._simple_pass = True
        self._ageing = Ageing(state)

    @property
    def raised_job_ids(self) -> Collection[JobId]:
        """Jobs that are raised because of their wait."""
        return self._ageing.raised_by_id.keys()

    @property
    def aged_jobs(self) -> int:
        """Number of jobs that have waited long enough to be raised."""
        return self._ageing.aged_jobs

    def arrange(self, now_s: float, wall_ms: float) -> list[StepEntry]:
        """Return the open steps in the order in which they are placed.

        :param now_s: monotonic time.
        :param wall_ms: Unix time, in milliseconds.
        """
        state = self._state
        steps = state.open_steps.values()
        self._simple_pass = self._is_simple()
        if self._simple_pass:
            key = self._simple.key
            return sorted(steps, key=lambda step: key(step, now_s, wall_ms))
        self._policy.prepare(state)
        raised = self._ageing.update(steps, now_s, wall_ms)
        key = self._policy.key
        due: list[tuple[tuple, StepEntry]] = []
        excess: list[tuple[tuple, StepEntry]] = []
        for step in steps:
            sort_key = key(step, now_s, wall_ms)
            if step.job.job_id in raised:
                first = self._ageing.comes_first(step.job.job_id, now_s)
                place = FIRST_CLASS if first else RAISED_CLASS
                sort_key = (place, raised[step.job.job_id], step.key.step)
            elif step.job.excess:
                excess.append((sort_key, step))
                continue
            due.append((sort_key, step))
        due.sort(key=itemgetter(0))
        excess.sort(key=itemgetter(0))
        return [step for _, step in due] + self._share_out([step for _, step in excess])

    def key(self, step: StepEntry, now_s: float, wall_ms: float) -> tuple:
        """Return the sort key of a step among the steps that are due, or excess.

        :param now_s: monotonic time.
        :param wall_ms: Unix time, in milliseconds.
        """
        raised = self._ageing.raised_by_id.get(step.job.job_id)
        if raised is not None:
            return (RAISED_CLASS, raised, step.key.step)
        return self._policy.key(step, now_s, wall_ms)

    def holds_room(self, step: StepEntry, now_s: float, wall_ms: float) -> bool:
        """Whether room is kept for the tasks of a step that do not fit yet.

        It is kept for what can be on time, for useful work of the most urgent queues,
        and for raised work, which would otherwise not use its share.
        """
        if self._simple_pass:
            return False
        if step.job.job_id in self._ageing.raised_by_id:
            return True
        band, _ = measure(step, now_s, wall_ms)
        urgent = step.job.queue.priority <= self._policy.urgent_priority
        return band is Band.ON_TIME or (urgent and band is Band.LATE)

    def _is_simple(self) -> bool:
        state = self._state
        if not state.shared:
            return True
        if state.customers_by_id:
            return False
        priorities = {queue.priority for queue in state.queues_by_id.values()}
        return len(priorities) < 2

    def _share_out(self, steps: list[StepEntry]) -> list[StepEntry]:
        """Interleave the steps of the customers so that each uses cores by weight.

        :param steps: steps of excess jobs, sorted by the policy.
        """
        steps_by_customer: dict[CustomerId, list[StepEntry]] = {}
        for step in steps:
            steps_by_customer.setdefault(step.job.customer_id, []).append(step)
        if len(steps_by_customer) < 2:
            return steps
        weights = self._state.rates.weights_by_id
        used = self._excess_cpu_milli_by_customer()
        heap = []
        for order, customer_id in enumerate(steps_by_customer):
            weight = weights.get(customer_id, DEFAULT_WEIGHT)
            used_by_weight = used.get(customer_id, 0) / weight
            heap.append((used_by_weight, order, weight, customer_id, 0))
        heapify(heap)
        arranged = []
        while heap:
            used_by_weight, order, weight, customer_id, index = heap[0]
            own = steps_by_customer[customer_id]
            step = own[index]
            arranged.append(step)
            index += 1
            if index == len(own):
                heappop(heap)
                continue
            # Counted as if it were placed now.
            cpu_milli = 0 if step.step.fills else step.step.size.cpu_milli
            used_by_weight += len(step.waiting) * cpu_milli / weight
            heapreplace(heap, (used_by_weight, order, weight, customer_id, index))
        return arranged

    def _excess_cpu_milli_by_customer(self) -> dict[CustomerId, int]:
        """Return what the runs of excess jobs reserve on all workers."""
        jobs: dict = self._state.jobs_by_id
        used: dict[CustomerId, int] = {}
        for worker in self._state.workers_by_id.values():
            for task, _ in worker.runs:
                job: JobEntry | None = jobs.get(task.job_id)
                if job is None or not job.excess:
                    continue
                size = job.graph.steps[task.step].reserved
                used[job.customer_id] = used.get(job.customer_id, 0) + size.cpu_milli
        return used
