"""Requests whose callers are connected to this entry instance."""

from dataclasses import dataclass, field

from ..common import CustomerId, Epoch, KindId, PartitionId, RequestId
from ..listener import BodySource, CallerAnswer
from ..peers import HeldAttempt, RequestDescription

__all__ = ["Caller", "RequestSession", "SessionTable"]


@dataclass(slots=True)
class Caller:
    """One caller's connection.

    :param body_sent: whether a body too large to be kept has been consumed.
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
    """A request from its arrival to its final answer.

    :param deadline_s: monotonic time, in seconds.
    :param floor_epoch: grants of lower epochs are rejected.
    :param resubmitted: whether the caller has sent the identifier before.
    :param granted_before: whether an attempt was started for it.
    :param heard_s: monotonic time of the home's last message.
    :param submitted_s: monotonic time of the last message to the home.
    """

    request_id: RequestId
    customer_id: CustomerId
    kind_id: KindId
    partition_id: PartitionId
    deadline_s: float
    repeatable: bool
    body_digest: str
    body_bytes: int
    heard_s: float
    callers: list[Caller] = field(default_factory=list)
    floor_epoch: Epoch = Epoch(0)
    submitted_s: float = 0.0
    granted_before: bool = False
    resubmitted: bool = False
    held: HeldAttempt | None = None

    def describe(self, now_s: float) -> RequestDescription:
        """Return the request as it travels to its home."""
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
        """Return a caller whose body can be sent, the latest one first."""
        for caller in reversed(self.callers):
            if caller.can_send_body:
                return caller
        return None


class SessionTable:
    """Open sessions by request identifier and by partition."""

    def __init__(self) -> None:
        self._sessions_by_id: dict[RequestId, RequestSession] = {}

    def __len__(self) -> int:
        return len(self._sessions_by_id)

    def get(self, request_id: RequestId) -> RequestSession | None:
        """Return an open session."""
        return self._sessions_by_id.get(request_id)

    def add(self, session: RequestSession) -> None:
        """Add a session."""
        self._sessions_by_id[session.request_id] = session

    def remove(self, request_id: RequestId) -> RequestSession | None:
        """Remove and return a session."""
        return self._sessions_by_id.pop(request_id, None)

    def all(self) -> list[RequestSession]:
        """Return all open sessions."""
        return list(self._sessions_by_id.values())

    def of_partition(self, partition_id: PartitionId) -> list[RequestSession]:
        """Return the sessions whose home is a partition."""
        return [s for s in self.all() if s.partition_id == partition_id]
