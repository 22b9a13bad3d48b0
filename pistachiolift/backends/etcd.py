"""Key-value store client for the JSON gateway of etcd v3.

The gateway encodes keys and values as base64 strings and 64-bit integers as decimal
strings.
"""

import base64
import json
import math
from collections.abc import Callable
from typing import Any

import treq
from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime
from twisted.protocols.basic import LineOnlyReceiver
from twisted.web.client import Agent

from ..common import (
    NotFoundError,
    StoreUnavailableError,
    ValueTooLargeError,
    VersionConflictError,
)
from .agent import AGENT_ERRORS
from .http import CONNECT_TIMEOUT_S, JsonHttpClient
from .store import Entry, KeyValueStore, LeaseId, Listing, Watch, WatchEvent

__all__ = ["VALUE_LIMIT_BYTES", "EtcdStore", "prefix_end"]

VALUE_LIMIT_BYTES = 1_000_000
CALL_TIMEOUT_S = 1.0
WATCH_LINE_LIMIT_BYTES = 16 * 1024 * 1024


def encode(text: str | bytes) -> str:
    """Encode a key or a value as the API's base64 string."""
    data = text.encode() if isinstance(text, str) else text
    return base64.b64encode(data).decode()


def decode(text: str) -> bytes:
    """Decode the API's base64 string."""
    return base64.b64decode(text)


def prefix_end(prefix: str) -> str:
    """Return the exclusive end of the range of all keys with a prefix.

    :param prefix: a prefix whose last character is ASCII.
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _entry_from(document: dict[str, Any]) -> Entry:
    return Entry(
        key=decode(document["key"]).decode(),
        value=decode(document.get("value", "")),
        version=int(document["mod_revision"]),
        lease_id=LeaseId(int(document.get("lease", "0"))),
    )


def _unavailable(reason: str) -> StoreUnavailableError:
    return StoreUnavailableError(
        f"no valid answer from the key-value store: {reason}", retry_after_s=5.0
    )


class _WatchReader(LineOnlyReceiver):
    """Splits the response of a watch into lines of JSON."""

    delimiter = b"\n"
    MAX_LENGTH = WATCH_LINE_LIMIT_BYTES

    def __init__(self, watch: "EtcdWatch"):
        self._watch = watch

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        self._watch.handle_line(line)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        self._watch.handle_end()


class EtcdWatch(Watch):
    """A watch over one streaming HTTP response.

    :param on_events: called with each batch of changes.
    :param on_end: called once if the stream ends other than by :meth:`stop`.
    """

    def __init__(
        self,
        *,
        on_events: Callable[[list[WatchEvent]], None],
        on_end: Callable[[], None],
    ):
        self._on_events = on_events
        self._on_end = on_end
        self._call: defer.Deferred[Any] | None = None
        self._transport: Any = None
        self._ended = False

    async def run(self, agent: Agent, url: str, body: bytes) -> None:
        """Open the stream; return when the response headers have arrived."""
        self._call = agent_call = treq.post(
            url, data=body, agent=agent, unbuffered=True
        )
        try:
            response = await agent_call
        except AGENT_ERRORS:
            self.handle_end()
            return
        if response.code != 200 or self._ended:
            response.original.deliverBody(_WatchReader(self))
            self.handle_end()
            return
        reader = _WatchReader(self)
        response.original.deliverBody(reader)
        self._transport = reader.transport

    def handle_line(self, line: bytes) -> None:
        """Decode one line of the stream and report its events."""
        if self._ended:
            return
        try:
            events = self._events_from(json.loads(line))
        except (ValueError, KeyError, TypeError):
            self.handle_end()
            return
        if events:
            self._on_events(events)

    @staticmethod
    def _events_from(document: dict[str, Any]) -> list[WatchEvent]:
        events = []
        for event in document["result"].get("events", []):
            entry = _entry_from(event["kv"])
            deleted = event.get("type") == "DELETE"
            events.append(
                WatchEvent(
                    key=entry.key,
                    entry=None if deleted else entry,
                    revision=entry.version,
                )
            )
        return events

    def handle_end(self) -> None:
        """Report the end of the stream, once."""
        if self._ended:
            return
        self._close()
        self._on_end()

    def stop(self) -> None:
        """End the watch without calling ``on_end``."""
        if not self._ended:
            self._close()

    def _close(self) -> None:
        self._ended = True
        if self._transport is not None:
            self._transport.loseConnection()
        elif self._call is not None:
            self._call.cancel()


class EtcdStore(KeyValueStore):
    """Client of an etcd v3 JSON gateway.

    :param base_url: such as ``http://127.0.0.1:2379``.
    """

    def __init__(self, reactor: IReactorTime, base_url: str):
        self._client = JsonHttpClient(
            reactor, base_url, timeout_s=CALL_TIMEOUT_S, make_error=_unavailable
        )
        self._watch_agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S)
        self._base_url = base_url

    async def _post(self, path: str, document: dict[str, Any]) -> dict[str, Any]:
        body = json.dumps(document).encode()
        status, answer = await self._client.call("POST", path, body=body)
        try:
            result = json.loads(answer)
        except ValueError as failure:
            raise _unavailable("malformed answer") from failure
        if status == 404:
            raise NotFoundError(str(result.get("message", "not found")))
        if status != 200:
            raise _unavailable(f"status {status}")
        return result

    async def get(self, key: str) -> Entry | None:
        """See :meth:`KeyValueStore.get`."""
        result = await self._post("/v3/kv/range", {"key": encode(key)})
        found = result.get("kvs", [])
        return _entry_from(found[0]) if found else None

    async def list_prefix(self, prefix: str) -> Listing:
        """See :meth:`KeyValueStore.list_prefix`."""
        result = await self._post(
            "/v3/kv/range",
            {"key": encode(prefix), "range_end": encode(prefix_end(prefix))},
        )
        entries = [_entry_from(document) for document in result.get("kvs", [])]
        return Listing(
            revision=int(result["header"]["revision"]),
            entries_by_key={entry.key: entry for entry in entries},
        )

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int | None = None,
        lease_id: LeaseId = LeaseId(0),
    ) -> int:
        """See :meth:`KeyValueStore.put`."""
        if len(value) > VALUE_LIMIT_BYTES:
            raise ValueTooLargeError(
                f"value of {key} has {len(value)} bytes; at most "
                f"{VALUE_LIMIT_BYTES} are allowed"
            )
        request = {
            "key": encode(key),
            "value": encode(value),
            "lease": str(lease_id),
        }
        return await self._transact(key, {"request_put": request}, expected_version)

    async def delete(self, key: str, *, expected_version: int | None = None) -> None:
        """See :meth:`KeyValueStore.delete`."""
        request = {"request_delete_range": {"key": encode(key)}}
        await self._transact(key, request, expected_version)

    async def _transact(
        self, key: str, operation: dict[str, Any], expected_version: int | None
    ) -> int:
        compare = []
        if expected_version is not None:
            compare.append(
                {
                    "key": encode(key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(expected_version),
                }
            )
        result = await self._post(
            "/v3/kv/txn",
            {
                "compare": compare,
                "success": [operation],
                "failure": [{"request_range": {"key": encode(key)}}],
            },
        )
        if result.get("succeeded"):
            return int(result["header"]["revision"])
        kvs = result["responses"][0]["response_range"].get("kvs", [])
        actual = int(kvs[0]["mod_revision"]) if kvs else 0
        raise VersionConflictError(
            f"key {key} has version {actual}, expected {expected_version}",
            actual_version=actual,
        )

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """See :meth:`KeyValueStore.grant_lease`; rounded up to whole seconds."""
        result = await self._post("/v3/lease/grant", {"TTL": str(math.ceil(ttl_s))})
        return LeaseId(int(result["ID"]))

    async def keep_alive(self, lease_id: LeaseId) -> None:
        """See :meth:`KeyValueStore.keep_alive`."""
        result = await self._post("/v3/lease/keepalive", {"ID": str(lease_id)})
        if int(result["result"].get("TTL", "0")) <= 0:
            raise NotFoundError(f"lease {lease_id} has expired")

    async def revoke_lease(self, lease_id: LeaseId) -> None:
        """See :meth:`KeyValueStore.revoke_lease`."""
        await self._post("/v3/lease/revoke", {"ID": str(lease_id)})

    def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        on_events: Callable[[list[WatchEvent]], None],
        on_end: Callable[[], None],
    ) -> EtcdWatch:
        """See :meth:`KeyValueStore.watch`."""
        request = {
            "create_request": {
                "key": encode(prefix),
                "range_end": encode(prefix_end(prefix)),
                "start_revision": str(after_revision + 1),
            }
        }
        watch = EtcdWatch(on_events=on_events, on_end=on_end)
        body = json.dumps(request).encode()
        defer.ensureDeferred(
            watch.run(self._watch_agent, self._base_url + "/v3/watch", body)
        )
        return watch

    async def close(self) -> None:
        """Close idle connections."""
        await self._client.close()
