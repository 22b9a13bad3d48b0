"""A job scheduler with simulated workers and ledger in virtual time."""

import random
from dataclasses import dataclass, field

from pistachiolift.common import Metrics
from pistachiolift.jobs import (
    CheckpointTask,
    CommandStatus,
    JobAccepted,
    JobEnded,
    JobScheduler,
    JobSpec,
    LedgerWrite,
    PolicyName,
    RenewLease,
    ReportedState,
    Resources,
    StartTask,
    StopTask,
    TaskReport,
    ThrottleTask,
    WorkerSpec,
    parse_task_id,
)

START_BEFORE_S = 1.0


class InvariantError(AssertionError):
    """A worker was overcommitted, a task ran twice, or a job was not durable."""


@dataclass
class SimTask:
    task_id: str
    resources: Resources
    started_s: float
    lease_until_s: float
    used_cpu_milli: int = 0
    checkpoint_s: float = 0.0
    obeys_throttle: bool = True


@dataclass
class SimWorker:
    """A simulated worker that executes commands as its interface specifies."""

    spec: WorkerSpec
    running: dict[str, SimTask] = field(default_factory=dict)
    ended: dict[str, ReportedState] = field(default_factory=dict)
    epoch: int = 0
    lease_drift: float = 1.0
    clock_skew_s: float = 0.0

    def expire(self, now_s):
        for task in list(self.running.values()):
            if now_s > task.lease_until_s:
                self.end(task.task_id, ReportedState.LEASE_EXPIRED)

    def end(self, task_id, state):
        del self.running[task_id]
        self.ended[task_id] = state

    def reports(self, now_s):
        self.expire(now_s)
        running = [
            TaskReport(
                task_id=task.task_id,
                job_id=parse_task_id(task.task_id)[0],
                state=ReportedState.RUNNING,
                resources=task.resources,
                used_cpu_milli=task.used_cpu_milli,
                run_s=now_s - task.started_s,
                checkpoint_s=task.checkpoint_s,
            )
            for task in self.running.values()
        ]
        ended = [
            TaskReport(task_id=task_id, job_id=parse_task_id(task_id)[0], state=state)
            for task_id, state in self.ended.items()
        ]
        return running + ended


class Cell:
    """A scheduler, its workers and its durable ledger.

    :param scheduler_class: replaced by a broken subclass to test the checks.
    """

    def __init__(self, scheduler_class=JobScheduler, seed=1, **options):
        self.scheduler_class = scheduler_class
        self.options = {"ledger_interval_s": 0.0, **options}
        self.rng = random.Random(seed)
        self.now_s = 1000.0
        self.epoch = 1
        self.metrics = Metrics()
        self.workers: dict[str, SimWorker] = {}
        self.entries: dict = {}
        self.unsent: list = []
        self.write = None
        self.accepted: list[str] = []
        self.ended: dict[str, JobEnded] = {}
        self.starts: list[StartTask] = []
        self.log: list = []
        self.scheduler = self.new_scheduler()

    def new_scheduler(self):
        return self.scheduler_class(
            partition_id="p1",
            epoch=self.epoch,
            rng=self.rng,
            metrics=self.metrics,
            **self.options,
        )

    def apply(self, decisions):
        for decision in decisions:
            self.log.append(decision)
            if isinstance(decision, LedgerWrite):
                assert self.write is None, "two ledger writes in flight"
                self.write = decision
            elif isinstance(decision, JobAccepted):
                if decision.job_id not in self.entries:
                    raise InvariantError(
                        f"{decision.job_id} accepted before it is durable"
                    )
                self.accepted.append(decision.job_id)
            elif isinstance(decision, JobEnded):
                self.ended[decision.job_id] = decision
            elif hasattr(decision, "worker_id"):
                self.unsent.append((self.epoch, decision))

    def call(self, name, *args):
        self.apply(getattr(self.scheduler, name)(*args, self.now_s))

    def finish_write(self, *, stored=True, answered=True):
        """End the write in flight.

        :param stored: whether the write takes effect.
        :param answered: whether the scheduler learns of the effect.
        """
        write, self.write = self.write, None
        if write is None:
            return
        if stored:
            for job_id, entry in write.entries.items():
                if entry is None:
                    self.entries.pop(job_id, None)
                else:
                    self.entries[job_id] = entry
        answer = "ledger_written" if stored and answered else "ledger_failed"
        self.call(answer, write.batch_id)

    def deliver(self, position=0, *, lost=False, answer_lost=False, report=True):
        """Deliver one command and return its answer and a report to the scheduler."""
        epoch, command = self.unsent.pop(position)
        worker = self.workers.get(command.worker_id)
        if lost or worker is None:
            status = None
        else:
            status = self.execute(worker, epoch, command)
        if answer_lost or lost or epoch != self.epoch:
            return
        self.call("command_result", command, status)
        if status is not None and report:
            self.call("worker_report", command.worker_id, worker.reports(self.now_s))

    def take(self, kind):
        """Remove the first unsent command of a kind and return it."""
        position = [isinstance(c, kind) for _, c in self.unsent].index(True)
        return self.unsent.pop(position)[1]

    def run(self, command):
        """Execute a command at its worker without returning the answer."""
        return self.execute(self.workers[command.worker_id], self.epoch, command)

    def execute(self, worker, epoch, command):
        now_s = self.now_s
        worker.expire(now_s)
        if epoch < worker.epoch:
            return CommandStatus.STALE_EPOCH
        worker.epoch = epoch
        if now_s > command.issued_s + START_BEFORE_S + worker.clock_skew_s:
            return CommandStatus.TOO_LATE
        if isinstance(command, RenewLease):
            for task in worker.running.values():
                if command.lease_s:
                    task.lease_until_s = now_s + command.lease_s * worker.lease_drift
            return CommandStatus.ACCEPTED
        if isinstance(command, StartTask):
            self.check_start(worker, command)
            worker.running[command.task_id] = SimTask(
                command.task_id,
                command.resources,
                now_s,
                now_s + 30.0 * worker.lease_drift,
            )
            self.starts.append(command)
            return CommandStatus.ACCEPTED
        if command.task_id not in worker.running:
            return CommandStatus.UNKNOWN_TASK
        task = worker.running[command.task_id]
        if isinstance(command, StopTask):
            worker.end(command.task_id, ReportedState.STOPPED)
        elif isinstance(command, CheckpointTask):
            task.checkpoint_s = now_s - task.started_s + 0.001
        elif isinstance(command, ThrottleTask) and task.obeys_throttle:
            task.used_cpu_milli = task.resources.cpu_milli
        return CommandStatus.ACCEPTED

    def check_start(self, worker, command):
        job_id, index, _ = parse_task_id(command.task_id)
        for other in self.workers.values():
            other.expire(self.now_s)
            for task_id in other.running:
                if parse_task_id(task_id)[:2] == (job_id, index):
                    raise InvariantError(
                        f"{command.task_id} started while {task_id} runs"
                    )
        used = command.resources
        for task in worker.running.values():
            used = used.plus(task.resources)
        if not used.fits_in(worker.spec.capacity):
            raise InvariantError(f"{worker.spec.worker_id} is overcommitted: {used}")

    def add_worker(self, number, *, rack=None, size=(4000, 4000, 0)):
        spec = WorkerSpec(
            worker_id=f"w{number}",
            rack_id=f"r{number % 3 if rack is None else rack}",
            capacity=Resources(*size),
        )
        self.workers[spec.worker_id] = SimWorker(spec)
        self.call("worker_joined", spec)

    def settle(self, rounds=30):
        """Deliver all writes and commands without faults until none is left."""
        for _ in range(rounds):
            self.finish_write()
            while self.unsent:
                self.deliver()
            if self.write is None:
                self.call("tick")
            if self.write is None and not self.unsent:
                return

    def advance(self, interval_s, step_s=0.5):
        """Advance the time without faults."""
        end_s = self.now_s + interval_s
        while self.now_s < end_s:
            self.now_s = min(end_s, self.now_s + step_s)
            self.call("tick")
            self.settle()

    def finish(self, task_id, state=ReportedState.SUCCEEDED):
        for worker in self.workers.values():
            if task_id in worker.running:
                worker.end(task_id, state)
                self.call(
                    "worker_report", worker.spec.worker_id, worker.reports(self.now_s)
                )
                return
        raise KeyError(task_id)

    def running(self):
        return {
            task_id: worker.spec.worker_id
            for worker in self.workers.values()
            for task_id in worker.running
        }

    def take_over(self):
        """Replace the owner by a new one that restores the ledger entries."""
        self.epoch += 1
        self.write = None
        self.scheduler = self.new_scheduler()
        entries = list(self.entries.values())
        self.apply(self.scheduler.restore(entries, self.epoch, self.now_s))


def make_spec(job_id="j1", policy=PolicyName.BATCH, tasks=1, size=(1000, 1000, 0), **o):
    return JobSpec(
        job_id=job_id,
        customer_id=o.pop("customer_id", "c1"),
        policy=policy,
        tasks=tasks,
        resources=Resources(*size),
        **o,
    )
