"""The settings tree that one process has in force."""

import logging
from collections.abc import Callable, Iterable

from ..common import InstanceId, Metrics, Revision, log_event
from .codec import decode_revision, decode_tree, encode_tree_for_peers
from .tree import SettingsTree

__all__ = ["Listener", "SettingsView"]

Listener = Callable[[SettingsTree], None]
_logger = logging.getLogger(__name__)


class SettingsView:
    """Holds the tree of the highest revision received from any source.

    :param tree: the tree to start with; the tree of defaults if ``None``.
    :param metrics: counters.
    """

    def __init__(
        self, tree: SettingsTree | None = None, *, metrics: Metrics | None = None
    ):
        self._tree = tree if tree is not None else SettingsTree()
        self._encoded: bytes | None = None
        self._listeners: list[Listener] = []
        self._notified_revision = self._tree.revision
        self._notifying = False
        self._metrics = metrics if metrics is not None else Metrics()
        self._revisions_by_instance: dict[InstanceId, Revision] = {}

    @property
    def tree(self) -> SettingsTree:
        """The tree in force."""
        return self._tree

    @property
    def revision(self) -> Revision:
        """Revision of the tree in force."""
        return self._tree.revision

    @property
    def encoded(self) -> bytes:
        """The tree in force, encoded for peers."""
        if self._encoded is None:
            self._encoded = encode_tree_for_peers(self._tree)
        return self._encoded

    def offer(self, tree_bytes: bytes) -> bool:
        """Put an encoded tree in force if it is newer than the present one.

        :param tree_bytes: tree from the store, a watch or a peer.
        :returns: whether it was newer and is now in force.
        :raises MalformedMessageError: if the bytes are no valid tree.
        """
        # Most offers are not newer, so only the header is decoded at first.
        if not self._is_newer(decode_revision(tree_bytes)):
            self._metrics.count("settings.offer_not_newer")
            return False
        return self.accept(decode_tree(tree_bytes, base=self._tree))

    def accept(self, tree: SettingsTree) -> bool:
        """Put a tree in force if it is newer than the present one.

        :returns: whether it was newer and is now in force.
        """
        if not self._is_newer(tree.revision):
            self._metrics.count("settings.offer_not_newer")
            return False
        self._tree = tree
        self._encoded = None
        self._metrics.count("settings.applied")
        self._metrics.gauge("settings.revision", tree.revision)
        log_event(_logger, "settings_applied", revision=tree.revision)
        self._notify()
        return True

    def add_listener(self, listener: Listener) -> Callable[[], None]:
        """Call a function with each tree that comes into force from now on.

        :param listener: called with increasing revisions only; revisions may be
            skipped. If it raises, the error is logged and counted, and the other
            listeners are still called.
        :returns: a function that removes the listener.
        """
        self._listeners.append(listener)

        def remove() -> None:
            if listener in self._listeners:
                self._listeners.remove(listener)

        return remove

    def record_report(self, instance_id: InstanceId, revision: int) -> None:
        """Record the revision that an instance reported, for example in a heartbeat.

        A lower revision than before is a late report and is ignored: the revision of an
        instance never decreases, and a replaced instance has a new identifier.
        """
        known = self._revisions_by_instance.get(instance_id, -1)
        if revision > known:
            self._revisions_by_instance[instance_id] = Revision(revision)

    def retain_instances(self, live_ids: Iterable[InstanceId]) -> None:
        """Forget the reports of all instances but the live ones."""
        live = set(live_ids)
        self._revisions_by_instance = {
            instance_id: revision
            for instance_id, revision in self._revisions_by_instance.items()
            if instance_id in live
        }

    def reported_revision(self, instance_id: InstanceId) -> Revision | None:
        """Return the highest revision that an instance reported, or ``None``."""
        return self._revisions_by_instance.get(instance_id)

    def instances_behind(
        self, revision: int, live_ids: Iterable[InstanceId]
    ) -> list[InstanceId]:
        """Return the live instances that have not reported a revision yet, sorted."""
        reported = self._revisions_by_instance
        return sorted(each for each in live_ids if reported.get(each, -1) < revision)

    def _is_newer(self, revision: Revision) -> bool:
        return revision > self._tree.revision

    def _notify(self) -> None:
        # A listener may cause another tree to be accepted. The outer call then repeats
        # its loop, so that no listener sees the newer tree before the older one.
        if self._notifying:
            return
        self._notifying = True
        try:
            while self._notified_revision < self._tree.revision:
                tree = self._tree
                self._notified_revision = tree.revision
                for listener in tuple(self._listeners):
                    self._call(listener, tree)
        finally:
            self._notifying = False

    def _call(self, listener: Listener, tree: SettingsTree) -> None:
        try:
            listener(tree)
        except Exception:
            self._metrics.count("settings.listener_failed")
            _logger.exception(
                "event=settings_listener_failed revision=%d", tree.revision
            )
