"""The HTTP interface for callers, with jobs under the path of their queue."""

import logging
import math
import re
from dataclasses import dataclass

from ..common import (
    Clock,
    CustomerId,
    InvalidInputError,
    JobId,
    MalformedMessageError,
    PistachioliftError,
    log_event,
)
from ..listener import HandlerResource, StreamingRequest
from ..node.authentication import authenticate
from ..node.instance import NodeInstance
from ..node.peer_messages import JobAnswer, JobOutcome
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

_HEADERS = [(b"Content-Type", b"application/json")]


@dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    body: bytes = b"{}"
    retry_after_s: float = 0.0


def make_caller_api(instance: NodeInstance) -> HandlerResource:
    """Return the resource for callers of an instance."""

    async def handle(request: StreamingRequest) -> None:
        try:
            reply = await _handle(instance, request)
        except PistachioliftError as error:
            instance.metrics.count(f"refusal.{error.code.value}")
            log_event(
                logger,
                "request_refused",
                path=request.path[:80].decode("latin-1"),
                code=error.code.value,
                message=error.message[:200],
            )
            reply = _Reply(error.http_status)
        headers = list(_HEADERS)
        if reply.retry_after_s:
            seconds = max(1, math.ceil(reply.retry_after_s))
            headers.append((b"Retry-After", b"%d" % seconds))
        request.send_answer(reply.status, headers, reply.body)

    return HandlerResource(handle)


async def _handle(instance: NodeInstance, request: StreamingRequest) -> _Reply:
    clock: Clock = instance.clock
    until_s = clock.monotonic_s() + _deadline_s(request) - ANSWER_MARGIN_S
    table = instance.table
    if table is None:
        instance.metrics.count("refusal.no_configuration")
        return _Reply(503, retry_after_s=RETRY_AFTER_S)
    host = (request.getHeader("host") or "").split(":")[0].lower()
    path = request.path.decode("latin-1")
    queue = table.find(host, path)
    if queue is None:
        instance.metrics.count("refusal.no_such_queue")
        log_event(
            logger,
            "request_refused",
            path=path[:80],
            host=host[:80],
            code="no_such_queue",
            config=table.version,
        )
        return _Reply(404)
    customer_id = authenticate(
        table, queue, request.requestHeaders.getRawHeaders(b"authorization", [])
    )
    rest = path[len(queue.prefix) :]
    if not rest and request.method == b"GET":
        return await _count_pending_jobs(instance, queue, until_s)
    if not _JOB_ID.fullmatch(rest):
        raise InvalidInputError(f"job id {rest[:40]!r} is not 16 hexadecimal digits")
    job_id = JobId(rest)
    if request.method == b"POST":
        return await _submit(instance, request, queue, job_id, customer_id, until_s)
    # The jobs of a public queue are for all callers.
    visible_to = None if queue.public or not table.needs_keys else customer_id
    if request.method == b"GET":
        answer = await instance.jobs.status(
            job_id, until_s=until_s, customer_id=visible_to
        )
        if answer.outcome is JobOutcome.OK:
            return _Reply(200, encode_status(answer.status))
        return _error_reply(answer)
    if request.method == b"DELETE":
        answer = await instance.jobs.cancel(
            job_id, until_s=until_s, customer_id=visible_to
        )
        return _Reply(200) if answer.outcome is JobOutcome.OK else _error_reply(answer)
    return _Reply(405)


async def _count_pending_jobs(
    instance: NodeInstance, queue: Queue, until_s: float
) -> _Reply:
    answer = await instance.jobs.count_pending_jobs(queue.queue_id, until_s=until_s)
    if answer.outcome is JobOutcome.OK:
        return _Reply(200, encode_waiting(answer.count))
    return _error_reply(answer)


async def _submit(
    instance: NodeInstance,
    request: StreamingRequest,
    queue: Queue,
    job_id: JobId,
    customer_id: CustomerId,
    until_s: float,
) -> _Reply:
    body = await request.body.read_all(instance.table.max_body_bytes)
    try:
        graph = decode_job(body)
    except MalformedMessageError as error:
        raise InvalidInputError(error.message) from error
    validate_graph(graph)
    answer = await instance.jobs.submit(
        job_id, queue, graph, until_s=until_s, customer_id=customer_id
    )
    if answer.outcome is JobOutcome.OK:
        return _Reply(200)
    return _error_reply(answer, queue, graph)


def _retry_after_s(queue: Queue, graph: JobGraph) -> float:
    """Return the time after which a refused client should retry, in seconds.

    A client retries a few times. Spread over the job's target duration, these retries
    outlast a short outage while the result is still useful.
    """
    work_s = sum(step.estimate_s for step in graph.steps)
    objective_s = queue.target_s + queue.stretch * work_s
    return min(RETRY_AFTER_LIMIT_S, max(RETRY_AFTER_S, objective_s / CLIENT_RETRIES))


def _error_reply(
    answer: JobAnswer, queue: Queue | None = None, graph: JobGraph | None = None
) -> _Reply:
    if answer.outcome is JobOutcome.UNKNOWN_JOB:
        return _Reply(410)
    if answer.outcome is JobOutcome.FORBIDDEN:
        return _Reply(403)
    if answer.outcome is JobOutcome.REFUSED:
        retry_after_s = answer.retry_after_s or RETRY_AFTER_S
        if not answer.retry_after_s and queue is not None and graph is not None:
            retry_after_s = _retry_after_s(queue, graph)
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
