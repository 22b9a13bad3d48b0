"""Predicts what other settings would have done with the arrivals of a trace.

Arrivals, cancellations, upstreams and settings come from the trace at their recorded
times; the ends of attempts follow from recorded service times. The result is a
prediction: callers who would have behaved differently are not modelled, and neither
are takeovers and lost entry instances.
"""

import heapq
import random
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterable

import msgspec

from ..common import KindId, PartitionId, RequestId, Urgency
from ..home import trace_lines as lines
from ..requests import AttemptResult, ClassShares, RequestScheduler
from .cores import RequestsCore, TracePolicies
from .errors import TraceError
from .history import Histories
from .reader import Line

__all__ = ["SHARE_KEYS", "parse_overrides", "predict"]

RESERVED_KEY = "reserved_urgent_slots"
SHARE_KEYS = (*(f"{u.value}_min_share" for u in Urgency), RESERVED_KEY)

# Used when the trace shows no run of the kind, and for messages that it lacks.
DEFAULT_RUN_S = 0.1
MESSAGE_S = 0.01
# A prediction ends that long after the last recorded event, so that queued work ends.
SETTLE_S = 120.0

_ARRIVALS = (
    lines.Submitted,
    lines.Cancelled,
    lines.UpstreamSet,
    lines.UpstreamLeaving,
    lines.UpstreamRemoved,
    lines.MemoryBegan,
    lines.EndedRestored,
    lines.KindSet,
    lines.WeightSet,
    lines.QuotaSet,
    lines.SharesSet,
)


def parse_overrides(pairs: Iterable[str]) -> dict[str, float]:
    """Parse ``KEY=VALUE`` pairs of the settings of the classes.

    :raises TraceError: if a key is not known or a value is not from 0 to 1.
    """
    overrides = {}
    for pair in pairs:
        key, _, text = pair.partition("=")
        if key not in SHARE_KEYS:
            raise TraceError(f"{key!r} is not one of {', '.join(SHARE_KEYS)}")
        try:
            overrides[key] = float(text)
        except ValueError:
            raise TraceError(f"{key} is {text!r}; it must be a number") from None
        if not 0 <= overrides[key] <= 1:
            raise TraceError(f"{key} is {text}; it must be from 0 to 1")
    return overrides


def _override(overrides: dict[str, float]) -> Callable[[ClassShares], ClassShares]:
    def replace(shares: ClassShares) -> ClassShares:
        minimum = {
            urgency: overrides.get(
                f"{urgency.value}_min_share",
                shares.min_share_by_urgency.get(urgency, 0.0),
            )
            for urgency in Urgency
        }
        return ClassShares(
            min_share_by_urgency=minimum,
            reserved_urgent_slots=overrides.get(
                RESERVED_KEY, shares.reserved_urgent_slots
            ),
        )

    return replace


def predict(
    trace: Iterable[Line],
    overrides: dict[str, float],
    *,
    prepare: Callable[[RequestScheduler], None] = lambda scheduler: None,
) -> Histories:
    """Run the arrivals of a trace through new request schedulers.

    :param prepare: called with each new scheduler, to replace a part of it.
    """
    histories = Histories()
    lines_by_stream: dict[int, list[Line]] = defaultdict(list)
    for line in trace:
        lines_by_stream[line.stream].append(line)
    for recorded in lines_by_stream.values():
        if isinstance(recorded[0].event, lines.RequestsStarted):
            _Prediction(recorded, _override(overrides), prepare, histories).run()
    return histories


class _Service(msgspec.Struct, frozen=True):
    """How an attempt went: time until its end is known, result and run time."""

    until_s: float
    result: AttemptResult
    run_s: float
    status: int | None


class _Recorded:
    """Service times and durations of intent writes in a trace."""

    def __init__(self, trace: list[Line], seed: int):
        self._rng = random.Random(seed)
        self._by_request: dict[RequestId, list[_Service]] = defaultdict(list)
        self._by_kind: dict[KindId, list[_Service]] = defaultdict(list)
        self._writes: list[tuple[float, float, bool]] = []
        self._learn(trace)
        self._used: dict[RequestId, int] = defaultdict(int)

    def _learn(self, trace: list[Line]) -> None:
        kinds: dict[RequestId, KindId] = {}
        begun: dict[str, float] = {}
        for line in trace:
            event, at_s = line.event, line.at_s
            match event:
                case lines.Submitted(spec=spec):
                    kinds[spec.request_id] = spec.kind_id
                case lines.AttemptReported(request_id=request_id):
                    since_s = begun.get(event.attempt_id)
                    if since_s is not None and request_id in kinds:
                        service = _Service(
                            at_s - since_s, event.result, event.run_s, event.status
                        )
                        self._by_request[request_id].append(service)
                        if event.result is AttemptResult.ANSWERED:
                            self._by_kind[kinds[request_id]].append(service)
                case lines.IntentsWritten() | lines.IntentsFailed():
                    done = isinstance(event, lines.IntentsWritten)
                    for attempt_id in event.attempt_ids:
                        since_s = begun.get(attempt_id, at_s)
                        self._writes.append((since_s, at_s - since_s, done))
            for decision in line.decisions:
                if isinstance(decision, lines.Granted | lines.IntentWrite):
                    begun[decision.attempt_id] = at_s
        self._writes.sort()

    def service(self, request_id: RequestId, kind_id: KindId) -> _Service:
        """Return how the next attempt of a request goes."""
        own = self._by_request.get(request_id)
        # An attempt that another decision stopped does not tell how long it takes.
        own = [s for s in own or () if s.result is not AttemptResult.STOPPED]
        if own:
            number = min(self._used[request_id], len(own) - 1)
            self._used[request_id] += 1
            return own[number]
        kind = self._by_kind.get(kind_id)
        if kind:
            return self._rng.choice(kind)
        return _Service(DEFAULT_RUN_S, AttemptResult.ANSWERED, DEFAULT_RUN_S, 200)

    def intent_write(self, at_s: float) -> tuple[float, bool]:
        """Return how long a write takes and whether it succeeds."""
        if not self._writes:
            return MESSAGE_S, True
        position = bisect_left(self._writes, (at_s, 0.0, False))
        _, duration_s, done = self._writes[min(position, len(self._writes) - 1)]
        return duration_s, done


class _Prediction:
    """One request scheduler on virtual time."""

    def __init__(
        self,
        recorded: list[Line],
        override: Callable[[ClassShares], ClassShares],
        prepare: Callable[[RequestScheduler], None],
        histories: Histories,
    ):
        self._start = recorded[0]
        self._recorded = _Recorded(recorded, self._start.event.seed)
        self._arrivals = _arrivals(recorded)
        self._end_s = recorded[-1].at_s + SETTLE_S
        self._histories = histories
        self._queue: list[tuple[float, int, lines.TraceEvent]] = []
        self._sequence = 0
        self._kind_by_request: dict[RequestId, KindId] = {}
        self._open_attempts: set[str] = set()
        partition_id: PartitionId = self._start.partition_id
        self._core = RequestsCore(
            partition_id,
            self._start.epoch,
            self._start.event.seed,
            policies=TracePolicies(override),
        )
        prepare(self._core.scheduler)
        histories.add(self._start, policies=TracePolicies(override))

    def run(self) -> None:
        """Feed arrivals and what follows from the decisions."""
        arrivals = iter(self._arrivals)
        arrival = next(arrivals, None)
        now_s = self._start.at_s
        while now_s <= self._end_s:
            wakeup_s = self._core.scheduler.next_wakeup_s()
            due_s = self._queue[0][0] if self._queue else float("inf")
            tick_s = float("inf") if wakeup_s is None else wakeup_s
            arrival_s = float("inf") if arrival is None else arrival.at_s
            now_s = max(now_s, min(due_s, tick_s, arrival_s))
            if now_s > self._end_s:
                return
            if arrival_s <= min(due_s, tick_s):
                self._feed(arrival.event, now_s)
                arrival = next(arrivals, None)
            elif due_s <= tick_s:
                self._feed(heapq.heappop(self._queue)[2], now_s)
            else:
                self._feed(lines.Ticked(), now_s)

    def _feed(self, event: lines.TraceEvent, now_s: float) -> None:
        if isinstance(event, lines.Submitted):
            self._kind_by_request[event.spec.request_id] = event.spec.kind_id
        if isinstance(event, lines.AttemptReported):
            if event.attempt_id not in self._open_attempts:
                return
            self._open_attempts.discard(event.attempt_id)
        line = Line(
            stream=self._start.stream,
            at_s=now_s,
            partition_id=self._start.partition_id,
            epoch=self._start.epoch,
            event=event,
        )
        line.decisions, line.error = self._core.feed(line)
        self._histories.add(line)
        for decision in line.decisions:
            self._follow(decision, now_s)

    def _at(self, at_s: float, event: lines.TraceEvent) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (at_s, self._sequence, event))

    def _follow(self, decision: lines.TraceDecision, now_s: float) -> None:
        match decision:
            case lines.Granted(request_id=request_id, attempt_id=attempt_id):
                kind_id = self._kind_by_request.get(request_id, KindId(""))
                service = self._recorded.service(request_id, kind_id)
                self._open_attempts.add(attempt_id)
                event = lines.AttemptReported(
                    request_id,
                    attempt_id,
                    service.result,
                    service.run_s,
                    status=service.status,
                )
                self._at(now_s + service.until_s, event)
            case lines.IntentWrite(attempt_id=attempt_id):
                duration_s, done = self._recorded.intent_write(now_s)
                event = lines.IntentsWritten if done else lines.IntentsFailed
                self._at(now_s + duration_s, event([attempt_id]))
            case lines.StopSent(attempt_id=attempt_id):
                event = lines.AttemptReported(
                    RequestId(""), attempt_id, AttemptResult.STOPPED, 0.0
                )
                self._at(now_s + MESSAGE_S, event)
            case lines.ConfirmationAsked(attempt_id=attempt_id):
                event = lines.AttemptConfirmed(attempt_id, AttemptResult.LOST)
                self._at(now_s + MESSAGE_S, event)


def _arrivals(recorded: list[Line]) -> list[Line]:
    """Return the lines that do not depend on decisions, without resubmissions."""
    seen: set[RequestId] = set()
    arrivals = []
    for line in recorded:
        if not isinstance(line.event, _ARRIVALS):
            continue
        if isinstance(line.event, lines.Submitted):
            if line.event.spec.request_id in seen:
                continue
            seen.add(line.event.spec.request_id)
        arrivals.append(line)
    return arrivals
