r"""Runs tests again and again beside busy processes, and keeps what fails.

    python -m pistachiolift.tests.stress --runs 50 --busy 6 --keep stress \
        pistachiolift/tests/test_jobs_under_faults.py -k replaced_one_by_one

Each run has a directory of its own with pytest's output and the logs of all processes
of the cell. The directories of runs that pass are removed.
"""

import os
import shutil
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click

BUSY_SCRIPT = "while True: pass"
# Far above the time of any feature, also beside load.
RUN_LIMIT_S = 900.0


@contextmanager
def busy_processes(count: int) -> Iterator[None]:
    """Keep ``count`` processors busy inside the block."""
    processes = [
        subprocess.Popen([sys.executable, "-S", "-c", BUSY_SCRIPT])
        for _ in range(count)
    ]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()


def run_once(arguments: tuple[str, ...], directory: Path) -> bool:
    """Run pytest once; return whether it passed.

    :param directory: new directory for the output and the temporary files.
    """
    directory.mkdir(parents=True)
    command = [sys.executable, "-m", "pytest", "--known-red"]
    command += [f"--basetemp={directory / 'files'}", *arguments]
    with (directory / "output.txt").open("wb") as output:
        try:
            result = subprocess.run(
                command, stdout=output, stderr=output, timeout=RUN_LIMIT_S
            )
        except subprocess.TimeoutExpired:
            return False
    return result.returncode == 0


@click.command(context_settings={"ignore_unknown_options": True})
@click.option("--runs", type=click.IntRange(min=1), default=50, show_default=True)
@click.option(
    "--busy",
    type=click.IntRange(min=0),
    default=os.cpu_count(),
    show_default=True,
    help="Busy processes beside the tests.",
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("stress"),
    show_default=True,
    help="Directory for the logs of runs that fail.",
)
@click.argument("pytest_arguments", nargs=-1, required=True)
def main(runs: int, busy: int, keep: Path, pytest_arguments: tuple[str, ...]) -> None:
    """Run the tests that PYTEST_ARGUMENTS select several times.

    Ends with 1 if a run has failed.
    """
    failed = []
    with busy_processes(busy):
        for number in range(runs):
            directory = keep / f"run-{time.time_ns()}"
            passed = run_once(pytest_arguments, directory)
            load = os.getloadavg()[0]
            result = "passed" if passed else f"failed, see {directory}"
            click.echo(f"run {number + 1} of {runs} at a load of {load:.1f}: {result}")
            if passed:
                shutil.rmtree(directory)
            else:
                failed.append(directory)
    click.echo(f"{runs - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
