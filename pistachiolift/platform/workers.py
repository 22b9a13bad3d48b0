"""Commands to workers and their run reports, over HTTP."""

import msgspec
from twisted.internet.interfaces import IReactorTime

from ..backends.http import JsonHttpClient
from ..common import MalformedMessageError, encode_json
from ..node.interfaces import (
    COMMAND_TIMEOUT_S,
    RunReport,
    StaleOwnerError,
    WorkerConnection,
    WorkerReplacedError,
    WorkerUnavailableError,
)
from ..workflows import (
    EndKind,
    ReportedEnd,
    ReportedRun,
    StartAnswer,
    TaskKey,
    Worker,
)
from .wire import Number, WholeNumber, decode_wire, format_task, parse_task

__all__ = ["PlatformWorker"]

# Time that a poll may take beyond its requested wait.
POLL_SLACK_S = 0.3

# Limit of the ends in one report; a report with as many may be incomplete.
MAX_ENDS_PER_REPORT = 500

# Idle connections kept for each worker: one for a poll and one for each of the 8 slots,
# since the tasks of a step are started in parallel. An instance has 3,900 descriptors
# for sockets, and a partition has at most 263 workers.
MAX_IDLE_CONNECTIONS = 9

_END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LEASE_EXPIRED,
    # Another member of the gang has ended.
    "broken": EndKind.MEMBER_ENDED,
    # The other members of the gang did not arrive in time.
    "alone": EndKind.GANG_INCOMPLETE,
}


class _CommandAnswer(msgspec.Struct, rename="pascal"):
    # The worker's monotonic clock.
    clock_ms: WholeNumber = 0
    # Reason of a refusal.
    reason: str = ""


class _RunningRow(msgspec.Struct, array_like=True):
    """A run that is present; newer versions of the platform may send longer rows."""

    task: str
    run: WholeNumber
    checkpoint: str | None
    # Progress.
    percent: Number
    usage: Number = 0.0

    def to_run(self) -> ReportedRun:
        """Convert to the scheduler's model."""
        return ReportedRun(
            parse_task(self.task),
            self.run,
            self.checkpoint or "",
            int(self.percent),
            int(self.usage),
        )


class _EndedRow(msgspec.Struct, array_like=True):
    """A run that has ended; newer versions of the platform may send longer rows."""

    sequence: WholeNumber
    task: str
    run: WholeNumber
    how: str
    checkpoint: str | None

    def to_end(self) -> ReportedEnd:
        """Convert to the scheduler's model.

        :raises MalformedMessageError: if the task's name or the kind is not valid.
        """
        kind = _END_KINDS.get(self.how)
        if kind is None:
            raise MalformedMessageError(f"kind of an end is {self.how[:40]!r}")
        return ReportedEnd(parse_task(self.task), self.run, kind, self.checkpoint or "")


class _RunList(msgspec.Struct, rename="pascal"):
    clock_ms: WholeNumber = 0
    running: list[_RunningRow] = []
    ended: list[_EndedRow] = []
    # Time until the worker kills its runs; sent only while it drains.
    remaining_ms: Number | None = None
    # The only name on the platform's wire that is not capitalised.
    incarnation: WholeNumber = msgspec.field(name="born", default=0)


class PlatformWorker(WorkerConnection):
    """Calls one incarnation of a worker over HTTP.

    :param worker: its directory entry.
    """

    def __init__(self, reactor: IReactorTime, worker: Worker):
        self._worker = worker
        self._client = JsonHttpClient(
            reactor,
            f"http://{worker.address}",
            timeout_s=COMMAND_TIMEOUT_S,
            make_error=WorkerUnavailableError,
            connections=MAX_IDLE_CONNECTIONS,
        )
        self._headers = {
            "Content-Type": "application/json",
            "X-Target-Instance": worker.worker_id,
        }

    async def _call(
        self, path: str, body: dict, *, timeout_s: float | None = None
    ) -> tuple[int, bytes]:
        status, answer = await self._client.call(
            "POST",
            path,
            body=encode_json(body),
            headers=self._headers,
            timeout_s=timeout_s,
        )
        if status == 421:
            raise WorkerReplacedError(
                f"worker {self._worker.worker_id}: another process answered"
            )
        return status, answer

    async def start(
        self,
        task: TaskKey,
        number: int,
        *,
        payload: str,
        lease_until_ms: int,
        fence: int,
        ticket: str,
        checkpoint: str,
    ) -> tuple[StartAnswer, int]:
        """Start a run."""
        body = {
            "Task": format_task(task),
            "Run": number,
            "Spec": payload,
            "UntilMs": lease_until_ms,
            "Fence": fence,
        }
        if ticket:
            body["Ticket"] = ticket
        if checkpoint:
            body["LastCheckpoint"] = checkpoint
        status, data = await self._call("/api/run-start", body)
        if status == 409:
            answer = self._decode(data, _CommandAnswer)
            if answer.reason == "fence":
                raise StaleOwnerError("worker has accepted a higher fencing token")
            return StartAnswer(started=False, reason=answer.reason), answer.clock_ms
        if status != 200:
            return StartAnswer(started=False, reason=f"status_{status}"), 0
        return StartAnswer(started=True), self._decode(data, _CommandAnswer).clock_ms

    async def stop(self, task: TaskKey, number: int, *, fence: int) -> None:
        """Stop a run; if its start has not arrived yet, make the worker reject it."""
        body = {"Task": format_task(task), "Run": number, "Fence": fence}
        self._raise_unless_ok(*await self._call("/api/run-stop", body))

    async def set_speed(
        self, task: TaskKey, number: int, *, percent: int, fence: int
    ) -> None:
        """Limit the speed of a run to a percentage of its full speed."""
        body = {
            "Task": format_task(task),
            "Run": number,
            "Percent": percent,
            "Fence": fence,
        }
        self._raise_unless_ok(*await self._call("/api/pace", body))

    def _raise_unless_ok(self, status: int, data: bytes) -> None:
        if status == 409 and self._decode(data, _CommandAnswer).reason == "fence":
            raise StaleOwnerError("worker has accepted a higher fencing token")
        if status not in (200, 409):
            raise WorkerUnavailableError(
                f"worker {self._worker.worker_id} answered with status {status}"
            )

    async def poll_runs(
        self,
        *,
        fence: int,
        last_end: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> RunReport:
        """Renew the lease of all runs and return the worker's run report."""
        body: dict[str, int] = {"Fence": fence, "LastSeen": last_end}
        if lease_until_ms is not None:
            body["UntilMs"] = lease_until_ms
        if wait_s > 0:
            body["WaitMs"] = int(wait_s * 1000)
        status, data = await self._call(
            "/api/hold", body, timeout_s=wait_s + POLL_SLACK_S
        )
        self._raise_unless_ok(status, data)
        run_list = self._decode(data, _RunList)
        if run_list.incarnation and run_list.incarnation != self._worker.incarnation:
            raise WorkerReplacedError(
                f"worker {self._worker.worker_id} was restarted: incarnation is "
                f"{run_list.incarnation}, expected {self._worker.incarnation}",
                incarnation=run_list.incarnation,
            )
        try:
            return self._to_report(run_list)
        except MalformedMessageError as error:
            raise WorkerUnavailableError(
                f"run report is malformed: {error.message}"
            ) from error

    @staticmethod
    def _to_report(run_list: _RunList) -> RunReport:
        running = [row.to_run() for row in run_list.running]
        ended = [row.to_end() for row in run_list.ended]
        return RunReport(
            clock_ms=run_list.clock_ms,
            running=running,
            ended=ended,
            last_end=max((row.sequence for row in run_list.ended), default=0),
            complete=len(ended) < MAX_ENDS_PER_REPORT,
            remaining_s=None
            if run_list.remaining_ms is None
            else run_list.remaining_ms / 1000,
        )

    @staticmethod
    def _decode(data: bytes, wire_type):
        try:
            return decode_wire(data, wire_type)
        except MalformedMessageError as error:
            raise WorkerUnavailableError(
                f"worker's answer is malformed: {error.message}"
            ) from error

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()
