"""Requests on an entry instance, from the caller's request to the final answer."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from ..common import (
    Clock,
    CustomerId,
    DeadlineExpiredError,
    ErrorCode,
    IdempotencyMismatchError,
    InstanceId,
    Metrics,
    NoOwnerError,
    Outcome,
    PartitionId,
    PistachioliftError,
    RequestId,
    error_from_code,
)
from ..home import PartitionMap
from ..peers import (
    AttemptEndedAck,
    AttemptGranted,
    NotOwner,
    PartitionState,
    PeerMessage,
    RecoverPartition,
    RequestAccepted,
    RequestEnded,
    StopAttempt,
    SubmitRequest,
)
from .attempts import AttemptRunner
from .cancellations import Cancellations
from .dispatcher import AttemptOutcome, Dispatcher
from .finished import FinishedRequests, send_stored_answer
from .reports import ReportOutbox
from .session import Caller, RequestSession, SessionTable

__all__ = ["RequestService"]

SWEEP_INTERVAL_S = 0.25
# A request is resubmitted if its home has sent nothing for this time.
RESUBMIT_INTERVAL_S = 1.0
# Time for the home's own answer to arrive after the deadline, before this instance
# answers in its place.
DEADLINE_GRACE_S = 0.5
# Longer than a takeover. A home that is silent for longer is not expected to recover
# soon, for example because its owner died while the store was down.
HOME_SILENCE_LIMIT_S = 6.0
NO_OWNER_RETRY_AFTER_S = 5.0


class RequestService:
    """Submits requests to their homes, runs granted attempts and answers callers.

    :param send: sends a message to an instance.
    :param dedup_window_s: returns the deduplication window, in seconds.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        *,
        clock: Clock,
        self_id: InstanceId,
        partition_map: PartitionMap,
        dispatcher: Dispatcher,
        metrics: Metrics,
        send: Callable[[InstanceId, PeerMessage], bool],
        dedup_window_s: Callable[[], float],
    ):
        self._clock = clock
        self._self_id = self_id
        self._map = partition_map
        self._metrics = metrics
        self._send = send
        self.sessions = SessionTable()
        self._finished = FinishedRequests(clock=clock, window_s=dedup_window_s)
        self._reports = ReportOutbox(
            clock=clock, partition_map=partition_map, metrics=metrics, send=send
        )
        self._cancellations = Cancellations(
            clock=clock, self_id=self_id, partition_map=partition_map, send=send
        )
        self._attempts = AttemptRunner(
            clock=clock,
            self_id=self_id,
            sessions=self.sessions,
            dispatcher=dispatcher,
            reports=self._reports,
            metrics=metrics,
            on_answered=self._handle_answer,
        )
        self._sweeping = LoopingCall(self._sweep)
        self._sweeping.clock = reactor
        self._last_sweep_s = 0.0

    def __enter__(self) -> "RequestService":
        self._last_sweep_s = self._clock.monotonic_s()
        self._sweeping.start(SWEEP_INTERVAL_S, now=False)
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self._sweeping.running:
            self._sweeping.stop()

    @property
    def is_idle(self) -> bool:
        """Whether no request is open and all reports are acknowledged."""
        return len(self.sessions) == 0 and len(self._reports) == 0

    # Callers

    def submit(self, session: RequestSession, caller: Caller) -> None:
        """Submit a caller's request, or join the open one with the same identifier.

        :raises IdempotencyMismatchError: if the open request has another body or
            kind.
        """
        open_session = self.sessions.get(session.request_id)
        if open_session is not None:
            self._join(open_session, session, caller)
            return
        session.callers.append(caller)
        self.sessions.add(session)
        self._submit_to_home(session)

    def _join(
        self, open_session: RequestSession, session: RequestSession, caller: Caller
    ) -> None:
        same_kind = open_session.kind_id == session.kind_id
        if not same_kind or open_session.body_digest != session.body_digest:
            raise IdempotencyMismatchError(
                f"identifier {session.request_id} was used with another body or kind"
            )
        self._metrics.count("request.duplicate_at_entry")
        open_session.callers.append(caller)

    def _submit_to_home(self, session: RequestSession) -> None:
        ownership = self._map.ownership(session.partition_id)
        session.submitted_s = self._clock.monotonic_s()
        if ownership is None or not ownership.owner:
            self._metrics.count("retry.submit.no_owner")
            return
        session.min_epoch = max(session.min_epoch, ownership.epoch)
        message = SubmitRequest(
            sender=self._self_id,
            partition_id=session.partition_id,
            request=session.describe(self._clock.monotonic_s()),
            held_attempt=session.held_attempt,
            granted_before=session.granted_before,
        )
        self._send(ownership.owner, message)

    def cancel(
        self,
        request_id: RequestId,
        partition_id: PartitionId,
        customer_id: CustomerId,
        on_result: Callable[[PistachioliftError], None],
    ) -> None:
        """Cancel a request; see :meth:`Cancellations.start`."""
        self._cancellations.start(request_id, partition_id, customer_id, on_result)

    # Messages

    def handle(self, message: PeerMessage) -> bool:
        """Handle a message that concerns the requests of this entry instance.

        :returns: whether the message was handled.
        """
        match message:
            case RequestAccepted():
                self._record_contact(message.request_id)
            case AttemptGranted():
                self._attempts.handle_grant(message)
            case AttemptEndedAck():
                self._reports.acknowledge(message.attempt_id)
            case RequestEnded():
                self._handle_request_ended(message)
            case StopAttempt():
                self._attempts.stop(message)
            case NotOwner():
                self._redirect(message)
            case RecoverPartition():
                self._report_partition_state(message)
            case _:
                return False
        return True

    def _record_contact(self, request_id: RequestId) -> None:
        session = self.sessions.get(request_id)
        if session is not None:
            session.last_contact_s = self._clock.monotonic_s()

    def _redirect(self, message: NotOwner) -> None:
        self._metrics.count("retry.submit.not_owner")
        if not message.owner:
            return
        if self._map.record_owner(message.partition_id, message.owner, message.epoch):
            self.owner_changed(message.partition_id)

    def owner_changed(self, partition_id: PartitionId) -> None:
        """Resubmit the open requests and reports of a partition to its new owner."""
        for session in self.sessions.of_partition(partition_id):
            self._submit_to_home(session)
        self._reports.owner_changed(partition_id)

    def _report_partition_state(self, question: RecoverPartition) -> None:
        partition_id = question.partition_id
        self._attempts.reject_epochs_below(partition_id, question.epoch)
        self._map.record_owner(partition_id, question.sender, question.epoch)
        sessions = self.sessions.of_partition(partition_id)
        self._send(
            question.sender,
            PartitionState(
                sender=self._self_id,
                partition_id=partition_id,
                epoch=question.epoch,
                held=[s.held_attempt for s in sessions if s.held_attempt is not None],
                finished=self._finished.of_partition(partition_id),
            ),
        )

    # Ends

    def _handle_answer(
        self, session: RequestSession, caller: Caller, outcome: AttemptOutcome
    ) -> None:
        self.sessions.remove(session.request_id)
        self._finished.add(session)
        for other in session.callers:
            if other is not caller:
                send_stored_answer(other, outcome.answer)

    def _handle_request_ended(self, message: RequestEnded) -> None:
        error = _error_from_message(message)
        session = self.sessions.get(message.request_id)
        if session is not None and self._is_unaware_of_attempt(session):
            error.outcome = _without_knowledge_of_runs(error.outcome)
        self._cancellations.complete(message.request_id, error)
        if session is None or session.held_attempt is not None:
            return
        self.sessions.remove(message.request_id)
        for caller in session.callers:
            if message.code:
                caller.answer.fail(error)
            else:
                send_stored_answer(caller, message.answer)

    def _is_unaware_of_attempt(self, session: RequestSession) -> bool:
        """Whether the home may not know an attempt that an earlier owner granted."""
        ownership = self._map.ownership(session.partition_id)
        return (
            session.granted_before
            and ownership is not None
            and ownership.epoch > session.granted_epoch
        )

    # Time

    def _sweep(self) -> None:
        now_s = self._clock.monotonic_s()
        # Messages that arrived while this process was paused are yet to be received,
        # so the pause does not count as silence of the homes.
        paused_s = max(0.0, now_s - self._last_sweep_s - SWEEP_INTERVAL_S)
        self._last_sweep_s = now_s
        for session in self.sessions.all():
            session.last_contact_s = min(now_s, session.last_contact_s + paused_s)
            if session.held_attempt is None:
                self._check_session(session, now_s)
        self._reports.resend_due()
        self._cancellations.resend()

    def _check_session(self, session: RequestSession, now_s: float) -> None:
        silence_s = now_s - session.last_contact_s
        if now_s > session.deadline_s + DEADLINE_GRACE_S:
            error = DeadlineExpiredError("the home gave no answer before the deadline")
            self._give_up(session, error)
        elif silence_s > HOME_SILENCE_LIMIT_S:
            error = NoOwnerError(
                f"partition {session.partition_id} has no reachable owner",
                retry_after_s=NO_OWNER_RETRY_AFTER_S,
            )
            self._give_up(session, error)
        elif now_s - session.submitted_s > RESUBMIT_INTERVAL_S:
            self._metrics.count("retry.submit.silence")
            self._submit_to_home(session)

    def _give_up(self, session: RequestSession, error: PistachioliftError) -> None:
        """Remove a session and answer its callers without the home.

        Once the session is removed, this instance rejects all grants for it. A first
        submission has therefore not run unless an attempt was started here. Only the
        home knows whether an earlier submission of the same identifier has run, so the
        outcome of a resubmission is unknown.
        """
        self.sessions.remove(session.request_id)
        if session.granted_before or session.resubmitted:
            error.outcome = Outcome.UNKNOWN
        self._metrics.count(f"refusal.{error.code.value}")
        for caller in session.callers:
            caller.answer.fail(error)


def _without_knowledge_of_runs(outcome: Outcome) -> Outcome:
    """Return the outcome that holds whether or not the request has run."""
    if outcome is Outcome.CANCELLED_NOT_RUN:
        return Outcome.CANCELLED_MAY_HAVE_RUN
    return Outcome.UNKNOWN if outcome.certainly_not_run else outcome


def _error_from_message(message: RequestEnded) -> PistachioliftError:
    code = ErrorCode(message.code) if message.code else ErrorCode.ALREADY_DONE
    retry_after_s = message.retry_after_ms / 1000
    return error_from_code(
        code,
        message.message or "the request has ended",
        outcome=Outcome(message.outcome),
        retry_after_s=retry_after_s if message.retry_after_ms else None,
    )
