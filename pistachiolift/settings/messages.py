"""Operators' requests about the settings, and the answers."""

from typing import Any

import msgspec

from ..common import InstanceId, Message
from .records import Edit, HistoryEntry, ValueChange
from .resolved import ResolvedValue

__all__ = [
    "ChangeAnswer",
    "ChangeRequest",
    "DiffAnswer",
    "DiffRequest",
    "ExportAnswer",
    "GetAnswer",
    "GetRequest",
    "HistoryAnswer",
    "HistoryRequest",
    "ImportRequest",
    "PropagationAnswer",
    "SetRequest",
    "UnsetRequest",
]


class GetRequest(Message, kw_only=True):
    """Request one key or all keys of a path.

    :param key: the key; ``None`` for all.
    """

    path: str = ""
    key: str | None = None


class GetAnswer(Message, kw_only=True):
    """Values in force with their provenance.

    :param branches: existing paths below the requested path.
    """

    revision: int
    path: str
    values: tuple[ResolvedValue, ...]
    branches: tuple[str, ...] = ()


class _WriteRequest(Message, kw_only=True):
    """Fields of all requests that change the settings.

    :param change_id: chosen by the operator's client, so that it can repeat the
        request; if empty, the server chooses one.
    :param base_revision: revision that the operator saw; if ``None``, the revision
        at the arrival of the request.
    :param dry_run: check only, change nothing.
    """

    change_id: str = ""
    base_revision: int | None = None
    dry_run: bool = False


class SetRequest(_WriteRequest, kw_only=True):
    """Set one key; ``expected`` is described at :class:`Edit`."""

    path: str
    key: str
    value: Any
    expected: Any | msgspec.UnsetType = msgspec.UNSET


class UnsetRequest(_WriteRequest, kw_only=True):
    """Unset one key, so that it is inherited again."""

    path: str
    key: str
    expected: Any | msgspec.UnsetType = msgspec.UNSET


class ChangeRequest(_WriteRequest, kw_only=True):
    """Apply several edits together, including creation and removal of branches."""

    edits: tuple[Edit, ...]


class ImportRequest(_WriteRequest, kw_only=True):
    """Replace all settings by those of a TOML file.

    The file's ``revision`` is the base if ``base_revision`` is ``None``.
    """

    toml: str


class ChangeAnswer(Message, kw_only=True):
    """The result of a change or of a dry run.

    :param revision: revision that contains the change, or would contain it.
    :param repeated: whether an earlier request had already made the change.
    """

    change_id: str
    revision: int
    changes: tuple[ValueChange, ...]
    repeated: bool = False
    dry_run: bool = False


class DiffRequest(Message, kw_only=True):
    """Request the differences between two revisions.

    :param to_revision: the later revision; ``None`` for the current one.
    """

    from_revision: int
    to_revision: int | None = None


class DiffAnswer(Message, kw_only=True):
    """The differences between two revisions.

    :param complete: whether the history still has all changes in between.
    """

    from_revision: int
    to_revision: int
    changes: tuple[ValueChange, ...]
    complete: bool


class HistoryRequest(Message, kw_only=True):
    """Request the last changes, newest first.

    :param before_revision: only changes of lower revisions.
    """

    limit: int = 20
    before_revision: int | None = None


class HistoryAnswer(Message, kw_only=True):
    """Records of changes, newest first."""

    entries: tuple[HistoryEntry, ...]


class ExportAnswer(Message, kw_only=True):
    """All settings as TOML."""

    revision: int
    toml: str


class PropagationAnswer(Message, kw_only=True):
    """Which live instances have not reported a revision yet."""

    revision: int
    in_force: bool
    behind: tuple[InstanceId, ...]
