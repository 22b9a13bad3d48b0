"""The top command and its options."""

import click

from .. import __version__
from ..common import configure_logging
from .documented import example, option
from .exit_codes import ExitCode
from .lazy import LazyGroup

__all__ = ["main"]

COMMANDS = (
    "bench",
    "cancel",
    "completion",
    "demo",
    "drain",
    "explain",
    "node",
    "replay",
    "serve",
    "settings",
    "standin",
    "status",
    "submit",
)
LOG_LEVELS = ["DEBUG", "INFO", "WARNING", "ERROR"]

_EXIT_CODES = "\n\n\b\nExit codes:\n" + "\n".join(
    f"  {code.value:3}  {code.meaning}" for code in ExitCode
)


@click.group(
    cls=LazyGroup,
    module_by_command={name: name for name in COMMANDS},
    context_settings={
        "auto_envvar_prefix": "PISTACHIOLIFT",
        "help_option_names": ["-h", "--help"],
        "show_default": True,
    },
    epilog=example("pistachiolift status --operator-url http://127.0.0.1:8001")
    + _EXIT_CODES,
)
@click.version_option(__version__)
@option(
    "--log-level",
    type=click.Choice(LOG_LEVELS, case_sensitive=False),
    default="INFO",
    help="Least severe log lines to write.",
)
def main(log_level: str) -> None:
    """Schedule requests and jobs of mixed workloads in a cluster.

    Each option can be set by a variable, which the help of its command names.
    """
    configure_logging(log_level.upper())
