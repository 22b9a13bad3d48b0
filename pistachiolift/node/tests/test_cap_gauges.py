"""Gauges of the customers' caps."""

from pistachiolift.common import CustomerId, Metrics
from pistachiolift.node.cap_gauges import MAX_CUSTOMERS, CapGauges
from pistachiolift.workflows import Customer, CustomerCaps, RunCharge, Size


def make_customer(name, cpu):
    return Customer(customer_id=CustomerId(name), cap=Size(cpu_milli=cpu, memory_mb=1))


class TestCapGauges:
    def test_use_and_cap_in_cores(self):
        metrics, caps = Metrics(), CustomerCaps()
        gauges = CapGauges(metrics, prefix="partition.0")
        caps.set_customers([make_customer("c", 8000), make_customer("d", 0)])
        caps.charge(RunCharge(CustomerId("c"), Size(cpu_milli=1500)))
        gauges.update(caps)
        assert metrics.gauges_by_name == {
            "partition.0.customer.c.used_cores": 1.5,
            "partition.0.customer.c.cap_cores": 8.0,
            "partition.0.customer.c.limit_cores": 8.0,
            "partition.0.customer.d.used_cores": 0.0,
            "partition.0.customer.d.cap_cores": 0.0,
            "partition.0.customer.d.limit_cores": 0.0,
        }
        caps.set_customers([])
        gauges.update(caps)
        assert set(metrics.gauges_by_name.values()) == {0.0}

    def test_number_of_customers_is_bounded(self):
        """Guards against a configuration that fills the memory with metrics."""
        metrics, caps = Metrics(), CustomerCaps()
        caps.set_customers(
            [make_customer(f"c{n}", 1) for n in range(2 * MAX_CUSTOMERS)]
        )
        CapGauges(metrics, prefix="partition.0").update(caps)
        assert len(metrics.gauges_by_name) == 3 * MAX_CUSTOMERS
