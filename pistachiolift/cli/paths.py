"""Builds the paths of calls from what operators type."""

from urllib.parse import quote, urlencode

import click

__all__ = ["path_of_url", "settings_path"]


def path_of_url(*segments: str, **query: str) -> str:
    """Return the path of a URL with its query.

    :raises click.UsageError: if a segment cannot be one.
    """
    for segment in segments:
        # Clients and servers normalise dot segments away.
        if segment in ("", ".", "..") or "/" in segment:
            raise click.UsageError(f"{segment!r} is not a valid identifier")
    path = "/" + "/".join(quote(segment, safe="~:") for segment in segments)
    return f"{path}?{urlencode(query)}" if query else path


def settings_path(text: str) -> str:
    """Return a path of the settings tree; a slash stands for the root."""
    return "" if text == "/" else text
