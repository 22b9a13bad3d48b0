"""The registry of instances in the platform's store, and calls to all of them."""

import logging
from collections.abc import Coroutine

import msgspec
from twisted.internet.error import ConnectError
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.task import deferLater

from ..common import (
    InvalidInputError,
    MalformedMessageError,
    Metrics,
    NoOwnerError,
    StoreUnavailableError,
    encode_json,
    log_event,
)
from .background import run_in_background
from .interfaces import CoordinationStore, Put, TransactionConflictError
from .ownership import OwnerRecord, decode_owner_record
from .partition_map import PartitionNumber
from .peer_link import PeerConnection, connect_peer
from .peer_messages import Announce

__all__ = ["MEMBER_PREFIX", "MemberRegistry"]

logger = logging.getLogger(__name__)

MEMBER_PREFIX = "pistachiolift/members/"
RETRY_INTERVAL_S = 0.3

# An instance that answers none of these attempts is removed from the registry. It
# registers again when it learns of an owner.
MAX_ANNOUNCE_ATTEMPTS = 4
ANNOUNCE_TIMEOUT_S = 1.0


class MemberRegistry:
    """Registers this instance, and announces its ownership to the other instances.

    :param own_record: this instance's record.
    :param make: returns a new connection for calls about a partition.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        store: CoordinationStore,
        *,
        own_record: OwnerRecord,
        metrics: Metrics,
        make,
    ):
        self._reactor = reactor
        self.store = store
        self._own_record = own_record
        self._metrics = metrics
        self._make = make
        self._registering = False

    def register(self) -> None:
        """Register this instance unless it is registered already."""
        if not self._registering:
            self._registering = True
            self._spawn(self._register())

    def _spawn(self, coroutine: Coroutine) -> None:
        run_in_background(coroutine, logger=logger, event="members_failed")

    async def _register(self) -> None:
        key = MEMBER_PREFIX + self._own_record.instance_id
        value = encode_json(self._own_record)
        try:
            while True:
                try:
                    entry = await self.store.get(key)
                    if entry is not None and entry.value == value:
                        return
                    await self.store.transact(expected={}, puts={key: Put(value)})
                    return
                except StoreUnavailableError:
                    self._metrics.count("members.enter_failed")
                    await deferLater(self._reactor, RETRY_INTERVAL_S)
        finally:
            self._registering = False

    def announce(self, partition: PartitionNumber, fence: int) -> None:
        """Notify all instances that this one owns a partition.

        :param fence: version of this instance's claim.
        """
        self._spawn(self._announce(partition, fence))

    async def _announce(self, partition: PartitionNumber, fence: int) -> None:
        try:
            listing = await self.store.list_prefix(MEMBER_PREFIX)
        except StoreUnavailableError as error:
            log_event(logger, "announcement_failed", reason=error.message)
            return
        for key, entry in listing.entries_by_key.items():
            try:
                member = decode_owner_record(entry.value)
            except MalformedMessageError as error:
                log_event(logger, "member_malformed", key=key, reason=error.message)
                continue
            if member.instance_id != self._own_record.instance_id:
                announcing = self._announce_to(
                    member, key, entry.version, partition, fence
                )
                self._spawn(announcing)

    async def _announce_to(
        self,
        member: OwnerRecord,
        key: str,
        version: int,
        partition: PartitionNumber,
        fence: int,
    ) -> None:
        message = Announce(fence=fence, **msgspec.structs.asdict(self._own_record))
        for _ in range(MAX_ANNOUNCE_ATTEMPTS):
            connection: PeerConnection = self._make(partition)
            try:
                await connect_peer(self._reactor, member.address, connection)
                await connection.call(message, timeout_s=ANNOUNCE_TIMEOUT_S)
                return
            except (NoOwnerError, ConnectError, InvalidInputError, OSError) as error:
                reason = type(error).__name__
                await deferLater(self._reactor, RETRY_INTERVAL_S)
            finally:
                connection.close()
        log_event(logger, "member_dropped", member=member.instance_id, reason=reason)
        try:
            await self.store.transact(expected={key: version}, puts={}, removes=(key,))
        except (StoreUnavailableError, TransactionConflictError) as error:
            log_event(logger, "member_drop_failed", reason=error.message)
