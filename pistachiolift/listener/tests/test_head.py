"""Tests of the parsing of request heads."""

import pytest
from twisted.web.test.requesthelper import DummyRequest

from pistachiolift.common import AuthenticationError, InvalidInputError, Outcome
from pistachiolift.listener import CallerHead, parse_head

GOOD = {
    "Authorization": "Bearer abc123==",
    "Idempotency-Key": "race-7:loft_9~1.2",
    "Deadline-Ms": "86400000",
    "Repeatable": "true",
}


def parse(kind="check-in", **changes):
    request = DummyRequest([])
    for name, value in (GOOD | changes).items():
        if value is not None:
            values = value if isinstance(value, list) else [value]
            request.requestHeaders.setRawHeaders(name, values)
    return parse_head(request, kind)


class TestParseHead:
    def test_missing_deadline_selects_the_default_of_the_kind(self):
        """Guards against a request without a deadline that is refused or endless."""
        assert parse(**{"Deadline-Ms": None}).deadline_ms is None

    def test_good_head(self):
        """Guards against values that are parsed from the wrong header."""
        assert parse() == CallerHead(
            kind="check-in",
            token="abc123==",
            key="race-7:loft_9~1.2",
            deadline_ms=86_400_000,
            repeatable=True,
        )

    def test_missing_repeatable_means_at_most_once(self):
        """Guards against running a request twice without the caller's consent."""
        assert parse(Repeatable=None).repeatable is False

    @pytest.mark.parametrize(
        "changes, shown, allowed",
        [
            ({"Idempotency-Key": "k" * 201}, "kkk...", "1 to 200"),
            ({"Idempotency-Key": "a/b"}, "'a/b'", "letters"),
            ({"Idempotency-Key": ".."}, "'..'", "beginning with"),
            ({"Idempotency-Key": None}, "missing", "1 to 200"),
            ({"Idempotency-Key": ["a", "b"]}, "2 times", "once"),
            ({"Deadline-Ms": "0"}, "'0'", "1 to 86400000"),
            ({"Deadline-Ms": "86400001"}, "'86400001'", "1 to 86400000"),
            ({"Deadline-Ms": "9" * 5000}, "99...", "1 to 86400000"),
            ({"Deadline-Ms": "1.5"}, "'1.5'", "1 to 86400000"),
            ({"Repeatable": "True"}, "'True'", "'true' and 'false'"),
            ({"kind": "k" * 65}, "kkk...", "1 to 64"),
        ],
    )
    def test_error_contains_the_rejected_value_and_the_range(
        self, changes, shown, allowed
    ):
        """Guards against errors that do not tell the caller what to correct."""
        with pytest.raises(InvalidInputError) as caught:
            parse(**changes)
        assert shown in caught.value.message and allowed in caught.value.message
        assert caught.value.outcome is Outcome.REFUSED
        assert len(caught.value.message) < 300

    @pytest.mark.parametrize("value", [None, "Basic c2VjcmV0", "Bearer sec ret", ""])
    def test_error_does_not_contain_the_credential(self, value):
        """Guards against leaking credentials to answers and logs."""
        with pytest.raises(AuthenticationError) as caught:
            parse(Authorization=value)
        assert "sec" not in caught.value.message
        assert caught.value.outcome is Outcome.REFUSED
