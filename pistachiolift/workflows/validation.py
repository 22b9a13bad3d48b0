"""Validation of submitted jobs."""

from ..common import InvalidInputError
from .model import JobGraph

__all__ = ["validate_graph"]

# Limits of a job.
MAX_TASKS = 10_000
MAX_STEPS = 256
MAX_OCCURRENCES = 10_000


def validate_graph(graph: JobGraph) -> None:
    """Check a job before it is accepted.

    :raises InvalidInputError: if a value is out of range or a step depends on a step
        that does not precede it.
    """
    if not 1 <= len(graph.steps) <= MAX_STEPS:
        raise InvalidInputError(
            f"job has {len(graph.steps)} steps; allowed are 1 to {MAX_STEPS}"
        )
    if not 0 <= graph.occurrences <= MAX_OCCURRENCES:
        raise InvalidInputError(
            f"job has {graph.occurrences} occurrences;"
            f" allowed are 0 to {MAX_OCCURRENCES}"
        )
    if graph.interval_ms < 0:
        raise InvalidInputError(f"interval is {graph.interval_ms} ms; must be >= 0")
    for index, step in enumerate(graph.steps):
        if not 1 <= step.count <= MAX_TASKS:
            raise InvalidInputError(
                f"step {index} has {step.count} tasks; allowed are 1 to {MAX_TASKS}"
            )
        size = step.size
        if min(size.cpu_milli, size.memory_mb, size.accelerators) < 0:
            raise InvalidInputError(f"step {index} has a negative size")
        if any(not 0 <= before < index for before in step.after):
            raise InvalidInputError(
                f"step {index} depends on steps {step.after};"
                f" allowed are 0 to {index - 1}"
            )
