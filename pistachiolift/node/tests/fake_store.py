"""An in-memory store for tests in virtual time."""

from twisted.internet.defer import Deferred

from pistachiolift.backends import Entry, LeaseId, Listing, WatchEvent
from pistachiolift.common import StoreUnavailableError
from pistachiolift.node.interfaces import (
    Changes,
    CoordinationStore,
    LeaseEndedError,
    StoreTurnedAwayError,
    TransactionConflictError,
)


class FakeStore(CoordinationStore):
    """Answers at once; can be down, reject calls, or lose the answers of writes."""

    def __init__(self):
        self.entries: dict[str, Entry] = {}
        self.revision = 10
        self.leases: set[int] = set()
        self.down = False
        self.rejects_calls = False
        self.lost_answers = 0
        self.writes = 0
        self.before_transact = lambda: None
        self._events: list[WatchEvent] = []
        self._waiting: list[tuple[str, int, Deferred]] = []
        self._next_lease = 1

    def _check(self) -> None:
        if self.rejects_calls:
            raise StoreTurnedAwayError("store is busy")
        if self.down:
            raise StoreUnavailableError("store is down")

    async def get(self, key):
        self._check()
        return self.entries.get(key)

    async def list_prefix(self, prefix):
        self._check()
        found = {k: e for k, e in self.entries.items() if k.startswith(prefix)}
        return Listing(self.revision, found)

    async def changes(self, prefix, *, after_revision, wait_s):
        self._check()
        events = self._after(prefix, after_revision)
        if not events:
            waiter = Deferred()
            self._waiting.append((prefix, after_revision, waiter))
            await waiter
            self._check()
            events = self._after(prefix, after_revision)
        return Changes(events, self.revision)

    def _after(self, prefix, revision):
        return [
            event
            for event in self._events
            if event.revision > revision and event.key.startswith(prefix)
        ]

    def wake(self) -> None:
        """Make all waiting watch calls return."""
        waiting, self._waiting = self._waiting, []
        for _, _, waiter in waiting:
            waiter.callback(None)

    def _wake_matching(self) -> None:
        waiting, self._waiting = self._waiting, []
        for prefix, after, waiter in waiting:
            if self._after(prefix, after):
                waiter.callback(None)
            else:
                self._waiting.append((prefix, after, waiter))

    async def transact(self, *, expected, puts, removes=()):
        self._check()
        self.before_transact()
        versions = {
            key: self.entries[key].version if key in self.entries else 0
            for key in expected
        }
        if versions != dict(expected):
            raise TransactionConflictError("changed", versions_by_key=versions)
        if any(p.lease_id and p.lease_id not in self.leases for p in puts.values()):
            raise LeaseEndedError("lease has ended")
        self.revision += 1
        self.writes += 1
        for key, put in puts.items():
            self.entries[key] = Entry(key, put.value, self.revision, put.lease_id)
            self._events.append(WatchEvent(key, self.entries[key], self.revision))
        for key in removes:
            if self.entries.pop(key, None) is not None:
                self._events.append(WatchEvent(key, None, self.revision))
        self._wake_matching()
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreUnavailableError("answer lost")
        return self.revision

    async def grant_lease(self, ttl_s):
        self._check()
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        self.leases.add(lease)
        return LeaseId(lease)

    async def keep_alive(self, lease_id):
        self._check()
        if lease_id not in self.leases:
            raise LeaseEndedError("lease has ended")

    async def revoke_lease(self, lease_id):
        self._check()
        self.lapse(lease_id)

    def lapse(self, lease_id) -> None:
        """End a lease and delete its keys."""
        self.leases.discard(lease_id)
        gone = [k for k, e in self.entries.items() if e.lease_id == lease_id]
        if gone:
            self.revision += 1
        for key in gone:
            del self.entries[key]
            self._events.append(WatchEvent(key, None, self.revision))
        self._wake_matching()

    async def close(self):
        pass
