"""The top command and its options."""

import click

from .. import __version__
from ..common import configure_logging
from .bench import bench
from .cancel import cancel
from .completion import completion
from .demo import demo
from .drain import drain
from .exit_codes import ExitCode
from .explain import explain
from .node import node
from .options import example, option
from .replay import replay
from .serve import serve
from .settings import settings
from .settings_changes import import_, set_, unset
from .standin import standin
from .status import status
from .submit import submit

__all__ = ["main"]

LOG_LEVELS = ["DEBUG", "INFO", "WARNING", "ERROR"]

_EXIT_CODES = "\n\n\b\nExit codes:\n" + "\n".join(
    f"  {code.value:3}  {code.meaning}" for code in ExitCode
)


@click.group(
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
    """Schedule requests and jobs in a cluster of unlike workloads.

    Each option can be set by a variable, which the help of its command names.
    """
    configure_logging(log_level.upper())


for command in (
    bench,
    demo,
    replay,
    node,
    serve,
    standin,
    submit,
    cancel,
    status,
    explain,
    settings,
    drain,
    completion,
):
    main.add_command(command)
for command in (set_, unset, import_):
    settings.add_command(command)
