"""Tests of the reservation of ports."""

import socket
import subprocess
import sys

import pynng
from twisted.internet.protocol import Factory
from twisted.internet.selectreactor import SelectReactor

from pistachiolift.standins import free_ports, ports

SCRIPT = """
import sys
from pistachiolift.standins import free_ports, ports
ports.PORTS = range(*map(int, sys.argv[1:]))
try:
    print(free_ports(1)[0])
except OSError:
    print("none")
"""
HOST = "127.0.0.1"


class TestFreePorts:
    def test_no_port_is_returned_twice(self, monkeypatch):
        """Guards against two processes of a cell with one port: they bind their ports
        long after these were chosen.
        """
        first = free_ports(1)[0]
        monkeypatch.setattr(ports, "PORTS", range(first, first + 60))
        ports_returned = [free_ports(1)[0] for _ in range(20)]
        assert first not in ports_returned
        assert len(set(ports_returned)) == len(ports_returned)

    def test_another_process_does_not_get_a_reserved_port(self):
        port = free_ports(1)[0]
        arguments = [sys.executable, "-c", SCRIPT, str(port), str(port + 1)]
        found = subprocess.run(arguments, capture_output=True, text=True, check=True)
        assert found.stdout.strip() == "none"

    def test_servers_can_listen_on_reserved_ports(self):
        for_twisted, for_nng = free_ports(2)
        reactor = SelectReactor()
        listening = reactor.listenTCP(for_twisted, Factory(), interface=HOST)
        with pynng.Rep0() as peer, socket.socket() as caller:
            peer.listen(f"tcp://{HOST}:{for_nng}")
            caller.connect((HOST, for_twisted))
        listening.stopListening()
