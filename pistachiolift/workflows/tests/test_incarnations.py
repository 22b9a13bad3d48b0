"""Directory entries that are older than what the owner knows about a worker."""

import msgspec
import pytest

from pistachiolift.workflows import JobStatus, WorkerState

from .virtual_cell import (
    LEASE_LIMIT_S,
    LEASE_S,
    MESSAGE_S,
    VirtualCell,
    make_graph,
    make_queue,
    make_step,
)


class RestartedWorkerScenario:
    """A job that runs on the second process of the only worker of a cell."""

    def __init__(self, **step):
        self.cell = cell = VirtualCell(workers=1)
        self.first = cell.workers_by_id["w0"].worker
        cell.crash("w0")
        self.restarted = cell.add_worker(0, incarnation=2)
        self.job = cell.submit(
            "a", make_queue(), make_graph(make_step(1, estimate_s=5.0, **step))
        )
        cell.run(1.0)
        # The run could be repeated here.
        cell.add_worker(1)

    @property
    def runs(self):
        return self.cell.runs_by_job[self.job]


class TestOldDirectoryEntries:
    """Guards against ending the runs of a process because of an older entry.

    A directory may be read late. The cell checks at each start that no task runs twice.
    """

    def test_an_older_entry_does_not_end_the_runs_of_a_newer_process(self):
        scenario = RestartedWorkerScenario()
        cell = scenario.cell
        cell.scheduler.fleet.update_worker(scenario.first, now_s=cell.now_s)
        assert cell.scheduler.state.workers_by_id["w0"].worker.incarnation == 2
        cell.run(6.0)
        assert len(scenario.runs) == 1
        assert cell.status(scenario.job) is JobStatus.COMPLETED

    @pytest.mark.parametrize("cut", [False, True])
    def test_a_new_owner_with_an_older_directory_keeps_the_runs(self, cut):
        scenario = RestartedWorkerScenario()
        cell = scenario.cell
        scenario.restarted.cut = cut
        cell.replace_owner(directory=[scenario.first, cell.workers_by_id["w1"].worker])
        cell.run(0.5)
        assert len(scenario.runs) == 1
        scenario.restarted.cut = False
        cell.run(5.5)
        assert len(scenario.runs) == 1
        assert cell.status(scenario.job) is JobStatus.COMPLETED

    def test_a_process_that_is_newer_than_the_directory_is_used_once_listed(self):
        scenario = RestartedWorkerScenario()
        cell = scenario.cell
        cell.replace_owner(directory=[scenario.first])
        entry = cell.scheduler.state.workers_by_id["w0"]
        assert entry.worker.state is WorkerState.DRAINING
        cell.scheduler.fleet.update_worker(scenario.restarted.worker, now_s=cell.now_s)
        assert cell.scheduler.state.workers_by_id["w0"] is entry
        assert entry.registered
        assert entry.worker == scenario.restarted.worker

    def test_a_newer_entry_ends_the_runs_on_record(self):
        scenario = RestartedWorkerScenario()
        cell = scenario.cell
        third = msgspec.structs.replace(scenario.first, incarnation=3)
        scenario.restarted.running.clear()
        scenario.restarted.worker = third
        cell.replace_owner()
        cell.run(0.5)
        assert len(scenario.runs) == 2

    def test_the_record_of_an_older_process_does_not_replace_a_newer_one(self):
        scenario = RestartedWorkerScenario()
        cell = scenario.cell
        [first_use] = [
            r
            for r in cell.committed
            if getattr(r, "address", None) and r.incarnation == 1
            if r.worker_id == "w0"
        ]
        cell.committed = [
            *(r for r in cell.committed if getattr(r, "incarnation", None) != 1),
            first_use,
        ]
        scenario.restarted.cut = True
        cell.replace_owner(directory=[])
        assert cell.scheduler.state.workers_by_id["w0"].worker.incarnation == 2


class TestStartsThatReachTheNextProcess:
    def test_the_lease_that_such_a_start_brings_is_waited_for(self):
        """Guards against repeating tasks while the next process still runs them.

        A start carries the end of the lease on the clock of the process before it,
        which is far in the future for the next one.
        """
        cell = VirtualCell(workers=1)
        cell.submit("a", make_queue(), make_graph(make_step(1, estimate_s=0.2)))
        cell.run(0.0145)
        fake = cell.workers_by_id["w0"]
        fake.worker = msgspec.structs.replace(fake.worker, incarnation=2)
        cell.scheduler.fleet.update_worker(fake.worker, now_s=cell.now_s)
        cell.run(0.5)
        job = cell.submit("b", make_queue(), make_graph(make_step(1, estimate_s=8.5)))
        cell.run(0.5)
        assert len(cell.runs_by_job[job]) == 1
        cell.add_worker(1)
        fake.cut = True
        fake.lease_end_s = cell.now_s + LEASE_LIMIT_S - 1.0
        cell.run(LEASE_LIMIT_S - 1.5)
        assert len(cell.runs_by_job[job]) == 1
        cell.run(LEASE_LIMIT_S)
        assert cell.status(job) is JobStatus.COMPLETED

    @pytest.mark.parametrize("replaced", [False, True])
    def test_a_process_that_never_answers_does_not_keep_its_runs(self, replaced):
        """Guards against a task that never starts again.

        Its worker is listed in the directory, but does not answer its owner.
        """
        cell = VirtualCell(workers=1)
        job = cell.submit("a", make_queue(), make_graph(make_step(1, estimate_s=3.0)))
        fake = cell.workers_by_id["w0"]
        cell.run(0.0145 if replaced else 0.5)
        fake.cut = True
        cell.add_worker(1)
        if replaced:
            fake.running.clear()
            fake.worker = msgspec.structs.replace(fake.worker, incarnation=2)
            cell.scheduler.fleet.update_worker(fake.worker, now_s=cell.now_s)
        else:
            cell.replace_owner()
        cell.run(30.0)
        assert cell.status(job) is JobStatus.COMPLETED

    def test_a_poll_may_bring_such_a_lease_as_well(self):
        """Guards against repeating tasks after a poll for the process before.

        A poll names the end of a lease too, and no start need have been in flight.
        """
        cell = VirtualCell(workers=1)
        cell.run(0.5)
        fake = cell.workers_by_id["w0"]
        fake.worker = msgspec.structs.replace(fake.worker, incarnation=2)
        # The answer to the poll names the new process.
        cell.scheduler.fleet.replace_worker(
            fake.worker, now_s=cell.now_s, registered=False
        )
        poll_lease_end_s = cell.now_s + LEASE_LIMIT_S
        cell.scheduler.fleet.update_worker(fake.worker, now_s=cell.now_s)
        cell.run(0.3)
        job = cell.submit("b", make_queue(), make_graph(make_step(1, estimate_s=9.0)))
        cell.run(0.3)
        assert len(cell.runs_by_job[job]) == 1
        cell.add_worker(1)
        fake.cut = True
        fake.lease_end_s = poll_lease_end_s
        cell.run(LEASE_LIMIT_S - 1.5)
        assert len(cell.runs_by_job[job]) == 1

    @pytest.mark.parametrize("in_directory", [False, True])
    def test_an_owner_that_follows_before_the_process_is_listed_expects_it(
        self, in_directory
    ):
        """Guards against repeating a task since only the earlier owner knew of it.

        The directory has an entry of the process before, or none any more.
        """
        cell = VirtualCell(workers=1)
        job = cell.submit("a", make_queue(), make_graph(make_step(1, estimate_s=3.0)))
        fake = cell.workers_by_id["w0"]
        first = fake.worker
        cell.run(0.0145)
        fake.worker = msgspec.structs.replace(first, incarnation=2)
        cell.scheduler.fleet.replace_worker(
            fake.worker, now_s=cell.now_s, registered=False
        )
        fake.lease_end_s = cell.now_s + LEASE_S
        fake.cut = True
        other = cell.add_worker(1).worker
        cell.run(0.15)
        assert len(cell.runs_by_job[job]) == 1
        directory = [first, other] if in_directory else [other]
        cell.replace_owner(directory=directory)
        cell.run(1.0)
        assert len(cell.runs_by_job[job]) == 1
        fake.cut = False
        cell.run(4.0)
        assert len(cell.runs_by_job[job]) == 1
        assert cell.status(job) is JobStatus.COMPLETED

    @pytest.mark.parametrize("cut", [False, True])
    @pytest.mark.parametrize("listed", [False, True])
    def test_the_next_owner_expects_such_a_start_at_the_next_process(self, listed, cut):
        """Guards against repeating tasks that the next process has started.

        The record of the placement names the process before it.
        """
        cell = VirtualCell(workers=1)
        job = cell.submit("a", make_queue(), make_graph(make_step(1, estimate_s=3.0)))
        fake = cell.workers_by_id["w0"]
        first = fake.worker
        cell.run(0.0145)
        fake.worker = msgspec.structs.replace(first, incarnation=2)
        # The start arrives there, and the owner is replaced.
        cell.run(MESSAGE_S)
        assert len(cell.runs_by_job[job]) == 1
        fake.lease_end_s = cell.now_s + LEASE_S
        fake.cut = True
        other = cell.add_worker(1).worker
        cell.replace_owner(directory=[fake.worker if listed else first, other])
        fake.cut = cut
        if not listed:
            cell.scheduler.fleet.replace_worker(
                fake.worker, now_s=cell.now_s, registered=False
            )
        cell.run(1.0)
        assert len(cell.runs_by_job[job]) == 1
