"""Answers of the operators' interface; unknown fields are ignored."""

import msgspec

__all__ = [
    "InstanceStatus",
    "JobDetails",
    "JobTask",
    "JobsStatus",
    "PartitionOwner",
    "PartitionStatus",
    "RequestDetails",
]


class PartitionOwner(msgspec.Struct):
    """The owner of a partition, as known to one instance."""

    owner: str | None
    epoch: int


class InstanceStatus(msgspec.Struct):
    """``/v1/status``: one instance and what it knows about the cell."""

    instance: str
    data_centre: str
    draining: bool
    revision: int
    live_instances: list[str]
    open_requests: int
    partitions: dict[str, PartitionOwner]
    counters: dict[str, float] = {}


class JobsStatus(msgspec.Struct):
    """Statistics of the jobs of a partition."""

    jobs: int
    jobs_waiting: int
    tasks_placed: int
    workers_by_status: dict[str, int] = {}
    quarantined: list[str] = []
    ledger_available: bool = True


class PartitionStatus(msgspec.Struct):
    """``/v1/partitions/ID``: a partition as its owner sees it."""

    partition: str
    epoch: int
    owner: str
    slots: int
    running_by_urgency: dict[str, int]
    queued_by_kind: dict[str, int]
    jobs: JobsStatus

    @property
    def running(self) -> int:
        """Slots in use."""
        return sum(self.running_by_urgency.values())

    @property
    def queued(self) -> int:
        """Requests in the queues."""
        return sum(self.queued_by_kind.values())


class RequestDetails(msgspec.Struct):
    """``/v1/explain/CUSTOMER/KEY``: the state of a request."""

    request_id: str
    phase: str
    outcome: str | None
    partition: str
    epoch: int


class JobTask(msgspec.Struct):
    """One task of a job that is not done.

    :param step: index of its step, if the job has steps.
    """

    index: int
    attempt: int
    failures: int
    state: str | None = None
    worker_id: str | None = None
    waits_for: str | None = None
    step: int | None = None


class JobDetails(msgspec.Struct):
    """``/v1/jobs/ID``: the state of a job.

    :param customer_id: empty for a job that belongs to no customer.
    :param queue_id: empty where jobs have no queue.
    """

    job_id: str
    customer_id: str
    state: str
    tasks: int
    running: int
    done: int
    retrying: int
    not_started: int
    durable: bool
    blocked_by: str | None
    making_room: bool
    end_reason: str | None
    end_code: str | None
    quota_share: tuple[int, int, int] | None
    quota_used: tuple[int, int, int]
    partition: str = ""
    listed_tasks: list[JobTask] = []
    queue_id: str = ""
