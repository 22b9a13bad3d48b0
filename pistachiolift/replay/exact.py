"""Replays the recorded events and compares the decisions."""

from collections.abc import Iterable

import msgspec

from ..home import trace_lines as lines
from .cores import Core, JobsCore, RequestsCore
from .errors import TraceError
from .history import Histories
from .reader import Line

__all__ = ["Difference", "ExactReplay", "replay_exactly"]


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """The first line whose decisions differ.

    :param line: its number in the file.
    """

    line: int
    partition: str
    at_s: float
    event: lines.TraceEvent
    recorded: list[lines.TraceDecision]
    replayed: list[lines.TraceDecision]
    recorded_error: str = ""
    replayed_error: str = ""


class ExactReplay(msgspec.Struct, kw_only=True):
    """What a replay found.

    :param versions: versions of the program that recorded the trace.
    :param stopped: why the recording stopped early, or empty.
    :param histories: what the recorded decisions led to.
    """

    histories: Histories
    events: int = 0
    decisions: int = 0
    versions: list[str] = msgspec.field(default_factory=list)
    stopped: str = ""
    difference: Difference | None = None


def replay_exactly(trace: Iterable[Line]) -> ExactReplay:
    """Feed a trace to new cores and compare every decision.

    After the first difference the cores are no longer fed, because the recorded
    events follow from other decisions; the history is that of the record.

    :raises TraceError: if a line names a core that was not started.
    """
    result = ExactReplay(histories=Histories())
    cores: dict[int, Core] = {}
    for line in trace:
        result.events += 1
        result.decisions += len(line.decisions)
        match line.event:
            case lines.RequestsStarted(version=version, seed=seed):
                cores[line.stream] = RequestsCore(line.partition_id, line.epoch, seed)
            case lines.JobsStarted(version=version, seed=seed):
                cores[line.stream] = JobsCore(line.partition_id, line.epoch, seed)
            case lines.RecordingStopped(reason=reason):
                result.stopped = reason
                break
            case _:
                version = None
        if version is not None and version not in result.versions:
            result.versions.append(version)
        if line.stream not in cores:
            raise TraceError(f"line {line.number} is of a core that was not started")
        if version is None and result.difference is None:
            result.difference = _compare(cores[line.stream], line)
        result.histories.add(line)
    return result


def _compare(core: Core, line: Line) -> Difference | None:
    replayed, error = core.feed(line)
    if replayed == line.decisions and error == line.error:
        return None
    return Difference(
        line=line.number,
        partition=line.partition_id,
        at_s=line.at_s,
        event=line.event,
        recorded=line.decisions,
        replayed=replayed,
        recorded_error=line.error,
        replayed_error=error,
    )
