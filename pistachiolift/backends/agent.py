"""Errors of Twisted's HTTP agent, for the clients that stream bodies."""

from twisted.internet.error import ConnectingCancelledError
from twisted.web.client import (
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseFailed,
)

from .http import CONNECTION_ERRORS

__all__ = ["AGENT_ERRORS"]

# Refused, lost and timed-out connections. A request that was not sent, or not
# completely, belongs to a connection that was lost before or meanwhile.
AGENT_ERRORS = (
    ResponseFailed,
    RequestNotSent,
    RequestTransmissionFailed,
    # Raised instead of a time-out error if the connection is not open by then.
    ConnectingCancelledError,
    *CONNECTION_ERRORS,
)
