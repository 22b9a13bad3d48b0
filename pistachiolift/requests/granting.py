"""Grants attempts of queued requests on free slots."""

from ..common import AttemptId
from .confirmation import Confirmation
from .decisions import Grant, WriteIntent
from .records import AttemptRecord, RequestRecord, intent_of
from .request_table import RequestTable

__all__ = ["GrantIssuer"]


class GrantIssuer:
    """Grants attempts of queued requests in the order of the queue.

    :param confirmation: confirms attempts that pass their run limit.
    """

    def __init__(self, table: RequestTable, confirmation: Confirmation):
        self._table = table
        self._confirmation = confirmation
        self._attempt_number = 0

    def enqueue(self, request: RequestRecord, now_s: float) -> None:
        """Push a request to the queue."""
        self._table.queue.push(request.spec, now_s)

    def grant_free_slots(self, now_s: float) -> None:
        """Grant attempts until no slot is free or no queued request may use one."""
        table = self._table
        while len(table.queue) > 0:
            spec = table.queue.pop(table.usage(now_s))
            if spec is None:
                return
            if not self._start(table.requests_by_id[spec.request_id], now_s):
                return

    def _start(self, request: RequestRecord, now_s: float) -> bool:
        table = self._table
        self._attempt_number += 1
        attempt_id = AttemptId(
            f"{table.partition_id}.{table.epoch}.{self._attempt_number}"
        )
        upstream_id = table.pool.acquire(
            attempt_id, now_s, avoid=request.avoided_upstreams
        )
        if upstream_id is None:
            table.queue.push(request.spec, now_s)
            return False
        attempt = AttemptRecord(
            attempt_id=attempt_id,
            request=request,
            upstream_id=upstream_id,
            entry_id=request.choose_entry(),
            urgency=table.urgency(request.spec),
            granted_s=now_s,
            start_before_s=now_s + table.timings.start_before_s,
            run_limit_s=request.spec.max_run_s,
        )
        table.register_attempt(attempt)
        if request.spec.repeatable or request.intent_durable:
            self.grant(attempt, now_s)
        else:
            request.lifecycle.record_intent()
            table.decisions.append(WriteIntent(attempt_id, intent_of(attempt)))
        return True

    def grant(self, attempt: AttemptRecord, now_s: float) -> None:
        """Grant an attempt that holds a slot."""
        attempt.granted_s = now_s
        attempt.start_before_s = now_s + self._table.timings.start_before_s
        attempt.request.attempts_started += 1
        attempt.request.lifecycle.grant()
        self._table.count("attempt.granted")
        self.send_grant(attempt)
        self._confirmation.watch_run_limit(attempt)

    def send_grant(self, attempt: AttemptRecord) -> None:
        """Send a grant, or send it again if the entry instance has not received it."""
        table = self._table
        table.decisions.append(
            Grant(
                request_id=attempt.request.spec.request_id,
                entry_id=attempt.entry_id,
                attempt_id=attempt.attempt_id,
                upstream_id=attempt.upstream_id,
                address=table.pool.address_of(attempt.upstream_id) or "",
                start_before_s=attempt.start_before_s,
                run_limit_s=attempt.run_limit_s,
            )
        )
