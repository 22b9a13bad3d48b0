"""Failures of commands, printed as one line on standard error."""

import unicodedata
from enum import Enum

import click

from ..common import PistachioliftError
from .exit_codes import ExitCode, exit_code_of

__all__ = ["ClientErrorCode", "CommandError", "printable", "server_error"]


class ClientErrorCode(Enum):
    """Codes of failures that the command line itself finds."""

    ADDRESS_TAKEN = "address_taken"
    INTERRUPTED = "interrupted"
    MALFORMED_ANSWER = "malformed_answer"
    NO_ANSWER = "no_answer"
    UNREACHABLE = "unreachable"
    UPSTREAM_STATUS = "upstream_status"
    WAIT_TIMEOUT = "wait_timeout"


def printable(text: str) -> str:
    """Return text without control characters.

    Names and messages may come from other operators, and a terminal would carry out
    escape sequences in them.
    """
    return "".join(
        " " if unicodedata.category(each) in ("Cc", "Cf", "Zl", "Zp") else each
        for each in text
    )


class CommandError(click.ClickException):
    """A command failed.

    :param code: an error code of the server or a :class:`ClientErrorCode`.
    :param retry_after_s: seconds after which another try makes sense.
    """

    def __init__(
        self,
        code: str,
        message: str,
        *,
        exit_code: ExitCode,
        retry_after_s: float | None = None,
    ):
        super().__init__(message)
        self.code = code
        self.exit_code = exit_code
        self.retry_after_s = retry_after_s

    def format_message(self) -> str:
        """Return the line without its prefix."""
        text = f"{self.code}: {printable(self.message)}"
        if self.retry_after_s is not None:
            text += f" (retry after {self.retry_after_s:g} s)"
        return text

    def show(self, file=None) -> None:
        """Print the line."""
        click.echo(f"Error: {self.format_message()}", file=file, err=file is None)


def server_error(error: PistachioliftError) -> CommandError:
    """Return the failure of a command for an error that a server reported."""
    return CommandError(
        error.code.value,
        error.message,
        exit_code=exit_code_of(error),
        retry_after_s=error.retry_after_s,
    )
