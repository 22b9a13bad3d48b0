"""Runs a listener in a separate process, controlled by lines on standard input.

Arguments: the key file and the certificate file for TLS, or none for plain TCP.
"""

import os
import select
import sys
from pathlib import Path

import click
from klein import Klein
from twisted.internet import stdio
from twisted.internet.defer import Deferred
from twisted.internet.task import react
from twisted.protocols.basic import LineReceiver

from pistachiolift.common import Metrics
from pistachiolift.listener import HttpLimits, Listener, StreamingSite, klein_resource

app = Klein()
orders = {b"stop": Deferred(), b"finish": Deferred()}


class Orders(LineReceiver):
    delimiter = b"\n"

    def lineReceived(self, line):  # noqa: N802
        if line == b"stop when busy":
            # Connections opened before the next order are not accepted before the stop.
            click.echo("busy")
            select.select([sys.stdin.fileno()], [], [])
            line = os.read(sys.stdin.fileno(), 100).strip()
        orders[line].callback(None)


@app.route("/fast", methods=["POST"])
async def fast(request):
    return b"ok"


@app.route("/slow", methods=["POST"])
async def slow(request):
    request.body.on_disconnect(lambda: click.echo("left"))
    click.echo("started")
    await orders[b"finish"]
    return b"a" * 1_000_000


@app.route("/refuse", methods=["POST"])
async def refuse(request):
    request.body.set_limit(1000)


async def main(reactor):
    files = [Path(name) for name in sys.argv[1:]] or [None, None]
    # The connection of an idle TLS caller that does not answer the closure alert is
    # aborted after progress_s.
    limits = HttpLimits(progress_s=1)
    site = StreamingSite(
        klein_resource(app), metrics=Metrics(), reactor=reactor, limits=limits
    )
    stdio.StandardIO(Orders())
    async with Listener(
        site,
        reactor=reactor,
        host="127.0.0.1",
        port=0,
        key_file=files[0],
        certificate_file=files[1],
    ) as listener:
        click.echo(listener.port)
        await orders[b"stop"]
        await listener.stop_accepting()
        click.echo("stopped")
    click.echo("closed")


react(lambda reactor: Deferred.fromCoroutine(main(reactor)))
