"""The HTTP interface for callers, with jobs under the path of their queue."""

import logging
import math
import re
from dataclasses import dataclass

from ..common import (
    AuthenticationError,
    CustomerId,
    InvalidInputError,
    JobId,
    MalformedMessageError,
    PistachioliftError,
)
from ..listener import HandlerResource, StreamingRequest
from ..node.authentication import CallerRefusedError, authenticate
from ..node.instance import NodeInstance
from ..node.interfaces import QueueTable
from ..node.peer_messages import JobAnswer, JobOutcome
from ..node.refusals import RefusalLog
from ..workflows import JobGraph, Queue, validate_graph
from .jobs import decode_job, encode_status, encode_waiting

__all__ = ["make_caller_api"]

logger = logging.getLogger(__name__)

_JOB_ID = re.compile(r"[0-9a-f]{16}")

DEADLINE_HEADER = "X-Deadline-Ms"
DEFAULT_DEADLINE_S = 3.0
# Time reserved for the answer to reach the caller before the deadline.
ANSWER_MARGIN_S = 0.15
RETRY_AFTER_S = 1.0
RETRY_AFTER_LIMIT_S = 4.0
# Retries of a client after its first attempt.
CLIENT_RETRIES = 4

# Configurations under which a call is judged before the caller is told to come back.
MAX_DECISIONS = 3

# Lengths to which texts from callers are cut in log lines.
PATH_LOGGED = 80
MESSAGE_LOGGED = 200

_HEADERS = [(b"Content-Type", b"application/json")]


@dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    body: bytes = b"{}"
    retry_after_s: float = 0.0


@dataclass(slots=True)
class _Call:
    """A caller's request, and what is known of it so far.

    :param refusals: counts and logs the request if it is refused.
    :param table: configuration under which it is handled.
    :param until_s: time by which it must be answered.
    :param customer_id: the customer that makes it; empty for none.
    :param graph: the submitted job, once it has been read.
    :param newer_version: version under which it has to be judged again.
    """

    instance: NodeInstance
    request: StreamingRequest
    refusals: RefusalLog
    table: QueueTable | None
    until_s: float
    customer_id: CustomerId = CustomerId("")
    graph: JobGraph | None = None
    newer_version: int | None = None

    def refuse(self, reason: str, **fields: object) -> None:
        """Count and log that the call is refused."""
        self.refusals.record(
            reason,
            customer_id=self.customer_id,
            path=self.request.path[:PATH_LOGGED].decode("latin-1"),
            config=0 if self.table is None else self.table.version,
            **fields,
        )


def make_caller_api(instance: NodeInstance) -> HandlerResource:
    """Return the resource for callers of an instance."""
    refusals = RefusalLog(logger, clock=instance.clock, metrics=instance.metrics)

    async def handle(request: StreamingRequest) -> None:
        until_s = instance.clock.monotonic_s() + _deadline_s(request) - ANSWER_MARGIN_S
        call = _Call(instance, request, refusals, instance.table, until_s)
        headers = list(_HEADERS)
        try:
            reply = await _handle(call)
        except PistachioliftError as error:
            call.refuse(error.code.value, message=error.message[:MESSAGE_LOGGED])
            reply = _Reply(error.http_status)
        if reply.status == AuthenticationError.http_status:
            headers.append((b"WWW-Authenticate", b"Bearer"))
        if reply.retry_after_s:
            seconds = max(1, math.ceil(reply.retry_after_s))
            headers.append((b"Retry-After", b"%d" % seconds))
        request.send_answer(reply.status, headers, reply.body)

    return HandlerResource(handle)


async def _handle(call: _Call) -> _Reply:
    """Handle a call, again if another instance has a newer configuration."""
    for _ in range(MAX_DECISIONS):
        call.newer_version = None
        reply = await _decide(call)
        if call.newer_version is None:
            return reply
        instance = call.instance
        remaining_s = call.until_s - instance.clock.monotonic_s()
        if not await instance.catch_up(call.newer_version, timeout_s=remaining_s):
            break
        call.table = instance.table
    call.refuse("configuration_outdated", newer=call.newer_version)
    return _Reply(503, retry_after_s=RETRY_AFTER_S)


def _refuse_by_configuration(call: _Call, reason: str, status: int, **fields) -> _Reply:
    """Refuse a call that the configuration does not allow.

    If another instance is known to have a newer one, the call is judged under that; if
    there may be one, the caller is told to come back.
    """
    newest = call.instance.newest_configuration
    if newest > call.table.version:
        call.newer_version = newest
        return _Reply(503, retry_after_s=RETRY_AFTER_S)
    if call.instance.configuration_confirmed:
        call.refuse(reason, **fields)
        return _Reply(status)
    call.refuse("configuration_unconfirmed", instead_of=reason)
    return _Reply(503, retry_after_s=RETRY_AFTER_S)


async def _decide(call: _Call) -> _Reply:
    """Handle a call under one configuration."""
    instance, request, table = call.instance, call.request, call.table
    if table is None:
        call.refuse("no_configuration")
        return _Reply(503, retry_after_s=RETRY_AFTER_S)
    host = (request.getHeader("host") or "").split(":")[0].lower()
    path = request.path.decode("latin-1")
    queue = table.find(host, path)
    if queue is None:
        return _refuse_by_configuration(
            call, "no_such_queue", 404, host=host[:PATH_LOGGED]
        )
    keys = request.requestHeaders.getRawHeaders(b"authorization", [])
    try:
        call.customer_id = authenticate(table, queue, keys)
    except CallerRefusedError as error:
        reason = f"authentication.{error.reason.value}"
        return _refuse_by_configuration(
            call, reason, error.http_status, message=error.message
        )
    rest = path[len(queue.prefix) :]
    if not rest and request.method == b"GET":
        return await _count_pending_jobs(call, queue)
    if not _JOB_ID.fullmatch(rest):
        raise InvalidInputError(f"job id {rest[:40]!r} is not 16 hexadecimal digits")
    job_id = JobId(rest)
    if request.method == b"POST":
        return await _submit(call, queue, job_id)
    visible_to = call.customer_id if table.needs_keys else None
    if request.method == b"GET":
        answer = await instance.jobs.status(
            job_id,
            until_s=call.until_s,
            customer_id=visible_to,
            configuration_version=table.version,
        )
        if answer.outcome is JobOutcome.OK:
            return _Reply(200, encode_status(answer.status))
        return _error_reply(call, answer)
    if request.method == b"DELETE":
        answer = await instance.jobs.cancel(
            job_id,
            until_s=call.until_s,
            customer_id=visible_to,
            configuration_version=table.version,
        )
        if answer.outcome is JobOutcome.OK:
            return _Reply(200)
        return _error_reply(call, answer)
    return _Reply(405)


async def _count_pending_jobs(call: _Call, queue: Queue) -> _Reply:
    answer = await call.instance.jobs.count_pending_jobs(
        queue.queue_id, until_s=call.until_s, configuration_version=call.table.version
    )
    if answer.outcome is JobOutcome.OK:
        return _Reply(200, encode_waiting(answer.count))
    return _error_reply(call, answer)


async def _submit(call: _Call, queue: Queue, job_id: JobId) -> _Reply:
    if call.graph is None:
        call.graph = await _read_graph(call)
    answer = await call.instance.jobs.submit(
        job_id,
        queue,
        call.graph,
        until_s=call.until_s,
        customer_id=call.customer_id,
        configuration_version=call.table.version,
    )
    if answer.outcome is JobOutcome.OK:
        return _Reply(200)
    # The job service counts the outcome and logs it.
    call.refusals.count_for_customer(answer.outcome.value, call.customer_id)
    return _error_reply(call, answer, queue)


async def _read_graph(call: _Call) -> JobGraph:
    """Read the submitted job; the body can be read once only."""
    body = await call.request.body.read_all(call.table.max_body_bytes)
    try:
        graph = decode_job(body)
    except MalformedMessageError as error:
        raise InvalidInputError(error.message) from error
    validate_graph(graph)
    return graph


def _retry_after_s(queue: Queue, graph: JobGraph) -> float:
    """Return the time after which a refused client should retry, in seconds.

    A client retries a few times. Spread over the job's target duration, these retries
    outlast a short outage while the result is still useful.
    """
    work_s = sum(step.estimate_s for step in graph.steps)
    objective_s = queue.target_s + queue.stretch * work_s
    return min(RETRY_AFTER_LIMIT_S, max(RETRY_AFTER_S, objective_s / CLIENT_RETRIES))


def _error_reply(call: _Call, answer: JobAnswer, queue: Queue | None = None) -> _Reply:
    """Return the reply for an outcome other than success.

    :param queue: the queue that a job was submitted to.
    """
    if answer.outcome is JobOutcome.OLDER_CONFIGURATION:
        call.newer_version = answer.configuration_version
        return _Reply(503, retry_after_s=RETRY_AFTER_S)
    if answer.outcome is JobOutcome.UNKNOWN_JOB:
        return _Reply(410)
    if answer.outcome is JobOutcome.FORBIDDEN:
        return _Reply(403)
    if answer.outcome is JobOutcome.REFUSED:
        retry_after_s = answer.retry_after_s or RETRY_AFTER_S
        if not answer.retry_after_s and queue is not None:
            retry_after_s = _retry_after_s(queue, call.graph)
        return _Reply(503, retry_after_s=retry_after_s)
    # The call may have taken effect, so the status must not mean "not accepted".
    return _Reply(504)


def _deadline_s(request: StreamingRequest) -> float:
    text = request.getHeader(DEADLINE_HEADER)
    try:
        deadline_s = float(text) / 1000 if text else DEFAULT_DEADLINE_S
    except ValueError:
        return DEFAULT_DEADLINE_S
    return deadline_s if math.isfinite(deadline_s) else DEFAULT_DEADLINE_S
