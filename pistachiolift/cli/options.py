"""Options of the commands that call an instance."""

import re
import uuid
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from urllib.parse import urlsplit

import click

from .client import Connection
from .documented import option
from .output import OUTPUT_FORMATS

__all__ = [
    "caller_options",
    "new_identifier",
    "operator_options",
    "output_option",
    "wait_limit_option",
]

_TOKEN = re.compile(r"[A-Za-z0-9._~+/-]{1,512}=*")
_AUTHOR = re.compile(r"[!-~][ -~]{0,63}")


def new_identifier() -> str:
    """Return a new identifier of a change, a request or a job."""
    return uuid.uuid4().hex


def _check_urls(
    _context: click.Context, _parameter: click.Parameter, urls: tuple[str, ...]
) -> tuple[str, ...]:
    checked = []
    for url in urls:
        try:
            parts = urlsplit(url)
            bad_port = parts.port == 0
        except ValueError:
            parts, bad_port = urlsplit(""), True
        # A user name or password in a URL would appear in error messages.
        if "@" in url:
            raise click.BadParameter("a URL must not hold credentials")
        plain = parts.path in ("", "/") and not parts.query and not parts.fragment
        if parts.scheme not in ("http", "https") or not parts.hostname:
            plain = False
        if bad_port or not plain:
            raise click.BadParameter(
                f"{url!r} is not of the form http://HOST:PORT or https://HOST:PORT"
            )
        checked.append(url.rstrip("/"))
    return tuple(checked)


def _check_token(
    _context: click.Context, _parameter: click.Parameter, token: str
) -> str:
    token = token.strip()
    if token and _TOKEN.fullmatch(token) is None:
        # The value is a credential, so it is not repeated.
        raise click.BadParameter(
            "a token has 1 to 512 letters, digits, '.', '_', '~', '+', '/' and '-'"
        )
    return token


def _check_author(
    _context: click.Context, _parameter: click.Parameter, author: str
) -> str:
    if author and _AUTHOR.fullmatch(author) is None:
        raise click.BadParameter("1 to 64 printable ASCII characters are allowed")
    return author


def _urls_option(who: str, first: str) -> Callable:
    return option(
        f"--{who}-url",
        "urls",
        multiple=True,
        required=True,
        metavar="URL",
        envvar=f"PISTACHIOLIFT_{who.upper()}_URL",
        callback=_check_urls,
        help=f"Address of an instance for {who}s, such as {first}. May be given "
        "several times, in the variable separated by spaces; the next one is tried "
        "when a connection fails.",
    )


def _token_option(who: str) -> Callable:
    return option(
        "--token",
        default="",
        show_default=False,
        envvar=f"PISTACHIOLIFT_{who.upper()}_TOKEN",
        callback=_check_token,
        help=f"Bearer token of the {who}. Prefer the variable: other users of the "
        "machine can read the arguments of a process.",
    )


_timeout_option = option(
    "--timeout",
    "timeout_s",
    type=click.FloatRange(min=0.1),
    default=15.0,
    envvar="PISTACHIOLIFT_TIMEOUT",
    help="Seconds until a call without an answer fails.",
)
_ca_file_option = option(
    "--ca-file",
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    envvar="PISTACHIOLIFT_CA_FILE",
    help="Certificate (PEM) that signs those of the instances, for https.",
)
_author_option = option(
    "--author",
    default="",
    show_default="operator",
    envvar="PISTACHIOLIFT_AUTHOR",
    callback=_check_author,
    help="Name under which changes are recorded.",
)


def _connection_options(*options: Callable) -> Callable[[Callable], Callable]:
    """Add options and pass them on as one ``connection``."""

    def decorate(function: Callable) -> Callable:
        @wraps(function)
        def wrapper(*, urls, token, timeout_s, ca_file, author="", **others):
            connection = Connection(
                urls=urls,
                token=token,
                timeout_s=timeout_s,
                author=author,
                ca_file=ca_file,
            )
            return function(connection=connection, **others)

        for each in reversed(options):
            wrapper = each(wrapper)
        return wrapper

    return decorate


operator_options = _connection_options(
    _urls_option("operator", "http://10.0.0.1:8001"),
    _token_option("operator"),
    _author_option,
    _timeout_option,
    _ca_file_option,
)
caller_options = _connection_options(
    _urls_option("caller", "http://10.0.0.1:8000"),
    _token_option("caller"),
    _timeout_option,
    _ca_file_option,
)
output_option = option(
    "--output",
    type=click.Choice(OUTPUT_FORMATS),
    default="table",
    envvar="PISTACHIOLIFT_OUTPUT",
    help="Form of what is printed: for people, or JSON on one line.",
)
wait_limit_option = option(
    "--wait-limit",
    "wait_limit_s",
    type=click.FloatRange(min=0.1),
    default=30.0,
    envvar="PISTACHIOLIFT_WAIT_LIMIT",
    help="Seconds for which --wait waits.",
)
