"""Checks of submitted jobs."""

from ..common import InvalidInputError
from .model import JobGraph

__all__ = ["validate_graph"]

# Largest numbers accepted in a job.
MAX_TASKS = 10_000
MAX_STEPS = 256
MAX_OCCURRENCES = 10_000


def validate_graph(graph: JobGraph) -> None:
    """Check a job before it is accepted.

    :raises InvalidInputError: if a figure is out of range or a step waits for a step
        that does not precede it.
    """
    if not 1 <= len(graph.steps) <= MAX_STEPS:
        raise InvalidInputError(f"job has {len(graph.steps)} steps; 1 to {MAX_STEPS}")
    if not 0 <= graph.occurrences <= MAX_OCCURRENCES:
        raise InvalidInputError(
            f"job has {graph.occurrences} occurrences; 0 to {MAX_OCCURRENCES}"
        )
    if graph.interval_ms < 0:
        raise InvalidInputError(f"interval is {graph.interval_ms} ms; 0 or more")
    for index, step in enumerate(graph.steps):
        if not 1 <= step.count <= MAX_TASKS:
            raise InvalidInputError(
                f"step {index} has {step.count} tasks; 1 to {MAX_TASKS}"
            )
        size = step.size
        if min(size.cpu_milli, size.memory_mb, size.accelerators) < 0:
            raise InvalidInputError(f"step {index} asks for a negative size")
        if any(not 0 <= before < index for before in step.after):
            raise InvalidInputError(
                f"step {index} waits for steps {step.after}; 0 to {index - 1}"
            )
