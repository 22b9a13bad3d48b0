"""A configuration of many routes at an instance with a narrow link, in virtual time."""

import json
from base64 import b64encode
from urllib.parse import parse_qs, urlsplit

from twisted.internet.error import ConnectionAborted
from twisted.internet.task import LoopingCall
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from pistachiolift.common import ManualClock, Metrics
from pistachiolift.node.store_watches import ConfigurationWatch
from pistachiolift.platform.adapter import HttpPlatformAdapter
from pistachiolift.platform.store import PlatformStore

# Requirement C3 (ConfigApplyMs of the cells with such links).
APPLY_LIMIT_S = 3.0
# The narrowest link of an instance is 5 Mbit/s.
LINK_BYTES_PER_S = 5_000_000 / 8
STEP_S = 0.01
ROUND_TRIP_S = 0.02


def make_configuration(version, routes):
    """Return a stored configuration with a number of routes."""
    rows = [
        {
            "Name": f"r-{number:07}",
            "Host": f"h{number % 7}.example",
            "Prefix": f"/p{number:07}/",
            "RouteType": "non_idempotent",
            "TimeoutMs": 3069,
            "TargetDurationMs": 255,
            "Priority": 0,
            "Service": "s",
            "MaxAttempts": 4,
            "Stretch": 1.5,
            "Advice": {"DecideMs": 14.4, "EachMs": 0.13, "ValidMs": 1500},
            "Public": False,
        }
        for number in range(routes)
    ]
    value = {"Version": version, "Routes": rows, "Services": [{"Name": "s"}]}
    return json.dumps(value, separators=(",", ":")).encode()


class _Transport(StringTransport):
    """The store's side of a connection."""

    def __init__(self, store):
        super().__init__()
        self._store = store
        self.protocol = None
        self.closed = False
        # What the link has yet to carry.
        self.unsent = b""

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def write(self, data):
        self._store.receive(self, data)

    def abortConnection(self):  # noqa: N802
        if not self.closed:
            self.closed, self.unsent = True, b""
            self.protocol.connectionLost(Failure(ConnectionAborted()))

    loseConnection = abortConnection  # noqa: N815


class NarrowStore:
    """The store behind a link whose rate all connections of the instance share."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.revision = 7
        self.value = make_configuration(1, 3)
        self.transports = []
        sending = LoopingCall(self._send)
        sending.clock = reactor
        sending.start(STEP_S)

    def put(self, value):
        self.value, self.revision = value, self.revision + 1

    def accept(self):
        """Open the connections that the instance has asked for."""
        for _, _, factory, _, _ in self.reactor.tcpClients:
            protocol, transport = factory.buildProtocol(None), _Transport(self)
            transport.protocol = protocol
            self.transports.append(transport)
            protocol.makeConnection(transport)
        self.reactor.tcpClients.clear()

    def receive(self, transport, request):
        url = urlsplit(request.split(b" ")[1].decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/api/kv-watch":
            end_s = self.reactor.seconds() + int(query["WaitMs"]) / 1000
            self._watch(transport, int(query["After"]), end_s)
        elif url.path == "/api/kv-range":
            self._answer(transport, {"items": [self._item()]})
        else:
            self._answer(transport, {})

    def _watch(self, transport, after, end_s):
        if self.revision > after:
            self._answer(transport, {"events": [self._item()]})
        elif self.reactor.seconds() >= end_s:
            self._answer(transport, {"events": []})
        else:
            self.reactor.callLater(STEP_S, self._watch, transport, after, end_s)

    def _item(self):
        return {
            "Key": "op/config",
            "Value": b64encode(self.value).decode(),
            "Revision": self.revision,
        }

    def _answer(self, transport, body):
        data = json.dumps({**body, "CurrentRev": self.revision}).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n".encode()
        self.reactor.callLater(ROUND_TRIP_S, self._queue, transport, head + data)

    def _queue(self, transport, data):
        if not transport.closed:
            transport.unsent += data

    def _send(self):
        active = [each for each in self.transports if each.unsent]
        for transport in active:
            size = int(LINK_BYTES_PER_S * STEP_S / len(active))
            part, transport.unsent = transport.unsent[:size], transport.unsent[size:]
            transport.protocol.dataReceived(part)


class Instance:
    """An instance that has read the first version."""

    def __init__(self):
        self.reactor, self.clock = MemoryReactorClock(), ManualClock()
        self.store = NarrowStore(self.reactor)
        self.watch = ConfigurationWatch(
            self.reactor,
            PlatformStore(self.reactor, "192.0.2.1:80"),
            HttpPlatformAdapter(reactor=self.reactor),
            on_table=lambda table: None,
            clock=self.clock,
            metrics=Metrics(),
        )
        self.watch.start()
        self.advance(1.0)
        assert self.watch.table.version == 1

    def advance(self, interval_s):
        for _ in range(round(interval_s / STEP_S)):
            self.store.accept()
            self.clock.advance(STEP_S)
            self.reactor.advance(STEP_S)

    def seconds_until(self, version, limit_s):
        """Return the time until a version is in force, or the limit."""
        for step in range(round(limit_s / STEP_S)):
            if self.watch.table.version >= version:
                return step * STEP_S
            self.advance(STEP_S)
        return limit_s


class TestNarrowLink:
    # Guards against a watch that gives up an answer which is still arriving, and so
    # leaves an acknowledged configuration out of force for longer than allowed.
    def test_a_long_configuration_is_in_force_in_time(self):
        for routes in (1400, 2800):
            for phase_s in (0.0, 0.2, 0.4, 0.6, 0.75):
                instance = Instance()
                instance.advance(phase_s)
                instance.store.put(make_configuration(2, routes))
                took_s = instance.seconds_until(2, 2 * APPLY_LIMIT_S)
                assert took_s < APPLY_LIMIT_S, (routes, phase_s)
