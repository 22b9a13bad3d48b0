"""Free TCP ports for the processes of tests and measurements."""

import atexit
import random
import socket
from collections import deque

__all__ = ["free_ports"]

HOST = "127.0.0.1"
# Below the ephemeral port range of Linux (32768 and above): an outgoing connection
# could take an ephemeral port before the process binds it.
PORTS = range(12_000, 32_000)
ATTEMPTS = 1000

# Ports that stay reserved until their processes bind them, which takes seconds. A cell
# uses up to about 40 ports; the limit covers several cells.
RESERVED_PORTS = 400

_choice = random.SystemRandom()
_reserved_sockets: deque[socket.socket] = deque()


def free_ports(count: int) -> list[int]:
    """Reserve and return free ports.

    No call in this or another process returns a port while it is reserved. A port stays
    reserved until ``RESERVED_PORTS`` further ones have been. A server can listen on it
    nevertheless if it binds with ``SO_REUSEADDR``, as Twisted and NNG do.

    :param count: number of ports.
    :raises OSError: if too few ports are free.
    """
    ports: list[int] = []
    for _ in range(ATTEMPTS):
        if len(ports) == count:
            return ports
        reserved = socket.socket()
        try:
            reserved.bind((HOST, _choice.choice(PORTS)))
        except OSError:
            reserved.close()
            continue
        # Set after binding, so that the bind above fails for reserved ports.
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        ports.append(reserved.getsockname()[1])
        _reserved_sockets.append(reserved)
        if len(_reserved_sockets) > RESERVED_PORTS:
            _reserved_sockets.popleft().close()
    raise OSError(f"fewer than {count} of the ports {PORTS} are free")


@atexit.register
def _close_reserved() -> None:
    while _reserved_sockets:
        _reserved_sockets.pop().close()
