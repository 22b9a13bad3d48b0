"""HTTP client of the platform's key-value store."""

from collections.abc import Mapping
from urllib.parse import urlencode

import msgspec
from twisted.internet.interfaces import IReactorTime

from ..backends import Entry, LeaseId, Listing, WatchEvent
from ..backends.answer_timer import AnswerTimer
from ..backends.http import JsonHttpClient
from ..common import MalformedMessageError, StoreUnavailableError, encode_json
from ..node.interfaces import (
    Changes,
    CoordinationStore,
    HistoryLostError,
    LeaseEndedError,
    Put,
    StoreTurnedAwayError,
    TransactionConflictError,
)
from .wire import decode_wire

__all__ = ["PlatformStore"]

# Upper bound of the adaptive time limit of calls. The store answers in 4 ms, and in
# about 250 ms when it is slow.
MAX_TIMEOUT_S = 0.8

# Lower bound of the adaptive time limit: an answer takes about 15 ms between data
# centres, and a busy process on half a core may read it 100 ms late.
MIN_TIMEOUT_S = 0.15

# Assumed bandwidth of a call, which extends its time limit by the size of the request.
# The smallest links carry 5 Mbit/s, and several calls may share one.
MIN_BYTES_PER_S = 250_000

# Upper bound of the adaptive time limit until a page of a listing begins to arrive.
MAX_PAGE_TIMEOUT_S = 2.0

# Time limit of the small read that precedes a listing after a lost one. It is twice the
# answer time of a slow store, and far below the time limit of a page, so that the
# return of a silent store is noticed soon.
PROBE_TIMEOUT_S = 0.5

# Longest pause in an answer that is arriving. A megabyte takes seconds on a small link,
# and giving it up would start the transfer anew.
STALL_TIMEOUT_S = 0.5

# Time that a watch's answer may begin to arrive beyond its requested wait.
WATCH_SLACK_S = 0.6

# Idle connections kept to the store, as many as calls are in flight at once.
MAX_IDLE_CONNECTIONS = 6


class _Item(msgspec.Struct, rename="pascal"):
    """A key with its value, or the deletion of a key."""

    key: str
    # Base64 text on the wire.
    value: bytes = b""
    # Revision of the key's last change.
    revision: int = 0
    lease: int = 0
    # Occurs in changes only.
    deleted: bool = False

    def to_entry(self) -> Entry:
        """Convert to the store interface's type."""
        return Entry(self.key, self.value, self.revision, LeaseId(self.lease))


class _Range(msgspec.Struct):
    items: list[_Item]
    # Whether a further page exists.
    more: bool = msgspec.field(name="Truncated", default=False)
    # Revision of the whole store, not of the items.
    store_revision: int = msgspec.field(name="CurrentRev", default=0)


class _Events(msgspec.Struct):
    events: list[_Item]
    store_revision: int = msgspec.field(name="CurrentRev", default=0)


class _Conflict(msgspec.Struct):
    items: list[_Item] = []


class _Written(msgspec.Struct, rename="pascal"):
    revision: int = 0


class _Lease(msgspec.Struct, rename="pascal"):
    lease: int = 0


class PlatformStore(CoordinationStore):
    """Calls the store over HTTP.

    :param reactor: Twisted's reactor.
    :param address: IP address and port.
    """

    def __init__(self, reactor: IReactorTime, address: str):
        self._client = JsonHttpClient(
            reactor,
            f"http://{address}",
            timeout_s=MAX_TIMEOUT_S,
            make_error=lambda reason: StoreUnavailableError(f"store: {reason}"),
            connections=MAX_IDLE_CONNECTIONS,
        )
        self._reactor = reactor
        self._timer = AnswerTimer(
            min_timeout_s=MIN_TIMEOUT_S, max_timeout_s=MAX_TIMEOUT_S
        )
        self._list_timer = AnswerTimer(
            min_timeout_s=MAX_TIMEOUT_S, max_timeout_s=MAX_PAGE_TIMEOUT_S
        )
        # Whether the newest listing was not answered in time.
        self._listing_lost = False

    async def _call(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        timer: AnswerTimer | None = None,
        accept: tuple[int, ...] = (200,),
    ) -> tuple[int, bytes]:
        """Make a call with a time limit that adapts to previous answer times.

        :param timer: source of the time limit; that of ordinary calls by default.
        :param accept: statuses that are returned; others raise an error.
        """
        timer = timer or self._timer
        data = None if body is None else encode_json(body)
        sent_s = self._reactor.seconds()
        limit_s = timer.timeout_s + len(data or b"") / MIN_BYTES_PER_S
        try:
            result = await self._send(method, path, data, limit_s, accept)
        except StoreUnavailableError:
            if self._reactor.seconds() - sent_s >= limit_s:
                timer.record_timeout()
            raise
        timer.record_answer(self._reactor.seconds() - sent_s)
        return result

    async def _probe(self, key: str) -> None:
        """Read one key, to find out whether the store answers.

        :raises StoreUnavailableError: if it does not.
        """
        path = "/api/kv-key?" + urlencode({"Key": key})
        await self._send("GET", path, None, PROBE_TIMEOUT_S, (200, 404))

    async def _send(
        self,
        method: str,
        path: str,
        data: bytes | None,
        timeout_s: float,
        accept: tuple[int, ...],
    ) -> tuple[int, bytes]:
        headers = {} if data is None else {"Content-Type": "application/json"}
        status, answer = await self._client.call(
            method,
            path,
            body=data,
            headers=headers,
            timeout_s=timeout_s,
            stall_timeout_s=STALL_TIMEOUT_S,
        )
        if status not in accept:
            # Only status 503 means that the store has done nothing.
            kind = StoreTurnedAwayError if status == 503 else StoreUnavailableError
            raise kind(f"store answered with status {status} to {path[:60]}")
        return status, answer

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or ``None``."""
        path = "/api/kv-key?" + urlencode({"Key": key})
        status, answer = await self._call("GET", path, accept=(200, 404))
        if status == 404:
            return None
        return _decode(answer, _Item).to_entry()

    async def list_prefix(self, prefix: str) -> Listing:
        """Return all entries under a prefix, read page by page.

        The revision is that of the first page, so that a watch from there reports the
        changes made while the pages were read.
        """
        if self._listing_lost:
            await self._probe(prefix)
        self._listing_lost = True
        listing = await self._read_pages(prefix)
        self._listing_lost = False
        return listing

    async def _read_pages(self, prefix: str) -> Listing:
        entries: dict[str, Entry] = {}
        revision = None
        after = ""
        while True:
            query = {"Prefix": prefix}
            if after:
                query["After"] = after
            path = "/api/kv-range?" + urlencode(query)
            _, answer = await self._call("GET", path, timer=self._list_timer)
            page = _decode(answer, _Range)
            revision = page.store_revision if revision is None else revision
            entries.update((item.key, item.to_entry()) for item in page.items)
            if not page.more or not page.items:
                return Listing(revision, entries)
            after = page.items[-1].key

    async def changes(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> Changes:
        """Wait for changes under a prefix."""
        query = urlencode(
            {"Prefix": prefix, "After": after_revision, "WaitMs": int(wait_s * 1000)}
        )
        status, answer = await self._send(
            "GET", f"/api/kv-watch?{query}", None, wait_s + WATCH_SLACK_S, (200, 410)
        )
        if status == 410:
            raise HistoryLostError(
                f"store has discarded changes after revision {after_revision}"
            )
        page = _decode(answer, _Events)
        events = [
            WatchEvent(
                item.key, None if item.deleted else item.to_entry(), item.revision
            )
            for item in page.events
        ]
        return Changes(events, page.store_revision)

    async def transact(
        self,
        *,
        expected: Mapping[str, int],
        puts: Mapping[str, Put],
        removes: tuple[str, ...] = (),
    ) -> int:
        """Write and delete keys atomically."""
        body = {
            "ExpectedRev": [
                {"Key": key, "Revision": version} for key, version in expected.items()
            ],
            "Puts": [_encode_put(key, put) for key, put in puts.items()],
            "Remove": list(removes),
        }
        status, answer = await self._call(
            "POST", "/api/kv-txn", body, accept=(200, 404, 412)
        )
        if status == 404:
            raise LeaseEndedError("a lease of the transaction has ended")
        if status == 412:
            items = _decode(answer, _Conflict).items
            versions = {item.key: item.revision for item in items}
            raise TransactionConflictError(
                "a key of the transaction has another version than expected",
                versions_by_key=versions,
            )
        return _decode(answer, _Written).revision

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease."""
        body = {"TtlMs": int(ttl_s * 1000)}
        _, answer = await self._call("POST", "/api/kv-lease", body)
        return LeaseId(_decode(answer, _Lease).lease)

    async def keep_alive(self, lease_id: LeaseId) -> None:
        """Renew a lease."""
        status, _ = await self._call(
            "POST", f"/api/kv-keep/{lease_id}", accept=(200, 404)
        )
        if status == 404:
            raise LeaseEndedError(f"lease {lease_id} has ended")

    async def revoke_lease(self, lease_id: LeaseId) -> None:
        """End a lease and delete its keys."""
        await self._call("DELETE", f"/api/kv-lease-end/{lease_id}", accept=(200, 404))

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()


def _encode_put(key: str, put: Put) -> dict[str, object]:
    item: dict[str, object] = {"Key": key, "Value": put.value}
    if put.lease_id:
        item["Lease"] = put.lease_id
    return item


def _decode(answer: bytes, wire_type):
    """Decode an answer.

    :raises StoreUnavailableError: if the answer is malformed; it counts as missing.
    """
    try:
        return decode_wire(answer, wire_type)
    except MalformedMessageError as error:
        raise StoreUnavailableError(f"store: {error.message}") from error
