"""A site without network connections, and its callers."""

import json

from klein import Klein
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from pistachiolift.common import Metrics
from pistachiolift.listener import HttpLimits, StreamingSite, klein_resource


class Sink:
    """Collects the data written by the producer of a body."""

    def __init__(self, producer):
        self.data = b""
        self.producer = producer
        self.done = producer.startProducing(self)
        self.failures = []
        self.done.addErrback(lambda failure: self.failures.append(failure.value))

    def write(self, data):
        self.data += data


class Caller:
    """A caller with one connection to the site."""

    def __init__(self, site):
        self.transport = StringTransport()
        self.channel = site.buildProtocol(None)
        self.channel.makeConnection(self.transport)

    def send(self, data):
        self.channel.dataReceived(data)

    def post(self, kind, body=b"", *headers, length=None, chunked=False):
        length = len(body) if length is None else length
        framing = (
            "Transfer-Encoding: chunked" if chunked else f"Content-Length: {length}"
        )
        lines = [f"POST /{kind} HTTP/1.1", "Host: test", framing, *headers, "", ""]
        self.send("\r\n".join(lines).encode() + body)

    def leave(self):
        self.channel.connectionLost(Failure(ConnectionLost()))

    @property
    def paused(self):
        return self.transport.producerState == "paused"

    @property
    def received(self):
        return self.transport.value()

    @property
    def status(self):
        return int(self.received.split(b" ", 2)[1]) if self.received else None

    @property
    def body(self):
        return self.received.partition(b"\r\n\r\n")[2]

    @property
    def error(self):
        return json.loads(self.body)


class Setup:
    """A site with the given functions as handlers, by path."""

    def __init__(self, limits=None, **handlers):
        app = Klein()
        for name, handler in handlers.items():
            app.route(f"/{name}", methods=["POST"], endpoint=name)(handler)
        self.clock = Clock()
        self.metrics = Metrics()
        self.site = StreamingSite(
            klein_resource(app),
            metrics=self.metrics,
            reactor=self.clock,
            limits=limits or HttpLimits(),
        )
        self.site.startFactory()

    def call(self):
        return Caller(self.site)

    def sweep_for(self, seconds):
        self.clock.pump([1.0] * seconds)
