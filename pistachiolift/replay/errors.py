"""Errors of trace files."""

from ..common import InvalidInputError

__all__ = ["TraceError"]


class TraceError(InvalidInputError):
    """A trace or an outcome file cannot be read."""
