"""Abstract interfaces to the platform: store, workers, adviser and their encodings."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from ..backends import Entry, LeaseId, Listing, WatchEvent
from ..common import (
    CustomerId,
    ErrorCode,
    PistachioliftError,
    StoreUnavailableError,
    WorkerId,
)
from ..workflows import (
    Customer,
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
    "COMMAND_TIMEOUT_S",
    "Changes",
    "CoordinationStore",
    "HistoryLostError",
    "LeaseEndedError",
    "PlatformAdapter",
    "Put",
    "QueueTable",
    "RunReport",
    "StaleOwnerError",
    "StoreTurnedAwayError",
    "TransactionConflictError",
    "WorkerConnection",
    "WorkerReplacedError",
    "WorkerUnavailableError",
]

# Longest time for a command to a worker. A command whose connection is not open by then
# is not sent.
COMMAND_TIMEOUT_S = 0.5


class HistoryLostError(PistachioliftError):
    """The store has discarded changes that a watch still needs."""

    code = ErrorCode.STORE_UNAVAILABLE
    http_status = 503


class StoreTurnedAwayError(StoreUnavailableError):
    """The store rejected the call without carrying it out."""


class LeaseEndedError(PistachioliftError):
    """A lease has ended or never existed."""

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
    """A worker did not answer; a command may have been carried out.

    This does not prove that its process has ended, even if the connection was refused
    or reset: a network failure may have the same effect.
    """

    code = ErrorCode.UPSTREAM_UNREACHABLE
    http_status = 502


class WorkerReplacedError(PistachioliftError):
    """Another process answered at the worker's address; the expected one has ended.

    :param incarnation: incarnation of the process, which carries out calls meant for
        the expected one, since both have the worker's identifier. ``None`` if it has
        another identifier and rejects such calls.
    """

    code = ErrorCode.UPSTREAM_UNREACHABLE
    http_status = 502

    def __init__(self, message: str, *, incarnation: int | None = None):
        super().__init__(message)
        self.incarnation = incarnation


class StaleOwnerError(PistachioliftError):
    """The worker has accepted a higher fencing token from a later owner."""

    code = ErrorCode.NO_OWNER
    http_status = 503


@dataclass(frozen=True, slots=True)
class Put:
    """A value to write. With a lease, the store deletes it when the lease ends."""

    value: bytes
    lease_id: LeaseId = LeaseId(0)


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of the keys under a prefix, in order.

    :param revision: revision after which the next call continues.
    """

    events: list[WatchEvent]
    revision: int


class CoordinationStore(ABC):
    """A linearizable key-value store with transactions, leases and watches.

    Methods raise :class:`StoreUnavailableError` when no answer arrives in time. A
    write may still take effect after that.
    """

    @abstractmethod
    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or ``None``."""

    @abstractmethod
    async def list_prefix(self, prefix: str) -> Listing:
        """Return all entries under a prefix."""

    @abstractmethod
    async def changes(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> Changes:
        """Wait for changes under a prefix.

        :param after_revision: return only changes later than this revision.
        :param wait_s: longest time to wait for a change, in seconds.
        :raises HistoryLostError: if the store has discarded changes after the revision.
        """

    @abstractmethod
    async def transact(
        self,
        *,
        expected: Mapping[str, int],
        puts: Mapping[str, Put],
        removes: tuple[str, ...] = (),
    ) -> int:
        """Write and delete keys atomically.

        :param expected: required version of each key, 0 for keys that must not exist.
        :param removes: keys to delete.
        :returns: the revision of the change.
        :raises TransactionConflictError: if a key has another version.
        :raises LeaseEndedError: if a lease does not exist.
        """

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease.

        :param ttl_s: time to live without renewal, in seconds.
        """

    @abstractmethod
    async def keep_alive(self, lease_id: LeaseId) -> None:
        """Renew a lease.

        :raises LeaseEndedError: if the lease has ended.
        """

    @abstractmethod
    async def revoke_lease(self, lease_id: LeaseId) -> None:
        """End a lease and delete its keys."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""


@dataclass(frozen=True, slots=True)
class RunReport:
    """A worker's report of its running and ended runs.

    :param clock_ms: reading of the worker's monotonic clock, in milliseconds.
    :param last_end: sequence number of the newest reported end; 0 for none.
    :param complete: whether the report contains all ends that were not acknowledged.
    :param remaining_s: time until the worker kills its runs and leaves, in seconds;
        ``None`` if it stays.
    """

    clock_ms: int
    running: list[ReportedRun]
    ended: list[ReportedEnd]
    last_end: int
    complete: bool
    remaining_s: float | None = None


class WorkerConnection(ABC):
    """Sends commands to one incarnation (one process) of a worker.

    A command is sent within :data:`COMMAND_TIMEOUT_S` or not at all. Methods raise
    :class:`WorkerUnavailableError`, :class:`WorkerReplacedError` and
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

        :param lease_until_ms: end of the run's lease on the worker's clock.
        :param fence: fencing token of the owner.
        :param ticket: the adviser's approval; empty if the step needs none.
        :param checkpoint: checkpoint to resume from; empty to start from the beginning.
        :returns: the answer, and the worker's clock in milliseconds (0 if unknown).
        """

    @abstractmethod
    async def stop(self, task: TaskKey, number: int, *, fence: int) -> None:
        """Stop a run; if its start has not arrived yet, make the worker reject it."""

    @abstractmethod
    async def set_speed(
        self, task: TaskKey, number: int, *, percent: int, fence: int
    ) -> None:
        """Limit the speed of a run to a percentage of its full speed."""

    @abstractmethod
    async def poll_runs(
        self,
        *,
        fence: int,
        last_end: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> RunReport:
        """Renew the lease of all runs and return the worker's run report.

        :param last_end: acknowledges ends up to this number: they are durable, and the
            worker may discard them.
        :param lease_until_ms: end of the lease on the worker's clock; ``None`` to poll
            without renewing it.
        :param wait_s: longest time to wait for an end, in seconds.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""


@dataclass(frozen=True, slots=True)
class AdviceAnswer:
    """The workers approved for a step, with a ticket for each.

    :param valid_s: lifetime of the tickets, in seconds.
    """

    tickets_by_worker: dict[WorkerId, str]
    valid_s: float


class AdviserClient(ABC):
    """Client of the adviser, the service that approves workers for steps."""

    @abstractmethod
    async def advise(
        self, step: StepKey, worker_ids: tuple[WorkerId, ...], *, timeout_s: float
    ) -> AdviceAnswer:
        """Ask which of the given workers may run a step.

        :raises UpstreamUnreachableError: if no answer arrives in time.
        """


class QueueTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the operators' configuration.

    :param customers: customers that may call.
    :param customer_by_digest: customers by the SHA-256 digests of their keys.
    :param needs_keys: whether callers need a key, except for public queues.
    :param max_body_bytes: longest request body that is accepted.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    customers: tuple[Customer, ...] = ()
    customer_by_digest: Mapping[bytes, CustomerId] = {}
    needs_keys: bool = False
    max_body_bytes: int = 262_144

    def find(self, host: str, path: str) -> Queue | None:
        """Return the host's queue whose prefix is the longest match of a path."""
        best: Queue | None = None
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.prefix):
                if best is None or len(queue.prefix) > len(best.prefix):
                    best = queue
        return best


@dataclass(frozen=True, slots=True)
class PlatformAdapter(ABC):
    """Adapts the platform: keys and value encodings of its store, and its workers."""

    configuration_key: str = field(default="")
    operator_prefix: str = field(default="")
    worker_prefix: str = field(default="")

    @abstractmethod
    def queue_table(self, value: bytes) -> QueueTable:
        """Decode a configuration.

        :raises MalformedMessageError: if the value cannot be decoded.
        """

    @abstractmethod
    def worker(self, key: str, value: bytes) -> Worker:
        """Decode a worker's directory entry.

        :raises MalformedMessageError: if the entry does not describe a usable worker.
        """

    @abstractmethod
    def connect(self, worker: Worker) -> WorkerConnection:
        """Return a connection to a worker without sending anything."""
