"""Submitted jobs with values that no ledger or scheduler can handle."""

import json

import pytest

from pistachiolift.common import MalformedMessageError, encode_json
from pistachiolift.platform.jobs import decode_job
from pistachiolift.workflows import QueueId, encode_batch
from pistachiolift.workflows.records import JobAccepted
from pistachiolift.workflows.tests.virtual_cell import make_queue

STEP = {
    "Count": 2,
    "Cpu": 500,
    "MemMb": 100,
    "Gpu": 1,
    "EstimateMs": 200.5,
    "MaxPerServer": 1,
    "TargetMs": 5.0,
    "MayMiss": 1,
}
JOB = {
    "Spec": "text",
    "Steps": [STEP],
    "Times": 2,
    "StartAtMs": 1_790_000_000_000,
    "IntervalMs": 1000,
}
ODD_NUMBERS = {
    "above 64 bits": "9" * 30,
    "of many digits": "9" * 5000,
    "with an exponent": "1e999",
    "negative": "-1",
    "nested": "[" * 100_000 + "]" * 100_000,
}
FIELDS = [name for name in JOB if name != "Spec"] + [f"Steps.{name}" for name in STEP]


def with_text(name: str, text: str) -> bytes:
    """Return a job in which a field has a JSON text as its value."""
    if name.startswith("Steps."):
        step = {**STEP, name.removeprefix("Steps."): "PLACEHOLDER"}
        job = {**JOB, "Steps": [step]}
    else:
        job = {**JOB, name: "PLACEHOLDER"}
    return json.dumps(job).replace('"PLACEHOLDER"', text).encode()


class TestOddNumbers:
    """Guards against owners that give up because of one accepted job."""

    @pytest.mark.parametrize("odd", ODD_NUMBERS)
    @pytest.mark.parametrize("name", FIELDS)
    def test_a_job_with_an_odd_number_is_malformed(self, name, odd):
        with pytest.raises(MalformedMessageError):
            decode_job(with_text(name, ODD_NUMBERS[odd]))

    @pytest.mark.parametrize("before", ["9" * 30, "-1", "1e999"])
    def test_so_is_an_odd_predecessor(self, before):
        with pytest.raises(MalformedMessageError):
            decode_job(with_text("Steps.After", f"[{before}]"))

    def test_a_job_with_the_largest_numbers_can_be_recorded(self):
        largest = str(2**53 - 1)
        for name in FIELDS:
            if name != "Steps":
                graph = decode_job(with_text(name, largest))
                queue = make_queue(name=QueueId("q"))
                assert encode_batch([JobAccepted("j", queue, 1, graph)])
                assert encode_json(graph)
