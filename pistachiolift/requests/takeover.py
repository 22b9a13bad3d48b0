"""Adopts attempts that earlier owners of the partition granted."""

from ..common import AttemptId, CustomerId, InstanceId, KindId, RequestId, UpstreamId
from .confirmation import Confirmation
from .ended import EndedRequest
from .lifecycle import RequestPhase
from .model import RequestSpec
from .records import AttemptRecord, RequestRecord
from .request_table import RequestTable

__all__ = ["Takeover"]


class Takeover:
    """Restores requests and attempts of earlier owners."""

    def __init__(self, table: RequestTable, confirmation: Confirmation):
        self._table = table
        self._confirmation = confirmation

    def forget_before(self, now_s: float) -> None:
        """Mark the history of requests that ended before ``now_s`` as incomplete.

        It is complete again after the deduplication window.
        """
        window_s = self._table.timings.dedup_window_s
        self._table.history_complete_at_s = now_s + window_s

    def restore_ended(self, ended: EndedRequest) -> None:
        """Add a request that ended, or may have run, under an earlier owner."""
        if ended.request_id in self._table.requests_by_id:
            return
        known = self._table.ended.find(ended.request_id, ended.ended_s)
        if ended.intent_entry is None or known is None:
            # An intent without an outcome does not replace a known outcome.
            self._table.ended.add(ended)

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
        """Adopt an attempt that an entry instance runs.

        :param address: address of the upstream, which may belong to another partition.
        """
        table = self._table
        known = table.requests_by_id.get(spec.request_id)
        if known is not None and not known.is_idle:
            if attempt_id not in table.attempts_by_id:
                table.count("attempt.adoption_conflict")
            return
        if known is not None:
            # The request waits although one of its attempts is running.
            table.queue.remove(spec.request_id)
            known.lifecycle.end()
        table.ended.discard(spec.request_id)
        request = table.add_request(spec)
        request.intent_durable = not spec.repeatable
        table.pool.adopt(attempt_id, upstream_id, address=address)
        self._hold_slot(request, attempt_id, upstream_id, run_limit_s, now_s)

    def adopt_orphan(
        self,
        request_id: RequestId,
        attempt_id: AttemptId,
        upstream_id: UpstreamId,
        run_limit_s: float,
        now_s: float,
        *,
        address: str = "",
    ) -> None:
        """Adopt an attempt that runs on an upstream but that no entry instance holds.

        The request is repeatable unless an intent is known for it. Another attempt
        starts only after this one is confirmed to have ended. If another partition has
        borrowed the slot, only the slot is counted and the attempt is not stopped.

        :param address: address of the upstream, which may belong to another partition.
        """
        table = self._table
        if attempt_id in table.attempts_by_id:
            return
        table.pool.adopt(attempt_id, upstream_id, address=address)
        request = table.requests_by_id.get(request_id)
        borrowed = not attempt_id.startswith(f"{table.partition_id}.")
        if not borrowed and request is not None:
            if request.phase is RequestPhase.QUEUED:
                table.queue.remove(request_id)
                self._hold_and_confirm(
                    request, attempt_id, upstream_id, run_limit_s, now_s
                )
                return
            table.count("attempt.orphan_of_running_request")
        if borrowed or request is not None:
            # Only the slot is counted here; the request continues independently.
            request_id = RequestId(f"{request_id}#{attempt_id}")
        ended = table.ended.find(request_id, now_s)
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
        request = table.add_request(spec, waiting=False)
        request.outcome_published = ended is not None or borrowed
        self._hold_and_confirm(request, attempt_id, upstream_id, run_limit_s, now_s)

    def _hold_and_confirm(
        self,
        request: RequestRecord,
        attempt_id: AttemptId,
        upstream_id: UpstreamId,
        run_limit_s: float,
        now_s: float,
    ) -> None:
        attempt = self._hold_slot(request, attempt_id, upstream_id, run_limit_s, now_s)
        request.orphaned = True
        self._confirmation.confirm(request, attempt, now_s)

    def _hold_slot(
        self,
        request: RequestRecord,
        attempt_id: AttemptId,
        upstream_id: UpstreamId,
        run_limit_s: float,
        now_s: float,
    ) -> AttemptRecord:
        table = self._table
        attempt = AttemptRecord(
            attempt_id=attempt_id,
            request=request,
            upstream_id=upstream_id,
            entry_id=request.spec.entry_id,
            urgency=table.urgency(request.spec),
            granted_s=now_s,
            start_before_s=now_s,
            run_limit_s=run_limit_s,
        )
        table.pool.adopt(attempt_id, upstream_id)
        table.register_attempt(attempt)
        request.attempts_started = 1
        request.lifecycle.grant()
        self._confirmation.watch_run_limit(attempt)
        table.count("attempt.adopted")
        return attempt
