"""Collects what earlier owners of a partition have issued, after a takeover."""

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

ASK_INTERVAL_S = 0.2
READ_RETRY_INTERVAL_S = 0.2
# Longer than the validity of a grant: after it, an instance that has not answered
# cannot start anything.
ANSWER_TIMEOUT_S = 1.5


class Recovery:
    """Asks the entry instances and the store; reports once when it has finished.

    It is confirmed when every live entry instance has answered; otherwise it ends
    at the time limit, and the owner has to wait until all grants have expired.

    :param live_entries: called for the instances that have to answer, by the
        platform's identifiers.
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
        self._call: IDelayedCall | None = None
        self._started_s = reactor.seconds()
        self._done = False

    @property
    def partition_id(self) -> PartitionId:
        """The partition being recovered."""
        return self.home.partition_id

    @property
    def epoch(self) -> Epoch:
        """The new owner's epoch."""
        return self.home.epoch

    def start(self) -> None:
        """Ask everybody."""
        ensureDeferred(self._read_store())
        self._ask()

    def stop(self) -> None:
        """Report nothing any more."""
        self._done = True
        if self._call is not None and self._call.active():
            self._call.cancel()

    def record_answer(self, state: PartitionState) -> None:
        """Take an entry instance's answer."""
        if self._done or state.epoch < self.epoch:
            return
        self._states_by_entry[state.sender] = state
        self._check()

    def _ask(self) -> None:
        if self._done:
            return
        question = RecoverPartition(
            sender=self._self_id, partition_id=self.partition_id, epoch=self.epoch
        )
        for entry_id in self._missing():
            self._send(entry_id, question)
        self._call = self._reactor.callLater(ASK_INTERVAL_S, self._ask)
        self._check()

    def _missing(self) -> list[InstanceId]:
        answered = {platform_instance_id(each) for each in self._states_by_entry}
        return [each for each in self._live_entries() if each not in answered]

    async def _read_store(self) -> None:
        while not self._done and self._intents is None:
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
        self._check()

    def _check(self) -> None:
        if self._done or self._intents is None:
            return
        confirmed = not self._missing()
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
        # Later steps know more: an entry's report overrides an open intent, and an
        # attempt that still runs overrides both.
        self.home.restore_intents(self._intents or [])
        for state in self._states_by_entry.values():
            self.home.restore_finished_requests(state.finished)
        for entry_id, state in self._states_by_entry.items():
            self.home.restore_held_attempts(entry_id, state.held)
