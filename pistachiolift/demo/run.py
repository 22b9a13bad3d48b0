"""A mixed load on an embedded cell, with a flood of one kind of request."""

import random

import treq
from twisted.internet.defer import DeferredList, ensureDeferred
from twisted.internet.interfaces import IReactorCore
from twisted.internet.task import deferLater
from twisted.web.client import Agent, HTTPConnectionPool

from ..common import PistachioliftError, encode_json
from ..jobs import JobSpec, PolicyName, Resources
from ..peers import HomeCallKind
from ..standins import TaskPayload, Work
from .cell import CUSTOMERS, TOKENS_BY_CUSTOMER, EmbeddedCell
from .report import DemoReport

__all__ = ["run_demo"]

# Requests per second and service time in seconds of each kind. The cell has 32
# slots; the flood of recalculations alone asks for about three times as many.
LOAD = {
    "check-in": (30.0, 0.02),
    "compilation": (8.0, 0.1),
    "publication": (2.0, 0.05),
    "recalculation": (8.0, 0.4),
}
FLOOD_RATE_PER_S = 160.0
FLOOD_START_S = 4.0
FLOOD_END_S = 9.0
LOAD_DURATION_S = 14.0
DEADLINES_S = {
    "check-in": 5.0,
    "compilation": 8.0,
    "publication": 8.0,
    "recalculation": 8.0,
}


class _LoadGenerator:
    """Sends requests at random intervals and records their outcomes."""

    def __init__(
        self,
        reactor: IReactorCore,
        cell: EmbeddedCell,
        report: DemoReport,
        rng: random.Random,
    ):
        self._reactor = reactor
        self._cell = cell
        self._report = report
        self._rng = rng
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = 200
        pool.retryAutomatically = False
        self.pool = pool
        self._agent = Agent(reactor, pool=pool)
        self._number = 0

    async def run_kind(self, kind: str, rate: float, start_s: float, end_s: float):
        """Send requests of one kind at random intervals.

        :param rate: mean number of requests per second.
        :param start_s: seconds from now to the first request.
        :param end_s: seconds from now to the end of the sending.
        """
        await deferLater(self._reactor, start_s)
        ends_at_s = self._reactor.seconds() + end_s - start_s
        calls = []
        while self._reactor.seconds() < ends_at_s:
            calls.append(ensureDeferred(self._send(kind)))
            await deferLater(self._reactor, self._rng.expovariate(rate))
        await DeferredList(calls, fireOnOneErrback=True)

    async def _send(self, kind: str) -> None:
        self._number += 1
        key = f"{kind}-{self._number}"
        customer = CUSTOMERS[0] if self._rng.random() < 0.7 else CUSTOMERS[1]
        instance = self._rng.choice(self._cell.instances)
        run_s = LOAD[kind][1]
        started_s = self._reactor.seconds()
        response = await treq.post(
            f"http://127.0.0.1:{instance.config.caller_port}/v1/requests/{kind}",
            data=encode_json(Work(run_s=run_s, echo=key)),
            headers={
                "Authorization": f"Bearer {TOKENS_BY_CUSTOMER[customer]}",
                "Idempotency-Key": key,
                "Deadline-Ms": str(int(DEADLINES_S[kind] * 1000)),
                "Repeatable": "false" if kind == "publication" else "true",
            },
            agent=self._agent,
        )
        document = await treq.json_content(response)
        outcome = response.headers.getRawHeaders("Outcome", ["none"])[0]
        request_id = f"{customer}/{key}"
        wait_s = self._reactor.seconds() - started_s - run_s
        self._report.record_request(kind, request_id, outcome, wait_s)
        if outcome == "done" and document["echo"] != key:
            self._report.record_wrong_answer(request_id)


async def _submit_jobs(cell: EmbeddedCell, report: DemoReport) -> list[str]:
    """Submit a service, a batch job and a gang job and return their ids."""
    instance = cell.instances[0]
    specs = [
        _job("clock-gateway", PolicyName.SERVICE, 3, TaskPayload()),
        _job("season-archive", PolicyName.BATCH, 12, TaskPayload(run_s=2.0)),
        _job("velocity-model", PolicyName.GANG, 4, TaskPayload(run_s=2.0)),
    ]
    for spec in specs:
        partition = instance.partition_map.home_of(spec.job_id, spec.job_id, ())
        await instance.calls.call(
            HomeCallKind.SUBMIT_JOB, partition, spec.job_id, encode_json(spec)
        )
    return [spec.job_id for spec in specs]


def _job(job_id: str, policy: PolicyName, tasks: int, payload: TaskPayload) -> JobSpec:
    return JobSpec(
        job_id=job_id,
        customer_id=CUSTOMERS[0],
        policy=policy,
        tasks=tasks,
        resources=Resources(4000, 8000, 0),
        payload=encode_json(payload).decode(),
    )


async def _describe_jobs(cell: EmbeddedCell, job_ids: list[str]) -> list[str]:
    lines = []
    for job_id in job_ids:
        for instance in cell.instances:
            for home in instance.homes.homes:
                try:
                    state = home.jobs.scheduler.explain(job_id)
                except PistachioliftError:
                    continue
                lines.append(
                    f"job {job_id}: {state.state.value}, {state.running} running, "
                    f"{state.done} done of {state.tasks}"
                )
    return lines


async def run_demo(reactor: IReactorCore, *, seed: int) -> tuple[list[str], bool]:
    """Run the demo.

    :param seed: seed of the load's random choices.
    :returns: lines to print, and whether every guarantee held.
    """
    report = DemoReport()
    rng = random.Random(seed)
    async with EmbeddedCell(reactor) as cell:
        load = _LoadGenerator(reactor, cell, report, rng)
        job_ids = await _submit_jobs(cell, report)
        runs = [
            ensureDeferred(load.run_kind(kind, rate, 0.0, LOAD_DURATION_S))
            for kind, (rate, _) in LOAD.items()
        ]
        flood = load.run_kind(
            "recalculation", FLOOD_RATE_PER_S, FLOOD_START_S, FLOOD_END_S
        )
        runs.append(ensureDeferred(flood))
        await DeferredList(runs, fireOnOneErrback=True)
        lines = report.lines() + await _describe_jobs(cell, job_ids)
        await load.pool.closeCachedConnections()
        await cell.drain()
        report.check_upstreams(cell.upstreams)
        report.check_workers(cell.workers)
        lines.append(f"store calls: {dict(cell.store.calls_by_name)}")
    lines += [f"VIOLATION {violation}" for violation in report.violations]
    if not report.violations:
        lines.append("all checked guarantees held")
    return lines, not report.violations
