"""What became of the jobs of a trace."""

from collections import defaultdict

import msgspec

from ..common import ErrorCode, JobId, PartitionId, TaskId, WorkerId
from ..home import trace_lines as lines
from ..jobs import (
    CommandStatus,
    EndReason,
    JobSpec,
    ReportedState,
    Resources,
    StartTask,
    StopTask,
    TaskReport,
)

__all__ = ["JobFate", "JobHistory", "TaskRun"]

# Section 5.6 of the design page: lease, start-before time and drift margin of both.
LEASE_BOUND_S = 30.0 + 1.0 + 0.25 + 0.01 * 31.0


class JobFate(msgspec.Struct, kw_only=True, eq=False):
    """One job from its submission to its end."""

    spec: JobSpec
    submitted_s: float
    accepted_s: float | None = None
    started_s: float | None = None
    cancelled_s: float | None = None
    ended_s: float | None = None
    reason: EndReason | None = None
    code: ErrorCode | None = None
    error: str = ""


class TaskRun(msgspec.Struct, kw_only=True, eq=False):
    """One attempt of a task on a worker.

    :param seen: whether a report has listed it.
    """

    task_id: TaskId
    job_id: JobId
    worker_id: WorkerId
    resources: Resources
    started_s: float
    ended_s: float | None = None
    state: ReportedState | None = None
    seen: bool = False

    @property
    def subject(self) -> str:
        """Job and index of the task, without the attempt."""
        return self.task_id.rpartition(".")[0]


class JobHistory:
    """The jobs of one core.

    :param capacity_violations: starts that exceeded a worker's size.
    :param double_runs: starts while another attempt of the task may have run.
    """

    def __init__(self, partition_id: PartitionId):
        self.partition_id = partition_id
        self.jobs_by_id: dict[JobId, JobFate] = {}
        self.runs: list[TaskRun] = []
        self.capacity_violations: list[str] = []
        self.double_runs: list[str] = []
        self.worker_ids: set[WorkerId] = set()
        self.end_s = 0.0
        self._capacity_by_worker: dict[WorkerId, Resources] = {}
        self._renewed_s: dict[WorkerId, float] = {}
        self._open_by_worker: dict[WorkerId, dict[TaskId, TaskRun]] = defaultdict(dict)
        self._open_by_subject: dict[str, TaskRun] = {}

    def add(self, line: lines.TraceLine) -> None:
        """Take a line."""
        event, at_s = line.event, line.at_s
        self.end_s = max(self.end_s, at_s)
        match event:
            case lines.JobSubmitted(spec=spec):
                known = self.jobs_by_id.get(spec.job_id)
                if known is None or known.error:
                    self.jobs_by_id[spec.job_id] = JobFate(
                        spec=spec, submitted_s=at_s, error=line.error
                    )
            case lines.JobCancelled(job_id=job_id):
                job = self.jobs_by_id.get(job_id)
                if job is not None and job.cancelled_s is None:
                    job.cancelled_s = at_s
            case lines.WorkerJoined(worker=worker):
                self._capacity_by_worker[worker.worker_id] = worker.capacity
                self.worker_ids.add(worker.worker_id)
            case lines.WorkerReported(worker_id=worker_id, reports=reports):
                self._report(worker_id, reports, at_s)
            case lines.CommandAnswered():
                self._answer(event, at_s)
        for decision in line.decisions:
            self._take_decision(decision, at_s)

    def _report(
        self, worker_id: WorkerId, reports: list[TaskReport], at_s: float
    ) -> None:
        running = self._open_by_worker[worker_id]
        listed = set()
        for report in reports:
            listed.add(report.task_id)
            run = running.get(report.task_id)
            if run is None:
                continue
            run.seen = True
            if report.state is not ReportedState.RUNNING:
                run.state = report.state
                self._end(run, at_s)
        for run in [r for r in running.values() if r.seen]:
            if run.task_id not in listed:
                self._end(run, at_s)

    def _answer(self, event: lines.CommandAnswered, at_s: float) -> None:
        run = self._open_by_worker[event.worker_id].get(event.task_id)
        if run is None:
            return
        refused = (CommandStatus.TOO_LATE, CommandStatus.NO_CAPACITY)
        start_refused = event.command == StartTask.__name__ and event.status in refused
        stop_unknown = (
            event.command == StopTask.__name__
            and event.status is CommandStatus.UNKNOWN_TASK
        )
        if stop_unknown or (start_refused and not run.seen):
            self._end(run, at_s)

    def _end(self, run: TaskRun, at_s: float) -> None:
        run.ended_s = at_s
        del self._open_by_worker[run.worker_id][run.task_id]
        if self._open_by_subject.get(run.subject) is run:
            del self._open_by_subject[run.subject]

    def _take_decision(self, decision: lines.TraceDecision, at_s: float) -> None:
        match decision:
            case lines.TaskStarted():
                self._start(decision, at_s)
            case lines.LeaseRenewed(worker_id=worker_id, lease_s=lease_s):
                if lease_s > 0:
                    self._renewed_s[worker_id] = at_s
            case lines.JobDurable(job_id=job_id):
                if job_id in self.jobs_by_id:
                    self.jobs_by_id[job_id].accepted_s = at_s
            case lines.JobDropped(job_id=job_id, code=code):
                self._job_over(job_id, at_s, EndReason.NOT_STARTED, code)
            case lines.JobOver(job_id=job_id, reason=reason, code=code):
                self._job_over(job_id, at_s, reason, code)

    def _job_over(
        self, job_id: JobId, at_s: float, reason: EndReason, code: ErrorCode | None
    ) -> None:
        job = self.jobs_by_id.get(job_id)
        if job is not None and job.ended_s is None:
            job.ended_s, job.reason, job.code = at_s, reason, code

    def _start(self, start: lines.TaskStarted, at_s: float) -> None:
        job = self.jobs_by_id.get(start.job_id)
        if job is not None and job.started_s is None:
            job.started_s = at_s
        run = TaskRun(
            task_id=start.task_id,
            job_id=start.job_id,
            worker_id=start.worker_id,
            resources=start.resources,
            started_s=at_s,
        )
        earlier = self._open_by_subject.get(run.subject)
        if earlier is not None and not self._lease_over(earlier, at_s):
            self.double_runs.append(
                f"{run.task_id} at {at_s:.3f} s while {earlier.task_id} may run"
            )
        self._check_capacity(run, at_s)
        self.runs.append(run)
        self._open_by_worker[run.worker_id][run.task_id] = run
        self._open_by_subject[run.subject] = run

    def _lease_over(self, run: TaskRun, at_s: float) -> bool:
        renewed_s = max(run.started_s, self._renewed_s.get(run.worker_id, 0.0))
        return at_s > renewed_s + LEASE_BOUND_S

    def _check_capacity(self, run: TaskRun, at_s: float) -> None:
        capacity = self._capacity_by_worker.get(run.worker_id, Resources())
        total = run.resources
        for other in self._open_by_worker[run.worker_id].values():
            if not self._lease_over(other, at_s):
                total = total.plus(other.resources)
        if not total.fits_in(capacity):
            self.capacity_violations.append(
                f"{run.task_id} at {at_s:.3f} s on {run.worker_id}: {total} of"
                f" {capacity}"
            )
