"""Order in which waiting steps are placed."""

from .model import Step
from .state import JobEntry, StepEntry

__all__ = ["critical_path_s", "objective_s", "rank"]

# A late result keeps a part of its value up to this multiple of the objective.
LATE_LIMIT_FACTOR = 3.0


def critical_path_s(entry: JobEntry, *, from_step: int = 0) -> float:
    """Return the estimated duration of a job's critical path, in seconds.

    :param from_step: index of the step at which the paths start.
    """
    known_s = entry.path_s_by_step.get(from_step)
    if known_s is None:
        known_s = _measure_path(entry.graph.steps, from_step)
        entry.path_s_by_step[from_step] = known_s
    return known_s


def _measure_path(steps: tuple[Step, ...], from_step: int) -> float:
    ends: list[float] = []
    starts_here = [False] * len(steps)
    longest = 0.0
    for index, step in enumerate(steps):
        start = max((ends[i] for i in step.after), default=0.0)
        on_chain = index == from_step or any(starts_here[i] for i in step.after)
        if from_step and not on_chain:
            ends.append(0.0)
            continue
        starts_here[index] = on_chain
        if from_step and index == from_step:
            start = 0.0
        ends.append(start + step.estimate_s)
        longest = max(longest, ends[-1])
    return longest


def objective_s(entry: JobEntry) -> float:
    """Return the latency objective of a job, in seconds since it was received."""
    advice = entry.queue.advice
    asked_s = 0.0
    if advice is not None:
        asked_s = advice.decide_s + 30 * advice.each_s
    return (
        entry.queue.stretch * (critical_path_s(entry) + asked_s) + entry.queue.target_s
    )


def rank(step: StepEntry, now_s: float, wall_ms: float) -> tuple[int, int, float]:
    """Return the sort key of a step; the smallest is placed first.

    Steps that can still meet their objective come first, then those whose result will
    be late but useful, then the others. Within each band, steps are sorted by priority
    and then by the latest start time that meets the objective.

    :param now_s: monotonic time.
    :param wall_ms: Unix time, in milliseconds.
    """
    job = step.job
    received_s = job.received_s
    if job.graph.occurrences:
        due_ms = job.occurrences[step.key.occurrence].due_ms
        received_s = now_s - (wall_ms - due_ms) / 1000
    objective = objective_s(job)
    remaining = critical_path_s(job, from_step=step.key.step)
    finish_s = now_s + remaining
    if finish_s <= received_s + objective:
        band = 0
    elif finish_s <= received_s + LATE_LIMIT_FACTOR * objective:
        band = 1
    else:
        band = 2
    return band, job.queue.priority, received_s + objective - remaining
