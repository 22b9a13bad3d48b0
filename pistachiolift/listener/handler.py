"""Resource with one handler for all paths."""

from collections.abc import Awaitable, Callable

from twisted.internet.defer import CancelledError, ensureDeferred
from twisted.python.failure import Failure
from twisted.web.iweb import IRequest
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

__all__ = ["HandlerResource"]


class HandlerResource(Resource):
    """Passes every request to a coroutine function, without routes.

    It needs no framework, whose import takes a large part of the time in which an
    instance starts.

    :param handle: answers a request and finishes it, or raises an error. It is
        cancelled when the client leaves.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, handle: Callable[[IRequest], Awaitable[None]]):
        super().__init__()
        self._handle = handle

    def render(self, request: IRequest) -> int:
        """Start the handler; see :meth:`twisted.web.resource.IResource.render`."""
        handling = ensureDeferred(self._handle(request))

        def stop(_reason: Failure) -> None:
            handling.cancel()

        def fail(failure: Failure) -> None:
            if client_left.called and failure.check(CancelledError):
                return
            request.processingFailed(failure)

        client_left = request.notifyFinish().addErrback(stop)
        handling.addErrback(fail)
        return NOT_DONE_YET
