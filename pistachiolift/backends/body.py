"""Bodies of requests that are in memory."""

from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IConsumer
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

__all__ = ["BytesProducer"]


@implementer(IBodyProducer)
class BytesProducer:
    """Produces a body with a single write, in the turn in which the head is written.

    Both then leave in one packet. A second small packet would wait for the
    acknowledgement of the first, which is a round trip to the server.

    :param data: the body.
    """

    def __init__(self, data: bytes):
        self.length = len(data)
        self._data = data

    def startProducing(self, consumer: IConsumer) -> Deferred:  # noqa: N802
        """Write the body."""
        consumer.write(self._data)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; the whole body was written at the start."""

    resumeProducing = stopProducing = pauseProducing  # noqa: N815
