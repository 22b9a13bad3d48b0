"""Takes over the attempts that earlier owners granted."""

from ..common import AttemptId, CustomerId, InstanceId, KindId, RequestId, UpstreamId
from .confirmation import Confirmation
from .ended import EndedRequest
from .lifecycle import RequestPhase
from .model import RequestSpec
from .records import AttemptRecord, RequestRecord
from .request_table import RequestTable

__all__ = ["Takeover"]


class Takeover:
    """Restores what is known of earlier owners' requests and attempts."""

    def __init__(self, book: RequestTable, confirmation: Confirmation):
        self._book = book
        self._confirmation = confirmation

    def forget_before(self, now_s: float) -> None:
        """Note that what ended under earlier owners may not be known completely."""
        window_s = self._book.timings.dedup_window_s
        self._book.memory_complete_at_s = now_s + window_s

    def restore_ended(self, ended: EndedRequest) -> None:
        """Remember a request that ended, or may have run, under an earlier owner."""
        if ended.request_id in self._book.requests_by_id:
            return
        known = self._book.ended.find(ended.request_id, ended.ended_s)
        if ended.intent_entry is None or known is None:
            # An intent without an outcome says less than what is known already.
            self._book.ended.add(ended)

    def adopt(
        self,
        spec: RequestSpec,
        attempt_id: AttemptId,
        upstream_id: UpstreamId,
        run_limit_s: float,
        now_s: float,
        *,
        address: str,
    ) -> None:
        """Take over an attempt that an entry instance runs.

        :param address: address of an upstream that may be another partition's.
        """
        book = self._book
        known = book.requests_by_id.get(spec.request_id)
        if known is not None and not known.is_idle:
            if attempt_id not in book.attempts_by_id:
                book.count("attempt.adoption_conflict")
            return
        if known is not None:
            # It waits for a slot although an attempt of it runs already.
            book.queue.remove(spec.request_id)
            known.lifecycle.end()
        book.ended.discard(spec.request_id)
        request = book.open(spec)
        request.intent_durable = not spec.repeatable
        book.pool.adopt(attempt_id, upstream_id, address=address)
        self._hold(request, attempt_id, upstream_id, run_limit_s, now_s)

    def adopt_orphan(
        self,
        request_id: RequestId,
        attempt_id: AttemptId,
        upstream_id: UpstreamId,
        run_limit_s: float,
        now_s: float,
    ) -> None:
        """Hold the slot of an attempt that no entry instance has.

        The request can be repeated unless an intent is known for it. Its attempt is
        confirmed to have ended before another one starts. An attempt of another
        partition, which has borrowed the slot, is left alone.
        """
        book = self._book
        if attempt_id in book.attempts_by_id:
            return
        request = book.requests_by_id.get(request_id)
        borrowed = not attempt_id.startswith(f"{book.partition_id}.")
        if not borrowed and request is not None:
            if request.phase is RequestPhase.QUEUED:
                book.queue.remove(request_id)
                self._hold_and_confirm(
                    request, attempt_id, upstream_id, run_limit_s, now_s
                )
                return
            book.count("attempt.orphan_of_running_request")
        if borrowed or request is not None:
            # Only the slot is held; the request itself goes on elsewhere.
            request_id = RequestId(f"{request_id}#{attempt_id}")
        ended = book.ended.find(request_id, now_s)
        spec = RequestSpec(
            request_id=request_id,
            customer_id=CustomerId(request_id.partition("/")[0]),
            kind_id=KindId(""),
            deadline_s=now_s,
            repeatable=ended is None and not borrowed,
            body_digest="",
            body_bytes=0,
            entry_id=InstanceId(""),
            max_run_s=run_limit_s,
        )
        request = book.open(spec, waiting=False)
        request.announced = ended is not None or borrowed
        self._hold_and_confirm(request, attempt_id, upstream_id, run_limit_s, now_s)

    def _hold_and_confirm(
        self,
        request: RequestRecord,
        attempt_id: AttemptId,
        upstream_id: UpstreamId,
        run_limit_s: float,
        now_s: float,
    ) -> None:
        attempt = self._hold(request, attempt_id, upstream_id, run_limit_s, now_s)
        request.orphaned = True
        self._confirmation.confirm(request, attempt, now_s)

    def _hold(
        self,
        request: RequestRecord,
        attempt_id: AttemptId,
        upstream_id: UpstreamId,
        run_limit_s: float,
        now_s: float,
    ) -> AttemptRecord:
        book = self._book
        attempt = AttemptRecord(
            attempt_id=attempt_id,
            request=request,
            upstream_id=upstream_id,
            entry_id=request.spec.entry_id,
            urgency=book.urgency(request.spec),
            granted_s=now_s,
            start_before_s=now_s,
            run_limit_s=run_limit_s,
        )
        book.pool.adopt(attempt_id, upstream_id)
        book.hold_slot(attempt)
        request.attempts_started = 1
        request.lifecycle.grant()
        self._confirmation.watch_run_limit(attempt)
        book.count("attempt.adopted")
        return attempt
