"""The platform's key-value store."""

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

# Longest time for an answer. The store answers in 4 ms, and in about 250 ms when it
# is slow.
CALL_TIMEOUT_S = 0.8

# Shortest time limit: an answer takes about 15 ms between zones, and a busy process
# on half a core may look at it 100 ms late.
SHORTEST_WAIT_S = 0.15

# The smallest links carry 5 Mbit/s, and several calls may share one.
SLOW_LINK_BYTES_S = 250_000

# A page of a listing has up to 1 MB; it is given this long if shorter limits pass.
LIST_TIMEOUT_S = 2.0

# What a waiting call may take beyond the time that it asks for.
WATCH_SLACK_S = 0.6

# Calls of one instance that may be in flight at once.
CONNECTIONS = 6


class _Item(msgspec.Struct, rename="pascal"):
    """A key with its value, or the news of its deletion."""

    key: str
    # Base64 text on the wire.
    value: bytes = b""
    # Revision of the key's last change.
    revision: int = 0
    lease: int = 0
    # Present, and true, in changes only.
    deleted: bool = False

    def entry(self) -> Entry:
        """Return the item in the product's form."""
        return Entry(self.key, self.value, self.revision, LeaseId(self.lease))


class _Range(msgspec.Struct):
    items: list[_Item]
    # Whether a further page exists.
    more: bool = msgspec.field(name="Truncated", default=False)
    # The store's revision, not that of the items.
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
            timeout_s=CALL_TIMEOUT_S,
            make_error=lambda reason: StoreUnavailableError(f"store: {reason}"),
            connections=CONNECTIONS,
        )
        self._reactor = reactor
        self._timer = AnswerTimer(
            min_timeout_s=SHORTEST_WAIT_S, max_timeout_s=CALL_TIMEOUT_S
        )
        self._list_timer = AnswerTimer(
            min_timeout_s=CALL_TIMEOUT_S, max_timeout_s=LIST_TIMEOUT_S
        )

    async def _call(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        timer: AnswerTimer | None = None,
        accept: tuple[int, ...] = (200,),
    ) -> tuple[int, bytes]:
        """Make a call whose time limit follows the answers.

        :param timer: that of ordinary calls unless another one is given.
        """
        timer = timer or self._timer
        data = None if body is None else encode_json(body)
        sent_s = self._reactor.seconds()
        limit_s = timer.timeout_s + len(data or b"") / SLOW_LINK_BYTES_S
        try:
            result = await self._send(method, path, data, limit_s, accept)
        except StoreUnavailableError:
            if self._reactor.seconds() - sent_s >= limit_s:
                timer.record_timeout()
            raise
        timer.record_answer(self._reactor.seconds() - sent_s)
        return result

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
            method, path, body=data, headers=headers, timeout_s=timeout_s
        )
        if status not in accept:
            # Only this status says for certain that nothing was done.
            kind = StoreTurnedAwayError if status == 503 else StoreUnavailableError
            raise kind(f"store answered {status} to {path[:60]}")
        return status, answer

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or ``None``."""
        path = "/api/kv-key?" + urlencode({"Key": key})
        status, answer = await self._call("GET", path, accept=(200, 404))
        if status == 404:
            return None
        return _decode(answer, _Item).entry()

    async def list_prefix(self, prefix: str) -> Listing:
        """Return all entries below a prefix, page by page.

        The revision is that of the first page, so that changes made while the pages
        were read are reported again.
        """
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
            entries.update((item.key, item.entry()) for item in page.items)
            if not page.more or not page.items:
                return Listing(revision, entries)
            after = page.items[-1].key

    async def changes(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> Changes:
        """Wait for changes below a prefix."""
        query = urlencode(
            {"Prefix": prefix, "After": after_revision, "WaitMs": int(wait_s * 1000)}
        )
        status, answer = await self._send(
            "GET", f"/api/kv-watch?{query}", None, wait_s + WATCH_SLACK_S, (200, 410)
        )
        if status == 410:
            raise HistoryLostError(f"changes after {after_revision} are gone")
        page = _decode(answer, _Events)
        events = [
            WatchEvent(item.key, None if item.deleted else item.entry(), item.revision)
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
        """Write all or nothing."""
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
                "a key has changed", versions_by_key=versions
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
    """Decode an answer; one that cannot be read counts as no answer."""
    try:
        return decode_wire(answer, wire_type)
    except MalformedMessageError as error:
        raise StoreUnavailableError(f"store: {error.message}") from error
