"""Stand-in for the platform's instance directory, with a lag."""

from collections import deque

import msgspec
from klein import Klein
from twisted.web.http import Request

from ..backends import DirectoryEntry, DirectoryListing
from ..common import Clock, InstanceId, SystemClock, decode_json, encode_json

__all__ = ["DirectoryChange", "DirectoryStandin"]

REQUEST_LIMIT_BYTES = 4 * 1024 * 1024


class DirectoryChange(msgspec.Struct, frozen=True, kw_only=True):
    """Entries to add or replace, and identifiers of entries to remove."""

    upsert: list[DirectoryEntry] = []
    remove: list[InstanceId] = []


class DirectoryStandin:
    """Serves the directory; changes become visible after the lag.

    :param lag_s: delay until a change becomes visible, in seconds.
    """

    app = Klein()

    def __init__(self, *, lag_s: float = 0.0, clock: Clock | None = None):
        self._clock = clock or SystemClock()
        self._lag_s = lag_s
        self._index = 1
        self._entries_by_id: dict[InstanceId, tuple[int, DirectoryEntry]] = {}
        self._removed_by_id: dict[InstanceId, int] = {}
        self._pending: deque[tuple[float, DirectoryChange]] = deque()

    def change(self, change: DirectoryChange) -> None:
        """Record a change that becomes visible after the lag."""
        self._pending.append((self._clock.monotonic_s() + self._lag_s, change))
        self._apply_due()

    def _apply_due(self) -> None:
        now_s = self._clock.monotonic_s()
        while self._pending and self._pending[0][0] <= now_s:
            self._apply(self._pending.popleft()[1])

    def _apply(self, change: DirectoryChange) -> None:
        self._index += 1
        for entry in change.upsert:
            self._entries_by_id[entry.id] = (self._index, entry)
            self._removed_by_id.pop(entry.id, None)
        for instance_id in change.remove:
            if self._entries_by_id.pop(instance_id, None):
                self._removed_by_id[instance_id] = self._index

    @app.route("/v1/instances", methods=["GET"])
    def list_instances(self, request: Request):
        """Return the changes after the index in the query argument ``since``."""
        self._apply_due()
        since = int(request.args.get(b"since", [b"0"])[0])
        listing = DirectoryListing(
            index=self._index,
            entries=[e for i, e in self._entries_by_id.values() if i > since],
            removed=[x for x, i in self._removed_by_id.items() if i > since > 0],
        )
        request.setHeader("Content-Type", "application/json")
        return encode_json(listing)

    @app.route("/v1/instances", methods=["POST"])
    def change_instances(self, request: Request):
        """Change the directory."""
        data = request.content.read()
        self.change(decode_json(data, DirectoryChange, limit_bytes=REQUEST_LIMIT_BYTES))
        return b"{}"
