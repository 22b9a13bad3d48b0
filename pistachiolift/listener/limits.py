"""Limits of the caller-facing HTTP layer."""

import msgspec

__all__ = ["HttpLimits"]

KIB = 1024
MIB = 1024 * KIB


class HttpLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one listener.

    The time limits are checked once a second, so each may be exceeded by a second.

    :param small_body_bytes: bodies up to this size are buffered and replayable.
    :param held_body_bytes: bytes of a larger body that are buffered before the
        caller's transport is paused; one read (64 KiB) may come on top.
    :param body_bytes: largest body; a handler may set a lower limit for its kind.
    :param answer_buffer_bytes: first part of an upstream's answer that is buffered
        so that a broken answer can be retried.
    :param buffered_bytes: memory that all connections together reserve for bodies and
        for buffered answers. A request beyond it is refused; an answer beyond it is
        streamed without being buffered for a retry.
    :param header_bytes: request line and headers together.
    :param header_count: number of headers.
    :param url_bytes: length of the request target.
    :param connections: open connections of a listener.
    :param idle_s: time that a connection may stay open without a request.
    :param headers_s: time from the first byte of a request to the end of its headers.
    :param progress_s: time in which a caller must transfer ``progress_bytes`` of a
        body that is being read, and in which it must take the answer data that is
        buffered for it (64 KiB and one write).
    :param progress_bytes: least number of bytes of a body for each ``progress_s``.
    :param linger_s: time for which the rest of a refused request is read and dropped.
        Closing a socket with unread data resets the connection, and a reset destroys
        an answer that the caller has not read yet.
    :param linger_bytes: most bytes of a refused request that are read and dropped.
    """

    small_body_bytes: int = 256 * KIB
    held_body_bytes: int = 64 * KIB
    body_bytes: int = 64 * MIB
    answer_buffer_bytes: int = MIB
    buffered_bytes: int = 96 * MIB
    header_bytes: int = 16 * KIB
    header_count: int = 100
    url_bytes: int = 2 * KIB
    connections: int = 1000
    idle_s: float = 60.0
    headers_s: float = 10.0
    progress_s: float = 20.0
    progress_bytes: int = 20 * KIB
    linger_s: float = 3.0
    linger_bytes: int = 4 * MIB
