"""Runs the work of a command on Twisted's event loop."""

import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IReactorCore
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from ..common import ErrorCode, log_event
from .errors import ClientErrorCode, CommandError
from .exit_codes import ExitCode

__all__ = ["make_reactor", "run_on_loop", "run_server", "sleep"]

T = TypeVar("T")

logger = logging.getLogger(__name__)


def make_reactor() -> IReactorCore:
    """Return the reactor of the process, which can be run only once."""
    from twisted.internet import reactor

    return reactor


def run_on_loop(
    work: Callable[[IReactorCore], Awaitable[T]],
    *,
    make_interrupted_error: Callable[[], CommandError] | None = None,
) -> T:
    """Run a coroutine function to its end.

    :param work: called with the reactor.
    :param make_interrupted_error: returns the error to raise if a signal stops the
        loop first; by default one with the exit code ``INTERRUPTED``.
    :returns: the result of ``work``.
    """
    reactor = make_reactor()
    results: list[T] = []
    failures: list[Failure] = []

    def start() -> None:
        running = ensureDeferred(work(reactor))
        running.addCallbacks(results.append, failures.append)
        running.addBoth(lambda _result: _stop(reactor))

    reactor.callWhenRunning(start)
    reactor.run()
    if failures:
        failures[0].raiseException()
    if not results:
        if make_interrupted_error is not None:
            raise make_interrupted_error()
        raise CommandError(
            ClientErrorCode.INTERRUPTED.value,
            "interrupted",
            exit_code=ExitCode.INTERRUPTED,
        )
    return results[0]


def run_server(work: Callable[[IReactorCore], Awaitable[None]]) -> None:
    """Run a server until its coroutine function ends, and log why it failed.

    :param work: called with the reactor; returns when the server has stopped.
    :raises CommandError: if a port is taken, or a signal stopped the loop first.
    """
    try:
        run_on_loop(work)
    except CannotListenError as error:
        code = ClientErrorCode.ADDRESS_TAKEN.value
        _log_failure(code, error)
        raise CommandError(code, str(error), exit_code=ExitCode.FAILED) from error
    except CommandError:
        raise
    except Exception as error:
        _log_failure(ErrorCode.INTERNAL.value, error)
        raise


def _log_failure(code: str, error: Exception) -> None:
    log_event(
        logger, "server_failed", level=logging.CRITICAL, code=code, error=repr(error)
    )


def _stop(reactor: IReactorCore) -> None:
    if reactor.running:
        reactor.stop()


def sleep(reactor: IReactorCore, interval_s: float) -> Deferred[None]:
    """Return a Deferred that fires after an interval in seconds."""
    return deferLater(reactor, interval_s)
