"""Workers that crash and are started again, beside starts that are delayed."""

from dataclasses import dataclass, field

import msgspec
import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from pistachiolift.common import JobId, WorkerId
from pistachiolift.node.interfaces import PlatformAdapter
from pistachiolift.node.tests.test_owner import Harness
from pistachiolift.node.tests.test_worker_driver import WORKER
from pistachiolift.workflows import JobStatus, Size
from pistachiolift.workflows.tests.virtual_cell import make_graph, make_step

from .simulated_executor import SimulatedExecutor, find_overlaps

CAPACITY = Size(cpu_milli=2000, memory_mb=1000)
JOB = JobId("job")


@dataclass(frozen=True)
class SimulatedAdapter(PlatformAdapter):
    """Connects each worker to its simulated executor."""

    executors: dict[WorkerId, SimulatedExecutor] = field(default_factory=dict)

    def queue_table(self, value):
        raise NotImplementedError

    def worker(self, key, value):
        raise NotImplementedError

    def connect(self, worker):
        return self.executors[worker.worker_id].connect(worker)


class Cell(Harness):
    """An owner with two simulated executors, of which the first is preferred.

    :param work_s: time that each run takes, in seconds.
    """

    def __init__(self, *, work_s: float):
        super().__init__(adapter=SimulatedAdapter())
        first = msgspec.structs.replace(WORKER, capacity=CAPACITY)
        second = msgspec.structs.replace(first, worker_id=WorkerId("second"))
        self.executors = [
            SimulatedExecutor(self.reactor, worker, work_s=work_s)
            for worker in (first, second)
        ]
        for each in self.executors:
            self.adapter.executors[each.worker.worker_id] = each
        self.workers = {first.worker_id: first}
        # Time that the store takes to answer a write, in seconds.
        self.write_s = 0.01
        transact = self.store.transact

        async def transact_later(**arguments):
            await deferLater(self.reactor, self.write_s)
            return await transact(**arguments)

        self.store.transact = transact_later
        ensureDeferred(self.owner.recover())
        self.advance(0.2)

    def add_second(self) -> None:
        """List the second executor, on which a task could run again."""
        worker = self.executors[1].worker
        self.workers[worker.worker_id] = worker
        self.owner.update_worker(worker)

    def submit(self, step=None, *, job=JOB) -> None:
        """Submit a job, by default of one task, which starts on the first executor."""
        self.owner.scheduler.submit(
            job,
            self.table.queues[0],
            make_graph(step or make_step(cpu=2000, memory=0)),
            received_s=self.clock.monotonic_s(),
            received_ms=0,
        )
        self.owner._schedule_pass()

    def list_restarted(self) -> None:
        """Show the owner the directory entry of the first executor's next process."""
        first = self.executors[0]
        entry = msgspec.structs.replace(first.worker, incarnation=first.incarnation)
        self.workers[entry.worker_id] = entry
        self.owner.update_worker(entry)

    @property
    def status(self) -> JobStatus:
        return self.owner.scheduler.status(JOB)

    def runs(self) -> list[dict]:
        """Return the runs of all executors."""
        return [run for each in self.executors for run in each.history]


class TestDelayedStartsAtRestartedWorkers:
    """Guards against a delayed start that the worker's next process carries out.

    Its repetition was answered, but that says nothing of the start itself.
    """

    @pytest.mark.parametrize("restart_s", [0.7, 1.1, 1.6])
    def test_it_does_not_run_beside_the_next_run_of_its_task(self, restart_s):
        cell = Cell(work_s=4.0)
        first = cell.executors[0]
        first.start_delays_s = [1.9]
        cell.submit()
        cell.advance(0.15)
        cell.add_second()
        cell.advance(restart_s - 0.15)
        assert len(cell.runs()) == 1
        first.restart()
        cell.advance(0.4)
        assert not cell.executors[0].running
        assert len(cell.runs()) == 2
        cell.list_restarted()
        cell.advance(5.0)
        assert first.delayed_statuses == [409]
        assert find_overlaps(cell.executors) == []
        assert cell.status is JobStatus.COMPLETED
        cell.owner.close()

    def test_it_does_not_run_after_the_success_of_its_task(self):
        cell = Cell(work_s=0.6)
        first = cell.executors[0]
        first.start_delays_s = [2.2]
        cell.submit()
        cell.advance(1.3)
        assert cell.status is JobStatus.COMPLETED
        first.restart()
        cell.advance(3.0)
        assert first.delayed_statuses == [409]
        assert len(cell.runs()) == 1
        cell.owner.close()

    @pytest.mark.parametrize("listed", [False, True])
    def test_it_continues_if_the_next_process_runs_it_before_the_first_contact(
        self, listed
    ):
        """It has not started elsewhere, since only that process could tell."""
        cell = Cell(work_s=3.0)
        first = cell.executors[0]
        first.start_delays_s = [1.4]
        cell.submit()
        cell.advance(0.15)
        cell.add_second()
        cell.advance(0.75)
        first.reachable = False
        first.restart()
        cell.advance(0.2)
        if listed:
            cell.list_restarted()
        cell.advance(0.8)
        assert first.delayed_statuses == [200]
        assert len(cell.runs()) == 2
        first.reachable = True
        cell.advance(4.0)
        assert find_overlaps(cell.executors) == []
        assert [run["incarnation"] for run in first.history] == [1, 2]
        assert not cell.executors[1].history
        assert cell.status is JobStatus.COMPLETED
        cell.owner.close()

    def test_the_next_process_is_polled_soon_after_its_start(self):
        """No call can prevent a delayed start that arrives before the first poll."""
        cell = Cell(work_s=4.0)
        first = cell.executors[0]
        first.start_delays_s = [60.0]
        cell.submit()
        cell.advance(1.0)
        first.crash()
        cell.advance(0.2)
        first.restart()
        cell.advance(0.05)
        entry = cell.owner.scheduler.state.workers_by_id[first.worker.worker_id]
        assert entry.worker.incarnation == 2
        assert entry.has_reported
        assert not entry.registered
        cell.owner.close()


class TestWorkersBackUnderOtherIdentifiers:
    """Guards against tasks that wait beside free workers for a process of their own.

    The process at the worker's address has another identifier and rejects its calls,
    so that a start without an answer is not carried out there either.
    """

    STEPS = {
        "task": make_step(cpu=2000, memory=0),
        "gang": make_step(2, cpu=1000, memory=0, gang=True),
        "service": make_step(cpu=2000, memory=0, long_running=True),
    }

    def _cut_off(self, kind):
        """Return a cell whose first executor is cut off as a start is sent to it."""
        cell = Cell(work_s=2.0)
        cell.executors[0].reachable = False
        cell.submit(self.STEPS[kind])
        cell.advance(0.3)
        cell.add_second()
        cell.advance(0.7)
        assert not cell.runs()
        return cell

    @pytest.mark.parametrize("kind", STEPS)
    def test_a_task_starts_elsewhere_once_the_other_process_has_answered(self, kind):
        cell = self._cut_off(kind)
        first, second = cell.executors
        first.restart(identifier="first-again")
        first.reachable = True
        cell.advance(0.5)
        assert len(second.history) == self.STEPS[kind].count
        assert not first.history
        cell.owner.close()

    def test_an_old_directory_entry_does_not_make_it_wait(self):
        cell = self._cut_off("task")
        first, second = cell.executors
        first.restart(identifier="first-again")
        first.reachable = True
        cell.advance(0.1)
        cell.owner.update_worker(first.worker)
        cell.advance(0.4)
        assert len(second.history) == 1
        cell.owner.close()

    def test_a_stopped_task_is_not_waited_for(self):
        """Its stop has no answer either; the worker's room would stay reserved."""
        cell = self._cut_off("task")
        cell.owner.scheduler.cancel(JOB, now_s=cell.clock.monotonic_s(), wall_ms=0)
        cell.owner._schedule_pass()
        cell.advance(0.5)
        cell.executors[0].restart(identifier="first-again")
        cell.executors[0].reachable = True
        cell.advance(0.5)
        step = cell.owner.scheduler.state.jobs_by_id[JOB].occurrences[0].steps[0]
        assert not step.runs_by_index
        cell.owner.close()


class TestEndsOfTheNextProcess:
    """Guards against acknowledging ends of the next process that nobody has read.

    Its ends are numbered from 1 again, and no poll is in flight while the owner waits
    for ends to become durable.
    """

    def test_they_are_not_acknowledged_by_the_number_of_an_earlier_process(self):
        cell = Cell(work_s=0.1)
        first = cell.executors[0]
        cell.submit()
        cell.advance(0.5)
        assert cell.status is JobStatus.COMPLETED
        second, third = JobId("second"), JobId("third")
        step = make_step(cpu=500, memory=0)
        cell.submit(step, job=second)
        cell.advance(0.05)
        # The placement of the third job, then the end of the second one, are written.
        cell.write_s = 0.55
        cell.submit(step, job=third)
        cell.advance(0.25)
        first.restart()
        cell.advance(1.5)
        cell.list_restarted()
        cell.advance(3.0)
        done = [run for run in first.history if run["task"] == "third.0.0.0"]
        assert [run.get("how") for run in done] == ["done"]
        assert cell.owner.scheduler.status(third) is JobStatus.COMPLETED
        cell.owner.close()
