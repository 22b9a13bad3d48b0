"""The platform's list of live and leaving instances."""

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
    """What an instance is used for."""

    ENTRY = "entry"
    UPSTREAM = "upstream"
    WORKER = "worker"


class InstanceState(Enum):
    """Whether an instance stays or is about to stop."""

    LIVE = "live"
    LEAVING = "leaving"


class Capacity(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What an instance offers; fields that do not apply are zero.

    :param slots: requests that an upstream runs at once.
    :param connections: connections that an upstream accepts.
    :param cpu_milli: processors of a worker, in thousandths.
    :param memory_mb: memory of a worker, in megabytes.
    :param accelerators: accelerators of a worker.
    """

    slots: int = 0
    connections: int = 0
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class DirectoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One instance of the list.

    :param address: IP address and port, ``127.0.0.1:8000``. For an entry instance,
        the port where it takes messages from peers.
    """

    id: InstanceId
    role: InstanceRole
    data_centre: DataCentreId
    rack: RackId
    address: str
    state: InstanceState = InstanceState.LIVE
    capacity: Capacity = Capacity()


class DirectoryListing(Message):
    """Entries changed after an index, and the identifiers of removed ones.

    :param index: pass as ``since`` to get only later changes.
    """

    index: int
    entries: list[DirectoryEntry]
    removed: list[InstanceId] = []


class InstanceDirectory(ABC):
    """Source of the instance list, which may lag behind the truth."""

    @abstractmethod
    async def list_changes(self, since: int) -> DirectoryListing:
        """Return what changed after an index; 0 returns all entries.

        :raises DirectoryUnavailableError: if the list is not available.
        """


class HttpInstanceDirectory(InstanceDirectory):
    """Reads the list over HTTP as JSON.

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
            raise DirectoryUnavailableError(f"directory: status {status}")
        try:
            return decode_json(body, DirectoryListing, limit_bytes=LISTING_LIMIT_BYTES)
        except MalformedMessageError as failure:
            raise DirectoryUnavailableError("directory: malformed answer") from failure
