"""In-memory key-value service with faults, and helpers of the settings tests."""

import random

from pistachiolift.backends import Entry, KeyValueStore, Listing
from pistachiolift.common import (
    ManualClock,
    StoreUnavailableError,
    ValueTooLargeError,
    VersionConflictError,
)
from pistachiolift.settings import Change, Edit, SettingsRepository


class Step:
    """Suspends a coroutine until the scheduler of the test resumes it."""

    def __await__(self):
        yield


class FakeStore(KeyValueStore):
    """Keeps entries in memory; `fault()` chooses the outcome of each call.

    `drop` loses the call and `lose` its answer. `delay` reports a lost answer as well,
    but applies the write when `flush` is called.
    """

    def __init__(self, fault=lambda: "ok"):
        self.entries_by_key = {}
        self.version = 0
        self.calls = 0
        self.fault = fault
        self.delayed = []

    async def _call(self, effect, *, writes):
        self.calls += 1
        await Step()
        outcome = self.fault()
        if outcome == "delay" and writes:
            self.delayed.append(effect)
        answer = effect() if outcome in ("ok", "lose") else None
        await Step()
        if outcome != "ok":
            raise StoreUnavailableError("no answer")
        return answer

    def flush(self):
        while self.delayed:
            try:
                self.delayed.pop(0)()
            except VersionConflictError:
                pass

    async def get(self, key):
        return await self._call(lambda: self.entries_by_key.get(key), writes=False)

    async def put(self, key, value, *, expected_version=None, lease_id=0):
        def effect():
            return self._write(key, value, expected_version)

        return await self._call(effect, writes=True)

    def _write(self, key, value, expected_version):
        present = self.entries_by_key.get(key)
        actual = 0 if present is None else present.version
        if expected_version is not None and expected_version != actual:
            raise VersionConflictError("other version", actual_version=actual)
        if len(value) > 1_000_000:
            raise ValueTooLargeError("value above 1 MB")
        self.version += 1
        self.entries_by_key[key] = Entry(key, value, self.version)
        return self.version

    async def delete(self, key, *, expected_version=None):
        await self._call(lambda: self.entries_by_key.pop(key, None), writes=True)

    async def list_prefix(self, prefix):
        def effect():
            entries = self.entries_by_key.items()
            found = {key: each for key, each in entries if key.startswith(prefix)}
            return Listing(self.version, found)

        return await self._call(effect, writes=False)

    # The repository uses neither watches nor leases.
    watch = grant_lease = keep_alive = revoke_lease = None


def new_repository(store, *, rng=None, repository_class=SettingsRepository):
    clock = ManualClock()

    async def sleep(delay_s):
        clock.advance(delay_s)
        await Step()

    return repository_class(
        store, clock=clock, sleep=sleep, rng=rng or random.Random(1)
    )


def run(coroutine):
    """Run one coroutine to its end."""
    try:
        while True:
            coroutine.send(None)
    except StopIteration as stop:
        return stop.value


def run_all(coroutines, rng):
    """Interleave coroutines in an order that the random generator chooses."""
    waiting = list(coroutines)
    while waiting:
        chosen = rng.choice(waiting)
        try:
            chosen.send(None)
        except StopIteration:
            waiting.remove(chosen)


def make_change(change_id, *edits, base=None):
    """Build a change from the fields of its edits."""
    return Change(
        change_id=change_id,
        author="ada",
        wall_time_s=1.0,
        edits=tuple(Edit(*edit) for edit in edits),
        base_revision=base,
    )
