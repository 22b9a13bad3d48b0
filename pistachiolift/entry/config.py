"""Start-up configuration of an entry instance."""

from dataclasses import dataclass
from pathlib import Path

from ..common import DataCentreId, InstanceId

__all__ = ["InstanceConfig"]


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceConfig:
    """Addresses, identity and limits of one entry instance.

    :param host: IP address of all listeners.
    :param caller_port: port for callers.
    :param operator_port: port for operators.
    :param peer_port: port for messages of other entry instances.
    :param store_url: base URL of the platform's key-value store.
    :param directory_url: base URL of the platform's instance directory.
    :param peer_secret: shared key that authenticates messages between instances.
    :param statsd: host and port of statsd, ``None`` to send no metrics.
    :param key_file: PEM file of the private key for TLS.
    :param certificate_file: PEM file of the certificate for TLS.
    :param drain_grace_s: time from the first failing health check until connections
        are no longer accepted, in seconds; the load balancer must notice in this time.
    """

    instance_id: InstanceId
    data_centre: DataCentreId
    host: str
    caller_port: int
    operator_port: int
    peer_port: int
    store_url: str
    directory_url: str
    peer_secret: bytes = b""
    statsd: tuple[str, int] | None = None
    key_file: Path | None = None
    certificate_file: Path | None = None
    drain_grace_s: float = 2.0
    trace_file: Path | None = None

    @property
    def peer_address(self) -> str:
        """IP address and port for messages of other entry instances."""
        return f"{self.host}:{self.peer_port}"
