"""The connection of an entry instance to a partition's owner."""

import logging
from collections.abc import Callable

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IReactorTCP

from ..common import log_event
from .ownership import DeathEvidence, OwnerRecord
from .peer_link import PeerConnection, connect_peer

__all__ = ["OwnerLink"]

logger = logging.getLogger(__name__)

RECONNECT_INTERVAL_S = 0.12
# Consecutive refused connections after which the owner is taken for dead.
REFUSED_LIMIT = 2


class OwnerLink:
    """Keeps one connection to the current owner.

    :param make: returns a new connection with the callbacks ``on_open`` and
        ``on_close``.
    :param own_id: identifier of this instance, which needs no connection to itself.
    :param on_died: called with the evidence when the owner's process seems to have
        ended.
    :param on_unreachable: called when the connection is lost or cannot be opened.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        make: Callable[..., PeerConnection],
        own_id: str,
        on_died: Callable[[OwnerRecord, DeathEvidence], None],
        on_unreachable: Callable[[], None],
    ):
        self._reactor = reactor
        self._make = make
        self._own_id = own_id
        self._on_died = on_died
        self._on_unreachable = on_unreachable
        self._refused = 0
        self._target: OwnerRecord | None = None
        self._current: PeerConnection | None = None
        self._connecting = False

    @property
    def connection(self) -> PeerConnection | None:
        """The open connection to the owner, ``None`` if there is none."""
        connection = self._current
        if connection is None or not connection.open or connection.peer is None:
            return None
        return connection

    def set_owner(self, record: OwnerRecord | None) -> None:
        """Connect to a new owner; if there is no owner, keep the current connection."""
        if record is None:
            return
        if record == self._target and self.connection is not None:
            return
        self._target = record
        if self._current is not None:
            self._current.close()
            self._current = None
        self._connect()

    def _connect(self) -> None:
        target = self._target
        if target is None or target.instance_id == self._own_id or self._connecting:
            return
        self._connecting = True
        connection = self._make(on_open=self._handle_open, on_close=self._handle_close)
        waiting = connect_peer(self._reactor, target.address, connection)
        waiting.addCallbacks(
            lambda _: self._handle_connected(connection, target),
            lambda failure: self._handle_connect_failure(failure, target),
        )

    def _handle_connected(
        self, connection: PeerConnection, target: OwnerRecord
    ) -> None:
        self._connecting = False
        self._refused = 0
        if target != self._target:
            connection.close()
            self._connect()
            return
        self._current = connection

    def _handle_connect_failure(self, failure, target: OwnerRecord) -> None:
        self._connecting = False
        self._on_unreachable()
        refused = failure.check(ConnectionRefusedError) is not None
        self._refused = self._refused + 1 if refused else 0
        if self._refused >= REFUSED_LIMIT and target == self._target:
            self._on_died(target, DeathEvidence.REFUSED)
        log_event(
            logger,
            "owner_link_failed",
            level=logging.DEBUG,
            owner=target.instance_id,
            reason=failure.type.__name__,
        )
        self._reactor.callLater(RECONNECT_INTERVAL_S, self._connect_again)

    def _connect_again(self) -> None:
        if self._current is None:
            self._connect()

    def _handle_open(self, connection: PeerConnection) -> None:
        log_event(logger, "owner_link_open", owner=connection.peer.instance_id)
        target = self._target
        if (
            connection.peer.instance_id == target.instance_id
            and connection.peer.incarnation != target.incarnation
        ):
            self._on_died(target, DeathEvidence.REPLACED)

    def _handle_close(self, connection: PeerConnection) -> None:
        if connection is self._current:
            self._current = None
            self._on_unreachable()
            log_event(
                logger,
                "owner_link_lost",
                owner=connection.peer.instance_id if connection.peer else "",
            )
            self._reactor.callLater(RECONNECT_INTERVAL_S, self._connect_again)
