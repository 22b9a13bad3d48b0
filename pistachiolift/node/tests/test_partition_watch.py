"""Agreement of the instances of a new cell on one partition map."""

from twisted.internet.task import Clock as ReactorClock

from pistachiolift.common import ManualClock
from pistachiolift.node.partition_map import PARTITION_MAP_KEY
from pistachiolift.node.partition_watch import (
    EMPTY_CELL_DELAY_S,
    JOIN_QUIET_S,
    PartitionWatch,
)

from .fake_store import FakeStore
from .test_partition_map import make_workers


class Cell:
    """Instances that start at the same time."""

    def __init__(self, instances=2, workers_per_partition=48):
        self.reactor, self.clock = ReactorClock(), ManualClock()
        self.store = FakeStore()
        self.maps = []
        self.watches = [
            PartitionWatch(
                self.reactor,
                self.store,
                clock=self.clock,
                workers_per_partition=workers_per_partition,
                on_map=self.maps.append,
            )
            for _ in range(instances)
        ]
        for watch in self.watches:
            watch.start()

    def advance(self, interval_s, workers=None):
        """Advance the time; the owner of the first partition sees ``workers``."""
        for _ in range(round(interval_s / 0.1)):
            self.clock.advance(0.1)
            self.reactor.advance(0.1)
            if workers is not None:
                self.watches[0].plan_from_directory({w.worker_id: w for w in workers})


class TestNewCell:
    def test_the_map_is_written_when_no_more_workers_join(self):
        cell = Cell()
        workers = make_workers(12)
        cell.advance(JOIN_QUIET_S - 0.2, workers[:40])
        cell.advance(JOIN_QUIET_S - 0.2, workers)
        assert cell.maps == []
        cell.advance(1.0, workers)
        assert [each.count for each in cell.maps] == [3, 3]
        assert cell.maps[0] == cell.maps[1]

    def test_the_map_of_a_cell_without_workers_is_written_after_a_delay(self):
        cell = Cell(instances=1)
        cell.advance(EMPTY_CELL_DELAY_S - 0.3, [])
        assert cell.maps == []
        cell.advance(1.0, [])
        assert [each.count for each in cell.maps] == [1]

    def test_a_write_whose_answer_is_lost_is_found(self):
        cell = Cell()
        cell.store.lost_answers = 1
        cell.advance(JOIN_QUIET_S + 1.0, make_workers(8))
        assert len(cell.maps) == 2
        assert cell.store.writes == 1


class TestKnownMap:
    def test_an_instance_that_starts_later_reads_the_map_at_once(self):
        cell = Cell()
        cell.advance(JOIN_QUIET_S + 1.0, make_workers(8))
        later = Cell(instances=0)
        later.store = cell.store
        watch = PartitionWatch(
            later.reactor,
            cell.store,
            clock=later.clock,
            workers_per_partition=1,
            on_map=later.maps.append,
        )
        watch.start()
        assert later.maps == [cell.maps[0]]

    def test_a_map_is_never_replaced(self):
        cell = Cell()
        cell.advance(JOIN_QUIET_S + 1.0, make_workers(8))
        version = cell.store.entries[PARTITION_MAP_KEY].version
        cell.watches[1].map = None
        cell.watches[0].map = None
        cell.advance(JOIN_QUIET_S + 1.0, make_workers(30))
        assert cell.store.entries[PARTITION_MAP_KEY].version == version

    def test_an_outage_of_the_store_only_delays_the_map(self):
        cell = Cell()
        cell.store.down = True
        cell.advance(3.0, make_workers(8))
        assert cell.maps == []
        cell.store.down = False
        cell.advance(1.0, make_workers(8))
        assert len(cell.maps) == 2
