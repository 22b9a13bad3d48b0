"""Polls the platform's instance directory."""

import logging
from abc import ABC, abstractmethod

from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from ..backends import DirectoryEntry, InstanceDirectory
from ..common import Clock, InstanceId, Metrics, PistachioliftError, log_event

__all__ = ["DirectoryListener", "DirectoryPoller"]

logger = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.5


class DirectoryListener(ABC):
    """Receives answers of the instance directory and changes of its entries."""

    @abstractmethod
    def directory_polled(self, asked_at_s: float) -> None:
        """Handle an answer of the directory.

        :param asked_at_s: monotonic time of the query, in seconds.
        """

    @abstractmethod
    def directory_changed(
        self, changed: list[DirectoryEntry], removed: list[InstanceId]
    ) -> None:
        """Handle changes of the directory.

        :param changed: new and changed entries.
        :param removed: identifiers of removed entries.
        """


class DirectoryPoller:
    """Queries the directory for changes at a fixed polling interval.

    As a context manager it stops on exit.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        directory: InstanceDirectory,
        *,
        clock: Clock,
        metrics: Metrics,
        listener: DirectoryListener,
    ):
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._listener = listener
        self._index = 0
        self.entries_by_id: dict[InstanceId, DirectoryEntry] = {}
        self._polling = LoopingCall(lambda: ensureDeferred(self._poll()))
        self._polling.clock = reactor

    def __enter__(self) -> "DirectoryPoller":
        self._polling.start(POLL_INTERVAL_S)
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self._polling.running:
            self._polling.stop()

    async def _poll(self) -> None:
        since, asked_at_s = self._index, self._clock.monotonic_s()
        try:
            listing = await self._directory.list_changes(since)
        except PistachioliftError as error:
            self._metrics.count(f"retry.directory.{error.code.value}")
            return
        if listing.index < since:
            # The directory was rebuilt, so all entries are read again.
            self._index = 0
            return
        self._index = listing.index
        removed = list(listing.removed)
        if since == 0:
            # The answer holds all entries. A rebuilt directory may not list the
            # entries that it has lost as removed.
            listed = {entry.id for entry in listing.entries}
            removed += self.entries_by_id.keys() - listed - set(removed)
        if listing.entries or removed:
            self._apply(listing.entries, removed)
        self._listener.directory_polled(asked_at_s)

    def _apply(self, changed: list[DirectoryEntry], removed: list[InstanceId]) -> None:
        for entry in changed:
            self.entries_by_id[entry.id] = entry
        for instance_id in removed:
            self.entries_by_id.pop(instance_id, None)
        log_event(
            logger, "directory_changed", changed=len(changed), removed=len(removed)
        )
        self._listener.directory_changed(changed, removed)
