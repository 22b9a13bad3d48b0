"""Tests of the listener over real connections."""

import http.client
import socket
import ssl
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from OpenSSL import crypto
from twisted.internet.ssl import KeyPair

from pistachiolift.common import InvalidInputError
from pistachiolift.listener import load_certificate

MODULE = "pistachiolift.listener.tests.listener_server"


@pytest.fixture(scope="module")
def pem_files(tmp_path_factory):
    key = KeyPair.generate(size=2048)
    directory = tmp_path_factory.mktemp("pem")
    files = directory / "key.pem", directory / "certificate.pem"
    files[0].write_bytes(key.dump(crypto.FILETYPE_PEM))
    files[1].write_bytes(key.selfSignedCert(1, CN=b"test").dumpPEM())
    return files


class Server:
    def __init__(self, files):
        pipe, root = subprocess.PIPE, Path(__file__).parents[3]
        self.process = subprocess.Popen(
            [sys.executable, "-m", MODULE, *files],
            stdin=pipe,
            stdout=pipe,
            text=True,
            cwd=root,
        )
        self.port = int(self.read())
        self.tls = bool(files)

    def connect(self):
        if not self.tls:
            return http.client.HTTPConnection("127.0.0.1", self.port, 30)
        context = ssl.create_default_context()
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE
        return http.client.HTTPSConnection(
            "127.0.0.1", self.port, timeout=30, context=context
        )

    def read(self):
        return self.process.stdout.readline().strip()

    def order(self, line):
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()


@pytest.fixture(params=["tcp", "tls"])
def server(request, pem_files):
    server = Server(pem_files if request.param == "tls" else [])
    with server.process:
        yield server
        server.process.kill()


class TestListener:
    def test_stop_finishes_the_request_in_flight(self, server):
        """Guards against a graceful shutdown that cuts off a request, still accepts
        connections or waits for idle ones.
        """
        idle, active = server.connect(), server.connect()
        idle.connect()
        active.request("POST", "/slow", b"x")
        assert server.read() == "started"
        server.order("stop")
        assert server.read() == "stopped"
        with pytest.raises(ConnectionRefusedError):
            server.connect().connect()
        server.order("finish")
        response = active.getresponse()
        assert response.read() == b"a" * 1_000_000
        assert response.getheader("Connection") == "close"
        assert server.read() == "closed"
        assert server.process.wait(30) == 0
        idle.close()

    def test_stop_serves_connections_that_wait_to_be_accepted(self, server):
        """Guards against a reset of connections opened just before a shutdown."""

        def call(connection):
            connection.request("POST", "/fast", b"x")
            return connection.getresponse().read()

        connections = [server.connect() for _ in range(5)]
        assert call(connections[0]) == b"ok"
        server.order("stop when busy")
        assert server.read() == "busy"
        for connection in connections[1:]:
            # TLS begins when the call is made.
            opened = socket.create_connection(("127.0.0.1", server.port), 30)
            connection._create_connection = lambda *_args, opened=opened: opened
        with ThreadPoolExecutor(len(connections)) as pool:
            answers = pool.map(call, connections)
            server.order("stop")
            assert list(answers) == [b"ok"] * len(connections)
        assert server.read() == "stopped"
        with pytest.raises(ConnectionRefusedError):
            server.connect().connect()
        assert server.process.wait(30) == 0

    def test_disconnect_is_detected_while_the_body_is_held(self, server):
        """Guards against work for a caller that has closed its paused connection."""
        connection = server.connect()
        connection.putrequest("POST", "/slow")
        connection.putheader("Content-Length", "1000000")
        # The server reads up to 128 KiB and then pauses. The rest must fit into its
        # receive window; otherwise the end of the connection does not reach a server
        # that does not read.
        connection.endheaders(b"x" * 150_000)
        assert server.read() == "started"
        connection.close()
        assert server.read() == "left"

    def test_refused_upload_gets_its_answer(self, server):
        """Guards against a reset that destroys the answer to a caller that is still
        sending.
        """
        connection = server.connect()
        connection.request("POST", "/refuse", b"x" * 2_000_000)
        response = connection.getresponse()
        assert response.status == 413 and b"at most 1000" in response.read()
        connection.close()


class TestLoadCertificate:
    def test_error_names_the_invalid_file(self, pem_files, tmp_path):
        """Guards against a listener that starts without its certificate."""
        missing = tmp_path / "missing.pem"
        for files in [(missing, pem_files[1]), pem_files[:1] * 2]:
            with pytest.raises(InvalidInputError, match=r"\.pem"):
                load_certificate(*files)
