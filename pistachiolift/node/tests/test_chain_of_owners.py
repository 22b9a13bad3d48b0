"""Owners that follow one another soon, beside a worker that has gone."""

import json

import pytest
from twisted.internet.defer import ensureDeferred

from pistachiolift.common import JobId
from pistachiolift.node.interfaces import Put, WorkerUnavailableError
from pistachiolift.node.ownership import AUTHORITY_S
from pistachiolift.node.partition import LEASE_S
from pistachiolift.workflows import (
    JobAccepted,
    RunPlaced,
    TaskKey,
    WorkerInUse,
    encode_batch,
)
from pistachiolift.workflows.tests.virtual_cell import make_graph, make_step

from .test_frozen_owner import KEYS, Harness
from .test_worker_driver import WORKER

# Margin for the drift of clocks and for calls in flight.
MARGIN_S = 1.0


class ChainHarness(Harness):
    """An instance that sees other owners of its partition come and go."""

    def __init__(self):
        super().__init__()
        # The other owners cannot be connected.
        self.partition._link._connect = lambda: None
        self.partition.ownership.give_up("test")

    def set_owner(self, name: str) -> None:
        """Let another instance claim the partition."""
        record = json.dumps(
            {"instance_id": name, "incarnation": name, "address": "127.0.0.1:2"}
        ).encode()
        puts = {key: Put(record) for key in (KEYS.owner, KEYS.claim)}
        ensureDeferred(self.store.transact(expected={}, puts=puts))

    def remove_owner(self) -> None:
        """Let the lease of the owner's key end."""
        removing = self.store.transact(expected={}, puts={}, removes=(KEYS.owner,))
        ensureDeferred(removing)

    def write_run(self, job: JobId) -> None:
        """Write the records of a run on a worker that has left the directory."""
        graph = make_graph(make_step(memory=0))
        records = [
            WorkerInUse(WORKER.worker_id, WORKER.address, WORKER.incarnation),
            JobAccepted(job, self.queue, 0, graph),
            RunPlaced(TaskKey(job, 0, 0, 0), 5000, WORKER.worker_id, 1),
        ]
        key = f"{KEYS.log_prefix}{5:015d}-{1:09d}"
        puts = {key: Put(encode_batch(records))}
        ensureDeferred(self.store.transact(expected={}, puts=puts))


class TestLostWorkersAcrossTakeovers:
    """Guards against a wait for a lost worker that begins anew with each owner.

    An owner that never reached the worker has not renewed its lease.
    """

    @pytest.mark.parametrize("owners", [1, 3])
    def test_a_run_is_given_up_by_the_end_of_the_last_renewed_lease(self, owners):
        harness = ChainHarness()
        silent = WorkerUnavailableError("connection refused")
        harness.connection.poll_outcomes = [silent] * 10_000
        harness.store.entries.pop("servers/w", None)
        job = JobId("job")
        harness.write_run(job)
        # The last owner that has reached the worker is replaced now.
        replaced_s = harness.clock.monotonic_s()
        for number in range(owners):
            harness.set_owner(f"other-{number}")
            harness.advance(4.0)
            harness.remove_owner()
        harness.advance(1.0)
        owner = harness.partition.current_owner()
        assert owner is not None
        [step] = owner.scheduler.state.jobs_by_id[job].occurrences[0].steps
        assert step.runs_by_index
        limit_s = AUTHORITY_S + LEASE_S + MARGIN_S
        harness.advance(replaced_s + limit_s - harness.clock.monotonic_s())
        assert not step.runs_by_index
