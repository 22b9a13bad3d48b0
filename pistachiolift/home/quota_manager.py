"""Manages the shares of job quotas that the owner of one partition may use."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Coroutine, Mapping

import msgspec
from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from ..backends import KeyValueStore
from ..common import (
    NO_LIMIT,
    Clock,
    CustomerId,
    CustomerShare,
    Epoch,
    Metrics,
    PartitionId,
    PistachioliftError,
    QuotaRecord,
    QuotaUse,
    VersionConflictError,
    log_event,
)
from ..jobs import Resources

__all__ = ["UNLIMITED", "JobQuotas", "QuotaManager", "QuotaUser"]

logger = logging.getLogger(__name__)

QUOTA_PREFIX = "quota/"
# Limits the store calls per customer and partition, however many tasks start.
REBALANCE_INTERVAL_S = 1.0
# Interval for reading the record again while tasks wait, because other partitions may
# have returned shares.
REREAD_INTERVAL_S = 3.0

NO_RESOURCES = Resources()
UNLIMITED = Resources(NO_LIMIT, NO_LIMIT, NO_LIMIT)

_record_decoder = msgspec.msgpack.Decoder(QuotaRecord[Resources])


class JobQuotas(ABC):
    """Source of the customers' job quotas."""

    @abstractmethod
    def quota(self, customer_id: CustomerId) -> Resources | None:
        """Return the quota across the fleet, ``None`` if there is no limit."""


class QuotaUser(ABC):
    """The owner whose task placements the quotas limit."""

    @abstractmethod
    def has_authority(self) -> bool:
        """Whether decisions may be made now."""

    @abstractmethod
    def quota_uses(self) -> Mapping[CustomerId, QuotaUse]:
        """Return the reserved and the demanded resources of each customer with jobs."""

    @abstractmethod
    def limit_customer(self, customer_id: CustomerId, limit: Resources | None) -> None:
        """Set the resources that a customer may reserve; ``None`` means no limit."""


class QuotaManager:
    """Acquires and returns quota shares; writes to the store only on changes.

    :param epoch: the owner's epoch at its takeover.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        store: KeyValueStore,
        *,
        partition_id: PartitionId,
        epoch: Epoch,
        clock: Clock,
        metrics: Metrics,
        quotas: JobQuotas,
        user: QuotaUser,
    ):
        self._store = store
        self._partition_id = partition_id
        self._epoch = epoch
        self._clock = clock
        self._metrics = metrics
        self._quotas = quotas
        self._user = user
        self._share_by_customer: dict[CustomerId, CustomerShare] = {}
        self._version_by_customer: dict[CustomerId, int] = {}
        self._read_s_by_customer: dict[CustomerId, float] = {}
        self._busy_customers: set[CustomerId] = set()
        self._shares_restored = False
        self._loop = LoopingCall(self.rebalance)
        self._loop.clock = reactor
        self._loop.start(REBALANCE_INTERVAL_S, now=False)

    def close(self) -> None:
        """Stop changing shares."""
        if self._loop.running:
            self._loop.stop()

    def apply_limit(self, customer_id: CustomerId) -> None:
        """Limit a customer's reservations; called before its first task is placed."""
        quota = self._quotas.quota(customer_id)
        share = self._share_by_customer.get(customer_id)
        if share is None and quota is not None:
            share = CustomerShare(self._partition_id, self._epoch, quota)
            self._share_by_customer[customer_id] = share
        if share is not None:
            share.quota = UNLIMITED if quota is None else quota
            limit = None if quota is None else share.limit
            self._user.limit_customer(customer_id, limit)

    def rebalance(self) -> None:
        """Acquire shares for waiting tasks and return idle shares."""
        if not self._user.has_authority():
            return
        if not self._shares_restored:
            self._start(CustomerId(""), self._restore_shares())
            return
        uses = self._user.quota_uses()
        for customer_id in {*uses, *self._share_by_customer}:
            self.apply_limit(customer_id)
            if customer_id in self._share_by_customer:
                use = uses.get(customer_id, QuotaUse(NO_RESOURCES))
                self._start(customer_id, self._adjust_share(customer_id, use))

    def _start(self, customer_id: CustomerId, work: Coroutine) -> None:
        """Run a coroutine, unless one is already running for the customer."""
        if customer_id in self._busy_customers:
            work.close()
            return
        self._busy_customers.add(customer_id)
        ensureDeferred(self._run(customer_id, work)).addErrback(self._log_failure)

    async def _run(self, customer_id: CustomerId, work: Coroutine) -> None:
        try:
            await work
        except VersionConflictError:
            self._version_by_customer.pop(customer_id, None)
        except PistachioliftError as error:
            self._metrics.count(f"retry.quota_share.{error.code.value}")
            self._version_by_customer.pop(customer_id, None)
            share = self._share_by_customer.get(customer_id)
            if share is not None:
                share.has_unconfirmed_write = True
        finally:
            self._busy_customers.discard(customer_id)

    def _log_failure(self, failure) -> None:
        log_event(
            logger,
            "quota_share_failed",
            level=logging.ERROR,
            error=failure.getErrorMessage(),
            traceback=failure.getTraceback(),
        )

    async def _restore_shares(self) -> None:
        """Take over the shares of the previous owner, including idle ones."""
        listing = await self._store.list_prefix(QUOTA_PREFIX)
        for key, entry in listing.entries_by_key.items():
            if self._partition_id in _record_decoder.decode(entry.value).shares:
                customer_id = CustomerId(key.removeprefix(QUOTA_PREFIX))
                self._share_by_customer.setdefault(
                    customer_id,
                    CustomerShare(self._partition_id, self._epoch, UNLIMITED),
                )
        self._shares_restored = True

    async def _adjust_share(self, customer_id: CustomerId, use: QuotaUse) -> None:
        share = self._share_by_customer[customer_id]
        key = f"{QUOTA_PREFIX}{customer_id}"
        limited = share.quota is not UNLIMITED
        now_s = self._clock.monotonic_s()
        read_at_s = self._read_s_by_customer.get(customer_id, now_s)
        # Other partitions may have returned what these tasks wait for.
        outdated = use.demand and now_s - read_at_s >= REREAD_INTERVAL_S
        if customer_id not in self._version_by_customer or outdated:
            await self._read_record(customer_id, share, key)
            self._read_s_by_customer[customer_id] = now_s
        # A customer without a limit needs no share and returns the one it has.
        used, demand = (use.used, use.demand) if limited else (NO_RESOURCES, ())
        record = share.plan(used, demand, now_s)
        if limited:
            self._user.limit_customer(customer_id, share.limit)
        if record is None:
            return
        version = await self._store.put(
            key,
            msgspec.msgpack.encode(record),
            expected_version=self._version_by_customer[customer_id],
        )
        self._version_by_customer[customer_id] = version
        self._metrics.count("jobs.quota_share_written")
        share.confirm_write(record)
        if limited:
            self._user.limit_customer(customer_id, share.limit)

    async def _read_record(
        self, customer_id: CustomerId, share: CustomerShare, key: str
    ) -> None:
        entry = await self._store.get(key)
        share.record = _record_decoder.decode(entry.value) if entry else QuotaRecord()
        self._version_by_customer[customer_id] = entry.version if entry else 0
