"""Callers' requests and the answers to them."""

import json
import logging

import pytest
from twisted.internet.task import Clock as ReactorClock

from pistachiolift.common import ManualClock, Metrics
from pistachiolift.listener import StreamingSite
from pistachiolift.listener.tests.support import Caller
from pistachiolift.node.instance import HTTP_LIMITS
from pistachiolift.node.peer_messages import JobAnswer, JobOutcome
from pistachiolift.node.tests.test_job_calls import CallsHarness
from pistachiolift.platform.caller_api import (
    DEFAULT_DEADLINE_S,
    _deadline_s,
    make_caller_api,
)
from pistachiolift.platform.configuration import decode_configuration
from pistachiolift.workflows import JobStatus

JOB = "0123456789abcdef"
# Keys by customer.
CUSTOMERS = {"a": ["k1"], "b": ["k2"]}


class FakeRequest:
    """A request with one header value."""

    def __init__(self, value):
        self._value = value

    def getHeader(self, _name):  # noqa: N802
        return self._value


class TestDeadlines:
    def test_a_deadline_is_read_in_milliseconds(self):
        assert _deadline_s(FakeRequest("1500")) == 1.5

    @pytest.mark.parametrize("value", [None, "", "soon", "nan", "inf", "-inf", "1e999"])
    def test_an_odd_deadline_is_replaced_by_the_default(self, value):
        """Guards against calls whose time limit never passes."""
        assert _deadline_s(FakeRequest(value)) == DEFAULT_DEADLINE_S


def make_table(*, version=3, tenants=CUSTOMERS, added=()):
    """Return a configuration with a private and a public route.

    :param tenants: keys by customer; ``None`` for no customers.
    :param added: names of further private routes.
    """
    routes = [
        {"Name": name, "Host": "h", "Prefix": f"/{name}/", "Service": "s", **fields}
        for name, fields in [
            ("private", {}),
            ("public", {"Public": True}),
            *((name, {}) for name in added),
        ]
    ]
    value = {"Version": version, "Routes": routes}
    if tenants is not None:
        value["Tenants"] = [{"Name": n, "ApiKeys": k} for n, k in tenants.items()]
    return decode_configuration(json.dumps(value).encode())


class OwnerJobs:
    """Passes calls to the job calls of an owner.

    :param outcome: if it is set, submissions have this outcome.
    """

    def __init__(self, calls):
        self._calls = calls
        self.outcome = None
        self.retry_after_s = 0.0
        # Version of the owner, which does nothing for callers of an older one.
        self.version = 0

    def _older(self, caller_version):
        if caller_version >= self.version:
            return None
        return JobAnswer(
            JobOutcome.OLDER_CONFIGURATION, configuration_version=self.version
        )

    async def submit(
        self, job_id, queue, graph, *, until_s, customer_id, configuration_version
    ):
        if self.outcome is not None:
            return JobAnswer(self.outcome, retry_after_s=self.retry_after_s)
        return self._older(configuration_version) or await self._calls.submit(
            job_id, queue, graph, 0.0, customer_id
        )

    async def status(self, job_id, *, until_s, customer_id, configuration_version):
        older = self._older(configuration_version)
        return older or self._calls.status(job_id, customer_id)

    async def cancel(self, job_id, *, until_s, customer_id, configuration_version):
        older = self._older(configuration_version)
        return older or await self._calls.cancel(job_id, customer_id)

    async def count_pending_jobs(self, queue_id, *, until_s, configuration_version):
        older = self._older(configuration_version)
        return older or self._calls.count_pending_jobs(queue_id)


class Entry:
    """The site of an instance without network connections."""

    def __init__(self, table):
        self.table = table
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.owner = CallsHarness()
        self.jobs = OwnerJobs(self.owner.calls)
        self.configuration_confirmed = True
        self.newest_configuration = 0
        # The configuration that a call can wait for, if any.
        self.next_table = None
        self._site = StreamingSite(
            make_caller_api(self),
            metrics=self.metrics,
            reactor=ReactorClock(),
            limits=HTTP_LIMITS,
        )
        self._site.startFactory()

    async def catch_up(self, version, *, timeout_s):
        """Apply the next configuration if it is new enough."""
        if self.next_table is None or self.next_table.version < version:
            return False
        self.table = self.next_table
        return True

    def call(self, method, path, *authorization, body=b""):
        """Make a call and return its status.

        :param authorization: values of the ``Authorization`` headers.
        """
        lines = [f"{method} {path} HTTP/1.1".encode(), b"Host: h"]
        lines += [b"Authorization: " + value for value in authorization]
        lines += [b"Content-Length: %d" % len(body), b"", body]
        self.caller = Caller(self._site)
        self.caller.send(b"\r\n".join(lines))
        # Time for the ledger's next write.
        self.owner.advance(0.05)
        return self.caller.status

    def submit(self, queue="private", job=JOB, key=b"k1"):
        """Submit a job of one task and return the call's status."""
        body = b'{"Spec":"x","Steps":[{"Count":1,"Cpu":1000,"EstimateMs":100}]}'
        return self.call("POST", f"/{queue}/{job}", *_bearer(key), body=body)

    def look(self, queue="private", job=JOB, key=b"k1"):
        """Ask for a job's state and return the call's status."""
        return self.call("GET", f"/{queue}/{job}", *_bearer(key))

    def cancel(self, queue="private", job=JOB, key=b"k1"):
        """Cancel a job and return the call's status."""
        return self.call("DELETE", f"/{queue}/{job}", *_bearer(key))


def _bearer(key):
    return [] if key is None else [b"Bearer " + key]


@pytest.fixture
def entry():
    return Entry(make_table())


def statuses(entry, queue, key):
    """Return the status of each kind of call with a key."""
    return {
        entry.submit(queue, key=key),
        entry.look(queue, key=key),
        entry.cancel(queue, key=key),
        entry.call("GET", f"/{queue}/", *_bearer(key)),
    }


class TestKeys:
    def test_all_calls_with_a_key_are_served(self, entry):
        assert statuses(entry, "private", b"k1") == {200}
        assert statuses(entry, "public", b"k1") == {200}

    @pytest.mark.parametrize("queue", ["private", "public"])
    def test_all_calls_with_an_unknown_key_are_refused(self, entry, queue):
        assert statuses(entry, queue, b"k3") == {401}
        assert b"WWW-Authenticate: Bearer" in entry.caller.received
        assert entry.look(queue) == 410

    def test_calls_without_a_key_are_served_on_public_queues_only(self, entry):
        assert statuses(entry, "private", None) == {401}
        assert statuses(entry, "public", None) == {200}

    def test_no_key_is_needed_without_customers(self):
        entry = Entry(make_table(tenants=None))
        assert statuses(entry, "private", None) == {200}
        assert statuses(entry, "private", b"any") == {200}

    def test_a_key_is_refused_from_the_version_that_removes_it(self, entry):
        assert entry.submit() == 200
        entry.table = make_table(version=4, tenants={"a": ["k9"], "b": ["k2"]})
        assert entry.look() == 401
        assert entry.look(key=b"k9") == 200
        assert entry.look(key=b"k2") == 410


class TestMalformedHeaders:
    """Guards against headers that pass, stop the entry or are answered by 500."""

    @pytest.mark.parametrize("queue", ["private", "public"])
    @pytest.mark.parametrize(
        "headers",
        [
            [b""],
            [b"k1"],
            [b"Basic k1"],
            [b"Bearer"],
            [b"Bearer \xff\xfe\x80"],
            [b"Bearer \xc3\xa9"],
            [b"Bearer k1", b"Bearer k1"],
            [b"Bearer k1", b"Basic x"],
            [b"Bearer " + b"k" * 2000],
            [b"Bearer " + b"k" * 65_536],
            [b"Bearer k" + b" \t" * 32_768],
            [b"Bearer " + b"k" * 600] * 120,
        ],
    )
    def test_they_are_refused_and_the_next_call_is_served(self, entry, headers, queue):
        assert entry.call("GET", f"/{queue}/{JOB}", *headers) in (400, 401)
        assert entry.caller.received.count(b"HTTP/1.1") == 1
        assert entry.look(queue) == 410


class TestJobsOfOtherCustomers:
    """Guards against customers that see, stop or take over the jobs of others."""

    @pytest.mark.parametrize("queue", ["private", "public"])
    def test_they_are_unknown(self, entry, queue):
        assert entry.submit(queue) == 200
        assert entry.look(queue, key=b"k2") == 410
        assert entry.cancel(queue, key=b"k2") == 410
        assert entry.look(queue) == 200
        assert b"cancelled" not in entry.caller.body

    def test_they_are_unknown_under_the_path_of_another_queue(self, entry):
        assert entry.submit() == 200
        assert entry.look("public", key=b"k2") == 410
        assert entry.look("public", key=None) == 410
        assert entry.cancel("public", key=None) == 410

    def test_callers_without_a_key_see_the_jobs_of_public_queues(self, entry):
        assert entry.submit("public") == 200
        assert entry.look("public", key=None) == 200
        assert entry.cancel("public", key=None) == 200

    @pytest.mark.parametrize("key", [b"k2", None])
    def test_their_identifiers_are_taken(self, entry, key):
        assert entry.submit("public") == 200
        assert entry.submit("public", key=key) == 403
        assert entry.submit("public") == 200

    def test_a_job_handed_in_again_is_known(self, entry):
        assert entry.submit() == entry.submit() == 200
        entry.table = make_table(version=4, tenants={"a": ["k8"]})
        assert entry.submit() == 401
        assert entry.submit(key=b"k8") == 200


class TestRefusals:
    @pytest.mark.parametrize("owner_s, header", [(3.0, 3), (2.2, 3), (0.0, 1)])
    def test_the_owners_time_to_retry_is_told_in_whole_seconds(
        self, entry, owner_s, header
    ):
        entry.jobs.outcome = JobOutcome.REFUSED
        entry.jobs.retry_after_s = owner_s
        assert entry.submit() == 503
        assert b"Retry-After: %d\r\n" % header in entry.caller.received

    def test_they_are_counted_by_reason_and_by_customer(self, entry):
        entry.look(key=b"k3")
        entry.look(key=None)
        entry.call("GET", "/private/no-job", b"Bearer k1")
        entry.jobs.outcome = JobOutcome.REFUSED
        assert entry.submit() == 503
        totals = entry.metrics.totals_by_name
        assert totals["refusal.authentication.key_unknown"] == 1
        assert totals["refusal.authentication.key_missing"] == 1
        assert totals["refusal.invalid_input"] == 1
        assert totals["refusal.customer.a.invalid_input"] == 1
        assert totals["refusal.customer.a.refused"] == 1

    def test_a_flood_of_unknown_keys_is_logged_once_without_them(self, entry, caplog):
        caplog.set_level(logging.DEBUG)
        for index in range(200):
            entry.look(key=b"secret-%d" % index)
        lines = [
            r.message for r in caplog.records if "event=request_refused" in r.message
        ]
        assert len(lines) == 1
        assert "reason=authentication.key_unknown count=1" in lines[0]
        assert "config=3" in lines[0]
        assert not [r for r in caplog.records if "secret" in r.getMessage()]


class TestOwnersWithANewerConfiguration:
    """A call that was judged under an older configuration is judged again."""

    @staticmethod
    def overtake(entry, **fields):
        """Let the owner have a configuration that the entry instance can get."""
        entry.next_table = make_table(version=4, **fields)
        entry.jobs.version = 4

    # Guards against an instance that has not heard of a removed key or a dropped route,
    # and still has calls with it carried out by an owner that has.
    @pytest.mark.parametrize("call", ["submit", "look", "cancel"])
    def test_a_removed_key_is_refused(self, entry, call):
        assert entry.submit() == 200
        self.overtake(entry, tenants={"b": ["k2"]})
        assert getattr(entry, call)() == 401
        assert entry.owner.scheduler.status(JOB) is not JobStatus.CANCELLED

    def test_a_job_is_submitted_under_the_newer_one(self, entry):
        """The body of the request has been read already."""
        self.overtake(entry)
        assert entry.submit() == 200
        assert entry.look() == 200

    def test_a_caller_comes_back_if_it_cannot_be_had(self, entry):
        entry.jobs.version = 4
        assert entry.submit() == 503
        assert b"retry-after" in entry.caller.transport.value().lower()
        assert entry.owner.kinds() == []
        entry.next_table = make_table(version=5)
        entry.jobs.version = 6
        assert entry.look() == 503


class TestRefusalsByAnOlderConfiguration:
    """An instance refuses a call only under the newest configuration it can know of."""

    # Guards against 404 for a route that has been added, or 401 for a key that has,
    # while another instance is known to have the configuration with it.
    def test_an_added_route_and_an_added_key_are_served(self, entry):
        entry.next_table = make_table(
            version=4, tenants={**CUSTOMERS, "c": ["k3"]}, added=["added"]
        )
        entry.newest_configuration = 4
        assert entry.submit(queue="added", key=b"k3") == 200
        assert entry.call("GET", "/added/", b"Bearer k3") == 200

    def test_a_route_that_the_newest_one_lacks_does_not_exist(self, entry):
        entry.next_table = make_table(version=4)
        entry.newest_configuration = 4
        assert entry.submit(queue="other") == 404

    # Guards against the same while nobody can tell whether there is a newer one.
    def test_without_a_confirmation_the_caller_comes_back(self, entry):
        entry.configuration_confirmed = False
        for refused in [entry.submit(queue="other"), entry.submit(key=b"k3")]:
            assert refused == 503
            assert b"retry-after" in entry.caller.transport.value().lower()
        assert entry.submit() == 200
        entry.configuration_confirmed = True
        assert entry.submit(queue="other") == 404
        assert entry.submit(key=b"k3") == 401
