"""Reads the partition map from the store, or writes that of a new cell."""

import logging
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from ..common import (
    Clock,
    MalformedMessageError,
    StoreUnavailableError,
    WorkerId,
    log_event,
)
from ..workflows import Worker
from .background import run_in_background
from .interfaces import CoordinationStore, Put, TransactionConflictError
from .partition_map import (
    PARTITION_MAP_KEY,
    PartitionMap,
    decode_partition_map,
    encode_partition_map,
    plan_partitions,
)

__all__ = ["PartitionWatch"]

logger = logging.getLogger(__name__)

READ_INTERVAL_S = 0.3

# Workers register with their heartbeat of 1.5 s, and the directory lags behind. The map
# is written when no worker has joined for longer than that.
JOIN_QUIET_S = 2.0
# The map of a cell without workers is written after this time.
EMPTY_CELL_DELAY_S = 5.0


class PartitionWatch:
    """Polls the store until the map exists, and writes the map of a new cell.

    :param workers_per_partition: partition size for a map written by this instance.
    :param on_map: called once, with the map.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        store: CoordinationStore,
        *,
        clock: Clock,
        workers_per_partition: int,
        on_map: Callable[[PartitionMap], None],
    ):
        self._reactor = reactor
        self._store = store
        self._clock = clock
        self._workers_per_partition = workers_per_partition
        self._on_map = on_map
        self._writing = False
        self._most_workers = -1
        self._last_joined_s = 0.0
        self.map: PartitionMap | None = None

    def start(self) -> None:
        """Start polling."""
        run_in_background(
            self._read_until_known(), logger=logger, event="partition_map_failed"
        )

    async def _read_until_known(self) -> None:
        while self.map is None:
            try:
                await self._read()
            except StoreUnavailableError as error:
                log_event(logger, "partition_map_unread", reason=error.message)
            if self.map is None:
                await deferLater(self._reactor, READ_INTERVAL_S)

    async def _read(self) -> None:
        entry = await self._store.get(PARTITION_MAP_KEY)
        if entry is None or self.map is not None:
            return
        try:
            found = decode_partition_map(entry.value)
        except MalformedMessageError as error:
            log_event(
                logger,
                "partition_map_malformed",
                level=logging.ERROR,
                reason=error.message,
            )
            return
        self.map = found
        log_event(logger, "partition_map_read", partitions=found.count)
        self._on_map(found)

    def plan_from_directory(self, workers_by_id: dict[WorkerId, Worker]) -> None:
        """Write the map once no more workers join the directory.

        The owner of the first partition calls this until the map exists.
        """
        now_s = self._clock.monotonic_s()
        if len(workers_by_id) > self._most_workers:
            self._most_workers = len(workers_by_id)
            self._last_joined_s = now_s
        delay_s = JOIN_QUIET_S if workers_by_id else EMPTY_CELL_DELAY_S
        if (
            self._writing
            or self.map is not None
            or now_s < self._last_joined_s + delay_s
        ):
            return
        self._writing = True
        planned = plan_partitions(
            workers_by_id.values(), workers_per_partition=self._workers_per_partition
        )
        run_in_background(
            self._write(planned, len(workers_by_id)),
            logger=logger,
            event="partition_map_failed",
        )

    async def _write(self, planned: PartitionMap, workers: int) -> None:
        """Write a map unless one exists; the polling then reads the stored map."""
        try:
            await self._store.transact(
                expected={PARTITION_MAP_KEY: 0},
                puts={PARTITION_MAP_KEY: Put(encode_partition_map(planned))},
            )
            log_event(
                logger,
                "partition_map_written",
                partitions=planned.count,
                racks=len(planned.partition_by_rack),
                workers=workers,
            )
        except TransactionConflictError:
            log_event(logger, "partition_map_known")
        except StoreUnavailableError as error:
            log_event(logger, "partition_map_unwritten", reason=error.message)
        finally:
            self._writing = False
