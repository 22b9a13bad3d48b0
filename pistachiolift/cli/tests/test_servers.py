"""Servers that cannot start log the reason and exit with an error."""

import socket
import subprocess
import sys

import msgspec
import pytest

from pistachiolift.cli.exit_codes import ExitCode
from pistachiolift.node.settings import NodeSettings
from pistachiolift.standins import free_ports

TIMEOUT_S = 60.0


@pytest.fixture
def taken_port():
    """Return a port that is already in use."""
    with socket.socket() as server:
        server.bind(("127.0.0.1", 0))
        server.listen()
        yield server.getsockname()[1]


def run_to_the_end(*arguments):
    command = [sys.executable, "-m", "pistachiolift", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)


class TestServe:
    @pytest.mark.parametrize("taken", ["caller", "operator", "peer"])
    def test_a_taken_port_is_an_error(self, taken, taken_port):
        names = ("caller", "operator", "peer")
        port_by_name = dict(zip(names, free_ports(3), strict=True))
        port_by_name[taken] = taken_port
        ended = run_to_the_end(
            "serve",
            "--instance-id=entry-0",
            "--data-centre=ikeja",
            *(f"--{name}-port={port}" for name, port in port_by_name.items()),
            "--store-url=http://127.0.0.1:1",
            "--directory-url=http://127.0.0.1:1",
        )
        assert ended.returncode == ExitCode.FAILED
        assert "event=server_failed code=address_taken" in ended.stderr
        assert str(taken_port) in ended.stderr


class TestNode:
    @pytest.mark.parametrize("taken", ["caller", "ready", "peer"])
    def test_a_taken_port_is_an_error(self, taken, taken_port, tmp_path):
        """The command ``node`` logs to standard output."""
        names = ("caller", "ready", "store", "peer")
        port_by_name = dict(zip(names, free_ports(4), strict=True))
        port_by_name[taken] = taken_port
        peer_port = port_by_name.pop("peer")
        settings = NodeSettings(
            instance_id="n1",
            ip="127.0.0.1",
            zone="z",
            peer_ports=(peer_port, peer_port),
            **{
                f"{name}_address": f"127.0.0.1:{port}"
                for name, port in port_by_name.items()
            },
        )
        path = tmp_path / "node.json"
        path.write_bytes(msgspec.json.encode(settings))
        ended = run_to_the_end("node", f"--settings-file={path}")
        assert ended.returncode == ExitCode.FAILED
        assert "event=server_failed code=address_taken" in ended.stdout
        assert str(taken_port) in ended.stdout
