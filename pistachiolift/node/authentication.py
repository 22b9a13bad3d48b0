"""Authentication of callers by the keys in the configuration."""

from collections.abc import Sequence
from hashlib import sha256

from ..common import AuthenticationError, CustomerId
from ..workflows import Queue
from .interfaces import QueueTable

__all__ = ["authenticate"]

SCHEME = b"bearer"
# Longest header value that is examined, in bytes.
HEADER_LIMIT_BYTES = 1024


def authenticate(
    table: QueueTable, queue: Queue, authorization: Sequence[bytes]
) -> CustomerId:
    """Return the customer that makes a call; empty if the call needs no key.

    Keys are looked up by their digest, so the time that a look-up takes says nothing
    about the keys.

    :param table: configuration in force.
    :param queue: queue that the call is about.
    :param authorization: values of the call's ``Authorization`` headers.
    :raises AuthenticationError: if the key is unknown, or missing although the queue is
        not public.
    """
    if not table.needs_keys:
        return CustomerId("")
    if not authorization:
        if queue.public:
            return CustomerId("")
        raise AuthenticationError(f"a key is needed; configuration {table.version}")
    if len(authorization) > 1:
        raise AuthenticationError("more than one Authorization header")
    if len(authorization[0]) > HEADER_LIMIT_BYTES:
        raise AuthenticationError(
            f"Authorization header has {len(authorization[0])} bytes; "
            f"at most {HEADER_LIMIT_BYTES} are allowed"
        )
    scheme, _, key = authorization[0].strip().partition(b" ")
    customer_id = table.customer_by_digest.get(sha256(key.strip()).digest())
    if scheme.lower() != SCHEME or customer_id is None:
        raise AuthenticationError(f"unknown key; configuration {table.version}")
    return customer_id
