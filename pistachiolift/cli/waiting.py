"""Polls the instances until a change has taken effect."""

from collections.abc import Awaitable, Callable

from .client import ApiClient
from .errors import ClientErrorCode, CommandError
from .exit_codes import ExitCode
from .loop import sleep
from .output import echo_progress

__all__ = ["poll"]

POLL_INTERVAL_S = 0.5


async def poll(
    client: ApiClient,
    check: Callable[[], Awaitable[str]],
    *,
    limit_s: float,
    what: str,
) -> None:
    """Call a check until it has nothing left to report, and print its progress.

    The polling continues while an instance cannot be reached.

    :param check: returns what is still missing, empty when done.
    :param limit_s: seconds after which to give up.
    :param what: the expected event, for the error message.
    :raises CommandError: with exit code ``WAIT_TIMEOUT``.
    """
    end_s = client.reactor.seconds() + limit_s
    shown = ""
    while True:
        try:
            missing = await check()
        except CommandError as error:
            if error.exit_code is not ExitCode.UNREACHABLE:
                raise
            missing = error.format_message()
        if not missing:
            return
        if missing != shown:
            echo_progress(f"waiting: {missing}")
            shown = missing
        if client.reactor.seconds() >= end_s:
            raise CommandError(
                ClientErrorCode.WAIT_TIMEOUT.value,
                f"{what} did not happen within {limit_s:g} s: {missing}",
                exit_code=ExitCode.WAIT_TIMEOUT,
            )
        await sleep(client.reactor, POLL_INTERVAL_S)
