"""Stand-in of the platform's store, as PROTOCOL.md describes it, and of its writers.

Arguments: port. Calls under ``/standin/`` belong to the test: they write as the
operator or an executor does, and set how long answers take.
"""

import asyncio
import base64
import sys
import time

from http_server import Request, serve

ANSWER_S = 0.004
HEARTBEAT_S = 1.5
MAX_ENTRIES = 32


class Store:
    """Keys, leases and changes, in memory."""

    def __init__(self):
        self.items: dict[str, dict] = {}
        self.revision = 10
        self.events: list[dict] = []
        self.leases: dict[int, list[float]] = {}
        self.next_lease = 1
        self.factor = 1.0
        self.changed = asyncio.Condition()
        self.beats: dict[str, float] = {}

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Write one key at the current revision."""
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

    def remove(self, key: str) -> None:
        """Delete one key at the current revision."""
        if self.items.pop(key, None) is not None:
            event = {"Key": key, "Revision": self.revision, "Deleted": True}
            self.events.append(event)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        gone = [k for k, item in self.items.items() if item["Lease"] == lease]
        if gone:
            self.revision += 1
            for key in gone:
                self.remove(key)

    def after(self, prefix: str, revision: int) -> list[dict]:
        """Return the changes under a prefix after a revision."""
        return [
            e
            for e in self.events
            if e["Revision"] > revision and e["Key"].startswith(prefix)
        ]

    async def notify(self) -> None:
        """Wake the waiting watches."""
        async with self.changed:
            self.changed.notify_all()

    async def expire(self) -> None:
        """End leases, and remove executors that have been silent for three beats."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            revision = self.revision
            for lease, (end, _) in list(self.leases.items()):
                if now > end:
                    self.end_lease(lease)
            for key, beat in list(self.beats.items()):
                if now - beat > 3 * HEARTBEAT_S:
                    del self.beats[key]
                    self.revision += 1
                    self.remove(key)
            if self.revision != revision:
                await self.notify()

    async def handle(self, request: Request) -> tuple[int, dict | None]:
        """Answer a call."""
        if request.path.startswith("/standin/"):
            return await self.test_call(request)
        renewed = request.path.startswith("/api/kv-keep/")
        if renewed:
            # A lease runs from the arrival of the call.
            lease = int(request.path.rpartition("/")[2])
            if lease in self.leases:
                self.leases[lease][0] = time.monotonic() + self.leases[lease][1]
        if request.path == "/api/kv-watch":
            return await self.watch(request)
        await asyncio.sleep(ANSWER_S * self.factor)
        match request.path:
            case "/api/kv-key":
                item = self.items.get(request.query["Key"])
                return (404, None) if item is None else (200, self.stamped(item))
            case "/api/kv-range":
                return self.list_range(request)
            case "/api/kv-txn":
                return await self.transact(request.json())
            case "/api/kv-lease":
                ttl_s = request.json()["TtlMs"] / 1000
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                self.leases[lease] = [time.monotonic() + ttl_s, ttl_s]
                return 200, {"Lease": lease, "TtlMs": int(ttl_s * 1000)}
        lease = int(request.path.rpartition("/")[2])
        if renewed:
            if lease not in self.leases:
                return 404, None
            return 200, {"TtlMs": int(self.leases[lease][1] * 1000)}
        self.end_lease(lease)
        await self.notify()
        return 200, None

    def stamped(self, item: dict) -> dict:
        """Return an item with the store's revision."""
        return {**item, "CurrentRev": self.revision}

    def list_range(self, request: Request) -> tuple[int, dict]:
        """Return a page of at most 500 items."""
        prefix, after = request.query["Prefix"], request.query.get("After", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:500]]
        return 200, {
            "items": page,
            "Truncated": len(keys) > 500,
            "CurrentRev": self.revision,
        }

    async def watch(self, request: Request) -> tuple[int, dict]:
        """Answer as soon as there is a change, or after the requested wait."""
        prefix, after = request.query["Prefix"], int(request.query["After"])
        end = time.monotonic() + int(request.query.get("WaitMs", "0")) / 1000
        while not self.after(prefix, after) and time.monotonic() < end:
            async with self.changed:
                try:
                    left = max(0.0, end - time.monotonic())
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    break
        await asyncio.sleep(ANSWER_S * self.factor)
        return 200, {"events": self.after(prefix, after), "CurrentRev": self.revision}

    async def transact(self, body: dict) -> tuple[int, dict | None]:
        """Carry out a transaction if its conditions hold."""
        rows, puts = body.get("ExpectedRev", []), body.get("Puts", [])
        removes = body.get("Remove", [])
        if len(rows) + len(puts) + len(removes) > MAX_ENTRIES:
            return 400, None
        current = {
            r["Key"]: self.items.get(r["Key"], {"Key": r["Key"], "Revision": 0})
            for r in rows
        }
        if any(current[r["Key"]]["Revision"] != r["Revision"] for r in rows):
            return 412, {"items": list(current.values())}
        if any(p.get("Lease") and p["Lease"] not in self.leases for p in puts):
            return 404, None
        self.revision += 1
        for put in puts:
            self.put(put["Key"], put["Value"], put.get("Lease", 0))
        for key in removes:
            self.remove(key)
        await self.notify()
        return 200, {"Revision": self.revision}

    async def test_call(self, request: Request) -> tuple[int, dict | None]:
        """Carry out a call of the test, the operator or an executor."""
        if request.path == "/standin/factor":
            self.factor = float(request.json()["factor"])
            return 200, None
        key = request.query["Key"]
        value = base64.b64encode(request.body).decode()
        if key.startswith("servers/"):
            self.beats[key] = time.monotonic()
            known = self.items.get(key)
            if known is not None and known["Value"] == value:
                return 200, None
        self.revision += 1
        self.put(key, value)
        await self.notify()
        return 200, None


async def main() -> None:
    """Run until killed."""
    store = Store()
    expiring = asyncio.create_task(store.expire())
    await serve(int(sys.argv[1]), store.handle)
    await expiring


if __name__ == "__main__":
    asyncio.run(main())
