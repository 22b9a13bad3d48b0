"""In-memory state of jobs at the owner."""

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum

from ..common import CustomerId, ErrorCode, JobId, RackId, WorkerId
from .decisions import LedgerEntry, RunningEntry, WaitingEntry
from .model import EndReason, JobSpec, JobState, PolicyName
from .policies import NoPlacementReason
from .tasks import TaskRecord

__all__ = ["JobRecord", "WaitingTask"]


@dataclass(slots=True)
class WaitingTask:
    """A task that waits for another attempt.

    :param avoided: workers on which it failed.
    """

    index: int
    attempt: int
    failures: int
    avoided: frozenset[WorkerId] = frozenset()


@dataclass(slots=True, eq=False)
class JobRecord:
    """State of one job; tasks that were never placed need no memory.

    :param ready: waiting tasks whose backoff has passed.
    :param durable: whether the ledger holds the job.
    :param announced: whether its end is durable and was announced.
    :param last_preemption_search_s: time of the last search for preemption victims.
    :param written: whether a ledger write, successful or not, included the job.
    """

    spec: JobSpec
    state: JobState = JobState.SUBMITTED
    next_index: int = 0
    round: int = 1
    failures: int = 0
    done: int = 0
    running_by_index: dict[int, TaskRecord] = field(default_factory=dict)
    waiting_by_index: dict[int, WaitingTask] = field(default_factory=dict)
    ready: deque[int] = field(default_factory=deque)
    avoided: frozenset[WorkerId] = frozenset()
    tasks_by_rack: Counter[RackId] = field(default_factory=Counter)
    tasks_by_worker: Counter[WorkerId] = field(default_factory=Counter)
    durable: bool = False
    written: bool = False
    announced: bool = False
    gang_delayed: bool = False
    gang_failed: bool = False
    gang_restarting: bool = False
    end_reason: EndReason | None = None
    end_code: ErrorCode | None = None
    blocked_by: NoPlacementReason | None = None
    queue_key: tuple | None = None
    queue_place: Enum | None = None
    last_preemption_search_s: float = float("-inf")

    @property
    def job_id(self) -> JobId:
        """The job's identifier."""
        return self.spec.job_id

    @property
    def customer_id(self) -> CustomerId:
        """The customer that submitted the job."""
        return self.spec.customer_id

    @property
    def is_gang(self) -> bool:
        """Whether all tasks run at the same time or none of them."""
        return self.spec.policy is PolicyName.GANG

    @property
    def placeable(self) -> int:
        """Number of tasks that could be placed now."""
        if self.state not in (JobState.SUBMITTED, JobState.ACTIVE):
            return 0
        if self.is_gang:
            idle = not (self.running_by_index or self.gang_delayed)
            return self.spec.tasks if idle and not self.done else 0
        return len(self.ready) + self.spec.tasks - self.next_index

    def peek(self) -> WaitingTask:
        """Return the task to place next."""
        if self.ready:
            return self.waiting_by_index[self.ready[0]]
        return WaitingTask(self.next_index, self.round, 0, self.avoided)

    def take(self) -> WaitingTask:
        """Remove and return the task to place next."""
        if self.ready:
            return self.waiting_by_index.pop(self.ready.popleft())
        self.next_index += 1
        return WaitingTask(self.next_index - 1, self.round, self.failures)

    def drop_waiting(self) -> None:
        """Drop all tasks that are not running."""
        self.waiting_by_index.clear()
        self.ready.clear()
        self.next_index = self.spec.tasks

    def restart(self) -> None:
        """Begin another round of a gang, none of whose tasks may be running."""
        self.waiting_by_index.clear()
        self.ready.clear()
        self.round += 1
        self.next_index = 0
        self.done = 0
        self.gang_restarting = False
        self.gang_failed = False

    def entry(self) -> LedgerEntry:
        """Return the ledger entry of the job."""
        return LedgerEntry(
            spec=self.spec,
            next_index=self.next_index,
            round=self.round,
            failures=self.failures,
            done=self.done,
            running=tuple(
                RunningEntry(task.index, task.attempt, task.failures, task.worker_id)
                for task in self.running_by_index.values()
            ),
            waiting=tuple(
                WaitingEntry(task.index, task.attempt, task.failures)
                for task in self.waiting_by_index.values()
            ),
            end_reason=self.end_reason,
            end_code=self.end_code,
            ended=self.state is JobState.ENDED,
        )
