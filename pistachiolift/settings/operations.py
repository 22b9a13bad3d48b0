"""Operations on the settings for operators; the web layer maps HTTP to them."""

import uuid
from collections.abc import Callable, Iterable

import msgspec

from ..common import Clock, InstanceId, InvalidInputError
from .changes import apply
from .messages import (
    ChangeAnswer,
    ChangeRequest,
    DiffAnswer,
    DiffRequest,
    ExportAnswer,
    GetAnswer,
    GetRequest,
    HistoryAnswer,
    HistoryRequest,
    ImportRequest,
    PropagationAnswer,
    SetRequest,
    UnsetRequest,
)
from .paths import ROOT, parse_path
from .records import Change, Edit, EditAction, HistoryEntry, ValueChange
from .repository import CommitResult, SettingsRepository
from .schema import SCHEMA
from .toml_text import edits_between, from_toml, to_toml
from .tree import SettingsTree, diff
from .view import SettingsView

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
    "SettingsOperations",
    "UnsetRequest",
]

DIFF_LIMIT = 1000


def _new_change_id() -> str:
    return uuid.uuid4().hex


class SettingsOperations:
    """Operations of operators on the settings.

    Reads answer from the view, so they work while the store is down; changes go
    through the repository.

    :param view: the settings in force in this process.
    :param repository: the stored settings.
    :param clock: source of the wall-clock time of the changes.
    :param new_change_id: chooses an identifier for a change that comes without one.
    """

    def __init__(
        self,
        view: SettingsView,
        repository: SettingsRepository,
        *,
        clock: Clock,
        new_change_id: Callable[[], str] = _new_change_id,
    ):
        self._view = view
        self._repository = repository
        self._clock = clock
        self._new_change_id = new_change_id

    def get(self, request: GetRequest) -> GetAnswer:
        """Return values in force with their provenance.

        :raises NotFoundError: if the path does not exist.
        :raises InvalidSettingError: if the path or key is not valid.
        """
        tree, path = self._view.tree, request.path
        level = parse_path(path)[0]
        keys = [request.key]
        if request.key is None:
            specs = SCHEMA.specs_by_key.values()
            keys = [spec.name for spec in specs if level in spec.levels]
        prefix = path if path == ROOT else path + "/"
        return GetAnswer(
            revision=tree.revision,
            path=path,
            values=tuple(tree.resolve(path, key) for key in keys),
            branches=tuple(
                sorted(
                    each
                    for each in tree.values_by_path
                    if each != path and each.startswith(prefix)
                )
            ),
        )

    async def set(self, request: SetRequest, *, author: str) -> ChangeAnswer:
        """Set one key.

        :param author: name of the operator.
        :raises PistachioliftError: see :meth:`SettingsRepository.commit`.
        """
        edit = Edit(
            EditAction.SET, request.path, request.key, request.value, request.expected
        )
        return await self._change(request, (edit,), author)

    async def unset(self, request: UnsetRequest, *, author: str) -> ChangeAnswer:
        """Unset one key, so that it is inherited again.

        :param author: name of the operator.
        :raises PistachioliftError: see :meth:`SettingsRepository.commit`.
        """
        edit = Edit(
            EditAction.UNSET, request.path, request.key, expected=request.expected
        )
        return await self._change(request, (edit,), author)

    async def change(self, request: ChangeRequest, *, author: str) -> ChangeAnswer:
        """Apply several edits together, or check them in a dry run.

        :param author: name of the operator.
        :raises PistachioliftError: see :meth:`SettingsRepository.commit`.
        """
        return await self._change(request, request.edits, author)

    async def import_toml(self, request: ImportRequest, *, author: str) -> ChangeAnswer:
        """Replace all settings by those of a TOML file.

        Keys that others changed after the base revision cause a conflict, so an
        import cannot silently undo their changes.

        :param author: name of the operator.
        :raises PistachioliftError: see :meth:`SettingsRepository.commit`.
        """
        base, values_by_path = from_toml(request.toml)
        tree = await self._repository.load()
        known = tree.log.find(request.change_id) if request.change_id else None
        if known is not None:
            return self._repeated_answer(known.change_id, known.revision)
        edits = tuple(edits_between(tree, values_by_path))
        if not edits:
            return ChangeAnswer(
                change_id=request.change_id, revision=tree.revision, changes=()
            )
        if request.base_revision is None:
            # Without a base revision, the file is compared with the tree read above.
            request = msgspec.structs.replace(
                request, base_revision=tree.revision if base is None else base
            )
        return await self._change(request, edits, author)

    def export_toml(self) -> ExportAnswer:
        """Return the settings in force as TOML."""
        tree = self._view.tree
        return ExportAnswer(revision=tree.revision, toml=to_toml(tree))

    async def diff(self, request: DiffRequest) -> DiffAnswer:
        """Return the differences between two revisions.

        :raises InvalidInputError: if the revisions are out of order or too far apart.
        :raises StoreUnavailableError: if the store does not answer.
        """
        last = request.to_revision
        if last is None:
            last = (await self._repository.load()).revision
        first = request.from_revision
        count = last - first
        if first < 0 or not 0 <= count <= DIFF_LIMIT:
            raise InvalidInputError(
                f"revisions are {first} and {last}; the first must be 0 or more and "
                f"the second 0 to {DIFF_LIMIT} higher"
            )
        entries = []
        if count:
            entries = await self._repository.history(count, before_revision=last + 1)
            entries = [each for each in entries if each.revision > first]
        complete = len(entries) == count and all(
            each.change_count == len(each.changes) for each in entries
        )
        return DiffAnswer(
            from_revision=first,
            to_revision=last,
            changes=_combine(entries[::-1]),
            complete=complete,
        )

    async def history(self, request: HistoryRequest) -> HistoryAnswer:
        """Return the last changes, newest first.

        :raises InvalidInputError: if the limit is out of range.
        :raises StoreUnavailableError: if the store does not answer.
        """
        entries = await self._repository.history(
            request.limit, before_revision=request.before_revision
        )
        return HistoryAnswer(entries=tuple(entries))

    def propagation(
        self, revision: int, live_ids: Iterable[InstanceId]
    ) -> PropagationAnswer:
        """Return which live instances have not reported a revision yet.

        :param live_ids: all live instances but this one.
        """
        behind = tuple(self._view.instances_behind(revision, live_ids))
        in_force = not behind and self._view.revision >= revision
        return PropagationAnswer(revision=revision, in_force=in_force, behind=behind)

    async def _change(
        self,
        request: SetRequest | UnsetRequest | ChangeRequest | ImportRequest,
        edits: tuple[Edit, ...],
        author: str,
    ) -> ChangeAnswer:
        base = request.base_revision
        tree: SettingsTree | None = None
        needs_base = any(edit.expected is msgspec.UNSET for edit in edits)
        if request.dry_run or (base is None and needs_base):
            tree = await self._repository.load()
            if base is None and needs_base:
                base = tree.revision
        change = Change(
            change_id=request.change_id or self._new_change_id(),
            author=author,
            wall_time_s=self._clock.wall_s(),
            edits=edits,
            base_revision=base,
        )
        if request.dry_run:
            new_tree = apply(tree, change)
            return ChangeAnswer(
                change_id=change.change_id,
                revision=new_tree.revision,
                changes=tuple(diff(tree, new_tree)),
                repeated=new_tree is tree,
                dry_run=True,
            )
        return self._answer(change, await self._repository.commit(change))

    def _answer(self, change: Change, committed: CommitResult) -> ChangeAnswer:
        self._view.accept(committed.tree)
        entry = committed.entry
        return ChangeAnswer(
            change_id=change.change_id,
            revision=committed.revision,
            changes=() if entry is None else entry.changes,
            repeated=committed.repeated,
        )

    def _repeated_answer(self, change_id: str, revision: int) -> ChangeAnswer:
        return ChangeAnswer(
            change_id=change_id, revision=revision, changes=(), repeated=True
        )


def _combine(entries: list[HistoryEntry]) -> tuple[ValueChange, ...]:
    """Merge the changes of successive entries, oldest first."""
    merged: dict[tuple[str, str], ValueChange] = {}
    for entry in entries:
        for each in entry.changes:
            earlier = merged.get((each.path, each.key))
            old = each.old if earlier is None else earlier.old
            merged[each.path, each.key] = ValueChange(
                each.path, each.key, old, each.new
            )
    return tuple(each for _, each in sorted(merged.items()) if each.old != each.new)
