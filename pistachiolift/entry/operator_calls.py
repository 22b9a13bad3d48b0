"""Forwards operator calls to the home of their subject."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from ..common import (
    ErrorCode,
    InstanceId,
    NoOwnerError,
    Outcome,
    PartitionId,
    error_from_code,
)
from ..home import PartitionMap
from ..peers import HomeAnswer, HomeCall, HomeCallKind, NotOwner, PeerMessage

__all__ = ["OperatorCalls"]

RESEND_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 10.0


@dataclass(slots=True)
class _PendingCall:
    """A call that awaits its answer."""

    message: HomeCall
    answer: Deferred
    started_s: float
    resend: IDelayedCall | None = None


class OperatorCalls:
    """Forwards calls to homes and resends them until an answer arrives.

    Each resend goes to the current owner. All calls are idempotent, so a resend is
    harmless.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        *,
        self_id: InstanceId,
        partition_map: PartitionMap,
        send: Callable[[InstanceId, PeerMessage], bool],
    ):
        self._reactor = reactor
        self._self_id = self_id
        self._map = partition_map
        self._send = send
        self._call_numbers = itertools.count(1)
        self._pending_by_id: dict[str, _PendingCall] = {}

    async def call(
        self,
        kind: HomeCallKind,
        partition_id: PartitionId,
        subject: str,
        document: bytes = b"",
    ) -> bytes:
        """Call the home of a partition.

        :param subject: identifier of the job, request or partition concerned.
        :returns: the JSON document of the answer.
        :raises NoOwnerError: if no owner answered in time; the call may have been
            carried out.
        :raises PistachioliftError: the error that the home answered.
        """
        message = HomeCall(
            sender=self._self_id,
            partition_id=partition_id,
            call_id=f"{self._self_id}.{next(self._call_numbers)}",
            kind=kind,
            subject=subject,
            document=document,
        )
        pending = _PendingCall(message, Deferred(), self._reactor.seconds())
        self._pending_by_id[message.call_id] = pending
        self._transmit(pending)
        return await pending.answer

    def _transmit(self, pending: _PendingCall) -> None:
        if self._reactor.seconds() - pending.started_s > CALL_TIMEOUT_S:
            self._pending_by_id.pop(pending.message.call_id, None)
            pending.answer.errback(
                NoOwnerError(
                    f"partition {pending.message.partition_id} gave no answer "
                    f"within {CALL_TIMEOUT_S:g} s",
                    outcome=Outcome.UNKNOWN,
                    retry_after_s=5.0,
                )
            )
            return
        ownership = self._map.ownership(pending.message.partition_id)
        if ownership is not None and ownership.owner:
            self._send(ownership.owner, pending.message)
        pending.resend = self._reactor.callLater(
            RESEND_INTERVAL_S, self._transmit, pending
        )

    def handle(self, message: PeerMessage) -> bool:
        """Handle an answer to a call.

        :returns: whether the message concerns an operator call.
        """
        if isinstance(message, NotOwner):
            return message.reference in self._pending_by_id
        if not isinstance(message, HomeAnswer):
            return False
        pending = self._pending_by_id.pop(message.call_id, None)
        if pending is None:
            return True
        if pending.resend is not None and pending.resend.active():
            pending.resend.cancel()
        if not message.code:
            pending.answer.callback(message.document)
            return True
        code = ErrorCode(message.code)
        unknown = code is ErrorCode.OUTCOME_UNKNOWN
        error = error_from_code(
            code,
            message.message,
            outcome=Outcome.UNKNOWN if unknown else Outcome.REFUSED,
            retry_after_s=message.retry_after_ms / 1000 or None,
        )
        pending.answer.errback(error)
        return True
