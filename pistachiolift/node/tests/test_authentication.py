"""Authentication of callers by their keys."""

from hashlib import sha256

import pytest

from pistachiolift.common import CustomerId
from pistachiolift.node.authentication import (
    HEADER_LIMIT_BYTES,
    AuthenticationRefusal,
    CallerRefusedError,
    authenticate,
)
from pistachiolift.node.interfaces import QueueTable
from pistachiolift.workflows.tests.virtual_cell import make_queue

QUEUE = make_queue()
PUBLIC = make_queue("public", public=True)


def make_table(version=3, needs_keys=True, **customer_by_key):
    """Return a configuration with customers by their keys."""
    return QueueTable(
        version=version,
        queues=(QUEUE, PUBLIC),
        customer_by_digest={
            sha256(key.encode()).digest(): CustomerId(customer)
            for key, customer in customer_by_key.items()
        },
        needs_keys=needs_keys,
    )


TABLE = make_table(k1="a", k2="b")


def refusal_of(*headers, table=TABLE, queue=QUEUE):
    """Return the reason for which a call is refused."""
    with pytest.raises(CallerRefusedError) as caught:
        authenticate(table, queue, headers)
    assert caught.value.http_status == 401
    return caught.value.reason


class TestKeys:
    @pytest.mark.parametrize("queue", [QUEUE, PUBLIC])
    def test_a_key_names_its_customer(self, queue):
        assert authenticate(TABLE, queue, [b"Bearer k1"]) == "a"
        assert authenticate(TABLE, queue, [b"bearer  k2 "]) == "b"

    @pytest.mark.parametrize("queue", [QUEUE, PUBLIC])
    def test_an_unknown_key_is_refused_on_every_queue(self, queue):
        """Guards against unknown keys that pass as calls without a key."""
        unknown = AuthenticationRefusal.KEY_UNKNOWN
        assert refusal_of(b"Bearer k3", queue=queue) is unknown

    def test_a_removed_key_is_unknown_and_an_added_one_is_valid(self):
        newer = make_table(version=4, k2="b", k3="a")
        unknown = AuthenticationRefusal.KEY_UNKNOWN
        assert refusal_of(b"Bearer k1", table=newer) is unknown
        assert authenticate(newer, QUEUE, [b"Bearer k3"]) == "a"

    def test_a_digest_is_not_a_key(self):
        """Guards against callers who have read the digests."""
        digest = sha256(b"k1").digest()
        unknown = AuthenticationRefusal.KEY_UNKNOWN
        assert refusal_of(b"Bearer " + digest) is unknown
        assert refusal_of(b"Bearer " + digest.hex().encode()) is unknown


class TestCallsWithoutAKey:
    def test_they_are_refused_unless_the_queue_is_public(self):
        assert refusal_of() is AuthenticationRefusal.KEY_MISSING
        assert authenticate(TABLE, PUBLIC, []) == ""

    def test_no_key_is_needed_without_customers_in_the_configuration(self):
        table = make_table(needs_keys=False)
        assert authenticate(table, QUEUE, []) == ""
        assert authenticate(table, QUEUE, [b"Bearer k1"]) == ""

    def test_a_list_of_no_customers_admits_nobody(self):
        table = make_table()
        assert refusal_of(table=table) is AuthenticationRefusal.KEY_MISSING


class TestMalformedHeaders:
    """Guards against headers that pass, or that end in another status than 401."""

    @pytest.mark.parametrize("queue", [QUEUE, PUBLIC])
    @pytest.mark.parametrize(
        "header, reason",
        [
            (b"", AuthenticationRefusal.OTHER_SCHEME),
            (b"k1", AuthenticationRefusal.OTHER_SCHEME),
            (b"Basic k1", AuthenticationRefusal.OTHER_SCHEME),
            (b"Bearer:k1", AuthenticationRefusal.OTHER_SCHEME),
            (b"Bearer", AuthenticationRefusal.KEY_UNKNOWN),
            (b"Bearer ", AuthenticationRefusal.KEY_UNKNOWN),
            (b"Bearer k1, Bearer k2", AuthenticationRefusal.KEY_UNKNOWN),
            (b"Bearer k1 k1", AuthenticationRefusal.KEY_UNKNOWN),
            (b"Bearer K1", AuthenticationRefusal.KEY_UNKNOWN),
            (b"Bearer k1\x00", AuthenticationRefusal.KEY_UNKNOWN),
            (b"Bearer \xff\xfe\x80", AuthenticationRefusal.KEY_UNKNOWN),
            ("Bearer k1\u00e9".encode(), AuthenticationRefusal.KEY_UNKNOWN),
            (b"\xff\xfe k1", AuthenticationRefusal.OTHER_SCHEME),
            (b"Bearer " + b"k" * 65_536, AuthenticationRefusal.HEADER_TOO_LONG),
            (
                b"Bearer k1" + b" " * HEADER_LIMIT_BYTES,
                AuthenticationRefusal.HEADER_TOO_LONG,
            ),
        ],
    )
    def test_one_header(self, header, reason, queue):
        assert refusal_of(header, queue=queue) is reason

    @pytest.mark.parametrize("queue", [QUEUE, PUBLIC])
    def test_two_headers(self, queue):
        several = AuthenticationRefusal.SEVERAL_HEADERS
        assert refusal_of(b"Bearer k1", b"Bearer k1", queue=queue) is several
        assert refusal_of(b"Bearer k1", b"Bearer k2", queue=queue) is several

    def test_messages_do_not_contain_the_key(self):
        for headers in [(b"Bearer secret",), (b"secret k",), (b"Bearer secret",) * 2]:
            with pytest.raises(CallerRefusedError) as caught:
                authenticate(TABLE, QUEUE, headers)
            assert "secret" not in caught.value.message
