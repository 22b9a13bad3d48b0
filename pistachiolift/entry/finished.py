"""Recently finished requests of this instance, reported to new owners."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from ..common import Clock, ErrorCode, Outcome, PartitionId, RequestId, error_from_code
from ..peers import FinishedRequest, StoredAnswer
from .session import Caller, RequestSession

__all__ = ["FinishedRequests", "send_stored_answer"]

FINISHED_LIMIT = 50_000
# Keeps the report of an instance below the size limit of a peer message.
REPORTED_LIMIT = 10_000


@dataclass(frozen=True, slots=True)
class _FinishedEntry:
    """A finished request with its home partition and the time of its end."""

    partition_id: PartitionId
    ended_s: float
    request: FinishedRequest


class FinishedRequests:
    """Finished requests within the deduplication window, oldest first.

    :param window_s: returns the length of the window, in seconds.
    """

    def __init__(self, *, clock: Clock, window_s: Callable[[], float]):
        self._clock = clock
        self._window_s = window_s
        self._finished_by_id: OrderedDict[RequestId, _FinishedEntry] = OrderedDict()

    def add(self, session: RequestSession) -> None:
        """Record a finished request; its answer is stored by the home."""
        now_s = self._clock.monotonic_s()
        request = FinishedRequest(session.describe(now_s), Outcome.DONE.value, "", None)
        finished = _FinishedEntry(session.partition_id, now_s, request)
        self._finished_by_id[session.request_id] = finished
        self._finished_by_id.move_to_end(session.request_id)
        self._evict_old(now_s - self._window_s())

    def _evict_old(self, oldest_s: float) -> None:
        while self._finished_by_id:
            request_id, finished = next(iter(self._finished_by_id.items()))
            within_limit = len(self._finished_by_id) <= FINISHED_LIMIT
            if finished.ended_s > oldest_s and within_limit:
                return
            del self._finished_by_id[request_id]

    def of_partition(self, partition_id: PartitionId) -> list[FinishedRequest]:
        """Return the latest finished requests of a partition."""
        finished = [
            each.request
            for each in self._finished_by_id.values()
            if each.partition_id == partition_id
        ]
        return finished[-REPORTED_LIMIT:]


def send_stored_answer(caller: Caller, answer: StoredAnswer | None) -> None:
    """Answer a duplicate request with the stored answer.

    :param answer: ``None`` if the answer was too large to be stored.
    """
    if answer is None:
        error = error_from_code(
            ErrorCode.ALREADY_DONE,
            "the request has ended and its answer is not stored",
            outcome=Outcome.DONE,
        )
        caller.answer.fail(error)
        return
    headers = {"content-type": answer.content_type}
    caller.answer.write_head(answer.status, headers, len(answer.body))
    caller.answer.write(answer.body)
    caller.answer.commit()
