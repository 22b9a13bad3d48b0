"""Synchronises the settings in force with the store and with peers."""

import logging
from collections.abc import Callable

from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from ..backends import KeyValueStore, Watch, WatchEvent
from ..common import (
    InstanceId,
    MalformedMessageError,
    Metrics,
    PistachioliftError,
    Revision,
    log_event,
)
from ..peers import PeerMessage, SettingsOffer
from ..settings import TREE_KEY, SettingsView

__all__ = ["SettingsSync"]

logger = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.5


class SettingsSync:
    """Watches the stored settings tree and exchanges revisions with peers.

    As a context manager it stops on exit.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        store: KeyValueStore,
        view: SettingsView,
        *,
        self_id: InstanceId,
        metrics: Metrics,
        send: Callable[[InstanceId, PeerMessage], bool],
    ):
        self._reactor = reactor
        self._store = store
        self._view = view
        self._self_id = self_id
        self._metrics = metrics
        self._send = send
        self._watch: Watch | None = None
        self._call: IDelayedCall | None = None
        self._stopped = False

    def __enter__(self) -> "SettingsSync":
        ensureDeferred(self._read_and_watch())
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stopped = True
        if self._watch is not None:
            self._watch.stop()
        if self._call is not None and self._call.active():
            self._call.cancel()

    async def _read_and_watch(self) -> None:
        try:
            listing = await self._store.list_prefix(TREE_KEY)
        except PistachioliftError as error:
            self._metrics.count(f"retry.settings_read.{error.code.value}")
            self._retry()
            return
        entry = listing.entries_by_key.get(TREE_KEY)
        if entry is not None:
            self._offer(entry.value)
        if not self._stopped:
            self._watch = self._store.watch(
                TREE_KEY,
                after_revision=listing.revision,
                on_events=self._handle_events,
                on_end=self._retry,
            )

    def _retry(self) -> None:
        self._watch = None
        if not self._stopped:
            self._call = self._reactor.callLater(
                RETRY_INTERVAL_S, lambda: ensureDeferred(self._read_and_watch())
            )

    def _handle_events(self, events: list[WatchEvent]) -> None:
        for event in events:
            if event.key == TREE_KEY and event.entry is not None:
                self._offer(event.entry.value)

    def _offer(self, data: bytes) -> None:
        try:
            self._view.offer(data)
        except MalformedMessageError as error:
            self._metrics.count("refusal.settings_malformed")
            log_event(logger, "settings_refused", code=error.code.value)

    def record_peer_revision(self, peer_id: InstanceId, revision: Revision) -> None:
        """Record the revision in a peer's heartbeat, and request it if it is newer."""
        self._view.record_report(peer_id, revision)
        if revision > self._view.revision:
            request = SettingsOffer(
                sender=self._self_id, revision=self._view.revision, data=b""
            )
            self._send(peer_id, request)

    def handle(self, message: SettingsOffer) -> None:
        """Apply a revision offered by a peer, or answer a peer's request for one."""
        if message.data:
            self._offer(message.data)
        elif message.revision < self._view.revision:
            offer = SettingsOffer(
                sender=self._self_id,
                revision=self._view.revision,
                data=self._view.encoded,
            )
            self._send(message.sender, offer)
