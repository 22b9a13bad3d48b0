"""The operators' configuration in the platform's store."""

import logging
from collections import Counter
from hashlib import sha256
from typing import Annotated

import msgspec

from ..common import CustomerId, MalformedMessageError, log_event
from ..node.interfaces import QueueTable
from ..workflows import AdvicePolicy, Customer, PoolId, Queue, QueueId, Size
from .wire import MAX_NUMBER, Number, WholeNumber, WireSize, decode_wire

__all__ = ["CONFIGURATION_KEY", "OPERATOR_PREFIX", "decode_configuration"]

logger = logging.getLogger(__name__)

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"


_Text = Annotated[str, msgspec.Meta(min_length=1)]
_Path = Annotated[str, msgspec.Meta(pattern="^/")]
_Version = Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]


class _Advice(msgspec.Struct, rename="pascal"):
    decide_ms: Number = 0.0
    # Processing time for each worker named in a call.
    each_ms: Number = 0.0
    valid_ms: Number = 0.0


class _Route(msgspec.Struct, rename="pascal"):
    """A queue, selected by the host and the path of a request."""

    name: _Text
    host: _Text
    prefix: _Path
    # Pool of workers that runs the queue's tasks.
    service: _Text
    priority: WholeNumber = 0
    # Limit of failed runs of a task, not of a client's calls.
    max_attempts: WholeNumber = 1
    stretch: Number = 1.0
    target_duration_ms: Number = 0.0
    advice: _Advice | None = None
    # Whether callers need no key.
    public: bool = False

    def to_queue(self) -> Queue:
        """Convert to the scheduler's model."""
        advice = None
        if self.advice is not None:
            advice = AdvicePolicy(
                decide_s=self.advice.decide_ms / 1000,
                each_s=self.advice.each_ms / 1000,
                valid_s=self.advice.valid_ms / 1000,
            )
        return Queue(
            queue_id=QueueId(self.name),
            host=self.host.lower(),
            prefix=self.prefix,
            pool_id=PoolId(self.service),
            priority=self.priority,
            max_failures=max(1, self.max_attempts),
            stretch=self.stretch,
            target_s=self.target_duration_ms / 1000,
            advice=advice,
            public=self.public,
        )


class _Tenant(msgspec.Struct, rename="pascal"):
    """A customer."""

    name: str
    api_keys: list[str] | None = None
    # Jobs per second, and share of the workers.
    weight: float = 0.0
    # Limit of what runs on all workers; a component of 0 has no limit.
    cap: WireSize | None = None


class _Limits(msgspec.Struct, rename="pascal", frozen=True):
    max_body_bytes: WholeNumber = 262_144


class _Configuration(msgspec.Struct, rename="pascal"):
    version: _Version
    # Required, since a value without it would drop all routes.
    routes: list[_Route]
    limits: _Limits = _Limits()
    # ``None`` if callers need no key. Each entry is decoded by itself, so that a
    # malformed one does not keep the others from being applied.
    tenants: list[msgspec.Raw] | None = None


def decode_configuration(value: bytes) -> QueueTable:
    """Decode a configuration.

    :raises MalformedMessageError: if the value cannot be decoded, or if two routes have
        the same name.
    """
    wire = decode_wire(value, _Configuration)
    names = Counter(route.name for route in wire.routes)
    repeated = [name for name, count in names.items() if count > 1]
    if repeated:
        raise MalformedMessageError(f"{len(repeated)} names of routes are not unique")
    tenants = [] if wire.tenants is None else _decode_tenants(wire)
    return QueueTable(
        version=wire.version,
        queues=tuple(route.to_queue() for route in wire.routes),
        customers=_to_customers(tenants),
        customer_by_digest=_customer_by_digest(tenants, wire.version),
        needs_keys=wire.tenants is not None,
        max_body_bytes=wire.limits.max_body_bytes,
    )


def _decode_tenants(wire: _Configuration) -> list[_Tenant]:
    """Decode the customers; malformed and repeated entries are skipped."""
    by_name: dict[str, _Tenant] = {}
    for position, raw in enumerate(wire.tenants):
        reason = ""
        try:
            tenant = decode_wire(bytes(raw), _Tenant)
        except MalformedMessageError as error:
            reason = error.message
        else:
            if not tenant.name:
                reason = "the name is empty"
            elif tenant.name in by_name:
                reason = f"another entry has the name {tenant.name[:40]!r}"
        if reason:
            log_event(
                logger,
                "customer_skipped",
                level=logging.ERROR,
                config=wire.version,
                position=position,
                reason=reason[:120],
            )
            continue
        by_name[tenant.name] = tenant
    return list(by_name.values())


def _to_customers(tenants: list[_Tenant]) -> tuple[Customer, ...]:
    """Convert to the scheduler's model.

    A weight that is not above 0 counts as the smallest of the others.
    """
    smallest = min((each.weight for each in tenants if each.weight > 0), default=1.0)
    return tuple(
        Customer(
            customer_id=CustomerId(each.name),
            weight=each.weight if each.weight > 0 else smallest,
            cap=Size() if each.cap is None else each.cap.to_size(),
        )
        for each in tenants
    )


def _customer_by_digest(
    tenants: list[_Tenant], version: int
) -> dict[bytes, CustomerId]:
    """Return the customers by the digests of their keys.

    A key that two customers have is valid for neither.
    """
    by_digest: dict[bytes, CustomerId] = {}
    shared: dict[bytes, CustomerId] = {}
    for tenant in tenants:
        customer_id = CustomerId(tenant.name)
        for key in tenant.api_keys or ():
            digest = sha256(key.encode()).digest()
            if not key.strip():
                # It would admit callers whose header ends after the scheme.
                _log_skipped_key(customer_id, version, "the key is empty")
            elif by_digest.setdefault(digest, customer_id) != customer_id:
                shared[digest] = customer_id
    for digest, customer_id in shared.items():
        other = by_digest.pop(digest)
        reason = f"customer {other[:40]!r} has the same key"
        _log_skipped_key(customer_id, version, reason)
    return by_digest


def _log_skipped_key(customer_id: CustomerId, version: int, reason: str) -> None:
    log_event(
        logger,
        "customer_key_skipped",
        level=logging.ERROR,
        config=version,
        customer=customer_id[:40],
        reason=reason,
    )
