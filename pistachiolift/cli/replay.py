"""The command that replays a trace."""

from pathlib import Path

import click

from ..common import encode_json
from ..replay import (
    INVARIANTS,
    SHARE_KEYS,
    ReplayReport,
    TraceError,
    parse_overrides,
    read_outcomes,
    replay_file,
)
from .documented import example, option
from .options import output_option
from .output import echo_document, format_table

__all__ = ["replay"]

EXIT_BROKEN = 1


@click.command(
    epilog=example(
        "pistachiolift replay entry-1.jsonl --outcomes outcomes.toml",
        "pistachiolift replay entry-1.jsonl --what-if deferrable_min_share=0.2",
    )
)
@click.argument("trace", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@option(
    "--outcomes",
    "outcome_file",
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="Outcomes to check (TOML); without it the invariants are checked.",
)
@option(
    "--what-if",
    "what_if",
    multiple=True,
    metavar="KEY=VALUE",
    help=f"Predict with another setting: {', '.join(SHARE_KEYS)}.",
)
@output_option
def replay(
    trace: Path, outcome_file: Path | None, what_if: tuple[str, ...], output: str
) -> None:
    """Replay a recorded trace and compare decisions and outcomes.

    Exits with 1 on a difference or if a checked outcome does not hold.
    """
    try:
        stated = read_outcomes(outcome_file) if outcome_file else INVARIANTS
        overrides = parse_overrides(what_if)
        report = replay_file(trace, stated=stated, overrides=overrides)
    except TraceError as error:
        raise click.UsageError(error.message) from error
    echo_document(output, report, _text(report))
    raise SystemExit(0 if report.ok else EXIT_BROKEN)


def _text(report: ReplayReport) -> str:
    parts = [_summary(report)]
    figures = report.figures
    if figures.kinds:
        parts.append(_kinds_table(report))
    if figures.classes:
        parts.append(_classes_table(report))
    if figures.jobs:
        parts.append(_jobs_table(report))
    parts.append(_outcomes_table(report))
    return "\n\n".join(parts)


def _summary(report: ReplayReport) -> str:
    lines = [
        f"{report.trace}: {report.events} events and {report.decisions} decisions in"
        f" {report.figures.span_s:.1f} s, recorded with {', '.join(report.versions)}"
    ]
    if report.stopped:
        lines.append(f"the recording stopped early: {report.stopped}")
    difference = report.difference
    if difference is not None:
        lines += [
            f"DIFFERENCE at line {difference.line}, partition {difference.partition},"
            f" {difference.at_s:.6f} s",
            f"  event     {_json(difference.event)}",
            f"  recorded  {_json(difference.recorded)} {difference.recorded_error}",
            f"  replayed  {_json(difference.replayed)} {difference.replayed_error}",
        ]
    elif not report.overrides:
        lines.append("all decisions are equal to the recorded ones")
    if report.predicted:
        changed = ", ".join(f"{k}={v:g}" for k, v in report.overrides.items())
        lines.append(
            f"PREDICTION with {changed or 'the cores of this version'}: recorded"
            " arrivals and service times; not what happened. Jobs are left out."
        )
    return "\n".join(lines)


def _json(value: object) -> str:
    encoded = encode_json(value)
    return encoded.decode() if isinstance(encoded, bytes) else encoded


def _number(value: float | None, digits: int = 3) -> str:
    return "-" if value is None else f"{value:.{digits}f}"


def _counts(counts: dict[str, int]) -> str:
    return " ".join(f"{name}={count}" for name, count in sorted(counts.items()))


def _kinds_table(report: ReplayReport) -> str:
    return format_table(
        "class customer kind sent wait_p50_s wait_p99_s wait_max_s share".split()
        + ["outcomes"],
        [
            (
                each.urgency.value,
                each.customer_id,
                each.kind_id,
                each.submitted,
                _number(each.wait_p50_s),
                _number(each.wait_p99_s),
                _number(each.wait_max_s),
                _number(each.slot_share),
                _counts(each.outcomes),
            )
            for each in report.figures.kinds
        ],
    )


def _classes_table(report: ReplayReport) -> str:
    return format_table(
        "partition class share queued_s of_minimum".split(),
        [
            (
                each.partition_id,
                each.urgency.value,
                _number(each.slot_share),
                _number(each.waited_s),
                _number(each.kept_ratio, 2),
            )
            for each in report.figures.classes
        ],
    )


def _jobs_table(report: ReplayReport) -> str:
    return format_table(
        "priority jobs starts start_p50_s start_max_s ends".split(),
        [
            (
                each.priority,
                each.submitted,
                each.task_starts,
                _number(each.start_p50_s),
                _number(each.start_max_s),
                _counts(each.ends),
            )
            for each in report.figures.jobs
        ],
    )


def _outcomes_table(report: ReplayReport) -> str:
    rows = []
    for each in report.outcomes:
        state = "holds" if each.holds else "BROKEN"
        if not each.judged:
            state = "nothing to judge"
        first = each.violations[0] if each.violations else ""
        rows.append((each.check, each.subject or "-", state, each.judged, first or "-"))
    return format_table("outcome of state judged first_violation".split(), rows)
