"""Runs attempts on upstreams."""

import logging
from dataclasses import dataclass

from ..backends import AnswerSink, AttemptOrder, AttemptState, UpstreamClient
from ..common import (
    Clock,
    DeadlineExpiredError,
    Metrics,
    Outcome,
    PistachioliftError,
    UpstreamUnreachableError,
    log_event,
)
from ..peers import AttemptEnd, StoredAnswer
from .session import Caller

__all__ = ["STORED_ANSWER_LIMIT_BYTES", "AttemptOutcome", "Dispatcher"]

logger = logging.getLogger(__name__)

STORED_ANSWER_LIMIT_BYTES = 16 * 1024


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """The result of an attempt.

    :param run_s: time from the start of the attempt to the end of its answer, in
        seconds.
    :param answer: the answer if it is small enough to be stored.
    """

    end: AttemptEnd
    run_s: float
    answer: StoredAnswer | None = None


class _DetachedTransport:
    """Keeps the upstream's answer going when the caller disconnects."""

    def __init__(self, transport):
        self._transport = transport

    def pauseProducing(self) -> None:  # noqa: N802
        self._transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        self._transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        # The rest of the answer is read and discarded, because the outcome of the
        # request must be known even if no caller awaits it.
        self._transport.resumeProducing()


class _AttemptSink(AnswerSink):
    """Passes an answer to the caller until it disconnects, and stores a small one."""

    def __init__(self, caller: Caller):
        self._caller = caller
        self._sink = caller.answer.attempt_sink()
        self.status = 0
        self._content_type = ""
        self._buffer = bytearray()
        self._received_bytes = 0

    def write_head(
        self, status: int, headers: dict[str, str], length: int | None
    ) -> None:
        self.status = status
        self._content_type = headers.get("content-type", "")
        if not self._caller.answer.ended:
            self._sink.write_head(status, headers, length)

    def write(self, data: bytes) -> None:
        self._received_bytes += len(data)
        if self._received_bytes <= STORED_ANSWER_LIMIT_BYTES:
            self._buffer += data
        if not self._caller.answer.ended:
            self._sink.write(data)

    def attach_transport(self, transport: object) -> None:
        self._sink.attach_transport(_DetachedTransport(transport))

    def stored_answer(self) -> StoredAnswer | None:
        """Return the answer if it is small enough to be stored."""
        if self._received_bytes > STORED_ANSWER_LIMIT_BYTES:
            return None
        return StoredAnswer(self.status, self._content_type, bytes(self._buffer))


class Dispatcher:
    """Sends requests to upstreams and passes the answers to callers."""

    def __init__(self, upstreams: UpstreamClient, *, clock: Clock, metrics: Metrics):
        self._upstreams = upstreams
        self._clock = clock
        self._metrics = metrics

    async def run(self, order: AttemptOrder, caller: Caller) -> AttemptOutcome:
        """Run one attempt.

        A successful answer is passed to the caller before this method returns; a
        failed one is not, because another attempt may follow.
        """
        started_s = self._clock.monotonic_s()
        sink = _AttemptSink(caller)
        end = await self._start(order, caller, sink)
        run_s = self._clock.monotonic_s() - started_s
        if end is not AttemptEnd.ANSWERED:
            self._metrics.count(f"attempt.{end.value}")
            return AttemptOutcome(end, run_s)
        caller.answer.commit()
        return AttemptOutcome(end, run_s, sink.stored_answer())

    async def _start(
        self, order: AttemptOrder, caller: Caller, sink: _AttemptSink
    ) -> AttemptEnd:
        # Checked again, because the process may have been paused since the grant.
        if self._clock.wall_s() * 1000 >= order.start_before_ms:
            return AttemptEnd.NOT_STARTED
        try:
            body = caller.small_body
            if body is None:
                caller.body_sent = True
                body = caller.body.as_producer()
            await self._upstreams.start(order, body, sink)
        except DeadlineExpiredError:
            return AttemptEnd.NOT_STARTED
        except UpstreamUnreachableError as error:
            not_sent = error.outcome is Outcome.REFUSED
            return AttemptEnd.UNREACHABLE if not_sent else AttemptEnd.LOST
        except PistachioliftError as error:
            log_event(logger, "attempt_broken", code=error.code.value)
            return AttemptEnd.LOST
        return AttemptEnd.FAILED if sink.status >= 500 else AttemptEnd.ANSWERED

    async def stop(self, order_address: str, attempt_id) -> AttemptState | None:
        """Stop an attempt on its upstream.

        :returns: the attempt's state, or ``None`` if the upstream did not answer.
        """
        try:
            return await self._upstreams.stop(order_address, attempt_id)
        except PistachioliftError as error:
            self._metrics.count(f"retry.stop_attempt.{error.code.value}")
            return None
