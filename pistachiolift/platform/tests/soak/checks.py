"""Checks of the guarantees against the records of clients and workers."""

from collections import defaultdict

CAPACITY_MILLI = 8000

# A task may still start for this long after its cancellation was acknowledged: the sum
# of the platform's bounds for detection, stopping and an interrupted link.
CANCEL_LIMIT_S = 8.0


def check_history(
    jobs: dict, states: dict, runs: list[dict], cap_milli_by_customer: dict[str, int]
) -> list[str]:
    """Return descriptions of all violations.

    :param jobs: jobs by identifier, with their steps and the statuses of their
        submissions.
    :param states: final states that clients received, by job identifier.
    :param runs: runs recorded by the workers.
    :param cap_milli_by_customer: caps, in thousandths of a core; empty without
        customers.
    """
    by_task = defaultdict(list)
    for run in runs:
        by_task[run["task"]].append(run)
    return [
        *_check_single_runs(by_task),
        *_check_refusals(jobs, runs),
        *_check_states(jobs, states, by_task),
        *_check_order(jobs, runs),
        *_check_capacity(jobs, runs),
        *_check_caps(jobs, runs, cap_milli_by_customer),
        *_check_cancellations(jobs, runs),
    ]


def _end(run: dict) -> float:
    return run["end"] if run["end"] is not None else float("inf")


def _succeeded(run: dict) -> bool:
    """Whether a run has ended ``done``, even if its worker crashed before the ack."""
    return run["how"] in ("done", "forgotten")


def _check_single_runs(by_task: dict):
    for task, runs in by_task.items():
        runs = sorted(runs, key=lambda run: run["start"])
        for earlier, later in zip(runs, runs[1:], strict=False):
            if later["start"] < _end(earlier):
                yield f"{task}: runs {earlier['run']} and {later['run']} overlap"
        done = [run for run in runs if run["how"] == "done"]
        if len(done) > 1:
            yield f"{task}: ended successfully {len(done)} times"


def _check_refusals(jobs: dict, runs: list[dict]):
    started = {run["task"].split(".")[0] for run in runs}
    for job, each in jobs.items():
        refused = all(status in (401, 503, 429, -1) for status in each["statuses"])
        if refused and job in started:
            yield f"{job}: ran although all answers were {each['statuses']}"
    for job in started - jobs.keys():
        yield f"{job}: ran although no client submitted it"


def _check_states(jobs: dict, states: dict, by_task: dict):
    for job, each in jobs.items():
        if 200 not in each["statuses"]:
            continue
        state = states.get(job)
        wanted = ("cancelled", "completed") if each["cancelled_s"] else ("completed",)
        if state == "cancelled" and each["cancelled_s"] is None:
            # The answer to its cancellation may have been lost.
            continue
        if state not in wanted:
            yield f"{job}: accepted, but its state is {state}"
        if state != "completed":
            continue
        for number, step in enumerate(each["steps"]):
            names = [f"{job}.0.{number}.{index}" for index in range(step["Count"])]
            done = [any(_succeeded(run) for run in by_task[name]) for name in names]
            enough = any(done) if step.get("Gang") else all(done)
            if not enough:
                yield f"{job}: completed, but step {number} is not"


def _check_order(jobs: dict, runs: list[dict]):
    for run in runs:
        job, _, step, _ = run["task"].split(".")
        if step != "1" or job not in jobs:
            continue
        before = [
            other
            for other in runs
            if other["task"].startswith(f"{job}.0.0.") and _succeeded(other)
        ]
        count = jobs[job]["steps"][0]["Count"]
        needed = 1 if jobs[job]["steps"][0].get("Gang") else count
        ended = {o["task"] for o in before if _end(o) <= run["start"]}
        if len(ended) < needed:
            yield f"{run['task']}: started before its predecessors had ended"


def _check_capacity(jobs: dict, runs: list[dict]):
    changes = defaultdict(list)
    for run in runs:
        job, _, step, _ = run["task"].split(".")
        if job not in jobs:
            continue
        cpu = jobs[job]["steps"][int(step)]["Cpu"]
        changes[run["worker"]] += [(run["start"], cpu), (_end(run), -cpu)]
    for worker, events in changes.items():
        used = 0
        for _, cpu in sorted(events):
            used += cpu
            if used > CAPACITY_MILLI:
                yield f"{worker}: {used} thousandths of a core in use"
                break


def _check_caps(jobs: dict, runs: list[dict], cap_milli_by_customer: dict[str, int]):
    for customer, cap in cap_milli_by_customer.items():
        events = []
        for run in runs:
            job, _, step, _ = run["task"].split(".")
            if jobs.get(job, {}).get("customer") == customer:
                cpu = jobs[job]["steps"][int(step)]["Cpu"]
                events += [(run["start"], cpu), (_end(run), -cpu)]
        used = 0
        for _, cpu in sorted(events):
            used += cpu
            if used > cap:
                yield f"{customer}: {used} thousandths of a core in use, cap {cap}"
                break


def _check_cancellations(jobs: dict, runs: list[dict]):
    for run in runs:
        job = run["task"].split(".")[0]
        cancelled_s = jobs.get(job, {}).get("cancelled_s")
        if cancelled_s is None:
            continue
        if run["start"] > cancelled_s + CANCEL_LIMIT_S:
            yield f"{run['task']}: started after its job was cancelled"
