"""Tests of the adaptive time-out of calls."""

import pytest

from pistachiolift.backends.answer_timer import AnswerTimer


@pytest.fixture
def timer():
    timer = AnswerTimer(min_timeout_s=0.15, max_timeout_s=0.8)
    for _ in range(20):
        timer.record_answer(0.015)
    return timer


class TestAnswerTimer:
    def test_a_fast_server_gets_the_minimum_time_out(self, timer):
        assert timer.timeout_s == pytest.approx(0.15)

    def test_unanswered_calls_double_the_time_out_up_to_the_maximum(self, timer):
        limits = []
        for _ in range(5):
            timer.record_timeout()
            limits.append(timer.timeout_s)
        assert limits == pytest.approx([0.3, 0.6, 0.8, 0.8, 0.8])
        timer.record_answer(0.015)
        assert timer.timeout_s == pytest.approx(0.15)

    def test_the_time_out_adapts_to_a_server_that_becomes_slow(self, timer):
        """Guards against repeated calls when answers suddenly take 16 times as long."""
        timed_out = 0
        for _ in range(20):
            while timer.timeout_s < 0.24:
                timer.record_timeout()
                timed_out += 1
            timer.record_answer(0.24)
        assert timed_out == 1
