"""The adapter to the platform's store values and workers."""

from dataclasses import dataclass, field

from twisted.internet.interfaces import IReactorTime

from ..node.interfaces import PlatformAdapter, QueueTable, WorkerConnection
from ..workflows import Worker
from .configuration import CONFIGURATION_KEY, OPERATOR_PREFIX, decode_configuration
from .directory import WORKER_PREFIX, decode_worker
from .workers import PlatformWorker

__all__ = ["HttpPlatformAdapter"]


@dataclass(frozen=True, slots=True)
class HttpPlatformAdapter(PlatformAdapter):
    """Decodes values of the platform's store, and connects to workers over HTTP.

    :param reactor: Twisted's reactor.
    """

    configuration_key: str = CONFIGURATION_KEY
    operator_prefix: str = OPERATOR_PREFIX
    worker_prefix: str = WORKER_PREFIX
    reactor: IReactorTime = field(kw_only=True)

    def queue_table(self, value: bytes) -> QueueTable:
        """Decode a configuration."""
        return decode_configuration(value)

    def worker(self, key: str, value: bytes) -> Worker:
        """Decode a directory entry."""
        return decode_worker(key, value)

    def connect(self, worker: Worker) -> WorkerConnection:
        """Return a connection to a worker."""
        return PlatformWorker(self.reactor, worker)
