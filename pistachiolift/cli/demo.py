"""The command that runs the demo."""

import click

from ..demo import run_demo
from .documented import example, option
from .loop import run_on_loop
from .options import output_option
from .output import echo_document

__all__ = ["demo"]

EXIT_VIOLATION = 1


@click.command(epilog=example("pistachiolift demo", "pistachiolift demo --seed 7"))
@option("--seed", type=int, default=1, show_default=True, help="Seed of the load.")
@output_option
def demo(seed: int, output: str) -> None:
    """Run a mixed load with a flood on a whole cell in this process.

    Exits with 1 if a guarantee was broken.
    """
    lines, held = run_on_loop(lambda reactor: run_demo(reactor, seed=seed))
    echo_document(output, {"lines": lines, "held": held}, "\n".join(lines))
    raise SystemExit(0 if held else EXIT_VIOLATION)
