"""Lends free slots to other partitions and borrows theirs.

A home whose own upstreams are full, gone or cut off asks another partition's owner for
slots. A loan is short: every attempt on it must start within ``LOAN_VALID_S``, which
ends before a lease can lapse that was valid when the loan was given, so the lender's
successor finds all attempts running when it asks the upstreams.
"""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IReactorTime

from ..backends import UpstreamClient
from ..common import (
    AttemptId,
    Clock,
    InstanceId,
    Metrics,
    PartitionId,
    PistachioliftError,
    UpstreamId,
)
from ..peers import BorrowSlots, LentSlot, PartitionLoad, ReturnSlots, SlotsLent
from ..requests import RequestScheduler

__all__ = ["LoadTable", "SlotLending"]

LOAN_VALID_S = 1.5
# A grant is valid for a second and the margin covers the drift of clocks.
LAST_GRANT_S = LOAN_VALID_S - 1.0 - 0.25
SETTLE_AFTER_S = LOAN_VALID_S + 0.25
SETTLE_INTERVAL_S = 1.0
BORROW_INTERVAL_S = 0.05
ESTIMATE_INTERVAL_S = 0.25
ANSWER_TIMEOUT_S = 1.0
MAX_BORROWED_SLOTS = 64
# Part of the lender's slots that stays free for its own next requests.
KEPT_FREE = 0.25
LOAD_MAX_AGE_S = 5.0


@dataclass(slots=True)
class _Load:
    """Load of a partition as last heard."""

    load: PartitionLoad
    owner: InstanceId
    heard_s: float


class LoadTable:
    """Loads of the other partitions, from heartbeats."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._loads_by_partition: dict[PartitionId, _Load] = {}

    def record_loads(self, owner: InstanceId, loads: list[PartitionLoad]) -> None:
        """Take the loads of a heartbeat."""
        now_s = self._clock.monotonic_s()
        for load in loads:
            self._loads_by_partition[load.partition_id] = _Load(load, owner, now_s)

    def lenders(self, without: PartitionId) -> list[_Load]:
        """Return the partitions with free slots and nothing queued."""
        oldest_s = self._clock.monotonic_s() - LOAD_MAX_AGE_S
        return [
            each
            for partition_id, each in self._loads_by_partition.items()
            if partition_id != without
            and each.heard_s >= oldest_s
            and each.load.free_slots > 0
            and each.load.queued == 0
        ]

    def lendable_slots(self, without: PartitionId) -> int:
        """Return an estimate of the slots that others could lend."""
        free = sum(each.load.free_slots for each in self.lenders(without))
        return int(free * (1 - KEPT_FREE))

    def choose(self, without: PartitionId, rng: random.Random) -> _Load | None:
        """Return the one with more free slots of two lenders chosen at random."""
        lenders = self.lenders(without)
        if not lenders:
            return None
        pair = rng.sample(lenders, min(2, len(lenders)))
        return max(pair, key=lambda each: each.load.free_slots)


@dataclass(slots=True)
class _Borrowed:
    """Slots that another partition has lent."""

    lender: InstanceId
    partition_id: PartitionId
    upstream_ids: set[UpstreamId] = field(default_factory=set)


@dataclass(slots=True)
class _Lent:
    """Slots that this partition has lent; upstream and address by slot."""

    borrower_partition: PartitionId
    addresses_by_slot: dict[AttemptId, str]


class SlotLending:
    """Both sides of lending for one partition.

    :param send: sends a message to an instance.
    :param on_slots: called when borrowed slots can be granted.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        *,
        partition_id: PartitionId,
        self_id: InstanceId,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        loads: LoadTable,
        scheduler: RequestScheduler,
        upstreams: UpstreamClient,
        send: Callable,
        on_slots: Callable[[], None],
    ):
        self._reactor = reactor
        self._partition_id = partition_id
        self._self_id = self_id
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._loads = loads
        self._scheduler = scheduler
        self._upstreams = upstreams
        self._send = send
        self._on_slots = on_slots
        self._numbers = itertools.count(1)
        self._asked_at_by_loan: dict[str, float] = {}
        self._borrowed_by_loan: dict[str, _Borrowed] = {}
        self._lent_by_loan: dict[str, _Lent] = {}
        self._next_request_s = 0.0
        self._next_estimate_s = 0.0
        self._fresh_until_s = 0.0
        self._closed = False

    def close(self) -> None:
        """Stop; loans run out by themselves."""
        self._closed = True

    @property
    def has_unexpired_loans(self) -> bool:
        """Whether an attempt may still start on a slot that was lent."""
        return self._clock.monotonic_s() < self._fresh_until_s

    # Borrower

    def update(self) -> None:
        """Ask for slots, or return those that are not needed."""
        now_s = self._clock.monotonic_s()
        if now_s >= self._next_estimate_s:
            self._next_estimate_s = now_s + ESTIMATE_INTERVAL_S
            lendable = self._loads.lendable_slots(self._partition_id)
            self._scheduler.lendable_slots = lendable
        self._return_unused(now_s)
        waiting = len(self._scheduler.queue)
        if not waiting or self._scheduler.pool.free_slots(now_s) > 0:
            return
        if now_s < self._next_request_s:
            return
        self._next_request_s = now_s + BORROW_INTERVAL_S
        self._ask(waiting, now_s)

    def _ask(self, waiting: int, now_s: float) -> None:
        for loan_id, asked_s in list(self._asked_at_by_loan.items()):
            if now_s - asked_s > ANSWER_TIMEOUT_S:
                del self._asked_at_by_loan[loan_id]
        held = sum(len(each.upstream_ids) for each in self._borrowed_by_loan.values())
        count = min(waiting, MAX_BORROWED_SLOTS - held)
        lender = self._loads.choose(self._partition_id, self._rng)
        if count <= 0 or lender is None or self._asked_at_by_loan:
            return
        loan_id = f"{self._self_id}.{self._partition_id}.{next(self._numbers)}"
        self._asked_at_by_loan[loan_id] = now_s
        self._metrics.count("lending.asked")
        self._send(
            lender.owner,
            BorrowSlots(
                sender=self._self_id,
                partition_id=lender.load.partition_id,
                borrower_partition=self._partition_id,
                loan_id=loan_id,
                count=count,
            ),
        )

    def take_loan(self, message: SlotsLent) -> None:
        """Use lent slots until their last grant time."""
        asked_s = self._asked_at_by_loan.pop(message.loan_id, None)
        now_s = self._clock.monotonic_s()
        if asked_s is None or now_s - asked_s > LAST_GRANT_S or not message.slots:
            self._give_back(message.sender, message.lender_partition, message.loan_id)
            return
        loan = _Borrowed(message.sender, message.lender_partition)
        for number, slot in enumerate(message.slots):
            upstream_id = UpstreamId(f"{slot.upstream_id}@{message.loan_id}.{number}")
            loan.upstream_ids.add(upstream_id)
            self._scheduler.pool.upsert(upstream_id, slot.address, 1, now_s)
        self._borrowed_by_loan[message.loan_id] = loan
        self._metrics.count("lending.borrowed_slots", len(message.slots))
        self._reactor.callLater(
            asked_s + LAST_GRANT_S - now_s, self._end_grants, message.loan_id
        )
        self._on_slots()

    def _end_grants(self, loan_id: str) -> None:
        loan = self._borrowed_by_loan.get(loan_id)
        if loan is None or self._closed:
            return
        for upstream_id in loan.upstream_ids:
            self._scheduler.pool.mark_leaving(upstream_id)
        self.update()

    def _return_unused(self, now_s: float) -> None:
        idle = not len(self._scheduler.queue)
        for loan_id, loan in list(self._borrowed_by_loan.items()):
            for upstream_id in list(loan.upstream_ids):
                self._drop_if_unused(loan, upstream_id, idle)
            if not loan.upstream_ids:
                del self._borrowed_by_loan[loan_id]
                self._give_back(loan.lender, loan.partition_id, loan_id)

    def _drop_if_unused(
        self, loan: _Borrowed, upstream_id: UpstreamId, idle: bool
    ) -> None:
        pool = self._scheduler.pool
        if pool.running_attempts(upstream_id):
            return
        if idle or not pool.is_live(upstream_id):
            pool.remove(upstream_id)
            loan.upstream_ids.discard(upstream_id)

    def _give_back(
        self, lender: InstanceId, partition_id: PartitionId, loan_id: str
    ) -> None:
        self._send(
            lender,
            ReturnSlots(
                sender=self._self_id, partition_id=partition_id, loan_id=loan_id
            ),
        )

    # Lender

    def lend(self, message: BorrowSlots) -> None:
        """Answer a request for slots."""
        now_s = self._clock.monotonic_s()
        slots = self._take_slots(message, now_s)
        self._metrics.count("lending.lent_slots", len(slots))
        self._send(
            message.sender,
            SlotsLent(
                sender=self._self_id,
                partition_id=message.borrower_partition,
                lender_partition=self._partition_id,
                loan_id=message.loan_id,
                slots=slots,
            ),
        )

    def _take_slots(self, message: BorrowSlots, now_s: float) -> list[LentSlot]:
        pool = self._scheduler.pool
        if len(self._scheduler.queue) or message.loan_id in self._lent_by_loan:
            return []
        kept = int(pool.total_slots(now_s) * KEPT_FREE)
        count = min(message.count, pool.free_slots(now_s) - kept)
        slots: list[LentSlot] = []
        lent = _Lent(message.borrower_partition, {})
        for number in range(max(0, count)):
            slot_id = AttemptId(f"loan:{message.loan_id}.{number}")
            upstream_id = pool.acquire(slot_id, now_s)
            if upstream_id is None:
                break
            address = pool.address_of(upstream_id) or ""
            lent.addresses_by_slot[slot_id] = address
            slots.append(LentSlot(upstream_id, address))
        if slots:
            self._lent_by_loan[message.loan_id] = lent
            self._fresh_until_s = now_s + SETTLE_AFTER_S
            self._reactor.callLater(SETTLE_AFTER_S, self._settle, message.loan_id)
        return slots

    def take_back(self, message: ReturnSlots) -> None:
        """Release returned slots."""
        lent = self._lent_by_loan.pop(message.loan_id, None)
        if lent is not None:
            self._release(lent, list(lent.addresses_by_slot))

    def _release(self, lent: _Lent, slot_ids: list[AttemptId]) -> None:
        for slot_id in slot_ids:
            self._scheduler.pool.release(slot_id)
            del lent.addresses_by_slot[slot_id]
        self._on_slots()

    def _settle(self, loan_id: str) -> None:
        if not self._closed and loan_id in self._lent_by_loan:
            ensureDeferred(self._check_loan(loan_id))

    async def _check_loan(self, loan_id: str) -> None:
        """Release slots whose attempts have ended although nobody returned them."""
        lent = self._lent_by_loan[loan_id]
        busy: dict[str, bool] = {}
        for address in set(lent.addresses_by_slot.values()):
            busy[address] = await self._runs_for(address, lent.borrower_partition)
        if self._lent_by_loan.get(loan_id) is not lent:
            return
        ended = [s for s, a in lent.addresses_by_slot.items() if not busy[a]]
        self._release(lent, ended)
        if lent.addresses_by_slot:
            self._reactor.callLater(SETTLE_INTERVAL_S, self._settle, loan_id)
        else:
            del self._lent_by_loan[loan_id]

    async def _runs_for(self, address: str, partition_id: PartitionId) -> bool:
        try:
            running = await self._upstreams.list_running(address)
        except PistachioliftError as error:
            self._metrics.count(f"retry.settle_loan.{error.code.value}")
            return True
        return any(each.attempt_id.startswith(f"{partition_id}.") for each in running)
