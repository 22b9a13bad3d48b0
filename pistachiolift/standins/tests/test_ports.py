"""Ports are given to one process each."""

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
        """Covers cells whose processes bind their ports long after these are drawn."""
        first = free_ports(1)[0]
        monkeypatch.setattr(ports, "PORTS", range(first, first + 60))
        drawn = [free_ports(1)[0] for _ in range(20)]
        assert first not in drawn
        assert len(set(drawn)) == len(drawn)

    def test_another_process_does_not_get_a_kept_port(self):
        port = free_ports(1)[0]
        arguments = [sys.executable, "-c", SCRIPT, str(port), str(port + 1)]
        found = subprocess.run(arguments, capture_output=True, text=True, check=True)
        assert found.stdout.strip() == "none"

    def test_servers_listen_on_kept_ports(self):
        for_twisted, for_nng = free_ports(2)
        reactor = SelectReactor()
        listening = reactor.listenTCP(for_twisted, Factory(), interface=HOST)
        with pynng.Rep0() as peer, socket.socket() as caller:
            peer.listen(f"tcp://{HOST}:{for_nng}")
            caller.connect((HOST, for_twisted))
        listening.stopListening()
