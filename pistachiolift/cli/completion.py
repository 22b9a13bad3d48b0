"""The command that prints the shell completion script."""

import click
from click.shell_completion import ShellComplete, get_completion_class

from .documented import example

__all__ = ["completion"]

PROGRAM = "pistachiolift"
COMPLETE_VARIABLE = "_PISTACHIOLIFT_COMPLETE"


@click.command(
    epilog=example("pistachiolift completion bash > pistachiolift-completion.sh")
)
@click.argument("shell", type=click.Choice(["bash", "fish", "zsh"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print the completion script for SHELL, to be sourced in its startup file."""
    completer = get_completion_class(shell)(
        context.find_root().command, {}, PROGRAM, COMPLETE_VARIABLE
    )
    # The method of the bash class starts a bash process to check its version.
    click.echo(ShellComplete.source(completer))
