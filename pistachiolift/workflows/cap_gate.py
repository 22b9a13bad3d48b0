"""Decides which waiting steps may use the room under their customer's cap."""

import logging
from dataclasses import dataclass

from ..common import CustomerId, WorkerId, log_event
from .model import Size
from .placement import could_place
from .scheduler_state import SchedulerState
from .state import StepEntry, WorkerEntry

__all__ = ["CapGate"]

logger = logging.getLogger(__name__)

# A customer has ended to wait for its cap when no step was refused for this time, so
# that one that is at its cap for long is logged once.
WAIT_END_S = 1.0

# While less than half of a cap is in use, the room is kept for a refused step at most
# this long before jobs without any run may use that half: they have one within 3 s.
KEEP_LIMIT_S = 2.0

# A gang that needs more than half of a cap would wait for ever if such jobs kept
# coming. So they get nothing in the second half of each period of its wait, if the
# runs that it waits for end by themselves.
KEEP_PERIOD_S = 16.0

# Refused steps of a customer that may ask the adviser, so that the next one has its
# tickets when room becomes free.
ADVISED_STEPS = 2


@dataclass(slots=True)
class CapWait:
    """A customer with work that its cap holds back.

    :param since_s: time of the first refusal.
    :param refused_s: time of the last refusal.
    :param below_half_s: time since which less than half of the limit is in use while
        room is kept; ``None`` if more is in use.
    """

    since_s: float
    refused_s: float
    below_half_s: float | None = None


@dataclass(slots=True)
class KeptRoom:
    """Room under a cap that later steps of the customer do not get in this pass.

    :param strict: whether this includes jobs without any run.
    """

    wait: CapWait
    strict: bool


class CapGate:
    """Asked by the dispatcher before each placement, in order of urgency.

    The first step of a customer that its cap refuses keeps the room under the cap:
    otherwise smaller tasks would take it each time, and a gang or a large task would
    never start. Steps of other customers are not affected.

    :param state: the owner's jobs and workers.
    """

    def __init__(self, state: SchedulerState):
        self._state = state
        self._wait_by_customer: dict[CustomerId, CapWait] = {}
        self._kept_by_customer: dict[CustomerId, KeptRoom] = {}
        # Refused steps, with their place among those of their customer.
        self._place_by_step: dict[StepEntry, int] = {}
        self._refused_by_customer: dict[CustomerId, int] = {}

    def begin_pass(self, now_s: float) -> None:
        """Forget the refusals of the last pass."""
        self._kept_by_customer.clear()
        self._place_by_step.clear()
        self._refused_by_customer.clear()
        for customer_id, wait in list(self._wait_by_customer.items()):
            if now_s - wait.refused_s > WAIT_END_S:
                del self._wait_by_customer[customer_id]
                log_event(
                    logger,
                    "cap_wait_ended",
                    customer=customer_id,
                    waited_s=wait.refused_s - wait.since_s,
                )

    def allows(
        self,
        step: StepEntry,
        size: Size,
        usable_by_id: dict[WorkerId, WorkerEntry],
        now_s: float,
    ) -> bool:
        """Whether a task, or a gang as a whole, may be placed now.

        :param size: resources of what is placed at once.
        :param usable_by_id: usable workers of the queue's pool.
        """
        customer_id = step.job.customer_id
        if not customer_id:
            return True
        kept = self._kept_by_customer.get(customer_id)
        if kept is None:
            if self._state.caps.allows(customer_id, size):
                return True
            self._begin_to_keep(step, size, usable_by_id, now_s)
        elif self._may_pass(kept, step, now_s):
            if self._state.caps.allows(customer_id, size):
                return True
        place = self._refused_by_customer.get(customer_id, 0)
        self._refused_by_customer[customer_id] = place + 1
        self._place_by_step.setdefault(step, place)
        return False

    def is_refused(self, step: StepEntry) -> bool:
        """Whether the cap has refused tasks of a step in this pass."""
        return step in self._place_by_step

    def may_ask_adviser(self, step: StepEntry) -> bool:
        """Whether a waiting step may soon need tickets."""
        return self._place_by_step.get(step, 0) < ADVISED_STEPS

    def _begin_to_keep(
        self,
        step: StepEntry,
        size: Size,
        usable_by_id: dict[WorkerId, WorkerEntry],
        now_s: float,
    ) -> None:
        """Note a refusal, and keep the room for the step if it can ever start."""
        customer_id = step.job.customer_id
        caps = self._state.caps
        wait = self._wait_by_customer.get(customer_id)
        possible = caps.ever_allows(customer_id, size)
        if wait is None:
            wait = self._wait_by_customer[customer_id] = CapWait(now_s, now_s)
            self._log_begin(step, size, possible)
        wait.refused_s = now_s
        if not possible or not could_place(step, list(usable_by_id.values())):
            return
        if not caps.is_below_half(customer_id):
            wait.below_half_s = None
        elif wait.below_half_s is None:
            wait.below_half_s = now_s
        waited_s = now_s - wait.since_s
        strict = waited_s % KEEP_PERIOD_S >= KEEP_PERIOD_S / 2
        if strict and wait.below_half_s is not None:
            strict = self._ends_by_itself(customer_id, size)
        self._kept_by_customer[customer_id] = KeptRoom(wait, strict)

    def _ends_by_itself(self, customer_id: CustomerId, size: Size) -> bool:
        """Whether ``size`` fits once all runs but the long-running ones have ended."""
        lasting = Size()
        for worker in self._state.workers_by_id.values():
            for run in worker.runs.values():
                charge = run.charge
                if charge is None or charge.customer_id != customer_id:
                    continue
                step = self._state.step_of(run.task)
                if step is not None and step.step.long_running:
                    lasting = lasting.plus(charge.size)
        limit = self._state.caps.limit(customer_id)
        return limit is None or size.fits_beside(lasting, limit)

    def _may_pass(self, kept: KeptRoom, step: StepEntry, now_s: float) -> bool:
        """Whether a step gets some of the room that is kept for an earlier one."""
        below_half_s = kept.wait.below_half_s
        if kept.strict or below_half_s is None or now_s - below_half_s < KEEP_LIMIT_S:
            return False
        if not self._state.caps.is_below_half(step.job.customer_id):
            return False
        return not any(entry.runs_by_index for entry in step.job.steps())

    def _log_begin(self, step: StepEntry, size: Size, possible: bool) -> None:
        caps = self._state.caps
        customer_id = step.job.customer_id
        used, limit = caps.used(customer_id), caps.limit(customer_id)
        log_event(
            logger,
            "cap_reached",
            customer=customer_id,
            job=step.job.job_id,
            step=step.key.step,
            gang=step.step.gang,
            larger_than_cap=not possible,
            size_cpu_milli=size.cpu_milli,
            used_cpu_milli=used.cpu_milli,
            limit_cpu_milli=limit.cpu_milli,
            used_memory_mb=used.memory_mb,
            limit_memory_mb=limit.memory_mb,
            used_accelerators=used.accelerators,
            limit_accelerators=limit.accelerators,
        )
