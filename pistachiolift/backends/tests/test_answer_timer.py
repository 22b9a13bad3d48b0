"""How the time limit of calls follows the answers."""

import pytest

from pistachiolift.backends.answer_timer import AnswerTimer


@pytest.fixture
def timer():
    timer = AnswerTimer(min_timeout_s=0.15, max_timeout_s=0.8)
    for _ in range(20):
        timer.record_answer(0.015)
    return timer


class TestAnswerTimer:
    def test_a_fast_server_is_asked_again_soon(self, timer):
        assert timer.limit_s == pytest.approx(0.15)

    def test_unanswered_calls_double_the_limit_up_to_the_longest(self, timer):
        limits = []
        for _ in range(5):
            timer.timed_out()
            limits.append(timer.limit_s)
        assert limits == pytest.approx([0.3, 0.6, 0.8, 0.8, 0.8])
        timer.answered(0.015)
        assert timer.limit_s == pytest.approx(0.15)

    def test_a_server_that_becomes_slow_is_given_time(self, timer):
        """Pattern: answers take sixty times as long from one moment on."""
        timed_out = 0
        for _ in range(20):
            while timer.limit_s < 0.24:
                timer.timed_out()
                timed_out += 1
            timer.answered(0.24)
        assert timed_out == 1
