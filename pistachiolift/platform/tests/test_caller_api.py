"""Headers of callers' requests."""

import pytest

from pistachiolift.platform.caller_api import DEFAULT_DEADLINE_S, _deadline_s


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
