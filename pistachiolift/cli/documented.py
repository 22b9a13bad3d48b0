"""Parts of a command's help."""

from functools import partial

import click

__all__ = ["example", "option"]

# Every option shows its variable in the help.
option = partial(click.option, show_envvar=True)


def example(*lines: str) -> str:
    """Return an epilog of a command's help that shows an example as it is."""
    return "\b\nExample:\n" + "\n".join(f"  {line}" for line in lines)
