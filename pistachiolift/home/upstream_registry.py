"""The upstreams of a partition, used only once their running attempts are known."""

from collections.abc import Callable, Iterable

from twisted.internet.defer import DeferredSemaphore, ensureDeferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from ..backends import DirectoryEntry, InstanceState, RunningAttempt, UpstreamClient
from ..common import Clock, Metrics, PartitionId, PistachioliftError, UpstreamId
from ..requests import UpstreamPool

__all__ = ["UpstreamRegistry"]

RETRY_INTERVAL_S = 0.5
VERIFY_TIMEOUT_S = 1.0
# Limit of concurrent calls to upstreams of other partitions.
FOREIGN_CALLS = 32


class UpstreamRegistry:
    """Queries the running attempts of each upstream before its slots are granted.

    No slot is granted before all upstreams have reported their running attempts,
    because a request whose attempt runs on one must not start on another. An upstream
    that does not answer delays this by a second at most; it gets no work until it
    answers. Requests that may have run before wait for it longer, until it has answered
    or :meth:`may_run_unseen` excludes a run.

    :param has_authority: returns whether decisions may be made now.
    Attempts on slots that another partition had lent run on upstreams that are not
    this partition's; a successor looks for them once, see :meth:`look_for_lent`.

    :param partition_id: the partition, with which its attempts' identifiers begin.
    :param adopt_running: called with an upstream's directory entry and each attempt
        that it runs.
    :param on_slots_available: called when slots have become available.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        *,
        clock: Clock,
        pool: UpstreamPool,
        upstreams: UpstreamClient,
        metrics: Metrics,
        partition_id: PartitionId,
        has_authority: Callable[[], bool],
        adopt_running: Callable[[DirectoryEntry, RunningAttempt], None],
        on_slots_available: Callable[[], None],
    ):
        self._reactor = reactor
        self._clock = clock
        self._pool = pool
        self._upstreams = upstreams
        self._metrics = metrics
        self._partition_id = partition_id
        self._has_authority = has_authority
        self._adopt_running = adopt_running
        self._on_slots_available = on_slots_available
        self._entries_by_id: dict[UpstreamId, DirectoryEntry] = {}
        self._verified: set[UpstreamId] = set()
        self._verifying: set[UpstreamId] = set()
        self._timeout_at_s = float("inf")
        # Upstreams that may run attempts of earlier owners.
        self._unseen: set[UpstreamId] = set()
        # Other partitions' upstreams that are still to list their attempts.
        self._foreign: set[UpstreamId] = set()
        self._foreign_calls = DeferredSemaphore(FOREIGN_CALLS)
        self._closed = False

    def close(self) -> None:
        """Stop querying upstreams."""
        self._closed = True

    @property
    def may_grant(self) -> bool:
        """Whether all upstreams have answered or the timeout has passed."""
        has_timed_out = self._clock.monotonic_s() >= self._timeout_at_s
        return has_timed_out or self._verified >= set(self._entries_by_id)

    def may_run_unseen(self, run_limit_s: float) -> bool:
        """Whether an attempt of an earlier owner may run on a silent upstream.

        :param run_limit_s: time after which the attempt has ended in any case.
        """
        if not self._unseen:
            return False
        begun_s = self._timeout_at_s - VERIFY_TIMEOUT_S
        return self._clock.monotonic_s() < begun_s + run_limit_s

    def start_grant_timeout(self) -> None:
        """Start the timeout for the answers; called when authority begins."""
        self._timeout_at_s = self._clock.monotonic_s() + VERIFY_TIMEOUT_S
        self._unseen = (set(self._entries_by_id) - self._verified) | self._foreign
        self._reactor.callLater(VERIFY_TIMEOUT_S, self._add_verified_to_pool)

    def update_upstream(self, entry: DirectoryEntry) -> None:
        """Add or update an upstream of the directory."""
        upstream_id = UpstreamId(entry.id)
        self._entries_by_id[upstream_id] = entry
        if upstream_id in self._verified:
            self._add_to_pool(entry)
        elif upstream_id not in self._verifying and self._has_authority():
            self._verifying.add(upstream_id)
            ensureDeferred(self._verify(upstream_id))

    def remove(self, upstream_id: UpstreamId, *, gone: bool = False) -> None:
        """Remove an upstream that has left the partition.

        :param gone: whether it has left the directory, so that nothing runs there.
        """
        self._entries_by_id.pop(upstream_id, None)
        self._verified.discard(upstream_id)
        if gone:
            self._record_seen(upstream_id)
        self._pool.remove(upstream_id)

    async def _verify(self, upstream_id: UpstreamId) -> None:
        while not self._closed and upstream_id in self._entries_by_id:
            entry = self._entries_by_id[upstream_id]
            try:
                running = await self._upstreams.list_running(entry.address)
            except PistachioliftError as error:
                self._metrics.count(f"retry.verify_upstream.{error.code.value}")
                if isinstance(error.__cause__, ConnectionRefusedError):
                    # Its process has ended, and all attempts with it.
                    self._record_seen(upstream_id)
                await deferLater(self._reactor, RETRY_INTERVAL_S)
                continue
            self._record_answer(upstream_id, running)
            break
        self._verifying.discard(upstream_id)

    # Upstreams of other partitions.

    def look_for_lent(self, entries: Iterable[DirectoryEntry]) -> None:
        """Adopt the attempts that an earlier owner runs on slots lent to it.

        :param entries: the upstreams of all other partitions.
        """
        for entry in entries:
            self._foreign.add(UpstreamId(entry.id))
            ensureDeferred(self._list_foreign(entry))

    async def _list_foreign(self, entry: DirectoryEntry) -> None:
        upstream_id = UpstreamId(entry.id)
        while not self._closed and upstream_id in self._foreign:
            try:
                running = await self._foreign_calls.run(
                    lambda: ensureDeferred(self._upstreams.list_running(entry.address))
                )
            except PistachioliftError as error:
                self._metrics.count(f"retry.look_for_lent.{error.code.value}")
                if isinstance(error.__cause__, ConnectionRefusedError):
                    break
                await deferLater(self._reactor, RETRY_INTERVAL_S)
                continue
            for attempt in running:
                if attempt.attempt_id.startswith(f"{self._partition_id}."):
                    self._adopt_running(entry, attempt)
            break
        self._record_seen(upstream_id)

    def _record_seen(self, upstream_id: UpstreamId) -> None:
        self._unseen.discard(upstream_id)
        self._foreign.discard(upstream_id)

    def _record_answer(
        self, upstream_id: UpstreamId, running: list[RunningAttempt]
    ) -> None:
        if self._closed or upstream_id not in self._entries_by_id:
            return
        self._verified.add(upstream_id)
        self._record_seen(upstream_id)
        for attempt in running:
            self._adopt_running(self._entries_by_id[upstream_id], attempt)
        if self.may_grant:
            self._add_verified_to_pool()

    def _add_verified_to_pool(self) -> None:
        if self._closed:
            return
        for upstream_id in self._verified:
            self._add_to_pool(self._entries_by_id[upstream_id])
        self._on_slots_available()

    def _add_to_pool(self, entry: DirectoryEntry) -> None:
        upstream_id = UpstreamId(entry.id)
        if entry.state is InstanceState.LEAVING:
            self._pool.mark_leaving(upstream_id)
            return
        now_s = self._clock.monotonic_s()
        self._pool.upsert(upstream_id, entry.address, entry.capacity.slots, now_s)
