"""The operators' configuration in the platform's store."""

import msgspec

from ..node.interfaces import QueueTable
from ..workflows import AdvicePolicy, PoolId, Queue, QueueId
from .wire import decode_wire

__all__ = ["CONFIGURATION_KEY", "OPERATOR_PREFIX", "decode_configuration"]

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"


class _Advice(msgspec.Struct, rename="pascal"):
    decide_ms: float = 0.0
    # Processing time for each worker named in a call.
    each_ms: float = 0.0
    valid_ms: float = 0.0


class _Route(msgspec.Struct, rename="pascal"):
    """A queue, selected by the host and the path of a request."""

    name: str
    host: str
    prefix: str
    # Pool of workers that runs the queue's tasks.
    service: str
    priority: int = 0
    # Limit of failed runs of a task, not of a client's calls.
    max_attempts: int = 1
    stretch: float = 1.0
    target_duration_ms: float = 0.0
    advice: _Advice | None = None

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
        )


class _Limits(msgspec.Struct, rename="pascal", frozen=True):
    max_body_bytes: int = 262_144


class _Configuration(msgspec.Struct, rename="pascal"):
    version: int
    routes: list[_Route] = []
    limits: _Limits = _Limits()


def decode_configuration(value: bytes) -> QueueTable:
    """Decode a configuration.

    :raises MalformedMessageError: if the value cannot be decoded.
    """
    wire = decode_wire(value, _Configuration)
    return QueueTable(
        version=wire.version,
        queues=tuple(route.to_queue() for route in wire.routes),
        max_body_bytes=wire.limits.max_body_bytes,
    )
