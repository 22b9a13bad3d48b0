"""Follows a prefix of the platform's store."""

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

# Longest silence before a watch is opened anew: a configuration has to be in force
# within two seconds, also if the connection has gone silent.
CONFIGURATION_WAIT_S = 0.8
DIRECTORY_WAIT_S = 0.8
# Changes of the directory are fetched together: each worker's entry changes often.
DIRECTORY_PAUSE_S = 0.25

# After an outage of the store, entries of live workers are back within this time.
RETURN_S = 2.3


class PrefixWatch(ABC):
    """Reads a prefix, then its changes; starts over when changes are missed."""

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
        self.contact_s = float("-inf")
        self._lost = False

    def start(self) -> None:
        """Begin to follow."""
        run_in_background(
            self._follow(),
            logger=logger,
            event="watch_failed",
            on_failure=self._start_again,
            prefix=self.prefix,
        )

    def stop(self) -> None:
        """Take no more changes."""
        self._stopped = True

    def _start_again(self) -> None:
        if not self._stopped:
            self._reactor.callLater(RETRY_INTERVAL_S, self.start)

    async def _follow(self) -> None:
        revision: int | None = None
        while not self._stopped:
            sent_s = self._clock.monotonic_s()
            try:
                if revision is None:
                    listing = await self.store.list_prefix(self.prefix)
                    if self._stopped:
                        return
                    self.reset(listing.entries_by_key)
                    revision = listing.revision
                else:
                    changes = await self.store.changes(
                        self.prefix, after_revision=revision, wait_s=self.wait_s
                    )
                    if self._stopped:
                        return
                    revision = max(revision, changes.revision)
                    for event in changes.events:
                        self.changed(event)
            except HistoryLostError:
                log_event(logger, "watch_history_lost", prefix=self.prefix)
                revision = None
                continue
            except StoreUnavailableError as error:
                self._note_lost(error)
                revision = None
                await deferLater(self._reactor, RETRY_INTERVAL_S)
                continue
            self._note_heard(sent_s)
            if self.pause_s:
                await deferLater(self._reactor, self.pause_s)

    def _note_lost(self, error: StoreUnavailableError) -> None:
        self._metrics.count("watch.failed")
        if not self._lost:
            self._lost = True
            log_event(logger, "watch_lost", prefix=self.prefix, reason=error.message)

    def _note_heard(self, sent_s: float) -> None:
        if self._lost:
            self._lost = False
            log_event(logger, "watch_regained", prefix=self.prefix)
        self.contact_s = max(self.contact_s, sent_s)

    @abstractmethod
    def reset(self, entries_by_key: dict[str, Entry]) -> None:
        """Take all entries."""

    @abstractmethod
    def changed(self, event: WatchEvent) -> None:
        """Take one change."""


class ConfigurationWatch(PrefixWatch):
    """Keeps the newest configuration; it never goes back.

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

    def reset(self, entries_by_key: dict[str, Entry]) -> None:
        """Take all entries."""
        for entry in entries_by_key.values():
            self._take(entry)

    def changed(self, event: WatchEvent) -> None:
        """Take one change."""
        if event.entry is not None:
            self._take(event.entry)

    def _take(self, entry: Entry) -> None:
        if entry.key != self._translation.configuration_key:
            return
        try:
            table = self._translation.queue_table(entry.value)
        except MalformedMessageError as error:
            self._metrics.count("configuration.malformed")
            log_event(logger, "configuration_malformed", reason=error.message)
            return
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        log_event(
            logger,
            "configuration_in_force",
            config=table.version,
            queues=len(table.queues),
        )
        self._on_table(table)


class DirectoryWatch(PrefixWatch):
    """Keeps the directory of workers.

    :param on_seen: called with each entry that is new or has changed.
    :param on_gone: called with the identifier of an entry that is gone.
    """

    wait_s = DIRECTORY_WAIT_S
    pause_s = DIRECTORY_PAUSE_S

    def __init__(
        self,
        reactor,
        store,
        translation: PlatformAdapter,
        *,
        on_seen,
        on_gone,
        **kwargs,
    ):
        super().__init__(reactor, store, **kwargs)
        self.prefix = translation.worker_prefix
        self._translation = translation
        self._on_seen = on_seen
        self._on_gone = on_gone
        self._returned_s = float("-inf")
        self._ready = False
        self.workers_by_id: dict[WorkerId, Worker] = {}
        self._missing_s: dict[WorkerId, float] = {}

    @property
    def complete(self) -> bool:
        """Whether the directory has been read once."""
        return self._ready

    def _note_heard(self, sent_s: float) -> None:
        if self._lost:
            self._returned_s = self._clock.monotonic_s()
        super()._note_heard(sent_s)
        self._drop_missing()

    def reset(self, entries_by_key: dict[str, Entry]) -> None:
        """Take all entries."""
        seen = set()
        for entry in entries_by_key.values():
            worker = self._take(entry)
            if worker is not None:
                seen.add(worker.worker_id)
        self._ready = True
        for worker_id in self.workers_by_id.keys() - seen:
            self._missing_s.setdefault(worker_id, self._clock.monotonic_s())

    def changed(self, event: WatchEvent) -> None:
        """Take one change."""
        if event.entry is not None:
            self._take(event.entry)
            return
        worker_id = WorkerId(event.key.removeprefix(self.prefix))
        if worker_id in self.workers_by_id:
            self._missing_s.setdefault(worker_id, self._clock.monotonic_s())

    def _take(self, entry: Entry) -> Worker | None:
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
        self._missing_s.pop(worker.worker_id, None)
        if self.workers_by_id.get(worker.worker_id) != worker:
            self.workers_by_id[worker.worker_id] = worker
            self._on_seen(worker)
        return worker

    def _drop_missing(self) -> None:
        """Drop entries that are gone, also those that did not return in time."""
        now_s = self._clock.monotonic_s()
        for worker_id, since_s in list(self._missing_s.items()):
            if now_s - max(since_s, self._returned_s) < RETURN_S and (
                since_s <= self._returned_s + RETURN_S
            ):
                continue
            del self._missing_s[worker_id]
            if self.workers_by_id.pop(worker_id, None) is not None:
                log_event(logger, "worker_left_directory", worker=worker_id)
                self._on_gone(worker_id)
