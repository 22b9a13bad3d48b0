"""Slot time of the classes and turns of the customers in a history."""

from collections import Counter, defaultdict
from collections.abc import Iterator

import msgspec

from ..common import CustomerId, Urgency
from ..requests import ClassShares, class_slots
from .history import RequestHistory

__all__ = ["KeptShare", "SkippedTurn", "kept_shares", "skipped_turns"]


# In a window of so many runs one run more or less is half of the tolerance of 5%.
WINDOW_RUNS = 40


class Window(msgspec.Struct, kw_only=True):
    """Slot time used and guaranteed from a time on, in seconds."""

    from_s: float
    used_s: float = 0.0
    minimum_s: float = 0.0


class KeptShare(msgspec.Struct, kw_only=True):
    """Slot time of a class while it had work queued, in seconds.

    :param waited_s: how long it had work queued, without the time that runs which
        cannot be interrupted may take to end.
    :param minimum_s: slot time that its minimum share guarantees.
    :param mean_run_s: mean run of one request, which is the resolution.
    :param windows: consecutive parts of the time in which the minimum is the slot time
        of :data:`WINDOW_RUNS` mean runs, so that a surplus at one time does not make
        up for starvation at another.
    """

    waited_s: float = 0.0
    used_s: float = 0.0
    minimum_s: float = 0.0
    mean_run_s: float = 0.0
    windows: list[Window] = msgspec.field(default_factory=list)
    _open: Window | None = None

    def add(self, at_s: float, interval_s: float, running: int, minimum: float) -> None:
        """Count an interval.

        :param running: slots in use.
        :param minimum: guaranteed slots.
        """
        self.waited_s += interval_s
        self.used_s += interval_s * running
        self.minimum_s += interval_s * minimum
        if self._open is None:
            self._open = Window(from_s=at_s)
        self._open.used_s += interval_s * running
        self._open.minimum_s += interval_s * minimum
        if self._open.minimum_s >= WINDOW_RUNS * self.mean_run_s > 0:
            self.windows.append(self._open)
            self._open = None

    @property
    def ratio(self) -> float:
        """What it used as a multiple of the guarantee."""
        return self.used_s / self.minimum_s if self.minimum_s else float("inf")


class _Sweep:
    """Running attempts, queue lengths and slots as they change over time."""

    def __init__(self, history: RequestHistory):
        self._history = history
        self.running: Counter[Urgency] = Counter()
        self.queued: Counter[Urgency] = Counter()
        self.total_slots = 0
        self.shares = ClassShares(min_share_by_urgency={}, reserved_urgent_slots=0.0)

    def intervals(self) -> Iterator[tuple[float, float]]:
        """Yield the intervals between changes; the state is that of the interval."""
        changes = sorted(self._changes(), key=lambda change: change[0])
        for (at_s, apply), (next_s, _) in zip(changes, changes[1:], strict=False):
            apply()
            if next_s > at_s:
                yield at_s, next_s

    def _changes(self):
        history = self._history
        for at_s, slots in history.capacity:
            yield at_s, lambda slots=slots: setattr(self, "total_slots", slots)
        for at_s, shares in history.shares:
            yield at_s, lambda shares=shares: setattr(self, "shares", shares)
        for fate in history.fates:
            ends = [t for t in (fate.started_s, fate.ended_s) if t is not None]
            until_s = min(ends, default=history.end_s)
            yield from _span(self.queued, fate.urgency, fate.submitted_s, until_s)
        for attempt in history.attempts:
            until_s = history.end_s if attempt.released_s is None else None
            until_s = attempt.released_s if until_s is None else until_s
            yield from _span(self.running, attempt.urgency, attempt.held_s, until_s)


def _span(counter: Counter, key: Urgency, from_s: float, to_s: float):
    yield from_s, lambda: counter.update({key: 1})
    yield to_s, lambda: counter.subtract({key: 1})


def kept_shares(history: RequestHistory) -> dict[Urgency, KeptShare]:
    """Compare the slot time of each class with its minimum share."""
    lengths = defaultdict(list)
    for attempt in history.attempts:
        if attempt.released_s is not None:
            lengths[attempt.urgency].append(attempt.released_s - attempt.held_s)
    longest_s = max((max(each) for each in lengths.values()), default=0.0)
    result = {urgency: KeptShare() for urgency in Urgency}
    for urgency, values in lengths.items():
        result[urgency].mean_run_s = sum(values) / len(values)
    waiting_since: dict[Urgency, float] = {}
    sweep = _Sweep(history)
    for from_s, to_s in sweep.intervals():
        slots = class_slots(sweep.shares, sweep.total_slots)
        for urgency, kept in result.items():
            if sweep.queued[urgency] <= 0:
                waiting_since.pop(urgency, None)
                continue
            since_s = waiting_since.setdefault(urgency, from_s)
            counted_s = to_s - max(from_s, since_s + longest_s)
            if counted_s > 0:
                minimum = slots.minimum_by_urgency[urgency]
                kept.add(from_s, counted_s, sweep.running[urgency], minimum)
    return result


class SkippedTurn(msgspec.Struct, frozen=True, kw_only=True):
    """A customer with queued work saw another one served too often before it."""

    urgency: Urgency
    skipped: CustomerId
    served: CustomerId
    starts: int
    allowed: int


def skipped_turns(history: RequestHistory) -> list[SkippedTurn]:
    """Return the customers that were skipped in the delivery round.

    In a round each customer is served once in proportion to its weight and in inverse
    proportion to the length of its runs. Run times are learned, so a customer may see
    another one served for two rounds before its own turn.
    """
    turns = _Turns(history)
    for fate in history.fates:
        if not fate.adopted:
            turns.add(fate)
    return turns.run()


class _Turns:
    """Start and queue times of the customers of each class."""

    def __init__(self, history: RequestHistory):
        self._history = history
        self._changes: list[tuple[float, int, str, Urgency, CustomerId]] = []
        self._queued: Counter[tuple[Urgency, CustomerId]] = Counter()
        self._served: dict[tuple[Urgency, CustomerId], Counter[CustomerId]] = {}
        self._runs: dict[tuple[Urgency, CustomerId], list[float]] = defaultdict(list)
        self._found: list[SkippedTurn] = []

    def add(self, fate) -> None:
        customer_id = fate.spec.customer_id
        key = (fate.urgency, customer_id)
        order = len(self._changes)
        self._changes.append((fate.submitted_s, order, "queue", *key))
        if fate.started_s is not None:
            self._changes.append((fate.started_s, order + 1, "start", *key))
        elif fate.ended_s is not None:
            self._changes.append((fate.ended_s, order + 1, "leave", *key))
        for attempt in fate.attempts:
            if attempt.released_s is not None:
                self._runs[key].append(attempt.released_s - attempt.held_s)

    def run(self) -> list[SkippedTurn]:
        for _, _, change, urgency, customer_id in sorted(self._changes):
            key = (urgency, customer_id)
            if change == "queue":
                self._queued[key] += 1
                if self._queued[key] == 1:
                    self._served[key] = Counter()
                continue
            self._queued[key] -= 1
            if change == "start":
                self._check(urgency, customer_id)
                self._served[key] = Counter()
                for (other_urgency, other_id), served in self._served.items():
                    waits = self._queued[other_urgency, other_id] > 0
                    if other_urgency is urgency and other_id != customer_id and waits:
                        served[customer_id] += 1
            if self._queued[key] == 0:
                self._check(urgency, customer_id)
                self._served[key] = Counter()
        for urgency, customer_id in list(self._served):
            self._check(urgency, customer_id)
        return self._found

    def _check(self, urgency: Urgency, customer_id: CustomerId) -> None:
        for other_id, starts in self._served[urgency, customer_id].items():
            allowed = self._allowed(urgency, customer_id, other_id)
            if starts > allowed:
                self._found.append(
                    SkippedTurn(
                        urgency=urgency,
                        skipped=customer_id,
                        served=other_id,
                        starts=starts,
                        allowed=allowed,
                    )
                )

    def _allowed(
        self, urgency: Urgency, customer_id: CustomerId, other_id: CustomerId
    ) -> int:
        own, other = (
            self._turn_cost(urgency, each) for each in (customer_id, other_id)
        )
        return 1 + 2 * max(1, -int(-own // other))

    def _turn_cost(self, urgency: Urgency, customer_id: CustomerId) -> float:
        runs = self._runs[urgency, customer_id] or [1.0]
        weight = self._history.policies.customer_weight(customer_id)
        return max(0.001, sum(runs) / len(runs)) / weight
