"""Decides which waiting steps may use the room under their customer's cap."""

import logging
from dataclasses import dataclass, field
from enum import Enum

from ..common import CustomerId, QuotaDemand, WorkerId, log_event
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

# Use of half of a cap for less than this does not end the time below half: new runs
# count from their placement and ended ones until they are reported, so that the sum may
# reach half for a moment although the customer never runs as much.
ABOVE_HALF_S = 0.5

# Phases in which room is kept for the same step, in turn until it starts. A gang that
# needs more than half of a cap would wait for ever if jobs without any run always got
# room, so they get none in the strict phase, if the gang can have room by its end. Then
# nothing is kept for a while, which bounds the wait of the other work if the gang waits
# for runs that last long.
KEEP_PHASE_S = 8.0
STRICT_PHASE_S = 8.0
OPEN_PHASE_S = 4.0

# Refused steps of a customer that may ask the adviser, so that the next one has its
# tickets when room becomes free.
ADVISED_STEPS = 2

# Refused steps of a customer that are counted as demand for a share of its cap.
MAX_DEMANDS = 50


@dataclass(slots=True)
class CapWait:
    """A customer with work that its cap holds back.

    :param since_s: time of the first refusal.
    :param refused_s: time of the last refusal.
    :param keeper: the step for which the room was last kept.
    :param kept_since_s: time since when it was kept for this step.
    :param below_half_s: time since which less than half of the limit is in use while
        room is kept, except for moments; ``None`` if more is in use.
    :param above_half_s: time since which at least half is in use; ``None`` if less is.
    """

    since_s: float
    refused_s: float
    keeper: StepEntry | None = None
    kept_since_s: float = 0.0
    below_half_s: float | None = None
    above_half_s: float | None = None

    def record_use(self, below_half: bool, now_s: float) -> None:
        """Record whether less than half of the limit is in use now."""
        if below_half:
            self.above_half_s = None
            if self.below_half_s is None:
                self.below_half_s = now_s
        elif self.above_half_s is None:
            self.above_half_s = now_s
        elif now_s - self.above_half_s >= ABOVE_HALF_S:
            self.below_half_s = None


class KeepPhase(Enum):
    """What later steps of the customer get of the room that is kept for a step."""

    # Jobs without any run get some of it if it stays unused.
    KEEP = "keep"
    STRICT = "strict"
    # Nothing is kept.
    OPEN = "open"


@dataclass(slots=True)
class KeptRoom:
    """Room under a cap that is kept in this pass for the first refused step."""

    wait: CapWait
    phase: KeepPhase


@dataclass(slots=True)
class Refusals:
    """Steps of a customer that were refused in this pass.

    :param count: number of them.
    :param first: the first of them, with the resources placed at once.
    """

    count: int = 0
    first: list[tuple[StepEntry, Size]] = field(default_factory=list)


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
        self._refusals_by_customer: dict[CustomerId, Refusals] = {}
        # Refused steps, with their place among those of their customer.
        self._place_by_step: dict[StepEntry, int] = {}

    def begin_pass(self, now_s: float) -> None:
        """Forget the refusals of the last pass."""
        self._kept_by_customer.clear()
        self._place_by_step.clear()
        self._refusals_by_customer.clear()
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
        if kept is None or self._may_pass(kept, step, now_s):
            if self._state.caps.allows(customer_id, size):
                return True
        if kept is None:
            self._begin_to_keep(step, size, usable_by_id, now_s)
        self._note_refusal(step, size)
        return False

    def is_refused(self, step: StepEntry) -> bool:
        """Whether the cap has refused tasks of a step in this pass."""
        return step in self._place_by_step

    def _note_refusal(self, step: StepEntry, size: Size) -> None:
        if step in self._place_by_step:
            return
        refusals = self._refusals_by_customer.setdefault(
            step.job.customer_id, Refusals()
        )
        self._place_by_step[step] = refusals.count
        refusals.count += 1
        if len(refusals.first) < MAX_DEMANDS:
            refusals.first.append((step, size))

    def demand(self, customer_id: CustomerId) -> list[QuotaDemand[Size]]:
        """Return what would start next if the limit were higher, in order.

        It is that of the last pass.
        """
        refusals = self._refusals_by_customer.get(customer_id, Refusals())
        kept = self._kept_by_customer.get(customer_id)
        passed = None
        if kept is not None and kept.phase is KeepPhase.OPEN:
            passed = kept.wait.keeper
        return [
            QuotaDemand(size, 1 if step.step.gang else len(step.waiting))
            for step, size in refusals.first
            if step is not passed and self._state.caps.allows_later(customer_id, size)
        ]

    def starving(self, customer_id: CustomerId) -> tuple[Size, float] | None:
        """Return what the step for which room is kept needs, and since when.

        :returns: resources placed at once, and monotonic time in seconds.
        """
        kept = self._kept_by_customer.get(customer_id)
        refusals = self._refusals_by_customer.get(customer_id)
        if kept is None or refusals is None:
            return None
        sizes = [size for step, size in refusals.first if step is kept.wait.keeper]
        return (sizes[0], kept.wait.kept_since_s) if sizes else None

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
        """Note a refusal, and keep the room for the step if it can get it."""
        customer_id = step.job.customer_id
        caps = self._state.caps
        wait = self._wait_by_customer.get(customer_id)
        if wait is None:
            wait = self._wait_by_customer[customer_id] = CapWait(now_s, now_s)
            self._log_begin(step, size)
        wait.refused_s = now_s
        if not caps.allows_later(customer_id, size):
            return
        if not could_place(step, list(usable_by_id.values())):
            return
        if wait.keeper is not step:
            wait.keeper, wait.kept_since_s = step, now_s
        wait.record_use(caps.is_below_half(customer_id), now_s)
        phase = self._phase(wait, size, customer_id, now_s)
        self._kept_by_customer[customer_id] = KeptRoom(wait, phase)

    def _phase(
        self, wait: CapWait, size: Size, customer_id: CustomerId, now_s: float
    ) -> KeepPhase:
        phase_s = (now_s - wait.kept_since_s) % (
            KEEP_PHASE_S + STRICT_PHASE_S + OPEN_PHASE_S
        )
        if phase_s >= KEEP_PHASE_S + STRICT_PHASE_S:
            return KeepPhase.OPEN
        if phase_s < KEEP_PHASE_S or wait.below_half_s is None:
            return KeepPhase.KEEP
        # The runs are looked through only in this rare case.
        has_room_soon = self._has_room_soon(customer_id, size)
        return KeepPhase.STRICT if has_room_soon else KeepPhase.KEEP

    def _has_room_soon(self, customer_id: CustomerId, size: Size) -> bool:
        """Whether ``size`` fits once the runs shorter than a phase have ended."""
        lasting = Size()
        for worker in self._state.workers_by_id.values():
            for run in worker.runs.values():
                charge = run.charge
                if charge is None or charge.customer_id != customer_id:
                    continue
                step = self._state.step_of(run.task)
                if step is None or not _ends_soon(step):
                    lasting = lasting.plus(charge.size)
        limit = self._state.caps.limit(customer_id)
        return limit is None or size.fits_beside(lasting, limit)

    def _may_pass(self, kept: KeptRoom, step: StepEntry, now_s: float) -> bool:
        """Whether a step gets some of the room that is kept for an earlier one."""
        if kept.phase is not KeepPhase.KEEP:
            return kept.phase is KeepPhase.OPEN
        below_half_s = kept.wait.below_half_s
        if below_half_s is None or now_s - below_half_s < KEEP_LIMIT_S:
            return False
        if not self._state.caps.is_below_half(step.job.customer_id):
            return False
        return not any(entry.runs_by_index for entry in step.job.steps())

    def _log_begin(self, step: StepEntry, size: Size) -> None:
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
            larger_than_cap=not caps.ever_allows(customer_id, size),
            size_cpu_milli=size.cpu_milli,
            used_cpu_milli=used.cpu_milli,
            limit_cpu_milli=limit.cpu_milli,
            used_memory_mb=used.memory_mb,
            limit_memory_mb=limit.memory_mb,
            used_accelerators=used.accelerators,
            limit_accelerators=limit.accelerators,
        )


def _ends_soon(step: StepEntry) -> bool:
    return not step.step.long_running and step.step.estimate_s < STRICT_PHASE_S
