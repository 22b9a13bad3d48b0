"""Answers of instances and the errors that they report."""

from dataclasses import dataclass
from typing import TypeVar

import msgspec

from ..common import (
    ErrorCode,
    MalformedMessageError,
    Outcome,
    decode_json,
    error_from_code,
)
from .errors import ClientErrorCode, CommandError, server_error
from .exit_codes import ExitCode

__all__ = ["Answer"]

T = TypeVar("T")

# The largest answer is that of a request, whose size instances do not limit either.
ANSWER_LIMIT_BYTES = 1024 * 1024 * 1024

_EXIT_CODE_BY_STATUS = {
    401: ExitCode.AUTHENTICATION,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
}


class _ErrorBody(msgspec.Struct):
    """How instances report an error."""

    code: str
    message: str
    outcome: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer.

    :param headers: names in lower case.
    :param is_change: whether the call changed something.
    """

    url: str
    status: int
    headers: dict[str, str]
    body: bytes
    is_change: bool = False

    def decode(self, message_type: type[T]) -> T:
        """Return the body as a typed document.

        :raises CommandError: if it does not match.
        """
        try:
            return decode_json(self.body, message_type, limit_bytes=ANSWER_LIMIT_BYTES)
        except MalformedMessageError as error:
            raise self._malformed(f"an unexpected format: {error.message}") from error

    def error(self) -> CommandError | None:
        """Return the error that an instance reported, or ``None``.

        An upstream's own answer is not an error of the instance, whatever its status.
        """
        if self.status < 400:
            return None
        try:
            body = msgspec.json.decode(self.body, type=_ErrorBody)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            passed_on = (Outcome.DONE.value, Outcome.FAILED.value)
            if self.headers.get("outcome") in passed_on:
                return None
            return self._malformed(f"status {self.status} and no error document")
        try:
            code, outcome = ErrorCode(body.code), Outcome(body.outcome)
        except ValueError:
            # A newer release may have further codes.
            return self._unknown_error(body)
        return server_error(
            error_from_code(
                code, body.message, outcome=outcome, retry_after_s=body.retry_after_s
            )
        )

    def _malformed(self, what: str) -> CommandError:
        return CommandError(
            ClientErrorCode.MALFORMED_ANSWER.value,
            f"{self.url} answered with {what}",
            exit_code=(
                ExitCode.UNKNOWN_OUTCOME if self.is_change else ExitCode.UNREACHABLE
            ),
        )

    def _unknown_error(self, body: _ErrorBody) -> CommandError:
        exit_code = _EXIT_CODE_BY_STATUS.get(self.status, ExitCode.UNKNOWN_OUTCOME)
        if body.outcome == Outcome.REFUSED.value and self.status >= 500:
            exit_code = ExitCode.REFUSED
        return CommandError(
            body.code,
            body.message,
            exit_code=exit_code,
            retry_after_s=body.retry_after_s,
        )
