"""Replay of recorded traces through the decision cores on virtual time."""

from .errors import TraceError
from .exact import Difference, ExactReplay, replay_exactly
from .figures import Figures, summarise
from .history import Histories
from .outcomes import (
    CHECKS_BY_NAME,
    INVARIANTS,
    OutcomeResult,
    StatedOutcome,
    check_outcomes,
    read_outcomes,
)
from .reader import Line, read_trace
from .report import ReplayReport, replay_file
from .what_if import SHARE_KEYS, parse_overrides, predict

__all__ = [
    "CHECKS_BY_NAME",
    "Difference",
    "ExactReplay",
    "Figures",
    "Histories",
    "INVARIANTS",
    "Line",
    "OutcomeResult",
    "ReplayReport",
    "SHARE_KEYS",
    "StatedOutcome",
    "TraceError",
    "check_outcomes",
    "parse_overrides",
    "predict",
    "read_outcomes",
    "read_trace",
    "replay_exactly",
    "replay_file",
    "summarise",
]
