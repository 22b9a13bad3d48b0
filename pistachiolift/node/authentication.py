"""Authentication of callers by the keys in the configuration."""

from collections.abc import Sequence
from enum import Enum
from hashlib import sha256

from ..common import AuthenticationError, CustomerId
from ..workflows import Queue
from .interfaces import QueueTable

__all__ = ["AuthenticationRefusal", "CallerRefusedError", "authenticate"]

SCHEME = b"bearer"
# Longest header value that is examined, in bytes.
HEADER_LIMIT_BYTES = 1024


class AuthenticationRefusal(Enum):
    """Why a caller is not authenticated."""

    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    OTHER_SCHEME = "other_scheme"
    SEVERAL_HEADERS = "several_headers"
    HEADER_TOO_LONG = "header_too_long"


class CallerRefusedError(AuthenticationError):
    """A caller has no valid key. The message contains no part of the header."""

    def __init__(self, message: str, reason: AuthenticationRefusal):
        super().__init__(message)
        self.reason = reason


def authenticate(
    table: QueueTable, queue: Queue, authorization: Sequence[bytes]
) -> CustomerId:
    """Return the customer that makes a call; empty if the call needs no key.

    Keys are looked up by their digest, so the time that a look-up takes says nothing
    about the keys.

    :param table: configuration in force.
    :param queue: queue that the call is about.
    :param authorization: values of the call's ``Authorization`` headers.
    :raises CallerRefusedError: if the key is unknown, or missing although the queue is
        not public, or if the header is malformed.
    """
    if not table.needs_keys:
        return CustomerId("")
    if not authorization:
        if queue.public:
            return CustomerId("")
        raise CallerRefusedError(
            "a key is needed in the Authorization header",
            AuthenticationRefusal.KEY_MISSING,
        )
    if len(authorization) > 1:
        raise CallerRefusedError(
            f"{len(authorization)} Authorization headers; one is allowed",
            AuthenticationRefusal.SEVERAL_HEADERS,
        )
    if len(authorization[0]) > HEADER_LIMIT_BYTES:
        raise CallerRefusedError(
            f"Authorization header has {len(authorization[0])} bytes; "
            f"at most {HEADER_LIMIT_BYTES} are allowed",
            AuthenticationRefusal.HEADER_TOO_LONG,
        )
    scheme, _, key = authorization[0].strip().partition(b" ")
    if scheme.lower() != SCHEME:
        raise CallerRefusedError(
            "the scheme of the Authorization header is not Bearer",
            AuthenticationRefusal.OTHER_SCHEME,
        )
    customer_id = table.customer_by_digest.get(sha256(key.strip()).digest())
    if customer_id is None:
        raise CallerRefusedError(
            "the key is unknown", AuthenticationRefusal.KEY_UNKNOWN
        )
    return customer_id
