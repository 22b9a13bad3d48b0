"""The connection of an entry instance to the owner."""

import logging
from collections.abc import Callable

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IReactorTCP

from ..common import log_event
from .ownership import OwnerRecord
from .peer_link import PeerConnection, connect_peer

__all__ = ["OwnerLink"]

logger = logging.getLogger(__name__)

RECONNECT_INTERVAL_S = 0.12
# Connections refused in a row after which the owner's process has ended.
REFUSED_LIMIT = 2


class OwnerLink:
    """Keeps one connection to the instance that the store names as the owner.

    :param make: returns a new connection with a callback for its opening and its end.
    :param on_died: called when the owner's process has certainly ended.
    :param on_unreachable: called when the connection is lost or cannot be opened.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        make: Callable[..., PeerConnection],
        own_id: str,
        on_died: Callable[[OwnerRecord], None],
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
        """The open connection to the owner, ``None`` while there is none."""
        connection = self._current
        if connection is None or not connection.open or connection.peer is None:
            return None
        return connection

    def set_owner(self, record: OwnerRecord | None) -> None:
        """Connect to another owner; without one, keep what is open."""
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
        connection = self._make(on_open=self._opened, on_close=self._closed)
        waiting = connect_peer(self._reactor, target.address, connection)
        waiting.addCallbacks(
            lambda _: self._connected(connection, target),
            lambda failure: self._failed(failure, target),
        )

    def _connected(self, connection: PeerConnection, target: OwnerRecord) -> None:
        self._connecting = False
        self._refused = 0
        if target != self._target:
            connection.close()
            self._connect()
            return
        self._current = connection

    def _failed(self, failure, target: OwnerRecord) -> None:
        self._connecting = False
        self._on_unreachable()
        refused = failure.check(ConnectionRefusedError) is not None
        self._refused = self._refused + 1 if refused else 0
        if self._refused >= REFUSED_LIMIT and target == self._target:
            self._on_died(target)
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

    def _opened(self, connection: PeerConnection) -> None:
        log_event(logger, "owner_link_open", owner=connection.peer.instance_id)
        target = self._target
        if (
            connection.peer.instance_id == target.instance_id
            and connection.peer.incarnation != target.incarnation
        ):
            self._on_died(target)

    def _closed(self, connection: PeerConnection) -> None:
        if connection is self._current:
            self._current = None
            self._on_unreachable()
            log_event(
                logger,
                "owner_link_lost",
                owner=connection.peer.instance_id if connection.peer else "",
            )
            self._reactor.callLater(RECONNECT_INTERVAL_S, self._connect_again)
