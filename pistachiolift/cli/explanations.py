"""Sentences that explain the state of requests and jobs."""

from .documents import JobDetails, JobTask, PartitionStatus, RequestDetails

__all__ = ["explain_absent_request", "explain_job", "explain_request"]

_PHASES = {
    "queued": "It waits in the queue for a slot.",
    "recording": "Its intent is being written to the store, because it must not run "
    "twice; it has not started.",
    "running": "An attempt has been granted a slot and may be running.",
    "stopping": "It is being cancelled; the upstream has been asked to stop it.",
    "confirming": "An attempt was lost; the owner is finding out whether it still "
    "runs before another one may start.",
    "waiting": "An attempt has failed; the next one starts after a delay.",
}
_OUTCOMES = {
    "done": "It has run and its answer is complete.",
    "failed": "It has run and the upstream failed.",
    "refused": "It was refused and has not run.",
    "expired": "Its deadline passed before it started; it has not run.",
    "cancelled_not_run": "It was cancelled before it ran.",
    "cancelled_may_have_run": "It was cancelled and may have run.",
    "unknown": "It may have run; no whole answer arrived. It is not run again.",
}
_BLOCKED = {
    "no_room": "No worker has room for the next task.",
    "quota": "The quota of the customer is used up.",
    "no_workers": "The partition has no live worker that takes tasks.",
}
_WAITS = {
    "no_room": "no worker has room",
    "no_workers": "the partition has no live worker that takes tasks",
    "never_fits": "no worker would hold it even if it were empty",
    "quota": "the quota of the customer is used up",
    "retry_delay": "an attempt has failed; the next one starts after a delay",
    "gang_restart": "the gang starts again as a whole",
    "turn": "more urgent or earlier tasks are placed first",
    "ledger": "its placement is being stored",
    "earlier_steps": "the steps before it have not succeeded",
    "due_time": "its time has not come",
    "advice": "the adviser has not approved workers for it",
    "start": "the worker has not confirmed the start",
    "stop": "the worker has not confirmed the stop",
    "worker_silent": "the worker does not answer; it may run until its lease ends",
}
_END_REASONS = {
    "succeeded": "all tasks have succeeded",
    "failed": "a task has failed in all its attempts",
    "cancelled": "it was cancelled",
    "lost": "its workers were lost",
    "run_limit": "an attempt ran longer than its limit",
    "overuse": "a task used more than its declared size",
}


def explain_request(
    details: RequestDetails,
    partition: PartitionStatus | None,
    kind: str,
    settings: dict[str, object],
) -> list[str]:
    """Return sentences on a request that its partition has a record of.

    :param partition: state of its partition; ``None`` if the owner did not answer.
    :param settings: values in force for its kind.
    """
    sentences = [
        f"Request {details.request_id} belongs to partition {details.partition}, "
        f"epoch {details.epoch}."
    ]
    if details.outcome is not None:
        sentences.append(_OUTCOMES.get(details.outcome, details.outcome))
        return sentences
    sentences.append(_PHASES.get(details.phase, f"Its phase is {details.phase}."))
    if partition is None:
        sentences.append("The owner of the partition gave no figures.")
    elif details.phase == "queued":
        sentences += _explain_queue(partition, kind, settings)
    return sentences


def _explain_queue(
    partition: PartitionStatus, kind: str, settings: dict[str, object]
) -> list[str]:
    urgency = settings.get("urgency", "normal")
    sentences = [
        f"{partition.running} of {partition.slots} slots of the partition are in use; "
        f"{partition.queued_by_kind.get(kind, 0)} requests of kind {kind} and "
        f"{partition.queued} of all kinds are queued.",
    ]
    if not partition.slots:
        sentences.append("The partition has no upstream that takes work.")
    elif partition.running < partition.slots and urgency != "urgent":
        sentences.append(
            f"The free slots are reserved for urgent work, kept for the minimum share "
            f"of another class, or closed to it by quota_slots "
            f"({settings.get('quota_slots', 'see the customer')}); this work is "
            f"{urgency}."
        )
    else:
        sentences.append(f"Its class is {urgency}; more urgent classes go first.")
    if settings.get("data_centres"):
        names = ", ".join(settings["data_centres"])
        sentences.append(f"It may run in these data centres only: {names}.")
    return sentences


def explain_absent_request(settings: dict[str, object]) -> list[str]:
    """Return why the partition of a request may have no record of it."""
    reasons = [
        "a refused request is not remembered, one that has ended only for "
        "dedup_window_s"
    ]
    if settings.get("accepting") is False:
        reasons.append("its kind takes no new requests now (accepting is false)")
    else:
        reasons.append(
            f"its kind takes requests up to {settings.get('max_queue')} queued ones "
            f"and {settings.get('max_body_bytes')} bytes"
        )
    return reasons


def explain_job(
    details: JobDetails, partition: PartitionStatus | None = None
) -> list[str]:
    """Return sentences on the state of a job.

    :param partition: state of its partition; ``None`` if the owner did not answer.
    """
    job = details
    sentences = [
        f"Job {job.job_id} of {_owner_text(job)} is {job.state}.",
        f"Of {job.tasks} tasks {job.running} are placed on workers, {job.done} are "
        f"done, {job.retrying} wait for another attempt and {job.not_started} have "
        "not been placed.",
    ]
    if partition is not None:
        sentences.append(_explain_workers(partition))
    sentences += [_explain_task(task) for task in job.listed_tasks]
    if job.end_reason is not None:
        reason = _END_REASONS.get(job.end_reason, job.end_reason)
        code = f" (code {job.end_code})" if job.end_code else ""
        sentences.append(f"It ends or has ended because {reason}{code}.")
        return sentences
    if not job.durable:
        sentences.append("It is not stored yet; no task starts before that.")
    if job.blocked_by is not None:
        sentences.append(_BLOCKED.get(job.blocked_by, f"Blocked by {job.blocked_by}."))
        if job.blocked_by == "quota":
            sentences.append(_quota(job))
    if job.making_room:
        sentences.append("Tasks of lower priority are being stopped to make room.")
    if job.retrying and job.blocked_by is None:
        sentences.append("Tasks that failed start again after a delay.")
    return sentences


def _owner_text(job: JobDetails) -> str:
    if job.customer_id and job.queue_id:
        return f"queue {job.queue_id}, customer {job.customer_id}"
    if job.customer_id:
        return f"customer {job.customer_id}"
    return f"queue {job.queue_id}"


def _explain_task(task: JobTask) -> str:
    name = task.index if task.step is None else f"{task.step}.{task.index}"
    text = f"Task {name}, attempt {task.attempt}, is "
    text += f"{task.state} on {task.worker_id}" if task.worker_id else "waiting"
    if task.waits_for is not None:
        text += f": {_WAITS.get(task.waits_for, task.waits_for)}"
    return f"{text}."


def _explain_workers(partition: PartitionStatus) -> str:
    jobs = partition.jobs
    workers = sorted(jobs.workers_by_status.items())
    text = (
        f"It is placed in partition {partition.partition}, owner {partition.owner}, "
        "with the workers: "
        + (", ".join(f"{count} {status}" for status, count in workers) or "none")
    )
    if jobs.quarantined:
        text += "; in quarantine: " + ", ".join(jobs.quarantined)
    return f"{text}; {jobs.tasks_placed} tasks of all jobs are placed there."


def _quota(job: JobDetails) -> str:
    names = ("cpu_milli", "memory_mb", "accelerators")
    used = ", ".join(f"{n} {v}" for n, v in zip(names, job.quota_used, strict=True))
    if job.quota_share is None:
        return f"In use: {used}."
    share = ", ".join(f"{n} {v}" for n, v in zip(names, job.quota_share, strict=True))
    return f"In use: {used}; the share of this partition: {share}."
