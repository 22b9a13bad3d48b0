"""Load and takeovers for the tests of the caps."""

from .virtual_cell import MESSAGE_S, make_graph, make_step

__all__ = ["replace_owner", "submit_stream"]


def submit_stream(cell, queue, customer, *, per_s, until_s, tasks=4, **changes):
    """Submit jobs of random sizes at a steady rate."""
    for number in range(int(per_s * until_s)):
        step = make_step(
            tasks,
            cpu=cell.rng.choice([500, 1000, 2000, 3000]),
            estimate_s=cell.rng.uniform(0.3, 1.5),
            **changes,
        )
        cell.at(
            number / per_s,
            lambda n, s: cell.submit(
                f"{customer}-{n}", queue, make_graph(s), customer_id=customer
            ),
            number,
            step,
        )


def replace_owner(cell) -> None:
    """Replace the owner; forget the jobs that it had not accepted yet."""
    cell.replace_owner()
    for job_id in list(cell.submitted_s):
        if cell.status(job_id) is None and job_id not in cell.finished_s:
            assert cell.submitted_s.pop(job_id) > cell.now_s - 2 * MESSAGE_S
