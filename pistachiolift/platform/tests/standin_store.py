"""A stand-in for the platform's key-value store, in memory."""

import base64
import itertools
import json
import time

from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred

HISTORY = 5_000


class StandinStore:
    """A subset of the platform's store: keys, transactions, leases and changes."""

    def __init__(self):
        self.items: dict[str, dict] = {}
        self.revision = 10
        self.events: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.down = False
        self.calls = 0
        self._lease_ids = itertools.count(1)
        self._waiters: list[tuple[str, int, Deferred]] = []
        reactor.callLater(0.05, self._expire)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key as the operator or a worker does."""
        self.revision += 1
        self._put(key, base64.b64encode(value).decode(), lease)
        self._wake()

    def _put(self, key: str, value: str, lease: int) -> None:
        created = self.items.get(key, {}).get("CreateRev", self.revision)
        item = {
            "Key": key,
            "Value": value,
            "Revision": self.revision,
            "CreateRev": created,
            "Lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            event = {"Key": key, "Revision": self.revision, "Deleted": True}
            self.events.append(event)

    def _wake(self) -> None:
        del self.events[:-HISTORY]
        waiters, self._waiters = self._waiters, []
        for prefix, after, waiter in waiters:
            if any(self._after(prefix, after)):
                waiter.callback(None)
            else:
                self._waiters.append((prefix, after, waiter))

    def _after(self, prefix: str, after: int) -> list[dict]:
        return [
            event
            for event in self.events
            if event["Revision"] > after and event["Key"].startswith(prefix)
        ]

    def _expire(self) -> None:
        reactor.callLater(0.05, self._expire)
        now = time.monotonic()
        for lease, (end, _) in list(self.leases.items()):
            if now > end:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        gone = [key for key, item in self.items.items() if item["Lease"] == lease]
        if gone:
            self.revision += 1
            for key in gone:
                self._remove(key)
            self._wake()

    def app(self) -> Klein:
        """Return the HTTP application."""
        app = Klein()

        def answer(request, body, status=200):
            request.setResponseCode(status)
            request.setHeader("Content-Type", "application/json")
            return json.dumps(body).encode()

        def argument(request, name, default=""):
            return request.args.get(name.encode(), [default.encode()])[0].decode()

        def available(request) -> bool:
            self.calls += 1
            if self.down:
                request.setResponseCode(503)
            return not self.down

        @app.route("/api/kv-key")
        def get(request):
            if not available(request):
                return b""
            item = self.items.get(argument(request, "Key"))
            if item is None:
                return answer(request, {"CurrentRev": self.revision}, 404)
            return answer(request, {**item, "CurrentRev": self.revision})

        @app.route("/api/kv-range")
        def list_range(request):
            if not available(request):
                return b""
            prefix, after = argument(request, "Prefix"), argument(request, "After")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[:500]]
            body = {
                "items": page,
                "Truncated": len(keys) > 500,
                "CurrentRev": self.revision,
            }
            return answer(request, body)

        @app.route("/api/kv-watch")
        async def watch(request):
            if not available(request):
                return b""
            prefix = argument(request, "Prefix")
            after = int(argument(request, "After"))
            wait_s = int(argument(request, "WaitMs", "0")) / 1000
            if not self._after(prefix, after) and wait_s:
                waiter = Deferred()
                self._waiters.append((prefix, after, waiter))
                waiter.addTimeout(wait_s, reactor, lambda *_: None)
                await waiter
                self._waiters = [w for w in self._waiters if w[2] is not waiter]
            events = self._after(prefix, after)
            return answer(request, {"events": events, "CurrentRev": self.revision})

        @app.route("/api/kv-txn", methods=["POST"])
        def transact(request):
            if not available(request):
                return b""
            body = json.loads(request.content.read())
            rows = body.get("ExpectedRev", [])
            current = {
                row["Key"]: self.items.get(row["Key"], {"Key": row["Key"]})
                for row in rows
            }
            if any(current[r["Key"]].get("Revision", 0) != r["Revision"] for r in rows):
                items = [{"Revision": 0, **item} for item in current.values()]
                return answer(request, {"items": items}, 412)
            puts = body.get("Puts", [])
            if any(p.get("Lease") and p["Lease"] not in self.leases for p in puts):
                return answer(request, {}, 404)
            assert len(rows) + len(puts) + len(body.get("Remove", [])) <= 32
            self.revision += 1
            for put in puts:
                self._put(put["Key"], put["Value"], put.get("Lease", 0))
            for key in body.get("Remove", []):
                self._remove(key)
            self._wake()
            return answer(request, {"Revision": self.revision})

        @app.route("/api/kv-lease", methods=["POST"])
        def grant(request):
            if not available(request):
                return b""
            ttl = json.loads(request.content.read())["TtlMs"]
            lease = next(self._lease_ids)
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl / 1000)
            return answer(request, {"Lease": lease, "TtlMs": ttl})

        @app.route("/api/kv-keep/<int:lease>", methods=["POST"])
        def keep(request, lease):
            if not available(request):
                return b""
            if lease not in self.leases:
                return answer(request, {}, 404)
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return answer(request, {"TtlMs": int(ttl_s * 1000)})

        @app.route("/api/kv-lease-end/<int:lease>", methods=["DELETE"])
        def end(request, lease):
            if not available(request):
                return b""
            self.end_lease(lease)
            return answer(request, {})

        return app
