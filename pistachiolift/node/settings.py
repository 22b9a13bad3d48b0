"""Settings of an instance, read from the file that the platform renders."""

from pathlib import Path

import msgspec

from ..common import InvalidInputError, MalformedMessageError, decode_json

__all__ = ["NodeSettings", "read_settings"]

SETTINGS_LIMIT_BYTES = 65_536

# Resources that an owner of a full partition needs. With 176 workers and 460 starts per
# second it uses up to 0.65 of a core on average, several times that in bursts, and less
# than 10 Mbit/s.
OWNER_CORES = 2.0
OWNER_LINK_MBPS = 50.0
WORKERS_PER_PARTITION = 176


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses and resource limits of an instance.

    :param instance_id: name of the machine.
    :param caller_address: IP address and port for callers.
    :param ready_address: IP address and port of the readiness check.
    :param peer_ports: first and last port available for traffic between instances.
    :param store_writes_per_s: write rate that the store allows to all instances
        together.
    :param adviser_address: IP address and port of the adviser; empty if no queue needs
        advice.
    :param cpu_share: share of a core that the process may use.
    :param core_speed: speed of that core, in ordinary cores.
    :param link_mbps: bandwidth of the instance's link, in Mbit/s.
    :param grace_s: time between SIGTERM and SIGKILL, in seconds.
    :param lease_limit_ms: longest lease of the runs of a worker, in milliseconds.
    :param workers_per_partition: approximate number of workers per partition; used only
        when a cell starts for the first time.
    :param configuration_limit_ms: time within which an acknowledged configuration must
        be in force, in milliseconds.
    :param keep_final_s: time for which the state of a finished job can be queried, in
        seconds.
    """

    instance_id: str
    ip: str
    zone: str
    caller_address: str
    ready_address: str
    peer_ports: tuple[int, int]
    store_address: str
    store_writes_per_s: float = 400.0
    adviser_address: str | None = ""
    cpu_share: float = 1.0
    core_speed: float = 1.0
    link_mbps: float = 1_000.0
    grace_s: float = 6.0
    lease_limit_ms: float = 6_000.0
    keep_final_s: float = 120.0
    configuration_limit_ms: float = 3_000.0
    workers_per_partition: int = WORKERS_PER_PARTITION

    def __post_init__(self) -> None:
        if not 0 < self.peer_ports[0] <= self.peer_ports[1] < 65_536:
            raise ValueError(
                f"peer_ports is {self.peer_ports}; must be two ports from 1 to "
                "65535 in ascending order"
            )
        for name in ("caller_address", "ready_address", "store_address"):
            _, separator, port = getattr(self, name).rpartition(":")
            if not separator or not port.isdecimal():
                raise ValueError(
                    f"{name} is {getattr(self, name)!r}; must be of the form HOST:PORT"
                )
        if self.owner_fitness <= 0:
            raise ValueError(
                f"cpu_share is {self.cpu_share}, core_speed {self.core_speed} and "
                f"link_mbps {self.link_mbps}; all must be above 0"
            )
        if not 1 <= self.workers_per_partition <= 10_000:
            raise ValueError(
                f"workers_per_partition is {self.workers_per_partition}; must be from "
                "1 to 10000"
            )
        if not 1 <= self.store_writes_per_s <= 1_000_000:
            raise ValueError(
                f"store_writes_per_s is {self.store_writes_per_s}; must be from 1 to "
                "1000000"
            )
        for name in (
            "grace_s",
            "lease_limit_ms",
            "keep_final_s",
            "configuration_limit_ms",
        ):
            if not 0 < getattr(self, name) <= 86_400:
                raise ValueError(
                    f"{name} is {getattr(self, name)}; must be above 0, at most 86400"
                )

    @property
    def cores(self) -> float:
        """Processor capacity of the instance, in ordinary cores."""
        return self.cpu_share * self.core_speed

    @property
    def owner_fitness(self) -> float:
        """Share of the resources needed to own a full partition, 0 to 1."""
        return min(1.0, self.cores / OWNER_CORES, self.link_mbps / OWNER_LINK_MBPS)

    @property
    def peer_address(self) -> str:
        """IP address and port for other instances."""
        return f"{self.ip}:{self.peer_ports[0]}"


def read_settings(path: Path) -> NodeSettings:
    """Read and validate the settings.

    :raises InvalidInputError: if the file cannot be read or a value is out of range.
    """
    try:
        data = path.read_bytes()
        return decode_json(data, NodeSettings, limit_bytes=SETTINGS_LIMIT_BYTES)
    except (OSError, MalformedMessageError) as error:
        raise InvalidInputError(f"settings file {path.name}: {error}") from error
