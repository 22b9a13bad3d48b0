"""Carries out the actions of the ownership core."""

import logging
from abc import ABC, abstractmethod

import msgspec
from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from ..backends import KeyValueStore
from ..common import (
    Clock,
    Epoch,
    InstanceId,
    MalformedMessageError,
    Metrics,
    PartitionId,
    PistachioliftError,
    VersionConflictError,
    log_event,
)
from ..ownership import (
    BeginAuthority,
    DrainCompleted,
    DrainStarted,
    EndAuthority,
    EpochChanged,
    HandOver,
    HandOverReceived,
    InstancesSeen,
    ListInstances,
    OwnershipAction,
    OwnershipCore,
    OwnershipEvent,
    PartitionRecord,
    PromiseReceived,
    PromiseRequested,
    ReadRecord,
    RecordSeen,
    RecordWriteFailed,
    RecordWriteSucceeded,
    RefusePromise,
    RequestPromise,
    SendPromise,
    StartRecovery,
    StoreContact,
    Tick,
    WriteFailure,
    WriteRecord,
)
from .store_session import INSTANCE_PREFIX, record_key

__all__ = ["AuthorityListener", "OwnershipDriver"]

logger = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.1

_PeerEvent = PromiseRequested | PromiseReceived | HandOverReceived
_peer_event_decoder = msgspec.msgpack.Decoder(_PeerEvent)


class AuthorityListener(ABC):
    """Receives the start, changes and the end of authority over partitions."""

    @abstractmethod
    def recovery_started(self, partition_id: PartitionId, epoch: Epoch) -> None:
        """Start a recovery; report its end with a ``PartitionRecovered`` event."""

    @abstractmethod
    def authority_began(self, partition_id: PartitionId, epoch: Epoch) -> None:
        """Start decisions for the partition."""

    @abstractmethod
    def epoch_changed(self, partition_id: PartitionId, epoch: Epoch) -> None:
        """Use the new epoch in later commands."""

    @abstractmethod
    def authority_ended(self, partition_id: PartitionId, reason: str) -> None:
        """Stop decisions for the partition."""

    @abstractmethod
    def owner_seen(
        self, partition_id: PartitionId, owner: InstanceId | None, epoch: Epoch
    ) -> None:
        """Record the owner named in a partition record."""

    @abstractmethod
    def hand_over(
        self, to_id: InstanceId, partition_id: PartitionId, notice: bytes
    ) -> None:
        """Send the state of a partition, then the notice, to its new owner."""

    @abstractmethod
    def send_notice(self, to_id: InstanceId, notice: bytes) -> None:
        """Send a message of the ownership protocol."""

    @abstractmethod
    def drain_completed(self) -> None:
        """Handle the end of a drain: this instance owns no partition any more."""


class OwnershipDriver:
    """Feeds events to the core and carries out the actions that it returns."""

    def __init__(
        self,
        reactor: IReactorTime,
        core: OwnershipCore,
        store: KeyValueStore,
        *,
        clock: Clock,
        self_id: InstanceId,
        metrics: Metrics,
        listener: AuthorityListener,
    ):
        self._core = core
        self._store = store
        self._clock = clock
        self._self_id = self_id
        self._metrics = metrics
        self._listener = listener
        self._ticking = LoopingCall(lambda: self.handle(Tick()))
        self._ticking.clock = reactor

    def __enter__(self) -> "OwnershipDriver":
        self._ticking.start(TICK_INTERVAL_S)
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self._ticking.running:
            self._ticking.stop()

    def may_decide(self, partition_id: PartitionId) -> bool:
        """Whether a batch of decisions may be made now."""
        return self._core.may_decide(partition_id, self._clock.monotonic_s())

    def start_drain(self) -> None:
        """Hand over all partitions."""
        self.handle(DrainStarted())

    def handle(self, event: OwnershipEvent) -> None:
        """Feed one event to the core and carry out the resulting actions."""
        has_record = isinstance(event, RecordSeen | RecordWriteSucceeded)
        if has_record and event.record is not None:
            self._listener.owner_seen(
                event.partition_id, event.record.owner, event.record.epoch
            )
        for action in self._core.on_event(event, self._clock.monotonic_s()):
            self._carry_out(action)

    def handle_notice(self, sender: InstanceId, data: bytes) -> None:
        """Handle a message of the ownership protocol from a peer.

        :raises MalformedMessageError: if the message does not decode.
        """
        try:
            event = _peer_event_decoder.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise MalformedMessageError(
                f"ownership notice does not decode: {error}"
            ) from error
        if event.from_id == sender:
            self.handle(event)

    def _carry_out(self, action: OwnershipAction) -> None:
        match action:
            case WriteRecord():
                self._start(self._write(action))
            case ReadRecord():
                self._start(self._read(action.partition_id))
            case ListInstances():
                self._start(self._list_instances())
            case RequestPromise() | SendPromise() | HandOver():
                self._send(action)
            case RefusePromise():
                self._metrics.count(f"refusal.promise.{action.reason.value}")
                log_event(
                    logger,
                    "promise_refused",
                    partition=action.partition_id,
                    to=action.to_id,
                    reason=action.reason.value,
                )
            case _:
                self._notify_listener(action)

    def _notify_listener(self, action: OwnershipAction) -> None:
        listener = self._listener
        match action:
            case StartRecovery(partition_id=partition, epoch=epoch):
                log_event(logger, "recovery_started", partition=partition, epoch=epoch)
                listener.recovery_started(partition, epoch)
            case BeginAuthority(partition_id=partition, epoch=epoch):
                log_event(logger, "authority_began", partition=partition, epoch=epoch)
                listener.authority_began(partition, epoch)
            case EpochChanged(partition_id=partition, epoch=epoch):
                log_event(logger, "epoch_changed", partition=partition, epoch=epoch)
                listener.epoch_changed(partition, epoch)
            case EndAuthority(partition_id=partition, epoch=epoch, reason=reason):
                log_event(
                    logger,
                    "authority_ended",
                    partition=partition,
                    epoch=epoch,
                    reason=reason.value,
                )
                listener.authority_ended(partition, reason.value)
            case DrainCompleted():
                listener.drain_completed()

    def _send(self, action: OwnershipAction) -> None:
        match action:
            case RequestPromise():
                event = PromiseRequested(
                    from_id=self._self_id,
                    partition_id=action.partition_id,
                    epoch=action.epoch,
                    request_id=action.request_id,
                )
            case SendPromise():
                event = PromiseReceived(
                    from_id=self._self_id,
                    partition_id=action.partition_id,
                    request_id=action.request_id,
                    duration_s=action.duration_s,
                )
            case _:
                event = HandOverReceived(
                    from_id=self._self_id,
                    partition_id=action.partition_id,
                    record=action.record,
                    version=action.version,
                )
        notice = msgspec.msgpack.encode(event)
        if isinstance(action, HandOver):
            self._listener.hand_over(action.to_id, action.partition_id, notice)
        else:
            self._listener.send_notice(action.to_id, notice)

    def _start(self, coroutine) -> None:
        ensureDeferred(coroutine).addErrback(self._log_failure)

    def _log_failure(self, failure) -> None:
        log_event(
            logger,
            "ownership_action_failed",
            level=logging.ERROR,
            error=failure.getErrorMessage(),
            traceback=failure.getTraceback(),
        )

    async def _write(self, action: WriteRecord) -> None:
        sent_at_s = self._clock.monotonic_s()
        self._metrics.count("store.record_writes")
        try:
            version = await self._store.put(
                record_key(action.partition_id),
                action.record.to_bytes(),
                expected_version=action.expected_version,
            )
        except VersionConflictError:
            self._report_write_failure(action, WriteFailure.CONFLICT)
        except PistachioliftError:
            self._report_write_failure(action, WriteFailure.UNKNOWN)
        else:
            self.handle(StoreContact(at_s=sent_at_s))
            self.handle(
                RecordWriteSucceeded(
                    partition_id=action.partition_id,
                    record=action.record,
                    version=version,
                )
            )

    def _report_write_failure(self, action: WriteRecord, failure: WriteFailure) -> None:
        self._metrics.count(f"retry.record_write.{failure.value}")
        self.handle(
            RecordWriteFailed(
                partition_id=action.partition_id,
                expected_version=action.expected_version,
                failure=failure,
            )
        )

    async def _read(self, partition_id: PartitionId) -> None:
        sent_at_s = self._clock.monotonic_s()
        try:
            entry = await self._store.get(record_key(partition_id))
        except PistachioliftError as error:
            self._metrics.count(f"retry.record_read.{error.code.value}")
            return
        self.handle(StoreContact(at_s=sent_at_s))
        record = PartitionRecord.from_bytes(entry.value) if entry else None
        self.handle(
            RecordSeen(
                partition_id=partition_id,
                record=record,
                version=entry.version if entry else 0,
            )
        )

    async def _list_instances(self) -> None:
        sent_at_s = self._clock.monotonic_s()
        try:
            listing = await self._store.list_prefix(INSTANCE_PREFIX)
        except PistachioliftError as error:
            self._metrics.count(f"retry.instance_list.{error.code.value}")
            return
        self.handle(StoreContact(at_s=sent_at_s))
        data_centres = {}
        for key, entry in listing.entries_by_key.items():
            document = msgspec.json.decode(entry.value, type=dict[str, str])
            instance_id = InstanceId(key.removeprefix(INSTANCE_PREFIX))
            data_centres[instance_id] = document["data_centre"]
        self.handle(
            InstancesSeen(
                data_centres_by_instance=data_centres,
                version=listing.revision,
                asked_at_s=sent_at_s,
            )
        )
