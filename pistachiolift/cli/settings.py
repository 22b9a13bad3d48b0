"""The commands that read the settings."""

from datetime import UTC, datetime

import click
from click.shell_completion import CompletionItem

from ..settings import (
    SCHEMA,
    DiffAnswer,
    DiffRequest,
    ExportAnswer,
    GetAnswer,
    GetRequest,
    HistoryAnswer,
    HistoryRequest,
    PropagationAnswer,
    ValueChange,
)
from .client import ApiClient, Connection, run_with_client
from .documented import example, option
from .lazy import LazyGroup
from .options import operator_options, output_option, wait_limit_option
from .output import echo_document, echo_progress, format_table, format_value
from .paths import settings_path
from .waiting import poll

__all__ = ["changes_table", "complete_key", "settings", "wait_in_force"]


def complete_key(
    _context: click.Context, _parameter: click.Parameter, incomplete: str
) -> list[CompletionItem]:
    """Return the keys that begin with what was typed."""
    return [
        CompletionItem(name, help=spec.help)
        for name, spec in sorted(SCHEMA.specs_by_key.items())
        if name.startswith(incomplete)
    ]


@click.group(
    cls=LazyGroup,
    module_by_command=dict.fromkeys(("set", "unset", "import"), "settings_changes"),
    epilog=example("pistachiolift settings get lekki/velocity"),
)
def settings() -> None:
    """Read and change the settings tree.

    PATH is / for the root, '*/KIND', CUSTOMER or CUSTOMER/KIND.
    """


# Reading


@settings.command(epilog=example("pistachiolift settings get lekki/velocity max_run_s"))
@click.argument("path", default="/")
@click.argument("key", required=False, shell_complete=complete_key)
@output_option
@operator_options
def get(connection: Connection, path: str, key: str | None, output: str) -> None:
    """Show the values in force at PATH and where each is set."""
    query = GetRequest(path=settings_path(path), key=key)

    async def work(client: ApiClient) -> GetAnswer:
        return (await client.query("/v1/settings/get", query)).decode(GetAnswer)

    answer = run_with_client(connection, work)
    rows = [
        (
            each.key,
            each.value,
            each.unit or None,
            each.level.value,
            _source(each.source_path),
        )
        for each in answer.values
    ]
    text = format_table(["KEY", "VALUE", "UNIT", "LEVEL", "SET AT"], rows)
    text += f"\nrevision {answer.revision}"
    if answer.branches:
        text += f"; below: {format_value(answer.branches)}"
    echo_document(output, answer, text)


def _source(source_path: str | None) -> str:
    if source_path is None:
        return "default"
    return source_path or "/"


@settings.command(epilog=example("pistachiolift settings diff 1 3"))
@click.argument("from_revision", type=click.IntRange(min=0))
@click.argument("to_revision", type=click.IntRange(min=0), required=False)
@output_option
@operator_options
def diff(
    connection: Connection, from_revision: int, to_revision: int | None, output: str
) -> None:
    """Show what changed between two revisions; the second is the newest by default."""
    query = DiffRequest(from_revision=from_revision, to_revision=to_revision)

    async def work(client: ApiClient) -> DiffAnswer:
        return (await client.query("/v1/settings/diff", query)).decode(DiffAnswer)

    answer = run_with_client(connection, work)
    text = changes_table(answer.changes)
    text += f"\nrevisions {answer.from_revision} to {answer.to_revision}"
    if not answer.complete:
        text += "; incomplete, the history lacks some changes"
    echo_document(output, answer, text)


def changes_table(changes: tuple[ValueChange, ...]) -> str:
    """Return the differences as a table."""
    rows = [(c.path or "/", c.key or "(branch)", c.old, c.new) for c in changes]
    return format_table(["PATH", "KEY", "OLD", "NEW"], rows)


@settings.command(epilog=example("pistachiolift settings history --limit 5"))
@option(
    "--limit",
    type=click.IntRange(1, 1000),
    default=20,
    help="Most changes shown.",
)
@option(
    "--before",
    "before_revision",
    type=click.IntRange(min=1),
    help="Only changes of lower revisions.",
)
@output_option
@operator_options
def history(
    connection: Connection, limit: int, before_revision: int | None, output: str
) -> None:
    """Show the last changes, newest first."""
    query = HistoryRequest(limit=limit, before_revision=before_revision)

    async def work(client: ApiClient) -> HistoryAnswer:
        answer = await client.query("/v1/settings/history", query)
        return answer.decode(HistoryAnswer)

    answer = run_with_client(connection, work)
    rows = []
    for entry in answer.entries:
        time = datetime.fromtimestamp(entry.wall_time_s, UTC).isoformat(
            timespec="seconds"
        )
        for each in entry.changes or (ValueChange("", ""),):
            where = (each.path or "/", each.key or "(branch)")
            rows.append(
                (entry.revision, time, entry.author, *where, each.old, each.new)
            )
    headers = ["REVISION", "TIME", "AUTHOR", "PATH", "KEY", "OLD", "NEW"]
    echo_document(output, answer, format_table(headers, rows))


@settings.command(epilog=example("pistachiolift settings export > cell.toml"))
@output_option
@operator_options
def export(connection: Connection, output: str) -> None:
    """Print all settings as TOML, for 'settings import'."""

    async def work(client: ApiClient) -> ExportAnswer:
        return (await client.read("/v1/settings/export")).decode(ExportAnswer)

    answer = run_with_client(connection, work)
    echo_document(output, answer, answer.toml.rstrip("\n"))


@settings.command(
    epilog=example("pistachiolift settings propagation 3 --wait --wait-limit 10")
)
@click.argument("revision", type=click.IntRange(min=0))
@option("--wait", is_flag=True, help="Wait until the revision is in force.")
@wait_limit_option
@output_option
@operator_options
def propagation(
    connection: Connection, revision: int, wait: bool, wait_limit_s: float, output: str
) -> None:
    """Show which live instances have not applied REVISION yet."""

    async def work(client: ApiClient) -> PropagationAnswer:
        if wait:
            await wait_in_force(client, revision, wait_limit_s)
        return await _propagation(client, revision)

    answer = run_with_client(connection, work)
    echo_document(output, answer, _describe_propagation(answer))


async def _propagation(client: ApiClient, revision: int) -> PropagationAnswer:
    answer = await client.read(f"/v1/settings/propagation/{revision}")
    return answer.decode(PropagationAnswer)


def _describe_propagation(answer: PropagationAnswer) -> str:
    if answer.in_force:
        return f"revision {answer.revision} is in force on all live instances"
    behind = format_value(answer.behind) if answer.behind else "the instance asked"
    return f"revision {answer.revision} is not yet reported by {behind}"


async def wait_in_force(client: ApiClient, revision: int, limit_s: float) -> None:
    """Wait until all live instances have applied a revision.

    :raises CommandError: with exit code ``WAIT_TIMEOUT``.
    """

    async def check() -> str:
        answer = await _propagation(client, revision)
        return "" if answer.in_force else _describe_propagation(answer)

    what = f"revision {revision} in force on all live instances"
    await poll(client, check, limit_s=limit_s, what=what)
    echo_progress(f"revision {revision} is in force on all live instances")
