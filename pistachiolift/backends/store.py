"""Interface of the platform's key-value store."""

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
    :param lease_id: lease to which the key is attached; 0 for none.
    """

    key: str
    value: bytes
    version: int
    lease_id: LeaseId = LeaseId(0)


@dataclass(frozen=True, slots=True)
class Listing:
    """All entries with a key prefix at one revision of the store."""

    revision: int
    entries_by_key: dict[str, Entry]


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change of one key; ``entry`` is ``None`` when the key was deleted."""

    key: str
    entry: Entry | None
    revision: int


class Watch(ABC):
    """An active watch; as a context manager it stops on exit."""

    @abstractmethod
    def stop(self) -> None:
        """End the watch; no callback is called afterwards."""

    def __enter__(self) -> "Watch":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop()


class KeyValueStore(ABC):
    """A linearizable key-value store with compare-and-swap, leases and watches.

    Every method raises :class:`StoreUnavailableError` if no answer arrives in time; a
    write may have taken effect nevertheless.
    """

    @abstractmethod
    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or ``None`` if it does not exist."""

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

        :param expected_version: required current version of the key; 0 if it must not
            exist; ``None`` to write unconditionally.
        :returns: the new version.
        :raises VersionConflictError: if the key has another version.
        :raises ValueTooLargeError: if the value exceeds the store's limit of 1 MB.
        """

    @abstractmethod
    async def delete(self, key: str, *, expected_version: int | None = None) -> None:
        """Delete a key.

        :raises VersionConflictError: if the key has another version.
        """

    @abstractmethod
    async def list_prefix(self, prefix: str) -> Listing:
        """Return all entries with a key prefix."""

    @abstractmethod
    def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        on_events: Callable[[list[WatchEvent]], None],
        on_end: Callable[[], None],
    ) -> Watch:
        """Report the changes of all keys with a prefix.

        :param after_revision: only changes after this revision are reported.
        :param on_events: called with each batch of changes.
        :param on_end: called once if the connection is lost.
        """

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease.

        :param ttl_s: time to live, in seconds, from the receipt by the store.
        """

    @abstractmethod
    async def keep_alive(self, lease_id: LeaseId) -> None:
        """Renew a lease for another time to live.

        :raises NotFoundError: if the lease has expired.
        """

    @abstractmethod
    async def revoke_lease(self, lease_id: LeaseId) -> None:
        """Revoke a lease and delete the keys attached to it."""
