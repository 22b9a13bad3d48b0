"""Coroutines that run in the background of their callers."""

import logging
from collections.abc import Callable, Coroutine

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from ..common import log_event

__all__ = ["run_in_background"]


def run_in_background(
    coroutine: Coroutine,
    *,
    logger: logging.Logger,
    event: str,
    on_failure: Callable[[], None] = lambda: None,
    **fields: object,
) -> Deferred:
    """Run a coroutine in the background. An exception is a fault and is logged.

    :param event: name of the log event for a fault.
    :param on_failure: called after a fault has been logged.
    :param fields: additional fields of the log line.
    """

    def failed(failure: Failure) -> None:
        log_event(
            logger,
            event,
            level=logging.ERROR,
            error=f"{failure.type.__name__}: {failure.value}",
            traceback=failure.getTraceback(elideFrameworkCode=True),
            **fields,
        )
        on_failure()

    return ensureDeferred(coroutine).addErrback(failed)
