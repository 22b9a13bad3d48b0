"""Producer of request bodies that are held in memory."""

from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IConsumer
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

__all__ = ["BytesProducer"]


@implementer(IBodyProducer)
class BytesProducer:
    """Writes a body at once, in the same reactor turn as the head of the request.

    Head and body are then sent in one packet. A second small packet would be delayed
    until the first is acknowledged, which takes a round trip to the server.

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
        """Do nothing; the whole body has already been written."""

    resumeProducing = stopProducing = pauseProducing  # noqa: N815
