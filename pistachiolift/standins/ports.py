"""Ports for processes of trials and tests."""

import atexit
import random
import socket
from collections import deque

__all__ = ["free_ports"]

HOST = "127.0.0.1"
# Below the range from which Linux takes the ports of outgoing connections (32768 and
# above): a port of that range can be taken by a connection before its process binds it.
PORTS = range(12_000, 32_000)
ATTEMPTS = 1000

# Ports kept for their processes, which bind them within seconds. A cell takes up to
# about 40; those of several cells are kept.
KEPT = 400

_choice = random.SystemRandom()
_kept_sockets: deque[socket.socket] = deque()


def free_ports(count: int) -> list[int]:
    """Return ports that nothing is bound to, and keep them for their processes.

    No other call returns a port of the last ``KEPT``, in this process or another one. A
    server can listen on it if it binds with ``SO_REUSEADDR``, as Twisted and NNG do.

    :param count: number of ports.
    :raises OSError: if too few are free.
    """
    ports: list[int] = []
    for _ in range(ATTEMPTS):
        if len(ports) == count:
            return ports
        keeper = socket.socket()
        try:
            keeper.bind((HOST, _choice.choice(PORTS)))
        except OSError:
            keeper.close()
            continue
        # Set after binding, so that the bind above fails on a port that is kept.
        keeper.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        ports.append(keeper.getsockname()[1])
        _kept_sockets.append(keeper)
        if len(_kept_sockets) > KEPT:
            _kept_sockets.popleft().close()
    raise OSError(f"fewer than {count} of the ports {PORTS} are free")


@atexit.register
def _close_kept() -> None:
    while _kept_sockets:
        _kept_sockets.pop().close()
