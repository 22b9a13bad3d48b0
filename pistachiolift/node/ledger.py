"""The owner's write-ahead ledger in the platform's store."""

import logging
from collections.abc import Callable
from enum import Enum

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from ..common import Clock, Metrics, StoreUnavailableError, log_event
from ..workflows import LedgerRecord, decode_batch, encode_batch
from .background import run_in_background
from .interfaces import (
    CoordinationStore,
    Put,
    StoreTurnedAwayError,
    TransactionConflictError,
)
from .partition_map import PartitionKeys

__all__ = ["Ledger", "commit_interval_s", "read_ledger"]

logger = logging.getLogger(__name__)

# Shortest time between the starts of two writes. This allows 67 writes per second, a
# sixth of the rate that the platform grants to all instances of a small cell together.
COMMIT_INTERVAL_S = 0.015
# Share of the store's write rate that the ledgers of all partitions may use together.
LEDGER_SHARE = 0.5
# Shortest time between two attempts at a write.
RETRY_INTERVAL_S = 0.1

# A larger batch is split, so that its value, as base64 text, fits the store's limit.
BATCH_LIMIT_BYTES = 500_000
BATCH_LIMIT_RECORDS = 2_000

# The ledger is compacted above this number of values, because a new owner reads all of
# them, page by page. At the highest commit rate the oldest value is 9 s old by then. A
# write whose answer was lost may be carried out up to 6 s late; its key must still
# exist by then, or the write would be applied a second time.
COMPACT_ABOVE_VALUES = 600
# Number of values that are merged into one; a transaction is limited to 32 entries.
COMPACT_VALUES = 24


def commit_interval_s(partitions: int, store_writes_per_s: float) -> float:
    """Return the shortest time between the starts of two writes of a ledger.

    :param partitions: number of ledgers that share the store.
    :param store_writes_per_s: write rate that the store allows to all of them together.
    """
    return max(COMMIT_INTERVAL_S, partitions / (LEDGER_SHARE * store_writes_per_s))


class _WriteOutcome(Enum):
    """Outcome of a write."""

    DURABLE = "durable"
    # The store answered every attempt with a rejection and wrote nothing.
    REJECTED = "turned_away"
    # The ledger was closed before the outcome was known.
    UNKNOWN = "unknown"


class Ledger:
    """Appends records with group commit, one write at a time.

    :param keys: keys of the partition.
    :param fence: version of the claim under which this owner writes.
    :param interval_s: returns the shortest time between two writes, in seconds.
    :param on_durable: called with the number of records that have become durable.
    :param on_superseded: called once when another owner has claimed the partition.
    :param on_failed_call: called when a write was rejected or not answered.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        store: CoordinationStore,
        *,
        clock: Clock,
        metrics: Metrics,
        keys: PartitionKeys,
        fence: int,
        interval_s: Callable[[], float],
        on_durable: Callable[[int], None],
        on_superseded: Callable[[], None],
        on_failed_call: Callable[[], None],
    ):
        self._reactor = reactor
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._partition_keys = keys
        self.fence = fence
        self._interval_s = interval_s
        self._on_durable = on_durable
        self._on_superseded = on_superseded
        self._on_failed_call = on_failed_call
        self._queue: list[LedgerRecord] = []
        self._sequence = 0
        self._writing = False
        self._closed = False
        self._failing_since_s: float | None = None
        self._write_started_s: float | None = None
        self._in_flight = 0
        self._waiters: list[tuple[int, Deferred]] = []
        self._durable_count = 0
        self._compact: Callable[[list[LedgerRecord]], list[LedgerRecord]] | None = None
        self._keys: list[str] = []
        self._records_by_key: dict[str, list[LedgerRecord]] = {}
        self.last_contact_s = clock.monotonic_s()

    def adopt(
        self,
        records_by_key: dict[str, list[LedgerRecord]],
        compact: Callable[[list[LedgerRecord]], list[LedgerRecord]],
    ) -> None:
        """Continue an existing ledger.

        :param records_by_key: its records by key, in order.
        :param compact: returns the records to keep of the oldest ones.
        """
        self._records_by_key = records_by_key
        self._keys = sorted(records_by_key)
        self._compact = compact

    @property
    def stalled_s(self) -> float:
        """Seconds since the first attempt at the current write; 0 if there is none."""
        if self._write_started_s is None:
            return 0.0
        return self._clock.monotonic_s() - self._write_started_s

    def append(self, records: list[LedgerRecord]) -> None:
        """Queue records for writing."""
        self._queue += records
        if not self._writing and not self._closed and self._queue:
            self._writing = True
            run_in_background(
                self._write_all(),
                logger=logger,
                event="ledger_failed",
                on_failure=self._supersede,
            )

    def replace_unsent(self, replace: Callable[[LedgerRecord], LedgerRecord]) -> None:
        """Replace the queued records that are not part of a write in flight.

        Such records are not in the store, and no earlier write can bring them there.
        """
        self._queue[self._in_flight :] = [
            replace(r) for r in self._queue[self._in_flight :]
        ]

    def when_durable(self, number: int) -> Deferred:
        """Wait until a number of records is durable.

        :param number: number of records since the owner's recovery.
        :returns: fires with ``True``, or with ``False`` if the ledger is closed first.
        """
        result: Deferred = Deferred()
        if number <= self._durable_count:
            result.callback(True)
        elif self._closed:
            result.callback(False)
        else:
            self._waiters.append((number, result))
        return result

    async def _write_all(self) -> None:
        try:
            while self._queue and not self._closed:
                begun_s = self._clock.monotonic_s()
                await self._write_batch()
                pause_s = self._interval_s() - (self._clock.monotonic_s() - begun_s)
                if pause_s > 0:
                    await deferLater(self._reactor, pause_s)
        finally:
            self._writing = False

    async def _write_batch(self) -> None:
        batch = self._queue[:BATCH_LIMIT_RECORDS]
        value = encode_batch(batch)
        while len(value) > BATCH_LIMIT_BYTES and len(batch) > 1:
            batch = batch[: len(batch) // 2]
            value = encode_batch(batch)
        removes, kept = self._plan_compaction()
        if kept:
            value = encode_batch(kept + batch)
        self._sequence += 1
        key = f"{self._partition_keys.log_prefix}{self.fence:015d}-{self._sequence:09d}"
        if self._write_started_s is None:
            self._write_started_s = self._clock.monotonic_s()
        self._in_flight = len(batch)
        outcome = await self._write(key, value, removes)
        self._in_flight = 0
        if outcome is _WriteOutcome.REJECTED:
            # The batch is rebuilt, since its records may be replaced meanwhile.
            await deferLater(self._reactor, RETRY_INTERVAL_S)
            return
        self._write_started_s = None
        if outcome is _WriteOutcome.UNKNOWN:
            return
        del self._queue[: len(batch)]
        for old in removes:
            self._records_by_key.pop(old, None)
        del self._keys[: len(removes)]
        self._keys.append(key)
        self._records_by_key[key] = kept + batch
        self._metrics.count("ledger.commits")
        self._metrics.count("ledger.bytes", len(value))
        self._durable_count += len(batch)
        self._on_durable(len(batch))
        self._notify_waiters()

    def _plan_compaction(self) -> tuple[tuple[str, ...], list[LedgerRecord]]:
        """Return the oldest keys to remove, and the records of theirs to keep."""
        if self._compact is None or len(self._keys) <= COMPACT_ABOVE_VALUES:
            return (), []
        keys = tuple(self._keys[:COMPACT_VALUES])
        old = [record for key in keys for record in self._records_by_key[key]]
        kept = self._compact(old)
        if len(encode_batch(kept)) > BATCH_LIMIT_BYTES:
            return (), []
        return keys, kept

    async def _write(
        self, key: str, value: bytes, removes: tuple[str, ...]
    ) -> _WriteOutcome:
        """Write one value, and repeat the write until its outcome is known."""
        claim_key = self._partition_keys.claim
        may_take_effect = False
        while not self._closed:
            sent_s = self._clock.monotonic_s()
            try:
                await self._store.transact(
                    expected={claim_key: self.fence, key: 0},
                    puts={key: Put(value)},
                    removes=removes,
                )
            except TransactionConflictError as error:
                if error.versions_by_key.get(claim_key) != self.fence:
                    self._supersede()
                    return _WriteOutcome.UNKNOWN
                if error.versions_by_key.get(key):
                    # Only this owner writes the key, so an earlier attempt succeeded.
                    self._record_contact(sent_s)
                    return _WriteOutcome.DURABLE
                # This owner has claimed again since the write was sent.
                self._metrics.count("ledger.claim_renewed")
                continue
            except StoreUnavailableError as error:
                self._record_failed_write(error)
                if not isinstance(error, StoreTurnedAwayError):
                    may_take_effect = True
                if not may_take_effect:
                    return _WriteOutcome.REJECTED
                waited_s = self._clock.monotonic_s() - sent_s
                await deferLater(self._reactor, max(0.0, RETRY_INTERVAL_S - waited_s))
                continue
            self._record_contact(sent_s)
            return _WriteOutcome.DURABLE
        return _WriteOutcome.UNKNOWN

    def _record_contact(self, sent_s: float) -> None:
        self.last_contact_s = max(self.last_contact_s, sent_s)
        if self._failing_since_s is not None:
            outage_s = self._clock.monotonic_s() - self._failing_since_s
            log_event(logger, "ledger_regained", outage_s=outage_s)
            self._failing_since_s = None

    def _record_failed_write(self, error: StoreUnavailableError) -> None:
        self._on_failed_call()
        self._metrics.count("ledger.write_failed")
        if self._failing_since_s is None:
            self._failing_since_s = self._clock.monotonic_s()
            log_event(logger, "ledger_lost", reason=error.message)

    def _supersede(self) -> None:
        log_event(logger, "ledger_superseded", fence=self.fence)
        self.close()
        self._on_superseded()

    def _notify_waiters(self) -> None:
        ready = [waiter for waiter in self._waiters if waiter[0] <= self._durable_count]
        self._waiters = [
            waiter for waiter in self._waiters if waiter[0] > self._durable_count
        ]
        for _, result in ready:
            result.callback(True)

    def close(self) -> None:
        """Stop writing, and notify all waiters that their records are not durable."""
        self._closed = True
        waiters, self._waiters = self._waiters, []
        for _, result in waiters:
            result.callback(False)


async def read_ledger(
    store: CoordinationStore, keys: PartitionKeys
) -> dict[str, list[LedgerRecord]]:
    """Return the records of the ledger by key, in order.

    A value that cannot be decoded is skipped and logged.
    """
    listing = await store.list_prefix(keys.log_prefix)
    records: dict[str, list[LedgerRecord]] = {}
    for key in sorted(listing.entries_by_key):
        try:
            records[key] = decode_batch(listing.entries_by_key[key].value)
        except msgspec.MsgspecError as error:
            log_event(
                logger,
                "ledger_value_skipped",
                level=logging.ERROR,
                key=key,
                reason=str(error)[:200],
            )
    return records
