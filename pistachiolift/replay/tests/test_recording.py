import json
import os
import random

import pytest
from click.testing import CliRunner

from pistachiolift.bench.request_replay import StaticPolicies, Workload, make_spec
from pistachiolift.cli import main
from pistachiolift.common import ManualClock, Urgency
from pistachiolift.home import record_trace, trace
from pistachiolift.jobs import JobScheduler, JobSpec, PolicyName, Resources
from pistachiolift.replay import TraceError, read_trace, replay_exactly
from pistachiolift.replay.record import TRACES
from pistachiolift.requests import (
    Answer,
    AttemptReport,
    AttemptResult,
    RequestScheduler,
)

WORK = Workload(kind_id="k", urgency=Urgency.URGENT, load=1, run_s=0.1)


def run_requests(count=20):
    """Run requests and a job; returns the decisions about the last request."""
    clock = ManualClock()
    traced = trace.open_trace(clock, random.Random(1), "p", 1)
    requests = traced.record_requests(
        RequestScheduler(
            partition_id="p",
            epoch=1,
            policies=traced.record_policies(StaticPolicies([WORK])),
            rng=traced.rng,
        )
    )
    requests.pool.upsert("u", "192.0.2.1:80", 1, clock.monotonic_s())
    for number in range(count):
        clock.advance(0.1)
        now_s = clock.monotonic_s()
        [grant] = requests.submit(make_spec(f"c/{number}", WORK, now_s + 5), now_s)
        answer = Answer(200, "text/plain", b"secret answer")
        report = AttemptReport(
            grant.request_id, grant.attempt_id, AttemptResult.FAILED, 0.1, answer=answer
        )
        decisions = requests.attempt_ended(report, now_s)
        decisions += requests.tick(now_s + 0.05)
        attempts = [d.attempt_id for d in decisions if hasattr(d, "address")]
        for attempt_id in attempts:
            done = AttemptReport(
                grant.request_id, attempt_id, AttemptResult.ANSWERED, 0.1, answer=answer
            )
            decisions += requests.attempt_ended(done, now_s + 0.05)
    jobs_trace = trace.open_trace(clock, random.Random(2), "p", 1)
    jobs = jobs_trace.record_jobs(
        JobScheduler(partition_id="p", epoch=1, rng=jobs_trace.rng)
    )
    spec = JobSpec(
        job_id="j",
        customer_id="c",
        policy=PolicyName.BATCH,
        tasks=1,
        resources=Resources(1, 1, 0),
        payload="secret payload",
    )
    jobs.submit_job(spec, clock.monotonic_s())
    return decisions


class TestRecording:
    def test_replays_without_a_difference(self, tmp_path):
        """Retries draw from the random generator, so the seed has to be recorded."""
        path = tmp_path / "trace.jsonl"
        with record_trace(path):
            assert run_requests()
        result = replay_exactly(read_trace(path))
        assert result.difference is None
        assert result.decisions >= 40
        assert not result.stopped

    def test_holds_no_bodies_payloads_or_addresses(self, tmp_path):
        path = tmp_path / "trace.jsonl"
        with record_trace(path):
            run_requests()
        text = path.read_text()
        assert "secret" not in text
        assert "192.0.2.1" not in text
        assert path.stat().st_mode & 0o077 == 0

    def test_stops_at_the_size_limit_and_says_so(self, tmp_path, monkeypatch):
        path = tmp_path / "trace.jsonl"
        recorder = trace.TraceRecorder(path, limit_bytes=5000)
        monkeypatch.setattr(trace, "_recorders", [recorder])
        run_requests()
        assert not recorder.active
        assert path.stat().st_size < 6000
        last = json.loads(path.read_text().splitlines()[-1])
        assert last["event"] == {"event": "RecordingStopped", "reason": "size_limit"}
        assert replay_exactly(read_trace(path)).stopped == "size_limit"

    @pytest.mark.parametrize("target", ["folder", "missing/file", "pipe"])
    def test_goes_on_when_the_file_cannot_be_opened(self, tmp_path, target):
        """Guards against a wrong path that stops a process or blocks it."""
        (tmp_path / "folder").mkdir()
        os.mkfifo(tmp_path / "pipe")
        with record_trace(tmp_path / target):
            assert run_requests()

    def test_goes_on_when_a_write_fails(self, tmp_path, monkeypatch):
        """Guards against a full disk that stops the process."""
        monkeypatch.setattr(trace, "BUFFER_BYTES", 0)
        with record_trace(tmp_path / "trace.jsonl"):
            recorder = trace._recorders[-1]
            recorder._file.close()
            recorder._file = open("/dev/full", "wb", buffering=0)
            assert run_requests()
            assert not recorder.active

    def test_same_decisions_with_and_without(self, tmp_path):
        """Guards against a recording that changes what is decided."""
        plain = run_requests()
        with record_trace(tmp_path / "trace.jsonl"):
            recorded = run_requests()
        assert [type(d) for d in plain] == [type(d) for d in recorded]


class TestReading:
    def lines(self, tmp_path):
        path = tmp_path / "trace.jsonl"
        with record_trace(path):
            run_requests()
        return path, path.read_bytes().splitlines(keepends=True)

    def test_passes_over_a_torn_last_line(self, tmp_path):
        path, lines = self.lines(tmp_path)
        path.write_bytes(b"".join(lines[:-1]) + lines[-1][:10])
        assert len(list(read_trace(path))) == len(lines) - 1

    @pytest.mark.parametrize("bad", [b"{}\n", b"\xff\n", b'{"event":1}\n', b"\n"])
    def test_names_a_damaged_line(self, tmp_path, bad):
        path, lines = self.lines(tmp_path)
        path.write_bytes(lines[0] + bad)
        with pytest.raises(TraceError, match="line 2 of trace.jsonl"):
            list(read_trace(path))

    def test_shows_the_first_difference_with_its_line(self, tmp_path):
        path, lines = self.lines(tmp_path)
        number = next(i for i, line in enumerate(lines) if b"Granted" in line)
        lines[number] = lines[number].replace(
            b'"upstream_id":"u"', b'"upstream_id":"v"'
        )
        path.write_bytes(b"".join(lines))
        assert replay_exactly(read_trace(path)).difference.line == number + 1


class TestCommand:
    def run(self, *arguments):
        return CliRunner().invoke(main, ["replay", *map(str, arguments)])

    def test_exits_with_0_and_prints_figures(self):
        result = self.run(TRACES / "store_outage.jsonl.gz", "--output", "json")
        assert result.exit_code == 0, result.output
        report = json.loads(result.output)
        assert report["ok"] and not report["predicted"]
        assert report["figures"]["kinds"]

    def test_exits_with_1_on_a_broken_outcome(self, tmp_path):
        outcomes = tmp_path / "outcomes.toml"
        outcomes.write_text(
            '[[outcome]]\ncheck = "done_in_time"\nsubject = "publication"'
        )
        trace_path = TRACES / "store_outage.jsonl.gz"
        result = self.run(trace_path, "--outcomes", outcomes)
        assert result.exit_code == 1
        assert "BROKEN" in result.output

    def test_says_that_what_if_predicts(self):
        trace_path = TRACES / "check_in_flood.jsonl.gz"
        result = self.run(trace_path, "--what-if", "deferrable_min_share=0.2")
        assert "PREDICTION with deferrable_min_share=0.2" in result.output

    def test_what_if_applies_the_setting(self):
        """Guards against a prediction that ignores the changed setting."""
        waits_s = []
        for share in (0.05, 0.4):
            pair = f"deferrable_min_share={share}"
            trace_path = TRACES / "check_in_flood.jsonl.gz"
            result = self.run(trace_path, "--what-if", pair, "--output", "json")
            kinds = json.loads(result.output)["figures"]["kinds"]
            waits_s += [k["wait_p50_s"] for k in kinds if k["urgency"] == "deferrable"]
        assert waits_s[1] < waits_s[0]

    @pytest.mark.parametrize("pair", ["weight=1", "deferrable_min_share=2", "x"])
    def test_refuses_unknown_settings(self, pair):
        trace_path = TRACES / "check_in_flood.jsonl.gz"
        assert self.run(trace_path, "--what-if", pair).exit_code == 2
