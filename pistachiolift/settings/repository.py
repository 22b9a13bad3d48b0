"""Storage of the settings tree in the key-value service.

One value holds the tree, its revision and bounded records of the last changes.
The full record of the last change is part of that value; a writer copies it to a
history key before it replaces the value. The history is therefore complete even if a
writer stops between two writes.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from ..common import (
    Clock,
    InvalidInputError,
    MalformedMessageError,
    Metrics,
    NotFoundError,
    OutcomeUnknownError,
    PistachioliftError,
    Revision,
    StoreUnavailableError,
    ValueTooLargeError,
    VersionConflictError,
)
from .changes import apply, change_digest, check_same_edits
from .codec import (
    TREE_LIMIT_BYTES,
    decode_entry,
    decode_tree,
    encode_entry,
    encode_tree,
)
from .records import Change, HistoryEntry
from .tree import SettingsTree

# The package of the store's interface imports Twisted, which this module does not
# need at run time.
if TYPE_CHECKING:
    from ..backends import KeyValueStore

__all__ = [
    "HISTORY_LIMIT",
    "TREE_KEY",
    "CommitResult",
    "SettingsRepository",
    "history_key",
]

TREE_KEY = "settings/tree"
HISTORY_PREFIX = "settings/history/"
# One day of changes at the target of 10,000 a day.
HISTORY_LIMIT = 10_000
# Two deletions per new entry shorten a history that grew during a store outage.
PRUNED_PER_COMMIT = 2
HISTORY_PAGE_DIGITS = 1
HISTORY_ANSWER_LIMIT = 1000
# Longer than a restart of the store, but short enough for an operator to wait.
COMMIT_TIMEOUT_S = 10.0
ATTEMPTS_LIMIT = 200
BACKOFF_BASE_S = 0.02
BACKOFF_LIMIT_S = 0.5


def history_key(revision: int) -> str:
    """Return the key of a history entry; the padding makes keys sort by revision."""
    return f"{HISTORY_PREFIX}{revision:012d}"


@dataclass(frozen=True, slots=True)
class CommitResult:
    """The result of a commit.

    :param revision: revision that the change created.
    :param tree: the current tree, which may be newer than the change.
    :param entry: record of the change, if it is still available.
    :param repeated: whether an earlier commit had already stored the change.
    """

    revision: Revision
    tree: SettingsTree
    entry: HistoryEntry | None
    repeated: bool


@dataclass(slots=True)
class _UnansweredWrite:
    """A write that got no answer.

    :param version: version of the stored value that the write replaces.
    :param revision: revision that the write would create.
    """

    version: int
    revision: int


@dataclass(slots=True)
class _Progress:
    """State of one commit between its attempts."""

    unanswered: _UnansweredWrite | None = None


class SettingsRepository:
    """Reads and changes the stored settings tree.

    :param store: the key-value service.
    :param clock: clock for the time limit of a commit.
    :param sleep: waits for a number of seconds without blocking the loop.
    :param rng: source of the jitter of the backoff.
    :param metrics: counters.
    """

    def __init__(
        self,
        store: "KeyValueStore",
        *,
        clock: Clock,
        sleep: Callable[[float], Awaitable[object]],
        rng: random.Random,
        metrics: Metrics | None = None,
    ):
        self._store = store
        self._clock = clock
        self._sleep = sleep
        self._rng = rng
        self._metrics = metrics if metrics is not None else Metrics()

    async def load(self) -> SettingsTree:
        """Read the tree; the tree of defaults if none has been stored.

        :raises StoreUnavailableError: if the store does not answer.
        :raises MalformedMessageError: if the stored value is no valid tree.
        """
        return (await self._read())[0]

    async def commit(self, change: Change) -> CommitResult:
        """Apply a change to the stored tree.

        Conflicting writes of others and lost answers are resolved by reading the
        tree again, so an error means that this call stored nothing, except for
        :class:`OutcomeUnknownError`. The same change may be committed again; if the
        store does not answer then either, the outcome of the earlier call stays
        unknown.

        :raises SettingConflictError: if another change came first.
        :raises InvalidInputError: if the change or the resulting tree is not valid.
        :raises StoreUnavailableError: if the store does not answer and nothing was
            written.
        :raises OutcomeUnknownError: if a write got no answer and the store did not
            recover; the change may be stored now or later.
        """
        progress = _Progress()
        deadline_s = self._clock.monotonic_s() + COMMIT_TIMEOUT_S
        for number in range(ATTEMPTS_LIMIT):
            try:
                return await self._attempt_commit(change, progress)
            except VersionConflictError as error:
                self._metrics.count("settings.commit_retry.version_conflict")
                failure: PistachioliftError = error
            except StoreUnavailableError as error:
                self._metrics.count("settings.commit_retry.store_unavailable")
                failure = error
            except PistachioliftError as error:
                if progress.unanswered is not None:
                    raise self._outcome_unknown(change, progress.unanswered) from error
                self._metrics.count(f"settings.commit_refused.{error.code.value}")
                raise
            delay_s = self._backoff_s(number)
            if self._clock.monotonic_s() + delay_s >= deadline_s:
                break
            await self._sleep(delay_s)
        self._metrics.count("settings.commit_gave_up")
        if progress.unanswered is not None:
            raise self._outcome_unknown(change, progress.unanswered) from failure
        raise StoreUnavailableError(
            f"change {change.change_id!r} was not stored: {failure}", retry_after_s=5.0
        ) from failure

    async def history(
        self, limit: int, *, before_revision: int | None = None
    ) -> list[HistoryEntry]:
        """Return the last changes, newest first.

        :param limit: most entries returned, 1 to 1000.
        :param before_revision: only changes of lower revisions.
        :raises StoreUnavailableError: if the store does not answer.
        """
        if not 1 <= limit <= HISTORY_ANSWER_LIMIT:
            raise InvalidInputError(
                f"limit is {limit}; allowed: 1 to {HISTORY_ANSWER_LIMIT}"
            )
        tree = await self.load()
        highest = tree.revision
        if before_revision is not None:
            highest = min(highest, before_revision - 1)
        entries = []
        last = tree.log.last_entry
        if last is not None and last.revision <= highest:
            entries.append(last)
            highest = last.revision - 1
        while highest >= tree.log.history_floor and len(entries) < limit:
            page = await self._history_page(highest)
            entries += [each for each in page if each.revision <= highest]
            highest -= highest % 10**HISTORY_PAGE_DIGITS + 1
        return entries[:limit]

    async def _read(self) -> tuple[SettingsTree, int]:
        entry = await self._store.get(TREE_KEY)
        if entry is None:
            return SettingsTree(), 0
        return decode_tree(entry.value), entry.version

    async def _attempt_commit(
        self, change: Change, progress: _Progress
    ) -> CommitResult:
        tree, version = await self._read()
        found = await self._find_committed(change, tree, progress.unanswered)
        if found is not None:
            return found
        # A write that expects another version of the value can no longer take effect.
        if progress.unanswered is not None and progress.unanswered.version != version:
            progress.unanswered = None
        new_tree = apply(tree, change)
        await self._archive(tree)
        new_tree = await self._prune(new_tree)
        data = encode_tree(new_tree)
        if len(data) > TREE_LIMIT_BYTES:
            raise ValueTooLargeError(
                f"settings tree would have {len(data)} bytes; at most "
                f"{TREE_LIMIT_BYTES} are allowed"
            )
        try:
            await self._store.put(TREE_KEY, data, expected_version=version)
        except StoreUnavailableError:
            progress.unanswered = _UnansweredWrite(version, new_tree.revision)
            raise
        self._metrics.count("settings.committed")
        entry = new_tree.log.last_entry
        return CommitResult(new_tree.revision, new_tree, entry, repeated=False)

    async def _find_committed(
        self, change: Change, tree: SettingsTree, unanswered: _UnansweredWrite | None
    ) -> CommitResult | None:
        """Return a change that is already stored, found by its identifier."""
        known = tree.log.find(change.change_id)
        if known is not None:
            check_same_edits(known, change_digest(change))
            self._metrics.count("settings.commit_found")
            entry = await self._entry_of(known.revision, tree)
            return CommitResult(
                Revision(known.revision), tree, entry, unanswered is None
            )
        # An unanswered write can only have created one revision. If the change log has
        # that revision under another identifier, or the tree is still below it, the
        # write has not taken effect.
        oldest = tree.log.recent[0].revision if tree.log.recent else tree.revision + 1
        if (
            unanswered is None
            or tree.revision < unanswered.revision
            or unanswered.revision >= oldest
        ):
            return None
        entry = await self._entry_of(unanswered.revision, tree)
        if entry is None:
            raise self._outcome_unknown(change, unanswered)
        if entry.change_id != change.change_id:
            return None
        return CommitResult(Revision(unanswered.revision), tree, entry, repeated=False)

    async def _entry_of(self, revision: int, tree: SettingsTree) -> HistoryEntry | None:
        last = tree.log.last_entry
        if last is not None and last.revision == revision:
            return last
        stored = await self._store.get(history_key(revision))
        return None if stored is None else self._decode_entry(stored.value)

    async def _archive(self, tree: SettingsTree) -> None:
        entry = tree.log.last_entry
        if entry is None:
            return
        try:
            await self._store.put(
                history_key(entry.revision), encode_entry(entry), expected_version=0
            )
        except VersionConflictError:
            # Another writer has stored the same entry.
            pass

    async def _prune(self, tree: SettingsTree) -> SettingsTree:
        floor = tree.log.history_floor
        target = tree.revision - HISTORY_LIMIT
        try:
            for revision in range(floor, min(target, floor + PRUNED_PER_COMMIT)):
                await self._delete(history_key(revision))
                floor = revision + 1
        except StoreUnavailableError:
            # The floor stays, so a later commit deletes the entry.
            self._metrics.count("settings.prune_failed")
        if floor == tree.log.history_floor:
            return tree
        return tree.with_log(msgspec.structs.replace(tree.log, history_floor=floor))

    async def _delete(self, key: str) -> None:
        try:
            await self._store.delete(key)
        except NotFoundError:
            # An earlier deletion took effect although its answer was lost.
            pass

    async def _history_page(self, revision: int) -> list[HistoryEntry]:
        prefix = history_key(revision)[:-HISTORY_PAGE_DIGITS]
        listing = await self._store.list_prefix(prefix)
        entries = [
            self._decode_entry(entry.value) for entry in listing.entries_by_key.values()
        ]
        return sorted(
            (each for each in entries if each is not None),
            key=lambda each: -each.revision,
        )

    def _decode_entry(self, data: bytes) -> HistoryEntry | None:
        try:
            return decode_entry(data)
        except MalformedMessageError:
            # One damaged record must not hide the others.
            self._metrics.count("settings.history_malformed")
            return None

    def _backoff_s(self, number: int) -> float:
        longest_s = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2 ** min(number, 10))
        return self._rng.uniform(0, longest_s)

    def _outcome_unknown(
        self, change: Change, unanswered: _UnansweredWrite
    ) -> OutcomeUnknownError:
        return OutcomeUnknownError(
            f"change {change.change_id!r} may be stored as revision "
            f"{unanswered.revision}: the store gave no answer; commit it again with "
            "the same identifier",
            retry_after_s=5.0,
        )
