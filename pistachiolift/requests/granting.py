"""Starts queued requests on free slots."""

from ..common import AttemptId
from .confirmation import Confirmation
from .decisions import Grant, WriteIntent
from .records import AttemptRecord, RequestRecord, intent_of
from .request_table import RequestTable

__all__ = ["Granting"]


class Granting:
    """Takes requests from the queue in the order of the delivery round.

    :param confirmation: finds out about attempts that pass their run limit.
    """

    def __init__(self, book: RequestTable, confirmation: Confirmation):
        self._book = book
        self._confirmation = confirmation
        self._attempt_number = 0

    def enqueue(self, request: RequestRecord, now_s: float) -> None:
        """Put a request into the queue."""
        self._book.queue.push(request.spec, now_s)

    def pump(self, now_s: float) -> None:
        """Start requests until no slot is free or none may use it."""
        book = self._book
        while len(book.queue) > 0:
            spec = book.queue.pop(book.usage(now_s))
            if spec is None:
                return
            if not self._start(book.requests_by_id[spec.request_id], now_s):
                return

    def _start(self, request: RequestRecord, now_s: float) -> bool:
        book = self._book
        self._attempt_number += 1
        attempt_id = AttemptId(
            f"{book.partition_id}.{book.epoch}.{self._attempt_number}"
        )
        upstream_id = book.pool.acquire(attempt_id, now_s, avoid=request.avoided)
        if upstream_id is None:
            book.queue.push(request.spec, now_s)
            return False
        attempt = AttemptRecord(
            attempt_id=attempt_id,
            request=request,
            upstream_id=upstream_id,
            entry_id=request.choose_entry(),
            urgency=book.urgency(request.spec),
            granted_s=now_s,
            start_before_s=now_s + book.timings.start_before_s,
            run_limit_s=request.spec.max_run_s,
        )
        book.hold_slot(attempt)
        if request.spec.repeatable or request.intent_durable:
            self.grant(attempt, now_s)
        else:
            request.lifecycle.record()
            book.decisions.append(WriteIntent(attempt_id, intent_of(attempt)))
        return True

    def grant(self, attempt: AttemptRecord, now_s: float) -> None:
        """Grant an attempt that holds a slot."""
        attempt.granted_s = now_s
        attempt.start_before_s = now_s + self._book.timings.start_before_s
        attempt.request.attempts_started += 1
        attempt.request.lifecycle.grant()
        self._book.count("attempt.granted")
        self.send_grant(attempt)
        self._confirmation.watch_run_limit(attempt)

    def send_grant(self, attempt: AttemptRecord) -> None:
        """Send a grant, also again when the entry instance has not received it."""
        book = self._book
        book.decisions.append(
            Grant(
                request_id=attempt.request.spec.request_id,
                entry_id=attempt.entry_id,
                attempt_id=attempt.attempt_id,
                upstream_id=attempt.upstream_id,
                address=book.pool.address_of(attempt.upstream_id) or "",
                start_before_s=attempt.start_before_s,
                run_limit_s=attempt.run_limit_s,
            )
        )
