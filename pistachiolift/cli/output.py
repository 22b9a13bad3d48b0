"""Prints documents as JSON or for people."""

from collections.abc import Iterable, Sequence

import click

from ..common import encode_json
from .errors import printable

__all__ = [
    "OUTPUT_FORMATS",
    "echo_document",
    "echo_progress",
    "format_table",
    "format_value",
]

OUTPUT_FORMATS = ["table", "json"]


def echo_document(output: str, document: object, text: str) -> None:
    """Print a document.

    :param output: one of :data:`OUTPUT_FORMATS`.
    :param document: what ``json`` prints.
    :param text: what ``table`` prints.
    """
    click.echo(encode_json(document) if output == "json" else text)


def echo_progress(text: str) -> None:
    """Print a line on standard error, so that it does not mix with documents."""
    click.echo(printable(text), err=True)


def format_value(value: object) -> str:
    """Return a value as it appears in a table."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (list, tuple)):
        return ",".join(format_value(each) for each in value) or "[]"
    if value == "":
        return '""'
    return printable(str(value))


def format_table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return aligned columns with a header line."""
    lines = [list(headers)]
    lines += [[format_value(value) for value in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            value.ljust(width) for value, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
