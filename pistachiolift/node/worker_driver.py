"""Sends commands to one worker, renews its lease and polls its run reports."""

import logging
import traceback
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import TypeVar

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from ..common import Clock, Metrics, log_event
from ..workflows import (
    START_DELAY_LIMIT_S,
    SURVIVAL_S,
    StartAnswer,
    StartRun,
    StopRun,
    TaskKey,
    Worker,
)
from .background import run_in_background
from .interfaces import (
    RunReport,
    StaleOwnerError,
    WorkerConnection,
    WorkerReplacedError,
    WorkerUnavailableError,
)
from .poll_limiter import PollLimiter
from .worker_fence import WorkerFence

__all__ = ["LeaseTerms", "WorkerDriver", "WorkerEvents"]

logger = logging.getLogger(__name__)

Answer = TypeVar("Answer")

# Pause between polls while ends cannot be made durable.
STALLED_PAUSE_S = 0.5
# Pause after a poll without an answer.
RETRY_PAUSE_S = 0.15
# While a delayed start may be carried out by the worker's next process, the first
# contact to that process must come soon. The pause is then this share of the time
# since the loss of the worker, and at least the shortest pause.
DOUBT_PAUSE_SHARE = 0.02
MIN_RETRY_PAUSE_S = 0.002
# If a poll follows the last answer later than this, since this instance was paused or
# waited for ends to become durable, a next process may have started and ended runs.
POLL_GAP_LIMIT_S = 0.1
# A start that is not answered after this many attempts is blocked by a stop.
MAX_START_ATTEMPTS = 5
STOP_RETRY_S = 0.4
# Pause before a start is tried again that may not be sent at the moment.
START_PAUSE_S = 0.05
# Time after the start of a suspected task at which a report is requested: one that was
# requested earlier would not show whether the run has survived.
SURVIVAL_POLL_S = SURVIVAL_S + 0.02
# A worker's clock may run slower than this instance's clock by this share.
CLOCK_DRIFT = 0.02


class CallOvertakenError(WorkerUnavailableError):
    """The worker has rejected a call, since a newer one of this owner was faster."""


class LeaseTerms:
    """Length of the leases of workers' runs.

    :param lease_s: length of a lease, in seconds.
    :param limit_s: length of the longest lease that a worker accepts, in seconds.
    :param slack_s: margin after which a lease counts as expired, in seconds.
    """

    def __init__(self, *, lease_s: float, limit_s: float, slack_s: float = 0.3):
        self.lease_s = lease_s
        self.limit_s = limit_s
        self.slack_s = slack_s

    def end_s(self, sent_s: float) -> float:
        """Return the time by which a lease has certainly expired.

        :param sent_s: time at which the lease was sent.
        """
        return sent_s + self._expired_after_s(self.lease_s)

    @property
    def longest_s(self) -> float:
        """Time by which the longest lease has certainly expired, in seconds."""
        return self._expired_after_s(self.limit_s)

    def _expired_after_s(self, lease_s: float) -> float:
        return lease_s * (1 + 2 * CLOCK_DRIFT) + self.slack_s


class WorkerEvents(ABC):
    """Interface through which a worker's driver reports to the owner."""

    @abstractmethod
    def may_send_commands(self) -> bool:
        """Whether the owner may poll, stop and pace runs at this moment."""

    @abstractmethod
    def may_start_runs(self) -> bool:
        """Whether no other instance owns the partition until a start has been sent.

        A fencing token alone does not protect a worker that was restarted, since it
        has not seen a later owner's token.
        """

    @abstractmethod
    def handle_run_report(
        self, worker: Worker, report: RunReport, sent_s: float
    ) -> Deferred:
        """Process a run report.

        :param sent_s: time at which the poll was sent.
        :returns: fires with whether the ends in the report are durable.
        """

    @abstractmethod
    def handle_start_answer(self, command: StartRun, answer: StartAnswer) -> None:
        """Process a worker's answer to a start command."""

    @abstractmethod
    def record_unanswered_start(self, command: StartRun, sent_s: float) -> None:
        """Record that an attempt at a start has no answer; it may be delayed.

        :param sent_s: time at which it was sent.
        """

    @abstractmethod
    def handle_unanswered_start(self, command: StartRun) -> None:
        """Handle a start command that is not repeated any more without an answer."""

    @abstractmethod
    def handle_stop_answer(self, command: StopRun) -> None:
        """Record that a worker has confirmed a stop command."""

    @abstractmethod
    def handle_unreachable(self, worker: Worker) -> None:
        """Record that a worker does not answer."""

    @abstractmethod
    def handle_worker_replaced(self, worker: Worker, incarnation: int | None) -> None:
        """Record that another process has replaced a worker's process.

        :param incarnation: see :class:`WorkerReplacedError`.
        """

    @abstractmethod
    def record_lease(self, worker: Worker, lease_end_s: float) -> None:
        """Record until when a worker's runs may continue without another renewal."""

    @abstractmethod
    def handle_superseded(self, reason: str) -> None:
        """Give up the ownership because a later owner exists."""

    @abstractmethod
    def has_run(self, worker: Worker, task: TaskKey, number: int) -> bool:
        """Whether the owner still has a record of a run."""


class WorkerDriver:
    """Communicates with one incarnation (one process) of a worker.

    :param poll_limiter: limits the polls of all drivers of the owner.
    :param fence: fencing token for the calls to the worker.
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
        poll_limiter: PollLimiter,
        fence: WorkerFence,
    ):
        self._reactor = reactor
        self.worker = worker
        self._connection = connection
        self._clock = clock
        self._metrics = metrics
        self._terms = terms
        self._events = events
        self._poll_limiter = poll_limiter
        self._fence = fence
        self._clock_offset_ms: float | None = None
        self._clock_read_s = 0.0
        self._last_end = 0
        # The newest list that was passed on, by the worker's clock and the time of the
        # request, and the time at which that was.
        self._newest_list = (0, float("-inf"))
        self._passed_on_s = float("-inf")
        self._answered_s = float("-inf")
        # Time at which the newest start without an answer was sent.
        self._unanswered_start_s = float("-inf")
        self._reachable = True
        # Time at which the worker did not answer for the first time since.
        self._lost_s = float("-inf")
        self._closed = False
        self._fault_logged = False

    def run(self) -> None:
        """Start polling the worker's run reports."""
        self._spawn(self._poll_forever())

    def _spawn(self, coroutine: Coroutine) -> None:
        run_in_background(
            coroutine,
            logger=logger,
            event="worker_driver_failed",
            on_failure=lambda: self._events.handle_superseded("driver_failed"),
            worker=self.worker.worker_id,
        )

    @contextmanager
    def _closing_if_replaced(self) -> Iterator[None]:
        """Stop the driver if the worker was restarted or obeys a later owner."""
        try:
            yield
        except WorkerReplacedError as error:
            self._handle_replaced(error)
        except StaleOwnerError:
            self._events.handle_superseded("fence_at_worker")

    async def _call(self, make_call: Callable[[int], Awaitable[Answer]]) -> Answer:
        """Make a call to the worker; a fault in it counts as no answer.

        A fault that ended the ownership would meet each successor as well.

        :param make_call: makes the call with the given fencing token.
        """
        fence = self._fence.value
        try:
            return await make_call(fence)
        except (WorkerUnavailableError, WorkerReplacedError):
            raise
        except StaleOwnerError as error:
            if not self._closed and fence == self._fence.value:
                raise
            raise CallOvertakenError(error.message) from error
        except Exception as error:
            self._metrics.count("workers.call_failed")
            if not self._fault_logged:
                self._fault_logged = True
                log_event(
                    logger,
                    "worker_call_failed",
                    level=logging.ERROR,
                    worker=self.worker.worker_id,
                    error=f"{type(error).__name__}: {error}",
                    traceback=traceback.format_exc(),
                )
            raise WorkerUnavailableError(
                f"call to worker {self.worker.worker_id} failed: {error}"
            ) from error

    @property
    def closed(self) -> bool:
        """Whether the driver has stopped sending commands."""
        return self._closed

    def close(self) -> None:
        """Stop sending commands and polls."""
        if not self._closed:
            self._closed = True
            self._spawn(self._connection.close())

    # Polls.

    async def _poll_forever(self) -> None:
        wait_s = 0.0
        while not self._closed:
            if not self._events.may_send_commands():
                await self._sleep(STALLED_PAUSE_S)
                continue
            if wait_s:
                report = await self._poll_once(wait_s)
            else:
                report = await self._poll_limiter.run(self._poll_now)
            if self._closed:
                return
            if report is None:
                await self._sleep(self._retry_pause_s())
                wait_s = 0.0
                continue
            if self._is_overtaken(report):
                wait_s = 0.0
                continue
            wait_s = self._poll_limiter.wait_s
            if not await self._finish_poll(report):
                wait_s = 0.0
                await self._sleep(STALLED_PAUSE_S)

    def _retry_pause_s(self) -> float:
        """Return the pause after a poll without an answer, in seconds."""
        if not self._start_in_doubt:
            return RETRY_PAUSE_S
        now_s = self._clock.monotonic_s()
        wanted_s = max(MIN_RETRY_PAUSE_S, (now_s - self._lost_s) * DOUBT_PAUSE_SHARE)
        return self._poll_limiter.hurried_pause_s(
            wanted_s, usual_s=RETRY_PAUSE_S, now_s=now_s
        )

    @property
    def _start_in_doubt(self) -> bool:
        """Whether a start without an answer may still be carried out."""
        age_s = self._clock.monotonic_s() - self._unanswered_start_s
        return age_s <= START_DELAY_LIMIT_S

    async def _poll_now(self) -> "tuple[RunReport, float] | None":
        """Poll without waiting, unless commands are no longer permitted."""
        if self._closed or not self._events.may_send_commands():
            return None
        return await self._poll_once(0.0)

    async def _poll_once(self, wait_s: float) -> "tuple[RunReport, float] | None":
        sent_s = self._clock.monotonic_s()
        until_ms, last_end = None, 0
        if self._reachable and sent_s - self._answered_s < POLL_GAP_LIMIT_S:
            until_ms, last_end = self._lease_until_ms(sent_s), self._last_end
        # Otherwise the worker may have been restarted, and would forget ends of its
        # new process. Nor is its lease renewed: each renewal may have arrived, and
        # would extend the lease again and again.
        if until_ms is not None:
            self._events.record_lease(self.worker, self._terms.end_s(sent_s))
        self._metrics.count("workers.listings")
        report = None
        with self._closing_if_replaced():
            try:
                report = await self._call(
                    lambda fence: self._connection.poll_runs(
                        fence=fence,
                        last_end=last_end,
                        lease_until_ms=until_ms,
                        wait_s=wait_s,
                    )
                )
            except CallOvertakenError:
                return None
            except WorkerUnavailableError as error:
                if not self._closed:
                    self._handle_no_answer(error, sent_s)
        if report is None:
            return None
        self._answered_s = self._clock.monotonic_s()
        self._record_clock(report.clock_ms)
        if not self._reachable:
            self._reachable = True
            log_event(logger, "worker_regained", worker=self.worker.worker_id)
        return report, sent_s

    def _is_overtaken(self, result: "tuple[RunReport, float]") -> bool:
        """Whether a newer list was passed on while this one was requested.

        Runs that have ended since would seem to be there. Its ends are not acknowledged
        and come again. A waiting poll is answered late, so that the worker's clock, not
        the time of the request, tells which list is newer.
        """
        report, sent_s = result
        known_ms, known_sent_s = self._newest_list
        if sent_s > self._passed_on_s:
            return False
        if not report.clock_ms or report.clock_ms == known_ms:
            return sent_s < known_sent_s
        return report.clock_ms < known_ms

    async def _finish_poll(self, result: "tuple[RunReport, float]") -> bool:
        """Pass on a run report and wait until its ends are durable.

        :returns: whether the ends are durable.
        """
        report, sent_s = result
        self._newest_list = (report.clock_ms, sent_s)
        self._passed_on_s = self._clock.monotonic_s()
        durable = self._events.handle_run_report(self.worker, report, sent_s)
        if not report.ended:
            return True
        durable.addTimeout(STALLED_PAUSE_S, self._reactor, lambda *_: False)
        if not await durable:
            return False
        self._last_end = max(self._last_end, report.last_end)
        return True

    def _handle_no_answer(self, error: WorkerUnavailableError, sent_s: float) -> None:
        if self._reachable:
            self._reachable = False
            self._lost_s = self._clock.monotonic_s()
            log_event(
                logger,
                "worker_lost",
                worker=self.worker.worker_id,
                reason=error.message,
                sent_age_s=self._clock.monotonic_s() - sent_s,
                start_in_doubt=self._start_in_doubt,
            )
        self._events.handle_unreachable(self.worker)

    def _handle_replaced(self, error: WorkerReplacedError) -> None:
        log_event(
            logger,
            "worker_replaced",
            worker=self.worker.worker_id,
            incarnation=self.worker.incarnation,
            next_incarnation=error.incarnation or 0,
            same_identifier=error.incarnation is not None,
            start_in_doubt=self._start_in_doubt,
            silent_s=self._clock.monotonic_s() - self._answered_s,
        )
        self.close()
        self._events.handle_worker_replaced(self.worker, error.incarnation)

    # The worker's clock.

    def _record_clock(self, clock_ms: int) -> None:
        if clock_ms:
            self._clock_read_s = self._clock.monotonic_s()
            self._clock_offset_ms = clock_ms

    def _lease_until_ms(self, now_s: float) -> int | None:
        """Return the end of a new lease on the worker's clock, ``None`` if unknown.

        The estimate assumes the slowest worker clock that the drift allows.
        """
        if self._clock_offset_ms is None:
            return None
        elapsed_ms = (now_s - self._clock_read_s) * 1000
        return int(
            self._clock_offset_ms
            + elapsed_ms * (1 - CLOCK_DRIFT)
            + self._terms.lease_s * 1000
        )

    # Commands.

    def start(self, command: StartRun) -> None:
        """Send a start command, and repeat it until it is answered.

        It is held back while the ownership is in doubt.
        """
        self._spawn(self._start(command))

    async def _start(self, command: StartRun) -> None:
        first_sent_s = self._clock.monotonic_s()
        attempt = 0
        while attempt < MAX_START_ATTEMPTS:
            if self._closed or not self._is_wanted(command):
                return
            if not self._events.may_start_runs():
                await self._sleep(START_PAUSE_S)
                continue
            if attempt:
                self._log_repetition(command, attempt, first_sent_s)
            try:
                answer = await self._start_once(command)
            except CallOvertakenError:
                continue
            if answer is not None:
                if not self._closed:
                    answer = msgspec.structs.replace(answer, repeated=attempt > 0)
                    self._events.handle_start_answer(command, answer)
                    if answer.started and command.alone:
                        await self._poll_survival(command)
                return
            attempt += 1
        if not self._closed:
            self._metrics.count("workers.start_unanswered")
            self._events.handle_unanswered_start(command)

    async def _poll_survival(self, command: StartRun) -> None:
        """Request a report beside the waiting poll, which returns too late."""
        await self._sleep(SURVIVAL_POLL_S)
        if not self._closed and self._is_wanted(command):
            await self._poll_beside()

    def request_report(self) -> None:
        """Request a report at once, beside the waiting poll."""
        if not self._closed:
            self._spawn(self._poll_beside())

    async def _poll_beside(self) -> None:
        report = await self._poll_limiter.run(self._poll_now)
        if report is None or self._closed or self._is_overtaken(report):
            return
        await self._finish_poll(report)

    def _log_repetition(
        self, command: StartRun, attempt: int, first_sent_s: float
    ) -> None:
        log_event(
            logger,
            "start_repeated",
            job=command.task.job_id,
            task=command.task.position,
            run=command.number,
            worker=command.worker_id,
            attempt=attempt + 1,
            first_sent_age_s=self._clock.monotonic_s() - first_sent_s,
            fence=self._fence.value,
        )

    async def _start_once(self, command: StartRun) -> StartAnswer | None:
        sent_s = self._clock.monotonic_s()
        until_ms = self._lease_until_ms(sent_s)
        if until_ms is None:
            return StartAnswer(started=False, reason="clock_unknown")
        self._events.record_lease(self.worker, self._terms.end_s(sent_s))
        self._metrics.count("workers.starts")
        answer = None
        with self._closing_if_replaced():
            try:
                answer, clock_ms = await self._call(
                    lambda fence: self._connection.start(
                        command.task,
                        command.number,
                        payload=command.payload,
                        lease_until_ms=until_ms,
                        fence=fence,
                        ticket=command.ticket,
                        checkpoint=command.checkpoint,
                    )
                )
            except CallOvertakenError:
                raise
            except WorkerUnavailableError:
                if not self._closed:
                    self._unanswered_start_s = sent_s
                    # The next call of any kind prevents it, whichever process answers.
                    self._fence.advance()
                    self._events.record_unanswered_start(command, sent_s)
                return None
        if answer is None:
            return None
        self._record_clock(clock_ms)
        answer = msgspec.structs.replace(answer, clock_ms=clock_ms)
        self._metrics.timing_ms(
            "workers.start", (self._clock.monotonic_s() - sent_s) * 1000
        )
        return answer

    def _is_wanted(self, command: StartRun | StopRun) -> bool:
        return self._events.has_run(self.worker, command.task, command.number)

    def stop(self, command: StopRun) -> None:
        """Send a stop command, and repeat it until the run has ended."""
        self._spawn(self._stop(command))

    async def _stop(self, command: StopRun) -> None:
        while not self._closed and self._is_wanted(command):
            if self._events.may_send_commands():
                with self._closing_if_replaced():
                    await self._stop_once(command)
            await self._sleep(STOP_RETRY_S)

    async def _stop_once(self, command: StopRun) -> None:
        try:
            await self._call(
                lambda fence: self._connection.stop(
                    command.task, command.number, fence=fence
                )
            )
            if not self._closed:
                self._events.handle_stop_answer(command)
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
        """Limit a run's speed; the controller repeats a command that is lost."""
        self._spawn(self._set_speed(task, number, percent))

    async def _set_speed(self, task: TaskKey, number: int, percent: int) -> None:
        if self._closed or not self._events.may_send_commands():
            return
        with self._closing_if_replaced():
            try:
                await self._call(
                    lambda fence: self._connection.set_speed(
                        task, number, percent=percent, fence=fence
                    )
                )
            except WorkerUnavailableError:
                self._metrics.count("workers.pace_unanswered")

    async def _sleep(self, interval_s: float) -> None:
        await deferLater(self._reactor, interval_s)
