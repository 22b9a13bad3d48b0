"""Directory entries of the platform, of workers and of other writers."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import ensureDeferred
from twisted.internet.testing import MemoryReactorClock

from pistachiolift.common import JobId, MalformedMessageError
from pistachiolift.node.interfaces import COMMAND_TIMEOUT_S, WorkerUnavailableError
from pistachiolift.platform.directory import decode_worker
from pistachiolift.platform.workers import PlatformWorker
from pistachiolift.workflows import TaskKey, encode_batch
from pistachiolift.workflows.records import WorkerInUse

from .odd_entries import ENTRY, ODD_ENTRIES

FUZZ = settings(derandomize=True, deadline=None, max_examples=400, database=None)
TASK = TaskKey(JobId("j"), 0, 0, 0)
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**30), 10**30)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=40),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=9), inner)
    ),
    max_leaves=6,
)


class TestWorkers:
    def test_an_entry_of_a_worker_is_decoded(self):
        worker = decode_worker("servers/i-1", json.dumps(ENTRY).encode())
        assert worker.worker_id == "i-1"
        assert worker.address == ENTRY["Address"]
        assert worker.incarnation == ENTRY["born"]
        assert worker.rack == "r0"


class TestOddEntries:
    """Guards against owners that give up because of one entry of another writer."""

    @pytest.mark.parametrize("name", ODD_ENTRIES)
    def test_an_odd_entry_names_no_worker(self, name):
        with pytest.raises(MalformedMessageError):
            decode_worker(*ODD_ENTRIES[name])

    @FUZZ
    @given(
        st.sampled_from(sorted(ENTRY)),
        JSON_VALUES,
        st.text(max_size=20) | st.just("i-1"),
    )
    def test_what_is_decoded_can_be_called_and_recorded(self, field, value, name):
        data = json.dumps({**ENTRY, field: value}).encode()
        try:
            worker = decode_worker("servers/" + name, data)
        except MalformedMessageError:
            return
        encode_batch(
            [WorkerInUse(worker.worker_id, worker.address, worker.incarnation)]
        )
        reactor = MemoryReactorClock()
        connection = PlatformWorker(reactor, worker)
        failures = []
        stop = connection.stop(TASK, 1, fence=1)
        ensureDeferred(stop).addErrback(failures.append)
        reactor.advance(2 * COMMAND_TIMEOUT_S)
        [failure] = failures
        assert failure.check(WorkerUnavailableError)
