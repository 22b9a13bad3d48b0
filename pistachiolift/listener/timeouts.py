"""States and time limits of a caller's connection."""

from enum import Enum
from typing import TYPE_CHECKING

from .errors import SlowCallerError

if TYPE_CHECKING:
    from .channel import StreamingChannel

__all__ = ["ChannelState", "ReceiveProgress", "check_time"]


class ChannelState(Enum):
    """State of a connection."""

    IDLE = "idle"
    HEADERS = "headers"
    REQUEST = "request"
    LINGERING = "lingering"
    CLOSING = "closing"


class ReceiveProgress:
    """Counts the bytes of a body received since a point in time."""

    __slots__ = ("received_bytes", "since_s")

    def __init__(self, since_s: float):
        self.since_s = since_s
        self.received_bytes = 0


def check_time(channel: "StreamingChannel", now_s: float) -> None:
    """Enforce the time limits of a connection; called once a second.

    :param now_s: the reactor's clock, in seconds.
    """
    limits = channel.limits
    state = channel.state
    blocked_since_s = channel.write_blocked_since_s
    elapsed_s = now_s - channel.since_s
    if blocked_since_s is not None and now_s - blocked_since_s > limits.progress_s:
        channel.site.count_closed("write_stalled", channel)
        channel.abort()
    elif channel.awaits_body:
        _check_progress(channel, now_s)
    elif state is ChannelState.HEADERS and elapsed_s > limits.headers_s:
        channel.refuse(
            SlowCallerError(f"headers did not arrive within {limits.headers_s:g} s")
        )
    elif state is ChannelState.IDLE and elapsed_s > limits.idle_s:
        channel.site.count_closed("idle", channel)
        channel.close()
    elif state is ChannelState.LINGERING:
        if blocked_since_s is None and elapsed_s > limits.linger_s:
            channel.close()
    elif state is ChannelState.CLOSING and elapsed_s > limits.progress_s:
        # The transport may still buffer up to 64 KiB without blocking the writer, so
        # this case is not detected by the first check.
        channel.abort()


def _check_progress(channel: "StreamingChannel", now_s: float) -> None:
    limits = channel.limits
    progress = channel.progress
    if now_s - progress.since_s < limits.progress_s:
        return
    channel.progress = ReceiveProgress(now_s)
    if progress.received_bytes < limits.progress_bytes:
        channel.fail_body(
            SlowCallerError(
                f"received {progress.received_bytes} bytes of the body in "
                f"{limits.progress_s:g} s; at least {limits.progress_bytes} are "
                "required"
            )
        )
