"""Commands that run the substitutes of the platform, for tests and trials."""

import click
from twisted.internet import reactor
from twisted.web.server import Site

from ..backends import Capacity
from ..standins import (
    DirectoryStandin,
    StoreStandin,
    UpstreamStandin,
    WorkerStandin,
)
from .documented import example, option

__all__ = ["standin"]


def _listen(site: Site, host: str, port: int) -> None:
    site.displayTracebacks = False
    reactor.listenTCP(port, site, interface=host, backlog=512)
    reactor.run()


@click.group(epilog=example("pistachiolift standin store --port 2379"))
def standin() -> None:
    """Run a substitute of the platform, an upstream or a worker."""


@standin.command(epilog=example("pistachiolift standin store --port 2379"))
@option("--host", default="127.0.0.1", help="IP address.")
@option("--port", type=int, required=True, help="Port.")
def store(host: str, port: int) -> None:
    """Run a key-value service in memory."""
    _listen(Site(StoreStandin(reactor).app.resource()), host, port)


@standin.command(epilog=example("pistachiolift standin directory --port 8500"))
@option("--host", default="127.0.0.1", help="IP address.")
@option("--port", type=int, required=True, help="Port.")
@option("--lag", "lag_s", type=float, default=0.5, help="Seconds of lag.")
def directory(host: str, port: int, lag_s: float) -> None:
    """Run an instance list."""
    _listen(Site(DirectoryStandin(lag_s=lag_s).app.resource()), host, port)


@standin.command(epilog=example("pistachiolift standin upstream --port 9001 --slots 8"))
@option("--host", default="127.0.0.1", help="IP address.")
@option("--port", type=int, required=True, help="Port.")
@option("--slots", type=int, default=8, help="Attempts at once.")
@option("--connections", type=int, default=64, help="Open connections.")
@option("--run-time", "run_s", type=float, default=0.02, help="Seconds.")
def upstream(host: str, port: int, slots: int, connections: int, run_s: float) -> None:
    """Run an upstream with slots."""
    server = UpstreamStandin(
        reactor, slots=slots, connections=connections, default_run_s=run_s
    )
    _listen(server.site(), host, port)


@standin.command(
    epilog=example("pistachiolift standin worker --port 9101 --cpu-milli 32000")
)
@option("--host", default="127.0.0.1", help="IP address.")
@option("--port", type=int, required=True, help="Port.")
@option("--cpu-milli", type=int, default=32_000, help="Processors, in thousandths.")
@option("--memory-mb", type=int, default=64_000, help="Memory, in megabytes.")
@option("--accelerators", type=int, default=0, help="Accelerators.")
def worker(
    host: str, port: int, cpu_milli: int, memory_mb: int, accelerators: int
) -> None:
    """Run a worker."""
    capacity = Capacity(
        cpu_milli=cpu_milli, memory_mb=memory_mb, accelerators=accelerators
    )
    worker = WorkerStandin(reactor, capacity=capacity)
    _listen(Site(worker.app.resource()), host, port)
