"""Resource of a klein application with typed errors."""

from klein import Klein
from klein.resource import KleinResource
from twisted.python.failure import Failure
from werkzeug.exceptions import HTTPException

from ..common import InvalidInputError, NotFoundError, PistachioliftError
from .request import StreamingRequest, render_error

__all__ = ["klein_resource"]


def klein_resource(app: Klein) -> KleinResource:
    """Return the resource of an application for a :class:`StreamingSite`.

    Its handlers may also return text or bytes, like any klein handler, or raise a
    :class:`PistachioliftError`.

    :param app: the application, whose errors of routing become typed.
    """
    app.handle_errors(HTTPException)(_render_http_exception)
    return app.resource()


def _error_from_http_exception(failure: HTTPException) -> PistachioliftError:
    """Return the typed error for an exception of klein's routing.

    :param failure: an exception of werkzeug, such as that for an unknown path.
    """
    message = f"{failure.code} {failure.name}"
    # A redirect to a similar path is answered like an unknown path.
    if failure.code is None or failure.code < 400 or failure.code == 404:
        return NotFoundError(message)
    error = InvalidInputError(message)
    error.http_status = failure.code
    return error


def _render_http_exception(request: StreamingRequest, failure: Failure) -> bytes:
    error = _error_from_http_exception(failure.value)
    headers, body = render_error(error)
    request.setResponseCode(error.http_status)
    for name, value in headers:
        request.setHeader(name, value)
    request.setHeader(b"Content-Length", b"%d" % len(body))
    request.site.count_error(error, peer=request.client, request=request)
    return body
