"""The lease of an instance in the platform's store and its view of the control keys."""

import logging
from abc import ABC, abstractmethod

import msgspec
from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from ..backends import KeyValueStore, LeaseId, Watch, WatchEvent
from ..common import (
    Clock,
    DataCentreId,
    InstanceId,
    MalformedMessageError,
    Metrics,
    NotFoundError,
    PartitionId,
    PistachioliftError,
    StoreUnavailableError,
    encode_json,
    log_event,
)
from ..ownership import (
    InstanceLeaseGone,
    InstancesSeen,
    LeaseLost,
    LeaseRenewalFailed,
    LeaseRenewed,
    OwnershipEvent,
    PartitionRecord,
    RecordSeen,
    StoreContact,
)

__all__ = ["CONTROL_PREFIX", "StoreListener", "StoreSession", "record_key"]

logger = logging.getLogger(__name__)

CONTROL_PREFIX = "control/"
INSTANCE_PREFIX = CONTROL_PREFIX + "instances/"
PARTITION_PREFIX = CONTROL_PREFIX + "partitions/"

LEASE_TTL_S = 3.0
RENEW_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 0.3


def record_key(partition_id: PartitionId) -> str:
    """Return the store's key of a partition record."""
    return PARTITION_PREFIX + partition_id


class StoreListener(ABC):
    """Receives the events that the session derives from the store."""

    @abstractmethod
    def handle_ownership_event(self, event: OwnershipEvent) -> None:
        """Handle an event for the ownership core."""

    @abstractmethod
    def handle_instance_lost(self, instance_id: InstanceId) -> None:
        """Handle the end of an instance's lease."""


class StoreSession:
    """Renews the instance lease and watches the control keys.

    As a context manager it stops at the end; the lease then expires by itself unless
    :meth:`release_lease` was awaited before.

    :param listener: receives each event.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        store: KeyValueStore,
        *,
        clock: Clock,
        self_id: InstanceId,
        data_centre: DataCentreId,
        metrics: Metrics,
        listener: StoreListener,
    ):
        self._reactor = reactor
        self._store = store
        self._clock = clock
        self._self_id = self_id
        self._data_centre = data_centre
        self._metrics = metrics
        self._listener = listener
        self._lease_id: LeaseId | None = None
        self._key_version = 0
        self._watch: Watch | None = None
        self._delayed_calls: list[IDelayedCall] = []
        self._stopped = False
        self._data_centres_by_instance: dict[InstanceId, DataCentreId] = {}

    def __enter__(self) -> "StoreSession":
        self._start(self._renew())
        self._start(self._list_and_watch())
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop()

    @property
    def live_instances(self) -> dict[InstanceId, DataCentreId]:
        """Instances whose lease existed at the last contact."""
        return dict(self._data_centres_by_instance)

    def stop(self) -> None:
        """Stop renewing the lease and watching the control keys."""
        self._stopped = True
        if self._watch is not None:
            self._watch.stop()
        for call in self._delayed_calls:
            if call.active():
                call.cancel()

    async def release_lease(self) -> None:
        """Revoke the lease, so that peers do not have to wait until it expires."""
        self.stop()
        if self._lease_id is None:
            return
        try:
            await self._store.revoke_lease(self._lease_id)
        except PistachioliftError as error:
            log_event(logger, "lease_release_failed", code=error.code.value)

    def _start(self, coroutine) -> None:
        ensureDeferred(coroutine).addErrback(self._log_failure)

    def _log_failure(self, failure) -> None:
        log_event(
            logger,
            "store_session_failed",
            level=logging.ERROR,
            error=failure.getErrorMessage(),
            traceback=failure.getTraceback(),
        )

    def _schedule(self, delay_s: float, method) -> None:
        if self._stopped:
            return
        self._delayed_calls = [call for call in self._delayed_calls if call.active()]
        self._delayed_calls.append(
            self._reactor.callLater(delay_s, lambda: self._start(method()))
        )

    # The lease

    async def _renew(self) -> None:
        delay_s = RENEW_INTERVAL_S
        sent_at_s = self._clock.monotonic_s()
        try:
            if self._lease_id is None:
                await self._obtain_lease()
            else:
                await self._store.keep_alive(self._lease_id)
        except NotFoundError:
            self._lose_lease()
            delay_s = 0.0
        except PistachioliftError as error:
            self._metrics.count(f"retry.lease_renewal.{error.code.value}")
            self._listener.handle_ownership_event(LeaseRenewalFailed())
            delay_s = RETRY_INTERVAL_S
        else:
            self._report_renewal(sent_at_s)
        self._schedule(delay_s, self._renew)

    def _report_renewal(self, sent_at_s: float) -> None:
        self._metrics.count("store.lease_renewals")
        self._listener.handle_ownership_event(
            LeaseRenewed(
                lease_id=self._lease_id,
                key_version=self._key_version,
                sent_at_s=sent_at_s,
                ttl_s=LEASE_TTL_S,
            )
        )

    async def _obtain_lease(self) -> None:
        lease_id = await self._store.grant_lease(LEASE_TTL_S)
        # The key must not exist yet: an earlier write whose answer was lost could have
        # attached it to another lease, which no process renews.
        self._key_version = await self._store.put(
            INSTANCE_PREFIX + self._self_id,
            encode_json({"data_centre": self._data_centre}),
            expected_version=0,
            lease_id=lease_id,
        )
        self._lease_id = lease_id
        log_event(logger, "lease_obtained", instance=self._self_id, lease=lease_id)

    def _lose_lease(self) -> None:
        self._metrics.count("lease.lost")
        log_event(logger, "lease_lost", instance=self._self_id, reason="expired")
        self._listener.handle_ownership_event(LeaseLost(lease_id=self._lease_id))
        self._lease_id = None

    # The control keys

    async def _list_and_watch(self) -> None:
        sent_at_s = self._clock.monotonic_s()
        try:
            listing = await self._store.list_prefix(CONTROL_PREFIX)
        except StoreUnavailableError as error:
            self._metrics.count(f"retry.control_list.{error.code.value}")
            self._schedule(RETRY_INTERVAL_S, self._list_and_watch)
            return
        self._report_contact(sent_at_s)
        self._apply_listing(listing)
        if self._stopped:
            return
        self._watch = self._store.watch(
            CONTROL_PREFIX,
            after_revision=listing.revision,
            on_events=self._apply_watch_events,
            on_end=self._watch_ended,
        )

    def _watch_ended(self) -> None:
        self._metrics.count("retry.control_watch")
        self._watch = None
        self._schedule(RETRY_INTERVAL_S, self._list_and_watch)

    def _report_contact(self, at_s: float) -> None:
        self._listener.handle_ownership_event(StoreContact(at_s=at_s))

    def _apply_listing(self, listing) -> None:
        seen: dict[InstanceId, DataCentreId] = {}
        for key, entry in listing.entries_by_key.items():
            if key.startswith(INSTANCE_PREFIX):
                instance_id = InstanceId(key.removeprefix(INSTANCE_PREFIX))
                seen[instance_id] = self._data_centre_from(entry.value)
            else:
                self._report_record(key, entry.value, entry.version)
        gone = set(self._data_centres_by_instance) - set(seen)
        self._data_centres_by_instance = seen
        self._report_instances(listing.revision)
        for instance_id in gone:
            self._listener.handle_instance_lost(instance_id)

    def _report_instances(self, revision: int) -> None:
        self._listener.handle_ownership_event(
            InstancesSeen(
                data_centres_by_instance=dict(self._data_centres_by_instance),
                version=revision,
            )
        )

    @staticmethod
    def _data_centre_from(value: bytes) -> DataCentreId:
        try:
            return DataCentreId(msgspec.json.decode(value, type=dict)["data_centre"])
        except (msgspec.MsgspecError, KeyError):
            return DataCentreId("")

    def _report_record(self, key: str, value: bytes, version: int) -> None:
        partition_id = PartitionId(key.removeprefix(PARTITION_PREFIX))
        try:
            record = PartitionRecord.from_bytes(value)
        except MalformedMessageError as error:
            log_event(logger, "record_malformed", key=key, code=error.code.value)
            return
        self._listener.handle_ownership_event(
            RecordSeen(partition_id=partition_id, record=record, version=version)
        )

    def _apply_watch_events(self, events: list[WatchEvent]) -> None:
        for event in events:
            if event.key.startswith(INSTANCE_PREFIX):
                self._apply_instance_event(event)
            elif event.entry is not None:
                self._report_record(event.key, event.entry.value, event.entry.version)

    def _apply_instance_event(self, event: WatchEvent) -> None:
        instance_id = InstanceId(event.key.removeprefix(INSTANCE_PREFIX))
        if event.entry is not None:
            known = self._data_centres_by_instance.get(instance_id)
            data_centre = self._data_centre_from(event.entry.value)
            self._data_centres_by_instance[instance_id] = data_centre
            if known != data_centre:
                self._report_instances(event.revision)
            return
        self._data_centres_by_instance.pop(instance_id, None)
        self._listener.handle_ownership_event(
            InstanceLeaseGone(instance_id=instance_id, version=event.revision)
        )
        self._listener.handle_instance_lost(instance_id)
