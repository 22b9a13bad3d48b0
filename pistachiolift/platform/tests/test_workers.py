"""Run reports of workers, also with values that no worker should send."""

import json

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.testing import MemoryReactorClock

from pistachiolift.node.interfaces import WorkerReplacedError, WorkerUnavailableError
from pistachiolift.node.tests.test_worker_driver import WORKER
from pistachiolift.platform.workers import PlatformWorker
from pistachiolift.workflows import encode_batch
from pistachiolift.workflows.records import RunPlaced

REPORT = {
    "ClockMs": 5,
    "Running": [["j.0.0.1", 1, "c", 10, 5]],
    "Ended": [[1, "j.0.0.0", 1, "done", ""]],
    "born": WORKER.incarnation,
}
ODD_VALUES = {
    "nested": "[" * 100_000 + "]" * 100_000,
    "above 64 bits": "9" * 30,
    "of many digits": "9" * 5000,
    "with an exponent": "1e999",
    "negative": "-1",
    "an object": "{}",
}
# Position in a row of running runs or of ended ones.
POSITIONS = [("Running", 0), ("Running", 1), ("Running", 2), ("Running", 3)]
POSITIONS += [("Running", 4), *(("Ended", index) for index in range(5))]


def poll(body: bytes):
    """Return what a poll that is answered with a body returns or raises."""
    connection = PlatformWorker(MemoryReactorClock(), WORKER)

    async def answer(*_args, **_options):
        return 200, body

    connection._call = answer
    results = []
    polling = connection.poll_runs(fence=1, last_end=0, lease_until_ms=None, wait_s=0.0)
    ensureDeferred(polling).addBoth(results.append)
    return results[0]


def poll_with_text(report: dict, text: str):
    """Poll a worker whose report has a JSON text in place of ``PLACEHOLDER``."""
    return poll(json.dumps(report).replace('"PLACEHOLDER"', text).encode())


class TestRunReports:
    def test_a_report_is_decoded(self):
        report = poll(json.dumps(REPORT).encode())
        [run] = report.running
        assert (run.task.index, run.number, run.checkpoint) == (1, 1, "c")
        assert (run.percent, run.usage) == (10, 5)
        assert report.last_end == 1

    def test_a_leaving_worker_tells_its_remaining_time(self):
        assert poll(json.dumps(REPORT).encode()).remaining_s is None
        leaving = {**REPORT, "RemainingMs": 1500}
        assert poll(json.dumps(leaving).encode()).remaining_s == 1.5

    def test_rows_may_be_longer_or_have_no_usage(self):
        longer = {**REPORT, "Ended": [[*REPORT["Ended"][0], "new", {}]]}
        assert poll(json.dumps(longer).encode()).last_end == 1
        shorter = {**REPORT, "Running": [["j.0.0.1", 1, None, 10]]}
        [run] = poll(json.dumps(shorter).encode()).running
        assert (run.checkpoint, run.usage) == ("", 0)


class TestOddReports:
    """Guards against owners that give up because of one worker's report."""

    @pytest.mark.parametrize("odd", ODD_VALUES)
    @pytest.mark.parametrize(("name", "index"), POSITIONS)
    def test_an_odd_value_in_a_row_counts_as_no_answer(self, name, index, odd):
        row = list(REPORT[name][0])
        row[index] = "PLACEHOLDER"
        failure = poll_with_text({**REPORT, name: [row]}, ODD_VALUES[odd])
        assert failure.check(WorkerUnavailableError)

    @pytest.mark.parametrize("odd", ODD_VALUES)
    @pytest.mark.parametrize("name", REPORT)
    def test_an_odd_field_counts_as_no_answer(self, name, odd):
        failure = poll_with_text({**REPORT, name: "PLACEHOLDER"}, ODD_VALUES[odd])
        assert failure.check(WorkerUnavailableError, WorkerReplacedError)

    @pytest.mark.parametrize(
        "task",
        [
            "",
            "j.0.0",
            "j.0.0.0.0",
            ".0.0.0",
            "j.0.0.-1",
            "j.0.0.\u0663",
            "j.0.0.1_0",
            "j. 0.0.0",
            "j.0.0." + "9" * 30,
        ],
    )
    def test_a_name_that_no_task_has_counts_as_no_answer(self, task):
        report = {**REPORT, "Running": [[task, 1, "", 10, 5]]}
        assert poll(json.dumps(report).encode()).check(WorkerUnavailableError)

    @pytest.mark.parametrize("name", ["Running", "Ended"])
    def test_a_row_that_is_too_short_counts_as_no_answer(self, name):
        report = {**REPORT, name: [REPORT[name][0][:2]]}
        assert poll(json.dumps(report).encode()).check(WorkerUnavailableError)

    def test_the_run_after_the_highest_number_can_be_recorded(self):
        highest = 2**53 - 1
        report = {**REPORT, "Running": [["j.0.0.1", highest, "", 10, 5]]}
        [run] = poll(json.dumps(report).encode()).running
        placed = RunPlaced(run.task, run.number + 1, WORKER.worker_id, 1)
        assert encode_batch([placed])
