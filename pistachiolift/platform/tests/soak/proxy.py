"""A TCP proxy on loopback that can delay, reset, cut and silence its links.

The first argument is a JSON document: ``control`` is the control port, and ``links``
maps each listening port to its target port.
"""

import json
import sys

from klein import Klein
from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.web.server import Site

HOST = "127.0.0.1"


class Link:
    """A listening port with its target, and the treatment of its connections.

    The mode is ``pass``, ``delay``, ``silent``, ``cut_to_server`` or ``cut_to_client``.

    :param target: port to which connections are forwarded.
    """

    def __init__(self, target: int):
        self.target = target
        self.mode = "pass"
        self.delay_s = 0.0
        self.pairs: set[Side] = set()

    def set_mode(self, mode: str, delay_s: float) -> None:
        """Change the mode; ``reset`` aborts the open connections, then passes data."""
        if mode == "reset":
            for side in list(self.pairs):
                side.transport.abortConnection()
            mode = "pass"
        # Data dropped so far is not sent later, as on a connection gone silent.
        self.mode, self.delay_s = mode, delay_s

    def forward(self, source: "Side", data: bytes) -> None:
        """Forward data to the other side, or drop it."""
        blocked = "cut_to_server" if source.is_client else "cut_to_client"
        if source.silent or self.mode in ("silent", blocked):
            source.silence()
            return
        delay_s = self.delay_s if self.mode == "delay" else 0.0
        source.due_s = max(source.due_s, reactor.seconds() + delay_s)
        wait_s = source.due_s - reactor.seconds()
        if wait_s > 0.0005:
            reactor.callLater(wait_s, source.write_other, data)
        else:
            source.write_other(data)


class Side(Protocol):
    """One side of a connection through the proxy."""

    def __init__(self, link: Link, *, is_client: bool):
        self.link = link
        self.is_client = is_client
        self.other: Side | None = None
        self.early: list[bytes] = []
        self.silent = False
        self.due_s = 0.0

    def connectionMade(self):  # noqa: N802
        self.link.pairs.add(self)
        if self.is_client:
            reactor.connectTCP(HOST, self.link.target, _Connector(self))

    def silence(self):
        """Drop all further data in this direction."""
        self.silent = True

    def dataReceived(self, data):  # noqa: N802
        if self.other is None:
            self.early.append(data)
        else:
            self.link.forward(self, data)

    def write_other(self, data):
        if self.other is not None and self.other.connected:
            self.other.transport.write(data)

    def join(self, other: "Side") -> None:
        """Join both sides and forward the data received so far."""
        self.other, other.other = other, self
        early, self.early = self.early, []
        for data in early:
            self.link.forward(self, data)

    def connectionLost(self, reason):  # noqa: N802
        self.link.pairs.discard(self)
        if self.other is not None and self.other.connected:
            self.other.transport.loseConnection()


class _Connector(ClientFactory):
    noisy = False

    def __init__(self, client: Side):
        self.client = client

    def buildProtocol(self, addr):  # noqa: N802
        return _Server(self.client)

    def clientConnectionFailed(self, connector, reason):  # noqa: N802
        self.client.transport.abortConnection()


class _Server(Side):
    def __init__(self, client: Side):
        super().__init__(client.link, is_client=False)
        self._client = client

    def connectionMade(self):  # noqa: N802
        super().connectionMade()
        if self._client.connected:
            self._client.join(self)
        else:
            self.transport.loseConnection()


class _Listener(Factory):
    noisy = False

    def __init__(self, link: Link):
        self._link = link

    def buildProtocol(self, addr):  # noqa: N802
        return Side(self._link, is_client=True)


def main() -> None:
    """Serve until killed."""
    options = json.loads(sys.argv[1])
    links = {int(port): Link(target) for port, target in options["links"].items()}
    for port, link in links.items():
        reactor.listenTCP(port, _Listener(link), interface=HOST)
    app = Klein()

    @app.route("/link/<int:port>/<mode>/<int:delay_ms>", methods=["POST"])
    def set_mode(request, port, mode, delay_ms):
        links[port].set_mode(mode, delay_ms / 1000)
        return b""

    reactor.listenTCP(options["control"], Site(app.resource()), interface=HOST)
    reactor.run()


if __name__ == "__main__":
    main()
