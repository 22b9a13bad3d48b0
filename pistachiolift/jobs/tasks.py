"""State machine of one attempt of a task."""

from dataclasses import dataclass, field
from typing import Protocol

from automat import TypeMachineBuilder

from ..common import JobId, TaskId, WorkerId
from .model import EndReason, Resources, TaskState, make_task_id

__all__ = ["TaskRecord"]


@dataclass(slots=True, eq=False)
class TaskRecord:
    """One attempt of a task, from the placement decision to its confirmed end.

    :param start_expires_s: monotonic time after which the worker refuses the start
        command.
    :param confirmed_s: monotonic time at which the worker first accepted or reported
        the task; infinity before.
    """

    job_id: JobId
    index: int
    attempt: int
    failures: int
    worker_id: WorkerId
    resources: Resources
    priority: int
    avoided: frozenset[WorkerId] = frozenset()
    state: TaskState = TaskState.RESERVED
    started_s: float = 0.0
    start_expires_s: float = 0.0
    confirmed_s: float = float("inf")
    stop_reason: EndReason | None = None
    checkpoint_s: float = 0.0
    missing_since_s: float | None = None
    over_since_s: float | None = None
    preempt_key: tuple | None = None
    task_id: TaskId = TaskId("")
    events: "TaskEvents" = field(init=False, repr=False)

    def __post_init__(self):
        self.task_id = make_task_id(self.job_id, self.index, self.attempt)
        self.events = _TaskMachine(self)

    @property
    def was_sent(self) -> bool:
        """Whether a start command may have reached the worker."""
        return self.state not in (TaskState.RESERVED, TaskState.ENDED)


class TaskEvents(Protocol):
    """Events of the state machine."""

    def start_sent(self) -> None:
        """The placement is durable and the start command is sent."""

    def confirmed(self) -> None:
        """The worker has accepted the task or reports it as running."""

    def checkpoint_sent(self) -> None:
        """A checkpoint was requested; a stop follows."""

    def stop_sent(self) -> None:
        """A stop was requested."""

    def ended(self) -> None:
        """The attempt is known not to run and cannot start."""


# ``confirmed`` has no effect after a checkpoint or stop request: reports may be late.
_TRANSITIONS = (
    (TaskState.RESERVED, TaskEvents.start_sent, TaskState.STARTING),
    (TaskState.RESERVED, TaskEvents.ended, TaskState.ENDED),
    (TaskState.STARTING, TaskEvents.confirmed, TaskState.RUNNING),
    (TaskState.STARTING, TaskEvents.stop_sent, TaskState.STOPPING),
    (TaskState.STARTING, TaskEvents.ended, TaskState.ENDED),
    (TaskState.RUNNING, TaskEvents.confirmed, TaskState.RUNNING),
    (TaskState.RUNNING, TaskEvents.checkpoint_sent, TaskState.CHECKPOINTING),
    (TaskState.RUNNING, TaskEvents.stop_sent, TaskState.STOPPING),
    (TaskState.RUNNING, TaskEvents.ended, TaskState.ENDED),
    (TaskState.CHECKPOINTING, TaskEvents.confirmed, TaskState.CHECKPOINTING),
    (TaskState.CHECKPOINTING, TaskEvents.stop_sent, TaskState.STOPPING),
    (TaskState.CHECKPOINTING, TaskEvents.ended, TaskState.ENDED),
    (TaskState.STOPPING, TaskEvents.confirmed, TaskState.STOPPING),
    (TaskState.STOPPING, TaskEvents.stop_sent, TaskState.STOPPING),
    (TaskState.STOPPING, TaskEvents.ended, TaskState.ENDED),
)


def _build_machine():
    builder = TypeMachineBuilder(TaskEvents, TaskRecord)
    states = {}
    for state in TaskState:
        states[state] = builder.state(state.value)

    def enter(target: TaskState):
        def output(events: TaskEvents, task: TaskRecord) -> None:
            task.state = target

        return output

    for source, event, target in _TRANSITIONS:
        states[source].upon(event).to(states[target])(enter(target))
    return builder.build()


_TaskMachine = _build_machine()
