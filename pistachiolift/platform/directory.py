"""Directory entries of the workers in the platform's store."""

import re
from ipaddress import AddressValueError, IPv4Address

import msgspec

from ..common import (
    InvalidInputError,
    MalformedMessageError,
    RackId,
    WorkerId,
    parse_address,
)
from ..workflows import PoolId, Worker, WorkerState
from .wire import WholeNumber, WireSize, decode_wire

__all__ = ["WORKER_PREFIX", "decode_worker"]

WORKER_PREFIX = "servers/"

# Identifiers are sent in HTTP headers.
_WORKER_ID = re.compile(r"[!-~]+")

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
    incarnation: WholeNumber = msgspec.field(name="born")


def decode_worker(key: str, value: bytes) -> Worker:
    """Decode a directory entry.

    Other writers may add entries. Whatever a worker's connection or the ledger could
    not handle is rejected here, since every owner reads the same entries.

    :raises MalformedMessageError: if a field is missing, has another type or is out of
        range, if the state is unknown, or if the identifier or the address cannot be
        used in a call.
    """
    worker_id = key.removeprefix(WORKER_PREFIX)
    if not _WORKER_ID.fullmatch(worker_id):
        raise MalformedMessageError(
            f"worker id is {worker_id[:60]!r}; must be printable ASCII without spaces"
        )
    wire = decode_wire(value, _WorkerEntry)
    state = _STATES.get(wire.state)
    if state is None:
        raise MalformedMessageError(
            f"state is {wire.state[:40]!r}; must be ready or draining"
        )
    _check_address(wire.address)
    return Worker(
        worker_id=WorkerId(worker_id),
        address=wire.address,
        pool_id=PoolId(wire.service),
        zone=wire.zone,
        incarnation=wire.incarnation,
        state=state,
        capacity=wire.capacity.to_size(),
        labels=tuple(wire.labels),
        rack=RackId(wire.labels[1] if len(wire.labels) > 1 else ""),
    )


def _check_address(address: str) -> None:
    try:
        host, _ = parse_address(address)
        IPv4Address(host)
    except (InvalidInputError, AddressValueError) as error:
        raise MalformedMessageError(f"address of a worker: {error}") from error
