"""How the instances of a new cell agree on one map."""

from twisted.internet.task import Clock as ReactorClock

from pistachiolift.common import ManualClock
from pistachiolift.node.partition_map import PARTITION_MAP_KEY
from pistachiolift.node.partition_watch import EMPTY_S, SETTLED_S, PartitionWatch

from .fake_store import FakeStore
from .test_partition_map import make_workers


class Cell:
    """Instances that start together."""

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
        """Let time pass; each instance that owns the first partition sees workers."""
        for _ in range(round(interval_s / 0.1)):
            self.clock.advance(0.1)
            self.reactor.advance(0.1)
            if workers is not None:
                self.watches[0].directory_seen({w.worker_id: w for w in workers})


class TestNewCell:
    def test_the_map_is_written_when_no_worker_joins_any_more(self):
        cell = Cell()
        workers = make_workers(12)
        cell.advance(SETTLED_S - 0.2, workers[:40])
        cell.advance(SETTLED_S - 0.2, workers)
        assert cell.maps == []
        cell.advance(1.0, workers)
        assert [each.count for each in cell.maps] == [3, 3]
        assert cell.maps[0] == cell.maps[1]

    def test_a_cell_without_workers_gets_a_map_in_the_end(self):
        cell = Cell(instances=1)
        cell.advance(EMPTY_S - 0.3, [])
        assert cell.maps == []
        cell.advance(1.0, [])
        assert [each.count for each in cell.maps] == [1]

    def test_a_write_whose_answer_is_lost_is_found(self):
        cell = Cell()
        cell.store.lost_answers = 1
        cell.advance(SETTLED_S + 1.0, make_workers(8))
        assert len(cell.maps) == 2
        assert cell.store.writes == 1


class TestKnownMap:
    def test_an_instance_that_starts_later_reads_it_at_once(self):
        cell = Cell()
        cell.advance(SETTLED_S + 1.0, make_workers(8))
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
        cell.advance(SETTLED_S + 1.0, make_workers(8))
        version = cell.store.entries[PARTITION_MAP_KEY].version
        cell.watches[1].map = None
        cell.watches[0].map = None
        cell.advance(SETTLED_S + 1.0, make_workers(30))
        assert cell.store.entries[PARTITION_MAP_KEY].version == version

    def test_the_store_being_away_only_delays_it(self):
        cell = Cell()
        cell.store.down = True
        cell.advance(3.0, make_workers(8))
        assert cell.maps == []
        cell.store.down = False
        cell.advance(1.0, make_workers(8))
        assert len(cell.maps) == 2
