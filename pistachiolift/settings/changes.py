"""Application of changes to a tree, with detection of conflicts."""

import hashlib
import math

import msgspec

from ..common import IdempotencyMismatchError, InvalidInputError, NotFoundError
from .errors import SettingConflictError
from .paths import parse_path
from .records import (
    Change,
    ChangeLog,
    Edit,
    EditAction,
    HistoryEntry,
    RecentChange,
    ValueChange,
)
from .schema import SCHEMA
from .tree import SettingsTree, diff

__all__ = [
    "EDITS_LIMIT",
    "ENTRY_LIMIT_BYTES",
    "RECENT_LIMIT",
    "TOUCHED_LIMIT",
    "apply",
    "change_digest",
]

# The limits keep the change log, which is part of the tree's stored value, below a
# quarter of the 1 MB that the store accepts: 500 changes of about 100 bytes, 2,000
# pairs of path and key, and the record of the last change.
RECENT_LIMIT = 500
TOUCHED_LIMIT = 2000
TOUCHED_LIMIT_PER_CHANGE = 200
ENTRY_LIMIT_BYTES = 65536
EDITS_LIMIT = 20_000
NAME_LIMIT = 64

_Touched = dict[tuple[str, str], RecentChange]


def apply(tree: SettingsTree, change: Change) -> SettingsTree:
    """Apply a change to a tree.

    :returns: the tree of the next revision, or the same tree if it already contains
        the change.
    :raises SettingConflictError: if a path and key of the change was changed since
        the revision that the operator saw.
    :raises InvalidSettingError: if a value or the new tree is not allowed.
    :raises NotFoundError: if a branch to unset in or to remove does not exist.
    :raises IdempotencyMismatchError: if another change had the same identifier.
    :raises InvalidInputError: if the change itself is malformed.
    """
    _check_change(change)
    digest = change_digest(change)
    known = tree.log.find(change.change_id)
    if known is not None:
        check_same_edits(known, digest)
        return tree
    _check_conflicts(tree, change)
    branches = {path: dict(values) for path, values in tree.values_by_path.items()}
    for edit in change.edits:
        _apply_edit(branches, edit)
    new_tree = SettingsTree(tree.revision + 1, branches, base=tree, allow_unknown=True)
    return new_tree.with_log(_next_log(tree, new_tree, change, digest))


def change_digest(change: Change) -> str:
    """Return a digest of the edits, to detect an identifier that is used twice.

    :raises InvalidInputError: if a value is no plain value.
    """
    try:
        data = msgspec.msgpack.encode(change.edits)
    except (TypeError, ValueError, OverflowError, RecursionError) as error:
        raise InvalidInputError(f"change has a value of no plain type: {error}") from (
            error
        )
    return hashlib.sha256(data).hexdigest()[:16]


def check_same_edits(known: RecentChange, digest: str) -> None:
    """Check that a change found by its identifier has the same edits.

    :raises IdempotencyMismatchError: if it has other edits.
    """
    if known.digest != digest:
        raise IdempotencyMismatchError(
            f"change identifier {known.change_id!r} was used for other edits, in "
            f"revision {known.revision}"
        )


def _check_change(change: Change) -> None:
    for name, text in (("change_id", change.change_id), ("author", change.author)):
        if not 1 <= len(text) <= NAME_LIMIT or not text.isprintable():
            raise InvalidInputError(
                f"{name} is {text[:NAME_LIMIT]!r}; allowed: 1 to {NAME_LIMIT} "
                "printable characters"
            )
    if not 1 <= len(change.edits) <= EDITS_LIMIT:
        raise InvalidInputError(
            f"change has {len(change.edits)} edits; allowed: 1 to {EDITS_LIMIT}"
        )
    if not math.isfinite(change.wall_time_s):
        raise InvalidInputError(
            f"wall_time_s is {change.wall_time_s}; it must be finite"
        )
    if change.base_revision is None and any(
        edit.expected is msgspec.UNSET for edit in change.edits
    ):
        raise InvalidInputError(
            "change states neither a base revision nor the expected value of each edit"
        )


def _check_conflicts(tree: SettingsTree, change: Change) -> None:
    base = change.base_revision
    if base is not None and base > tree.revision:
        raise InvalidInputError(
            f"base_revision is {base}; the highest revision is {tree.revision}"
        )
    touched: _Touched | None = None
    for edit in change.edits:
        parse_path(edit.path)
        if edit.expected is not msgspec.UNSET:
            _check_expected(tree, edit)
        elif base != tree.revision:
            if touched is None:
                touched = _touched_since(tree, base)
            _check_untouched(tree, edit, touched)


def _check_expected(tree: SettingsTree, edit: Edit) -> None:
    if edit.action in (EditAction.CREATE, EditAction.REMOVE):
        actual: object = edit.path in tree.values_by_path
    else:
        actual = tree.values_by_path.get(edit.path, {}).get(edit.key)
    expected = edit.expected
    if isinstance(expected, list):
        expected = tuple(expected)
    if expected != actual:
        spec = SCHEMA.spec(edit.path, edit.key) if edit.key else None
        shown = repr(actual) if spec is None else spec.show(actual)
        raise SettingConflictError(
            edit.path,
            edit.key,
            f"the value is {shown}, not the expected one",
            current_revision=tree.revision,
        )


def _touched_since(tree: SettingsTree, base: int) -> _Touched:
    recent = [each for each in tree.log.recent if each.revision > base]
    # The change log must hold every revision after the base, with its list of keys.
    if len(recent) != tree.revision - base or any(
        each.touched is None for each in recent
    ):
        raise SettingConflictError(
            "",
            "",
            f"base revision {base} is too old to determine what changed since, or a "
            "very large change came after it; read the settings again",
            current_revision=tree.revision,
        )
    return {pair: each for each in recent for pair in each.touched}


def _check_untouched(tree: SettingsTree, edit: Edit, touched: _Touched) -> None:
    if edit.action is EditAction.REMOVE:
        found = [each for (path, _), each in touched.items() if path == edit.path]
        conflicting = found[0] if found else None
    else:
        conflicting = touched.get((edit.path, edit.key)) or touched.get((edit.path, ""))
    if conflicting is not None:
        raise SettingConflictError(
            edit.path,
            edit.key,
            f"changed by {conflicting.author!r} in revision {conflicting.revision}",
            current_revision=tree.revision,
        )


def _apply_edit(branches: dict[str, dict[str, object]], edit: Edit) -> None:
    if edit.action is EditAction.SET:
        value = SCHEMA.check(edit.path, edit.key, edit.value)
        branches.setdefault(edit.path, {})[edit.key] = value
    elif edit.action is EditAction.CREATE:
        branches.setdefault(edit.path, {})
    elif edit.path not in branches:
        raise NotFoundError(f"settings have no path {edit.path!r}")
    elif edit.action is EditAction.REMOVE:
        del branches[edit.path]
    # A key that only a newer release knows can be unset, but not set.
    elif branches[edit.path].pop(edit.key, None) is None:
        SCHEMA.spec(edit.path, edit.key)


def _next_log(
    old: SettingsTree, new: SettingsTree, change: Change, digest: str
) -> ChangeLog:
    record = RecentChange(
        new.revision, change.change_id, change.author, digest, _touched(change)
    )
    recent = [*old.log.recent, record][-RECENT_LIMIT:]
    pairs = sum(len(each.touched or ()) for each in recent)
    while pairs > TOUCHED_LIMIT:
        pairs -= len(recent.pop(0).touched or ())
    return ChangeLog(
        recent=tuple(recent),
        last_entry=_history_entry(change, new.revision, diff(old, new)),
        history_floor=old.log.history_floor,
    )


def _touched(change: Change) -> tuple[tuple[str, str], ...] | None:
    pairs = {
        (edit.path, "" if edit.action is EditAction.REMOVE else edit.key)
        for edit in change.edits
        if edit.action is not EditAction.CREATE
    }
    return tuple(sorted(pairs)) if len(pairs) <= TOUCHED_LIMIT_PER_CHANGE else None


def _history_entry(
    change: Change, revision: int, changes: list[ValueChange]
) -> HistoryEntry:
    kept, size_bytes = [], 0
    for each in changes:
        size_bytes += len(msgspec.msgpack.encode(each))
        if size_bytes > ENTRY_LIMIT_BYTES:
            break
        kept.append(each)
    return HistoryEntry(
        revision=revision,
        change_id=change.change_id,
        author=change.author,
        wall_time_s=change.wall_time_s,
        changes=tuple(kept),
        change_count=len(changes),
    )
