import socket

import pytest
from OpenSSL import SSL
from twisted.internet.error import ConnectingCancelledError
from twisted.python.failure import Failure
from twisted.web.client import RequestTransmissionFailed

from pistachiolift.cli.exit_codes import ExitCode
from pistachiolift.cli.tests.fake_server import BREAK, FakeServer, error

CHANGED = (200, {"change_id": "c1", "revision": 7, "changes": []})
SET = "POST /v1/settings/set"
UNTRUSTED = [("SSL routines", "", "certificate verify failed")]
SET_ARGS = ("settings", "set", "lekki", "weight", "5", "--change-id", "c1")


@pytest.fixture
def closed_url():
    """Return an address at which nothing listens."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{unused.getsockname()[1]}"


class TestFailover:
    def test_next_address_after_a_refused_connection(self, run, closed_url):
        """Guards against giving up, or against an unknown outcome, when nothing was
        sent.
        """
        with FakeServer({SET: [CHANGED]}) as server:
            result = run(*SET_ARGS, urls=(closed_url, server.url))
        assert result.exit_code == ExitCode.DONE, result.output

    def test_change_is_repeated_with_its_identifier_only(self, run):
        """Guards against a change that is applied twice after a lost answer."""
        answers = {SET: [BREAK, CHANGED]}
        with FakeServer(answers) as server:
            result = run(*SET_ARGS, urls=(server.url, server.url))
            sent = server.documents(SET)
        assert result.exit_code == ExitCode.DONE
        assert [each["change_id"] for each in sent] == ["c1", "c1"]

    def test_refused_repetition_leaves_the_outcome_unknown(self, run):
        """Guards against "not run" when the first try may have been carried out."""
        answers = {SET: [BREAK, error(503, "store_unavailable")]}
        with FakeServer(answers) as server:
            result = run(*SET_ARGS, urls=(server.url, server.url))
        assert result.exit_code == ExitCode.UNKNOWN_OUTCOME
        assert "--change-id c1" in result.stderr

    def test_no_address_answers(self, run, closed_url):
        result = run(*SET_ARGS, urls=(closed_url,))
        assert result.exit_code == ExitCode.UNREACHABLE

    def test_change_without_an_answer(self, run):
        with FakeServer({SET: [BREAK]}) as server:
            result = run(*SET_ARGS, urls=(server.url,))
        assert result.exit_code == ExitCode.UNKNOWN_OUTCOME

    def test_change_with_an_unreadable_answer(self, run):
        """Guards against calling a change that was made unreachable."""
        with FakeServer({SET: [(200, b"<html>")]}) as server:
            result = run(*SET_ARGS, urls=(server.url,))
        assert result.exit_code == ExitCode.UNKNOWN_OUTCOME


class TestBrokenConnections:
    @pytest.mark.parametrize(
        ("failure", "exit_code"),
        [
            (ConnectingCancelledError(None), ExitCode.UNREACHABLE),
            (RequestTransmissionFailed([]), ExitCode.UNKNOWN_OUTCOME),
            (
                RequestTransmissionFailed([Failure(SSL.Error(UNTRUSTED))]),
                ExitCode.UNREACHABLE,
            ),
            (RuntimeError("a fault of the program"), ExitCode.UNKNOWN_OUTCOME),
        ],
    )
    def test_exit_code(self, run, monkeypatch, failure, exit_code):
        """Guards against a traceback, whose exit code 1 means "not run"."""

        async def fail(*_args, **_options):
            raise failure

        monkeypatch.setattr("treq.request", fail)
        result = run(*SET_ARGS, urls=("http://127.0.0.1:1",))
        assert (result.exit_code, result.stderr.count("\n")) == (exit_code, 1)


class TestErrors:
    @pytest.mark.parametrize(
        ("answer", "exit_code"),
        [
            (error(400, "invalid_input"), ExitCode.REFUSED),
            (error(401, "authentication_failed"), ExitCode.AUTHENTICATION),
            (error(404, "not_found"), ExitCode.NOT_FOUND),
            (error(409, "conflict"), ExitCode.CONFLICT),
            (error(502, "outcome_unknown", "unknown"), ExitCode.UNKNOWN_OUTCOME),
            (error(503, "no_owner", "unknown"), ExitCode.UNKNOWN_OUTCOME),
            (error(503, "code_of_a_newer_release"), ExitCode.REFUSED),
        ],
    )
    def test_exit_code(self, run, answer, exit_code):
        with FakeServer({SET: [answer]}) as server:
            result = run(*SET_ARGS, urls=(server.url,))
        assert result.exit_code == exit_code

    def test_one_line_with_code_and_retry_time(self, run):
        answer = error(503, "store_unavailable", retry_after_s=2.5)
        answer[1]["message"] = "two\nlines\x1b[31m"
        with FakeServer({SET: [answer]}) as server:
            result = run(*SET_ARGS, urls=(server.url,))
        line = "Error: store_unavailable: two lines [31m (retry after 2.5 s)\n"
        assert result.stderr == line

    def test_tokens_are_sent_but_never_shown(self, run):
        with FakeServer({SET: [error(401, "authentication_failed")]}) as server:
            result = run(*SET_ARGS, urls=(server.url,))
            headers = server.calls[0][1]
        assert headers["Authorization"] == "Bearer operator-secret"
        assert "secret" not in result.output

    @pytest.mark.parametrize(
        "args", [("--token", "hidden secret"), ("--operator-url", "http://u:secret@h")]
    )
    def test_refused_credentials_are_not_shown(self, run, args):
        result = run("status", *args, urls=("http://127.0.0.1:1",))
        assert result.exit_code == ExitCode.USAGE
        assert "secret" not in result.output
