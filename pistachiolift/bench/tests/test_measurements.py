import socket
import threading

from click.testing import CliRunner

from pistachiolift.bench.forwarder import CountingForwarder
from pistachiolift.bench.load import LoadResult, SentRequest
from pistachiolift.bench.owner_load import measure_owner_load
from pistachiolift.bench.report import Measure, percentile
from pistachiolift.bench.start import measure_start
from pistachiolift.bench.suite import MEASUREMENTS, Measurement
from pistachiolift.bench.takeover import judge
from pistachiolift.cli import main


def sent(key, kind="check-in", status=200, outcome="done"):
    return SentRequest(key, kind, 0.0, 0.1, status, outcome, 1)


def run(key, started_s, ended_s):
    return {
        "request_id": f"federation/{key}",
        "started_s": started_s,
        "ended_s": ended_s,
    }


class TestJudge:
    def counts(self, request, *runs):
        return judge(LoadResult(sent=[request], elapsed_s=1.0), list(runs))

    def test_one_run_is_right(self):
        assert self.counts(sent("a"), run("a", 1, 2)) == (0, 0, 0)

    def test_each_fault_is_counted(self):
        """Guards against a report of no faults because none can be seen."""
        later, overlapping = run("a", 3, 4), run("a", 1.5, 3)
        assert self.counts(sent("a", status=0, outcome="")) == (1, 0, 0)
        assert self.counts(sent("a"), run("a", 1, 2), overlapping) == (0, 1, 0)
        assert self.counts(sent("a"), run("a", 1, 2), later) == (0, 0, 0)
        once = sent("a", "publication")
        assert self.counts(once, run("a", 1, 2), later) == (0, 1, 0)
        assert self.counts(sent("a")) == (0, 0, 1)
        refused = sent("a", status=503, outcome="refused")
        assert self.counts(refused, run("a", 1, 2)) == (0, 0, 1)


class TestReport:
    def test_percentile_of_few_and_of_no_values(self):
        assert percentile([], 0.99) == 0.0
        assert percentile([3.0, 1.0, 2.0], 0.5) == 2.0
        assert percentile([3.0, 1.0, 2.0], 0.99) == 3.0


class TestForwarder:
    def test_counts_both_directions(self):
        """Guards against traffic that is forwarded and not counted."""
        with socket.create_server(("127.0.0.1", 0)) as server:

            def answer():
                connection, _ = server.accept()
                with connection:
                    connection.sendall(connection.recv(100)[:2])

            threading.Thread(target=answer, daemon=True).start()
            with CountingForwarder(server.getsockname()[1]) as forwarder:
                with socket.create_connection(("127.0.0.1", forwarder.port)) as client:
                    client.sendall(b"12345")
                    assert client.recv(100) == b"12"
                assert forwarder.total_bytes == 7


class TestCommand:
    def invoke(self, monkeypatch, run, *arguments):
        each = Measurement(description="a trial", run=run)
        monkeypatch.setitem(MEASUREMENTS, "trial", each)
        return CliRunner().invoke(main, ["bench", *arguments])

    def test_a_missed_target_is_no_error(self, monkeypatch):
        def missed(*, seed):
            return [
                Measure(
                    name="trial",
                    measure=f"seed {seed}",
                    value="2",
                    baseline="1",
                    target="below 1",
                    met=False,
                )
            ]

        result = self.invoke(monkeypatch, missed, "trial", "--seed", "7")
        assert result.exit_code == 0
        assert "seed 7" in result.output and "not met" in result.output

    def test_a_failed_measurement_is_an_error(self, monkeypatch):
        def failing(*, seed):
            raise RuntimeError("no processes")

        result = self.invoke(monkeypatch, failing, "trial")
        assert result.exit_code == 1
        assert "no processes" in result.output

    def test_an_unknown_name_is_wrong_usage(self, monkeypatch):
        result = self.invoke(monkeypatch, None, "other")
        assert result.exit_code == 2
        assert "placement" in result.output


class TestOwnerLoad:
    def test_all_kinds_of_jobs_are_started(self):
        """Guards against a measurement of a scheduler that has nothing to do."""
        result = measure_owner_load(seed=2, workers=60, duration_s=3.0)
        assert set(result.waiting_ms) == {"survey", "calculation", "check"}
        assert result.runs > 300
        assert result.processor_s > 0


class TestStart:
    def test_the_program_takes_more_than_the_interpreter(self):
        result = measure_start(starts=1)
        assert result.processor_s > result.interpreter_s > 0
        assert result.memory_mb > 0
