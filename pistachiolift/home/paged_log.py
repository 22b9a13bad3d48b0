"""Log of small records in the platform's store, many to a value, with group commit."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from ..backends import KeyValueStore
from ..common import (
    MalformedMessageError,
    Metrics,
    PistachioliftError,
    StoreUnavailableError,
    VersionConflictError,
    log_event,
)

__all__ = ["PagedLog", "delete_pages_before", "read_pages"]

logger = logging.getLogger(__name__)

# Each change rewrites a whole page. Small pages keep the cost of a change low, large
# ones keep the number of keys low. The store accepts values up to 1 MB.
PAGE_LIMIT_BYTES = 64 * 1024
COMMIT_INTERVAL_S = 0.05
LAZY_COMMIT_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 0.2
# After writes have failed for this long, new changes fail at once.
FAIL_FAST_AFTER_S = 0.5

_pages = msgspec.msgpack.Decoder(dict[str, bytes])


@dataclass(slots=True)
class _Page:
    """A page of records, which is one value of the store."""

    number: int
    records_by_key: dict[str, bytes] = field(default_factory=dict)
    size_bytes: int = 0
    version: int = 0
    dirty: bool = False


@dataclass(slots=True)
class _Waiter:
    """A callback that waits until its change is durable, or for a deadline."""

    on_done: Callable[[bool], None]
    deadline_s: float


def read_page(data: bytes) -> dict[str, bytes]:
    """Decode one page.

    :raises MalformedMessageError: if the value is not a page.
    """
    try:
        return _pages.decode(data)
    except msgspec.MsgspecError as error:
        raise MalformedMessageError(f"page does not decode: {error}") from error


async def delete_pages_before(
    store: KeyValueStore, prefix: str, first_kept: str
) -> None:
    """Delete the pages of earlier epochs, whose records have been copied.

    A failure is only logged: the next takeover reads the pages again and deletes them.

    :param first_kept: lowest key that is kept.
    """
    try:
        listing = await store.list_prefix(prefix)
        for key in listing.entries_by_key:
            if key < first_kept:
                await store.delete(key)
    except PistachioliftError as error:
        log_event(logger, "old_pages_kept", prefix=prefix, code=error.code.value)


async def read_pages(store: KeyValueStore, prefix: str) -> dict[str, bytes]:
    """Read all records below a prefix; a later page overrides an earlier one.

    :returns: records by key.
    """
    listing = await store.list_prefix(prefix)
    records: dict[str, bytes] = {}
    for key in sorted(listing.entries_by_key):
        records.update(read_page(listing.entries_by_key[key].value))
    return records


class PagedLog:
    """Writes records with group commit; a batch costs one write per changed page.

    Only the owner of an epoch writes below its prefix, so a version conflict means that
    an earlier write of the same owner took effect although its answer was lost.

    :param prefix: ends with ``/`` and contains the epoch.
    :param commit_timeout_s: how long a change may wait for the store, in seconds.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        store: KeyValueStore,
        *,
        prefix: str,
        metrics: Metrics,
        commit_timeout_s: float = 2.0,
    ):
        self._reactor = reactor
        self._store = store
        self._prefix = prefix
        self._metrics = metrics
        self._commit_timeout_s = commit_timeout_s
        self._pages: list[_Page] = [_Page(0)]
        self._page_by_key: dict[str, _Page] = {}
        self._waiters: list[_Waiter] = []
        self._commit_call: IDelayedCall | None = None
        self._writing = False
        self._failing_since_s: float | None = None
        self._closed = False

    def __enter__(self) -> "PagedLog":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Stop writing; changes that still wait are reported as failed."""
        self._closed = True
        if self._commit_call is not None and self._commit_call.active():
            self._commit_call.cancel()
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.on_done(False)

    def put(
        self,
        records: dict[str, bytes | None],
        on_done: Callable[[bool], None] | None = None,
    ) -> None:
        """Add, replace or remove records.

        :param records: values by key; ``None`` removes the record.
        :param on_done: called with whether the change is durable. Without it the
            records may wait longer for a commit.
        """
        for key, value in records.items():
            if value is None:
                self._remove_record(key)
            else:
                self._set_record(key, value)
        self._add_waiter(on_done)

    def _remove_record(self, key: str) -> None:
        page = self._page_by_key.pop(key, None)
        if page is not None:
            page.size_bytes -= len(page.records_by_key.pop(key)) + len(key)
            page.dirty = True

    def _set_record(self, key: str, value: bytes) -> None:
        page = self._page_by_key.get(key)
        if page is None:
            page = self._open_page(len(key) + len(value))
            self._page_by_key[key] = page
        else:
            page.size_bytes -= len(page.records_by_key[key]) + len(key)
        page.records_by_key[key] = value
        page.size_bytes += len(key) + len(value)
        page.dirty = True

    def _open_page(self, size_bytes: int) -> _Page:
        page = self._pages[-1]
        if page.records_by_key and page.size_bytes + size_bytes > PAGE_LIMIT_BYTES:
            page = _Page(page.number + 1)
            self._pages.append(page)
        return page

    def _add_waiter(self, on_done: Callable[[bool], None] | None) -> None:
        if self._closed or (on_done is not None and self._is_failing()):
            if on_done is not None:
                on_done(False)
            return
        if on_done is None:
            self._schedule(LAZY_COMMIT_INTERVAL_S)
            return
        deadline_s = self._reactor.seconds() + self._commit_timeout_s
        self._waiters.append(_Waiter(on_done, deadline_s))
        self._schedule(COMMIT_INTERVAL_S)

    def _is_failing(self) -> bool:
        if self._failing_since_s is None:
            return False
        return self._reactor.seconds() - self._failing_since_s > FAIL_FAST_AFTER_S

    def _schedule(self, delay_s: float) -> None:
        if self._writing or self._closed:
            return
        due_s = self._reactor.seconds() + delay_s
        if self._commit_call is not None and self._commit_call.active():
            if self._commit_call.getTime() <= due_s:
                return
            self._commit_call.cancel()
        self._commit_call = self._reactor.callLater(delay_s, self._start_commit)

    def _start_commit(self) -> None:
        self._writing = True
        ensureDeferred(self._commit())

    async def _commit(self) -> None:
        waiters, self._waiters = self._waiters, []
        try:
            await self._write_dirty_pages()
        except PistachioliftError as error:
            self._metrics.count(f"retry.log_write.{error.code.value}")
            log_event(
                logger, "log_write_failed", prefix=self._prefix, code=error.code.value
            )
            if self._failing_since_s is None:
                self._failing_since_s = self._reactor.seconds()
            self._fail_overdue(waiters)
            delay_s = RETRY_INTERVAL_S
        else:
            self._failing_since_s = None
            for waiter in waiters:
                waiter.on_done(True)
            delay_s = COMMIT_INTERVAL_S if self._waiters else LAZY_COMMIT_INTERVAL_S
        self._writing = False
        if self._waiters or any(page.dirty for page in self._pages):
            self._schedule(delay_s)

    def _fail_overdue(self, waiters: list[_Waiter]) -> None:
        now_s = self._reactor.seconds()
        kept = [w for w in waiters if w.deadline_s > now_s and not self._closed]
        self._waiters = kept + self._waiters
        for waiter in waiters:
            if waiter not in kept:
                waiter.on_done(False)

    async def _write_dirty_pages(self) -> None:
        for page in list(self._pages):
            if page.dirty:
                await self._write(page)
        self._drop_empty_pages()

    async def _write(self, page: _Page) -> None:
        if self._closed:
            raise StoreUnavailableError("the log is closed")
        key = f"{self._prefix}{page.number:06d}"
        page.dirty = False
        value = msgspec.msgpack.encode(page.records_by_key)
        try:
            page.version = await self._put(key, value, page)
        except PistachioliftError:
            page.dirty = True
            raise
        self._metrics.count("store.log_writes")

    async def _put(self, key: str, value: bytes, page: _Page) -> int:
        try:
            return await self._store.put(key, value, expected_version=page.version)
        except VersionConflictError as error:
            # An earlier write of this process took effect although its answer was
            # lost; the page in memory is newer.
            self._metrics.count("retry.log_write.lost_answer")
            return await self._store.put(
                key, value, expected_version=error.actual_version
            )

    def _drop_empty_pages(self) -> None:
        last = self._pages[-1]
        self._pages = [p for p in self._pages if p.records_by_key or p is last]
