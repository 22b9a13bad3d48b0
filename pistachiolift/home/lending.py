"""Lends free slots to other partitions and borrows theirs.

A partition whose own upstreams are full, lost or unreachable borrows slots from the
owner of another partition. A loan is short: every attempt on it must start within
``LOAN_VALID_S``. This period ends before a lease that was valid at the time of the loan
can expire, so a successor of the lender finds all these attempts running when it
queries the upstreams.
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
# Period for grants on borrowed slots: an attempt may start up to 1 s after its grant,
# and 0.25 s are a margin for clock drift.
BORROWED_GRANT_PERIOD_S = LOAN_VALID_S - 1.0 - 0.25
LOAN_CHECK_DELAY_S = LOAN_VALID_S + 0.25
LOAN_CHECK_INTERVAL_S = 1.0
BORROW_INTERVAL_S = 0.05
ESTIMATE_INTERVAL_S = 0.25
ANSWER_TIMEOUT_S = 1.0
MAX_BORROWED_SLOTS = 64
# Fraction of the lender's slots that stays free for its own next requests.
RESERVED_SLOT_FRACTION = 0.25
LOAD_MAX_AGE_S = 5.0


@dataclass(slots=True)
class _Load:
    """Last reported load of a partition."""

    load: PartitionLoad
    owner: InstanceId
    received_s: float


class LoadTable:
    """Loads of the other partitions, from heartbeats."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._loads_by_partition: dict[PartitionId, _Load] = {}

    def record_loads(self, owner: InstanceId, loads: list[PartitionLoad]) -> None:
        """Record the loads of a heartbeat."""
        now_s = self._clock.monotonic_s()
        for load in loads:
            self._loads_by_partition[load.partition_id] = _Load(load, owner, now_s)

    def lenders(self, excluded: PartitionId) -> list[_Load]:
        """Return the partitions with free slots and nothing queued."""
        oldest_s = self._clock.monotonic_s() - LOAD_MAX_AGE_S
        return [
            each
            for partition_id, each in self._loads_by_partition.items()
            if partition_id != excluded
            and each.received_s >= oldest_s
            and each.load.free_slots > 0
            and each.load.queued == 0
        ]

    def lendable_slots(self, excluded: PartitionId) -> int:
        """Return an estimate of the slots that others could lend."""
        free = sum(each.load.free_slots for each in self.lenders(excluded))
        return int(free * (1 - RESERVED_SLOT_FRACTION))

    def choose_lender(self, excluded: PartitionId, rng: random.Random) -> _Load | None:
        """Return the lender with more free slots out of two random ones."""
        lenders = self.lenders(excluded)
        if not lenders:
            return None
        pair = rng.sample(lenders, min(2, len(lenders)))
        return max(pair, key=lambda each: each.load.free_slots)


@dataclass(slots=True)
class _BorrowedLoan:
    """A loan from another partition."""

    lender: InstanceId
    partition_id: PartitionId
    upstream_ids: set[UpstreamId] = field(default_factory=set)


@dataclass(slots=True)
class _LentLoan:
    """A loan to another partition, with the upstream's address for each slot."""

    borrower_partition: PartitionId
    addresses_by_slot: dict[AttemptId, str]


class SlotLending:
    """Lends and borrows slots for one partition.

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
        self._loan_numbers = itertools.count(1)
        self._requested_s_by_loan: dict[str, float] = {}
        self._borrowed_by_loan: dict[str, _BorrowedLoan] = {}
        self._lent_by_loan: dict[str, _LentLoan] = {}
        self._next_request_s = 0.0
        self._next_estimate_s = 0.0
        self._slots_usable_until_s = 0.0
        self._closed = False

    def close(self) -> None:
        """Stop lending and borrowing; loans expire by themselves."""
        self._closed = True

    @property
    def has_unexpired_loans(self) -> bool:
        """Whether an attempt may still start on a slot that was lent."""
        return self._clock.monotonic_s() < self._slots_usable_until_s

    # Borrower

    def update(self) -> None:
        """Borrow slots for waiting requests and return unused ones."""
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
        self._request_slots(waiting, now_s)

    def _request_slots(self, waiting: int, now_s: float) -> None:
        for loan_id, requested_s in list(self._requested_s_by_loan.items()):
            if now_s - requested_s > ANSWER_TIMEOUT_S:
                del self._requested_s_by_loan[loan_id]
        borrowed_count = sum(
            len(each.upstream_ids) for each in self._borrowed_by_loan.values()
        )
        count = min(waiting, MAX_BORROWED_SLOTS - borrowed_count)
        lender = self._loads.choose_lender(self._partition_id, self._rng)
        if count <= 0 or lender is None or self._requested_s_by_loan:
            return
        loan_id = f"{self._self_id}.{self._partition_id}.{next(self._loan_numbers)}"
        self._requested_s_by_loan[loan_id] = now_s
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

    def accept_loan(self, message: SlotsLent) -> None:
        """Use borrowed slots until the end of their grant period."""
        requested_s = self._requested_s_by_loan.pop(message.loan_id, None)
        now_s = self._clock.monotonic_s()
        if (
            requested_s is None
            or now_s - requested_s > BORROWED_GRANT_PERIOD_S
            or not message.slots
        ):
            self._return_loan(message.sender, message.lender_partition, message.loan_id)
            return
        loan = _BorrowedLoan(message.sender, message.lender_partition)
        for number, slot in enumerate(message.slots):
            upstream_id = UpstreamId(f"{slot.upstream_id}@{message.loan_id}.{number}")
            loan.upstream_ids.add(upstream_id)
            self._scheduler.pool.upsert(upstream_id, slot.address, 1, now_s)
        self._borrowed_by_loan[message.loan_id] = loan
        self._metrics.count("lending.borrowed_slots", len(message.slots))
        self._reactor.callLater(
            requested_s + BORROWED_GRANT_PERIOD_S - now_s,
            self._stop_granting,
            message.loan_id,
        )
        self._on_slots()

    def _stop_granting(self, loan_id: str) -> None:
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
                self._return_if_unused(loan, upstream_id, idle)
            if not loan.upstream_ids:
                del self._borrowed_by_loan[loan_id]
                self._return_loan(loan.lender, loan.partition_id, loan_id)

    def _return_if_unused(
        self, loan: _BorrowedLoan, upstream_id: UpstreamId, idle: bool
    ) -> None:
        pool = self._scheduler.pool
        if pool.running_attempts(upstream_id):
            return
        if idle or not pool.is_live(upstream_id):
            pool.remove(upstream_id)
            loan.upstream_ids.discard(upstream_id)

    def _return_loan(
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
        """Lend free slots in answer to a borrower's request."""
        now_s = self._clock.monotonic_s()
        slots = self._reserve_slots(message, now_s)
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

    def _reserve_slots(self, message: BorrowSlots, now_s: float) -> list[LentSlot]:
        pool = self._scheduler.pool
        if len(self._scheduler.queue) or message.loan_id in self._lent_by_loan:
            return []
        reserved_count = int(pool.total_slots(now_s) * RESERVED_SLOT_FRACTION)
        count = min(message.count, pool.free_slots(now_s) - reserved_count)
        slots: list[LentSlot] = []
        lent = _LentLoan(message.borrower_partition, {})
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
            self._slots_usable_until_s = now_s + LOAN_CHECK_DELAY_S
            self._reactor.callLater(
                LOAN_CHECK_DELAY_S, self._start_loan_check, message.loan_id
            )
        return slots

    def release_loan(self, message: ReturnSlots) -> None:
        """Release the slots of a returned loan."""
        lent = self._lent_by_loan.pop(message.loan_id, None)
        if lent is not None:
            self._release(lent, list(lent.addresses_by_slot))

    def _release(self, lent: _LentLoan, slot_ids: list[AttemptId]) -> None:
        for slot_id in slot_ids:
            self._scheduler.pool.release(slot_id)
            del lent.addresses_by_slot[slot_id]
        self._on_slots()

    def _start_loan_check(self, loan_id: str) -> None:
        if not self._closed and loan_id in self._lent_by_loan:
            ensureDeferred(self._check_loan(loan_id))

    async def _check_loan(self, loan_id: str) -> None:
        """Release slots without attempts that the borrower has not returned."""
        lent = self._lent_by_loan[loan_id]
        busy: dict[str, bool] = {}
        for address in set(lent.addresses_by_slot.values()):
            busy[address] = await self._runs_attempts_of(
                address, lent.borrower_partition
            )
        if self._lent_by_loan.get(loan_id) is not lent:
            return
        ended_slot_ids = [s for s, a in lent.addresses_by_slot.items() if not busy[a]]
        self._release(lent, ended_slot_ids)
        if lent.addresses_by_slot:
            self._reactor.callLater(
                LOAN_CHECK_INTERVAL_S, self._start_loan_check, loan_id
            )
        else:
            del self._lent_by_loan[loan_id]

    async def _runs_attempts_of(self, address: str, partition_id: PartitionId) -> bool:
        try:
            running = await self._upstreams.list_running(address)
        except PistachioliftError as error:
            self._metrics.count(f"retry.settle_loan.{error.code.value}")
            return True
        return any(each.attempt_id.startswith(f"{partition_id}.") for each in running)
