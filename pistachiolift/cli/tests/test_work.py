import pytest

from pistachiolift.cli.documents import (
    JobDetails,
    JobsStatus,
    JobTask,
    PartitionStatus,
    RequestDetails,
)
from pistachiolift.cli.exit_codes import ExitCode
from pistachiolift.cli.explanations import explain_job, explain_request
from pistachiolift.cli.tests.fake_server import BREAK, FakeServer, error
from pistachiolift.common import encode_json

SUBMIT = "POST /v1/requests/dye"
SUBMIT_ARGS = ("submit", "request", "dye", "--key", "k1")
JOB_FLAGS = ("--customer", "tapis", "--policy", "gang", "--memory-mb", "64")


class TestSubmitRequest:
    def test_answer_is_printed_unchanged(self, run):
        with FakeServer({SUBMIT: [(200, b"\x00\xff", {"Outcome": "done"})]}) as server:
            result = run(
                *SUBMIT_ARGS, "--deadline", "2", urls=(server.url,), input=b"rug"
            )
            (_, headers, body) = server.calls[0]
        assert (result.exit_code, result.stdout_bytes, body) == (0, b"\x00\xff", b"rug")
        assert (headers["Deadline-Ms"], headers["Repeatable"]) == ("2000", "false")

    def test_repetition_has_the_same_key(self, run):
        """Guards against a request that runs twice after a broken connection."""
        answers = {SUBMIT: [BREAK, (200, b"ok", {"Outcome": "done"})]}
        with FakeServer(answers) as server:
            result = run(*SUBMIT_ARGS, urls=(server.url, server.url))
            keys = [headers["Idempotency-Key"] for _, headers, _ in server.calls]
        assert (result.exit_code, keys) == (ExitCode.DONE, ["k1", "k1"])

    @pytest.mark.parametrize(
        ("answer", "exit_code"),
        [
            ((500, b"broken", {"Outcome": "failed"}), ExitCode.FAILED),
            (error(502, "upstream_failed", "failed"), ExitCode.FAILED),
            (error(504, "deadline_expired", "expired"), ExitCode.REFUSED),
            (error(409, "already_done", "done"), ExitCode.CONFLICT),
            ((502, b"proxy"), ExitCode.UNKNOWN_OUTCOME),
        ],
    )
    def test_exit_code(self, run, answer, exit_code):
        with FakeServer({SUBMIT: [answer]}) as server:
            assert run(*SUBMIT_ARGS, urls=(server.url,)).exit_code == exit_code


class TestSubmitJob:
    def test_flags_override_the_file(self, run):
        text = 'job_id = "j"\ntasks = 1\n[resources]\ncpu_milli = 5\nmemory_mb = 1'
        with FakeServer({"POST /v1/jobs": [(200, {"accepted": True})]}) as server:
            args = ("submit", "job", *JOB_FLAGS, "--tasks", "3")
            result = run(*args, urls=(server.url,), input=text)
            (sent,) = server.documents("POST /v1/jobs")
        assert result.exit_code == ExitCode.DONE, result.output
        assert (sent["tasks"], sent["resources"]) == (3, [5, 64, 0])

    def test_misspelt_field_is_refused(self, run):
        """Guards against a default that takes the place of a misspelt field."""
        with FakeServer({}) as server:
            result = run(
                "submit", "job", *JOB_FLAGS, urls=(server.url,), input="taks=1"
            )
        assert (result.exit_code, server.calls) == (ExitCode.USAGE, [])


class TestCancel:
    @pytest.mark.parametrize(
        ("outcome", "exit_code"),
        [
            ("cancelled_not_run", ExitCode.DONE),
            ("cancelled_may_have_run", ExitCode.UNKNOWN_OUTCOME),
            ("done", ExitCode.CONFLICT),
        ],
    )
    def test_exit_code(self, run, outcome, exit_code):
        """Guards against a script that takes a request which ran for one that did
        not.
        """
        document = {"code": "cancelled", "message": "m", "outcome": outcome}
        with FakeServer({"DELETE /v1/requests/dye/k1": [(200, document)]}) as server:
            result = run("cancel", "request", "dye", "k1", urls=(server.url,))
        assert result.exit_code == exit_code


class TestExplanations:
    def test_phase_and_outcome_are_explained(self):
        details = RequestDetails("c/k", "queued", None, "p", 1)
        assert "queue" in " ".join(explain_request(details, None, "dye", {}))
        details = RequestDetails("c/k", "ended", "unknown", "p", 1)
        assert "may have run" in " ".join(explain_request(details, None, "dye", {}))

    def test_job_blocked_by_its_quota(self):
        job = JobDetails(
            "j", "c", "active", 4, 1, 0, 0, 3, True, "quota", False, None, None,
            (10, 20, 0), (10, 5, 0),
        )  # fmt: skip
        assert "cpu_milli 10" in explain_job(job)[-1]

    def test_each_task_with_worker_or_reason(self):
        """Guards against an explanation that hides where a task runs or waits."""
        job = JobDetails(
            "j", "c", "active", 2, 1, 0, 1, 0, True, None, False, None, None,
            None, (0, 0, 0), "p-0",
            [JobTask(0, 1, 0, "running", "worker-3"), JobTask(1, 2, 1, None, None,
             "retry_delay")],
        )  # fmt: skip
        text = " ".join(explain_job(job))
        assert "Task 0, attempt 1, is running on worker-3." in text
        assert "Task 1, attempt 2, is waiting: an attempt has failed" in text

    def test_job_names_its_partition_and_quarantined_workers(self, run):
        """Guards against an explanation that hides why workers are not used."""
        job = JobDetails(
            "j", "c", "active", 4, 0, 0, 0, 4, True, "no_room", False, None, None,
            None, (0, 0, 0), "p-0",
        )  # fmt: skip
        jobs = JobsStatus(1, 1, 0, {"live": 2}, ["worker-2"])
        partition = PartitionStatus("p-0", 3, "entry-1", 0, {}, {}, jobs)
        answers = {
            "GET /v1/jobs/j": [(200, encode_json(job))],
            "GET /v1/partitions/p-0": [(200, encode_json(partition))],
        }
        with FakeServer(answers) as server:
            result = run("explain", "job", "j", urls=(server.url,))
        assert "partition p-0, owner entry-1" in result.stdout
        assert "in quarantine: worker-2" in result.stdout
