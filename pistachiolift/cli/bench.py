"""The command that measures against the performance targets."""

import signal

import click

from .documented import example, option
from .options import output_option
from .output import echo_document, echo_progress, format_table

__all__ = ["bench"]

HEADERS = ("name", "measure", "value", "baseline", "target", "met")
EXIT_ERROR = 1


def _stop(_signal: int, _frame: object) -> None:
    # An exception ends the context managers, which end the child processes.
    raise SystemExit(EXIT_ERROR)


def _verdict(met: bool | None) -> str:
    if met is None:
        return "-"
    return "met" if met else "not met"


@click.command(
    epilog=example("pistachiolift bench", "pistachiolift bench cpu store --seed 7")
)
@click.argument("names", metavar="[NAME]...", nargs=-1)
@option("--list", "list_names", is_flag=True, help="Print the names and end.")
@option("--seed", type=int, default=1, help="Seed of the loads.")
@output_option
def bench(names: tuple[str, ...], list_names: bool, seed: int, output: str) -> None:
    """Run measurements, all or those named, each with a baseline.

    A developer's tool: unlike the product's own processes it starts others, a whole
    cell on loopback for most measurements, and ends them again. Exits with 0 whether
    the targets are met or not, and with 1 if a measurement cannot be carried out.
    """
    from ..bench.suite import MEASUREMENTS

    if list_names:
        documents = {name: m.description for name, m in MEASUREMENTS.items()}
        table = format_table(("name", "measures"), documents.items())
        echo_document(output, documents, table)
        return
    unknown = sorted(set(names) - set(MEASUREMENTS))
    if unknown:
        known = ", ".join(MEASUREMENTS)
        raise click.BadParameter(f"{', '.join(unknown)}; allowed: {known}")
    signal.signal(signal.SIGTERM, _stop)
    measures = []
    for name in names or MEASUREMENTS:
        echo_progress(f"measuring {name}")
        try:
            measures += MEASUREMENTS[name].run(seed=seed)
        except (RuntimeError, OSError, ValueError) as error:
            echo_progress(f"Error: {name}: {error}")
            raise SystemExit(EXIT_ERROR) from error
    rows = [
        (m.name, m.measure, m.value, m.baseline, m.target, _verdict(m.met))
        for m in measures
    ]
    echo_document(output, measures, format_table(HEADERS, rows))
