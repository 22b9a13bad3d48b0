"""The operators' configuration."""

import json
import logging
from hashlib import sha256

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock as ReactorClock

from pistachiolift.common import MalformedMessageError, ManualClock, Metrics
from pistachiolift.node.interfaces import Put
from pistachiolift.node.store_watches import ConfigurationWatch
from pistachiolift.node.tests.fake_store import FakeStore
from pistachiolift.platform.adapter import HttpPlatformAdapter
from pistachiolift.platform.configuration import decode_configuration
from pistachiolift.workflows import Size

ROUTE = {"Name": "q", "Host": "h", "Prefix": "/q/", "Service": "s"}


def limit_of(**fields):
    """Return the limit of failed runs of a route with the given fields."""
    route = {"Name": "q", "Host": "h", "Prefix": "/q/", "Service": "s", **fields}
    value = json.dumps({"Version": 3, "Routes": [route]}).encode()
    return decode_configuration(value).queues[0].max_failures


class TestLimitOfFailedRuns:
    """Guards against jobs that are given up by a limit that no operator has set."""

    @pytest.mark.parametrize("limit", [1, 2, 5, 1000])
    def test_it_is_the_one_of_the_route(self, limit):
        assert limit_of(MaxAttempts=limit) == limit

    def test_a_task_of_a_route_without_a_limit_may_fail_once(self):
        assert limit_of() == 1
        assert limit_of(MaxAttempts=0) == 1

    @pytest.mark.parametrize("limit", [None, "3", 2.5, [3]])
    def test_a_configuration_with_another_type_is_not_applied(self, limit):
        with pytest.raises(MalformedMessageError):
            limit_of(MaxAttempts=limit)

    def test_other_routes_do_not_change_it(self):
        routes = [
            {"Name": name, "Host": "h", "Prefix": f"/{name}/", "Service": "s", **limit}
            for name, limit in [("a", {"MaxAttempts": 4}), ("b", {}), ("c", {})]
        ]
        value = json.dumps({"Version": 3, "Routes": routes}).encode()
        limits = [q.max_failures for q in decode_configuration(value).queues]
        assert limits == [4, 1, 1]


def decode_tenants(*tenants):
    """Return a configuration with the given customers."""
    value = {"Version": 3, "Routes": [ROUTE], "Tenants": tenants}
    return decode_configuration(json.dumps(value).encode())


def customers(table):
    """Return the customers of a configuration by name."""
    return {each.customer_id: each for each in table.customers}


def customer_of(table, key):
    """Return the customer that has a key, or ``None``."""
    return table.customer_by_digest.get(sha256(key.encode()).digest())


GOOD = {"Name": "good", "ApiKeys": ["g1", "g2"], "Weight": 5}


class TestCustomers:
    def test_a_customer_has_keys_a_weight_and_a_cap(self):
        table = decode_tenants(
            {
                "Name": "kaje80",
                "ApiKeys": ["gkcuyj8pjbvk9m68k7b2"],
                "Priority": 1,
                "Weight": 33,
                "Cap": {"Cpu": 6394538, "MemMb": 9229841, "Gpu": 0},
            }
        )
        customer = customers(table)["kaje80"]
        assert customer.weight == 33
        assert customer.cap == Size(cpu_milli=6394538, memory_mb=9229841)
        assert customer_of(table, "gkcuyj8pjbvk9m68k7b2") == "kaje80"
        assert table.needs_keys

    def test_keys_are_held_as_digests_only(self):
        assert "g1" not in repr(decode_tenants(GOOD))

    def test_keys_are_needed_once_customers_are_listed(self):
        assert decode_tenants().needs_keys
        value = {"Version": 3, "Routes": [ROUTE]}
        assert not decode_configuration(json.dumps(value).encode()).needs_keys
        value["Tenants"] = None
        assert not decode_configuration(json.dumps(value).encode()).needs_keys

    def test_a_customer_may_have_neither_keys_nor_a_cap(self):
        table = decode_tenants({"Name": "a"}, {"Name": "b", "ApiKeys": None})
        assert [each.cap for each in table.customers] == [Size(), Size()]
        table = decode_tenants({"Name": "a", "ApiKeys": None, "Cap": None})
        assert list(customers(table)) == ["a"]

    def test_a_route_is_public_if_it_says_so(self):
        routes = [ROUTE, {**ROUTE, "Name": "p", "Public": True}]
        value = json.dumps({"Version": 3, "Routes": routes}).encode()
        assert [q.public for q in decode_configuration(value).queues] == [False, True]


class TestWeights:
    """Guards against customers that get nothing, or everything."""

    @pytest.mark.parametrize("weight", [0, -1, -0.5])
    def test_a_weight_that_is_not_positive_is_the_smallest_of_the_others(self, weight):
        table = decode_tenants(
            GOOD, {"Name": "a", "Weight": weight}, {"Name": "b", "Weight": 2}
        )
        assert customers(table)["a"].weight == 2

    def test_it_is_1_if_no_weight_is_positive(self):
        table = decode_tenants({"Name": "a", "Weight": 0}, {"Name": "b"})
        assert [each.weight for each in table.customers] == [1, 1]


class TestMalformedCustomers:
    """Guards against one bad entry that keeps the others from being applied."""

    @pytest.mark.parametrize(
        "entry",
        [
            {"Name": "", "ApiKeys": ["bad-key"]},
            {"ApiKeys": ["bad-key"]},
            {"Name": "a", "ApiKeys": ["bad-key"], "Cap": {"Cpu": -1}},
            {"Name": "a", "ApiKeys": ["bad-key"], "Cap": {"MemMb": 1.5}},
            {"Name": "a", "ApiKeys": ["bad-key"], "Weight": "5"},
            {"Name": "a", "ApiKeys": "bad-key"},
            {"Name": "a", "ApiKeys": ["bad-key", 5]},
            {"Name": 5, "ApiKeys": ["bad-key"]},
            {"Name": "good", "ApiKeys": ["bad-key"]},
            "bad-key",
            None,
            ["bad-key"],
        ],
    )
    def test_the_entry_is_skipped_and_logged_without_its_keys(self, entry, caplog):
        caplog.set_level(logging.INFO)
        table = decode_tenants(GOOD, entry, {"Name": "last", "ApiKeys": ["l"]})
        assert list(customers(table)) == ["good", "last"]
        assert customer_of(table, "bad-key") is None
        assert customer_of(table, "g2") == "good"
        assert customer_of(table, "l") == "last"
        [line] = [record.message for record in caplog.records]
        assert "event=customer_skipped config=3 position=1" in line
        assert "bad-key" not in line

    def test_a_weight_above_all_numbers_is_skipped(self):
        tenants = b'[{"Name":"a","Weight":1e999},{"Name":"b"}]'
        value = b'{"Version":3,"Routes":[],"Tenants":' + tenants + b"}"
        assert list(customers(decode_configuration(value))) == ["b"]

    @pytest.mark.parametrize("count", [2, 3])
    def test_a_key_of_several_customers_is_valid_for_none(self, count, caplog):
        caplog.set_level(logging.INFO)
        entries = [
            {"Name": f"c{i}", "ApiKeys": ["shared-key", f"k{i}"]} for i in range(count)
        ]
        table = decode_tenants(*entries)
        assert customer_of(table, "shared-key") is None
        assert [customer_of(table, f"k{i}") for i in range(count)] == list(
            customers(table)
        )
        [line] = [record.message for record in caplog.records]
        assert "event=customer_key_skipped" in line and "shared-key" not in line

    def test_a_key_that_stands_twice_at_one_customer_is_valid(self):
        assert customer_of(decode_tenants({"Name": "a", "ApiKeys": ["k"] * 2}), "k")

    @pytest.mark.parametrize("key", ["", " "])
    def test_an_empty_key_admits_nobody(self, key):
        """Guards against callers whose header ends after the scheme."""
        table = decode_tenants({"Name": "a", "ApiKeys": [key, "k"]})
        assert len(table.customer_by_digest) == 1
        assert customer_of(table, "k") == "a"

    def test_a_configuration_with_half_a_surrogate_pair_is_not_applied(self):
        """Such text is no JSON to the decoder, in whatever entry it stands."""
        with pytest.raises(MalformedMessageError):
            decode_tenants(GOOD, {"Name": "a", "ApiKeys": ["bad-key\ud800"]})

    @pytest.mark.parametrize("tenants", ["x", {}, 5])
    def test_a_configuration_whose_customers_are_no_list_is_not_applied(self, tenants):
        value = json.dumps({"Version": 3, "Routes": [ROUTE], "Tenants": tenants})
        with pytest.raises(MalformedMessageError):
            decode_configuration(value.encode())


def in_force(*values):
    """Return the version and the queues that a watch has after some stored values."""
    reactor, clock, store = ReactorClock(), ManualClock(), FakeStore()
    watch = ConfigurationWatch(
        reactor,
        store,
        HttpPlatformAdapter(reactor=reactor),
        on_table=lambda table: None,
        clock=clock,
        metrics=Metrics(),
    )
    watch.start()
    for value in values:
        put = Put(json.dumps(value).encode())
        ensureDeferred(store.transact(expected={}, puts={"op/config": put}))
        reactor.advance(0.5)
    return watch.table.version, [queue.queue_id for queue in watch.table.queues]


class TestInvalidConfigurations:
    VALID = {"Version": 3, "Routes": [ROUTE]}

    # Guards against an incomplete or contradictory value that is taken for a
    # configuration, which would drop or confuse the routes in force.
    def test_the_earlier_one_stays_in_force_until_the_next_valid_one(self):
        later = {"Version": 9, "Routes": [ROUTE, {**ROUTE, "Name": "r"}]}
        for invalid in (
            {"Version": 4},
            {"Version": 0, "Routes": []},
            {"Version": -4, "Routes": []},
            {"Version": 2**60, "Routes": []},
            {"Version": 4, "Routes": [ROUTE, {**ROUTE, "Prefix": "/r/"}]},
            {"Version": 4, "Routes": [{**ROUTE, "Name": ""}]},
            {"Version": 4, "Routes": [{**ROUTE, "Host": ""}]},
            {"Version": 4, "Routes": [{**ROUTE, "Service": ""}]},
            {"Version": 4, "Routes": [{**ROUTE, "Prefix": "q/"}]},
            {"Version": 4, "Routes": [{**ROUTE, "Priority": -1}]},
            {"Version": 4, "Routes": [{**ROUTE, "Priority": 2**70}]},
            {"Version": 4, "Routes": [{**ROUTE, "MaxAttempts": 2**70}]},
            {"Version": 4, "Routes": [{**ROUTE, "Stretch": -1.0}]},
        ):
            assert in_force(self.VALID, invalid) == (3, ["q"]), invalid
            assert in_force(self.VALID, invalid, later) == (9, ["q", "r"]), invalid

    def test_a_configuration_may_have_no_routes_and_unknown_fields(self):
        assert in_force(self.VALID, {"Version": 4, "Routes": [], "New": [1]}) == (4, [])
