"""Stand-in for a worker: runs tasks under leases and records them."""

import msgspec
from klein import Klein
from twisted.internet.interfaces import IReactorTime
from twisted.web.http import Request

from ..backends import (
    Capacity,
    CommandAction,
    CommandBatch,
    CommandResult,
    CommandStatus,
    TaskCommand,
    TaskReport,
    TaskState,
    WorkerAnswer,
)
from ..common import (
    Clock,
    Epoch,
    JobId,
    PartitionId,
    SystemClock,
    TaskId,
    decode_json,
    encode_json,
)

__all__ = ["TaskPayload", "TaskRecord", "WorkerFaults", "WorkerStandin"]

REQUEST_LIMIT_BYTES = 4 * 1024 * 1024
DEFAULT_LEASE_S = 30.0
SWEEP_INTERVAL_S = 0.05
CHECKPOINT_INTERVAL_S = 5.0
MAX_ENDED_TASKS = 1000


class TaskPayload(msgspec.Struct, frozen=True, kw_only=True):
    """Behaviour of a task, given as the JSON payload of its job.

    :param run_s: actual run time, in seconds; 0 to run until stopped.
    :param fails: whether the task fails at once.
    :param use_factor: actual resource usage as a multiple of the declared one.
    """

    run_s: float = 0.0
    fails: bool = False
    use_factor: float = 1.0


class WorkerFaults(msgspec.Struct, frozen=True, kw_only=True):
    """Faults to inject.

    :param fail_all: all tasks fail at once.
    :param cut_off: calls are not answered, while the tasks keep running.
    :param report_lag_s: age of the reported task states, in seconds.
    """

    fail_all: bool = False
    cut_off: bool = False
    report_lag_s: float = 0.0


class TaskRecord(msgspec.Struct, kw_only=True):
    """The record of one run of a task, evaluated by tests.

    :param started_s: wall clock time, in seconds.
    :param ended_s: wall clock time, in seconds; 0 while the task runs.
    """

    task_id: TaskId
    job_id: JobId
    started_s: float
    ended_s: float = 0.0


class _Task:
    """A running or recently ended task."""

    def __init__(
        self,
        command: TaskCommand,
        partition: PartitionId,
        now_s: float,
        record: TaskRecord,
    ):
        self.command = command
        self.partition = partition
        self.started_s = now_s
        self.checkpoint_s = 0.0
        self.lease_end_s = now_s + DEFAULT_LEASE_S
        self.state = TaskState.RUNNING
        self.throttled = False
        self.record = record
        self.payload = _payload_from(command)
        self.run_s = 0.0


def _payload_from(command: TaskCommand) -> TaskPayload:
    try:
        return msgspec.json.decode(command.payload.encode(), type=TaskPayload)
    except msgspec.MsgspecError:
        return TaskPayload(run_s=command.run_s)


class WorkerStandin:
    """Runs tasks and counts violations of the capacity.

    :param capacity: resources of the worker.
    """

    app = Klein()

    def __init__(
        self,
        reactor: IReactorTime,
        *,
        capacity: Capacity,
        clock: Clock | None = None,
    ):
        self._reactor = reactor
        self._clock = clock or SystemClock()
        self._capacity = capacity
        self._tasks_by_id: dict[TaskId, _Task] = {}
        self._epoch_by_partition: dict[PartitionId, Epoch] = {}
        self.faults = WorkerFaults()
        self.records: list[TaskRecord] = []
        self.capacity_violations = 0
        self._reports: list[tuple[float, list[TaskReport]]] = []
        self._sweep()

    def _sweep(self) -> None:
        now_s = self._clock.monotonic_s()
        for task in self._tasks_by_id.values():
            if task.state is TaskState.RUNNING:
                self._update(task, now_s)
        self._reactor.callLater(SWEEP_INTERVAL_S, self._sweep)

    def _update(self, task: _Task, now_s: float) -> None:
        task.run_s = now_s - task.started_s
        if now_s >= task.lease_end_s:
            self._end(task, TaskState.LEASE_EXPIRED)
            return
        if task.run_s - task.checkpoint_s >= CHECKPOINT_INTERVAL_S:
            task.checkpoint_s = task.run_s
        failed = task.payload.fails or self.faults.fail_all
        if failed:
            self._end(task, TaskState.FAILED)
        elif 0 < task.payload.run_s <= task.run_s:
            self._end(task, TaskState.SUCCEEDED)

    def _end(self, task: _Task, state: TaskState) -> None:
        task.state = state
        task.record.ended_s = self._clock.wall_s()
        ended = [t for t in self._tasks_by_id.values() if t.state != TaskState.RUNNING]
        if len(ended) > MAX_ENDED_TASKS:
            del self._tasks_by_id[ended[0].command.task_id]

    @app.route("/v1/commands", methods=["POST"])
    def handle_commands(self, request: Request):
        """Carry out a batch of commands and return the results and the task report."""
        if self.faults.cut_off:
            request.transport.abortConnection()
            return b""
        data = request.content.read()
        batch = decode_json(data, CommandBatch, limit_bytes=REQUEST_LIMIT_BYTES)
        request.setHeader("Content-Type", "application/json")
        return encode_json(self._carry_out(batch))

    def _carry_out(self, batch: CommandBatch) -> WorkerAnswer:
        partition = batch.partition_id
        highest = self._epoch_by_partition.get(partition, Epoch(0))
        is_stale = batch.epoch < highest
        is_late = self._clock.wall_s() * 1000 > batch.start_before_ms
        if not is_stale:
            self._epoch_by_partition[partition] = highest = batch.epoch
        results = []
        for command in batch.commands:
            status = self._refusal(is_stale, is_late) or self._apply(command, partition)
            results.append(CommandResult(task_id=command.task_id, status=status))
        if batch.renew_lease_s > 0 and not is_stale and not is_late:
            self._renew(partition, batch.renew_lease_s)
        return WorkerAnswer(
            highest_epoch=highest, results=results, tasks=self._lagged_report()
        )

    @staticmethod
    def _refusal(is_stale: bool, is_late: bool) -> CommandStatus | None:
        if is_stale:
            return CommandStatus.STALE_EPOCH
        return CommandStatus.TOO_LATE if is_late else None

    def _apply(self, command: TaskCommand, partition: PartitionId) -> CommandStatus:
        task = self._tasks_by_id.get(command.task_id)
        if command.action is CommandAction.START:
            return self._start(command, partition, task)
        if task is None or task.state is not TaskState.RUNNING:
            return CommandStatus.UNKNOWN_TASK
        if command.action is CommandAction.STOP:
            self._end(task, TaskState.STOPPED)
        elif command.action is CommandAction.CHECKPOINT:
            task.checkpoint_s = self._clock.monotonic_s() - task.started_s
        else:
            task.throttled = True
        return CommandStatus.ACCEPTED

    def _start(
        self, command: TaskCommand, partition: PartitionId, known: _Task | None
    ) -> CommandStatus:
        if known is not None:
            return CommandStatus.ACCEPTED
        if not self._has_room(command.resources):
            self.capacity_violations += 1
            return CommandStatus.NO_CAPACITY
        record = TaskRecord(
            task_id=command.task_id,
            job_id=command.job_id,
            started_s=self._clock.wall_s(),
        )
        self.records.append(record)
        task = _Task(command, partition, self._clock.monotonic_s(), record)
        self._tasks_by_id[command.task_id] = task
        return CommandStatus.ACCEPTED

    def _has_room(self, wanted: Capacity) -> bool:
        running = [
            t.command.resources
            for t in self._tasks_by_id.values()
            if t.state is TaskState.RUNNING
        ]
        return all(
            sum(getattr(used, name) for used in running) + getattr(wanted, name)
            <= getattr(self._capacity, name)
            for name in ("cpu_milli", "memory_mb", "accelerators")
        )

    def _renew(self, partition: PartitionId, lease_s: float) -> None:
        end_s = self._clock.monotonic_s() + lease_s
        for task in self._tasks_by_id.values():
            if task.partition == partition:
                task.lease_end_s = end_s

    def _lagged_report(self) -> list[TaskReport]:
        now_s = self._clock.monotonic_s()
        self._reports.append((now_s, [self._report(t) for t in self._tasks()]))
        due_s = now_s - self.faults.report_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= due_s:
            self._reports.pop(0)
        return self._reports[0][1]

    def _tasks(self) -> list[_Task]:
        return list(self._tasks_by_id.values())

    def _report(self, task: _Task) -> TaskReport:
        factor = 1.0 if task.throttled else task.payload.use_factor
        resources = task.command.resources
        return TaskReport(
            task_id=task.command.task_id,
            job_id=task.command.job_id,
            partition_id=task.partition,
            state=task.state,
            resources=resources,
            used_cpu_milli=int(resources.cpu_milli * factor),
            used_memory_mb=int(resources.memory_mb * factor),
            run_s=task.run_s,
            checkpoint_s=task.checkpoint_s,
        )

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Request):
        """Set the faults to inject."""
        data = request.content.read()
        self.faults = decode_json(data, WorkerFaults, limit_bytes=1000)
        return b"{}"

    @app.route("/seen", methods=["GET"])
    def list_seen(self, request: Request):
        """Return the records of all runs of tasks and the count of violations."""
        return encode_json(
            {"seen": self.records, "capacity_violations": self.capacity_violations}
        )
