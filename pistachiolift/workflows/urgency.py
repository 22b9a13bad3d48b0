"""Latency objectives of jobs, and how waiting steps stand to them."""

from enum import IntEnum

from .model import Step
from .state import JobEntry, StepEntry

__all__ = ["Band", "critical_path_s", "measure", "objective_s", "waited_s"]

# A late result keeps a part of its value up to this multiple of the objective.
LATE_LIMIT_FACTOR = 3.0


class Band(IntEnum):
    """Value of a step's job if the step starts now."""

    ON_TIME = 0
    LATE = 1
    USELESS = 2


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


def _received_s(step: StepEntry, now_s: float, wall_ms: float) -> float:
    """Return the time from which the objective counts; monotonic time."""
    job = step.job
    if not job.graph.occurrences:
        return job.received_s
    due_ms = job.occurrences[step.key.occurrence].due_ms
    return now_s - (wall_ms - due_ms) / 1000


def waited_s(step: StepEntry, now_s: float, wall_ms: float) -> float:
    """Return the time since a step's job was received or was due, in seconds.

    :param now_s: monotonic time.
    :param wall_ms: Unix time, in milliseconds.
    """
    return now_s - _received_s(step, now_s, wall_ms)


def measure(step: StepEntry, now_s: float, wall_ms: float) -> tuple[Band, float]:
    """Return a step's band if it starts now, and its latest start to be on time.

    :param now_s: monotonic time.
    :param wall_ms: Unix time, in milliseconds.
    :returns: the band, and the monotonic time of the latest start.
    """
    job = step.job
    if job.graph.occurrences:
        received_s = _received_s(step, now_s, wall_ms)
    else:
        received_s = job.received_s
    timing = step.timing
    if timing is None or timing[0] is not job.queue:
        remaining_s = critical_path_s(job, from_step=step.key.step)
        step.timing = timing = (job.queue, objective_s(job), remaining_s)
    _, objective, remaining = timing
    finish_s = now_s + remaining
    if finish_s <= received_s + objective:
        band = Band.ON_TIME
    elif finish_s <= received_s + LATE_LIMIT_FACTOR * objective:
        band = Band.LATE
    else:
        band = Band.USELESS
    return band, received_s + objective - remaining
