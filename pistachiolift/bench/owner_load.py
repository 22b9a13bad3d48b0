"""Processor time of an owner's scheduler for each run, in virtual time."""

import gc
import heapq
import itertools
import logging
import random
import time
from collections.abc import Callable

import msgspec

from ..common import JobId, RackId, WorkerId
from ..workflows import (
    AdvicePolicy,
    AskAdvice,
    EndKind,
    GraphScheduler,
    JobGraph,
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

__all__ = ["OwnerLoadResult", "measure_owner_load"]

# A limit for the decisions alone: at 460 starts per second it is 14% of a core.
SCHEDULER_US_PER_RUN_TARGET = 300.0

WORKERS = 176
WORKERS_PER_RACK = 8
DURATION_S = 8.0
POOL = PoolId("works")

PASS_S = 0.004
TICK_S = 0.1
COMMIT_S = 0.008
ANSWER_S = 0.002


class _Kind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of job of the mixed load.

    :param rate_per_s: jobs per second.
    :param good: share of the workers that the adviser approves.
    """

    queue: Queue
    rate_per_s: float
    tasks: int
    task_s: float
    cpu_milli: int
    memory_mb: int
    gang: bool
    good: float


def _kind(
    name: str, priority: int, *, decide_s: float, each_s: float, **values
) -> _Kind:
    queue = Queue(
        queue_id=QueueId(name),
        host="bench",
        prefix=f"/{name}/",
        pool_id=POOL,
        priority=priority,
        max_failures=4,
        stretch=2.5,
        target_s=1.0,
        advice=AdvicePolicy(decide_s=decide_s, each_s=each_s, valid_s=1.5),
    )
    return _Kind(queue=queue, **values)


# Wide steps for which somebody waits, wide recalculations and small urgent checks. The
# steps of the first kind are gangs, and all together use about 0.9 of the processors.
KINDS = (
    _kind(
        "survey", 1, decide_s=0.4, each_s=0.006, rate_per_s=2.95, tasks=20,
        task_s=4.0, cpu_milli=4_500, memory_mb=5_000, gang=True, good=0.3,
    ),
    _kind(
        "calculation", 2, decide_s=0.2, each_s=0.002, rate_per_s=6.2, tasks=25,
        task_s=2.2, cpu_milli=1_700, memory_mb=2_000, gang=False, good=0.5,
    ),
    _kind(
        "check", 0, decide_s=0.017, each_s=0.0002, rate_per_s=44.0, tasks=3,
        task_s=1.0, cpu_milli=2_500, memory_mb=1_500, gang=False, good=0.7,
    ),
)  # fmt: skip


class OwnerLoadResult(msgspec.Struct, frozen=True, kw_only=True):
    """What the scheduler needed.

    :param waiting_ms: mean time from submission to the first start, by queue.
    """

    workers: int
    runs: int
    jobs_done: int
    passes: int
    processor_s: float
    waiting_ms: dict[str, float]

    @property
    def us_per_run(self) -> float:
        """Processor time for each run, in microseconds."""
        return 1e6 * self.processor_s / max(1, self.runs)

    @property
    def met(self) -> bool:
        """Whether the target is met."""
        return self.us_per_run <= SCHEDULER_US_PER_RUN_TARGET


class _OwnerLoad:
    """Workers, adviser, ledger and clients around one scheduler."""

    def __init__(self, workers: int, seed: int):
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._order = itertools.count()
        self._pass_due = False
        self._running: dict[WorkerId, set] = {}
        self._ended: set = set()
        self.processor_s = 0.0
        self.runs = self.passes = self.jobs_done = 0
        self._submitted_s: dict[JobId, tuple[str, float]] = {}
        self.waits_s: dict[str, list[float]] = {}
        self._pending: list[StartRun] = []
        self.scheduler = GraphScheduler(
            fence=1, keep_final_s=10.0, longest_lease_s=10.0
        )
        self.scheduler.set_queues([kind.queue for kind in KINDS])
        for index in range(workers):
            worker = Worker(
                worker_id=WorkerId(f"worker-{index}"),
                address=f"10.0.{index // 250}.{index % 250}:80",
                pool_id=POOL,
                zone="a",
                incarnation=1,
                state=WorkerState.READY,
                capacity=Size(cpu_milli=16_000, memory_mb=32_000),
                rack=RackId(f"rack-{index // WORKERS_PER_RACK}"),
            )
            self.scheduler.fleet.update_worker(worker, now_s=0.0)
            self._running[worker.worker_id] = set()
            self._report(worker.worker_id, [])

    def _after(self, delay_s: float, action: Callable, *arguments: object) -> None:
        event = (self._now_s + delay_s, next(self._order), action, arguments)
        heapq.heappush(self._events, event)

    def run(self, duration_s: float) -> None:
        for kind in KINDS:
            self._after(0.0, self._submit, kind, 0)
        self._after(0.0, self._tick)
        while self._events and self._events[0][0] <= duration_s:
            self._now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _measured(self, call: Callable, *arguments, **options):
        begun_s = time.thread_time()
        result = call(*arguments, **options)
        self.processor_s += time.thread_time() - begun_s
        return result

    def _submit(self, kind: _Kind, count: int) -> None:
        job_id = JobId(f"{kind.queue.queue_id}-{count}")
        spread = self._rng.uniform(0.5, 1.5)
        step = Step(
            count=max(1, round(kind.tasks * spread)),
            size=Size(
                cpu_milli=round(kind.cpu_milli * self._rng.uniform(0.6, 1.4)),
                memory_mb=kind.memory_mb,
            ),
            estimate_s=kind.task_s,
            gang=kind.gang,
        )
        self._submitted_s[job_id] = (kind.queue.queue_id, self._now_s)
        self._measured(
            self.scheduler.submit,
            job_id,
            kind.queue,
            JobGraph(payload="", steps=(step,)),
            received_s=self._now_s,
            received_ms=int(1000 * self._now_s),
        )
        self._decide()
        self._schedule_pass()
        delay_s = self._rng.expovariate(kind.rate_per_s)
        self._after(delay_s, self._submit, kind, count + 1)

    def _tick(self) -> None:
        self._measured(self.scheduler.tick, self._now_s)
        self._pass()
        self._after(TICK_S, self._tick)

    def _schedule_pass(self) -> None:
        if not self._pass_due:
            self._pass_due = True
            self._after(PASS_S, self._pass)

    def _pass(self) -> None:
        self._pass_due = False
        self.passes += 1
        wall_ms = int(1000 * self._now_s)
        self._measured(self.scheduler.dispatch, now_s=self._now_s, wall_ms=wall_ms)
        self._decide()

    def _decide(self) -> None:
        records = self.scheduler.take_records()
        if records:
            self._after(COMMIT_S, self._commit, len(records))
        for decision in self.scheduler.take_decisions():
            if isinstance(decision, StartRun):
                self._pending.append(decision)
            elif isinstance(decision, AskAdvice):
                self._after(decision.cost_s, self._advise, decision)
            elif isinstance(decision, StopRun):
                self._after(ANSWER_S, self._end, decision, EndKind.STOPPED)

    def _commit(self, count: int) -> None:
        self.scheduler.record_commit(count)
        committed = self.scheduler.state.committed
        due = [order for order in self._pending if order.after_record <= committed]
        self._pending = [o for o in self._pending if o.after_record > committed]
        for order in due:
            sent = self._measured(self.scheduler.prepare_start, order, self._now_s)
            if sent is not None:
                self._after(ANSWER_S, self._started, sent)
        self._schedule_pass()

    def _started(self, order: StartRun) -> None:
        self.runs += 1
        self._running[order.worker_id].add((order.task, order.number))
        queue_id, submitted_s = self._submitted_s.get(order.task.job_id, ("", 0.0))
        if queue_id:
            del self._submitted_s[order.task.job_id]
            self.waits_s.setdefault(queue_id, []).append(self._now_s - submitted_s)
        self._measured(
            self.scheduler.handle_start_answer,
            order.worker_id,
            order.task,
            order.number,
            StartAnswer(started=True),
            now_s=self._now_s,
        )
        step = self.scheduler.state.step(order.task.step_key)
        estimate_s = step.step.estimate_s if step is not None else 0.1
        task_s = estimate_s * self._rng.uniform(0.7, 1.3)
        self._after(task_s, self._end, order, EndKind.DONE)

    def _end(self, order: StartRun | StopRun, kind: EndKind) -> None:
        key = order.task, order.number
        if key in self._ended:
            return
        self._ended.add(key)
        self._running[order.worker_id].discard(key)
        end = ReportedEnd(order.task, order.number, kind, "")
        self._report(order.worker_id, [end])

    def _report(self, worker_id: WorkerId, ended: list[ReportedEnd]) -> None:
        running = [
            ReportedRun(task, number, "", 50, 0)
            for task, number in self._running[worker_id]
        ]
        self._measured(
            self.scheduler.fleet.apply_report,
            worker_id,
            running,
            ended,
            complete=True,
            sent_s=self._now_s,
            now_s=self._now_s,
            wall_ms=int(1000 * self._now_s),
        )
        self.scheduler.fleet.extend_lease(worker_id, self._now_s + 10.0)
        self._decide()
        self._schedule_pass()

    def _advise(self, question: AskAdvice) -> None:
        step = self.scheduler.state.step(question.step)
        if step is None:
            return
        name = step.job.queue.queue_id
        good = next(kind.good for kind in KINDS if kind.queue.queue_id == name)
        approved = [w for w in question.worker_ids if self._rng.random() < good]
        self._measured(
            self.scheduler.handle_advice,
            question.step,
            question.worker_ids,
            dict.fromkeys(approved, "ticket"),
            valid_s=1.5,
            now_s=self._now_s,
        )
        self._schedule_pass()


def measure_owner_load(
    *, seed: int, workers: int = WORKERS, duration_s: float = DURATION_S
) -> OwnerLoadResult:
    """Measure the scheduler under a mixed load that nearly fills its workers.

    :param duration_s: virtual time of the load, in seconds.
    """
    load = _OwnerLoad(workers, seed)
    load.scheduler.advice.instances = 30
    gc.collect()
    # The log lines of all runs take as long as the decisions.
    logging.disable(logging.INFO)
    try:
        load.run(duration_s)
    finally:
        logging.disable(logging.NOTSET)
    return OwnerLoadResult(
        workers=workers,
        runs=load.runs,
        jobs_done=sum(map(len, load.waits_s.values())),
        passes=load.passes,
        processor_s=load.processor_s,
        waiting_ms={
            name: 1000 * sum(waits) / len(waits) for name, waits in load.waits_s.items()
        },
    )
