"""Write-ahead intents of requests that must not be repeated."""

from collections.abc import Callable

import msgspec
from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IReactorTime

from ..backends import KeyValueStore
from ..common import (
    Clock,
    Epoch,
    InstanceId,
    Metrics,
    Outcome,
    PartitionId,
    RequestId,
)
from ..requests import EndedRequest, IntentRecord, OutcomeRecord, RequestResult
from .paged_log import PagedLog, delete_pages_before, read_pages

__all__ = ["IntentLog", "StoredIntent", "ended_request_from_intent"]


class StoredIntent(msgspec.Struct, frozen=True, array_like=True):
    """One intent as it is stored.

    :param outcome: empty until the outcome is known.
    :param wall_s: wall-clock time of the write, in seconds.
    """

    request_id: RequestId
    customer_id: str
    kind_id: str
    body_digest: str
    entry_id: InstanceId
    outcome: str
    wall_s: float


_intent_decoder = msgspec.msgpack.Decoder(StoredIntent)


def intents_prefix(partition_id: PartitionId) -> str:
    """Return the prefix of all intents of a partition."""
    return f"intents/{partition_id}/"


class IntentLog:
    """Intents of one partition and epoch, written in batches.

    :param window_s: how long an ended request is kept, in seconds.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        store: KeyValueStore,
        *,
        partition_id: PartitionId,
        epoch: Epoch,
        clock: Clock,
        metrics: Metrics,
        window_s: float,
    ):
        self._store = store
        self._clock = clock
        self._window_s = window_s
        self._partition_id = partition_id
        self._epoch_prefix = f"{intents_prefix(partition_id)}{epoch:010d}/"
        self._log = PagedLog(reactor, store, prefix=self._epoch_prefix, metrics=metrics)
        self._intents_by_id: dict[RequestId, StoredIntent] = {}

    def close(self) -> None:
        """Stop writing."""
        self._log.close()

    def write(
        self, intents: list[IntentRecord], on_done: Callable[[bool], None]
    ) -> None:
        """Make intents durable.

        :param on_done: called with whether the intents are durable.
        """
        wall_s = self._clock.wall_s()
        stored = [
            StoredIntent(
                request_id=intent.request_id,
                customer_id=intent.customer_id,
                kind_id=intent.kind_id,
                body_digest=intent.body_digest,
                entry_id=intent.entry_id,
                outcome="",
                wall_s=wall_s,
            )
            for intent in intents
        ]

        def on_intents_done(durable: bool) -> None:
            if not durable:
                self._remove([intent.request_id for intent in stored])
            on_done(durable)

        self._put(stored, on_intents_done)

    def _remove(self, request_ids: list[RequestId]) -> None:
        for request_id in request_ids:
            self._intents_by_id.pop(request_id, None)
        self._log.put(dict.fromkeys(request_ids))

    def record_outcome(self, record: OutcomeRecord) -> None:
        """Store an outcome with a later batch; remove an intent that did not run."""
        intent = self._intents_by_id.get(record.request_id)
        if intent is None:
            return
        if record.outcome.certainly_not_run:
            self._remove([record.request_id])
            return
        ended = msgspec.structs.replace(
            intent, outcome=record.outcome.value, wall_s=self._clock.wall_s()
        )
        self._put([ended], None)

    def _put(
        self, stored: list[StoredIntent], on_done: Callable[[bool], None] | None
    ) -> None:
        self._intents_by_id.update({intent.request_id: intent for intent in stored})
        records = {
            intent.request_id: msgspec.msgpack.encode(intent) for intent in stored
        }
        self._log.put(records, on_done)

    def expire(self) -> None:
        """Remove ended intents that are older than the retention window."""
        oldest_s = self._clock.wall_s() - self._window_s
        old = [
            request_id
            for request_id, intent in self._intents_by_id.items()
            if intent.outcome and intent.wall_s < oldest_s
        ]
        if old:
            self._remove(old)

    async def read_earlier_intents(self) -> list[StoredIntent]:
        """Read the intents of all earlier epochs.

        :raises StoreUnavailableError: if the store does not answer.
        """
        records = await read_pages(self._store, intents_prefix(self._partition_id))
        intents = [_intent_decoder.decode(value) for value in records.values()]
        oldest_s = self._clock.wall_s() - self._window_s
        return [i for i in intents if not i.outcome or i.wall_s >= oldest_s]

    def copy_recovered_intents(self, intents: list[StoredIntent]) -> None:
        """Copy recovered intents to this epoch, then delete the earlier ones."""
        if intents:
            self._put(intents, self._delete_earlier_pages)

    def _delete_earlier_pages(self, durable: bool) -> None:
        if durable:
            prefix = intents_prefix(self._partition_id)
            ensureDeferred(delete_pages_before(self._store, prefix, self._epoch_prefix))


def ended_request_from_intent(intent: StoredIntent, now_s: float) -> EndedRequest:
    """Return the ended request that a recovered intent describes."""
    outcome = Outcome(intent.outcome) if intent.outcome else Outcome.UNKNOWN
    is_open = not intent.outcome
    result = RequestResult(outcome=outcome)
    if outcome is not Outcome.DONE:
        result = RequestResult.unknown()
    return EndedRequest(
        request_id=intent.request_id,
        kind_id=intent.kind_id,
        body_digest=intent.body_digest,
        result=result,
        ended_s=now_s,
        intent_entry=intent.entry_id if is_open else None,
    )
