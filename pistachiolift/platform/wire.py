"""Decoding of the platform's messages, and the formats that several of them share."""

import re
from typing import Annotated, TypeVar

import msgspec

from ..common import JobId, MalformedMessageError, decode_json
from ..workflows import Size, StepKey, TaskKey

__all__ = [
    "MAX_NUMBER",
    "MESSAGE_LIMIT_BYTES",
    "Number",
    "WholeNumber",
    "WireSize",
    "decode_wire",
    "format_step",
    "format_task",
    "parse_task",
]

T = TypeVar("T")

# The longest messages are the store's pages, of about 1 MB as base64 text.
MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024


_TASK_NAME = re.compile(r"([^.]+)\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})")

# Larger numbers are not exact in JSON, and may not fit into the ledger's encoding.
MAX_NUMBER = 2**53 - 1
WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Number = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class WireSize(msgspec.Struct, rename="pascal"):
    """A worker's capacity or a task's demand."""

    # Thousandths of a core.
    cpu: WholeNumber = 0
    mem_mb: WholeNumber = 0
    # Number of devices.
    gpu: WholeNumber = 0

    def to_size(self) -> Size:
        """Convert to the scheduler's model."""
        return Size(cpu_milli=self.cpu, memory_mb=self.mem_mb, accelerators=self.gpu)


def decode_wire(data: bytes, wire_type: type[T]) -> T:
    """Decode a message of the platform.

    :raises MalformedMessageError: if the message is too long or has another type.
    """
    return decode_json(data, wire_type, limit_bytes=MESSAGE_LIMIT_BYTES)


def format_step(step: StepKey) -> str:
    """Return a step's name on the wire, made of job, occurrence and step."""
    return f"{step.job_id}.{step.occurrence}.{step.step}"


def format_task(task: TaskKey) -> str:
    """Return a task's name on the wire, made of job, occurrence, step and index."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(name: str) -> TaskKey:
    """Parse a task's name on the wire.

    :raises MalformedMessageError: if the name does not have four valid parts.
    """
    match = _TASK_NAME.fullmatch(name)
    if match is None:
        raise MalformedMessageError(
            f"task name {name[:80]!r} is not of the form JOB.OCCURRENCE.STEP.INDEX"
        )
    job_id, occurrence, step, index = match.groups()
    return TaskKey(JobId(job_id), int(occurrence), int(step), int(index))
