"""Stand-in for an upstream: runs attempts in slots and records them.

The body of a request may be a JSON :class:`Work` that determines the run time and the
behaviour; with any other body the request is answered after the default run time.
"""

import json
from collections import deque
from enum import Enum
from functools import partial

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.web.server import Request, Site

from ..backends import AttemptState, AttemptStatus, RunningAttempt, RunningAttempts
from ..common import AttemptId, Clock, SystemClock, decode_json, encode_json

__all__ = ["AttemptRecord", "Behaviour", "UpstreamFaults", "UpstreamStandin", "Work"]

REMEMBERED_ATTEMPTS = 100_000
BODY_LIMIT_BYTES = 300 * 1024 * 1024


class Behaviour(Enum):
    """How the stand-in handles a request."""

    ANSWER = "answer"
    FAIL = "fail"
    TRUNCATE = "truncate"
    DROP_CONNECTION = "drop_connection"
    IGNORE_STOP = "ignore_stop"


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """Instructions to the stand-in in the body of a request.

    :param run_s: service time, in seconds.
    :param answer_bytes: minimum length of the answer; it is padded with spaces.
    :param echo: text to return in the answer.
    """

    run_s: float = 0.02
    behaviour: Behaviour = Behaviour.ANSWER
    answer_bytes: int = 0
    echo: str = ""


class UpstreamFaults(msgspec.Struct, frozen=True, kw_only=True):
    """A behaviour that overrides that of the next ``count`` requests."""

    behaviour: Behaviour = Behaviour.ANSWER
    count: int = 0


class AttemptRecord(msgspec.Struct, kw_only=True):
    """The record of one attempt, evaluated by tests.

    :param started_s: wall clock time, in seconds; 0 if the attempt was not started.
    :param ended_s: wall clock time, in seconds; 0 while the attempt runs.
    """

    attempt_id: AttemptId
    request_id: str
    kind: str
    customer: str
    started_s: float = 0.0
    ended_s: float = 0.0
    state: AttemptState = AttemptState.NOT_STARTED


class _AttemptRequest(Request):
    """A request that records when its head arrived.

    :param clock: source of the time.
    """

    def __init__(self, *args: object, clock: Clock, **options: object):
        super().__init__(*args, **options)
        self._clock = clock
        self._head_s = clock.monotonic_s()

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Record the arrival of the whole head; called by the channel after it."""
        self._head_s = self._clock.monotonic_s()
        super().gotLength(length)

    @property
    def receiving_s(self) -> float:
        """Seconds since the head arrived, from which the attempt's run time counts."""
        return self._clock.monotonic_s() - self._head_s


class _RunningAttempt:
    """A running attempt, which occupies a slot."""

    def __init__(self, record: AttemptRecord, request: Request):
        self.record = record
        self.request = request
        self.end_call: IDelayedCall | None = None
        self.connected = True
        self.stoppable = True


class UpstreamStandin:
    """Runs attempts and counts violations of the limits.

    :param slots: maximum number of concurrent attempts.
    :param connections: maximum number of open connections.
    :param default_run_s: run time of requests without a :class:`Work`, in seconds.
    """

    app = Klein()

    def __init__(
        self,
        reactor: IReactorTime,
        *,
        slots: int = 8,
        connections: int = 64,
        default_run_s: float = 0.02,
        clock: Clock | None = None,
    ):
        self._reactor = reactor
        self._clock = clock or SystemClock()
        self._slots = slots
        self._default_run_s = default_run_s
        self._running_by_id: dict[AttemptId, _RunningAttempt] = {}
        self._blocked_ids: set[AttemptId] = set()
        self.records: deque[AttemptRecord] = deque(maxlen=REMEMBERED_ATTEMPTS)
        self.faults = UpstreamFaults()
        self.connection_limit = connections
        self.open_connections = 0
        self.most_connections = 0
        self.slot_violations = 0

    def site(self) -> Site:
        """Return the server factory."""
        make_request = partial(_AttemptRequest, clock=self._clock)
        return Site(self.app.resource(), requestFactory=make_request)

    @app.route("/v1/attempts/<attempt_id>", methods=["POST"])
    def start(self, request: _AttemptRequest, attempt_id: str):
        """Run one attempt."""
        attempt = AttemptId(attempt_id)
        record = self._register(request, attempt)
        if self._must_not_start(request, attempt):
            request.setResponseCode(409)
            request.setHeader("Not-Started", "true")
            return b"not_started"
        if len(self._running_by_id) >= self._slots:
            self.slot_violations += 1
            request.setResponseCode(409)
            request.setHeader("Not-Started", "true")
            return b"no_slot"
        self._run(request, record)
        # klein would end the response if the handler returned, so this never fires.
        return Deferred()

    @staticmethod
    def _header(request: Request, name: str) -> str:
        return request.getHeader(name) or ""

    def _register(self, request: Request, attempt_id: AttemptId) -> AttemptRecord:
        record = AttemptRecord(
            attempt_id=attempt_id,
            request_id=self._header(request, "Request-Id"),
            kind=self._header(request, "Kind"),
            customer=self._header(request, "Customer"),
        )
        self.records.append(record)
        return record

    def _must_not_start(self, request: _AttemptRequest, attempt_id: AttemptId) -> bool:
        start_before_ms = int(self._header(request, "Start-Before-Ms") or "0")
        # A large body may arrive after the limit, so the arrival of the head counts.
        arrived_s = self._clock.wall_s() - request.receiving_s
        is_late = arrived_s * 1000 > start_before_ms
        is_overdue = self._run_limit_s(request) <= request.receiving_s
        return is_late or is_overdue or attempt_id in self._blocked_ids

    def _run_limit_s(self, request: Request) -> float:
        return float(self._header(request, "Run-Limit-Ms") or "60000") / 1000

    def _run(self, request: _AttemptRequest, record: AttemptRecord) -> None:
        body = request.content.read(BODY_LIMIT_BYTES)
        work = self._work_from(body)
        running = _RunningAttempt(record, request)
        running.stoppable = work.behaviour is not Behaviour.IGNORE_STOP
        record.started_s = self._clock.wall_s()
        record.state = AttemptState.RUNNING
        self._running_by_id[record.attempt_id] = running
        limit_s = self._run_limit_s(request) - request.receiving_s
        run_s = min(work.run_s, limit_s)
        running.end_call = self._reactor.callLater(
            run_s, self._finish, running, work, body
        )

        def disconnected(_failure: object) -> None:
            running.connected = False

        request.notifyFinish().addErrback(disconnected)

    def _work_from(self, body: bytes) -> Work:
        try:
            work = msgspec.json.decode(body, type=Work)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            work = Work(run_s=self._default_run_s, echo="")
        if self.faults.count > 0:
            left = self.faults.count - 1
            work = msgspec.structs.replace(work, behaviour=self.faults.behaviour)
            self.faults = msgspec.structs.replace(self.faults, count=left)
        return work

    def _finish(self, running: _RunningAttempt, work: Work, body: bytes) -> None:
        self._end(running, AttemptState.ENDED)
        if not running.connected:
            return
        request = running.request
        if work.behaviour is Behaviour.DROP_CONNECTION:
            request.transport.abortConnection()
            return
        if work.behaviour is Behaviour.FAIL:
            request.setResponseCode(500)
        answer = self._answer(running.record, work, body)
        request.setHeader("Content-Length", str(len(answer)))
        if work.behaviour is Behaviour.TRUNCATE:
            request.write(answer[: len(answer) // 2])
            self._reactor.callLater(0.01, request.transport.abortConnection)
            return
        request.write(answer)
        request.finish()

    @staticmethod
    def _answer(record: AttemptRecord, work: Work, body: bytes) -> bytes:
        answer = json.dumps(
            {
                "request_id": record.request_id,
                "attempt_id": record.attempt_id,
                "body_bytes": len(body),
                "echo": work.echo,
            }
        ).encode()
        return answer + b" " * max(0, work.answer_bytes - len(answer))

    def _end(self, running: _RunningAttempt, state: AttemptState) -> None:
        running.record.ended_s = self._clock.wall_s()
        running.record.state = state
        self._running_by_id.pop(running.record.attempt_id, None)

    @app.route("/v1/attempts/<attempt_id>", methods=["DELETE"])
    def stop(self, request: Request, attempt_id: str):
        """Stop an attempt; an attempt that has not arrived is blocked from starting."""
        attempt = AttemptId(attempt_id)
        status = AttemptStatus(attempt_id=attempt, state=self._stop(attempt))
        request.setHeader("Content-Type", "application/json")
        return encode_json(status)

    def _stop(self, attempt_id: AttemptId) -> AttemptState:
        running = self._running_by_id.get(attempt_id)
        if running is not None:
            if not running.stoppable:
                return AttemptState.RUNNING
            running.end_call.cancel()
            self._end(running, AttemptState.STOPPED)
            if running.connected:
                running.request.transport.abortConnection()
            return AttemptState.STOPPED
        for record in reversed(self.records):
            if record.attempt_id == attempt_id:
                return record.state
        self._blocked_ids.add(attempt_id)
        return AttemptState.NOT_STARTED

    @app.route("/v1/attempts", methods=["GET"])
    def list_running(self, request: Request):
        """Return the running attempts."""
        request.setHeader("Content-Type", "application/json")
        running = [
            RunningAttempt(
                attempt_id=attempt.record.attempt_id,
                request_id=attempt.record.request_id,
            )
            for attempt in self._running_by_id.values()
        ]
        return encode_json(RunningAttempts(attempts=running))

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Request):
        """Set the behaviour of the next requests."""
        data = request.content.read()
        self.faults = decode_json(data, UpstreamFaults, limit_bytes=1000)
        return b"{}"

    @app.route("/seen", methods=["GET"])
    def list_seen(self, request: Request):
        """Return the records of all attempts and the counts of violations."""
        return encode_json(
            {
                "seen": list(self.records),
                "slot_violations": self.slot_violations,
                "most_connections": self.most_connections,
                "connection_limit": self.connection_limit,
            }
        )
