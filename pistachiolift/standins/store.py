"""Stand-in for the key-value store: the JSON gateway of etcd v3 in memory.

Implements the calls that :class:`pistachiolift.backends.EtcdStore` uses. It counts the
calls, and injects the faults of a :class:`StoreFaults` sent to ``POST /faults``.
"""

import base64
import json
from collections import Counter
from enum import Enum
from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.http import Request

from ..common import Clock, SystemClock, decode_json, encode_json

__all__ = ["MemoryStore", "StoreFaultMode", "StoreFaults", "StoreStandin"]

REQUEST_LIMIT_BYTES = 4 * 1024 * 1024


class StoreFaultMode(Enum):
    """Kinds of faults of the store."""

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"


class StoreFaults(msgspec.Struct, frozen=True, kw_only=True):
    """A fault to inject.

    :param delay_s: delay of each answer in mode ``SLOW``, in seconds.
    :param every: in mode ``LOSE_ANSWERS``, the answer to every nth write is lost.
    """

    mode: StoreFaultMode = StoreFaultMode.NONE
    delay_s: float = 0.0
    every: int = 1


class _Record:
    """The value and revisions of one key."""

    __slots__ = ("create_revision", "lease", "mod_revision", "value", "version")

    def __init__(self, value: str, revision: int, lease: int):
        self.value = value
        self.create_revision = revision
        self.mod_revision = revision
        self.version = 1
        self.lease = lease


class MemoryStore:
    """Keys, leases and revisions; values stay in the API's base64 encoding.

    :param clock: determines when leases expire.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self.revision = 1
        self._records_by_key: dict[str, _Record] = {}
        self._ttl_by_lease: dict[int, float] = {}
        self._expiry_by_lease: dict[int, float] = {}
        self._next_lease = 1000
        self.listeners: list[Any] = []
        self.history: list[dict[str, Any]] = []

    def document(self, key: str) -> dict[str, str]:
        """Return the API's document of a key."""
        record = self._records_by_key[key]
        return {
            "key": base64.b64encode(key.encode()).decode(),
            "value": record.value,
            "create_revision": str(record.create_revision),
            "mod_revision": str(record.mod_revision),
            "version": str(record.version),
            "lease": str(record.lease),
        }

    def range(self, key: str, range_end: str | None) -> list[dict[str, str]]:
        """Return the documents of a key or of a key range."""
        self.expire_leases()
        if range_end is None:
            return [self.document(key)] if key in self._records_by_key else []
        keys = sorted(k for k in self._records_by_key if key <= k < range_end)
        return [self.document(k) for k in keys]

    def mod_revision(self, key: str) -> int:
        """Return the revision of a key's last change, 0 if the key does not exist."""
        record = self._records_by_key.get(key)
        return record.mod_revision if record else 0

    def lease_exists(self, lease: int) -> bool:
        """Whether a lease exists and has not expired."""
        self.expire_leases()
        return lease in self._expiry_by_lease

    def put(self, key: str, value: str, lease: int) -> None:
        """Write a key."""
        self.revision += 1
        record = self._records_by_key.get(key)
        if record is None:
            self._records_by_key[key] = _Record(value, self.revision, lease)
        else:
            record.value = value
            record.lease = lease
            record.mod_revision = self.revision
            record.version += 1
        self._publish({"type": "PUT", "kv": self.document(key)}, key)

    def delete(self, key: str) -> None:
        """Delete a key if it exists."""
        if self._records_by_key.pop(key, None) is None:
            return
        self.revision += 1
        document = {
            "key": base64.b64encode(key.encode()).decode(),
            "mod_revision": str(self.revision),
        }
        self._publish({"type": "DELETE", "kv": document}, key)

    def _publish(self, event: dict[str, Any], key: str) -> None:
        self.history.append({"key": key, "revision": self.revision, "event": event})
        for listener in list(self.listeners):
            listener(key, event)

    def grant(self, ttl_s: float) -> int:
        """Create a lease and return its identifier."""
        self._next_lease += 1
        self._ttl_by_lease[self._next_lease] = ttl_s
        self._expiry_by_lease[self._next_lease] = self._clock.monotonic_s() + ttl_s
        return self._next_lease

    def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its time to live in seconds, 0 if it has expired."""
        if not self.lease_exists(lease):
            return 0.0
        ttl_s = self._ttl_by_lease[lease]
        self._expiry_by_lease[lease] = self._clock.monotonic_s() + ttl_s
        return ttl_s

    def revoke(self, lease: int) -> None:
        """Revoke a lease and delete its keys."""
        self._expiry_by_lease.pop(lease, None)
        self._ttl_by_lease.pop(lease, None)
        for key in [k for k, r in self._records_by_key.items() if r.lease == lease]:
            self.delete(key)

    def expire_leases(self) -> None:
        """Revoke the leases whose time to live has passed."""
        now_s = self._clock.monotonic_s()
        for lease in [x for x, t in self._expiry_by_lease.items() if t <= now_s]:
            self.revoke(lease)


class StoreStandin:
    """The HTTP interface of a :class:`MemoryStore`.

    :param reactor: Twisted's reactor.
    """

    app = Klein()

    def __init__(self, reactor: IReactorTime, *, clock: Clock | None = None):
        self._reactor = reactor
        self.store = MemoryStore(clock or SystemClock())
        self.faults = StoreFaults()
        self.calls_by_name: Counter[str] = Counter()
        self._writes = 0
        self._watchers: list[tuple[str, str, Request]] = []
        self.store.listeners.append(self._forward)
        self._sweep()

    def _sweep(self) -> None:
        self.store.expire_leases()
        self._reactor.callLater(0.1, self._sweep)

    def _forward(self, key: str, event: dict[str, Any]) -> None:
        for start, end, request in list(self._watchers):
            if start <= key < end:
                self._write_events(request, [event])

    def _write_events(self, request: Request, events: list[dict[str, Any]]) -> None:
        line = {
            "result": {
                "header": {"revision": str(self.store.revision)},
                "events": events,
            }
        }
        request.write(json.dumps(line).encode() + b"\n")

    async def _answer(
        self, request: Request, name: str, handle: Any, *, write: bool = False
    ) -> Any:
        if self.faults.mode is StoreFaultMode.DOWN:
            self._abort_connection(request)
            return await Deferred()
        self.calls_by_name[name] += 1
        document = json.loads(request.content.read(REQUEST_LIMIT_BYTES))
        if self.faults.mode is StoreFaultMode.SLOW:
            await deferLater(self._reactor, self.faults.delay_s)
        result = handle(document)
        if write and self.faults.mode is StoreFaultMode.LOSE_ANSWERS:
            self._writes += 1
            if self._writes % self.faults.every == 0:
                self._abort_connection(request)
                return await Deferred()
        result["header"] = {"revision": str(self.store.revision)}
        request.setHeader("Content-Type", "application/json")
        return json.dumps(result).encode()

    @staticmethod
    def _abort_connection(request: Request) -> None:
        if request.channel is not None:
            request.transport.abortConnection()

    @app.route("/v3/kv/range", methods=["POST"])
    async def range(self, request: Request):
        """Read a key or a range of keys."""
        return await self._answer(request, "range", self._range)

    def _range(self, document: dict[str, Any]) -> dict[str, Any]:
        key, end = self._range_bounds(document)
        found = self.store.range(key, end)
        return {"kvs": found, "count": str(len(found))}

    @staticmethod
    def _range_bounds(document: dict[str, Any]) -> tuple[str, str | None]:
        key = base64.b64decode(document["key"]).decode()
        end = document.get("range_end")
        return key, base64.b64decode(end).decode() if end else None

    @app.route("/v3/kv/txn", methods=["POST"])
    async def transact(self, request: Request):
        """Compare versions, then write if they match or else read."""
        return await self._answer(request, "txn", self._transact, write=True)

    def _transact(self, document: dict[str, Any]) -> dict[str, Any]:
        self.store.expire_leases()
        succeeded = all(self._matches(c) for c in document.get("compare", []))
        operations = document["success" if succeeded else "failure"]
        responses = [self._execute(operation) for operation in operations]
        return {"succeeded": succeeded, "responses": responses}

    def _matches(self, compare: dict[str, Any]) -> bool:
        key = base64.b64decode(compare["key"]).decode()
        return self.store.mod_revision(key) == int(compare["mod_revision"])

    def _execute(self, operation: dict[str, Any]) -> dict[str, Any]:
        if "request_range" in operation:
            return {"response_range": self._range(operation["request_range"])}
        if "request_put" in operation:
            put = operation["request_put"]
            key = base64.b64decode(put["key"]).decode()
            self.store.put(key, put["value"], int(put.get("lease", "0")))
            return {"response_put": {}}
        deletion = operation["request_delete_range"]
        self.store.delete(base64.b64decode(deletion["key"]).decode())
        return {"response_delete_range": {}}

    @app.route("/v3/lease/grant", methods=["POST"])
    async def grant_lease(self, request: Request):
        """Create a lease."""
        return await self._answer(
            request,
            "lease_grant",
            lambda d: {"ID": str(self.store.grant(float(d["TTL"]))), "TTL": d["TTL"]},
            write=True,
        )

    @app.route("/v3/lease/keepalive", methods=["POST"])
    async def keep_alive(self, request: Request):
        """Renew a lease."""

        def handle(document: dict[str, Any]) -> dict[str, Any]:
            ttl_s = self.store.keep_alive(int(document["ID"]))
            return {"result": {"ID": document["ID"], "TTL": str(int(ttl_s))}}

        return await self._answer(request, "lease_keepalive", handle, write=True)

    @app.route("/v3/lease/revoke", methods=["POST"])
    async def revoke_lease(self, request: Request):
        """Revoke a lease."""

        def handle(document: dict[str, Any]) -> dict[str, Any]:
            self.store.revoke(int(document["ID"]))
            return {}

        return await self._answer(request, "lease_revoke", handle, write=True)

    @app.route("/v3/watch", methods=["POST"])
    def watch(self, request: Request):
        """Stream the changes of a range of keys."""
        if self.faults.mode is StoreFaultMode.DOWN:
            self._abort_connection(request)
            return Deferred()
        self.calls_by_name["watch"] += 1
        create = json.loads(request.content.read())["create_request"]
        start, end = self._range_bounds(create)
        since = int(create.get("start_revision", "0"))
        watcher = (start, end or start + "\0", request)
        missed = [
            item["event"]
            for item in self.store.history
            if item["revision"] >= since and start <= item["key"] < watcher[1]
        ]
        self._write_events(request, missed)
        self._watchers.append(watcher)
        request.notifyFinish().addBoth(lambda _: self._watchers.remove(watcher))
        # klein would end the response if the handler returned, so this never fires.
        return Deferred()

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Request):
        """Set the fault to inject; mode ``DOWN`` also aborts the active watches."""
        data = request.content.read()
        self.faults = decode_json(data, StoreFaults, limit_bytes=1000)
        if self.faults.mode is StoreFaultMode.DOWN:
            for _, _, watching in list(self._watchers):
                self._abort_connection(watching)
        return b"{}"

    @app.route("/counts", methods=["GET"])
    def counts(self, request: Request):
        """Return the number of calls by name and of active watches."""
        return encode_json({**self.calls_by_name, "watching": len(self._watchers)})
