"""Reports of ended attempts, resent until the home acknowledges them."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from ..common import AttemptId, Clock, InstanceId, Metrics, PartitionId
from ..home import PartitionMap
from ..peers import AttemptEnded, PeerMessage

__all__ = ["ReportOutbox"]

RESEND_INTERVAL_S = 0.5
# Far more attempts than can end within a second, for which a grant is valid.
REMEMBERED_ATTEMPTS = 50_000


@dataclass(slots=True)
class _Pending:
    """A report that the home has not acknowledged yet."""

    message: AttemptEnded
    sent_s: float


class ReportOutbox:
    """Stores each report until the current or a new owner acknowledges it.

    :param send: sends a message to an instance.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        partition_map: PartitionMap,
        metrics: Metrics,
        send: Callable[[InstanceId, PeerMessage], bool],
    ):
        self._clock = clock
        self._map = partition_map
        self._metrics = metrics
        self._send = send
        self._pending_by_attempt: dict[AttemptId, _Pending] = {}
        self._reported: OrderedDict[AttemptId, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._pending_by_attempt)

    def __contains__(self, attempt_id: AttemptId) -> bool:
        """Whether an attempt has been reported and must not start any more."""
        return attempt_id in self._reported

    def add(self, message: AttemptEnded) -> None:
        """Store and send a report."""
        self._reported[message.attempt_id] = None
        if len(self._reported) > REMEMBERED_ATTEMPTS:
            self._reported.popitem(last=False)
        pending = _Pending(message, 0.0)
        self._pending_by_attempt[message.attempt_id] = pending
        self._transmit(pending)

    def acknowledge(self, attempt_id: AttemptId) -> None:
        """Drop a report that the home has processed."""
        self._pending_by_attempt.pop(attempt_id, None)

    def owner_changed(self, partition_id: PartitionId) -> None:
        """Send the unacknowledged reports of a partition to its new owner."""
        for pending in list(self._pending_by_attempt.values()):
            if pending.message.partition_id == partition_id:
                self._transmit(pending)

    def resend_due(self) -> None:
        """Resend the reports that were not acknowledged in time."""
        oldest_s = self._clock.monotonic_s() - RESEND_INTERVAL_S
        for pending in list(self._pending_by_attempt.values()):
            if pending.sent_s < oldest_s:
                self._metrics.count("retry.attempt_report")
                self._transmit(pending)

    def _transmit(self, pending: _Pending) -> None:
        pending.sent_s = self._clock.monotonic_s()
        ownership = self._map.ownership(pending.message.partition_id)
        if ownership is not None and ownership.owner:
            self._send(ownership.owner, pending.message)
