"""Scenarios with uneven workers, to compare versions of the scheduler by hand.

``python -m pistachiolift.workflows.tests.uneven_scenarios [SCENARIO ...] [scale=RATE]``
"""

import random
import sys
import zlib
from collections import Counter

from pistachiolift.workflows import JobStatus

from .uneven_cell import UnevenCell

LOAD_S = 24.0
FAULT_AT_S = 6.0
# Number of the 36 workers with a fault.
FAULTY = 5


def _spread(cell, action, *args, begin_s=FAULT_AT_S, step_s=0.3):
    """Apply a fault to workers of different data centres, one after the other."""
    names = random.Random(cell.seed).sample(sorted(cell.workers_by_id), FAULTY)
    for number, name in enumerate(names):
        cell.at(begin_s + step_s * number, action, name, *args)


def none(cell):
    """No fault."""


def leave(cell):
    """Workers leave with a notice of 2 s; others take their place 6 s later."""
    cell.replace_after_s = 6.0
    _spread(cell, cell.leave)


def hang(cell):
    """Workers hang for 6 s, in two waves."""
    _spread(cell, cell.hang, 6.0)
    _spread(cell, cell.hang, 5.0, begin_s=15.0)


def fail(cell):
    """Workers fail what they start for 6.5 s."""
    cell.fail_after_s = 0.1
    _spread(cell, cell.fail, 6.5, step_s=0.0)


def fail_at_end(cell):
    """Workers fail what they start for 6.5 s, at the end of each run."""
    _spread(cell, cell.fail, 6.5, step_s=0.0)


def fail_zone(cell):
    """All workers of a data centre fail what they start for 6.5 s."""
    cell.fail_after_s = 0.1
    for name, fake in cell.workers_by_id.items():
        if fake.worker.zone == "z1":
            cell.at(FAULT_AT_S, cell.fail, name, 6.5)


def faulty_jobs(cell):
    """Each eighth job fails on all workers."""
    cell.faulty = lambda task, number: zlib.crc32(task.job_id.encode()) % 8 == 0


def chance(cell):
    """Three runs in a hundred fail on any worker."""
    cell.faulty = lambda task, number: zlib.crc32(f"{task} {number}".encode()) % 100 < 3


def flap(cell):
    """Workers go down and up every 1.4 s for 7 s."""
    _spread(cell, cell.flap, 7.0)


def slow(cell):
    """Workers are 8 times slower for 7 s."""
    _spread(cell, cell.slow, 7.0)


def late_starts(cell):
    """Workers answer most starts late for 6 s."""

    def set_share(name, share):
        cell.workers_by_id[name].late_share = share

    _spread(cell, set_share, 0.8, step_s=0.0)
    _spread(cell, set_share, 0.0, begin_s=FAULT_AT_S + 6.0, step_s=0.0)


SCENARIOS = (
    none,
    leave,
    hang,
    fail,
    fail_at_end,
    fail_zone,
    faulty_jobs,
    chance,
    flap,
    slow,
    late_starts,
)


def run_scenario(scenario, seed: int, *, scale: float = 1.0) -> UnevenCell:
    """Run a scenario until the load has passed."""
    cell = UnevenCell(seed=seed)
    cell.seed = seed
    cell.submit_mix(LOAD_S, seed=seed, scale=scale)
    scenario(cell)
    cell.run(LOAD_S + 34.0)
    return cell


def main(names: list[str], *, seeds: int = 10, scale: float = 1.0) -> None:
    """Print the worth of each kind, and counts, by scenario."""
    for scenario in SCENARIOS:
        if names and scenario.__name__ not in names:
            continue
        worth: Counter[str] = Counter()
        counts: Counter[str] = Counter()
        for seed in range(seeds):
            cell = run_scenario(scenario, seed, scale=scale)
            for name, value in cell.worth_by_queue().items():
                worth[name] += value / seeds
            jobs = cell.submitted_s
            counts["failed_jobs"] += sum(
                cell.status(job) is JobStatus.FAILED for job in jobs
            )
            counts["open_jobs"] += sum(job not in cell.finished_s for job in jobs)
            counts["runs"] += sum(map(len, cell.runs_by_job.values()))
            counts.update(cell.counts)
            for kind, count in cell.ends_by_kind.items():
                counts[kind.value] += count
        figures = " ".join(f"{name}={value:.3f}" for name, value in worth.items())
        line = f"{scenario.__name__}: {figures} {dict(sorted(counts.items()))}"
        sys.stdout.write(line + "\n")


if __name__ == "__main__":
    options = dict(each.split("=") for each in sys.argv[1:] if "=" in each)
    main(
        [each for each in sys.argv[1:] if "=" not in each],
        scale=float(options.get("scale", 1.0)),
        seeds=int(options.get("seeds", 10)),
    )
