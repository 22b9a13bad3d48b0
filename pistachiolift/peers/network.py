"""Sends and receives peer messages over pynng in Twisted's event loop."""

import hashlib
import hmac
import logging
from collections.abc import Callable

import pynng
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IReactorFDSet, IReadDescriptor
from zope.interface import implementer

from ..common import (
    InstanceId,
    MalformedMessageError,
    Metrics,
    log_event,
    platform_instance_id,
)
from .messages import MESSAGE_LIMIT_BYTES, PeerMessage, decode_message, encode_message

__all__ = ["PeerNetwork"]

logger = logging.getLogger(__name__)

SEND_BUFFER_MESSAGES = 1024
RECEIVE_BUFFER_MESSAGES = 1024
# Bounds the time for which a burst of messages blocks the event loop.
MESSAGES_PER_WAKEUP = 64
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000
MAC_BYTES = 16
# The MAC, a length byte and the longest recipient.
FRAME_OVERHEAD_BYTES = MAC_BYTES + 1 + 255


@implementer(IReadDescriptor)
class _SocketReader:
    """Adapts a pynng socket to Twisted's reactor."""

    def __init__(self, socket: pynng.Socket, on_readable: Callable[[], None]):
        self._fd = socket.recv_fd
        self._on_readable = on_readable

    def fileno(self) -> int:
        return self._fd

    def doRead(self) -> None:  # noqa: N802
        self._on_readable()

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        pass

    def logPrefix(self) -> str:  # noqa: N802
        return "peers"


class _Peer:
    """The outgoing socket to one peer."""

    def __init__(self, address: str):
        self.address = address
        self.socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self.socket.dial(f"tcp://{address}", block=False)


def _split_recipient(payload: bytes) -> tuple[str, bytes]:
    """Split the authenticated part of a frame.

    :returns: the recipient and the encoded message.
    :raises MalformedMessageError: if the frame is too short.
    """
    end = 1 + payload[0] if payload else 1
    if len(payload) <= end:
        raise MalformedMessageError(
            f"frame has {len(payload)} bytes after its MAC; more than {end} are needed"
        )
    return payload[1:end].decode("utf-8", "replace"), payload[end:]


class PeerNetwork:
    """One listening socket for all peers and one outgoing socket for each peer.

    Delivery is not guaranteed: a message to a peer whose send buffer is full is
    dropped and counted, and the protocols on top resend what must arrive. As a
    context manager it closes all sockets on exit.

    :param self_id: identity of this process; messages to it are delivered locally.
    :param listen_address: IP address and port to listen on.
    :param secret: shared key of the message MACs; empty for no authentication.
    :param on_message: called with each decoded message.
    """

    def __init__(
        self,
        reactor: IReactorFDSet,
        *,
        self_id: InstanceId,
        listen_address: str,
        secret: bytes,
        metrics: Metrics,
        on_message: Callable[[PeerMessage], None],
    ):
        self._reactor = reactor
        self._self_id = self_id
        self._secret = secret
        self._metrics = metrics
        self._on_message = on_message
        self._peers_by_id: dict[InstanceId, _Peer] = {}
        self._listener = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            recv_max_size=MESSAGE_LIMIT_BYTES + FRAME_OVERHEAD_BYTES,
        )
        self._listen(listen_address)
        self._reader = _SocketReader(self._listener, self._receive)
        reactor.addReader(self._reader)

    def _listen(self, address: str) -> None:
        try:
            self._listener.listen(f"tcp://{address}")
        except pynng.AddressInUse as error:
            self._listener.close()
            host, _, port = address.rpartition(":")
            raise CannotListenError(host, int(port), error) from error

    def __enter__(self) -> "PeerNetwork":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    @property
    def peer_ids(self) -> list[InstanceId]:
        """Platform identifiers of the peers with an outgoing socket."""
        return list(self._peers_by_id)

    def connect(self, instance_id: InstanceId, address: str) -> None:
        """Connect to a peer, or reconnect if its address has changed.

        :param instance_id: the platform's identifier of the peer.
        """
        known = self._peers_by_id.get(instance_id)
        if known is not None and known.address == address:
            return
        self.disconnect(instance_id)
        self._peers_by_id[instance_id] = _Peer(address)

    def disconnect(self, instance_id: InstanceId) -> None:
        """Close the socket to a peer."""
        peer = self._peers_by_id.pop(instance_id, None)
        if peer is not None:
            peer.socket.close()

    def send(self, instance_id: InstanceId, message: PeerMessage) -> bool:
        """Send a message.

        :param instance_id: identity of a process, or the platform's identifier to
            reach whichever process runs on the instance.
        :returns: whether the message was queued for sending.
        """
        if instance_id in (self._self_id, platform_instance_id(self._self_id)):
            self._reactor.callLater(0, self._on_message, message)
            return True
        peer = self._peers_by_id.get(platform_instance_id(instance_id))
        if peer is None:
            self._metrics.count("peers.no_such_peer")
            return False
        recipient = instance_id.encode()
        payload = bytes([len(recipient)]) + recipient + encode_message(message)
        try:
            peer.socket.send(self._mac(payload) + payload, block=False)
        except pynng.TryAgain:
            self._metrics.count("peers.send_buffer_full")
            return False
        self._metrics.count("peers.sent_bytes", len(payload) + MAC_BYTES)
        self._metrics.count("peers.sent_messages")
        return True

    def _mac(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload, key=self._secret, digest_size=MAC_BYTES
        ).digest()

    def _receive(self) -> None:
        for _ in range(MESSAGES_PER_WAKEUP):
            try:
                frame = self._listener.recv(block=False)
            except pynng.TryAgain:
                return
            self._handle_frame(frame)

    def _handle_frame(self, frame: bytes) -> None:
        self._metrics.count("peers.received_bytes", len(frame))
        payload = frame[MAC_BYTES:]
        if not hmac.compare_digest(frame[:MAC_BYTES], self._mac(payload)):
            self._metrics.count("refusal.peer_authentication_failed")
            return
        try:
            recipient, data = _split_recipient(payload)
            if recipient not in (self._self_id, platform_instance_id(self._self_id)):
                # Addressed to an earlier process on this instance.
                self._metrics.count("peers.other_recipient")
                return
            message = decode_message(data)
        except MalformedMessageError as error:
            self._metrics.count("refusal.malformed_message")
            log_event(logger, "peer_message_refused", code=error.code.value)
            return
        self._on_message(message)

    def close(self) -> None:
        """Close all sockets."""
        self._reactor.removeReader(self._reader)
        self._listener.close()
        for instance_id in self.peer_ids:
            self.disconnect(instance_id)
