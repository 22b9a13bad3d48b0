"""Directory entries of the workers in the platform's store."""

import msgspec

from ..common import MalformedMessageError, RackId, WorkerId
from ..workflows import PoolId, Worker, WorkerState
from .wire import WireSize, decode_wire

__all__ = ["WORKER_PREFIX", "decode_worker"]

WORKER_PREFIX = "servers/"

_STATES = {"ready": WorkerState.READY, "draining": WorkerState.DRAINING}


class _WorkerEntry(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    state: str
    capacity: WireSize
    # Kind of the worker, then its rack.
    labels: list[str]
    # Start time of the process, in milliseconds of Unix time.
    incarnation: int = msgspec.field(name="born")


def decode_worker(key: str, value: bytes) -> Worker:
    """Decode a directory entry.

    :raises MalformedMessageError: if a field is missing or has another type, or if
        the state is unknown.
    """
    wire = decode_wire(value, _WorkerEntry)
    state = _STATES.get(wire.state)
    if state is None:
        raise MalformedMessageError(
            f"state is {wire.state[:40]!r}; must be ready or draining"
        )
    host, separator, port = wire.address.rpartition(":")
    if not host or not separator or not port.isdecimal():
        raise MalformedMessageError(
            f"address is {wire.address[:60]!r}; must be of the form HOST:PORT"
        )
    return Worker(
        worker_id=WorkerId(key.removeprefix(WORKER_PREFIX)),
        address=wire.address,
        pool_id=PoolId(wire.service),
        zone=wire.zone,
        incarnation=wire.incarnation,
        state=state,
        capacity=wire.capacity.to_size(),
        labels=tuple(wire.labels),
        rack=RackId(wire.labels[1] if len(wire.labels) > 1 else ""),
    )
