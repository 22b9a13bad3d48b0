"""State of the workers at the owner of their partition."""

from dataclasses import dataclass, field

from ..common import JobId, RackId, TaskId, WorkerId
from .model import Resources, WorkerStatus
from .tasks import TaskRecord

__all__ = ["Hold", "UnexpectedTask", "WorkerState"]


@dataclass(slots=True)
class UnexpectedTask:
    """A reported task of which the owner has no record on this worker."""

    task_id: TaskId
    resources: Resources


@dataclass(slots=True, frozen=True)
class Hold:
    """Reservation of a worker for a job whose preemption victims are being stopped."""

    job_id: JobId
    until_s: float


@dataclass(slots=True, eq=False)
class WorkerState:
    """Capacity, reservations and lease of one worker.

    :param free: capacity minus the declared sizes of all tasks that may run or
        start; negative if restored and unexpected tasks exceed the capacity.
    :param lease_until_s: monotonic time by which all leases at the worker expire
        unless they are renewed.
    """

    worker_id: WorkerId
    rack_id: RackId = RackId("")
    capacity: Resources = Resources()
    status: WorkerStatus = WorkerStatus.LOST
    free: Resources = Resources()
    tasks_by_id: dict[TaskId, TaskRecord] = field(default_factory=dict)
    unexpected_by_id: dict[TaskId, UnexpectedTask] = field(default_factory=dict)
    lease_until_s: float = 0.0
    last_report_s: float = 0.0
    last_renew_s: float = float("-inf")
    leaving: bool = False
    poll_generation: int = 0
    hold: Hold | None = None

    @property
    def reachable(self) -> bool:
        """Whether task commands are sent to the worker."""
        return self.status in (WorkerStatus.LIVE, WorkerStatus.LEAVING)

    @property
    def empty(self) -> bool:
        """Whether no task can be running at the worker."""
        return not self.tasks_by_id and not self.unexpected_by_id

    def set_capacity(self, capacity: Resources) -> None:
        """Change the capacity and keep the reservations."""
        self.free = self.free.plus(capacity).minus(self.capacity)
        self.capacity = capacity

    def add_task(self, task: TaskRecord) -> None:
        """Reserve the declared size of a task."""
        self.tasks_by_id[task.task_id] = task
        self.free = self.free.minus(task.resources)

    def remove_task(self, task: TaskRecord) -> None:
        """Free the resources of a task."""
        del self.tasks_by_id[task.task_id]
        self.free = self.free.plus(task.resources)

    def add_unexpected(self, unexpected: UnexpectedTask) -> None:
        """Add an unexpected task and reserve its reported size."""
        self.unexpected_by_id[unexpected.task_id] = unexpected
        self.free = self.free.minus(unexpected.resources)

    def remove_unexpected(self, task_id: TaskId) -> None:
        """Remove an unexpected task that is known to have ended."""
        unexpected = self.unexpected_by_id.pop(task_id, None)
        if unexpected is not None:
            self.free = self.free.plus(unexpected.resources)
