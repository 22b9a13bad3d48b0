"""The owner's ledger with lost answers, store outages and other owners."""

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock as ReactorClock

from pistachiolift.common import JobId, ManualClock, Metrics
from pistachiolift.node.interfaces import Put
from pistachiolift.node.ledger import (
    COMPACT_ABOVE_VALUES,
    Ledger,
    commit_interval_s,
    read_ledger,
)
from pistachiolift.node.partition_map import PartitionKeys, PartitionNumber
from pistachiolift.workflows import JobForgotten

from .fake_store import FakeStore

KEYS = PartitionKeys(PartitionNumber(0))


def record(index):
    return JobForgotten(JobId(f"j{index}"))


class Harness:
    """A ledger with an in-memory store, under a claim."""

    def __init__(self, interval_s=0.015):
        self.interval_s = interval_s
        self.reactor = ReactorClock()
        self.clock = ManualClock()
        self.store = FakeStore()
        claim = ensureDeferred(
            self.store.transact(expected={}, puts={KEYS.claim: Put(b"me")})
        )
        self.durable = 0
        self.superseded = 0
        self.failed = 0
        self.ledger = Ledger(
            self.reactor,
            self.store,
            clock=self.clock,
            metrics=Metrics(),
            keys=KEYS,
            fence=claim.result,
            interval_s=lambda: self.interval_s,
            on_durable=self._durable,
            on_superseded=self._superseded,
            on_failed_call=self._failed,
        )

    def _durable(self, count):
        self.durable += count

    def _superseded(self):
        self.superseded += 1

    def _failed(self):
        self.failed += 1

    def advance(self, interval_s, step_s=0.01):
        for _ in range(round(interval_s / step_s)):
            self.clock.advance(step_s)
            self.reactor.advance(step_s)

    def records(self):
        result = ensureDeferred(read_ledger(self.store, KEYS)).result
        return [r.job_id for key in sorted(result) for r in result[key]]


class TestCommits:
    @pytest.mark.parametrize(
        "partitions, writes_per_s, interval_s",
        [(1, 400, 0.015), (9, 400, 0.045), (9, 6000, 0.015)],
    )
    def test_the_ledgers_of_many_partitions_share_the_store(
        self, partitions, writes_per_s, interval_s
    ):
        """A steady stream of records in a cell of many partitions."""
        harness = Harness(commit_interval_s(partitions, writes_per_s))
        before = harness.store.writes
        for index in range(200):
            harness.ledger.append([record(index)])
            harness.advance(0.005, step_s=0.005)
        writes = harness.store.writes - before
        assert writes == pytest.approx(1.0 / interval_s, rel=0.15)

    def test_records_that_arrive_together_are_written_together(self):
        harness = Harness()
        harness.ledger.append([record(0)])
        for index in range(1, 50):
            harness.ledger.append([record(index)])
        harness.advance(0.1)
        assert harness.durable == 50
        assert harness.store.writes == 3
        assert harness.records() == [f"j{i}" for i in range(50)]

    def test_a_write_whose_answer_was_lost_counts_once(self):
        harness = Harness()
        harness.store.lost_answers = 1
        harness.ledger.append([record(0)])
        assert harness.durable == 0
        harness.advance(0.3)
        assert harness.durable == 1
        assert harness.records() == ["j0"]
        assert harness.superseded == 0

    def test_writes_wait_for_the_end_of_an_outage(self):
        harness = Harness()
        harness.store.down = True
        harness.ledger.append([record(0)])
        harness.advance(2.0)
        assert harness.ledger.stalled_s >= 1.9
        assert harness.failed > 5
        harness.store.down = False
        harness.advance(0.3)
        assert harness.durable == 1
        assert harness.ledger.stalled_s == 0.0

    def test_only_records_that_were_never_sent_can_be_withdrawn(self):
        harness = Harness()
        harness.store.down = True
        harness.ledger.append([record(0)])
        harness.ledger.append([record(1)])
        seen = []

        def replace(old):
            seen.append(old.job_id)
            return record(9)

        harness.ledger.replace_unsent(replace)
        assert seen == ["j1"]
        harness.store.down = False
        harness.advance(0.5)
        assert harness.records() == ["j0", "j9"]

    def test_waiters_are_notified_whether_their_record_is_durable(self):
        harness = Harness()
        results = []
        harness.ledger.append([record(0)])
        harness.ledger.when_durable(1).addCallback(results.append)
        harness.store.down = True
        harness.ledger.append([record(1)])
        harness.ledger.when_durable(2).addCallback(results.append)
        harness.advance(0.2)
        harness.ledger.close()
        assert results == [True, False]

    def test_a_write_sent_under_the_earlier_claim_of_this_owner_is_repeated(self):
        harness = Harness()

        def claim_again():
            harness.store.before_transact = lambda: None
            claim = ensureDeferred(
                harness.store.transact(expected={}, puts={KEYS.claim: Put(b"me")})
            )
            harness.ledger.fence = claim.result

        harness.store.before_transact = claim_again
        harness.ledger.append([record(0)])
        harness.advance(0.3)
        assert harness.superseded == 0
        assert harness.durable == 1
        assert harness.records() == ["j0"]


class TestOtherOwners:
    def test_a_later_claim_stops_the_writes(self):
        harness = Harness()
        ensureDeferred(
            harness.store.transact(expected={}, puts={KEYS.claim: Put(b"other")})
        )
        harness.ledger.append([record(0)])
        harness.advance(0.5)
        assert harness.superseded == 1
        assert harness.durable == 0
        assert harness.records() == []


class TestCompaction:
    def test_old_values_are_compacted(self):
        harness = Harness()
        harness.ledger.adopt({}, lambda records: records[-1:])
        for index in range(COMPACT_ABOVE_VALUES + 60):
            harness.ledger.append([record(index)])
            harness.advance(0.02)
        keys = [key for key in harness.store.entries if key.startswith(KEYS.log_prefix)]
        assert len(keys) <= COMPACT_ABOVE_VALUES + 1
        assert harness.durable == COMPACT_ABOVE_VALUES + 60
