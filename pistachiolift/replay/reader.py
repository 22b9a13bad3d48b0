"""Reads trace files."""

import gzip
import zlib
from collections.abc import Iterator
from functools import reduce
from operator import or_
from pathlib import Path

import msgspec

from ..home.trace_lines import TraceLine, decision_types, event_types
from .errors import TraceError

__all__ = ["Line", "read_trace"]

# Longer lines occur only in damaged files; a ledger page is below 1 MB.
LINE_LIMIT_BYTES = 16 * 1024 * 1024

_Event = reduce(or_, event_types())
_Decision = reduce(or_, decision_types())


class Line(TraceLine, kw_only=True):
    """A line with its typed event and decisions.

    :param number: position in the file, 1 for the first line.
    """

    event: _Event
    decisions: list[_Decision] = []
    number: int = 0


_decoder = msgspec.json.Decoder(Line)


def read_trace(path: Path) -> Iterator[Line]:
    """Yield the lines of a trace, compressed with gzip or not.

    A last line without its end, left by a killed process, is passed over.

    :raises TraceError: if the file cannot be read or a line does not decode.
    """
    opener = gzip.open if path.suffix == ".gz" else open
    try:
        with opener(path, "rb") as file:
            yield from _decode_lines(file, path)
    except (OSError, EOFError, zlib.error) as error:
        raise TraceError(f"{path.name} cannot be read: {error}") from error


def _decode_lines(file, path: Path) -> Iterator[Line]:
    number = 0
    while data := file.readline(LINE_LIMIT_BYTES):
        number += 1
        if not data.endswith(b"\n"):
            if len(data) >= LINE_LIMIT_BYTES:
                raise TraceError(f"line {number} of {path.name} is too long")
            return
        try:
            line = _decoder.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            message = f"line {number} of {path.name} is not a trace line: {error}"
            raise TraceError(message) from error
        line.number = number
        yield line
