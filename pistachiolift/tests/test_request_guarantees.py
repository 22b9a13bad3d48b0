"""The guarantees for requests, each with the fault that endangers it."""

import re
import time
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from pistachiolift.tests.cell import TOKEN, Cell, call, overlapping
from pistachiolift.tests.load import NOT_RUN, Load

scenarios("features/request_guarantees.feature")

IN_FORCE_LIMIT_S = 6.0
LEAVING_LIMIT_S = 3.0
DIRECTORY_LAG_S = 0.2
LONG_RUN_S = 2.0
LARGE_BODY_BYTES = 40 * 1024 * 1024
MEMORY_LIMIT_KB = 256 * 1000


@pytest.fixture
def cell(tmp_path):
    with Cell(tmp_path) as running:
        yield running


@pytest.fixture
def context():
    return {}


@given("a cell of three entry instances")
def started(cell):
    assert len(cell.instances) == 3


# At most once


@when("the same publication is sent through two instances at once")
def publication_twice(cell, context):
    futures = [
        cell.in_background(
            cell.request, "twice", kind="publication", through=name, run_s=0.5
        )
        for name in list(cell.instances)[:2]
    ]
    context["replies"] = [future.result() for future in futures]


@then("the publication ran once and both callers got its answer")
def both_answered(cell, context):
    assert len(cell.seen("twice")) == 1
    assert [reply.status for reply in context["replies"]] == [200, 200]
    assert len({reply.body for reply in context["replies"]}) == 1


def run_publication(cell, through):
    future = cell.in_background(
        cell.request, "billed", kind="publication", through=through, run_s=LONG_RUN_S
    )
    cell.wait_for(lambda: cell.seen("billed"), "the publication runs")
    return future


@when("the home of a running publication is killed and the caller asks again")
def kill_home(cell, context):
    owners = set(cell.owners().values())
    entry = next(name for name in cell.instances if name not in owners)
    future = run_publication(cell, entry)
    partition = cell.seen("billed")[0]["attempt_id"].split(".")[0]
    home = cell.owners()[partition]
    cell.instances[home].process.kill()
    cell.retire(home)
    context["replies"] = [future.result()]
    ask_again(cell, context)


@when("the entry instance of a running publication is killed and the caller asks again")
def kill_entry(cell, context):
    owners = set(cell.owners().values())
    entry = next(name for name in cell.instances if name not in owners)
    future = run_publication(cell, entry)
    cell.instances[entry].process.kill()
    cell.retire(entry)
    context["replies"] = [future.result()]
    ask_again(cell, context)


def ask_again(cell, context):
    for name in list(cell.instances):
        reply = cell.request(
            "billed",
            kind="publication",
            through=name,
            run_s=LONG_RUN_S,
            resubmitted=True,
        )
        context["replies"].append(reply)


@then("the publication ran once and the caller was not told that it did not run")
def ran_once(cell, context):
    assert len(cell.seen("billed")) == 1
    outcomes = [reply.outcome for reply in context["replies"]]
    assert not NOT_RUN.intersection(outcomes), outcomes


@when("publications are sent while the store loses every answer")
def lost_intents(cell, context):
    cell.set_store_faults("lose_answers", every=1)
    futures = {
        key: cell.in_background(cell.request, key, kind="publication")
        for key in (f"lost-{number}" for number in range(20))
    }
    context["replies"] = {key: f.result() for key, f in futures.items()}
    cell.set_store_faults("none")


@then("no publication ran twice and none that ran was reported as not run")
def none_twice(cell, context):
    for key, reply in context["replies"].items():
        starts = len(cell.seen(key))
        assert starts <= 1
        assert reply.status != 0
        if reply.outcome in NOT_RUN:
            assert starts == 0


# An owner decides without the store only if it has renewed its lease, every 1 s, since
# the directory first listed it; see DirectoryView.authority_end_s.
RENEWED_S = 2.0


@when("publications and check-ins are sent while the store is down")
def during_outage(cell, context):
    time.sleep(RENEWED_S)
    cell.set_store_faults("down")
    time.sleep(4.0)
    for kind in ("publication", "check-in"):
        context[kind] = {
            f"{kind}-{number}": cell.request(f"{kind}-{number}", kind=kind)
            for number in range(5)
        }


@then("the publications are refused as not run with a time to come back")
def refused(cell, context):
    for key, reply in context["publication"].items():
        assert reply.outcome == "refused"
        assert reply.json()["code"] == "store_unavailable"
        assert int(reply.headers["Retry-After"]) > 0
        assert cell.seen(key) == []


@then("the check-ins are done")
def checked_in(context):
    outcomes = {reply.outcome for reply in context["check-in"].values()}
    assert outcomes == {"done"}


# Slots and single runs


@when("long check-ins fill all slots through an owner and that owner is killed")
def kill_full_owner(cell, context):
    owner = next(iter(cell.owners().values()))
    context["keys"] = [f"long-{number}" for number in range(40)]
    futures = [
        cell.in_background(cell.request, key, through=owner, run_s=4.0)
        for key in context["keys"]
    ]
    cell.wait_for(lambda: len(cell.seen()) >= 30, "almost all slots are in use")
    cell.instances[owner].process.kill()
    cell.retire(owner)
    assert {future.result().status for future in futures} == {0}


@when("the same check-ins are sent again through another instance")
def send_again(cell, context):
    futures = [
        cell.in_background(
            cell.request, key, run_s=4.0, deadline_s=30.0, resubmitted=True
        )
        for key in context["keys"]
    ]
    context["replies"] = [future.result() for future in futures]


@then("no upstream got more than its slots and no check-in ran twice at once")
def slots_kept(cell, context):
    assert cell.slot_violations() == 0
    assert overlapping(cell.seen()) == []
    replies = zip(context["keys"], context["replies"], strict=True)
    others = [each for each in replies if each[1].outcome not in ("done", "refused")]
    assert others == []


# Whole answers

FAULTS = {
    "truncated once": ("truncate", 1),
    "broken off once": ("drop_connection", 1),
    "a failure once": ("fail", 1),
    "a failure always": ("fail", 1000),
}


@when(parsers.re(r"a (?P<kind>[\w-]+) gets an answer that is (?P<fault>.+)"))
def faulty_answer(cell, context, kind, fault):
    behaviour, count = FAULTS[fault]
    # The fault waits at every upstream, because any of them may get the request; a
    # check-in has three attempts and there are two upstreams in its data centre.
    for node in cell.upstreams.values():
        cell.set_faults(node, behaviour=behaviour, count=count)
    context["reply"] = cell.request("faulty", kind=kind)


@then(parsers.re(r"the caller gets (?P<result>.+)"))
def result_of_fault(cell, context, result):
    reply = context["reply"]
    runs = cell.seen("faulty")
    assert overlapping(runs) == []
    if result == "a whole answer":
        assert reply.status == 200
        assert reply.json()["echo"] == "faulty"
        assert len(runs) > 1
    else:
        assert reply.outcome == result


@when("eight bodies of 40 megabytes are sent at once")
def large_bodies(cell, context):
    body = b"x" * LARGE_BODY_BYTES
    futures = [
        cell.in_background(cell.request, f"large-{number}", body=body, deadline_s=20.0)
        for number in range(8)
    ]
    context["replies"] = [future.result() for future in futures]


@then("each is answered whole and no instance needs more than 256 MB")
def large_answers(cell, context):
    for reply in context["replies"]:
        assert reply.status == 200, reply
        assert reply.json()["body_bytes"] == LARGE_BODY_BYTES
    for node in cell.instances.values():
        status = Path(f"/proc/{node.process.pid}/status").read_text()
        highest_kb = int(re.search(r"VmHWM:\s+(\d+) kB", status)[1])
        assert highest_kb < MEMORY_LIMIT_KB


# Not run means not run


@when("many requests are sent and cancelled at random times")
def cancel_wave(cell, context):
    names = list(cell.instances)
    futures, cancels = {}, {}
    for number in range(120):
        key = f"wave-{number}"
        through = names[number % len(names)]
        kind = ("check-in", "publication", "recalculation")[number % 3]
        futures[key] = cell.in_background(
            cell.request, key, kind=kind, through=through, run_s=0.3
        )
        other = names[(number + 1) % len(names)]
        cancels[key] = cell.in_background(_cancel_later, cell, key, kind, other)
    context["replies"] = {key: future.result() for key, future in futures.items()}
    context["cancels"] = {key: future.result() for key, future in cancels.items()}


def _cancel_later(cell, key, kind, through):
    time.sleep(cell.random.uniform(0.0, 0.6))
    return cell.cancel(key, kind=kind, through=through)


@when("more slow requests are sent than can start before their deadline")
def too_many(cell, context):
    futures = {}
    context["took_s"] = {}
    for number in range(60):
        key = f"slow-{number}"
        futures[key] = cell.in_background(_timed_request, cell, context, key)
    context["replies"] = {key: future.result() for key, future in futures.items()}
    outcomes = {reply.outcome for reply in context["replies"].values()}
    assert outcomes & NOT_RUN


def _timed_request(cell, context, key):
    started_s = time.monotonic()
    reply = cell.request(key, kind="recalculation", run_s=1.5, deadline_s=2.0)
    context["took_s"][key] = time.monotonic() - started_s
    return reply


@then("each that was reported as not run did not run")
def not_run(cell, context):
    outcomes = {}
    for key, reply in context["replies"].items():
        outcomes[key] = reply.outcome
        if reply.outcome in NOT_RUN:
            assert cell.seen(key) == [], (key, reply)
    assert "" not in outcomes.values(), outcomes
    for key, reply in context.get("cancels", {}).items():
        if reply.outcome == "cancelled_not_run":
            assert cell.seen(key) == [], (key, reply)


@then("each refusal came before the deadline")
def refused_early(context):
    for key, reply in context["replies"].items():
        if reply.outcome == "refused":
            assert context["took_s"][key] < 2.0
            assert "Retry-After" in reply.headers


BAD_REQUESTS = {
    "unknown_kind": ("no-such-kind", {}),
    "no_token": ("check-in", {"Authorization": None}),
    "unknown_token": ("check-in", {"Authorization": "Bearer wrong"}),
    "no_key": ("check-in", {"Idempotency-Key": None}),
    "bad_key": ("check-in", {"Idempotency-Key": "a/b c"}),
    "past_deadline": ("check-in", {"Deadline-Ms": "-5"}),
    "no_number": ("check-in", {"Deadline-Ms": "soon"}),
    "bad_flag": ("check-in", {"Repeatable": "perhaps"}),
    "large_header": ("check-in", {"X-Large": "x" * 40_000}),
}


@when("bad requests are sent")
def bad_requests(cell, context):
    node = next(iter(cell.instances.values()))
    context["replies"] = {}
    for name, (kind, changes) in BAD_REQUESTS.items():
        headers = {
            "Authorization": f"Bearer {TOKEN}",
            "Idempotency-Key": name,
            "Deadline-Ms": "5000",
            "Repeatable": "true",
            **changes,
        }
        headers = {key: value for key, value in headers.items() if value is not None}
        path = f"/v1/requests/{kind}"
        context["replies"][name] = call(node.port, "POST", path, b"{}", headers)
    assert cell.request("reused").status == 200
    context["replies"]["reused"] = cell.request("reused", body=b"other")


@then("each gets a typed error and none ran")
def typed_errors(cell, context):
    for name, reply in context["replies"].items():
        assert 400 <= reply.status < 500, (name, reply)
        assert reply.json()["code"], name
        assert reply.outcome == "refused", name
    assert len(cell.seen()) == 1
    assert cell.request("good").outcome == "done"


# Leaving upstreams


@when("an upstream is listed as leaving under load")
def upstream_leaves(cell, context):
    with Load(cell, rate=60.0, run_s=0.3) as load:
        time.sleep(1.5)
        node = next(iter(cell.upstreams.values()))
        context["node"] = node
        context["listed_s"] = time.time() + DIRECTORY_LAG_S
        cell.announce([{**node.entry, "state": "leaving"}])
        time.sleep(LEAVING_LIMIT_S + 2.0)
        load.finish()
        context["load"] = load


@then("it gets no new attempt from 3 seconds after it was listed")
def no_new_attempt(context):
    seen = call(context["node"].port, "GET", "/seen").json()["seen"]
    starts = [attempt["started_s"] for attempt in seen if attempt["started_s"]]
    assert starts
    assert max(starts) <= context["listed_s"] + LEAVING_LIMIT_S


@then("its running attempts are not cut off")
def not_cut_off(context):
    load = context["load"]
    assert load.violations() == []
    assert set(load.outcomes()) == {"done"}


# Settings


@when("a setting is changed and the store goes down at once")
def change_then_outage(cell, context):
    edit = {"action": "set", "path": "*/check-in", "key": "weight", "value": 77}
    reply = cell.change_settings([edit])
    cell.set_store_faults("down")
    assert reply.status == 200
    context["changed_s"] = time.monotonic()


def weight_at(cell, name):
    question = {"path": "*/check-in", "key": "weight"}
    reply = cell.operate("POST", "/v1/settings/get", question, name=name)
    return reply.json()["values"][0]["value"] if reply.status == 200 else None


@then("the change is in force everywhere within 6 seconds")
def in_force(cell, context):
    end_s = context["changed_s"] + IN_FORCE_LIMIT_S
    waiting = set(cell.instances)
    while waiting and time.monotonic() < end_s:
        waiting = {name for name in waiting if weight_at(cell, name) != 77}
    assert waiting == set()


@then("an instance that starts during the outage has it too")
def new_instance_has_it(cell):
    node = cell.add_instance()
    name = node.entry["id"]
    cell.wait_for(lambda: weight_at(cell, name) == 77, "the new instance learns it")


@when("two operators change the same setting from the same revision")
def race(cell, context):
    names = list(cell.instances)[:2]
    revision = cell.operate("GET", "/v1/status").json()["revision"]
    futures = []
    for name, weight in zip(names, (11, 22), strict=True):
        document = {
            "base_revision": revision,
            "path": "*/check-in",
            "key": "weight",
            "value": weight,
        }
        futures.append(
            cell.in_background(cell.operate, "POST", "/v1/settings/set", document, name)
        )
    context["replies"] = [future.result() for future in futures]


@then("one change is accepted and the other gets a typed conflict")
def one_conflict(context):
    statuses = sorted(reply.status for reply in context["replies"])
    assert statuses == [200, 409]
    codes = [r.json().get("code") for r in context["replies"] if r.status == 409]
    assert codes == ["conflict"]
