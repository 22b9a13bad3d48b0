"""The configurations under which a caller's instance and the owner decide."""

import logging

import pytest

from pistachiolift.common import JobId, Metrics
from pistachiolift.node.call_versions import CallVersions, VersionOrder
from pistachiolift.node.peer_messages import CountWaiting, GetStatus
from pistachiolift.workflows import QueueId

JOB = JobId("0123456789abcdef")


class TestComparison:
    @pytest.mark.parametrize(
        ("caller", "order"),
        [
            (None, VersionOrder.SAME),
            (7, VersionOrder.SAME),
            (8, VersionOrder.CALLER_NEWER),
            (6, VersionOrder.CALLER_OLDER),
        ],
    )
    def test_versions_are_compared(self, caller, order):
        message = GetStatus(JOB, configuration_version=caller)
        assert CallVersions(Metrics()).compare(message, 7) is order

    def test_a_difference_is_counted_for_each_call_and_logged_once(self, caplog):
        metrics = Metrics()
        versions = CallVersions(metrics)
        with caplog.at_level(logging.INFO):
            for caller in [5, 6] * 3:
                message = CountWaiting(QueueId("q"), configuration_version=caller)
                versions.compare(message, 7)
        assert caplog.text.count("call_version_differs") == 2
        assert "caller_config=6 config=7" in caplog.text
        assert metrics.totals_by_name["configuration.caller_older"] == 6
        with caplog.at_level(logging.INFO):
            versions.compare(message, 8)
        assert "caller_config=6 config=8" in caplog.text
