"""History of ended requests, for deduplication."""

from collections import OrderedDict
from dataclasses import dataclass, replace

from ..common import InstanceId, Outcome, RequestId
from .decisions import RequestResult
from .model import RequestSpec

__all__ = ["EndedRequest", "EndedRequests"]

# Bounds of the memory use; the oldest entries are evicted first.
ANSWER_MEMORY_BYTES = 32 * 1024 * 1024
ENTRY_LIMIT = 200_000

REMEMBERED_OUTCOMES = frozenset(
    {Outcome.DONE, Outcome.UNKNOWN, Outcome.CANCELLED_MAY_HAVE_RUN, Outcome.FAILED}
)


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """A request that has ended.

    :param body_digest: empty if the body is not known; any body then matches.
    :param intent_entry: entry instance named in a durable intent that has no recorded
        outcome, or ``None``.
    """

    request_id: RequestId
    kind_id: str
    body_digest: str
    result: RequestResult
    ended_s: float
    intent_entry: InstanceId | None = None

    def matches(self, spec: RequestSpec) -> bool:
        """Return whether a request with the same identifier has the same content."""
        same_body = self.body_digest in ("", spec.body_digest)
        return same_body and self.kind_id == spec.kind_id


class EndedRequests:
    """Ended requests by identifier, oldest first.

    :param window_s: how long an ended request is kept, in seconds.
    """

    def __init__(self, *, window_s: float):
        self.window_s = window_s
        self._ended_by_id: OrderedDict[RequestId, EndedRequest] = OrderedDict()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._ended_by_id)

    def add(self, ended: EndedRequest) -> None:
        """Add an ended request; replaces an earlier entry for the same identifier."""
        self.discard(ended.request_id)
        self._ended_by_id[ended.request_id] = ended
        self._answer_bytes += self._size(ended)
        while self._over_limit():
            self.discard(next(iter(self._ended_by_id)))

    def _over_limit(self) -> bool:
        too_many = len(self._ended_by_id) > ENTRY_LIMIT
        return too_many or self._answer_bytes > ANSWER_MEMORY_BYTES

    @staticmethod
    def _size(ended: EndedRequest) -> int:
        return len(ended.result.answer.body) if ended.result.answer else 0

    def discard(self, request_id: RequestId) -> None:
        """Remove a request."""
        ended = self._ended_by_id.pop(request_id, None)
        if ended is not None:
            self._answer_bytes -= self._size(ended)

    def find(self, request_id: RequestId, now_s: float) -> EndedRequest | None:
        """Return an ended request, or ``None`` if it is not in the window."""
        self.expire(now_s)
        return self._ended_by_id.get(request_id)

    def expire(self, now_s: float) -> None:
        """Remove requests that ended before the start of the window."""
        oldest_s = now_s - self.window_s
        while self._ended_by_id:
            ended = next(iter(self._ended_by_id.values()))
            if ended.ended_s > oldest_s:
                return
            self.discard(ended.request_id)

    def list_without_answers(self) -> list[EndedRequest]:
        """Return all requests in the history, oldest first, without their answers."""
        return [
            replace(ended, result=replace(ended.result, answer=None))
            for ended in self._ended_by_id.values()
        ]
