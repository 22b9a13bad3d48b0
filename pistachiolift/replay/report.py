"""A replay with its figures and outcomes."""

from collections.abc import Iterable
from pathlib import Path

import msgspec

from .exact import Difference, replay_exactly
from .figures import Figures, summarise
from .outcomes import INVARIANTS, OutcomeResult, StatedOutcome, check_outcomes
from .reader import read_trace
from .what_if import predict

__all__ = ["ReplayReport", "replay_file"]


class ReplayReport(msgspec.Struct, kw_only=True):
    """What the command prints.

    :param predicted: whether the figures and outcomes are a prediction.
    :param difference: the first difference of an exact replay.
    :param ok: whether there is no difference and no broken outcome.
    """

    trace: str
    ok: bool
    predicted: bool
    events: int
    decisions: int
    versions: list[str]
    stopped: str
    difference: Difference | None
    outcomes: list[OutcomeResult]
    figures: Figures
    overrides: dict[str, float]


def replay_file(
    path: Path,
    *,
    stated: Iterable[StatedOutcome] = tuple(INVARIANTS),
    overrides: dict[str, float] | None = None,
) -> ReplayReport:
    """Replay a trace file and judge it.

    With overrides, and after a difference, the outcomes are those of a prediction with
    the present cores, because the recorded events do not follow from their decisions.

    :raises TraceError: if the file cannot be read.
    """
    exact = replay_exactly(read_trace(path))
    difference = None if overrides else exact.difference
    predicted = bool(overrides) or difference is not None
    histories = exact.histories
    if predicted:
        histories = predict(read_trace(path), overrides or {})
    outcomes = check_outcomes(histories, stated)
    return ReplayReport(
        trace=path.name,
        ok=difference is None and all(each.holds for each in outcomes),
        predicted=predicted,
        events=exact.events,
        decisions=exact.decisions,
        versions=exact.versions,
        stopped=exact.stopped,
        difference=difference,
        outcomes=outcomes,
        figures=summarise(histories),
        overrides=overrides or {},
    )
