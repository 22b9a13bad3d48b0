"""Interface of the platform's key-value service."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import NewType

__all__ = ["Entry", "KeyValueStore", "LeaseId", "Listing", "Watch", "WatchEvent"]

LeaseId = NewType("LeaseId", int)


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value.

    :param version: revision of the store at which the value was written.
    :param lease_id: lease that the key is attached to; 0 for none.
    """

    key: str
    value: bytes
    version: int
    lease_id: LeaseId = LeaseId(0)


@dataclass(frozen=True, slots=True)
class Listing:
    """All entries below a prefix at one revision of the store."""

    revision: int
    entries_by_key: dict[str, Entry]


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change of one key; ``entry`` is ``None`` when the key was deleted."""

    key: str
    entry: Entry | None
    revision: int


class Watch(ABC):
    """A running watch; as a context manager it stops at the end of the block."""

    @abstractmethod
    def stop(self) -> None:
        """End the watch; no further callbacks follow."""

    def __enter__(self) -> "Watch":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop()


class KeyValueStore(ABC):
    """A linearizable key-value service with compare-and-swap, leases and watches.

    Every method raises :class:`StoreUnavailableError` when no answer arrives in
    time; a write may then have taken effect.
    """

    @abstractmethod
    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or ``None``."""

    @abstractmethod
    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int | None = None,
        lease_id: LeaseId = LeaseId(0),
    ) -> int:
        """Write a value.

        :param expected_version: version that the key must have; 0 if it must not
            exist; ``None`` to write in any case.
        :returns: the new version.
        :raises VersionConflictError: if the key has another version.
        :raises ValueTooLargeError: if the value exceeds 1 MB.
        """

    @abstractmethod
    async def delete(self, key: str, *, expected_version: int | None = None) -> None:
        """Delete a key.

        :raises VersionConflictError: if the key has another version.
        """

    @abstractmethod
    async def list_prefix(self, prefix: str) -> Listing:
        """Return all entries whose keys start with a prefix."""

    @abstractmethod
    def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        on_events: Callable[[list[WatchEvent]], None],
        on_end: Callable[[], None],
    ) -> Watch:
        """Report changes below a prefix until stopped or disconnected.

        :param after_revision: changes after this revision are reported.
        :param on_end: called once when the connection is lost.
        """

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease.

        :param ttl_s: time to live, in seconds, counted from the service's receipt.
        """

    @abstractmethod
    async def keep_alive(self, lease_id: LeaseId) -> None:
        """Renew a lease for its time to live.

        :raises NotFoundError: if the lease has lapsed.
        """

    @abstractmethod
    async def revoke_lease(self, lease_id: LeaseId) -> None:
        """End a lease and delete the keys attached to it."""
