"""The operators' configuration."""

import json

import pytest

from pistachiolift.common import MalformedMessageError
from pistachiolift.platform.configuration import decode_configuration


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
