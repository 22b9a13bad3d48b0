"""Guarantees for jobs that fail, gangs, cancellations, refusals and quotas.

Each scenario is judged by what the workers saw.
"""

import time

import pytest
from pytest_bdd import given, scenarios, then, when

from pistachiolift.tests.cell import CUSTOMER, Cell
from pistachiolift.tests.job_load import (
    DATA_CENTRES,
    check_workers,
    document,
    refused,
    submit,
    wait_for_end,
)

scenarios("features/job_guarantees.feature")

# Times of the course; no assertion depends on them.
SETTLE_S = 5.0
# Bound from the task: a job that cannot be stored is refused within about 3 s.
REFUSAL_TARGET_S = 3.5
SOUND_JOBS = 6
# Different jobs that fail on a worker before it is quarantined.
QUARANTINE_JOBS = 3


@pytest.fixture
def cell(tmp_path):
    with Cell(tmp_path, instances=3, upstreams=1, workers=6) as running:
        yield running


@given("a cell of three entry instances with workers")
def small_cell(cell):
    assert len(cell.workers) == 6


@then("no worker got more than it has and no task ran in two places at once")
def no_violation(cell):
    check_workers(cell)


@when("a worker fails every task while a job fails on every worker")
def failing(cell):
    bad = next(n for n in cell.workers.values() if n.entry["data_centre"] == "ikeja")
    cell.set_faults(bad, fail_all=True)
    shape = ("batch", 1, [1000, 1000, 0], 0.2)
    submit(cell, document("ikeja:failing", shape, payload={"fails": True}))
    for number in range(SOUND_JOBS):
        submit_sound_job(cell, number)


def submit_sound_job(cell, number):
    shape = ("batch", 4, [1000, 1000, 0], 0.2)
    submit(cell, document(f"ikeja:sound-{number}", shape))


def check_sound_job(cell, number):
    assert wait_for_end(cell, f"ikeja:sound-{number}")["end_reason"] == "succeeded"


def quarantined_workers(cell):
    status = cell.operate("GET", "/v1/partitions/ikeja-0").json()
    return status["jobs"]["quarantined"]


@then("the worker is quarantined and the sound jobs succeed")
def quarantined(cell):
    bad = next(n for n, w in cell.workers.items() if w.entry["data_centre"] == "ikeja")
    for number in range(SOUND_JOBS):
        check_sound_job(cell, number)
    wait_for_end(cell, "ikeja:failing")
    # If the failing job was among the three that led to the quarantine, this is lifted
    # when the job proves faulty: two sound jobs may have failed by chance. From the
    # third sound job that failed on the worker, it must be in quarantine.
    for number in range(SOUND_JOBS, SOUND_JOBS + QUARANTINE_JOBS):
        runs = [r for r in cell.task_runs() if r["worker"] == bad]
        sound = {r["job_id"] for r in runs} - {"ikeja:failing"}
        if quarantined_workers(cell) or len(sound) >= QUARANTINE_JOBS:
            break
        submit_sound_job(cell, number)
        check_sound_job(cell, number)
    assert quarantined_workers(cell) == [bad]


@then("the failing job ends with a typed error")
def typed_error(cell):
    end = wait_for_end(cell, "ikeja:failing")
    assert (end["end_reason"], end["end_code"]) == ("failed", "retries_exhausted")
    assert len([r for r in cell.task_runs() if r["job_id"] == "ikeja:failing"]) <= 5


@when("two gangs are submitted that each need more than half of the workers")
def two_gangs(cell):
    for name in ("first", "second"):
        submit(cell, document(f"ikeja:{name}", ("gang", 2, [6000, 1000, 0], 2.0)))


@then("both gangs succeed and never ran at the same time")
def gangs_succeed(cell):
    for name in ("first", "second"):
        assert wait_for_end(cell, f"ikeja:{name}")["end_reason"] == "succeeded"
    runs = sorted(cell.task_runs(), key=lambda run: run["started_s"])
    assert len(runs) == 4
    # The partition has three workers, each with room for one task of a gang.
    assert max(r["ended_s"] for r in runs[:2]) <= min(r["started_s"] for r in runs[2:])
    assert len({run["job_id"] for run in runs[:2]}) == 1


@when("thirty jobs are submitted and cancelled at once through all instances")
def cancellations(cell):
    names = list(cell.instances)
    jobs = [
        document(f"{DATA_CENTRES[n % 2]}:wave-{n}", ("batch", 4, [1000, 500, 0], 60))
        for n in range(30)
    ]
    replies = [cell.in_background(submit, cell, job) for job in jobs]
    for future in replies:
        future.result()
    cell.wait_for(lambda: len(cell.task_runs()) >= 30, "tasks run")
    replies = [
        cell.in_background(
            cell.operate,
            "DELETE",
            f"/v1/jobs/{job['job_id']}?customer={CUSTOMER}",
            name=names[n % len(names)],
        )
        for n, job in enumerate(jobs)
    ]
    assert all(future.result().status == 200 for future in replies)


@then("every job ends as cancelled and nothing runs")
def all_cancelled(cell):
    for number in range(30):
        job_id = f"{DATA_CENTRES[number % 2]}:wave-{number}"
        assert wait_for_end(cell, job_id)["end_reason"] == "cancelled"
    assert all(run["ended_s"] for run in cell.task_runs())


@then("the room of the cancelled jobs is used again")
def room_used(cell):
    submit(cell, document("ikeja:after", ("gang", 3, [8000, 1000, 0], 0.2)))
    assert wait_for_end(cell, "ikeja:after")["end_reason"] == "succeeded"


@when("a job that fills a partition is cancelled while a worker is cut off")
def cancelled_while_cut_off(cell):
    # The partition has three workers of eight cores each.
    submit(cell, document("ikeja:full", ("batch", 24, [1000, 500, 0], 120)))
    cell.wait_for(lambda: len(cell.task_runs()) == 24, "the job fills the partition")
    worker = next(n for n in cell.workers.values() if n.entry["data_centre"] == "ikeja")
    cell.set_faults(worker, cut_off=True)
    reply = cell.operate("DELETE", f"/v1/jobs/ikeja:full?customer={CUSTOMER}")
    assert reply.status == 200
    submit(cell, document("ikeja:next", ("batch", 24, [1000, 500, 0], 0.2)))
    time.sleep(SETTLE_S)
    cell.set_faults(worker, cut_off=False)


@then("the next job succeeds and the cancelled one ends")
def next_succeeds(cell):
    assert wait_for_end(cell, "ikeja:next")["end_reason"] == "succeeded"
    assert wait_for_end(cell, "ikeja:full")["end_reason"] == "cancelled"


@when("a job is submitted during an outage of the store", target_fixture="attempt")
def submitted_in_outage(cell):
    submit(cell, document("ikeja:before", ("batch", 1, [1000, 500, 0], 0.2)))
    wait_for_end(cell, "ikeja:before")
    # With a write under way, the owner would know of the outage already.
    time.sleep(SETTLE_S)
    cell.set_store_faults("down")
    started_s = time.monotonic()
    job = document("ikeja:outage", ("batch", 1, [1000, 500, 0], 0.2))
    reply = cell.operate("POST", "/v1/jobs", job)
    return reply, time.monotonic() - started_s


@then("it is refused as not run within the stated time")
def refused_in_time(attempt):
    reply, took_s = attempt
    assert refused(reply)
    assert reply.json()["code"] == "store_unavailable"
    assert reply.json()["retry_after_s"]
    assert took_s <= REFUSAL_TARGET_S


@then("no refused job ran after the outage")
def not_run_later(cell):
    cell.set_store_faults("none")

    def later_job_accepted():
        job = document("ikeja:later", ("batch", 1, [1000, 500, 0], 0.2))
        return cell.operate("POST", "/v1/jobs", job).status == 200

    cell.wait_for(later_job_accepted, "jobs are accepted again")
    wait_for_end(cell, "ikeja:later")
    assert "ikeja:outage" not in {run["job_id"] for run in cell.task_runs()}
    reply = cell.operate("GET", "/v1/jobs/ikeja:outage")
    assert reply.status == 404


QUOTA_CPU_MILLI = 4000


@when("a customer with a quota of four cores submits jobs for more in each partition")
def beyond_quota(cell):
    edit = {"action": "set", "path": CUSTOMER, "key": "quota_cpu_milli"}
    assert cell.change_settings([{**edit, "value": QUOTA_CPU_MILLI}]).status == 200
    time.sleep(SETTLE_S)
    for data_centre, jobs in (("ikeja", 4), ("ibadan", 1)):
        for number in range(jobs):
            shape = ("batch", 3, [1000, 500, 0], 1.0)
            submit(cell, document(f"{data_centre}:quota-{number}", shape))


@then("the customer never had more than the quota and its jobs succeed")
def within_quota(cell):
    for data_centre, jobs in (("ikeja", 4), ("ibadan", 1)):
        for number in range(jobs):
            end = wait_for_end(cell, f"{data_centre}:quota-{number}")
            assert end["end_reason"] == "succeeded"
    runs = cell.task_runs()
    peak = max(
        sum(r["started_s"] <= run["started_s"] < r["ended_s"] for r in runs)
        for run in runs
    )
    assert peak * 1000 <= QUOTA_CPU_MILLI
