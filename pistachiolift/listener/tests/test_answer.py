"""Tests of the answers to callers."""

import pytest
from twisted.internet.testing import StringTransport

from pistachiolift.common import InvalidInputError, Outcome, QueueFullError
from pistachiolift.listener import CallerAnswer
from pistachiolift.listener.tests.support import Setup

PART = b"p" * 65536
PARTS = 17  # Together they exceed the buffer of 1 MiB.


@pytest.fixture
def answers():
    return []


@pytest.fixture
def setup(answers):
    async def wait(request):
        answers.append(CallerAnswer(request))
        await answers[-1].finished

    async def leave(request):
        answers.append(CallerAnswer(request))
        stream(answers[-1])

    def text(request):
        return b"text"

    def broken(request):
        raise RuntimeError("secret")

    return Setup(wait=wait, leave=leave, text=text, broken=broken)


@pytest.fixture
def caller(setup):
    caller = setup.call()
    caller.post("wait", b"x")
    return caller


def stream(answer, length=None):
    upstream = StringTransport()
    answer.write_head(200, {}, length)
    answer.attach_transport(upstream)
    for _ in range(PARTS):
        answer.write(PART)
    return upstream


class TestBufferedAnswer:
    def test_retry_replaces_an_incomplete_answer(self, caller, answers):
        """Guards against combining the answers of two attempts."""
        answer = answers[0]
        answer.write_head(200, {}, 10)
        answer.write(b"broken")
        assert answer.retryable and not caller.received
        answer.write_head(201, {"content-type": "image/png"}, None)
        answer.write(b"whole")
        assert answer.buffered_answer(5) == (
            201,
            {"content-type": "image/png"},
            b"whole",
        )
        assert answer.buffered_answer(4) is None
        answer.commit()
        assert caller.status == 201 and caller.body == b"whole"
        assert b"Content-Length: 5\r\n" in caller.received and answer.ended

    def test_late_answer_of_a_superseded_attempt_is_discarded(
        self, setup, caller, answers
    ):
        """Guards against data of a superseded attempt in the answer."""
        late, current = answers[0].attempt_sink(), answers[0].attempt_sink()
        current.write_head(200, {}, 3)
        late.write_head(200, {}, 4)
        current.write(b"new")
        late.write(b"late")
        answers[0].commit()
        assert caller.body == b"new"
        assert setup.metrics.snapshot()["http.late_answer_dropped"] == 2

    def test_second_answer_after_the_start_of_a_stream_aborts(self, caller, answers):
        """Guards against combining the answers of two attempts in a stream."""
        stream(answers[0])
        sent = len(caller.received)
        stream(answers[0])
        assert caller.transport.disconnected and len(caller.received) == sent

    def test_only_allowed_headers_are_passed_on(self, caller, answers):
        """Guards against leaking hop-by-hop and internal headers to callers."""
        headers = {"connection": "upgrade", "set-cookie": "a", "etag": "e"}
        answers[0].write_head(200, headers | {"transfer-encoding": "x"}, None)
        answers[0].commit()
        head = caller.received.lower()
        assert b"etag: e\r\n" in head and b"outcome: done\r\n" in head
        for name in (b"connection:", b"set-cookie", b"transfer-encoding"):
            assert name not in head

    def test_truncated_answer_is_not_passed_on(self, caller, answers):
        """Guards against a truncated answer that appears complete."""
        answers[0].write_head(200, {}, 10)
        answers[0].write(b"short")
        answers[0].commit()
        assert not caller.received and caller.transport.disconnecting


class TestStreamedAnswer:
    def test_slow_caller_pauses_the_upstream(self, caller, answers):
        """Guards against buffering the answer for a slow caller without a bound."""
        upstream = stream(answers[0])
        assert not answers[0].retryable and upstream.producerState == "producing"
        caller.channel.pauseProducing()
        sent = len(caller.received)
        answers[0].write(PART)
        # deliverBody resumes the transport; the next part has to pause it again.
        upstream.resumeProducing()
        answers[0].write(PART)
        assert upstream.producerState == "paused" and len(caller.received) == sent
        caller.channel.resumeProducing()
        assert upstream.producerState == "producing"
        answers[0].commit()
        assert caller.body.endswith(b"\r\n0\r\n\r\n") and answers[0].ended

    @pytest.mark.parametrize("end", ["abort", "fail", "commit"])
    def test_truncated_answer_is_visible(self, caller, answers, end):
        """Guards against ending a truncated answer like a complete one."""
        stream(answers[0], length=None if end != "commit" else PARTS * len(PART) + 1)
        arguments = [QueueFullError("full")] if end == "fail" else []
        getattr(answers[0], end)(*arguments)
        assert not caller.body.endswith(b"0\r\n\r\n")
        assert caller.transport.disconnected and b"full" not in caller.received

    def test_handler_that_returns_early_does_not_end_it(self, setup, answers):
        """Guards against klein ending an answer that is still being streamed."""
        caller = setup.call()
        caller.post("leave", b"x")
        assert caller.transport.disconnected
        assert not caller.body.endswith(b"0\r\n\r\n")

    def test_disconnected_caller_stops_the_upstream(self, caller, answers):
        """Guards against reading an answer after its caller has disconnected."""
        upstream = stream(answers[0])
        caller.leave()
        assert upstream.producerState == "stopped" and answers[0].ended
        answers[0].write(PART)
        answers[0].commit()

    def test_connection_of_a_stalled_caller_is_aborted(self, setup, caller, answers):
        """Guards against callers that occupy the memory of an answer indefinitely."""
        stream(answers[0])
        caller.channel.pauseProducing()
        setup.sweep_for(22)
        assert caller.transport.disconnected
        assert setup.metrics.snapshot()["http.closed.write_stalled"] == 1


class TestFinalAnswer:
    def test_error_is_reported_once(self, setup, caller, answers):
        """Guards against sending two answers to one request."""
        error = QueueFullError("full", retry_after_s=1.2, outcome=Outcome.EXPIRED)
        answers[0].fail(error)
        assert caller.status == 503 and b"Retry-After: 2\r\n" in caller.received
        assert b"Outcome: expired\r\n" in caller.received
        assert caller.error == {
            "code": "queue_full",
            "message": "full",
            "outcome": "expired",
            "retry_after_s": 1.2,
        }
        received = caller.received
        answers[0].fail(InvalidInputError("again"))
        answers[0].commit()
        assert caller.received == received
        assert setup.metrics.snapshot()["http.error.QueueFullError"] == 1

    def test_failure_of_a_handler_is_not_reported_as_not_run(self, setup):
        """Guards against the outcome "not run" after an unexpected failure, and against
        internal details in the message.
        """
        caller = setup.call()
        caller.post("broken")
        assert caller.status == 500 and caller.error["outcome"] == "unknown"
        assert b"secret" not in caller.received

    def test_returned_text_has_a_length(self, setup):
        """Guards against answers of known length without Content-Length."""
        caller = setup.call()
        caller.post("text")
        assert caller.body == b"text" and b"Content-Length: 4" in caller.received
