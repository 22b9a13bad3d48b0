"""Orders to workers, and their lists of runs."""

import msgspec
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IReactorTime

from ..backends.http import JsonHttpClient
from ..common import MalformedMessageError, encode_json
from ..node.interfaces import (
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
from .wire import decode_wire, format_task, parse_task

__all__ = ["PlatformWorker"]

# Longest time for the answer to an order; workers answer within milliseconds, and
# orders are repeated safely.
ORDER_TIMEOUT_S = 0.5

# What a waiting listing may take beyond the time that it asks for.
LISTING_SLACK_S = 0.3

# A worker lists at most so many ends at once.
ENDS_PER_LISTING = 500

# Idle connections kept: one for a listing and one for each of the 8 slots, as the tasks
# of a step are started side by side. An instance has 3,900 descriptors for sockets; a
# partition has at most 263 workers.
CONNECTIONS = 9

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


class _OrderAnswer(msgspec.Struct, rename="pascal"):
    # The worker's steady clock.
    clock_ms: int = 0
    # Of a refusal.
    reason: str = ""


class _RunList(msgspec.Struct, rename="pascal"):
    clock_ms: int = 0
    # Rows of task, run, checkpoint, percent and usage; later rows may be longer.
    running: list[list[object]] = []
    # Rows of number, task, run, kind of end and checkpoint.
    ended: list[list[object]] = []
    # The only name of the platform that is not capitalised.
    incarnation: int = msgspec.field(name="born", default=0)


class PlatformWorker(WorkerConnection):
    """Calls one incarnation of a worker over HTTP.

    :param worker: its directory entry.
    """

    def __init__(self, reactor: IReactorTime, worker: Worker):
        self._worker = worker
        self._client = JsonHttpClient(
            reactor,
            f"http://{worker.address}",
            timeout_s=ORDER_TIMEOUT_S,
            make_error=WorkerUnavailableError,
            connections=CONNECTIONS,
        )
        self._headers = {
            "Content-Type": "application/json",
            "X-Target-Instance": worker.worker_id,
        }

    async def _call(
        self, path: str, body: dict, *, timeout_s: float | None = None
    ) -> tuple[int, bytes]:
        try:
            status, answer = await self._client.call(
                "POST",
                path,
                body=encode_json(body),
                headers=self._headers,
                timeout_s=timeout_s,
            )
        except WorkerUnavailableError as error:
            cause = error.__cause__
            error.refused = isinstance(cause, ConnectionRefusedError)
            raise
        if status == 421:
            raise WorkerReplacedError(f"{self._worker.worker_id} is another process")
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
            answer = self._decode(data, _OrderAnswer)
            if answer.reason == "fence":
                raise StaleOwnerError("a later owner has given orders")
            return StartAnswer(started=False, reason=answer.reason), answer.clock_ms
        if status != 200:
            return StartAnswer(started=False, reason=f"status_{status}"), 0
        return StartAnswer(started=True), self._decode(data, _OrderAnswer).clock_ms

    async def stop(self, task: TaskKey, number: int, *, fence: int) -> None:
        """Stop a run, or block it if it has not arrived yet."""
        body = {"Task": format_task(task), "Run": number, "Fence": fence}
        self._check(*await self._call("/api/run-stop", body))

    async def set_speed(
        self, task: TaskKey, number: int, *, percent: int, fence: int
    ) -> None:
        """Limit what a run may use."""
        body = {
            "Task": format_task(task),
            "Run": number,
            "Percent": percent,
            "Fence": fence,
        }
        self._check(*await self._call("/api/pace", body))

    def _check(self, status: int, data: bytes) -> None:
        if status == 409 and self._decode(data, _OrderAnswer).reason == "fence":
            raise StaleOwnerError("a later owner has given orders")
        if status not in (200, 409):
            raise WorkerUnavailableError(f"worker answered {status}")

    async def poll_runs(
        self,
        *,
        fence: int,
        last_end: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> RunReport:
        """Renew the lease of all runs and list them."""
        body: dict[str, int] = {"Fence": fence, "LastSeen": last_end}
        if lease_until_ms is not None:
            body["UntilMs"] = lease_until_ms
        if wait_s > 0:
            body["WaitMs"] = int(wait_s * 1000)
        status, data = await self._call(
            "/api/hold", body, timeout_s=wait_s + LISTING_SLACK_S
        )
        self._check(status, data)
        listed = self._decode(data, _RunList)
        if listed.incarnation and listed.incarnation != self._worker.incarnation:
            raise WorkerReplacedError(f"{self._worker.worker_id} was started again")
        try:
            return self._listing(listed)
        except (MalformedMessageError, ValueError, TypeError, KeyError) as error:
            raise WorkerUnavailableError(
                f"list of runs is malformed: {error}"
            ) from error

    @staticmethod
    def _listing(listed: _RunList) -> RunReport:
        running = [
            ReportedRun(
                parse_task(row[0]),
                int(row[1]),
                str(row[2] or ""),
                int(row[3]),
                int(row[4]) if len(row) > 4 else 0,
            )
            for row in listed.running
        ]
        ended = [
            ReportedEnd(
                parse_task(row[1]), int(row[2]), _END_KINDS[row[3]], str(row[4] or "")
            )
            for row in listed.ended
        ]
        return RunReport(
            clock_ms=listed.clock_ms,
            running=running,
            ended=ended,
            last_end=max((int(row[0]) for row in listed.ended), default=0),
            complete=len(ended) < ENDS_PER_LISTING,
        )

    @staticmethod
    def _decode(data: bytes, wire_type):
        try:
            return decode_wire(data, wire_type)
        except MalformedMessageError as error:
            raise WorkerUnavailableError(f"answer: {error.message}") from error

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()
