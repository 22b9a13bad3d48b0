"""What the connection to the owner tells of the owner's death."""

from types import SimpleNamespace

import msgspec
import pytest
from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.internet.protocol import Protocol
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from pistachiolift.node.owner_link import (
    RECONNECT_INTERVAL_S,
    REFUSED_LIMIT,
    OwnerLink,
)
from pistachiolift.node.ownership import DeathEvidence, OwnerRecord

OWNER = OwnerRecord(instance_id="n1", incarnation="first", address="127.0.0.1:1")


class Harness:
    """A link whose connections are opened or refused by the test."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        self.deaths = []
        self.callbacks = {}
        self.link = OwnerLink(
            self.reactor,
            self._make,
            "n0",
            on_died=lambda record, evidence: self.deaths.append((record, evidence)),
            on_unreachable=lambda: None,
        )
        self.link.set_owner(OWNER)

    def _make(self, **callbacks):
        self.callbacks = callbacks
        return Protocol()

    def fail(self, error):
        """Fail the connection that is being opened; the link opens another one."""
        factory = self.reactor.tcpClients.pop()[2]
        factory.clientConnectionFailed(None, Failure(error))
        self.reactor.advance(RECONNECT_INTERVAL_S)


class TestEvidence:
    """Guards against taking an owner that is only cut off for one that has ended."""

    def test_refused_connections_are_reported_as_such(self):
        harness = Harness()
        for _ in range(REFUSED_LIMIT):
            assert harness.deaths == []
            harness.fail(ConnectionRefusedError())
        assert harness.deaths == [(OWNER, DeathEvidence.REFUSED)]

    def test_silence_is_no_evidence(self):
        harness = Harness()
        for _ in range(2 * REFUSED_LIMIT):
            harness.fail(TimeoutError())
        assert harness.deaths == []

    @pytest.mark.parametrize("address", ["127.0.0.1:x", "127.0.0.1:70000", "", "odd"])
    def test_an_odd_address_is_no_evidence_and_leaves_the_link_working(self, address):
        """Guards against a link that never looks for the next owner."""
        harness = Harness()
        harness.link.set_owner(msgspec.structs.replace(OWNER, address=address))
        harness.fail(TimeoutError())
        assert not harness.reactor.tcpClients
        harness.link.set_owner(OWNER)
        harness.reactor.advance(RECONNECT_INTERVAL_S)
        assert harness.deaths == []
        assert harness.reactor.tcpClients

    @pytest.mark.parametrize(
        ("incarnation", "deaths"),
        [("second", [(OWNER, DeathEvidence.REPLACED)]), ("first", [])],
    )
    def test_another_process_of_the_instance_proves_the_death(
        self, incarnation, deaths
    ):
        harness = Harness()
        peer = SimpleNamespace(instance_id="n1", incarnation=incarnation)
        harness.callbacks["on_open"](SimpleNamespace(peer=peer))
        assert harness.deaths == deaths
