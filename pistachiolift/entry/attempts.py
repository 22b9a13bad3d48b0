"""Runs the granted attempts of open sessions."""

import logging
from collections.abc import Callable
from enum import Enum

from twisted.internet.defer import ensureDeferred

from ..backends import AttemptOrder, AttemptState
from ..common import (
    AttemptId,
    Clock,
    Epoch,
    InstanceId,
    Metrics,
    PartitionId,
    log_event,
)
from ..peers import (
    AttemptEnd,
    AttemptEnded,
    AttemptGranted,
    HeldAttempt,
    StopAttempt,
)
from .dispatcher import AttemptOutcome, Dispatcher
from .reports import ReportOutbox
from .session import Caller, RequestSession, SessionTable

__all__ = ["AttemptRunner", "GrantRefusal"]

logger = logging.getLogger(__name__)


class GrantRefusal(Enum):
    """Why a grant is rejected; the values are part of metric names."""

    REPEATED = "repeated"
    NO_SESSION = "no_session"
    STALE_EPOCH = "stale_epoch"
    EXPIRED = "expired"
    ALREADY_RUNNING = "already_running"
    NO_BODY = "no_body"


class AttemptRunner:
    """Validates grants, runs their attempts and reports the results.

    :param on_answered: called when an upstream's answer was passed to a caller.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        self_id: InstanceId,
        sessions: SessionTable,
        dispatcher: Dispatcher,
        reports: ReportOutbox,
        metrics: Metrics,
        on_answered: Callable[[RequestSession, Caller, AttemptOutcome], None],
    ):
        self._clock = clock
        self._self_id = self_id
        self._sessions = sessions
        self._dispatcher = dispatcher
        self._reports = reports
        self._metrics = metrics
        self._on_answered = on_answered
        self._address_by_attempt: dict[AttemptId, str] = {}
        self._min_epoch_by_partition: dict[PartitionId, Epoch] = {}

    def reject_epochs_below(self, partition_id: PartitionId, epoch: Epoch) -> None:
        """Reject grants of a partition with lower epochs from now on."""
        min_epoch = self._min_epoch_by_partition.get(partition_id, Epoch(0))
        self._min_epoch_by_partition[partition_id] = max(min_epoch, epoch)

    def handle_grant(self, grant: AttemptGranted) -> None:
        """Start the attempt of a grant, or report that it was not started."""
        session = self._sessions.get(grant.request_id)
        refusal = self._refusal(session, grant)
        if refusal is None:
            self._start(session, grant)
            return
        self._metrics.count(f"refusal.grant.{refusal.value}")
        # The attempt of a repeated grant is running or has ended, so that it must not
        # be reported as not started.
        is_current = session is not None and (
            session.held_attempt is not None
            and session.held_attempt.attempt_id == grant.attempt_id
        )
        if refusal is not GrantRefusal.REPEATED and not is_current:
            self._report(session, grant, AttemptOutcome(AttemptEnd.NOT_STARTED, 0.0))

    def _refusal(
        self, session: RequestSession | None, grant: AttemptGranted
    ) -> GrantRefusal | None:
        if grant.attempt_id in self._reports:
            return GrantRefusal.REPEATED
        if session is None:
            return GrantRefusal.NO_SESSION
        min_epoch = self._min_epoch_by_partition.get(grant.partition_id, Epoch(0))
        if grant.epoch < max(min_epoch, session.min_epoch):
            return GrantRefusal.STALE_EPOCH
        if self._clock.wall_s() * 1000 >= grant.start_before_ms:
            return GrantRefusal.EXPIRED
        if session.held_attempt is not None:
            return GrantRefusal.ALREADY_RUNNING
        if session.caller_with_body() is None:
            return GrantRefusal.NO_BODY
        return None

    def _start(self, session: RequestSession, grant: AttemptGranted) -> None:
        session.last_contact_s = self._clock.monotonic_s()
        earlier = session.granted_before, session.granted_epoch
        session.granted_before, session.granted_epoch = True, grant.epoch
        session.held_attempt = HeldAttempt(
            session.describe(session.last_contact_s),
            grant.attempt_id,
            grant.upstream_id,
            grant.run_limit_ms,
            grant.address,
        )
        self._address_by_attempt[grant.attempt_id] = grant.address
        ensureDeferred(self._run(session, session.caller_with_body(), grant, earlier))

    async def _run(
        self,
        session: RequestSession,
        caller: Caller,
        grant: AttemptGranted,
        earlier: tuple[bool, Epoch],
    ) -> None:
        """Run the attempt of a grant.

        :param earlier: whether an earlier attempt may have run, and its epoch.
        """
        order = AttemptOrder(
            attempt_id=grant.attempt_id,
            request_id=grant.request_id,
            kind=session.kind_id,
            customer=session.customer_id,
            epoch=grant.epoch,
            address=grant.address,
            start_before_ms=grant.start_before_ms,
            run_limit_ms=grant.run_limit_ms,
        )
        try:
            outcome = await self._dispatcher.run(order, caller)
        except Exception as error:
            # The home must know that the attempt may still be running, whatever the
            # error.
            self._log_failure(grant, error)
            outcome = AttemptOutcome(AttemptEnd.LOST, 0.0)
        self._address_by_attempt.pop(grant.attempt_id, None)
        session.held_attempt = None
        if outcome.end in (AttemptEnd.NOT_STARTED, AttemptEnd.UNREACHABLE):
            session.granted_before, session.granted_epoch = earlier
        if outcome.end is AttemptEnd.ANSWERED:
            self._on_answered(session, caller, outcome)
        self._report(session, grant, outcome)

    def _log_failure(self, grant: AttemptGranted, error: Exception) -> None:
        self._metrics.count("attempt.internal_error")
        log_event(
            logger,
            "attempt_failed_internally",
            level=logging.ERROR,
            attempt=grant.attempt_id,
            error=f"{type(error).__name__}: {error}",
        )

    def _report(
        self,
        session: RequestSession | None,
        grant: AttemptGranted,
        outcome: AttemptOutcome,
    ) -> None:
        body_held = session is not None and session.caller_with_body() is not None
        self._reports.add(
            AttemptEnded(
                sender=self._self_id,
                partition_id=grant.partition_id,
                request_id=grant.request_id,
                attempt_id=grant.attempt_id,
                end=outcome.end,
                run_ms=round(outcome.run_s * 1000),
                body_held=body_held,
                answer=outcome.answer,
            )
        )

    def stop(self, message: StopAttempt) -> None:
        """Stop an attempt; its end is reported like that of any other."""
        address = self._address_by_attempt.get(message.attempt_id)
        if address is not None:
            ensureDeferred(self._stop_at_upstream(address, message.attempt_id))

    async def _stop_at_upstream(self, address: str, attempt_id: AttemptId) -> None:
        state = await self._dispatcher.stop(address, attempt_id)
        if state in (AttemptState.NOT_STARTED, AttemptState.STOPPED):
            self._metrics.count(f"attempt.stopped_at_upstream.{state.value}")
