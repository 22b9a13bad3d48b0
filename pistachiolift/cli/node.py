"""The command that runs an instance on the users' platform."""

import gc
import signal
from pathlib import Path

import click
from twisted.internet.interfaces import IReactorFromThreads

from ..common import Metrics, SystemClock
from ..node.instance import NodeInstance
from ..node.log_output import configure_node_logging
from ..node.settings import read_settings
from ..node.settings_file import SettingsFile
from ..platform.adapter import HttpPlatformAdapter
from ..platform.adviser import PlatformAdviser
from ..platform.caller_api import make_caller_api
from ..platform.store import PlatformStore
from .documented import example, option
from .loop import make_reactor, run_server

__all__ = ["node"]

# New objects between two collections of the youngest generation.
GC_ALLOCATIONS = 20_000


@click.command(
    epilog=example("pistachiolift node --settings-file /etc/pistachiolift/node.yaml")
)
@option(
    "--settings-file",
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    envvar="PISTACHIOLIFT_BOOT",
    required=True,
    help="Settings that the platform renders from deploy/node.json.tmpl.",
)
@option("--log-level", default="INFO", help="Least severe log lines to write.")
def node(settings_file: Path, log_level: str) -> None:
    """Run one instance that accepts jobs and can own the scheduler.

    SIGTERM drains it, within the grace time of its settings. SIGHUP reads the
    settings again.
    """
    settings = read_settings(settings_file)
    reactor = make_reactor()
    metrics = Metrics()
    handler = configure_node_logging(reactor, log_level.upper(), metrics)
    instance = NodeInstance(
        reactor,
        settings,
        clock=SystemClock(),
        metrics=metrics,
        store=PlatformStore(reactor, settings.store_address),
        adapter=HttpPlatformAdapter(reactor=reactor),
        adviser=PlatformAdviser(reactor, settings.adviser_address or "127.0.0.1:1"),
        make_caller_api=make_caller_api,
    )
    # Most objects live as long as their jobs; frequent collections only cost time.
    gc.set_threshold(GC_ALLOCATIONS, 20, 50)
    # Modules and classes live as long as the process.
    gc.freeze()
    file = SettingsFile(
        reactor,
        settings_file,
        settings,
        metrics=metrics,
        on_changed=instance.apply_settings,
    )
    try:
        run_server(lambda reactor: _run(reactor, instance, file))
    finally:
        handler.flush()


async def _run(
    reactor: IReactorFromThreads, instance: NodeInstance, file: SettingsFile
) -> None:
    instance.start()
    file.start()

    def drain(_signal: int, _frame: object) -> None:
        reactor.callFromThread(instance.start_drain)

    signal.signal(signal.SIGTERM, drain)
    signal.signal(signal.SIGINT, drain)
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(file.check))
    await instance.drained
