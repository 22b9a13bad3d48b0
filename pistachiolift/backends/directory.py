"""Client of the platform's directory of live and leaving instances."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from twisted.internet.interfaces import IReactorTime

from ..common import (
    DataCentreId,
    DirectoryUnavailableError,
    InstanceId,
    MalformedMessageError,
    Message,
    RackId,
    decode_json,
)
from .http import JsonHttpClient

__all__ = [
    "Capacity",
    "DirectoryEntry",
    "DirectoryListing",
    "HttpInstanceDirectory",
    "InstanceDirectory",
    "InstanceRole",
    "InstanceState",
]

CALL_TIMEOUT_S = 1.0
LISTING_LIMIT_BYTES = 16 * 1024 * 1024


class InstanceRole(Enum):
    """Role of an instance."""

    ENTRY = "entry"
    UPSTREAM = "upstream"
    WORKER = "worker"


class InstanceState(Enum):
    """Whether an instance is in service or about to be removed."""

    LIVE = "live"
    LEAVING = "leaving"


class Capacity(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Capacity of an instance; fields that do not apply to its role are 0.

    :param slots: requests that an upstream runs concurrently.
    :param connections: connections that an upstream accepts.
    :param cpu_milli: CPUs of a worker, in thousandths of a CPU.
    :param memory_mb: memory of a worker, in megabytes.
    :param accelerators: accelerators of a worker.
    """

    slots: int = 0
    connections: int = 0
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class DirectoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One instance in the directory.

    :param address: IP address and port, ``127.0.0.1:8000``; for an entry instance
        the port of its peer network.
    """

    id: InstanceId
    role: InstanceRole
    data_centre: DataCentreId
    rack: RackId
    address: str
    state: InstanceState = InstanceState.LIVE
    capacity: Capacity = Capacity()


class DirectoryListing(Message):
    """Changes of the directory after an index.

    :param index: pass as ``since`` to get only later changes.
    :param entries: new and changed entries.
    :param removed: identifiers of removed entries.
    """

    index: int
    entries: list[DirectoryEntry]
    removed: list[InstanceId] = []


class InstanceDirectory(ABC):
    """The instance directory, which may lag behind the actual state."""

    @abstractmethod
    async def list_changes(self, since: int) -> DirectoryListing:
        """Return the changes after an index.

        :param since: index of an earlier listing; 0 for all entries.
        :raises DirectoryUnavailableError: if the directory gives no valid answer.
        """


class HttpInstanceDirectory(InstanceDirectory):
    """Reads the directory over HTTP as JSON.

    :param base_url: such as ``http://127.0.0.1:8500``.
    """

    def __init__(self, reactor: IReactorTime, base_url: str):
        self._client = JsonHttpClient(
            reactor,
            base_url,
            timeout_s=CALL_TIMEOUT_S,
            make_error=lambda reason: DirectoryUnavailableError(f"directory: {reason}"),
        )

    async def list_changes(self, since: int) -> DirectoryListing:
        """See :meth:`InstanceDirectory.list_changes`."""
        status, body = await self._client.call("GET", f"/v1/instances?since={since}")
        if status != 200:
            raise DirectoryUnavailableError(
                f"directory: HTTP status {status}, expected 200"
            )
        try:
            return decode_json(body, DirectoryListing, limit_bytes=LISTING_LIMIT_BYTES)
        except MalformedMessageError as failure:
            raise DirectoryUnavailableError(
                f"directory: malformed answer: {failure}"
            ) from failure
