"""Guarantees for jobs under kills, freezes, cut-off workers and store outages.

They are judged by what the workers saw. Each scenario guards against a task that
runs in two places at once, a worker that is given more than it has, and a job that
is lost, or refused and run all the same.
"""

import signal
import time
from collections import defaultdict

import pytest
from pytest_bdd import given, scenarios, then, when

from pistachiolift.tests.cell import Cell
from pistachiolift.tests.job_load import (
    DATA_CENTRES,
    FINISH_LIMIT_S,
    JobLoad,
    check_workers,
    standing,
)

scenarios("features/jobs_under_faults.feature")

# Two cuts that outlast the task lease do not fit into the default limit.
pytestmark = pytest.mark.timeout(400)

# Times of the faults' course; no assertion depends on them.
WARM_UP_S = 4.0
FREEZE_S = 6.0
LAG_S = 5.0
AFTER_LEASE_S = 5.0
OUTAGE_S = 15.0
# Longer than the bound of a task lease, 32 s.
CUT_OFF_S = 36.0


@pytest.fixture
def cell(tmp_path):
    with Cell(tmp_path, instances=4, upstreams=1, workers=6) as running:
        yield running


@pytest.fixture
def load(cell):
    running = JobLoad(cell)
    yield running
    running.stop()


def owner_of(cell, data_centre="ikeja"):
    return cell.owners()[f"{data_centre}-0"]


def kill_owner(cell):
    name = owner_of(cell)
    cell.instances[name].process.kill()
    cell.retire(name)


def freeze_owner(cell):
    process = cell.instances[owner_of(cell)].process
    process.send_signal(signal.SIGSTOP)
    time.sleep(FREEZE_S)
    process.send_signal(signal.SIGCONT)
    time.sleep(AFTER_LEASE_S)


def set_workers_faults(cell, **faults):
    for node in cell.workers.values():
        cell.set_faults(node, **faults)


def store_outage(cell):
    cell.set_store_faults("down")
    time.sleep(OUTAGE_S)
    cell.set_store_faults("none")
    time.sleep(AFTER_LEASE_S)


def busy_worker(cell):
    """Return the worker of the first partition that runs most services."""
    running = [
        run["worker"]
        for run in cell.task_runs()
        if run["job_id"] == "ikeja:service" and not run["ended_s"]
    ]
    return cell.workers[max(running, key=running.count)]


@given("a cell that runs services, batch jobs and gangs")
def running_jobs(cell, load):
    load.start()
    for data_centre in DATA_CENTRES:
        cell.wait_for(
            lambda dc=data_centre: running_services(cell, dc) == 3, "services run"
        )
    time.sleep(WARM_UP_S)


def running_services(cell, data_centre):
    runs = [r for r in cell.task_runs() if r["job_id"] == f"{data_centre}:service"]
    return sum(not run["ended_s"] for run in runs)


@when("the owner is killed")
def killed(cell):
    kill_owner(cell)
    time.sleep(AFTER_LEASE_S)


@when("two owners are killed one after the other")
def killed_twice(cell):
    for _ in range(2):
        kill_owner(cell)
        cell.wait_for(cell.all_owned, "the partition has an owner again")
        time.sleep(AFTER_LEASE_S)


@when("the owner is frozen and resumed")
def frozen(cell):
    freeze_owner(cell)


@when("the owner is frozen and resumed twice")
def frozen_twice(cell):
    freeze_owner(cell)
    freeze_owner(cell)


@when("the reports lag")
def lagging(cell):
    set_workers_faults(cell, report_lag_s=LAG_S)
    time.sleep(4 * LAG_S)


@when("the reports lag and the owner is killed")
def lagging_and_killed(cell):
    set_workers_faults(cell, report_lag_s=LAG_S)
    time.sleep(LAG_S)
    kill_owner(cell)
    time.sleep(2 * LAG_S)


@when("the store is down")
def store_down(cell):
    store_outage(cell)


@when("the store is down twice")
def store_down_twice(cell):
    store_outage(cell)
    store_outage(cell)


@when("the owner is killed while the store is down")
def killed_in_outage(cell):
    name = owner_of(cell)
    cell.set_store_faults("down")
    time.sleep(AFTER_LEASE_S)
    cell.instances[name].process.kill()
    cell.retire(name)
    time.sleep(FREEZE_S)
    cell.set_store_faults("none")
    time.sleep(AFTER_LEASE_S)


@when("all entry instances but one are killed at once")
def all_but_one_killed(cell):
    old = list(cell.instances)
    survivor = owner_of(cell, "ibadan")
    for name in old:
        if name != survivor:
            cell.instances[name].process.kill()
    for name in old:
        if name != survivor:
            cell.add_instance()
            cell.retire(name)
    cell.wait_for(cell.all_owned, "the new instances own all partitions")


@when("a worker is cut off beyond the lease and comes back")
def cut_off(cell):
    worker = busy_worker(cell)
    cell.set_faults(worker, cut_off=True)
    time.sleep(CUT_OFF_S)
    cell.set_faults(worker, cut_off=False)
    time.sleep(AFTER_LEASE_S)


@when("a worker is cut off twice beyond the lease")
def cut_off_twice(cell):
    cut_off(cell)
    cut_off(cell)


@when("a worker is cut off and the owner is killed")
def cut_off_and_killed(cell):
    worker = busy_worker(cell)
    cell.set_faults(worker, cut_off=True)
    time.sleep(CUT_OFF_S / 3)
    kill_owner(cell)
    time.sleep(CUT_OFF_S)
    cell.set_faults(worker, cut_off=False)
    time.sleep(AFTER_LEASE_S)


@when("a worker is cut off and the owner is frozen")
def cut_off_and_frozen(cell):
    worker = busy_worker(cell)
    cell.set_faults(worker, cut_off=True)
    time.sleep(CUT_OFF_S / 3)
    freeze_owner(cell)
    time.sleep(CUT_OFF_S)
    cell.set_faults(worker, cut_off=False)
    time.sleep(AFTER_LEASE_S)


@when("all entry instances are replaced one by one")
def replaced(cell):
    for name in list(cell.instances):
        cell.add_instance()
        process = cell.instances[name].process
        process.send_signal(signal.SIGTERM)
        assert process.wait(60) == 0
        cell.retire(name)


@then("no worker got more than it has and no task ran in two places at once")
def no_violation(cell, load):
    load.finish()
    check_workers(cell)


@then("every accepted job succeeds and no refused job ran")
def all_succeed(cell, load):
    load.finish()
    assert load.accepted
    ends = {job_id: standing(cell, job_id) for job_id in load.accepted}
    bad = {j: end for j, end in ends.items() if end.get("end_reason") != "succeeded"}
    assert bad == {}
    ran = {run["job_id"] for run in cell.task_runs()}
    assert load.refused & ran == set()
    assert load.accepted <= ran


@then("the services ran on without a restart")
def services_ran_on(cell):
    runs = [run for run in cell.task_runs() if run["job_id"].endswith(":service")]
    assert len(runs) == 3 * len(DATA_CENTRES)
    assert not any(run["ended_s"] for run in runs)


@then("the services run with all their tasks")
def services_run(cell):
    for data_centre in DATA_CENTRES:
        cell.wait_for(
            lambda dc=data_centre: running_services(cell, dc) == 3,
            "the services run",
            FINISH_LIMIT_S,
        )


@then("no task was restarted")
def no_restart(cell, load):
    load.finish()
    runs_by_task = defaultdict(list)
    for run in cell.task_runs():
        task, _, attempt = run["task_id"].rpartition(".")
        runs_by_task[task].append((int(attempt), run))
    # All runs of a task that was restarted tell whether its first attempt ever ran.
    restarted = {
        task: runs
        for task, runs in runs_by_task.items()
        if any(attempt > 1 for attempt, _ in runs)
    }
    assert restarted == {}
