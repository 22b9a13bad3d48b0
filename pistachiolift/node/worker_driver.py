"""Carries out the orders for one worker and keeps its lease and its list of runs."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from ..common import Clock, Metrics, log_event
from ..workflows import StartAnswer, StartRun, StopRun, TaskKey, Worker
from .background import run_in_background
from .interfaces import (
    RunReport,
    StaleOwnerError,
    WorkerConnection,
    WorkerReplacedError,
    WorkerUnavailableError,
)
from .poll_limiter import PollLimiter

__all__ = ["LeaseTerms", "WorkerDriver", "WorkerEvents"]

logger = logging.getLogger(__name__)

# Pause between two listings while ends cannot be made durable.
STALLED_PAUSE_S = 0.5
# Pause after a listing without an answer.
RETRY_PAUSE_S = 0.15
# Sends of one start before it is blocked by a stop.
START_TRIES = 5
STOP_RETRY_S = 0.4
# Connections refused in a row after which the worker's process has ended.
REFUSED_LIMIT = 2
# A worker's clock may be slower than ours by this share.
CLOCK_DRIFT = 0.02


class LeaseTerms:
    """Length of the leases of workers' runs.

    :param lease_s: length of a lease, in seconds.
    :param slack_s: added to the end of a lease before it counts as over.
    """

    def __init__(self, *, lease_s: float, slack_s: float = 0.3):
        self.lease_s = lease_s
        self.slack_s = slack_s

    def end_s(self, sent_s: float) -> float:
        """Return when a lease sent at a time has certainly ended."""
        return sent_s + self.lease_s * (1 + 2 * CLOCK_DRIFT) + self.slack_s


class WorkerEvents(ABC):
    """What a driver reports to the owner."""

    @abstractmethod
    def may_send_commands(self) -> bool:
        """Whether the owner may give orders at this moment."""

    @abstractmethod
    def handle_run_report(
        self, worker: Worker, listing: RunReport, sent_s: float
    ) -> Deferred:
        """Take a listing; fires when its ends are durable."""

    @abstractmethod
    def handle_start_answer(self, order: StartRun, answer: StartAnswer) -> None:
        """Take the answer to a start."""

    @abstractmethod
    def handle_unanswered_start(self, order: StartRun) -> None:
        """Note that a start may or may not have been carried out."""

    @abstractmethod
    def handle_stop_answer(self, order: StopRun) -> None:
        """Note that a stop is in force."""

    @abstractmethod
    def handle_unreachable(self, worker: Worker) -> None:
        """Note that a worker does not answer."""

    @abstractmethod
    def handle_worker_ended(self, worker: Worker, reason: str) -> None:
        """Note that a worker's process has ended."""

    @abstractmethod
    def record_lease(self, worker: Worker, lease_end_s: float) -> None:
        """Note how long a worker's runs may go on."""

    @abstractmethod
    def handle_superseded(self, reason: str) -> None:
        """Note that a later owner exists."""

    @abstractmethod
    def has_run(self, worker: Worker, task: TaskKey, number: int) -> bool:
        """Whether a run is still on record."""


class WorkerDriver:
    """Talks to one incarnation of a worker.

    :param pace: shared by all drivers of the owner.
    :param fence: returns the owner's fence, which may rise.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        worker: Worker,
        connection: WorkerConnection,
        *,
        clock: Clock,
        metrics: Metrics,
        terms: LeaseTerms,
        events: WorkerEvents,
        pace: PollLimiter,
        fence,
    ):
        self._reactor = reactor
        self.worker = worker
        self._connection = connection
        self._clock = clock
        self._metrics = metrics
        self._terms = terms
        self._events = events
        self._pace = pace
        self._fence = fence
        self._clock_offset_ms: float | None = None
        self._clock_read_s = 0.0
        self._last_end = 0
        self._refused = 0
        self._reachable = True
        self._closed = False

    def run(self) -> None:
        """Start to list the worker's runs."""
        self._spawn(self._list_forever())

    def _spawn(self, coroutine: Coroutine) -> None:
        run_in_background(
            coroutine,
            logger=logger,
            event="worker_driver_failed",
            on_failure=lambda: self._events.handle_superseded("driver_failed"),
            worker=self.worker.worker_id,
        )

    @contextmanager
    def _ending_if_replaced(self) -> Iterator[None]:
        """End the driver if the worker is another process or obeys a later owner."""
        try:
            yield
        except WorkerReplacedError:
            self._end("replaced")
        except StaleOwnerError:
            self._events.handle_superseded("fence_at_worker")

    @property
    def closed(self) -> bool:
        """Whether the driver gives no more orders."""
        return self._closed

    def close(self) -> None:
        """Give no more orders."""
        if not self._closed:
            self._closed = True
            self._spawn(self._connection.close())

    # Listings.

    async def _list_forever(self) -> None:
        wait_s = 0.0
        while not self._closed:
            if not self._events.may_send_commands():
                await self._sleep(STALLED_PAUSE_S)
                continue
            if wait_s:
                listing = await self._list_once(wait_s)
            else:
                listing = await self._pace.run(self._list_now)
            if self._closed:
                return
            if listing is None:
                await self._sleep(RETRY_PAUSE_S)
                wait_s = 0.0
                continue
            wait_s = self._pace.wait_s
            if not await self._finish_listing(listing):
                wait_s = 0.0
                await self._sleep(STALLED_PAUSE_S)

    async def _list_now(self) -> "tuple[RunListing, float] | None":
        """List when the turn has come, if orders may still be given."""
        if self._closed or not self._events.may_send_commands():
            return None
        return await self._list_once(0.0)

    async def _list_once(self, wait_s: float) -> "tuple[RunListing, float] | None":
        sent_s = self._clock.monotonic_s()
        until_ms = None
        if self._reachable:
            # A worker that does not answer is only looked at: a renewal that may
            # have arrived would put off the end of its lease again and again.
            until_ms = self._lease_until_ms(sent_s)
        if until_ms is not None:
            self._events.record_lease(self.worker, self._terms.end_s(sent_s))
        self._metrics.count("workers.listings")
        listing = None
        with self._ending_if_replaced():
            try:
                listing = await self._connection.poll_runs(
                    fence=self._fence(),
                    last_end=self._last_end,
                    lease_until_ms=until_ms,
                    wait_s=wait_s,
                )
            except WorkerUnavailableError as error:
                self._no_answer(error, sent_s)
        if listing is None:
            return None
        self._refused = 0
        self._note_clock(listing.clock_ms)
        if not self._reachable:
            self._reachable = True
            log_event(logger, "worker_regained", worker=self.worker.worker_id)
        return listing, sent_s

    async def _finish_listing(self, result: "tuple[RunListing, float]") -> bool:
        """Report a listing and wait until its ends are durable.

        :returns: whether they are.
        """
        listing, sent_s = result
        durable = self._events.handle_run_report(self.worker, listing, sent_s)
        if not listing.ended:
            return True
        durable.addTimeout(STALLED_PAUSE_S, self._reactor, lambda *_: False)
        if not await durable:
            return False
        self._last_end = max(self._last_end, listing.last_end)
        return True

    def _no_answer(self, error: WorkerUnavailableError, sent_s: float) -> None:
        self._refused = self._refused + 1 if error.refused else 0
        if self._refused >= REFUSED_LIMIT:
            self._end("connection_refused")
            return
        if self._reachable:
            self._reachable = False
            log_event(
                logger,
                "worker_lost",
                worker=self.worker.worker_id,
                reason=error.message,
                sent_age_s=self._clock.monotonic_s() - sent_s,
            )
        self._events.handle_unreachable(self.worker)

    def _end(self, reason: str) -> None:
        log_event(logger, "worker_ended", worker=self.worker.worker_id, reason=reason)
        self.close()
        self._events.handle_worker_ended(self.worker, reason)

    # The worker's clock.

    def _note_clock(self, clock_ms: int) -> None:
        if clock_ms:
            self._clock_read_s = self._clock.monotonic_s()
            self._clock_offset_ms = clock_ms

    def _lease_until_ms(self, now_s: float) -> int | None:
        """Return the end of a lease on the worker's clock, ``None`` if unknown."""
        if self._clock_offset_ms is None:
            return None
        elapsed_ms = (now_s - self._clock_read_s) * 1000
        return int(
            self._clock_offset_ms
            + elapsed_ms * (1 - CLOCK_DRIFT)
            + self._terms.lease_s * 1000
        )

    # Orders.

    def start(self, order: StartRun) -> None:
        """Send a start, and repeat it while it has no answer."""
        self._spawn(self._start(order))

    async def _start(self, order: StartRun) -> None:
        for tries in range(START_TRIES):
            if self._closed or not self._still_wanted(order):
                return
            if not self._events.may_send_commands():
                break
            answer = await self._start_once(order)
            if answer is not None:
                if not self._closed:
                    answer = msgspec.structs.replace(answer, repeated=tries > 0)
                    self._events.handle_start_answer(order, answer)
                return
        if not self._closed:
            self._metrics.count("workers.start_unanswered")
            self._events.handle_unanswered_start(order)

    async def _start_once(self, order: StartRun) -> StartAnswer | None:
        sent_s = self._clock.monotonic_s()
        until_ms = self._lease_until_ms(sent_s)
        if until_ms is None:
            return StartAnswer(started=False, reason="clock_unknown")
        self._events.record_lease(self.worker, self._terms.end_s(sent_s))
        self._metrics.count("workers.starts")
        answer = None
        with self._ending_if_replaced():
            try:
                answer, clock_ms = await self._connection.start(
                    order.task,
                    order.number,
                    payload=order.payload,
                    lease_until_ms=until_ms,
                    fence=self._fence(),
                    ticket=order.ticket,
                    checkpoint=order.checkpoint,
                )
            except WorkerUnavailableError:
                return None
        if answer is None:
            return None
        self._note_clock(clock_ms)
        self._metrics.timing_ms(
            "workers.start", (self._clock.monotonic_s() - sent_s) * 1000
        )
        return answer

    def _still_wanted(self, order: StartRun | StopRun) -> bool:
        return self._events.has_run(self.worker, order.task, order.number)

    def stop(self, order: StopRun) -> None:
        """Send a stop, and repeat it until the run is over."""
        self._spawn(self._stop(order))

    async def _stop(self, order: StopRun) -> None:
        while not self._closed and self._still_wanted(order):
            if self._events.may_send_commands():
                with self._ending_if_replaced():
                    await self._stop_once(order)
            await self._sleep(STOP_RETRY_S)

    async def _stop_once(self, order: StopRun) -> None:
        try:
            await self._connection.stop(order.task, order.number, fence=self._fence())
            self._events.handle_stop_answer(order)
        except WorkerUnavailableError as error:
            self._metrics.count("workers.stop_unanswered")
            log_event(
                logger,
                "stop_unanswered",
                level=logging.DEBUG,
                worker=self.worker.worker_id,
                reason=error.message,
            )

    def set_speed(self, task: TaskKey, number: int, percent: int) -> None:
        """Limit what a run may use; a lost order is repeated by the controller."""
        self._spawn(self._pace(task, number, percent))

    async def _pace(self, task: TaskKey, number: int, percent: int) -> None:
        if self._closed or not self._events.may_send_commands():
            return
        with self._ending_if_replaced():
            try:
                await self._connection.set_speed(
                    task, number, percent=percent, fence=self._fence()
                )
            except WorkerUnavailableError:
                self._metrics.count("workers.pace_unanswered")

    async def _sleep(self, interval_s: float) -> None:
        await deferLater(self._reactor, interval_s)
