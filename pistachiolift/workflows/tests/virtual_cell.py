"""A scheduler with simulated workers in virtual time.

The cell checks the invariants at every start: no worker exceeds its capacity, a shrunk
one once the owner must know of it; no task runs twice at the same time or after its
success; steps start in order; and no customer exceeds its cap.
"""

import heapq
import itertools
import random
from collections import defaultdict

import msgspec

from pistachiolift.common import CustomerId, JobId, RackId, WorkerId
from pistachiolift.workflows import (
    SURVIVAL_S,
    AskAdvice,
    Customer,
    EndKind,
    GraphScheduler,
    JobGraph,
    JobStatus,
    PoolId,
    Queue,
    QueueId,
    ReportedEnd,
    ReportedRun,
    Size,
    StartAnswer,
    StartRun,
    Step,
    StopRun,
    Worker,
    WorkerState,
)
from pistachiolift.workflows.dispatch import RUNS_PER_FENCE

from .cap_check import CapCheck

WALL_OFFSET_S = 1.7e9
MESSAGE_S = 0.004
STOP_S = 0.1
DECIDE_S = 0.01
TICK_S = 0.1
LEASE_S = 4.5
# Longest lease that a worker accepts.
LEASE_LIMIT_S = 10.0
TICKET_VALID_S = 1.5
START_TIMEOUT_S = 1.0
STOP_RETRY_S = 0.4
# Time from a shrink until no start may exceed the new capacity: 4 s and one update of
# the directory entry.
SHRINK_GRACE_S = 5.5
# Time from the start of a crashing task to the crash of its worker.
CRASH_S = 0.01
# Time after which the directory removes the entry of a worker that crashed.
DIRECTORY_S = 4.0


def make_queue(name="urgent", **changes) -> Queue:
    """Return a queue; ``changes`` override its fields."""
    fields = dict(
        queue_id=QueueId(name),
        host="a.example",
        prefix=f"/{name}/",
        pool_id=PoolId("pool"),
        priority=0,
        max_failures=3,
        stretch=2.0,
        target_s=1.0,
    )
    fields.update(changes)
    return Queue(**fields)


def make_graph(*steps: Step, **changes) -> JobGraph:
    """Return a job graph; by default one task of one core and one second."""
    return JobGraph(payload="p", steps=steps or (make_step(),), **changes)


def make_step(count=1, *, cpu=1000, memory=100, estimate_s=1.0, **changes) -> Step:
    """Return a step."""
    size = Size(cpu_milli=cpu, memory_mb=memory)
    return Step(count=count, size=size, estimate_s=estimate_s, **changes)


class FakeWorker:
    """A simulated worker process."""

    def __init__(self, worker: Worker):
        self.worker = worker
        self.running: dict = {}
        self.unacknowledged_ends: list[ReportedEnd] = []
        # The owner that got the last report, its record count, and the ends reported.
        self.last_report: tuple = (None, 0, 0)
        self.blocked: dict = {}
        self.alive = True
        self.cut = False
        self.lease_end_s = 0.0
        # Highest fencing token received.
        self.fence = 0
        # Share of the starts and stops that get no answer; starts are executed later.
        self.late_share = 0.0
        self.hangs = False
        self.fails = False
        # Whether tasks reach full progress but never end.
        self.lose_ends = False
        self.slowness = 1.0
        self.progress: dict = {}
        # Earlier capacities, with the time until which they were in force.
        self.earlier_capacities: list[tuple[float, Size]] = []

    def capacities_since(self, since_s: float) -> list[Size]:
        """Return the present capacity and those in force at or after a time."""
        earlier = [size for end_s, size in self.earlier_capacities if end_s >= since_s]
        return [*earlier, self.worker.capacity]


class VirtualCell:
    """One scheduler and its workers.

    :param workers: number of workers, six to a rack.
    :param policy: order of the waiting steps, by default the one in force.
    """

    def __init__(
        self,
        *,
        workers=4,
        cpu=8000,
        memory=16_000,
        seed=1,
        queues=(),
        customers=(),
        policy=None,
    ):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self._events: list = []
        self.caps = CapCheck(self)
        self._order = itertools.count()
        self._policy = policy
        self.scheduler = self._make_scheduler(1)
        self.scheduler.set_queues(queues)
        self.set_customers(*customers)
        self.workers_by_id: dict[WorkerId, FakeWorker] = {}
        self.done_tasks: set = set()
        self.started: dict = {}
        self.finished_s: dict[JobId, float] = {}
        self.first_start_s: dict[JobId, float] = {}
        self.submitted_s: dict[JobId, float] = {}
        self.runs_by_job: dict[JobId, list] = defaultdict(list)
        self.advice_s = 0.0
        self.approve = lambda step, worker_id: True
        self.duration_of = lambda key, step: step.estimate_s
        # Whether a task crashes the workers that start it.
        self.crashes_worker = lambda task: False
        # Time until a crashed worker is back, as a new incarnation.
        self.restart_s = 6.0
        self.restart_under_new_id = False
        # Time between two reports of a worker without an end, in whole ticks.
        self.report_s = TICK_S
        self._reports_due_s = 0.0
        self.store_up = True
        self._fence = 1
        self.committed: list = []
        self._held: list[StartRun] = []
        self._unwritten: list[list] = []
        for index in range(workers):
            self.add_worker(index, cpu=cpu, memory=memory)
        self._after(TICK_S, self._tick)

    # Setup.

    def _make_scheduler(self, fence) -> GraphScheduler:
        return GraphScheduler(
            fence=fence,
            keep_final_s=60.0,
            longest_lease_s=LEASE_LIMIT_S,
            policy=self._policy,
        )

    def add_worker(self, index, *, cpu=8000, memory=16_000, incarnation=1):
        """Add a worker to the directory and report its runs."""
        worker = Worker(
            worker_id=WorkerId(f"w{index}"),
            address=f"10.0.0.{index}:80",
            pool_id=PoolId("pool"),
            zone="z",
            incarnation=incarnation,
            state=WorkerState.READY,
            capacity=Size(cpu_milli=cpu, memory_mb=memory),
            labels=("a", f"r{index // 6}"),
            rack=RackId(f"r{index // 6}"),
        )
        fake = FakeWorker(worker)
        self.workers_by_id[worker.worker_id] = fake
        self.scheduler.fleet.update_worker(worker, now_s=self.now_s)
        self._send_report(fake)
        return fake

    def set_capacity(self, worker_id, *, notice_s=0.5, **changes) -> None:
        """Change a worker's capacity.

        :param notice_s: time after which the owner sees the new directory entry.
        :param changes: fields of the capacity to change.
        """
        fake = self.workers_by_id[WorkerId(worker_id)]
        before = fake.worker.capacity
        fake.earlier_capacities.append((self.now_s, before))
        capacity = msgspec.structs.replace(before, **changes)
        fake.worker = msgspec.structs.replace(fake.worker, capacity=capacity)
        self._after(notice_s, self._update_entry, fake)

    def _update_entry(self, fake: FakeWorker) -> None:
        if fake.alive:
            self.scheduler.fleet.update_worker(fake.worker, now_s=self.now_s)
            self._decide()

    @property
    def wall_ms(self) -> int:
        """Unix time, in milliseconds."""
        return int((self.now_s + WALL_OFFSET_S) * 1000)

    def set_customers(self, *customers: Customer) -> None:
        """Apply a version of the configuration with other customers."""
        self.caps.set_customers(customers)
        self.scheduler.set_customers(customers)

    def submit(
        self, job_id: str, queue: Queue, graph: JobGraph, customer_id=""
    ) -> JobId:
        """Submit a job now."""
        job_id = JobId(job_id)
        self.submitted_s.setdefault(job_id, self.now_s)
        self.caps.add_job(job_id, graph, customer_id)
        self.scheduler.submit(
            job_id,
            queue,
            graph,
            received_s=self.now_s,
            received_ms=self.wall_ms,
            customer_id=CustomerId(customer_id),
        )
        self._decide()
        return job_id

    def cancel(self, job_id: JobId) -> None:
        """Cancel a job now."""
        self.scheduler.cancel(job_id, now_s=self.now_s, wall_ms=self.wall_ms)
        self._decide()

    # Time.

    def _after(self, delay_s: float, action, *args) -> None:
        heapq.heappush(
            self._events, (self.now_s + delay_s, next(self._order), action, args)
        )

    def at(self, delay_s: float, action, *args) -> None:
        """Call ``action(*args)`` after a delay."""
        self._after(delay_s, action, *args)

    def run(self, duration_s: float) -> None:
        """Advance the virtual time."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now_s = end_s

    def _tick(self) -> None:
        self.scheduler.tick(self.now_s)
        if self.now_s >= self._reports_due_s:
            self._reports_due_s = self.now_s + self.report_s - TICK_S / 2
            for fake in list(self.workers_by_id.values()):
                self._send_report(fake)
        self._decide()
        self._after(TICK_S, self._tick)

    # Decisions.

    def _decide(self) -> None:
        self.scheduler.dispatch(now_s=self.now_s, wall_ms=self.wall_ms)
        self.caps.check_totals()
        records = self.scheduler.take_records()
        if records:
            self._unwritten.append(records)
            self._after(MESSAGE_S, self._commit, self.scheduler)
        for decision in self.scheduler.take_decisions():
            match decision:
                case StartRun():
                    self._held.append(decision)
                case StopRun():
                    self._after(MESSAGE_S, self._stop, decision)
                case AskAdvice():
                    cost_s = decision.cost_s + self.advice_s
                    self._after(cost_s, self._advise, decision)

    def _commit(self, scheduler) -> None:
        if scheduler is not self.scheduler or not self._unwritten:
            # The store rejects the writes of an owner that has been replaced.
            return
        if not self.store_up:
            self._after(0.1, self._commit, scheduler)
            return
        records = self._unwritten.pop(0)
        self.committed += records
        if records:
            scheduler.record_commit(len(records))
            while self._held:
                if self._held[0].after_record > scheduler.state.committed:
                    break
                order = scheduler.prepare_start(self._held.pop(0), self.now_s)
                if order is not None:
                    self._after(MESSAGE_S, self._start, order)
            self._record_finished()
            self._decide()

    def _record_finished(self) -> None:
        for job_id in self.submitted_s:
            status = self.scheduler.status(job_id)
            if status is not None and status.final:
                self.finished_s.setdefault(job_id, self.now_s)

    def _advise(self, decision: AskAdvice) -> None:
        step = decision.step
        ticket = f"given at {self.now_s:.3f}"
        tickets = {w: ticket for w in decision.worker_ids if self.approve(step, w)}
        self.scheduler.handle_advice(
            step, decision.worker_ids, tickets, valid_s=TICKET_VALID_S, now_s=self.now_s
        )
        self._decide()

    # Workers.

    def _start(self, order: StartRun) -> None:
        fake = self.workers_by_id.get(order.worker_id)
        if fake is None or not fake.alive:
            return
        if fake.cut or self.rng.random() < fake.late_share:
            if not fake.cut:
                delay_s = self.rng.uniform(2, 12)
                self._after(delay_s, self._start_late, fake, order, self.now_s)
            self._after(
                START_TIMEOUT_S, self._report_start_timeout, order, self.scheduler
            )
            return
        if order.number // RUNS_PER_FENCE < fake.fence:
            # The worker rejects a start of a replaced owner.
            return
        if order.number <= fake.blocked.get(order.task, 0):
            answer = StartAnswer(started=False, reason="old")
        else:
            self._check_start(fake, order, self.now_s)
            self._start_run(fake, order)
            answer = StartAnswer(started=True, clock_ms=int(self.now_s * 1000))
        self.scheduler.handle_start_answer(
            order.worker_id, order.task, order.number, answer, now_s=self.now_s
        )
        if order.alone:
            delay_s = SURVIVAL_S + 2 * MESSAGE_S
            self._after(delay_s, self._report_survival, fake, self.scheduler)

    def _report_survival(self, fake: FakeWorker, scheduler) -> None:
        if scheduler is self.scheduler:
            self._send_report(fake)
            self._decide()

    def _report_start_timeout(self, order: StartRun, scheduler) -> None:
        if scheduler is self.scheduler:
            scheduler.handle_unanswered_start(order.worker_id, order.task, order.number)
            self._decide()

    def _start_late(self, fake: FakeWorker, order: StartRun, sent_s: float) -> None:
        """Carry out a start that had no answer, unless the worker rejects it."""
        job = self.scheduler.state.jobs_by_id.get(order.task.job_id)
        key = (order.task, order.number)
        blocked = order.number <= fake.blocked.get(order.task, 0)
        blocked = blocked or order.number // RUNS_PER_FENCE < fake.fence
        if not fake.alive or fake.cut or blocked or key in fake.running or job is None:
            return
        if job.queue.advice is not None:
            given_s = float(order.ticket.removeprefix("given at "))
            if self.now_s - given_s >= TICKET_VALID_S:
                return
        self._check_start(fake, order, sent_s)
        self._start_run(fake, order)

    def _check_start(self, fake: FakeWorker, order: StartRun, sent_s: float) -> None:
        self.caps.check_start(order.task, sent_s - MESSAGE_S)
        job = self.scheduler.state.jobs_by_id[order.task.job_id]
        step = job.graph.steps[order.task.step]
        if job.queue.advice is not None:
            given_s = float(order.ticket.removeprefix("given at "))
            assert self.now_s - given_s < TICKET_VALID_S + 2 * MESSAGE_S
        used = [self.size_of(task) for task, _ in fake.running] + [step.reserved]
        capacities = fake.capacities_since(sent_s - SHRINK_GRACE_S)
        assert sum(s.cpu_milli for s in used) <= max(c.cpu_milli for c in capacities)
        assert sum(s.memory_mb for s in used) <= max(c.memory_mb for c in capacities)
        assert order.task not in self.done_tasks, (
            f"{order.task} started after its success"
        )
        for other in self.workers_by_id.values():
            same = [number for task, number in other.running if task == order.task]
            assert not (same and other.alive), f"{order.task} runs twice"
        for before in step.after:
            count = job.graph.steps[before].count
            key = order.task.step_key
            for index in range(count):
                earlier = type(order.task)(key.job_id, key.occurrence, before, index)
                assert earlier in self.done_tasks, (
                    f"{order.task} started before its predecessors"
                )

    def size_of(self, task) -> Size:
        """Return the resources that a task reserves."""
        job = self.scheduler.state.jobs_by_id[task.job_id]
        return job.graph.steps[task.step].reserved

    def _start_run(self, fake: FakeWorker, order: StartRun) -> None:
        job_id = order.task.job_id
        self.first_start_s.setdefault(job_id, self.now_s)
        self.runs_by_job[job_id].append((self.now_s, order.worker_id, order.task))
        step = self.scheduler.state.jobs_by_id[job_id].graph.steps[order.task.step]
        key = (order.task, order.number)
        fake.running[key] = self.now_s
        if self.crashes_worker(order.task):
            self._after(CRASH_S, self.crash_silently, fake)
        if fake.hangs or step.long_running:
            return
        if not step.gang:
            self._after(self._run_time_s(fake, order), self._finish, fake, key)
            return
        members = [
            (other, run)
            for other in self.workers_by_id.values()
            for run in other.running
            if run[0].step_key == order.task.step_key and run[1] == order.number
        ]
        if len(members) == step.count:
            duration_s = max(
                self.duration_of(run[0], step) * other.slowness
                for other, run in members
            )
            self._after(duration_s, self._finish_gang, members)

    def _run_time_s(self, fake: FakeWorker, order: StartRun) -> float:
        """Return how long a run that was just started takes, in seconds."""
        step = self.scheduler.state.jobs_by_id[order.task.job_id].graph.steps[
            order.task.step
        ]
        return self.duration_of(order.task, step) * fake.slowness

    def exit_service_tasks(self, worker_id: str) -> None:
        """Let the long-running tasks of a worker end with a success."""
        fake = self.workers_by_id[WorkerId(worker_id)]
        for task, number in list(fake.running):
            step = self.scheduler.state.jobs_by_id[task.job_id].graph.steps[task.step]
            if step.long_running:
                del fake.running[task, number]
                self._end(fake, task, number, EndKind.DONE)

    def _finish_gang(self, members) -> None:
        """End all members; one that fails ends the others as well."""
        if any(other.fails and run in other.running for other, run in members):
            for other, (task, number) in members:
                present = other.alive and not other.lose_ends
                if present and other.running.pop((task, number), None) is not None:
                    kind = EndKind.FAILED if other.fails else EndKind.MEMBER_ENDED
                    self._end(other, task, number, kind)
            return
        for other, run in members:
            self._finish(other, run)

    def _finish(self, fake: FakeWorker, key) -> None:
        if not fake.alive or fake.lose_ends or fake.running.pop(key, None) is None:
            return
        task, number = key
        kind = EndKind.FAILED if fake.fails else EndKind.DONE
        if kind is EndKind.DONE:
            self.done_tasks.add(task)
            self._done_gang(task)
        self._end(fake, task, number, kind)

    def _done_gang(self, task) -> None:
        step = self.scheduler.state.jobs_by_id[task.job_id].graph.steps[task.step]
        if step.gang:
            self.done_tasks.update(
                type(task)(task.job_id, task.occurrence, task.step, index)
                for index in range(step.count)
            )

    def _end(self, fake: FakeWorker, task, number: int, kind: EndKind) -> None:
        checkpoint = self._saved_at_end(task, number)
        fake.blocked[task] = max(number, fake.blocked.get(task, 0))
        fake.unacknowledged_ends.append(ReportedEnd(task, number, kind, checkpoint))
        self._send_report(fake)
        self._decide()

    def _stop(self, order: StopRun, scheduler=None) -> None:
        scheduler = scheduler or self.scheduler
        fake = self.workers_by_id.get(order.worker_id)
        key = (order.task, order.number)
        if fake is None or not fake.alive or scheduler is not self.scheduler:
            return
        if fake.cut or self.rng.random() < fake.late_share:
            if scheduler.state.run(order.worker_id, key) is not None:
                self._after(STOP_RETRY_S, self._stop, order, scheduler)
            return
        fake.blocked[order.task] = max(order.number, fake.blocked.get(order.task, 0))
        if key in fake.running:
            self._after(STOP_S, self._stopped, fake, key)
        self.scheduler.handle_stop_answer(
            order.worker_id, order.task, order.number, now_s=self.now_s
        )

    def _stopped(self, fake: FakeWorker, key) -> None:
        if fake.running.pop(key, None) is not None:
            self._end(fake, key[0], key[1], EndKind.STOPPED)

    def _saved_at_end(self, task, number: int) -> str:
        """Return the checkpoint that a run saved when it was stopped."""
        return ""

    def _send_report(self, fake: FakeWorker) -> None:
        worker_id = fake.worker.worker_id
        if not fake.alive or fake.cut:
            self._expire_lease(fake)
            self.scheduler.fleet.mark_unreachable(worker_id)
            return
        fake.lease_end_s = self.now_s + LEASE_S
        fake.fence = self._fence
        self._drop_acknowledged_ends(fake)
        ended = list(fake.unacknowledged_ends)
        running = [
            ReportedRun(
                task,
                number,
                percent=self._percent(fake, (task, number)),
                checkpoint=self._saved(fake, (task, number)),
            )
            for task, number in fake.running
        ]
        self.scheduler.fleet.extend_lease(worker_id, self.now_s + LEASE_S)
        self.scheduler.fleet.apply_report(
            worker_id,
            running,
            ended,
            complete=True,
            sent_s=self.now_s - MESSAGE_S,
            now_s=self.now_s,
            wall_ms=self.wall_ms,
            remaining_s=self._remaining_s(fake),
            clock_ms=int(self.now_s * 1000),
        )
        fake.last_report = (self.scheduler, self.scheduler.state.recorded, len(ended))

    def _saved(self, fake: FakeWorker, key) -> str:
        """Return the newest checkpoint of a run."""
        return ""

    def _remaining_s(self, fake: FakeWorker) -> float | None:
        """Return the rest of a leaving worker's notice period, in seconds."""
        return None

    def _expire_lease(self, fake: FakeWorker) -> None:
        """End the runs of a worker whose lease has expired."""
        if self.now_s < fake.lease_end_s:
            return
        self._forget_unacknowledged(fake)
        for task, number in list(fake.running):
            del fake.running[task, number]
            fake.blocked[task] = max(number, fake.blocked.get(task, 0))
            fake.unacknowledged_ends.append(
                ReportedEnd(task, number, EndKind.LEASE_EXPIRED)
            )

    def _forget_unacknowledged(self, fake: FakeWorker) -> None:
        """Allow tasks whose success was not acknowledged to run again elsewhere."""
        for end in fake.unacknowledged_ends:
            if end.kind is EndKind.DONE:
                self.done_tasks.discard(end.task)

    def _drop_acknowledged_ends(self, fake: FakeWorker) -> None:
        """Drop the reported ends once their owner has made them durable."""
        scheduler, record, count = fake.last_report
        if scheduler is self.scheduler and scheduler.state.committed >= record:
            del fake.unacknowledged_ends[:count]

    def _percent(self, fake: FakeWorker, key) -> int:
        if fake.hangs:
            return 0
        task = key[0]
        step = self.caps.graph(task.job_id).steps[task.step]
        age_s = self.now_s - fake.running[key]
        duration_s = max(0.01, self.duration_of(task, step) * fake.slowness)
        # A gang member that has done its part stays at 100 % until the others are done.
        return min(100 if step.gang else 99, int(100 * age_s / duration_s))

    # Faults.

    def crash(self, worker_id: str) -> None:
        """End a worker process; the owner learns of it at once."""
        fake = self.workers_by_id.pop(WorkerId(worker_id))
        fake.alive = False
        self._forget_unacknowledged(fake)
        self.scheduler.fleet.remove_worker(WorkerId(worker_id), now_s=self.now_s)
        self._decide()

    def crash_silently(self, fake: FakeWorker) -> None:
        """End a worker process; the owner learns of it only from the silence."""
        if not fake.alive:
            return
        fake.alive = False
        fake.running.clear()
        self._forget_unacknowledged(fake)
        self._after(DIRECTORY_S, self._remove_entry, fake)
        self._after(self.restart_s, self._restart, fake)

    def _remove_entry(self, fake: FakeWorker) -> None:
        if self.workers_by_id.get(fake.worker.worker_id) is not fake:
            # Its replacement has overwritten the entry.
            return
        self.scheduler.fleet.mark_unregistered(fake.worker.worker_id)
        del self.workers_by_id[fake.worker.worker_id]

    def _restart(self, fake: FakeWorker) -> None:
        worker = fake.worker
        index = int(worker.worker_id.removeprefix("w"))
        if self.restart_under_new_id:
            index += 100
        self.add_worker(
            index,
            cpu=worker.capacity.cpu_milli,
            memory=worker.capacity.memory_mb,
            incarnation=worker.incarnation + 1,
        )

    def replace_owner(self, directory: list[Worker] | None = None) -> None:
        """Replace the owner by one that takes over from the durable records.

        :param directory: entries that the new owner reads, by default the current ones.
        """
        if directory is None:
            directory = [fake.worker for fake in self.workers_by_id.values()]
        self._fence += 1
        queues = list(self.scheduler.state.queues_by_id.values())
        customers = list(self.scheduler.state.customers_by_id.values())
        self.scheduler = self._make_scheduler(self._fence)
        self.scheduler.set_queues(queues)
        self.scheduler.set_customers(customers)
        self._held.clear()
        self._unwritten.clear()
        for worker in directory:
            self.scheduler.fleet.update_worker(worker, now_s=self.now_s)
        self.scheduler.replay(
            self.committed,
            lease_end_s=self.now_s + LEASE_S,
            now_s=self.now_s,
            wall_ms=self.wall_ms,
        )
        for fake in self.workers_by_id.values():
            self._send_report(fake)
        self._decide()

    def compact(self) -> None:
        """Compact all durable records."""
        self.committed = self.scheduler.compact(
            self.committed, now_s=self.now_s, wall_ms=self.wall_ms
        )

    # Results.

    def status(self, job_id: JobId) -> JobStatus | None:
        """Return the state reported to callers."""
        return self.scheduler.status(job_id)

    def wait_s(self, job_id: JobId) -> float:
        """Return the time from submission to the first start."""
        return self.first_start_s[job_id] - self.submitted_s[job_id]

    def took_s(self, job_id: JobId) -> float:
        """Return the time from submission to the final state."""
        return self.finished_s[job_id] - self.submitted_s[job_id]
