"""The shares of the customers' caps that the owner of one partition may use.

With one partition, its owner may use the whole caps and makes no call to the store.
Otherwise the shares of each customer are one value, so that owners which change the
shares of different customers do not conflict. An owner reads all of them once a second
and changes those that it wants to change in one transaction.
"""

import logging
from collections.abc import Callable, Iterable
from urllib.parse import quote

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from ..backends import Entry
from ..common import (
    Clock,
    CustomerId,
    CustomerShare,
    Epoch,
    MalformedMessageError,
    Metrics,
    PartitionId,
    QuotaRecord,
    StarvingWork,
    StoreUnavailableError,
    decode_json,
    encode_json,
    log_event,
)
from ..workflows import GraphScheduler, Size
from .background import run_in_background
from .interfaces import (
    CoordinationStore,
    Put,
    StoreTurnedAwayError,
    TransactionConflictError,
)
from .partition_map import PartitionNumber

__all__ = ["CapShares"]

logger = logging.getLogger(__name__)

CAP_SHARE_PREFIX = "pistachiolift/cap-share/"
RECORD_LIMIT_BYTES = 512 * 1024

# At most one write is made in this time.
ROUND_INTERVAL_S = 1.0

# A transaction is limited to 32 entries, and each customer takes two: the condition and
# the value.
MAX_CHANGES = 15


def _key(customer_id: CustomerId) -> str:
    return CAP_SHARE_PREFIX + quote(customer_id, safe="")


class CapShares:
    """Acquires and returns shares of the caps for the scheduler of one partition.

    Until the shares have been read, nothing new of a customer with a cap is started.
    While the store is away, the shares stay as they are.

    :param partitions: returns the number of partitions of the cell.
    :param fence: returns the owner's fencing token.
    :param may_write: returns whether the owner certainly has its authority.
    :param on_changed: called when a limit has been raised.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        store: CoordinationStore,
        *,
        partition: PartitionNumber,
        partitions: Callable[[], int],
        fence: Callable[[], int],
        clock: Clock,
        metrics: Metrics,
        scheduler: GraphScheduler,
        may_write: Callable[[], bool],
        on_changed: Callable[[], None],
    ):
        self._store = store
        self._partition_id = PartitionId(str(partition))
        self._partitions = partitions
        self._fence = fence
        self._clock = clock
        self._metrics = metrics
        self._scheduler = scheduler
        self._caps = scheduler.state.caps
        self._may_write = may_write
        self._on_changed = on_changed
        self._share_by_customer: dict[CustomerId, CustomerShare[Size]] = {}
        self._unread: set[CustomerId] = set()
        # Customers changed last, which come last in the next round.
        self._changed: dict[CustomerId, None] = {}
        self._busy = False
        self._loop = LoopingCall(self._begin_round)
        self._loop.clock = reactor

    def start(self) -> None:
        """Start to read and change the shares, if there are several partitions."""
        if self._partitions() > 1:
            self._apply_limits()
            self._loop.start(ROUND_INTERVAL_S, now=True)

    def close(self) -> None:
        """Stop changing the shares."""
        if self._loop.running:
            self._loop.stop()

    def handle_new_caps(self) -> None:
        """Lower the limits of customers whose shares exceed a lowered cap."""
        if not self._loop.running:
            return
        for customer_id, cap in self._caps.caps_by_customer().items():
            if customer_id in self._share_by_customer:
                self._share_by_customer[customer_id].set_quota(cap)
        self._apply_limits()

    def _apply_limits(self) -> None:
        before = self._caps.limits_by_customer()
        self._caps.set_shares(
            {
                customer_id: share.limit
                for customer_id, share in self._share_by_customer.items()
            }
        )
        for customer_id, limit in self._caps.limits_by_customer().items():
            if not limit.fits_in(before.get(customer_id, limit)):
                self._on_changed()
                return

    def _begin_round(self) -> None:
        if self._busy or not self._may_write() or not self._caps.caps_by_customer():
            return
        self._busy = True
        run_in_background(
            self._run_round(), logger=logger, event="cap_shares_failed"
        ).addBoth(self._end_round)

    def _end_round(self, _result: object) -> None:
        self._busy = False

    async def _run_round(self) -> None:
        try:
            listing = await self._store.list_prefix(CAP_SHARE_PREFIX)
        except StoreUnavailableError:
            self._metrics.count("cap_shares.read_failed")
            return
        if not self._loop.running or not self._may_write():
            return
        changes = {}
        cap_by_customer = self._caps.caps_by_customer()
        for customer_id in self._in_turn(cap_by_customer):
            cap = cap_by_customer[customer_id]
            entry = listing.entries_by_key.get(_key(customer_id))
            record = self._plan(customer_id, cap, entry)
            if record is not None and len(changes) < MAX_CHANGES:
                changes[customer_id] = (0 if entry is None else entry.version, record)
        self._apply_limits()
        if changes:
            await self._write(changes)

    def _in_turn(self, customers: Iterable[CustomerId]) -> list[CustomerId]:
        """Return the customers in order; those that were changed last come last."""
        order = {name: number for number, name in enumerate(self._changed)}
        return sorted(customers, key=lambda name: order.get(name, -1))

    def _plan(
        self, customer_id: CustomerId, cap: Size, entry: Entry | None
    ) -> QuotaRecord[Size] | None:
        """Return the record to write for a customer, or ``None``."""
        share = self._share_by_customer.get(customer_id)
        if share is None:
            share = CustomerShare(self._partition_id, Epoch(0), cap, in_order=True)
            self._share_by_customer[customer_id] = share
        record = self._decode(customer_id, entry)
        if record is None:
            return None
        share.record = record
        share.epoch = Epoch(self._fence())
        share.set_quota(cap)
        wall_ms = int(self._clock.wall_s() * 1000)
        now_s = self._clock.monotonic_s()
        return share.plan(
            self._caps.used(customer_id),
            self._scheduler.cap_gate.demand(customer_id),
            now_s,
            starving=self._starving(customer_id, now_s, wall_ms),
            wall_ms=wall_ms,
        )

    def _starving(
        self, customer_id: CustomerId, now_s: float, wall_ms: int
    ) -> StarvingWork[Size] | None:
        found = self._scheduler.cap_gate.starving(customer_id)
        if found is None:
            return None
        size, since_s = found
        needed = size.plus(self._caps.long_running(customer_id))
        return StarvingWork(needed, wall_ms - int((now_s - since_s) * 1000))

    def _decode(
        self, customer_id: CustomerId, entry: Entry | None
    ) -> QuotaRecord[Size] | None:
        """Return the stored record; ``None`` if it is malformed."""
        if entry is None:
            return QuotaRecord()
        try:
            record = decode_json(
                entry.value, QuotaRecord[Size], limit_bytes=RECORD_LIMIT_BYTES
            )
        except MalformedMessageError as error:
            if customer_id not in self._unread:
                self._unread.add(customer_id)
                log_event(
                    logger,
                    "cap_share_malformed",
                    level=logging.ERROR,
                    customer=customer_id,
                    reason=error.message[:120],
                )
            return None
        self._unread.discard(customer_id)
        return record

    async def _write(
        self, changes: dict[CustomerId, tuple[int, QuotaRecord[Size]]]
    ) -> None:
        for name in changes:
            self._changed.pop(name, None)
            self._changed[name] = None
        shares = {name: self._share_by_customer[name] for name in changes}
        try:
            await self._store.transact(
                expected={
                    _key(name): version for name, (version, _) in changes.items()
                },
                puts={
                    _key(name): Put(encode_json(record))
                    for name, (_, record) in changes.items()
                },
            )
        except TransactionConflictError:
            # Another owner was faster; the next round reads its change.
            self._metrics.count("cap_shares.conflicts")
            return
        except StoreTurnedAwayError:
            self._metrics.count("cap_shares.write_rejected")
            return
        except StoreUnavailableError:
            self._metrics.count("cap_shares.write_unanswered")
            for share in shares.values():
                share.has_unconfirmed_write = True
            return
        self._metrics.count("cap_shares.writes")
        for name, share in shares.items():
            before = share.limit
            share.confirm_write(changes[name][1])
            self._log_change(name, share, before)
        if self._loop.running:
            self._apply_limits()

    def _log_change(
        self, customer_id: CustomerId, share: CustomerShare[Size], before: Size
    ) -> None:
        if share.limit == before:
            return
        used = self._caps.used(customer_id)
        log_event(
            logger,
            "cap_share_changed",
            customer=customer_id,
            partition=self._partition_id,
            fence=share.epoch,
            limit_cpu_milli=share.limit.cpu_milli,
            before_cpu_milli=before.cpu_milli,
            used_cpu_milli=used.cpu_milli,
            cap_cpu_milli=share.quota.cpu_milli,
            all_shares_cpu_milli=share.record.total(Size()).cpu_milli,
        )
