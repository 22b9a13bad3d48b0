"""What an instance needs from the platform, as abstract classes."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from ..backends import Entry, LeaseId, Listing, WatchEvent
from ..common import (
    ErrorCode,
    PistachioliftError,
    StoreUnavailableError,
    WorkerId,
)
from ..workflows import (
    Queue,
    ReportedEnd,
    ReportedRun,
    StartAnswer,
    StepKey,
    TaskKey,
    Worker,
)

__all__ = [
    "AdviceAnswer",
    "AdviserClient",
    "Changes",
    "CoordinationStore",
    "HistoryLostError",
    "LeaseEndedError",
    "Put",
    "QueueTable",
    "RunListing",
    "StaleOwnerError",
    "StoreTurnedAwayError",
    "TransactionConflictError",
    "Translation",
    "WorkerConnection",
    "WorkerReplacedError",
    "WorkerUnavailableError",
]


class HistoryLostError(PistachioliftError):
    """The store no longer has the changes that a watch asks for."""

    code = ErrorCode.STORE_UNAVAILABLE
    http_status = 503


class StoreTurnedAwayError(StoreUnavailableError):
    """The store answered that it did nothing."""


class LeaseEndedError(PistachioliftError):
    """The store does not know a lease."""

    code = ErrorCode.NOT_FOUND
    http_status = 404


class TransactionConflictError(PistachioliftError):
    """A condition of a transaction did not hold.

    :param versions_by_key: current versions of the keys in the conditions.
    """

    code = ErrorCode.VERSION_CONFLICT
    http_status = 409

    def __init__(self, message: str, *, versions_by_key: Mapping[str, int]):
        super().__init__(message)
        self.versions_by_key = versions_by_key


class WorkerUnavailableError(PistachioliftError):
    """A worker gave no answer; an order may have been carried out.

    :param refused: whether the connection was refused, so that nothing listens.
    """

    code = ErrorCode.UPSTREAM_UNREACHABLE
    http_status = 502

    def __init__(self, message: str, *, refused: bool = False):
        super().__init__(message)
        self.refused = refused


class WorkerReplacedError(PistachioliftError):
    """Another incarnation of the worker answered; the earlier one has ended."""

    code = ErrorCode.UPSTREAM_UNREACHABLE
    http_status = 502


class StaleOwnerError(PistachioliftError):
    """A later owner has given orders to the worker."""

    code = ErrorCode.NO_OWNER
    http_status = 503


@dataclass(frozen=True, slots=True)
class Put:
    """A value to write; with a lease, it is deleted when the lease ends."""

    value: bytes
    lease_id: LeaseId = LeaseId(0)


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes below a prefix, in order.

    :param revision: the next call continues after this revision.
    """

    events: list[WatchEvent]
    revision: int


class CoordinationStore(ABC):
    """A linearizable key-value service with transactions, leases and changes.

    Methods raise :class:`StoreUnavailableError` when no answer arrives in time; a
    write may then take effect later.
    """

    @abstractmethod
    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or ``None``."""

    @abstractmethod
    async def list_prefix(self, prefix: str) -> Listing:
        """Return all entries below a prefix."""

    @abstractmethod
    async def changes(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> Changes:
        """Wait for changes below a prefix.

        :raises HistoryLostError: if changes after the revision are no longer known.
        """

    @abstractmethod
    async def transact(
        self,
        *,
        expected: Mapping[str, int],
        puts: Mapping[str, Put],
        removes: tuple[str, ...] = (),
    ) -> int:
        """Write all or nothing.

        :param expected: versions that keys must have, 0 for keys that do not exist.
        :returns: the revision of the change.
        :raises TransactionConflictError: if a key has another version.
        :raises LeaseEndedError: if a lease does not exist.
        """

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease."""

    @abstractmethod
    async def keep_alive(self, lease_id: LeaseId) -> None:
        """Renew a lease.

        :raises LeaseEndedError: if it has ended.
        """

    @abstractmethod
    async def revoke_lease(self, lease_id: LeaseId) -> None:
        """End a lease and delete its keys."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""


@dataclass(frozen=True, slots=True)
class RunReport:
    """What a worker tells of its runs.

    :param clock_ms: reading of the worker's steady clock, in milliseconds.
    :param last_end: number of the newest end listed; 0 for none.
    :param complete: whether no end was left out.
    """

    clock_ms: int
    running: list[ReportedRun]
    ended: list[ReportedEnd]
    last_end: int
    complete: bool


class WorkerConnection(ABC):
    """Gives orders to one incarnation of a worker.

    Methods raise :class:`WorkerUnavailableError`, :class:`WorkerReplacedError` and
    :class:`StaleOwnerError`.
    """

    @abstractmethod
    async def start(
        self,
        task: TaskKey,
        number: int,
        *,
        payload: str,
        lease_until_ms: int,
        fence: int,
        ticket: str,
        checkpoint: str,
    ) -> tuple[StartAnswer, int]:
        """Start a run.

        :returns: the answer, and the worker's clock in milliseconds (0 if not told).
        """

    @abstractmethod
    async def stop(self, task: TaskKey, number: int, *, fence: int) -> None:
        """Stop a run, or block it if it has not arrived yet."""

    @abstractmethod
    async def set_speed(
        self, task: TaskKey, number: int, *, percent: int, fence: int
    ) -> None:
        """Limit what a run may use, in percent."""

    @abstractmethod
    async def poll_runs(
        self,
        *,
        fence: int,
        last_end: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> RunReport:
        """Renew the lease of all runs and list them.

        :param last_end: ends up to this number are durable and may be forgotten.
        :param lease_until_ms: on the worker's clock; ``None`` to only look.
        :param wait_s: longest time to wait for an end.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""


@dataclass(frozen=True, slots=True)
class AdviceAnswer:
    """Workers that may run a step, with the ticket for each.

    :param valid_s: lifetime of the tickets, in seconds.
    """

    tickets_by_worker: dict[WorkerId, str]
    valid_s: float


class AdviserClient(ABC):
    """Asks the service that approves workers for steps."""

    @abstractmethod
    async def advise(
        self, step: StepKey, worker_ids: tuple[WorkerId, ...], *, timeout_s: float
    ) -> AdviceAnswer:
        """Ask for a step.

        :raises UpstreamUnreachableError: if no answer arrives in time.
        """


class QueueTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the operators' configuration."""

    version: int = 0
    queues: tuple[Queue, ...] = ()
    max_body_bytes: int = 262_144

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path."""
        best: Queue | None = None
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.prefix):
                if best is None or len(queue.prefix) > len(best.prefix):
                    best = queue
        return best


@dataclass(frozen=True, slots=True)
class PlatformAdapter(ABC):
    """Keys of the platform's store and the decoding of their values."""

    configuration_key: str = field(default="")
    operator_prefix: str = field(default="")
    worker_prefix: str = field(default="")

    @abstractmethod
    def queue_table(self, value: bytes) -> QueueTable:
        """Decode a configuration.

        :raises MalformedMessageError: if it cannot be read.
        """

    @abstractmethod
    def worker(self, key: str, value: bytes) -> Worker:
        """Decode a directory entry.

        :raises MalformedMessageError: if it names no worker that can be used.
        """

    @abstractmethod
    def connect(self, worker: Worker) -> WorkerConnection:
        """Return a connection to a worker; nothing is sent yet."""
