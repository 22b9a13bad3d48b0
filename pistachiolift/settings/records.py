"""Changes to the settings tree and the records that are kept of them."""

from collections.abc import Iterable
from enum import Enum
from typing import Any

import msgspec

__all__ = [
    "Change",
    "ChangeLog",
    "Edit",
    "EditAction",
    "HistoryEntry",
    "RecentChange",
    "ValueChange",
]


class EditAction(Enum):
    """What an edit does."""

    SET = "set"
    UNSET = "unset"
    CREATE = "create"
    REMOVE = "remove"


class Edit(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step of a change.

    ``SET`` creates the branch if it does not exist; ``UNSET`` leaves the branch in
    place even when it becomes empty. ``CREATE`` adds an empty branch, so that a
    customer or kind exists with inherited values; ``REMOVE`` deletes a branch.

    :param key: the key; empty for ``CREATE`` and ``REMOVE``.
    :param value: new value of ``SET``.
    :param expected: value that the branch itself must hold before the change, or
        ``None`` if it must not set the key; if left out, the change's
        ``base_revision`` decides about conflicts. For ``CREATE`` and ``REMOVE``,
        whether the branch must exist.
    """

    action: EditAction
    path: str
    key: str = ""
    value: Any = None
    expected: Any | msgspec.UnsetType = msgspec.UNSET


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Edits that are applied together or not at all.

    :param change_id: unique identifier, chosen by the writer before the first try.
    :param wall_time_s: when the operator made the change, seconds since the epoch.
    :param base_revision: revision that the operator saw; may be ``None`` if every
        edit states the expected value.
    """

    change_id: str
    author: str
    wall_time_s: float
    edits: tuple[Edit, ...]
    base_revision: int | None = None


class ValueChange(msgspec.Struct, frozen=True, omit_defaults=True):
    """One difference between two trees.

    :param key: the key; empty if the branch as a whole was added or removed.
    :param old: old value, ``None`` if it was not set. For a branch, whether it
        existed.
    :param new: new value, ``None`` if it is not set any more.
    """

    path: str
    key: str
    old: Any = None
    new: Any = None


class RecentChange(msgspec.Struct, frozen=True, array_like=True):
    """Summary of an earlier change, for conflict checks and after lost answers.

    :param digest: digest of the edits, to detect an identifier used twice.
    :param touched: pairs of path and key, the key empty for a removed branch;
        ``None`` if the change touched too many to list.
    """

    revision: int
    change_id: str
    author: str
    digest: str
    touched: tuple[tuple[str, str], ...] | None


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """The record of one accepted change.

    :param changes: the differences, at most a fixed number of them.
    :param change_count: how many differences there were.
    """

    version: int = 1
    revision: int
    change_id: str
    author: str
    wall_time_s: float
    changes: tuple[ValueChange, ...]
    change_count: int


class ChangeLog(msgspec.Struct, frozen=True, kw_only=True):
    """Records of the last changes, bounded in size and stored with the tree.

    :param recent: the last changes, oldest first.
    :param last_entry: full record of the last change. It moves to a key of its own
        before the next change is written, so no entry is lost if a writer stops
        between two writes.
    :param history_floor: lowest revision that may have a history key.
    """

    recent: tuple[RecentChange, ...] = ()
    last_entry: HistoryEntry | None = None
    history_floor: int = 1

    def find(self, change_id: str) -> RecentChange | None:
        """Return the recent change with an identifier, or ``None``."""
        return find_change(reversed(self.recent), change_id)


def find_change(changes: Iterable[RecentChange], change_id: str) -> RecentChange | None:
    """Return the first change with an identifier, or ``None``."""
    return next((each for each in changes if each.change_id == change_id), None)
