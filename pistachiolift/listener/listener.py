"""Listening socket for callers with a graceful shutdown."""

import select
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, TimeoutError, maybeDeferred
from twisted.internet.interfaces import IListeningPort, IReactorCore
from twisted.internet.task import deferLater

from ..common import InvalidInputError
from .site import StreamingSite

if TYPE_CHECKING:
    from twisted.internet.ssl import CertificateOptions

__all__ = ["Listener", "load_certificate"]

# Connections that the kernel queues while the process is busy. A load balancer opens
# many at once when another instance leaves.
BACKLOG = 512

# Time for requests to arrive that callers sent before the port was closed; a few round
# trips between data centres.
IN_TRANSIT_WAIT_S = 0.1

PEM_END = b"-----END CERTIFICATE-----"


def load_certificate(key_file: Path, certificate_file: Path) -> "CertificateOptions":
    """Return the TLS settings for a key and a certificate chain in PEM format.

    :param key_file: the private key.
    :param certificate_file: the certificate, followed by its issuers if any.
    :raises InvalidInputError: if a file cannot be read or does not parse.
    """
    # Instances that serve plain HTTP are deployed without the TLS libraries.
    from OpenSSL import crypto
    from twisted.internet.ssl import CertificateOptions

    try:
        key = crypto.load_privatekey(crypto.FILETYPE_PEM, key_file.read_bytes())
        parts = certificate_file.read_bytes().split(PEM_END)[:-1]
        chain = [
            crypto.load_certificate(crypto.FILETYPE_PEM, part + PEM_END)
            for part in parts
        ]
    except (OSError, crypto.Error, ValueError) as error:
        raise InvalidInputError(
            f"cannot load key {key_file} or certificate {certificate_file}: {error}"
        ) from error
    if not chain:
        raise InvalidInputError(f"{certificate_file} contains no PEM certificate")
    return CertificateOptions(
        privateKey=key, certificate=chain[0], extraCertChain=chain[1:]
    )


def _accept_backlog(port: IListeningPort) -> None:
    poll = select.poll()
    poll.register(port.fileno(), select.POLLIN)
    for _ in range(BACKLOG):
        if not poll.poll(0):
            return
        port.doRead()


class Listener:
    """Accepts connections for a site inside an ``async with`` block.

    At the end of the block it stops accepting connections, waits for the requests in
    flight and closes the connections.

    :param site: the server factory.
    :param reactor: Twisted's reactor.
    :param host: IP address to listen on.
    :param port: TCP port, 0 for any.
    :param key_file: PEM file of the private key; both files together enable TLS.
    :param certificate_file: PEM file of the certificate and its issuers.
    :param finish_timeout_s: maximum time to wait for requests in flight, in seconds;
        ``None`` waits until all have ended, so that none is cut off.
    """

    def __init__(
        self,
        site: StreamingSite,
        *,
        reactor: IReactorCore,
        host: str,
        port: int,
        key_file: Path | None = None,
        certificate_file: Path | None = None,
        finish_timeout_s: float | None = None,
    ):
        if (key_file is None) is not (certificate_file is None):
            raise InvalidInputError(
                "key_file and certificate_file must be given together; got key_file "
                f"{key_file} and certificate_file {certificate_file}"
            )
        self._site = site
        self._reactor = reactor
        self._address = host, port
        self._files = (key_file, certificate_file) if key_file else None
        self.finish_timeout_s = finish_timeout_s
        self._port: IListeningPort | None = None

    @property
    def port(self) -> int:
        """The TCP port in use."""
        return self._port.getHost().port

    def start(self) -> None:
        """Start accepting connections."""
        host, port = self._address
        listen: Callable[..., IListeningPort] = self._reactor.listenTCP
        arguments = ()
        if self._files is not None:
            listen, arguments = (
                self._reactor.listenSSL,
                (load_certificate(*self._files),),
            )
        self._port = listen(
            port, self._site, *arguments, backlog=BACKLOG, interface=host
        )

    async def stop_accepting(self) -> None:
        """Close the listening socket, then the idle connections.

        Requests that are in transit when the socket closes are still served.
        """
        port, self._port = self._port, None
        if port is not None:
            # Runs right before the socket is closed: closing it would reset the
            # connections that wait to be accepted.
            self._reactor.callLater(0, _accept_backlog, port)
            await maybeDeferred(port.stopListening)
            await deferLater(self._reactor, IN_TRANSIT_WAIT_S)
        self._site.drain()

    async def finish_requests(self) -> None:
        """Wait for the requests in flight, then close their connections."""
        closed: Deferred = self._site.when_closed()
        if self.finish_timeout_s is not None:
            closed.addTimeout(self.finish_timeout_s, self._reactor)
        try:
            await closed
        except TimeoutError:
            self._site.abort_all()
            await self._site.when_closed()

    async def __aenter__(self) -> "Listener":
        self.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.stop_accepting()
        await self.finish_requests()
