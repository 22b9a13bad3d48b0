"""Addresses of servers."""

import re

from .errors import InvalidInputError

__all__ = ["parse_address"]

_ADDRESS = re.compile(r"([A-Za-z0-9.-]+):([0-9]{1,5})")
MAX_PORT = 65_535


def parse_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    :param address: IPv4 address or host name, a colon, and the port.
    :raises InvalidInputError: if the address has another form, or its port is not
        from 1 to 65535.
    """
    match = _ADDRESS.fullmatch(address)
    if match is None:
        raise InvalidInputError(
            f"address is {address[:60]!r}; must be of the form HOST:PORT"
        )
    port = int(match[2])
    if not 1 <= port <= MAX_PORT:
        raise InvalidInputError(f"port is {port}; must be from 1 to {MAX_PORT}")
    return match[1], port
