"""Wire format of jobs and of their states in callers' requests."""

import msgspec

from ..common import RackId, encode_json
from ..workflows import JobGraph, JobStatus, Step
from .wire import Number, WholeNumber, WireSize, decode_wire

__all__ = ["decode_job", "encode_status", "encode_waiting"]

_STATES = {
    JobStatus.PENDING: "pending",
    JobStatus.RUNNING: "running",
    JobStatus.COMPLETED: "completed",
    JobStatus.FAILED: "failed",
    JobStatus.CANCELLED: "cancelled",
}


class _Step(WireSize):
    # Number of tasks.
    count: WholeNumber = 0
    estimate_ms: Number = 0.0
    # Indexes of the earlier steps that this step depends on, from 0.
    after: list[WholeNumber] = []
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    # Label that the worker must have.
    requires: str = ""
    # Rack that holds the step's data.
    affinity: str = ""
    # Limit of the step's tasks on one worker; 0 for none.
    max_per_server: WholeNumber = 0
    # Whether copies of a task may run in parallel.
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    # Target for the tail latency of tasks that serve requests.
    target_ms: Number = 0.0
    fills: bool = False
    may_miss: WholeNumber = 0

    def to_step(self) -> Step:
        """Convert to the scheduler's model."""
        return Step(
            count=self.count,
            size=self.to_size(),
            estimate_s=self.estimate_ms / 1000,
            after=tuple(self.after),
            checkpoints=self.checkpoints,
            gang=self.gang,
            same_rack=self.same_rack,
            required_label=self.requires,
            data_rack=RackId(self.affinity),
            max_per_worker=self.max_per_server,
            copies_allowed=self.speculative,
            long_running=self.long_running,
            image=self.image,
            tail_target_s=self.target_ms / 1000,
            fills=self.fills,
            may_miss=self.may_miss,
        )


class _Job(msgspec.Struct, rename="pascal"):
    # Opaque payload for the tasks.
    spec: str
    steps: list[_Step]
    times: WholeNumber = 0
    # Unix time of the first occurrence.
    start_at_ms: WholeNumber = 0
    interval_ms: WholeNumber = 0


def decode_job(body: bytes) -> JobGraph:
    """Decode a submitted job.

    :raises MalformedMessageError: if the body cannot be decoded.
    """
    wire = decode_wire(body, _Job)
    return JobGraph(
        payload=wire.spec,
        steps=tuple(step.to_step() for step in wire.steps),
        occurrences=wire.times,
        first_due_ms=wire.start_at_ms,
        interval_ms=wire.interval_ms,
    )


def encode_status(status: JobStatus) -> bytes:
    """Encode the state of a job."""
    return encode_json({"State": _STATES[status]})


def encode_waiting(count: int) -> bytes:
    """Encode the number of a queue's jobs that have not started."""
    return encode_json({"Waiting": count})
