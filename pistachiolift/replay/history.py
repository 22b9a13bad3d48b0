"""What became of the requests and jobs of a trace, derived from events and decisions.

The derivation does not use the cores: a slot counts as held from its grant until the
trace says that the attempt has ended.
"""

from collections import Counter, defaultdict

import msgspec

from ..common import (
    AttemptId,
    CustomerId,
    ErrorCode,
    InstanceId,
    KindId,
    Outcome,
    PartitionId,
    RequestId,
    UpstreamId,
    Urgency,
)
from ..home import trace_lines as lines
from ..requests import AttemptResult, ClassShares, KindPolicy, RequestSpec
from .cores import TracePolicies
from .job_history import JobHistory
from .reader import Line

__all__ = ["Attempt", "Fate", "Histories", "RequestHistory"]

# Section 5.6 of the design page: an attempt has certainly ended that long after the
# end of its grant's validity and its run limit.
DRIFT_MARGIN_S = 0.25
ADOPTED_START_S = 1.0


class Attempt(msgspec.Struct, kw_only=True, eq=False):
    """A slot held by an attempt.

    :param held_s: when it got the slot.
    :param released_s: when it gave it back; ``None`` if it still holds it.
    :param ran: whether it may have run.
    """

    attempt_id: AttemptId
    urgency: Urgency
    customer_id: CustomerId
    kind_id: KindId
    held_s: float
    latest_end_s: float = float("inf")
    upstream_id: UpstreamId | None = None
    released_s: float | None = None
    ran: bool = False


class Fate(msgspec.Struct, kw_only=True, eq=False):
    """One request from its submission to its outcome.

    :param asked: messages of each entry instance that an outcome answers.
    :param told: outcomes sent to each entry instance.
    :param immediate: whether the outcome followed from the submission itself.
    """

    spec: RequestSpec
    urgency: Urgency
    submitted_s: float
    attempts: list[Attempt] = msgspec.field(default_factory=list)
    cancelled_s: float | None = None
    ended_s: float | None = None
    outcome: Outcome | None = None
    code: ErrorCode | None = None
    retry_after_s: float | None = None
    immediate: bool = False
    adopted: bool = False
    asked: Counter[InstanceId] = msgspec.field(default_factory=Counter)
    told: Counter[InstanceId] = msgspec.field(default_factory=Counter)

    @property
    def started_s(self) -> float | None:
        """When the request first got a slot."""
        return self.attempts[0].held_s if self.attempts else None

    @property
    def wait_s(self) -> float | None:
        """Time from the submission to the first slot."""
        return None if self.started_s is None else self.started_s - self.submitted_s


class RequestHistory:
    """The requests of one core.

    :param violations: what contradicts the limits of the upstreams.
    """

    def __init__(
        self, partition_id: PartitionId, policies: TracePolicies | None = None
    ):
        self.partition_id = partition_id
        self.fates: list[Fate] = []
        self.attempts: list[Attempt] = []
        self.capacity: list[tuple[float, int]] = []
        self.shares: list[tuple[float, ClassShares]] = []
        self.slot_violations: list[str] = []
        self.leaving_violations: list[str] = []
        self.policies = policies or TracePolicies()
        self.end_s = 0.0
        self._fates_by_id: dict[RequestId, Fate] = {}
        self._open_by_id: dict[AttemptId, Attempt] = {}
        self._slots_by_upstream: dict[UpstreamId, int] = {}
        self._leaving: set[UpstreamId] = set()
        self._held_by_upstream: Counter[UpstreamId] = Counter()

    def add(self, line: Line) -> None:
        """Take a line."""
        event, at_s = line.event, line.at_s
        self.end_s = max(self.end_s, at_s)
        if self.policies.apply(event):
            if isinstance(event, lines.SharesSet):
                self.shares.append((at_s, self.policies.class_shares()))
            return
        self._take_upstream(event, at_s)
        self._take_message(event, at_s)
        self._take_end(line)
        for decision in line.decisions:
            self._take_decision(decision, event, at_s)

    def _take_upstream(self, event: lines.TraceEvent, at_s: float) -> None:
        match event:
            case lines.UpstreamSet(upstream_id=upstream, slots=slots):
                self._leaving.discard(upstream)
                if self._slots_by_upstream.get(upstream) == slots:
                    return
                self._slots_by_upstream[upstream] = slots
            case lines.UpstreamLeaving(upstream_id=upstream):
                self._leaving.add(upstream)
                self._slots_by_upstream.pop(upstream, None)
            case lines.UpstreamRemoved(upstream_id=upstream):
                self._slots_by_upstream.pop(upstream, None)
            case _:
                return
        self.capacity.append((at_s, sum(self._slots_by_upstream.values())))

    def _take_message(self, event: lines.TraceEvent, at_s: float) -> None:
        match event:
            case lines.Submitted(spec=spec):
                fate = self._fates_by_id.get(spec.request_id)
                if fate is None or _may_come_again(fate):
                    fate = self._open(spec, at_s)
                fate.asked[spec.entry_id] += 1
            case lines.Cancelled(request_id=request_id, entry_id=entry_id):
                fate = self._fates_by_id.get(request_id)
                if fate is not None:
                    fate.asked[entry_id] += 1
                    fate.cancelled_s = fate.cancelled_s or at_s
            case lines.Adopted(spec=spec):
                fate = self._fates_by_id.get(spec.request_id)
                if fate is None or fate.ended_s is not None:
                    fate = self._open(spec, at_s)
                fate.adopted = True
                fate.asked[spec.entry_id] += 1
                self._hold(fate, event, at_s)
            case lines.OrphanAdopted(request_id=request_id):
                fate = self._fates_by_id.get(request_id)
                if fate is not None:
                    self._hold(fate, event, at_s)

    def _open(self, spec: RequestSpec, at_s: float) -> Fate:
        policy = self._policy(spec)
        fate = Fate(spec=spec, urgency=policy.urgency, submitted_s=at_s)
        self._fates_by_id[spec.request_id] = fate
        self.fates.append(fate)
        return fate

    def _policy(self, spec: RequestSpec) -> KindPolicy:
        return self.policies.kind_policy(spec.customer_id, spec.kind_id)

    def _hold(self, fate: Fate, event, at_s: float) -> None:
        if event.attempt_id in self._open_by_id:
            # The same owner resumes and is told again what it has granted.
            return
        attempt = self._attempt(fate, event.attempt_id, at_s)
        attempt.latest_end_s = at_s + ADOPTED_START_S + event.run_limit_s
        attempt.ran = True
        attempt.upstream_id = event.upstream_id
        self._held_by_upstream[event.upstream_id] += 1

    def _attempt(self, fate: Fate, attempt_id: AttemptId, at_s: float) -> Attempt:
        spec = fate.spec
        attempt = Attempt(
            attempt_id=attempt_id,
            urgency=self._policy(spec).urgency,
            customer_id=spec.customer_id,
            kind_id=spec.kind_id,
            held_s=at_s,
        )
        fate.attempts.append(attempt)
        self.attempts.append(attempt)
        self._open_by_id[attempt_id] = attempt
        return attempt

    def _take_end(self, line: Line) -> None:
        event, at_s = line.event, line.at_s
        match event:
            case lines.AttemptReported(attempt_id=attempt_id, result=result):
                if result is not AttemptResult.LOST:
                    self._release(
                        attempt_id, at_s, result is not AttemptResult.NOT_STARTED
                    )
            case lines.AttemptConfirmed(attempt_id=attempt_id, result=result):
                attempt = self._open_by_id.get(attempt_id)
                over = attempt is not None and at_s > attempt.latest_end_s
                if result is not None or over:
                    self._release(
                        attempt_id, at_s, result is not AttemptResult.NOT_STARTED
                    )
            case lines.IntentsFailed(attempt_ids=attempt_ids):
                for attempt_id in attempt_ids:
                    self._release(attempt_id, at_s, False)
            case lines.IntentsWritten(attempt_ids=attempt_ids):
                granted = {
                    d.attempt_id for d in line.decisions if isinstance(d, lines.Granted)
                }
                for attempt_id in set(attempt_ids) - granted:
                    self._release(attempt_id, at_s, False)

    def _release(self, attempt_id: AttemptId, at_s: float, ran: bool) -> None:
        attempt = self._open_by_id.pop(attempt_id, None)
        if attempt is not None:
            attempt.released_s, attempt.ran = at_s, ran
            self._held_by_upstream[attempt.upstream_id] -= 1

    def _take_decision(self, decision, event, at_s: float) -> None:
        match decision:
            case lines.Granted():
                self._granted(decision, at_s)
            case lines.IntentWrite(request_id=request_id, attempt_id=attempt_id):
                fate = self._fates_by_id.get(request_id)
                if fate is not None:
                    self._attempt(fate, attempt_id, at_s)
            case lines.Told():
                self._told(decision, event, at_s)

    def _granted(self, grant: lines.Granted, at_s: float) -> None:
        fate = self._fates_by_id.get(grant.request_id)
        if fate is None:
            return
        attempt = self._open_by_id.get(grant.attempt_id)
        if attempt is None:
            attempt = self._attempt(fate, grant.attempt_id, at_s)
        elif attempt.ran:
            # The same grant is sent again when the entry has not received it.
            return
        attempt.ran = True
        attempt.upstream_id = grant.upstream_id
        latest_s = grant.start_before_s + grant.run_limit_s
        attempt.latest_end_s = latest_s + DRIFT_MARGIN_S
        self._check_slot(grant, at_s)
        self._held_by_upstream[grant.upstream_id] += 1

    def _check_slot(self, grant: lines.Granted, at_s: float) -> None:
        upstream = grant.upstream_id
        held = self._held_by_upstream[upstream]
        slots = self._slots_by_upstream.get(upstream)
        if slots is None:
            self.leaving_violations.append(
                f"{grant.attempt_id} at {at_s:.3f} s on {upstream}, which is leaving"
                " or absent"
            )
        elif held >= slots:
            self.slot_violations.append(
                f"{grant.attempt_id} at {at_s:.3f} s on {upstream}: {held} of {slots}"
                " slots were held"
            )

    def _told(self, told: lines.Told, event, at_s: float) -> None:
        fate = self._fates_by_id.get(told.request_id)
        if fate is None:
            return
        fate.told[told.entry_id] += 1
        if fate.ended_s is None:
            fate.ended_s, fate.outcome = at_s, told.outcome
            fate.code, fate.retry_after_s = told.code, told.retry_after_s
            fate.immediate = (
                isinstance(event, lines.Submitted) and fate.submitted_s == at_s
            )


def _may_come_again(fate: Fate) -> bool:
    """Whether a submission after the outcome is a new request, not a duplicate."""
    if fate.ended_s is None:
        return False
    failed_repeatable = fate.outcome is Outcome.FAILED and fate.spec.repeatable
    return fate.outcome.certainly_not_run or failed_repeatable


class Histories:
    """The histories of all cores of a trace."""

    def __init__(self) -> None:
        self._by_stream: dict[int, RequestHistory | JobHistory] = {}
        self.span_s = 0.0
        self._started_s: float | None = None

    def add(self, line: Line, *, policies: TracePolicies | None = None) -> None:
        """Take a line of any core.

        :param policies: settings to start with, for the start of a core.
        """
        if self._started_s is None:
            self._started_s = line.at_s
        self.span_s = max(self.span_s, line.at_s - self._started_s)
        match line.event:
            case lines.RequestsStarted():
                self._by_stream[line.stream] = RequestHistory(
                    line.partition_id, policies
                )
            case lines.JobsStarted():
                self._by_stream[line.stream] = JobHistory(line.partition_id)
            case _:
                self._by_stream[line.stream].add(line)

    @property
    def requests(self) -> list[RequestHistory]:
        """Histories of request schedulers."""
        return [h for h in self._by_stream.values() if isinstance(h, RequestHistory)]

    @property
    def jobs(self) -> list[JobHistory]:
        """Histories of job schedulers."""
        return [h for h in self._by_stream.values() if isinstance(h, JobHistory)]

    def fates_by_kind(self) -> dict[KindId, list[Fate]]:
        """Return all requests by kind."""
        grouped = defaultdict(list)
        for history in self.requests:
            for fate in history.fates:
                grouped[fate.spec.kind_id].append(fate)
        return grouped
