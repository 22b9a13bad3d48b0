"""Limits of the caller-facing HTTP layer."""

import msgspec

__all__ = ["HttpLimits"]

KIB = 1024
MIB = 1024 * KIB


class HttpLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one listener.

    Time limits are checked once a second, so they may be exceeded by a second.

    :param small_body_bytes: bodies up to this size are buffered and replayable.
    :param held_body_bytes: amount of a larger body that is buffered before the
        caller's transport is paused; one read (64 KiB) may be added to it.
    :param body_bytes: maximum length of a body; a handler may set a lower limit.
    :param answer_buffer_bytes: amount of an upstream's answer that is buffered, so that
        an incomplete answer can be replaced by that of a retry.
    :param buffered_bytes: total memory that all connections may reserve for bodies and
        buffered answers. When it is exhausted, requests are refused, and answers are
        streamed without a buffer for retries.
    :param header_bytes: total length of the request line and the headers.
    :param oversized_head_status: HTTP status that answers headers above their limits.
    :param header_count: maximum number of headers.
    :param url_bytes: maximum length of the request target.
    :param connections: maximum number of open connections.
    :param idle_s: time for which a connection may stay open without a request.
    :param headers_s: time from the first byte of a request to the end of its headers.
    :param progress_s: time in which a caller must send ``progress_bytes`` of a body
        that is being read, and in which it must read the answer data that is buffered
        for it (64 KiB and one write).
    :param progress_bytes: minimum amount of body data in each ``progress_s``.
    :param linger_s: time for which the rest of a refused request is read and discarded.
        Closing a socket with unread data resets the connection, and a reset destroys
        an answer that the caller has not read yet.
    :param linger_bytes: maximum amount of a refused request that is discarded.
    """

    small_body_bytes: int = 256 * KIB
    held_body_bytes: int = 64 * KIB
    body_bytes: int = 64 * MIB
    answer_buffer_bytes: int = MIB
    buffered_bytes: int = 96 * MIB
    header_bytes: int = 16 * KIB
    header_count: int = 100
    oversized_head_status: int = 431
    url_bytes: int = 2 * KIB
    connections: int = 1000
    idle_s: float = 60.0
    headers_s: float = 10.0
    progress_s: float = 20.0
    progress_bytes: int = 20 * KIB
    linger_s: float = 3.0
    linger_bytes: int = 4 * MIB
