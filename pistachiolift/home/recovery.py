"""Recovery after a takeover: collects what earlier owners of a partition issued."""

import logging
from collections.abc import Callable, Iterable

from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.internet.task import deferLater

from ..common import (
    Epoch,
    InstanceId,
    PartitionId,
    PistachioliftError,
    log_event,
    platform_instance_id,
)
from ..jobs import LedgerEntry
from ..peers import PartitionState, RecoverPartition
from .home_partition import HomePartition
from .intents import StoredIntent

__all__ = ["Recovery"]

logger = logging.getLogger(__name__)

QUERY_INTERVAL_S = 0.2
READ_RETRY_INTERVAL_S = 0.2
# Longer than the validity of a grant, so that an instance that has not answered within
# it can no longer start an attempt.
ANSWER_TIMEOUT_S = 1.5


class Recovery:
    """Queries the entry instances and the store, and reports once when it has finished.

    A recovery is confirmed when every live entry instance has answered. Otherwise it
    ends at the timeout, and the owner has to wait until all grants have expired.

    :param live_entries: returns the platform's identifiers of the instances that have
        to answer.
    :param send: sends a message to an instance.
    :param on_done: called with whether every instance answered.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        home: HomePartition,
        *,
        self_id: InstanceId,
        live_entries: Callable[[], Iterable[InstanceId]],
        send: Callable,
        on_done: Callable[[bool], None],
    ):
        self.home = home
        self._reactor = reactor
        self._self_id = self_id
        self._live_entries = live_entries
        self._send = send
        self._on_done = on_done
        self._states_by_entry: dict[InstanceId, PartitionState] = {}
        self._intents: list[StoredIntent] | None = None
        self._ledger: list[LedgerEntry] = []
        self._query_call: IDelayedCall | None = None
        self._started_s = reactor.seconds()
        self._stopped = False

    @property
    def partition_id(self) -> PartitionId:
        """The partition being recovered."""
        return self.home.partition_id

    @property
    def epoch(self) -> Epoch:
        """The new owner's epoch."""
        return self.home.epoch

    def start(self) -> None:
        """Start to query the entry instances and to read the store."""
        ensureDeferred(self._read_store())
        self._query_entries()

    def stop(self) -> None:
        """Stop the recovery without a report."""
        self._stopped = True
        if self._query_call is not None and self._query_call.active():
            self._query_call.cancel()

    def record_answer(self, state: PartitionState) -> None:
        """Record an entry instance's answer."""
        if self._stopped or state.epoch < self.epoch:
            return
        self._states_by_entry[state.sender] = state
        self._finish_if_complete()

    def _query_entries(self) -> None:
        if self._stopped:
            return
        query = RecoverPartition(
            sender=self._self_id, partition_id=self.partition_id, epoch=self.epoch
        )
        for entry_id in self._unanswered_entries():
            self._send(entry_id, query)
        self._query_call = self._reactor.callLater(
            QUERY_INTERVAL_S, self._query_entries
        )
        self._finish_if_complete()

    def _unanswered_entries(self) -> list[InstanceId]:
        answered = {platform_instance_id(each) for each in self._states_by_entry}
        return [each for each in self._live_entries() if each not in answered]

    async def _read_store(self) -> None:
        while not self._stopped and self._intents is None:
            try:
                self._ledger = await self.home.jobs.read_ledger()
                self._intents = await self.home.read_intents()
            except PistachioliftError as error:
                log_event(
                    logger,
                    "recovery_read_failed",
                    partition=self.partition_id,
                    code=error.code.value,
                )
                await deferLater(self._reactor, READ_RETRY_INTERVAL_S)
        self._finish_if_complete()

    def _finish_if_complete(self) -> None:
        if self._stopped or self._intents is None:
            return
        confirmed = not self._unanswered_entries()
        timed_out = self._reactor.seconds() - self._started_s > ANSWER_TIMEOUT_S
        if confirmed or timed_out:
            self.stop()
            self._restore()
            log_event(
                logger,
                "recovery_finished",
                partition=self.partition_id,
                epoch=self.epoch,
                confirmed=confirmed,
                intents=len(self._intents),
                jobs=len(self._ledger),
                entries=len(self._states_by_entry),
            )
            self._on_done(confirmed)

    def _restore(self) -> None:
        if self.epoch > 1:
            self.home.requests.forget_before(self.home.now_s)
        self.home.jobs.restore(self._ledger, self.epoch)
        # Later steps override earlier ones: the report of an entry instance overrides
        # an open intent, and an attempt that is still running overrides both.
        self.home.restore_intents(self._intents or [])
        for state in self._states_by_entry.values():
            self.home.restore_finished_requests(state.finished)
        for entry_id, state in self._states_by_entry.items():
            self.home.restore_held_attempts(entry_id, state.held)
