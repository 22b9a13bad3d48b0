"""Cancellations of requests that await the home's answer."""

from collections.abc import Callable
from dataclasses import dataclass

from ..common import (
    Clock,
    CustomerId,
    InstanceId,
    NoOwnerError,
    Outcome,
    PartitionId,
    PistachioliftError,
    RequestId,
)
from ..home import PartitionMap
from ..peers import CancelRequest, PeerMessage

__all__ = ["Cancellations"]

CANCEL_TIMEOUT_S = 5.0
RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class _Pending:
    """A cancellation whose caller awaits the result."""

    message: CancelRequest
    on_result: Callable[[PistachioliftError], None]
    started_s: float


class Cancellations:
    """Resends cancellations until the home answers or the time-out expires.

    :param send: sends a message to an instance.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        self_id: InstanceId,
        partition_map: PartitionMap,
        send: Callable[[InstanceId, PeerMessage], bool],
    ):
        self._clock = clock
        self._self_id = self_id
        self._map = partition_map
        self._send = send
        self._pending_by_id: dict[RequestId, list[_Pending]] = {}

    def start(
        self,
        request_id: RequestId,
        partition_id: PartitionId,
        customer_id: CustomerId,
        on_result: Callable[[PistachioliftError], None],
    ) -> None:
        """Cancel a request.

        :param on_result: called once with an error that holds the request's outcome.
        """
        message = CancelRequest(
            sender=self._self_id,
            partition_id=partition_id,
            request_id=request_id,
            customer_id=customer_id,
        )
        pending = _Pending(message, on_result, self._clock.monotonic_s())
        self._pending_by_id.setdefault(request_id, []).append(pending)
        self._transmit(pending)

    def complete(self, request_id: RequestId, result: PistachioliftError) -> None:
        """Report the result to all callers that cancel a request."""
        for pending in self._pending_by_id.pop(request_id, []):
            pending.on_result(result)

    def resend(self) -> None:
        """Resend all cancellations, and fail those whose time-out has expired."""
        oldest_s = self._clock.monotonic_s() - CANCEL_TIMEOUT_S
        for request_id, pending_list in list(self._pending_by_id.items()):
            for pending in list(pending_list):
                if pending.started_s < oldest_s:
                    pending_list.remove(pending)
                    pending.on_result(_time_out_error())
                else:
                    self._transmit(pending)
            if not pending_list:
                self._pending_by_id.pop(request_id, None)

    def _transmit(self, pending: _Pending) -> None:
        ownership = self._map.ownership(pending.message.partition_id)
        if ownership is not None and ownership.owner:
            self._send(ownership.owner, pending.message)


def _time_out_error() -> NoOwnerError:
    return NoOwnerError(
        f"the request's home gave no answer within {CANCEL_TIMEOUT_S:g} s",
        outcome=Outcome.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    )
