"""Outcomes of the shipped traces, and that worse policies break them."""

import functools

from pytest_bdd import given, parsers, scenarios, then, when

from pistachiolift.common import Urgency
from pistachiolift.replay import (
    StatedOutcome,
    check_outcomes,
    predict,
    read_trace,
    replay_exactly,
)
from pistachiolift.replay.record import TRACES
from pistachiolift.requests import FairQueue

scenarios("features/replay.feature")


class FifoOrder(FairQueue):
    """Takes the request that has waited longest."""

    def pop(self, slots):
        if slots.free_slots <= 0 or not self._entries_by_id:
            return None
        return self._take_out(next(iter(self._entries_by_id.values())))

    def _take_out(self, entry):
        self._discard(entry)
        return entry.spec


class StrictPriority(FifoOrder):
    """Takes the request of the most urgent class that has waited longest."""

    def pop(self, slots):
        if slots.free_slots <= 0 or not self._entries_by_id:
            return None
        ranks = list(Urgency)
        entries = self._entries_by_id.values()
        first = min(entries, key=lambda e: ranks.index(e.kind.class_queue.urgency))
        return self._take_out(first)


QUEUES = {
    "a first-in, first-out": FifoOrder,
    "a strict priority": StrictPriority,
    "the present": FairQueue,
}


def put_queue(queue_type):
    def prepare(scheduler):
        table = scheduler._table
        table.queue = queue_type(table.policies, table.run_times)
        table.admission._queue = table.queue

    return prepare


@functools.cache
def trace_lines(name):
    return list(read_trace(TRACES / f"{name}.jsonl.gz"))


@functools.cache
def replayed(name):
    return replay_exactly(trace_lines(name))


@functools.cache
def predicted(name, queue):
    return predict(trace_lines(name), {}, prepare=put_queue(QUEUES[queue]))


@given(parsers.parse("the trace {name}"), target_fixture="name")
def trace(name):
    return name


@when("it is replayed", target_fixture="histories")
def replay(name):
    return replayed(name).histories


@when(
    parsers.parse("its arrivals run through {queue} queue"), target_fixture="histories"
)
def run_through(name, queue):
    return predicted(name, queue)


def judge(histories, check, subject=""):
    [result] = check_outcomes(histories, [StatedOutcome(check, subject)])
    return result


def assert_holds(histories, check, subject="", *, may_be_absent=False):
    result = judge(histories, check, subject)
    assert result.holds, result.violations
    # A check that has seen nothing would pass on any trace.
    assert result.judged or may_be_absent


@then("the decisions equal the recorded ones")
def decisions_equal(name):
    assert replayed(name).difference is None
    assert replayed(name).decisions > 100


# Not every trace has requests, jobs, retries and refusals; the scenarios of single
# traces name what has to be there.
for text, check in {
    "no upstream gets more than its slots": "upstream_slots_respected",
    "a leaving upstream gets no work": "leaving_upstreams_get_no_work",
    "nothing that must not be repeated runs twice": "not_repeatable_run_once",
    "nothing reported as not run has run": "not_run_was_not_run",
    "two attempts of a request never overlap": "attempts_never_overlap",
    "every request is finished once": "ended_once",
    "no customer is skipped in the delivery round": "no_customer_skipped",
    "every refusal that may pass says when to come back": "refusals_say_when",
    "no worker gets more than its size": "worker_size_respected",
    "no task runs twice at once": "tasks_never_overlap",
}.items():

    @then(text)
    def invariant(histories, check=check):
        assert_holds(histories, check, may_be_absent=True)


for text, check in {
    "every {subject} is done before its deadline": "done_in_time",
    "class {subject} keeps its minimum share": "share_kept",
    "every job {subject} succeeds": "jobs_succeed",
    "{subject} gets less than an equal part of the starts": "failing_worker_avoided",
}.items():

    @then(parsers.parse(text))
    def outcome(histories, subject, check=check):
        assert_holds(histories, check, subject)


for text, check in {
    "every refused request is refused at once": "refused_at_once",
    "every urgent job starts within 4.7 s": "urgent_jobs_start_in_time",
    "nothing runs after its cancellation": "cancelled_never_start",
    "every cancelled job ends": "cancelled_jobs_end",
}.items():

    @then(text)
    def plain_outcome(histories, check=check):
        assert_holds(histories, check)


@then(parsers.re(r"the outcome (?P<check>\w+)( of (?P<subject>\S+))? is broken"))
def is_broken(histories, check, subject):
    """Guards against checks that cannot fail."""
    assert not judge(histories, check, subject or "").holds
