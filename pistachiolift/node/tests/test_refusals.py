"""Counts and log lines of refused calls."""

import logging

from pistachiolift.common import CustomerId, ManualClock, Metrics
from pistachiolift.node.refusals import CUSTOMERS_COUNTED, RefusalLog

LOGGER = logging.getLogger("refusals")


class Setup:
    """A log of refusals with a clock that is set by hand."""

    def __init__(self):
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.log = RefusalLog(LOGGER, clock=self.clock, metrics=self.metrics)


class TestLines:
    def test_a_flood_causes_one_line_a_second_for_each_reason(self, caplog):
        caplog.set_level(logging.INFO)
        setup = Setup()
        for _ in range(1000):
            setup.log.record("key_unknown", config=3)
            setup.clock.advance(0.0021)
        setup.log.record("key_missing", config=3)
        lines = [record.message for record in caplog.records]
        assert len(lines) == 4
        assert all("config=3" in line for line in lines)
        counts = [int(line.split("count=")[1].split()[0]) for line in lines[:3]]
        # The last of the 1000 are counted by the next line.
        assert counts[0] == 1 and 900 < sum(counts) <= 1000
        assert "reason=key_missing" in lines[3]
        assert setup.metrics.totals_by_name["refusal.key_unknown"] == 1000


class TestCustomers:
    def test_refusals_are_counted_by_customer_where_one_is_known(self):
        setup = Setup()
        setup.log.record("refused", customer_id=CustomerId("acme"))
        setup.log.record("refused")
        totals = setup.metrics.totals_by_name
        assert totals["refusal.refused"] == 2
        assert totals["refusal.customer.acme.refused"] == 1

    def test_the_number_of_counters_is_bounded(self):
        """Guards against memory that grows with the names in the configurations."""
        setup = Setup()
        for index in range(CUSTOMERS_COUNTED + 100):
            setup.log.record("refused", customer_id=CustomerId(f"c{index}"))
        setup.log.record("refused", customer_id=CustomerId("c0"))
        totals = setup.metrics.totals_by_name
        assert len(totals) == CUSTOMERS_COUNTED + 2
        assert totals["refusal.customer.other.refused"] == 100
        assert totals["refusal.customer.c0.refused"] == 2

    def test_an_odd_name_gives_a_valid_counter(self):
        setup = Setup()
        setup.log.record("refused", customer_id=CustomerId("a.b \n" + "x" * 999))
        name = next(n for n in setup.metrics.totals_by_name if "customer" in n)
        assert name == "refusal.customer.a_b__" + "x" * 35 + ".refused"
