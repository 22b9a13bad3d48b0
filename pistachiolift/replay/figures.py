"""Waiting times, outcomes and shares of a history."""

from collections import Counter, defaultdict

import msgspec

from ..common import CustomerId, KindId, Urgency
from .history import Fate, Histories
from .shares import kept_shares

__all__ = ["ClassFigures", "Figures", "JobFigures", "KindFigures", "summarise"]


class KindFigures(msgspec.Struct, kw_only=True):
    """Requests of one kind of one customer.

    :param wait_p50_s: time until the first slot of those that got one.
    """

    urgency: Urgency
    customer_id: CustomerId
    kind_id: KindId
    submitted: int
    outcomes: dict[str, int]
    wait_p50_s: float | None
    wait_p99_s: float | None
    wait_max_s: float | None
    slot_s: float
    slot_share: float


class ClassFigures(msgspec.Struct, kw_only=True):
    """Slot time of one class in one partition.

    :param waited_s: how long the class had work queued.
    :param kept_ratio: slot time in that time as a multiple of the guaranteed one.
    """

    partition_id: str
    urgency: Urgency
    slot_s: float
    slot_share: float
    waited_s: float
    kept_ratio: float | None


class JobFigures(msgspec.Struct, kw_only=True):
    """Jobs of one priority."""

    priority: int
    submitted: int
    ends: dict[str, int]
    start_p50_s: float | None
    start_max_s: float | None
    task_starts: int


class Figures(msgspec.Struct, kw_only=True):
    """All figures of a trace.

    :param span_s: time from its first to its last event.
    """

    span_s: float
    kinds: list[KindFigures]
    classes: list[ClassFigures]
    jobs: list[JobFigures]


def _quantile(values: list[float], q: float) -> float | None:
    if not values:
        return None
    return sorted(values)[min(len(values) - 1, int(q * len(values)))]


def _slot_s(fate: Fate, end_s: float) -> float:
    return sum(
        (end_s if a.released_s is None else a.released_s) - a.held_s
        for a in fate.attempts
    )


def summarise(histories: Histories) -> Figures:
    """Return the figures of a trace."""
    return Figures(
        span_s=histories.span_s,
        kinds=_kinds(histories),
        classes=_classes(histories),
        jobs=_jobs(histories),
    )


def _kinds(histories: Histories) -> list[KindFigures]:
    fates_by_key: dict[tuple, list[Fate]] = defaultdict(list)
    slot_s_by_key: Counter[tuple] = Counter()
    for history in histories.requests:
        for fate in history.fates:
            spec = fate.spec
            rank = list(Urgency).index(fate.urgency)
            key = (rank, spec.customer_id, spec.kind_id)
            fates_by_key[key].append(fate)
            slot_s_by_key[key] += _slot_s(fate, history.end_s)
    total_s = sum(slot_s_by_key.values()) or 1.0
    rows = []
    for key, fates in sorted(fates_by_key.items()):
        waits = [fate.wait_s for fate in fates if fate.wait_s is not None]
        names = [fate.outcome.value if fate.outcome else "open" for fate in fates]
        rows.append(
            KindFigures(
                urgency=fates[0].urgency,
                customer_id=key[1],
                kind_id=key[2],
                submitted=len(fates),
                outcomes=dict(Counter(names)),
                wait_p50_s=_quantile(waits, 0.5),
                wait_p99_s=_quantile(waits, 0.99),
                wait_max_s=max(waits, default=None),
                slot_s=slot_s_by_key[key],
                slot_share=slot_s_by_key[key] / total_s,
            )
        )
    return rows


def _classes(histories: Histories) -> list[ClassFigures]:
    rows = []
    for history in histories.requests:
        slot_s: Counter[Urgency] = Counter()
        for fate in history.fates:
            slot_s[fate.urgency] += _slot_s(fate, history.end_s)
        total_s = sum(slot_s.values()) or 1.0
        for urgency, kept in kept_shares(history).items():
            if slot_s[urgency] == 0 and kept.waited_s == 0:
                continue
            rows.append(
                ClassFigures(
                    partition_id=history.partition_id,
                    urgency=urgency,
                    slot_s=slot_s[urgency],
                    slot_share=slot_s[urgency] / total_s,
                    waited_s=kept.waited_s,
                    kept_ratio=kept.ratio if kept.minimum_s else None,
                )
            )
    return rows


def _jobs(histories: Histories) -> list[JobFigures]:
    jobs_by_priority = defaultdict(list)
    starts: Counter[int] = Counter()
    for history in histories.jobs:
        for job in history.jobs_by_id.values():
            jobs_by_priority[job.spec.priority].append(job)
        for run in history.runs:
            job = history.jobs_by_id.get(run.job_id)
            if job is not None:
                starts[job.spec.priority] += 1
    rows = []
    for priority, jobs in sorted(jobs_by_priority.items(), reverse=True):
        waits = [j.started_s - j.submitted_s for j in jobs if j.started_s is not None]
        ends = [j.reason.value if j.reason else j.error or "open" for j in jobs]
        rows.append(
            JobFigures(
                priority=priority,
                submitted=len(jobs),
                ends=dict(Counter(ends)),
                start_p50_s=_quantile(waits, 0.5),
                start_max_s=max(waits, default=None),
                task_starts=starts[priority],
            )
        )
    return rows
