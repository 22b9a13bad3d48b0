"""Choice of workers, against a plain search of all workers for each task."""

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachiolift.common import JobId, RackId, WorkerHealth, WorkerId
from pistachiolift.workflows import JobGraph, PoolId, Size, Step, Worker, WorkerState
from pistachiolift.workflows.caps import CustomerCaps
from pistachiolift.workflows.model import StepKey, TaskKey, TaskRunStatus
from pistachiolift.workflows.placement import WorkerChoice, room_for_step
from pistachiolift.workflows.state import JobEntry, StepEntry, TaskRun, WorkerEntry

from .virtual_cell import make_queue


def make_worker(index, cpu, rack):
    worker = Worker(
        worker_id=WorkerId(f"w{index}"),
        address="127.0.0.1:1",
        pool_id=PoolId("pool"),
        zone="z",
        incarnation=1,
        state=WorkerState.READY,
        capacity=Size(cpu_milli=cpu, memory_mb=1_000),
        rack=RackId(rack),
    )
    return WorkerEntry(worker, CustomerCaps(), has_reported=True)


def make_step_entry(spec, failed_on):
    key = StepKey(JobId("j"), 0, 0)
    job = JobEntry(
        key.job_id, JobGraph(payload="", steps=(spec,)), make_queue(), 0.0, 0
    )
    entry = StepEntry(key, spec, job, set(range(spec.count)))
    entry.failed_on_by_index = failed_on
    return entry


def search(step, index, workers, health):
    """Return the worker with the smallest key, the first of equal ones."""
    near = step.step.data_rack
    failed_on = step.failed_on_by_index.get(index, ())
    fitting = [entry for entry in workers if room_for_step(step, entry)]
    return min(
        fitting,
        key=lambda entry: (
            entry.worker_id in failed_on,
            health.failing_job_count(entry.worker_id) >= 1,
            bool(near) and entry.worker.rack != near,
            entry.speed.bucket,
            entry.free_cpu_milli,
        ),
        default=None,
    )


def place(step, index, entry):
    run = TaskRun(
        task=TaskKey(step.key.job_id, 0, 0, index),
        number=1,
        worker_id=entry.worker_id,
        size=step.step.reserved,
        status=TaskRunStatus.STARTING,
        placed_s=0.0,
    )
    entry.reserve(run)


WORKERS = st.lists(
    st.tuples(
        st.integers(500, 4_000),
        st.sampled_from("ab"),
        st.floats(-1.0, 1.0),
        st.booleans(),
    ),
    max_size=8,
)


class TestWorkerChoice:
    @settings(max_examples=300, deadline=None)
    @given(
        WORKERS,
        st.integers(1, 12),
        st.sampled_from(["", "a"]),
        st.integers(0, 3),
        st.dictionaries(st.integers(0, 11), st.sets(st.integers(0, 7), max_size=4)),
    )
    def test_a_heap_chooses_as_a_search_of_all_workers(
        self, workers, count, near, limit, failed
    ):
        spec = Step(
            count=count,
            size=Size(cpu_milli=700, memory_mb=100),
            data_rack=RackId(near),
            max_per_worker=limit,
        )
        failed_on = {
            index: {WorkerId(f"w{number}") for number in numbers}
            for index, numbers in failed.items()
        }
        health = WorkerHealth()
        entries = []
        for number, (cpu, rack, speed, suspect) in enumerate(workers):
            entries.append(make_worker(number, cpu, rack))
            entries[-1].speed.log_ratio = speed
            if suspect:
                health.record_failure(entries[-1].worker_id, JobId(f"k{number}"), 0.0)
        step = make_step_entry(spec, failed_on)
        choice = WorkerChoice(step, entries, health)
        for index in range(count):
            expected = search(step, index, entries, health)
            assert choice.choose(index) is expected
            if expected is None:
                break
            place(step, index, expected)
