"""Non-blocking log output on standard output."""

import fcntl
import logging
import os
import sys
from collections import deque

from twisted.internet.interfaces import IReactorTime

from ..common import Metrics

__all__ = ["BufferedLogHandler", "configure_node_logging"]

# Lines beyond this limit are dropped and counted, so that a stalled reader of the log
# costs neither time nor memory.
BUFFER_LIMIT_BYTES = 512 * 1024
FLUSH_INTERVAL_S = 0.05
WRITE_LIMIT_BYTES = 32 * 1024


class BufferedLogHandler(logging.Handler):
    """Buffers log lines and writes them from the event loop.

    :param fd: file descriptor to write to; it is made non-blocking.
    """

    def __init__(self, reactor: IReactorTime, fd: int, metrics: Metrics):
        super().__init__()
        self._reactor = reactor
        self._fd = fd
        self._metrics = metrics
        self._lines: deque[bytes] = deque()
        self._size_bytes = 0
        self._dropped = 0
        self._scheduled = False
        flags = fcntl.fcntl(fd, fcntl.F_GETFL)
        fcntl.fcntl(fd, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line, or drop it if the buffer is full."""
        if self._size_bytes > BUFFER_LIMIT_BYTES:
            self._dropped += 1
            self._metrics.count("logs.dropped")
            return
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        self._lines.append(line)
        self._size_bytes += len(line)
        if not self._scheduled:
            self._scheduled = True
            self._reactor.callLater(FLUSH_INTERVAL_S, self._flush_some)

    def _flush_some(self) -> None:
        self._scheduled = False
        self.flush()
        if self._lines:
            self._scheduled = True
            self._reactor.callLater(FLUSH_INTERVAL_S, self._flush_some)

    def flush(self) -> None:
        """Write as much as the file descriptor accepts without blocking."""
        while self._lines:
            chunk = b"".join(self._take_chunk())
            try:
                written = os.write(self._fd, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has gone; the lines are counted as dropped.
                self._metrics.count("logs.dropped")
                return
            if written < len(chunk):
                self._lines.appendleft(chunk[written:])
                self._size_bytes += len(chunk) - written
                return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self._lines.append(b"event=log_lines_dropped count=%d\n" % dropped)

    def _take_chunk(self) -> list[bytes]:
        taken: list[bytes] = []
        size = 0
        while self._lines and size < WRITE_LIMIT_BYTES:
            line = self._lines.popleft()
            size += len(line)
            taken.append(line)
        self._size_bytes -= size
        return taken


def configure_node_logging(
    reactor: IReactorTime, level_name: str, metrics: Metrics
) -> BufferedLogHandler:
    """Write the root logger's lines to standard output.

    :param level_name: name of a level of :mod:`logging`.
    """
    handler = BufferedLogHandler(reactor, sys.stdout.fileno(), metrics)
    handler.setFormatter(
        logging.Formatter(
            "time=%(asctime)s.%(msecs)03d level=%(levelname)s logger=%(name)s "
            "%(message)s",
            "%Y-%m-%dT%H:%M:%S",
        )
    )
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(level_name)
    return handler
