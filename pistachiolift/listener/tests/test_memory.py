"""Tests of the memory of a relay process during concurrent large transfers."""

import http.client
import re
import resource
import subprocess
import sys
import threading
import zlib
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing, contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

TRANSFERS = 20
PIECE = bytes(range(256)) * 256
PIECES = 40 * 1024 * 1024 // len(PIECE)
CHECKSUM = zlib.crc32(PIECE * PIECES)
MEMORY_LIMIT_BYTES = 256 * 1024 * 1024
WAIT_S = 60


def checksum(reader):
    value = 0
    while piece := reader.read(65536):
        value = zlib.crc32(piece, value)
    return value


class Upstream(BaseHTTPRequestHandler):
    """Reads uploads only after all have started, so the relay holds all at once."""

    protocol_version = "HTTP/1.1"
    uploads = threading.Barrier(TRANSFERS)

    def do_POST(self):  # noqa: N802
        left = int(self.headers["Content-Length"])
        upload = left > 1
        if upload:
            self.uploads.wait(WAIT_S)
        value = 0
        while left:
            piece = self.rfile.read(min(left, 65536))
            value = zlib.crc32(piece, value)
            left -= len(piece)
        body = [b"%d" % value]
        if not upload:
            body = [PIECE] * PIECES
        self.send_response(200)
        self.send_header("Content-Length", str(sum(map(len, body))))
        self.end_headers()
        try:
            for piece in body:
                self.wfile.write(piece)
        except ConnectionError:
            self.close_connection = True

    def log_message(self, *arguments):
        pass


class Relay:
    def __init__(self, process):
        self.process = process
        self.port = int(process.stdout.readline())
        self.downloads = threading.Barrier(TRANSFERS)

    def open(self, kind, body, **headers):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, WAIT_S)
        headers |= {"Authorization": "Bearer a", "Idempotency-Key": "a"}
        headers["Deadline-Ms"] = "1000"
        connection.request("POST", f"/v1/requests/{kind}", body, headers)
        return connection, connection.getresponse()

    def upload(self):
        length = str(len(PIECE) * PIECES)
        body = (PIECE for _ in range(PIECES))
        connection, response = self.open("upload", body, **{"Content-Length": length})
        with closing(connection):
            return int(response.read())

    def download(self):
        connection, response = self.open("download", b"x")
        with closing(connection):
            self.downloads.wait(WAIT_S)
            return checksum(response)

    def peak_bytes(self):
        # ru_maxrss would include the memory of the parent at the fork.
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024


@contextmanager
def running_relay(kind):
    class Server(ThreadingHTTPServer):
        request_queue_size = 128
        daemon_threads = True

    upstream = Server(("127.0.0.1", 0), Upstream)
    Upstream.uploads.reset()
    threading.Thread(target=upstream.serve_forever, daemon=True).start()
    module = [sys.executable, "-m", "pistachiolift.bench.relay"]
    command = [*module, "serve", kind, str(upstream.server_port)]
    root = Path(__file__).parents[3]
    with subprocess.Popen(command, stdout=subprocess.PIPE, cwd=root) as process:
        try:
            yield Relay(process)
        finally:
            process.kill()
            upstream.shutdown()
            upstream.server_close()


def transfer_all(relay):
    """Run all transfers concurrently, with another caller that does not read."""
    stalled, _ = relay.open("download", b"x")
    with ThreadPoolExecutor(2 * TRANSFERS) as pool:
        results = [pool.submit(relay.upload) for _ in range(TRANSFERS)]
        results += [pool.submit(relay.download) for _ in range(TRANSFERS)]
        values = [result.result() for result in results]
    stalled.close()
    return values


class TestMemoryOfRelay:
    def test_streaming_site_stays_within_the_limit_of_a_process(self):
        """Guards against buffering whole bodies or answers in memory or in a file."""
        with running_relay("layer_with_upstream_client") as relay:
            # Instances have no disks, so any write to a file fails from here on.
            resource.prlimit(relay.process.pid, resource.RLIMIT_FSIZE, (0, 0))
            assert transfer_all(relay) == [CHECKSUM] * (2 * TRANSFERS)
            assert relay.peak_bytes() <= MEMORY_LIMIT_BYTES

    def test_buffering_default_exceeds_the_limit(self):
        """Guards against a load too light to detect the buffering of whole bodies."""
        with running_relay("bare") as relay:
            transfer_all(relay)
            assert relay.peak_bytes() > MEMORY_LIMIT_BYTES
