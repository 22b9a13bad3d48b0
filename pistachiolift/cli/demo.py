"""The command that runs the demo."""

import click
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred

from ..demo import run_demo
from .documented import example, option
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
    results: list[tuple[list[str], bool]] = []
    failures: list = []

    def start() -> None:
        running = ensureDeferred(run_demo(reactor, seed=seed))
        running.addCallbacks(results.append, failures.append)
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    if failures:
        failures[0].raiseException()
    lines, held = results[0]
    echo_document(output, {"lines": lines, "held": held}, "\n".join(lines))
    raise SystemExit(0 if held else EXIT_VIOLATION)
