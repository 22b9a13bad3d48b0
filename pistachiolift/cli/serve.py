"""The command that runs an entry instance."""

import signal
from pathlib import Path

import click
from twisted.internet.interfaces import IReactorCore

from ..common import DataCentreId, InstanceId
from ..entry import Instance, InstanceConfig
from ..home import record_trace
from .documented import example, option
from .loop import run_server

__all__ = ["serve"]


def _parse_statsd(
    _context: click.Context, _parameter: click.Parameter, value: str | None
) -> tuple[str, int] | None:
    if value is None:
        return None
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdecimal():
        raise click.BadParameter(f"{value!r} is not of the form HOST:PORT")
    return host, int(port)


@click.command(
    epilog=example(
        "pistachiolift serve --instance-id entry-1 --data-centre ikeja \\",
        "  --caller-port 8000 --operator-port 8001 --peer-port 8002 \\",
        "  --store-url http://127.0.0.1:2379 --directory-url http://127.0.0.1:8500",
    )
)
@option("--instance-id", required=True, help="Unique identity of the process.")
@option("--data-centre", required=True, help="Data centre of the instance.")
@option("--host", default="127.0.0.1", help="IP address.")
@option("--caller-port", type=int, required=True, help="Port for callers.")
@option("--operator-port", type=int, required=True, help="Port for operators.")
@option("--peer-port", type=int, required=True, help="Port for other instances.")
@option("--store-url", required=True, help="Base URL of the key-value service.")
@option("--directory-url", required=True, help="Base URL of the instance list.")
@option("--peer-secret", default="", help="Key that authenticates instances.")
@option("--statsd", callback=_parse_statsd, help="HOST:PORT of statsd.")
@option(
    "--key-file", type=click.Path(path_type=Path, exists=True), help="TLS key (PEM)."
)
@option(
    "--certificate-file",
    type=click.Path(path_type=Path, exists=True),
    help="TLS certificate and its issuers (PEM).",
)
@option(
    "--drain-grace",
    "drain_grace_s",
    type=float,
    default=2.0,
    help="Seconds between a failing health check and the end of accepting.",
)
@option(
    "--trace-file",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Record decisions in this file, for the command replay.",
)
def serve(**options) -> None:
    """Run one entry instance until SIGTERM, which drains it first.

    A second signal stops it at once.
    """
    config = InstanceConfig(
        instance_id=InstanceId(options.pop("instance_id")),
        data_centre=DataCentreId(options.pop("data_centre")),
        peer_secret=options.pop("peer_secret").encode(),
        **options,
    )
    with record_trace(config.trace_file):
        run_server(lambda reactor: _run(reactor, config))


async def _run(reactor: IReactorCore, config: InstanceConfig) -> None:
    instance = Instance(reactor, config)
    async with instance:
        # The first signal drains; a second one stops at once.
        def drain(_signal: int, _frame: object) -> None:
            if instance.draining:
                reactor.callFromThread(reactor.stop)
            reactor.callFromThread(instance.start_drain)

        signal.signal(signal.SIGTERM, drain)
        signal.signal(signal.SIGINT, drain)
        await instance.drained
