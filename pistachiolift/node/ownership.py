"""Ownership of a partition, held through a leased key in the platform's store."""

import logging
import random
from collections.abc import Callable, Coroutine
from enum import Enum

import msgspec
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall, deferLater

from ..backends import LeaseId
from ..common import (
    Clock,
    MalformedMessageError,
    Metrics,
    StoreUnavailableError,
    decode_json,
    encode_json,
    log_event,
)
from .background import run_in_background
from .interfaces import (
    CoordinationStore,
    HistoryLostError,
    LeaseEndedError,
    Put,
    TransactionConflictError,
)
from .partition_map import PartitionKeys

__all__ = [
    "AUTHORITY_S",
    "DeathEvidence",
    "OwnerRecord",
    "Ownership",
    "decode_owner_record",
]

logger = logging.getLogger(__name__)

# Leases are renewed for this long without the store, so that an outage does not end
# running tasks. Starts need the lease of the ownership instead (``lease_left_s``). If
# only this owner is cut off, its successor fences it at the workers.
AUTHORITY_S = 10.0

# A lost owner is detected after this time; the store's shortest lease is 1 s.
LEASE_TTL_S = 1.5
# This instance's clock may run slower than the store's; covers 2% of the lease.
LEASE_MARGIN_S = 0.05
RENEW_INTERVAL_S = 0.35
WATCH_WAIT_S = 2.0
RETRY_INTERVAL_S = 0.15
# The claims of several instances are spread randomly over this time.
CLAIM_JITTER_S = 0.04
# Additional delay of the claim of the least fit instance.
CLAIM_DELAY_S = 0.12
# An instance below this fitness takes seconds to read the ledger of a full partition.
# It claims only after fitter instances have had the time to notice that the store
# answers again: one call's time limit of 0.8 s and a retry.
UNFIT_LIMIT = 0.25
UNFIT_CLAIM_DELAY_S = 1.0
RECORD_LIMIT_BYTES = 4_096


class DeathEvidence(Enum):
    """Why an owner's process is taken for dead."""

    # Another process of the instance answers, so that the owner's has ended.
    REPLACED = "replaced"
    # A network cut may refuse connections while the owner runs on.
    REFUSED = "connection_refused"


class OwnerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Record of an instance, stored as a partition's owner or in the registry.

    :param incarnation: identifies the instance's process.
    :param address: IP address and port for other instances.
    """

    instance_id: str
    incarnation: str
    address: str


def decode_owner_record(value: bytes) -> OwnerRecord:
    """Decode the record of an instance.

    :raises MalformedMessageError: if the value is malformed.
    """
    return decode_json(value, OwnerRecord, limit_bytes=RECORD_LIMIT_BYTES)


class Ownership:
    """Watches the owner's key, claims it when it is free, and renews its lease.

    :param keys: keys of the partition.
    :param own_record: this instance's record.
    :param may_claim: returns whether this instance is able to own.
    :param on_owner: called with the owner's record in the store, or ``None``.
    :param on_claimed: called when this instance has become the owner, or has claimed
        again without another owner in between. The arguments are the fencing token, and
        the time for which earlier owners may still renew leases.
    :param on_lost: called with a reason when this instance has lost the ownership.
    :param fitness: how well this instance can own, 0 to 1; the fittest claims first.
    :param extra_claim_delay_s: returns the additional delay of this instance's claims,
        in seconds.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        store: CoordinationStore,
        *,
        keys: PartitionKeys,
        own_record: OwnerRecord,
        clock: Clock,
        metrics: Metrics,
        may_claim: Callable[[], bool],
        on_owner: Callable[[OwnerRecord | None], None],
        on_claimed: Callable[[int, float], None],
        on_lost: Callable[[str], None],
        fitness: float = 1.0,
        extra_claim_delay_s: Callable[[], float] = lambda: 0.0,
    ):
        self._reactor = reactor
        self.store = store
        self._keys = keys
        self._gauge = f"partition.{keys.number}.owner"
        self._own_record = own_record
        self._clock = clock
        self._metrics = metrics
        self._may_claim = may_claim
        self._on_owner = on_owner
        self._on_claimed = on_claimed
        self._on_lost = on_lost
        self._fitness = fitness
        self._extra_claim_delay_s = extra_claim_delay_s
        self._lease_id: LeaseId | None = None
        # Time at which the newest answered grant or renewal of the lease was sent.
        self._lease_sent_s = float("-inf")
        self._retiring = False
        self._claiming = False
        self.fence: int | None = None
        self.last_contact_s = float("-inf")
        self._answered_s = float("-inf")
        self.claimed_s = float("-inf")
        self.owner: OwnerRecord | None = None
        self._owner_since_s = 0.0
        self._owner_version = 0
        self._earlier_authority_end_s = float("-inf")
        self.failed_calls = 0
        self.failing_since_s = 0.0
        self._lost_since_s: float | None = None
        self._checking_store = False
        # The last owner that was taken for dead, and the last one that was proven so.
        self._dead_owner: OwnerRecord | None = None
        self._ended_owner: OwnerRecord | None = None
        self._renewing = LoopingCall(self._renew)
        self._renewing.clock = reactor

    @property
    def owner_version(self) -> int:
        """Version of the newest claim known to this instance."""
        return self._owner_version

    @property
    def earlier_authority_s(self) -> float:
        """Time for which owners before this instance may still renew leases."""
        return max(0.0, self._earlier_authority_end_s - self._clock.monotonic_s())

    @property
    def lease_left_s(self) -> float:
        """Seconds for which the lease of the owner's key certainly lasts.

        Until then no other instance becomes the owner, unless it takes this one's
        process for dead. Other contact with the store does not prove that: the claim
        of another instance may have been made since.
        """
        if self.fence is None:
            return 0.0
        age_s = self._clock.monotonic_s() - self._lease_sent_s
        return max(0.0, LEASE_TTL_S - LEASE_MARGIN_S - age_s)

    @property
    def store_age_s(self) -> float:
        """Seconds since the store last answered a call, at most 999."""
        return min(999.0, self._clock.monotonic_s() - self._answered_s)

    @property
    def store_lost_s(self) -> float:
        """Seconds for which the store has not answered; 0 while it answers."""
        if self._lost_since_s is None:
            return 0.0
        return self._clock.monotonic_s() - self._lost_since_s

    def start(self) -> None:
        """Start watching the owner's key."""
        self._spawn(self._watch_forever())

    def _spawn(self, coroutine: Coroutine) -> None:
        run_in_background(coroutine, logger=logger, event="ownership_failed")

    def record_contact(self, sent_s: float) -> None:
        """Record that a call to the store was answered.

        :param sent_s: time at which the call was sent.
        """
        self.last_contact_s = max(self.last_contact_s, sent_s)
        # A watch is answered long after it was sent.
        self._answered_s = self._clock.monotonic_s()
        self.failed_calls = 0
        self._lost_since_s = None

    def record_failed_call(self) -> None:
        """Record that a call to the store was not answered, or was rejected."""
        if not self.failed_calls:
            self.failing_since_s = self._clock.monotonic_s()
        self.failed_calls += 1

    def _record_lost_contact(self, sent_s: float) -> None:
        if self._lost_since_s is None and sent_s >= self.last_contact_s:
            self._lost_since_s = sent_s

    def check_store(self) -> None:
        """Call the store to find out whether it answers.

        A waiting watch does not show whether the store is reachable.
        """
        if not self._checking_store:
            self._checking_store = True
            self._spawn(self._check_store())

    async def _check_store(self) -> None:
        sent_s = self._clock.monotonic_s()
        try:
            await self.store.get(self._keys.owner)
            self.record_contact(sent_s)
        except StoreUnavailableError:
            self._record_lost_contact(sent_s)
        finally:
            self._checking_store = False

    async def _watch_forever(self) -> None:
        revision = None
        while True:
            sent_s = self._clock.monotonic_s()
            try:
                if revision is None:
                    listing = await self.store.list_prefix(self._keys.owner)
                    revision = listing.revision
                    self._apply_entry(listing.entries_by_key.get(self._keys.owner))
                else:
                    changes = await self.store.changes(
                        self._keys.owner,
                        after_revision=revision,
                        wait_s=WATCH_WAIT_S,
                    )
                    revision = max(revision, changes.revision)
                    for event in changes.events:
                        if event.key == self._keys.owner:
                            self._apply_entry(event.entry)
                self.record_contact(sent_s)
            except (StoreUnavailableError, HistoryLostError):
                # The store may be reachable although it interrupted a waiting watch.
                self._record_lost_contact(self._clock.monotonic_s())
                self._metrics.count("ownership.watch_failed")
                revision = None
                await deferLater(self._reactor, RETRY_INTERVAL_S)
                continue
            if self.owner is None and self.fence is None:
                await self._claim()
                revision = None

    def _apply_entry(self, entry) -> None:
        record = None
        if entry is not None:
            try:
                record = decode_owner_record(entry.value)
            except MalformedMessageError as error:
                log_event(logger, "owner_record_malformed", reason=error.message)
        if entry is not None:
            if entry.version < self._owner_version:
                return
            self._owner_version = entry.version
        if record == self.owner:
            return
        self._set_owner(record)
        log_event(
            logger,
            "owner_changed",
            partition=self._keys.number,
            owner=record.instance_id if record else "",
            incarnation=record.incarnation if record else "",
            version=entry.version if entry else 0,
        )
        if self.fence is not None and record is not None and record != self._own_record:
            self._lose("another_owner")
        self._on_owner(record)

    def record_announcement(self, record: OwnerRecord, fence: int) -> None:
        """Apply the announcement of an owner unless a newer claim is known.

        :param fence: version of the announced owner's claim.
        """
        if fence <= self._owner_version or record == self._own_record:
            return
        self._owner_version = fence
        self._set_owner(record)
        log_event(
            logger,
            "owner_announced",
            partition=self._keys.number,
            owner=record.instance_id,
            version=fence,
        )
        if self.fence is not None and fence > self.fence:
            self._lose("another_owner")
        self._on_owner(record)

    def _set_owner(self, record: OwnerRecord | None) -> None:
        self.owner = record
        self._owner_since_s = self._clock.monotonic_s()

    # Claims.

    def handle_owner_death(self, record: OwnerRecord, evidence: DeathEvidence) -> None:
        """Claim the ownership at once from an owner whose process seems to have ended.

        The claim fences an owner that is only cut off. Such an owner may renew leases
        for a while, so that its commands count as ended only if its death is proven.
        """
        if record != self.owner or self.fence is not None:
            return
        if evidence is DeathEvidence.REPLACED:
            self._ended_owner = record
        if record == self._dead_owner:
            return
        self._dead_owner = record
        log_event(
            logger,
            "owner_died",
            partition=self._keys.number,
            owner=record.instance_id,
            evidence=evidence.value,
        )
        self._spawn(self._replace_dead_owner(record))

    async def _replace_dead_owner(self, record: OwnerRecord) -> None:
        await deferLater(self._reactor, self._claim_delay_s())
        # The store may be unreachable when the owner dies.
        while self.owner == record and self.fence is None and not self._retiring:
            if self._may_claim() and not self._claiming:
                authority_s = self._authority_after_death_s(record)
                await self._try_claim(self._owner_version, authority_s)
            await deferLater(self._reactor, RETRY_INTERVAL_S)

    def _authority_after_death_s(self, record: OwnerRecord) -> float:
        """Return the time for which the dead owner or earlier ones may renew leases."""
        if record != self._ended_owner:
            return AUTHORITY_S
        # The owner before the dead one may have been only cut off.
        return max(0.0, self._owner_since_s + AUTHORITY_S - self._clock.monotonic_s())

    async def take_over(self, fence: int, authority_s: float) -> bool:
        """Claim the ownership from an owner that has given it up.

        :param fence: version of that owner's claim.
        :param authority_s: time for which earlier owners may still renew leases.
        :returns: whether this instance owns the partition.
        """
        if self._claiming or self.fence is not None or not self._able_to_claim():
            return self.fence is not None
        return await self._try_claim(fence, authority_s, key_expected=True)

    async def _try_claim(
        self, fence: int, authority_s: float, *, key_expected: bool = False
    ) -> bool:
        self._claiming = True
        try:
            # Saves a call to the store if the owner's lease has not ended.
            if key_expected and await self._replace_claim(
                fence, owner_version=fence, authority_s=authority_s
            ):
                return True
            return await self._replace_owner(fence, authority_s)
        except StoreUnavailableError:
            self._metrics.count("ownership.claim_failed")
            return False
        finally:
            self._claiming = False

    async def _replace_owner(self, fence: int, authority_s: float) -> bool:
        """Replace the owner that made a claim, even if its lease has not ended."""
        entry = await self.store.get(self._keys.owner)
        if entry is not None and entry.version != fence:
            return False
        claimed = await self._replace_claim(
            fence, owner_version=fence if entry else 0, authority_s=authority_s
        )
        if claimed and entry is not None:
            self._spawn(self._end_earlier_lease(entry.lease_id))
        return claimed

    async def _end_earlier_lease(self, lease_id: LeaseId) -> None:
        """End a replaced owner's lease, so that it learns of its replacement."""
        while self.fence is not None:
            try:
                await self.store.revoke_lease(lease_id)
                return
            except StoreUnavailableError:
                await deferLater(self._reactor, RENEW_INTERVAL_S)

    def _able_to_claim(self) -> bool:
        return self._may_claim() and not self._retiring

    def _claim_delay_s(self) -> float:
        """Return how long to wait so that fitter instances can claim first."""
        unfit_s = (1 - self._fitness) * CLAIM_DELAY_S
        if self._fitness < UNFIT_LIMIT:
            unfit_s += UNFIT_CLAIM_DELAY_S
        return random.uniform(0, CLAIM_JITTER_S) + unfit_s + self._extra_claim_delay_s()

    async def _claim(self) -> None:
        if self._claiming or not self._able_to_claim():
            await deferLater(self._reactor, RETRY_INTERVAL_S)
            return
        self._claiming = True
        try:
            await deferLater(self._reactor, self._claim_delay_s())
            entry = await self.store.get(self._keys.claim)
            await self._replace_claim(entry.version if entry else 0)
        except StoreUnavailableError:
            self._metrics.count("ownership.claim_failed")
            await deferLater(self._reactor, RETRY_INTERVAL_S)
        finally:
            self._claiming = False

    async def _replace_claim(
        self,
        claim_version: int,
        *,
        owner_version: int = 0,
        authority_s: float = AUTHORITY_S,
    ) -> bool:
        """Claim the ownership on the condition that no newer claim exists.

        :param claim_version: version of the claim that is replaced.
        :param owner_version: version of the owner's key, 0 if it does not exist.
        :param authority_s: time for which earlier owners may still renew leases.
        :returns: whether this instance is the owner.
        """
        sent_s = self._clock.monotonic_s()
        lease_id = await self.store.grant_lease(LEASE_TTL_S)
        value = encode_json(self._own_record)
        try:
            fence = await self.store.transact(
                expected={
                    self._keys.owner: owner_version,
                    self._keys.claim: claim_version,
                },
                puts={
                    self._keys.owner: Put(value, lease_id),
                    self._keys.claim: Put(value),
                },
            )
        except TransactionConflictError:
            self._metrics.count("ownership.claim_conflict")
            return False
        except LeaseEndedError:
            return False
        except StoreUnavailableError:
            # The claim may have succeeded although its answer was lost.
            fence = await self._find_claim(claim_version)
            if fence is None:
                return False
        if self._retiring:
            await self.revoke_owner_lease(lease_id)
            return False
        if self.fence is None:
            end_s = self._clock.monotonic_s() + authority_s
            self._earlier_authority_end_s = end_s
        self._lease_id = lease_id
        # The lease was granted by the first call of the claim.
        self._lease_sent_s = sent_s
        self.fence = fence
        self.claimed_s = self._clock.monotonic_s()
        self.record_contact(sent_s)
        self._record_own_claim()
        self._metrics.gauge(self._gauge, 1)
        log_event(
            logger,
            "ownership_claimed",
            partition=self._keys.number,
            fence=fence,
            over=claim_version,
        )
        self._on_claimed(fence, authority_s)
        if not self._renewing.running:
            self._renewing.start(RENEW_INTERVAL_S, now=False)
        return True

    def _record_own_claim(self) -> None:
        self._owner_version = self.fence
        if self.owner != self._own_record:
            self._set_owner(self._own_record)
            self._on_owner(self._own_record)

    async def _find_claim(self, claim_version: int) -> int | None:
        entry = await self.store.get(self._keys.claim)
        if entry is None or entry.version == claim_version:
            return None
        try:
            record = decode_owner_record(entry.value)
        except MalformedMessageError as error:
            log_event(logger, "owner_record_malformed", reason=error.message)
            return None
        return entry.version if record == self._own_record else None

    # Renewal.

    def _renew(self) -> None:
        if self._lease_id is not None:
            self._spawn(self._renew_once(self._lease_id))

    async def _renew_once(self, lease_id: LeaseId) -> None:
        sent_s = self._clock.monotonic_s()
        try:
            await self.store.keep_alive(lease_id)
            self.record_contact(sent_s)
            if self._lease_id == lease_id:
                self._lease_sent_s = max(self._lease_sent_s, sent_s)
        except StoreUnavailableError:
            self.record_failed_call()
            self._metrics.count("ownership.renewal_failed")
        except LeaseEndedError:
            if self._lease_id == lease_id and not self._claiming:
                await self._claim_again()

    async def _claim_again(self) -> None:
        """Claim again after the lease has expired, if no other instance has claimed."""
        fence, self._lease_id = self.fence, None
        self._lease_sent_s = float("-inf")
        log_event(
            logger, "ownership_lease_lapsed", partition=self._keys.number, fence=fence
        )
        self._claiming = True
        try:
            while self.fence == fence:
                try:
                    if await self._replace_claim(fence):
                        return
                    entry = await self.store.get(self._keys.claim)
                    if entry is None or entry.version != fence:
                        self._lose("claimed_by_another")
                        return
                except StoreUnavailableError:
                    self._metrics.count("ownership.claim_failed")
                await deferLater(self._reactor, RETRY_INTERVAL_S)
        finally:
            self._claiming = False

    def give_up(self, reason: str) -> None:
        """Give up the ownership, if this instance has it.

        :param reason: reason for the log.
        """
        if self.fence is not None:
            self._lose(reason)

    def _lose(self, reason: str) -> None:
        log_event(
            logger,
            "ownership_lost",
            partition=self._keys.number,
            fence=self.fence,
            reason=reason,
        )
        self.fence = None
        self._metrics.gauge(self._gauge, 0)
        self._lease_id = None
        if self._renewing.running:
            self._renewing.stop()
        self._on_lost(reason)

    @property
    def lease_id(self) -> LeaseId | None:
        """The lease of the owner's key, if this instance owns."""
        return self._lease_id

    def stop_claiming(self) -> None:
        """Make no more claims, and abandon one that is in flight."""
        self._retiring = True

    async def release(self) -> None:
        """Release the ownership, so that another instance can take over at once."""
        self.stop_claiming()
        lease_id = self._lease_id
        if self.fence is not None:
            self._lose("released")
        await self.revoke_owner_lease(lease_id)

    async def revoke_owner_lease(self, lease_id: LeaseId | None) -> None:
        """Delete the owner's key by revoking its lease.

        :param lease_id: lease under which this instance was the owner.
        """
        if lease_id is None:
            return
        try:
            await self.store.revoke_lease(lease_id)
        except StoreUnavailableError as error:
            log_event(logger, "ownership_release_failed", reason=error.message)
