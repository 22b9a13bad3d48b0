"""Tests of structured logging."""

import logging

from pistachiolift.common import log_event


class TestLogEvent:
    def test_value_with_newline_stays_on_one_line(self, caplog):
        """Guards against log injection by a newline in a caller's input."""
        logger = logging.getLogger("test")
        with caplog.at_level(logging.INFO):
            log_event(logger, "refused", kind='a\nevent=forged "x"')
        assert caplog.messages == [r'event=refused kind="a\nevent=forged \"x\""']
