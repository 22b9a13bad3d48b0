"""Sessions: open requests of callers connected to this entry instance."""

from dataclasses import dataclass, field

from ..common import CustomerId, Epoch, KindId, PartitionId, RequestId
from ..listener import BodySource, CallerAnswer
from ..peers import HeldAttempt, RequestDescription

__all__ = ["Caller", "RequestSession", "SessionTable"]


@dataclass(slots=True)
class Caller:
    """A connected caller of a request.

    :param small_body: the body if it is small enough to be buffered.
    :param body_sent: whether a larger body has been consumed.
    """

    body: BodySource
    answer: CallerAnswer
    small_body: bytes | None
    body_sent: bool = False

    @property
    def can_send_body(self) -> bool:
        """Whether the body can be sent to an upstream now."""
        available = self.body.replayable or not self.body_sent
        return available and self.answer.retryable


@dataclass(slots=True)
class RequestSession:
    """An open request, from its arrival to its final answer.

    :param deadline_s: monotonic time, in seconds.
    :param min_epoch: grants of lower epochs are rejected.
    :param resubmitted: whether the caller has sent the identifier before.
    :param granted_before: whether an attempt was started that may have run.
    :param granted_epoch: epoch of the latest grant of such an attempt.
    :param last_contact_s: monotonic time of the home's last message, in seconds.
    :param submitted_s: monotonic time of the last submission to the home, in seconds.
    :param held_attempt: the attempt in flight.
    """

    request_id: RequestId
    customer_id: CustomerId
    kind_id: KindId
    partition_id: PartitionId
    deadline_s: float
    repeatable: bool
    body_digest: str
    body_bytes: int
    last_contact_s: float
    callers: list[Caller] = field(default_factory=list)
    min_epoch: Epoch = Epoch(0)
    submitted_s: float = 0.0
    granted_before: bool = False
    granted_epoch: Epoch = Epoch(0)
    resubmitted: bool = False
    held_attempt: HeldAttempt | None = None

    def describe(self, now_s: float) -> RequestDescription:
        """Return the description of the request that is sent to its home."""
        remaining_ms = max(0, round((self.deadline_s - now_s) * 1000))
        return RequestDescription(
            request_id=self.request_id,
            customer_id=self.customer_id,
            kind_id=self.kind_id,
            remaining_ms=remaining_ms,
            repeatable=self.repeatable,
            body_digest=self.body_digest,
            body_bytes=self.body_bytes,
            resubmitted=self.resubmitted,
        )

    def caller_with_body(self) -> Caller | None:
        """Return the latest caller whose body can be sent, or ``None``."""
        for caller in reversed(self.callers):
            if caller.can_send_body:
                return caller
        return None


class SessionTable:
    """Open sessions by request identifier."""

    def __init__(self) -> None:
        self._sessions_by_id: dict[RequestId, RequestSession] = {}

    def __len__(self) -> int:
        return len(self._sessions_by_id)

    def get(self, request_id: RequestId) -> RequestSession | None:
        """Return an open session, or ``None``."""
        return self._sessions_by_id.get(request_id)

    def add(self, session: RequestSession) -> None:
        """Add a session."""
        self._sessions_by_id[session.request_id] = session

    def remove(self, request_id: RequestId) -> RequestSession | None:
        """Remove and return a session, or ``None`` if it is not open."""
        return self._sessions_by_id.pop(request_id, None)

    def all(self) -> list[RequestSession]:
        """Return all open sessions."""
        return list(self._sessions_by_id.values())

    def of_partition(self, partition_id: PartitionId) -> list[RequestSession]:
        """Return the sessions whose home is the partition."""
        return [s for s in self.all() if s.partition_id == partition_id]
