"""Exit codes of the commands."""

from enum import IntEnum

from ..common import ErrorCode, Outcome, PistachioliftError

__all__ = ["ExitCode", "exit_code_of"]


class ExitCode(IntEnum):
    """How a command ended, for scripts."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    NOT_FOUND = 4
    UNKNOWN_OUTCOME = 5
    UNREACHABLE = 6
    WAIT_TIMEOUT = 7
    AUTHENTICATION = 8
    FAILED = 9
    # The shell's convention for a process that SIGINT ends.
    INTERRUPTED = 130

    @property
    def meaning(self) -> str:
        """What the code says, as the help and the operations page print it."""
        return _MEANINGS[self]


_MEANINGS = {
    ExitCode.DONE: "done",
    ExitCode.REFUSED: "refused; it was not run and changed nothing",
    ExitCode.USAGE: "wrong usage; nothing was sent",
    ExitCode.CONFLICT: "conflict with an earlier change, request or job",
    ExitCode.NOT_FOUND: "not found",
    ExitCode.UNKNOWN_OUTCOME: "unknown outcome; it may have been carried out",
    ExitCode.UNREACHABLE: "no address answered; nothing was carried out",
    ExitCode.WAIT_TIMEOUT: "timed out while waiting; the change itself was made",
    ExitCode.AUTHENTICATION: "the token is missing or not known",
    ExitCode.FAILED: "it ran and failed",
    ExitCode.INTERRUPTED: "interrupted; nothing was being changed",
}

_CODE_BY_ERROR = {
    ErrorCode.ALREADY_DONE: ExitCode.CONFLICT,
    ErrorCode.AUTHENTICATION_FAILED: ExitCode.AUTHENTICATION,
    ErrorCode.CONFLICT: ExitCode.CONFLICT,
    ErrorCode.IDEMPOTENCY_MISMATCH: ExitCode.CONFLICT,
    ErrorCode.NOT_FOUND: ExitCode.NOT_FOUND,
    ErrorCode.OUTCOME_UNKNOWN: ExitCode.UNKNOWN_OUTCOME,
    ErrorCode.VERSION_CONFLICT: ExitCode.CONFLICT,
}


def exit_code_of(error: PistachioliftError) -> ExitCode:
    """Return the exit code for an error that a server reported."""
    if error.outcome in (Outcome.UNKNOWN, Outcome.CANCELLED_MAY_HAVE_RUN):
        return ExitCode.UNKNOWN_OUTCOME
    code = _CODE_BY_ERROR.get(error.code)
    if code is not None:
        return code
    return ExitCode.FAILED if error.outcome is Outcome.FAILED else ExitCode.REFUSED
