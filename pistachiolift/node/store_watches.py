"""Watches on prefixes of the platform's store."""

import logging
from abc import ABC, abstractmethod

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from ..backends import Entry, WatchEvent
from ..common import (
    Clock,
    MalformedMessageError,
    Metrics,
    StoreUnavailableError,
    WorkerId,
    log_event,
)
from ..workflows import Worker
from .background import run_in_background
from .interfaces import CoordinationStore, HistoryLostError, PlatformAdapter, QueueTable

__all__ = ["ConfigurationWatch", "DirectoryWatch", "PrefixWatch"]

logger = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.15

# Source of the configurations that were read from the store.
STORE = "store"

# Longest wait of a watch call. A configuration must be in force within two seconds,
# even if the watch's connection has gone silent.
CONFIGURATION_WAIT_S = 0.8
DIRECTORY_WAIT_S = 0.8
# Pause between watch calls, which batches changes: each worker's entry changes often.
DIRECTORY_PAUSE_S = 0.25

# After an outage of the store, live workers have registered again within this time.
REREGISTRATION_S = 2.3


class PrefixWatch(ABC):
    """Reads all entries under a prefix, then watches their changes.

    The watch reads all entries again when it may have missed changes.
    """

    prefix: str
    wait_s: float
    pause_s = 0.0

    def __init__(
        self,
        reactor: IReactorTime,
        store: CoordinationStore,
        *,
        clock: Clock,
        metrics: Metrics,
    ):
        self._reactor = reactor
        self.store = store
        self._clock = clock
        self._metrics = metrics
        self._stopped = False
        self.last_contact_s = float("-inf")
        self._lost = False
        # Revision up to which changes are known, and that of each entry's last change.
        self._position = 0
        self._revision_by_key: dict[str, int] = {}

    def start(self) -> None:
        """Start watching."""
        run_in_background(
            self._watch(),
            logger=logger,
            event="watch_failed",
            on_failure=self._restart,
            prefix=self.prefix,
        )

    def stop(self) -> None:
        """Stop watching."""
        self._stopped = True

    def _restart(self) -> None:
        if not self._stopped:
            self._reactor.callLater(RETRY_INTERVAL_S, self.start)

    async def _watch(self) -> None:
        revision: int | None = None
        # Whether no change has been read since the history was lost.
        lost_again = False
        while not self._stopped:
            sent_s = self._clock.monotonic_s()
            try:
                if revision is None:
                    listing = await self.store.list_prefix(self.prefix)
                    if self._stopped:
                        return
                    self._check_for_missed_changes(listing.entries_by_key)
                    self.apply_snapshot(listing.entries_by_key)
                    revision = self._position = listing.revision
                else:
                    changes = await self.store.changes(
                        self.prefix, after_revision=revision, wait_s=self.wait_s
                    )
                    if self._stopped:
                        return
                    lost_again = False
                    revision = self._position = max(revision, changes.revision)
                    for event in changes.events:
                        self._record_revision(event)
                        self.apply_change(event)
            except HistoryLostError:
                revision = None
                if lost_again:
                    # Without a pause, listing and watch would be repeated as fast as
                    # the store answers, by all instances.
                    await deferLater(self._reactor, RETRY_INTERVAL_S)
                else:
                    log_event(logger, "watch_history_lost", prefix=self.prefix)
                lost_again = True
                continue
            except StoreUnavailableError as error:
                self._record_lost_contact(error)
                revision = None
                await deferLater(self._reactor, RETRY_INTERVAL_S)
                continue
            self._record_contact(sent_s)
            if self.pause_s:
                await deferLater(self._reactor, self.pause_s)

    def _record_revision(self, event: WatchEvent) -> None:
        if event.entry is None:
            self._revision_by_key.pop(event.key, None)
        else:
            self._revision_by_key[event.key] = event.entry.version

    def _check_for_missed_changes(self, entries_by_key: dict[str, Entry]) -> None:
        """Report changes in a listing that the watch had passed without an event."""
        for entry in entries_by_key.values():
            known = self._revision_by_key.get(entry.key, 0)
            if known < entry.version <= self._position:
                self._metrics.count("watch.change_missed")
                log_event(
                    logger,
                    "watch_change_missed",
                    level=logging.WARNING,
                    key=entry.key,
                    revision=entry.version,
                    known_revision=known,
                    passed_revision=self._position,
                )
        self._revision_by_key = {
            entry.key: entry.version for entry in entries_by_key.values()
        }

    def _record_lost_contact(self, error: StoreUnavailableError) -> None:
        self._metrics.count("watch.failed")
        if not self._lost:
            self._lost = True
            log_event(logger, "watch_lost", prefix=self.prefix, reason=error.message)

    def _record_contact(self, sent_s: float) -> None:
        if self._lost:
            self._lost = False
            log_event(logger, "watch_regained", prefix=self.prefix)
        self.last_contact_s = max(self.last_contact_s, sent_s)

    @abstractmethod
    def apply_snapshot(self, entries_by_key: dict[str, Entry]) -> None:
        """Apply all entries under the prefix."""

    @abstractmethod
    def apply_change(self, event: WatchEvent) -> None:
        """Apply a change of one entry."""


class ConfigurationWatch(PrefixWatch):
    """Keeps the newest configuration, and ignores older versions.

    :param on_table: called with each newer configuration.
    """

    wait_s = CONFIGURATION_WAIT_S

    def __init__(
        self, reactor, store, translation: PlatformAdapter, *, on_table, **kwargs
    ):
        super().__init__(reactor, store, **kwargs)
        self.prefix = translation.operator_prefix
        self._translation = translation
        self._on_table = on_table
        self.table: QueueTable | None = None
        self.value = b""
        # Whether the newest value in the store could be decoded.
        self._readable = True
        self._confirmed_s = float("-inf")
        self._older_than: int | None = None

    @property
    def connected(self) -> bool:
        """Whether the last call to the store was answered."""
        return self.last_contact_s > float("-inf") and not self._lost

    @property
    def age_s(self) -> float:
        """Seconds since the store confirmed that the configuration is the newest."""
        return self._clock.monotonic_s() - self._confirmed_s

    def record_confirmation(self, confirmed_s: float) -> None:
        """Record that the configuration was the newest at a time.

        :param confirmed_s: monotonic time at which the store was asked, by this
            instance or by another one.
        """
        self._confirmed_s = max(self._confirmed_s, confirmed_s)

    def _record_contact(self, sent_s: float) -> None:
        super()._record_contact(sent_s)
        if self._readable and self.table is not None:
            self.record_confirmation(sent_s)

    def apply_snapshot(self, entries_by_key: dict[str, Entry]) -> None:
        """Apply all entries under the prefix."""
        for entry in entries_by_key.values():
            self._apply_entry(entry)

    def apply_change(self, event: WatchEvent) -> None:
        """Apply a change of one entry."""
        if event.entry is not None:
            self._apply_entry(event.entry)

    def _apply_entry(self, entry: Entry) -> None:
        if entry.key == self._translation.configuration_key:
            self._readable = self.apply(
                entry.value, source=STORE, read_s=self._clock.monotonic_s()
            )

    def apply(self, value: bytes, *, source: str, read_s: float) -> bool:
        """Apply a stored value if its version is newer than the one in force.

        :param source: the store, or the instance that sent the value.
        :param read_s: monotonic time at which the store confirmed the value.
        :returns: whether the value could be decoded.
        """
        try:
            table = self._translation.queue_table(value)
        except MalformedMessageError as error:
            self._metrics.count("configuration.malformed")
            log_event(
                logger,
                "configuration_malformed",
                source=source,
                value_bytes=len(value),
                reason=error.message,
            )
            return False
        if self.table is not None and table.version <= self.table.version:
            if table.version < self.table.version != self._older_than:
                # Logged once for each version in force: a store that has lost its
                # newest value returns the older one with every listing.
                self._older_than = self.table.version
                log_event(
                    logger,
                    "configuration_older",
                    config=table.version,
                    in_force=self.table.version,
                    source=source,
                )
            return True
        replaced = None if self.table is None else self.table.version
        self.table, self.value = table, value
        self._confirmed_s = read_s
        log_event(
            logger,
            "configuration_in_force",
            config=table.version,
            queues=len(table.queues),
            customers=len(table.customers),
            replaced=replaced,
            value_bytes=len(value),
            source=source,
            age_s=round(self.age_s, 3),
        )
        self._on_table(table)
        return True


class DirectoryWatch(PrefixWatch):
    """Keeps the directory of workers.

    :param on_worker_changed: called with each worker that is new or has changed.
    :param on_worker_removed: called with the identifier of each worker that has left.
    """

    wait_s = DIRECTORY_WAIT_S
    pause_s = DIRECTORY_PAUSE_S

    def __init__(
        self,
        reactor,
        store,
        translation: PlatformAdapter,
        *,
        on_worker_changed,
        on_worker_removed,
        **kwargs,
    ):
        super().__init__(reactor, store, **kwargs)
        self.prefix = translation.worker_prefix
        self._translation = translation
        self._on_worker_changed = on_worker_changed
        self._on_worker_removed = on_worker_removed
        self._restored_s = float("-inf")
        self._ready = False
        self.workers_by_id: dict[WorkerId, Worker] = {}
        self._missing_since_s: dict[WorkerId, float] = {}

    @property
    def complete(self) -> bool:
        """Whether the directory has been read at least once."""
        return self._ready

    def _record_contact(self, sent_s: float) -> None:
        if self._lost:
            self._restored_s = self._clock.monotonic_s()
        super()._record_contact(sent_s)
        self._drop_missing()

    def apply_snapshot(self, entries_by_key: dict[str, Entry]) -> None:
        """Apply all entries under the prefix."""
        seen = set()
        for entry in entries_by_key.values():
            worker = self._apply_entry(entry)
            if worker is not None:
                seen.add(worker.worker_id)
        self._ready = True
        for worker_id in self.workers_by_id.keys() - seen:
            self._missing_since_s.setdefault(worker_id, self._clock.monotonic_s())

    def apply_change(self, event: WatchEvent) -> None:
        """Apply a change of one entry."""
        if event.entry is not None and self._apply_entry(event.entry) is not None:
            return
        # The entry was deleted, or overwritten by another writer.
        worker_id = WorkerId(event.key.removeprefix(self.prefix))
        if worker_id in self.workers_by_id:
            self._missing_since_s.setdefault(worker_id, self._clock.monotonic_s())

    def _apply_entry(self, entry: Entry) -> Worker | None:
        try:
            worker = self._translation.worker(entry.key, entry.value)
        except MalformedMessageError as error:
            self._metrics.count("directory.malformed")
            log_event(
                logger,
                "directory_entry_skipped",
                level=logging.DEBUG,
                key=entry.key,
                reason=error.message[:120],
            )
            return None
        self._missing_since_s.pop(worker.worker_id, None)
        if self.workers_by_id.get(worker.worker_id) != worker:
            self.workers_by_id[worker.worker_id] = worker
            self._on_worker_changed(worker)
        return worker

    def _drop_missing(self) -> None:
        """Drop the workers whose entries are gone.

        After an outage of the store, workers have ``REREGISTRATION_S`` to register.
        """
        now_s = self._clock.monotonic_s()
        for worker_id, since_s in list(self._missing_since_s.items()):
            if now_s - max(since_s, self._restored_s) < REREGISTRATION_S and (
                since_s <= self._restored_s + REREGISTRATION_S
            ):
                continue
            del self._missing_since_s[worker_id]
            if self.workers_by_id.pop(worker_id, None) is not None:
                log_event(logger, "worker_left_directory", worker=worker_id)
                self._on_worker_removed(worker_id)
