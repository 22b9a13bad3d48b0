"""The commands that change the settings."""

import click
import msgspec

from ..common import PistachioliftError
from ..settings import (
    SCHEMA,
    ChangeAnswer,
    ImportRequest,
    SetRequest,
    UnsetRequest,
)
from .client import ApiClient, Connection, run_with_client
from .documented import example, option
from .options import new_identifier, operator_options, output_option, wait_limit_option
from .output import echo_document
from .paths import settings_path
from .settings import changes_table, complete_key, wait_in_force

__all__ = ["import_", "set_", "unset"]


def _parse(path: str, key: str, text: str) -> object:
    try:
        return SCHEMA.parse_text(path, key, text)
    except PistachioliftError as error:
        raise click.UsageError(error.message) from error


def _compose(*decorators):
    def decorate(function):
        for each in reversed(decorators):
            function = each(function)
        return function

    return decorate


_change_options = _compose(
    option("--dry-run", is_flag=True, help="Check and show the change only."),
    option(
        "--base-revision",
        type=click.IntRange(min=0),
        help="Revision that the change builds on; a later change of the same values "
        "is a conflict. Default: the newest one.",
    ),
    option(
        "--change-id",
        help="Identifier of the change, to repeat one whose outcome is unknown. "
        "Default: a new one.",
    ),
    option("--wait", is_flag=True, help="Wait until all live instances apply it."),
    wait_limit_option,
    output_option,
    operator_options,
)
_expect_options = _compose(
    option("--expect", help="Value that the path itself must have before."),
    option("--expect-unset", is_flag=True, help="The path must not set the key."),
)
_path_argument = click.argument("path")
_key_argument = click.argument("key", shell_complete=complete_key)


def _expected(path: str, key: str, expect: str | None, expect_unset: bool) -> object:
    if expect is not None and expect_unset:
        raise click.UsageError("--expect and --expect-unset exclude each other")
    if expect_unset:
        return None
    return msgspec.UNSET if expect is None else _parse(path, key, expect)


def _change(
    connection: Connection,
    operation: str,
    message: SetRequest | UnsetRequest | ImportRequest,
    *,
    wait: bool,
    wait_limit_s: float,
    output: str,
) -> None:
    async def work(client: ApiClient) -> None:
        answer = await client.change(
            "POST",
            f"/v1/settings/{operation}",
            body=msgspec.json.encode(message),
            identifier=f"--change-id {message.change_id}",
        )
        change = answer.decode(ChangeAnswer)
        # Printed before the waiting, which may end with an error.
        echo_document(output, change, _describe_change(change))
        if wait and not change.dry_run:
            await wait_in_force(client, change.revision, wait_limit_s)

    run_with_client(connection, work)


def _describe_change(change: ChangeAnswer) -> str:
    if change.dry_run:
        summary = f"dry run: would be revision {change.revision}"
    elif change.repeated:
        summary = f"revision {change.revision}; an earlier request made the change"
    else:
        summary = f"revision {change.revision}"
    if not change.changes:
        return f"{summary}; no further difference"
    return f"{changes_table(change.changes)}\n{summary}"


@click.command(
    name="set",
    epilog=example("pistachiolift settings set lekki/velocity urgency normal --wait"),
)
@_path_argument
@_key_argument
@click.argument("value")
@_expect_options
@_change_options
def set_(
    connection: Connection,
    path: str,
    key: str,
    value: str,
    expect: str | None,
    expect_unset: bool,
    dry_run: bool,
    base_revision: int | None,
    change_id: str | None,
    **others,
) -> None:
    """Set KEY at PATH to VALUE.

    A list is written with commas, a truth value as true or false. The keys and their
    ranges are listed in docs/settings.md.
    """
    path = settings_path(path)
    message = SetRequest(
        path=path,
        key=key,
        value=_parse(path, key, value),
        expected=_expected(path, key, expect, expect_unset),
        change_id=change_id or new_identifier(),
        base_revision=base_revision,
        dry_run=dry_run,
    )
    _change(connection, "set", message, **others)


@click.command(
    epilog=example(
        "pistachiolift settings unset lekki/velocity urgency --expect normal"
    )
)
@_path_argument
@_key_argument
@_expect_options
@_change_options
def unset(
    connection: Connection,
    path: str,
    key: str,
    expect: str | None,
    expect_unset: bool,
    dry_run: bool,
    base_revision: int | None,
    change_id: str | None,
    **others,
) -> None:
    """Unset KEY at PATH, so that its value is inherited again."""
    path = settings_path(path)
    message = UnsetRequest(
        path=path,
        key=key,
        expected=_expected(path, key, expect, expect_unset),
        change_id=change_id or new_identifier(),
        base_revision=base_revision,
        dry_run=dry_run,
    )
    _change(connection, "unset", message, **others)


@click.command(
    name="import", epilog=example("pistachiolift settings import cell.toml --dry-run")
)
@click.argument("file", type=click.File("r", encoding="utf-8"), default="-")
@_change_options
def import_(
    connection: Connection,
    file,
    dry_run: bool,
    base_revision: int | None,
    change_id: str | None,
    **others,
) -> None:
    """Replace all settings by those of FILE, a TOML file from 'settings export'.

    The revision in the file is the base unless --base-revision is given: values that
    others changed since are a conflict.
    """
    try:
        toml = file.read()
    except UnicodeDecodeError as error:
        raise click.UsageError(f"file is not UTF-8 text: {error}") from error
    message = ImportRequest(
        toml=toml,
        change_id=change_id or new_identifier(),
        base_revision=base_revision,
        dry_run=dry_run,
    )
    _change(connection, "import", message, **others)
