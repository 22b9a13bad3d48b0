"""The read-only HTTP interface for operators, readiness checks and metrics."""

from typing import TYPE_CHECKING
from urllib.parse import unquote

from twisted.web.iweb import IRequest

from ..common import (
    JobId,
    NoOwnerError,
    NotFoundError,
    PistachioliftError,
    encode_json,
)
from ..listener import HandlerResource, render_error
from ..workflows import JobDetails, PartitionStatistics
from .partition_map import PartitionNumber
from .peer_messages import JobAnswer, JobOutcome

if TYPE_CHECKING:
    from .instance import NodeInstance

__all__ = ["make_operator_api"]

# Long enough for a takeover, which takes about 2 s.
CALL_TIMEOUT_S = 2.0
RETRY_AFTER_S = 1.0


def make_operator_api(instance: "NodeInstance") -> HandlerResource:
    """Return the resource for readiness checks, metrics and operators.

    Paths other than ``/metrics`` and those below ``/v1/`` answer the readiness check.
    """

    async def handle(request: IRequest) -> None:
        path = request.path.decode("latin-1")
        if path == "/metrics":
            # Loaded at the first use, which small instances may never see.
            from .metrics_text import render_metrics

            request.setHeader("Content-Type", "text/plain; version=0.0.4")
            request.write(render_metrics(instance.metrics))
        elif path.startswith("/v1/"):
            request.write(await _answer(instance, request, path.removeprefix("/v1/")))
        else:
            reason = instance.not_ready()
            if reason:
                request.setResponseCode(503)
            request.write(reason.encode())
        request.finish()

    return HandlerResource(handle)


async def _answer(instance: "NodeInstance", request: IRequest, path: str) -> bytes:
    request.setHeader("Content-Type", "application/json")
    try:
        return encode_json(await _document(instance, path))
    except PistachioliftError as error:
        headers, body = render_error(error)
        request.setResponseCode(error.http_status)
        for name, value in headers:
            request.setHeader(name, value)
        return body


async def _document(instance: "NodeInstance", path: str) -> dict[str, object]:
    match [unquote(part) for part in path.split("/")]:
        case ["status"]:
            return _status(instance)
        case ["partitions", name]:
            return await _partition(instance, name)
        case ["jobs", job_id]:
            return await _job(instance, JobId(job_id))
    raise NotFoundError(
        "unknown path; an instance serves /v1/status, /v1/partitions/NUMBER and "
        "/v1/jobs/JOB_ID"
    )


def _status(instance: "NodeInstance") -> dict[str, object]:
    owners = {
        str(each.number): {
            "owner": each.ownership.owner and each.ownership.owner.instance_id,
            "epoch": each.ownership.owner_version,
        }
        for each in instance.partitions
    }
    return {
        "instance": instance.settings.instance_id,
        "data_centre": instance.settings.zone,
        "draining": instance.draining,
        "revision": 0 if instance.table is None else instance.table.version,
        "live_instances": instance.known_instances(),
        "open_requests": instance.open_requests,
        "partitions": owners,
    }


async def _partition(instance: "NodeInstance", name: str) -> dict[str, object]:
    numbers = [each.number for each in instance.partitions]
    if not name.isdecimal() or int(name) not in numbers:
        raise NotFoundError(f"partition {name!r:.40} is not one of {numbers}")
    partition = instance.partitions[PartitionNumber(int(name))]
    until_s = instance.clock.monotonic_s() + CALL_TIMEOUT_S
    answer = _checked(await partition.jobs.statistics(until_s=until_s))
    owner = partition.ownership.owner
    return _partition_document(
        name, owner.instance_id if owner else "", answer.statistics
    )


def _partition_document(
    name: str, owner_id: str, statistics: PartitionStatistics
) -> dict[str, object]:
    return {
        "partition": name,
        "epoch": statistics.fence,
        "owner": owner_id,
        # Slots belong to upstreams, and this platform has none.
        "slots": 0,
        "running_by_urgency": {},
        "queued_by_kind": statistics.pending_by_queue,
        "jobs": {
            "jobs": statistics.open_jobs,
            "jobs_waiting": sum(statistics.pending_by_queue.values()),
            "tasks_placed": statistics.tasks_placed,
            "workers_by_status": statistics.workers_by_state,
            "quarantined": statistics.quarantined,
        },
    }


async def _job(instance: "NodeInstance", job_id: JobId) -> dict[str, object]:
    if instance.table is None:
        raise NoOwnerError(
            "this instance has not read a configuration yet",
            retry_after_s=RETRY_AFTER_S,
        )
    until_s = instance.clock.monotonic_s() + CALL_TIMEOUT_S
    answer = _checked(await instance.jobs.explain(job_id, until_s=until_s))
    return _job_document(answer.details)


def _job_document(details: JobDetails) -> dict[str, object]:
    return {
        "job_id": details.job_id,
        "customer_id": details.customer_id,
        "queue_id": details.queue_id,
        "state": details.status.value,
        "tasks": details.tasks,
        "running": details.running,
        "done": details.done,
        "retrying": details.retrying,
        "not_started": details.not_started,
        "durable": details.durable,
        "blocked_by": None,
        "making_room": False,
        "end_reason": None,
        "end_code": None,
        "quota_share": None,
        "quota_used": [0, 0, 0],
        "listed_tasks": [
            {
                "step": task.step,
                "index": task.index,
                "attempt": task.run,
                "failures": task.failures,
                "state": task.state and task.state.value,
                "worker_id": task.worker_id,
                "waits_for": task.waits_for and task.waits_for.value,
            }
            for task in details.listed_tasks
        ],
    }


def _checked(answer: JobAnswer) -> JobAnswer:
    """Return the owner's answer, or raise the error for its outcome.

    :raises NotFoundError: if no owner knows the job.
    :raises NoOwnerError: if the owner could not answer.
    """
    match answer.outcome:
        case JobOutcome.OK:
            return answer
        case JobOutcome.UNKNOWN_JOB:
            raise NotFoundError("job is unknown to all partitions")
    raise NoOwnerError("no owner answered the call", retry_after_s=RETRY_AFTER_S)
