"""Outcomes that have to hold whatever the policy, from section 1 of the design page."""

from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import msgspec

from ..common import ErrorCode, Outcome, RequestId, Urgency
from ..jobs import EndReason, PolicyName
from .errors import TraceError
from .history import Fate, Histories
from .shares import kept_shares, skipped_turns

__all__ = [
    "CHECKS_BY_NAME",
    "INVARIANTS",
    "OutcomeResult",
    "StatedOutcome",
    "check_outcomes",
    "read_outcomes",
]

SHOWN_VIOLATIONS = 5
# Section 1.4: a class keeps its minimum share to within 5%.
SHARE_TOLERANCE = 0.05
# Section 1.3: urgent work starts within this time.
URGENT_START_S = 4.7
URGENT_PRIORITY = 9
# Refusals after which a caller may succeed later; the answer has to say when.
TEMPORARY_REFUSALS = frozenset(
    {
        ErrorCode.OVERLOADED,
        ErrorCode.QUEUE_FULL,
        ErrorCode.QUOTA_EXCEEDED,
        ErrorCode.STORE_UNAVAILABLE,
        ErrorCode.SHUTTING_DOWN,
    }
)


class StatedOutcome(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One statement about a trace.

    :param check: a name of :data:`CHECKS_BY_NAME`.
    :param subject: kind, class, worker or prefix of job identifiers, if the check
        needs one.
    """

    check: str
    subject: str = ""


class OutcomeResult(msgspec.Struct, frozen=True, kw_only=True):
    """Whether an outcome holds.

    :param judged: things that the check looked at; with 0 it says nothing.
    :param violations: the first few.
    """

    check: str
    subject: str
    holds: bool
    judged: int
    violations: list[str]


# A check yields one item for each thing it looks at: "" if that is as stated, or what
# is wrong with it.
Check = Callable[[Histories, str], Iterator[str]]


def _fates(histories: Histories, kind_id: str = "") -> Iterator[Fate]:
    for history in histories.requests:
        for fate in history.fates:
            if kind_id in ("", fate.spec.kind_id):
                yield fate


def _done_in_time(histories: Histories, kind_id: str) -> Iterator[str]:
    for fate in _fates(histories, kind_id):
        request_id = fate.spec.request_id
        if fate.outcome is not Outcome.DONE:
            state = fate.outcome.value if fate.outcome else "open at the end"
            yield f"{request_id} is {state}, not done"
        elif fate.ended_s > fate.spec.deadline_s:
            late_s = fate.ended_s - fate.spec.deadline_s
            yield f"{request_id} was done {late_s:.3f} s after its deadline"
        else:
            yield ""


def _slots_respected(histories: Histories, _subject: str) -> Iterator[str]:
    for history in histories.requests:
        yield from history.slot_violations
        yield from ("" for _ in history.attempts)


def _leaving_respected(histories: Histories, _subject: str) -> Iterator[str]:
    for history in histories.requests:
        yield from history.leaving_violations
        yield from ("" for _ in history.attempts)


def _run_once(histories: Histories, _subject: str) -> Iterator[str]:
    ran: set[str] = set()
    for fate in _fates(histories):
        if fate.spec.repeatable:
            continue
        for attempt in fate.attempts:
            if not attempt.ran:
                continue
            again = fate.spec.request_id in ran
            ran.add(fate.spec.request_id)
            yield f"{attempt.attempt_id} repeats {fate.spec.request_id}" * again


def _not_run_is_true(histories: Histories, _subject: str) -> Iterator[str]:
    for fate in _fates(histories):
        if fate.outcome is not None and fate.outcome.certainly_not_run:
            ran = any(attempt.ran for attempt in fate.attempts)
            told = f"{fate.spec.request_id} was reported {fate.outcome.value} but ran"
            yield told * ran


def _ended_once(histories: Histories, _subject: str) -> Iterator[str]:
    for fate in _fates(histories):
        request_id = fate.spec.request_id
        if fate.outcome is None:
            yield f"{request_id} has no outcome at the end of the trace"
        elif any(fate.told[entry] > fate.asked[entry] for entry in fate.told):
            yield f"{request_id} was answered more often than asked"
        else:
            yield ""


def _never_twice_at_once(histories: Histories, _subject: str) -> Iterator[str]:
    for fate in _fates(histories):
        for earlier, later in zip(fate.attempts, fate.attempts[1:], strict=False):
            over = earlier.released_s is not None
            over = over and earlier.released_s <= later.held_s
            yield f"{later.attempt_id} began before {earlier.attempt_id} ended" * (
                not over
            )


def _share_kept(histories: Histories, urgency: str) -> Iterator[str]:
    for history in histories.requests:
        for each, kept in kept_shares(history).items():
            if urgency not in ("", each.value):
                continue
            for window in kept.windows:
                broken = window.used_s < (1 - SHARE_TOLERANCE) * window.minimum_s
                yield (
                    f"{each.value} used {window.used_s:.2f} slot seconds from"
                    f" {window.from_s:.3f} s on; its minimum is {window.minimum_s:.2f}"
                ) * broken


def _none_starved(histories: Histories, _subject: str) -> Iterator[str]:
    for history in histories.requests:
        for turn in skipped_turns(history):
            yield (
                f"{turn.skipped} waited for {turn.starts} starts of {turn.served} in"
                f" class {turn.urgency.value}; {turn.allowed} are allowed"
            )
        customers = {(f.urgency, f.spec.customer_id) for f in history.fates}
        yield from ("" for _ in customers)


def _refusals_say_when(histories: Histories, _subject: str) -> Iterator[str]:
    for fate in _fates(histories):
        if fate.outcome is Outcome.REFUSED and fate.code in TEMPORARY_REFUSALS:
            missing = fate.retry_after_s is None
            yield f"{fate.spec.request_id} got no retry-after time" * missing


def _refused_at_once(histories: Histories, _subject: str) -> Iterator[str]:
    for fate in _fates(histories):
        refused = fate.outcome is Outcome.REFUSED
        if refused and fate.code is not ErrorCode.STORE_UNAVAILABLE:
            held = not fate.immediate
            yield f"{fate.spec.request_id} was held before it was refused" * held


def _cancelled_never_start(histories: Histories, _subject: str) -> Iterator[str]:
    # A message that was sent before the cancellation may open the request again, so
    # all fates of the identifier are judged together.
    cancelled_s: dict[RequestId, float] = {}
    for fate in _fates(histories):
        request_id = fate.spec.request_id
        if fate.cancelled_s is not None:
            cancelled_s.setdefault(request_id, fate.cancelled_s)
        if request_id not in cancelled_s:
            continue
        late = [a for a in fate.attempts if a.ran]
        late = [a for a in late if a.held_s > cancelled_s[request_id]]
        yield f"{request_id} ran after its cancellation" * bool(late)


def _workers_respected(histories: Histories, _subject: str) -> Iterator[str]:
    for history in histories.jobs:
        yield from history.capacity_violations
        yield from ("" for _ in history.runs)


def _tasks_once(histories: Histories, _subject: str) -> Iterator[str]:
    for history in histories.jobs:
        yield from history.double_runs
        yield from ("" for _ in history.runs)


def _jobs(histories: Histories, prefix: str):
    for history in histories.jobs:
        for job_id, job in history.jobs_by_id.items():
            if job_id.startswith(prefix):
                yield job_id, job


def _jobs_succeed(histories: Histories, prefix: str) -> Iterator[str]:
    for job_id, job in _jobs(histories, prefix):
        if job.spec.policy is PolicyName.SERVICE:
            continue
        reason = job.reason.value if job.reason else job.error or "open at the end"
        yield f"{job_id} is {reason}" * (job.reason is not EndReason.SUCCEEDED)


def _urgent_jobs_start(histories: Histories, prefix: str) -> Iterator[str]:
    for job_id, job in _jobs(histories, prefix):
        if job.spec.priority < URGENT_PRIORITY or job.error:
            continue
        if job.started_s is None:
            yield f"{job_id} did not start"
            continue
        waited_s = job.started_s - job.submitted_s
        yield f"{job_id} started after {waited_s:.2f} s" * (waited_s > URGENT_START_S)


def _cancelled_jobs_end(histories: Histories, prefix: str) -> Iterator[str]:
    for history in histories.jobs:
        for job_id, job in history.jobs_by_id.items():
            if job.cancelled_s is None or not job_id.startswith(prefix):
                continue
            runs = [run for run in history.runs if run.job_id == job_id]
            late = [run for run in runs if run.started_s > job.cancelled_s]
            left = [run for run in runs if run.ended_s is None]
            if job.ended_s is None or left:
                yield f"{job_id} was cancelled and has not ended"
            else:
                yield f"{job_id} started a task after its cancellation" * bool(late)


def _failing_worker_avoided(histories: Histories, worker_id: str) -> Iterator[str]:
    for history in histories.jobs:
        if worker_id not in history.worker_ids:
            continue
        starts = sum(run.worker_id == worker_id for run in history.runs)
        # A worker that fails at once is free at once, so that without quarantine it
        # would get most starts; a healthy one gets an equal part.
        equal_part = len(history.runs) / len(history.worker_ids)
        yield (
            f"{worker_id} got {starts} of {len(history.runs)} starts on"
            f" {len(history.worker_ids)} workers"
        ) * (starts >= equal_part)


CHECKS_BY_NAME: dict[str, Check] = {
    "upstream_slots_respected": _slots_respected,
    "leaving_upstreams_get_no_work": _leaving_respected,
    "not_repeatable_run_once": _run_once,
    "not_run_was_not_run": _not_run_is_true,
    "ended_once": _ended_once,
    "attempts_never_overlap": _never_twice_at_once,
    "refusals_say_when": _refusals_say_when,
    "refused_at_once": _refused_at_once,
    "cancelled_never_start": _cancelled_never_start,
    "share_kept": _share_kept,
    "no_customer_skipped": _none_starved,
    "done_in_time": _done_in_time,
    "worker_size_respected": _workers_respected,
    "tasks_never_overlap": _tasks_once,
    "jobs_succeed": _jobs_succeed,
    "urgent_jobs_start_in_time": _urgent_jobs_start,
    "cancelled_jobs_end": _cancelled_jobs_end,
    "failing_worker_avoided": _failing_worker_avoided,
}

# Checked when no outcomes are stated. The others depend on the load of the trace.
INVARIANTS = [
    StatedOutcome(name)
    for name in CHECKS_BY_NAME
    if name
    not in (
        "ended_once",
        "done_in_time",
        "jobs_succeed",
        "urgent_jobs_start_in_time",
        "cancelled_jobs_end",
        "failing_worker_avoided",
    )
]


class _OutcomeFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    outcome: list[StatedOutcome]


def read_outcomes(path: Path) -> list[StatedOutcome]:
    """Read a TOML file of ``[[outcome]]`` tables.

    :raises TraceError: if it does not decode or names an unknown check.
    """
    try:
        stated = msgspec.toml.decode(path.read_bytes(), type=_OutcomeFile).outcome
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        raise TraceError(f"{path.name} cannot be read: {error}") from error
    for outcome in stated:
        if outcome.check not in CHECKS_BY_NAME:
            known = ", ".join(CHECKS_BY_NAME)
            raise TraceError(f"{outcome.check!r} is not a check; known are {known}")
        is_class = outcome.subject in ("", *(u.value for u in Urgency))
        if outcome.check == "share_kept" and not is_class:
            raise TraceError(f"{outcome.subject!r} is not a class")
    return stated


def check_outcomes(
    histories: Histories, stated: Iterable[StatedOutcome]
) -> list[OutcomeResult]:
    """Judge histories by stated outcomes."""
    return [_judge(histories, each) for each in stated]


def _judge(histories: Histories, stated: StatedOutcome) -> OutcomeResult:
    items = list(CHECKS_BY_NAME[stated.check](histories, stated.subject))
    violations = [item for item in items if item]
    return OutcomeResult(
        check=stated.check,
        subject=stated.subject,
        holds=not violations,
        judged=len(items),
        violations=violations[:SHOWN_VIOLATIONS],
    )
