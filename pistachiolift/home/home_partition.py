"""The owner's side of one partition: request scheduling."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.internet.task import deferLater

from ..backends import (
    AttemptState,
    DirectoryEntry,
    KeyValueStore,
    RunningAttempt,
    UpstreamClient,
    WorkerClient,
)
from ..common import (
    Clock,
    Epoch,
    InstanceId,
    Metrics,
    PartitionId,
    PistachioliftError,
    RequestId,
    UpstreamId,
    log_event,
)
from ..peers import (
    AttemptEnded,
    AttemptEndedAck,
    CancelRequest,
    FinishedRequest,
    HeldAttempt,
    PeerMessage,
    RequestAccepted,
    SubmitRequest,
)
from ..requests import (
    Answer,
    AttemptReport,
    AttemptResult,
    ConfirmAttempt,
    Decision,
    EndRequest,
    Grant,
    PolicySource,
    RecordOutcome,
    RequestScheduler,
    RequestSpec,
    StopAttempt,
    WriteIntent,
)
from .home_jobs import HomeJobs
from .intents import IntentLog, StoredIntent, ended_request_from_intent
from .lending import LoadTable, SlotLending
from .quota_manager import JobQuotas
from .request_messages import RequestMessages
from .slot_quotas import PartitionPolicies
from .trace import open_trace
from .translation import ended_from_finished, finished_from_ended, spec_from_description
from .upstream_registry import UpstreamRegistry

__all__ = ["HomeContext", "HomePartition"]

logger = logging.getLogger(__name__)

# Limits how often timers wake the reactor.
MIN_WAKEUP_DELAY_S = 0.005
HOUSEKEEPING_INTERVAL_S = 5.0
EARLY_SUBMISSIONS_LIMIT = 10_000
INTENTS_RETRY_INTERVAL_S = 0.5
# Keeps a hand-over message below its size limit.
HANDED_OVER_REQUESTS_LIMIT = 10_000
# The run limit of an attempt that an earlier owner granted is not known. Its slot is
# held for the longest limit that the settings allow, or until its upstream answers.
ORPHAN_RUN_LIMIT_S = 86_400.0


@dataclass(frozen=True, slots=True)
class HomeContext:
    """Services and settings that all partitions of an instance share.

    :param send: sends a message to an instance.
    :param partitions: returns all partitions.
    :param may_decide: returns whether this instance has authority over a partition.
    :param dedup_window_s: returns how long ended requests are remembered, in seconds.
    """

    reactor: IReactorTime
    clock: Clock
    store: KeyValueStore
    upstreams: UpstreamClient
    workers: WorkerClient
    metrics: Metrics
    policies: PolicySource
    partitions: Callable[[], list[PartitionId]]
    job_quotas: JobQuotas
    rng: random.Random
    self_id: InstanceId
    send: Callable[[InstanceId, PeerMessage], bool]
    may_decide: Callable[[PartitionId], bool]
    dedup_window_s: Callable[[], float]
    loads: LoadTable


class HomePartition:
    """Feeds messages into the request scheduler and carries out its decisions.

    As a context manager it stops its timers and its log at the end.
    """

    def __init__(
        self, context: HomeContext, *, partition_id: PartitionId, epoch: Epoch
    ):
        self.partition_id = partition_id
        self.epoch = epoch
        self._context = context
        self._trace = open_trace(context.clock, context.rng, partition_id, epoch)
        policies = PartitionPolicies(context.policies, partition_id, context.partitions)
        self.requests = self._trace.record_requests(
            RequestScheduler(
                partition_id=partition_id,
                epoch=epoch,
                policies=self._trace.record_policies(policies),
                rng=self._trace.rng,
                count=context.metrics.count,
            )
        )
        self._intents = IntentLog(
            context.reactor,
            context.store,
            partition_id=partition_id,
            epoch=epoch,
            clock=context.clock,
            metrics=context.metrics,
            window_s=context.dedup_window_s(),
        )
        self.jobs = HomeJobs(
            context.reactor,
            context.store,
            context.workers,
            partition_id=partition_id,
            epoch=epoch,
            clock=context.clock,
            metrics=context.metrics,
            rng=context.rng,
            has_authority=lambda: self.has_authority,
            quotas=context.job_quotas,
        )
        self.lending = SlotLending(
            context.reactor,
            partition_id=partition_id,
            self_id=context.self_id,
            clock=context.clock,
            metrics=context.metrics,
            rng=context.rng,
            loads=context.loads,
            scheduler=self.requests,
            upstreams=context.upstreams,
            send=context.send,
            on_slots=self.grant_free_slots,
        )
        self.upstreams = UpstreamRegistry(
            context.reactor,
            clock=context.clock,
            pool=self.requests.pool,
            upstreams=context.upstreams,
            metrics=context.metrics,
            partition_id=partition_id,
            has_authority=lambda: self.has_authority,
            adopt_running=self._adopt_orphan,
            on_slots_available=self._on_slots_available,
        )
        self._messages = RequestMessages(
            self_id=context.self_id, partition_id=partition_id, clock=context.clock
        )
        self._wakeup: IDelayedCall | None = None
        self._housekeeping: IDelayedCall | None = None
        self._early_submissions: list[SubmitRequest] = []
        self._intents_loaded = False
        self._deferred_events: list[Callable[[float], list[Decision]]] = []
        self._closed = False

    def __enter__(self) -> "HomePartition":
        self._housekeeping = self._context.reactor.callLater(
            HOUSEKEEPING_INTERVAL_S, self._run_housekeeping
        )
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._closed = True
        self._intents.close()
        self.jobs.close()
        self.lending.close()
        self.upstreams.close()
        for call in (self._wakeup, self._housekeeping):
            if call is not None and call.active():
                call.cancel()

    def _run_housekeeping(self) -> None:
        self._intents.expire()
        self._housekeeping = self._context.reactor.callLater(
            HOUSEKEEPING_INTERVAL_S, self._run_housekeeping
        )

    @property
    def now_s(self) -> float:
        """Reading of the monotonic clock, in seconds."""
        return self._context.clock.monotonic_s()

    @property
    def has_authority(self) -> bool:
        """Whether decisions may be made now."""
        return not self._closed and self._context.may_decide(self.partition_id)

    def change_epoch(self, epoch: Epoch) -> None:
        """Use a new epoch in later commands."""
        self.epoch = epoch
        self.requests.epoch = epoch
        self._trace.change_epoch(epoch)
        self.jobs.scheduler.change_epoch(epoch)

    # Recovery

    def load_intents(self) -> None:
        """Read the intents of earlier epochs unless a recovery has done so.

        Until then, submissions of requests that must not be repeated are ignored;
        their entry instances submit them again.
        """
        if not self._intents_loaded:
            ensureDeferred(self._load_intents())

    async def _load_intents(self) -> None:
        while not self._closed and not self._intents_loaded:
            try:
                self.restore_intents(await self.read_intents())
            except PistachioliftError as error:
                self._context.metrics.count(f"retry.intents_read.{error.code.value}")
                await deferLater(self._context.reactor, INTENTS_RETRY_INTERVAL_S)

    async def read_intents(self) -> list[StoredIntent]:
        """Read the intents of earlier epochs."""
        return await self._intents.read_earlier_intents()

    def restore_intents(self, intents: list[StoredIntent]) -> None:
        """Restore the intents of earlier epochs and copy them to this epoch."""
        now_s = self.now_s
        for intent in intents:
            self.requests.restore_ended(ended_request_from_intent(intent, now_s))
        self._intents.copy_recovered_intents(intents)
        self._intents_loaded = True

    def restore_finished_requests(self, finished: list[FinishedRequest]) -> None:
        """Restore the requests that entry instances finished under earlier epochs."""
        now_s = self.now_s
        for each in finished:
            self.requests.restore_ended(ended_from_finished(each, now_s))

    def restore_held_attempts(
        self, entry_id: InstanceId, held: list[HeldAttempt]
    ) -> None:
        """Take over attempts that an entry instance runs."""
        for each in held:
            self._adopt(entry_id, each)

    def _adopt(self, entry_id: InstanceId, held: HeldAttempt) -> None:
        spec = spec_from_description(
            held.request, entry_id, self._context.policies, now_s=self.now_s
        )
        decisions = self.requests.adopt(
            spec,
            held.attempt_id,
            UpstreamId(held.upstream_id),
            held.run_limit_ms / 1000,
            self.now_s,
            address=held.address,
        )
        self.carry_out(decisions)

    def finished_requests(self) -> list[FinishedRequest]:
        """Return the requests that ended last, for a hand-over."""
        latest = self.requests.ended.list_without_answers()[
            -HANDED_OVER_REQUESTS_LIMIT:
        ]
        return [finished_from_ended(each) for each in latest]

    # Upstreams

    def _adopt_orphan(self, upstream: DirectoryEntry, attempt: RunningAttempt) -> None:
        self._apply_or_defer(
            lambda now_s: self.requests.adopt_orphan(
                attempt.request_id,
                attempt.attempt_id,
                UpstreamId(upstream.id),
                ORPHAN_RUN_LIMIT_S,
                now_s,
                address=upstream.address,
            )
        )

    def _on_slots_available(self) -> None:
        self._decide(self.requests.tick)
        submissions, self._early_submissions = self._early_submissions, []
        for message in submissions:
            self.submit(message)

    # Messages

    def submit(self, message: SubmitRequest) -> None:
        """Submit a request of an entry instance to the scheduler."""
        if (
            not self.upstreams.may_grant
            and len(self._early_submissions) < EARLY_SUBMISSIONS_LIMIT
        ):
            # No slots are known yet, so admission control would refuse the request.
            self._early_submissions.append(message)
            return
        if message.held_attempt is not None:
            self._adopt(message.sender, message.held_attempt)
            return
        if not message.request.repeatable and not self._intents_loaded:
            self._context.metrics.count("retry.submit.intents_not_loaded")
            return
        spec = spec_from_description(
            message.request, message.sender, self._context.policies, now_s=self.now_s
        )
        if self._may_run_unseen(spec, message):
            # The entry instance repeats its message until the request is accepted.
            self._context.metrics.count("retry.submit.upstream_silent")
            return
        self._decide(
            lambda now_s: self.requests.submit(
                spec, now_s, granted_before=message.granted_before
            )
        )
        if self.requests.is_open(spec.request_id):
            self._context.send(
                message.sender,
                RequestAccepted(
                    sender=self._context.self_id,
                    partition_id=self.partition_id,
                    epoch=self.epoch,
                    request_id=spec.request_id,
                ),
            )

    def _may_run_unseen(self, spec: RequestSpec, message: SubmitRequest) -> bool:
        """Whether an attempt of an earlier owner may run that is not known here.

        Intents protect the requests that must not be repeated.
        """
        repeated = message.request.resubmitted or message.granted_before
        return (
            spec.repeatable
            and repeated
            and not self.requests.is_open(spec.request_id)
            and self.requests.ended_request(spec.request_id) is None
            and self.upstreams.may_run_unseen(spec.max_run_s)
        )

    def attempt_ended(self, message: AttemptEnded) -> None:
        """Record an entry instance's report that an attempt has ended."""
        answer = message.answer
        report = AttemptReport(
            request_id=message.request_id,
            attempt_id=message.attempt_id,
            result=AttemptResult(message.end.value),
            run_s=message.run_ms / 1000,
            body_held=message.body_held,
            answer=Answer(answer.status, answer.content_type, answer.body)
            if answer
            else None,
        )
        self._decide(lambda now_s: self.requests.attempt_ended(report, now_s))
        self._context.send(
            message.sender,
            AttemptEndedAck(
                sender=self._context.self_id, attempt_id=message.attempt_id
            ),
        )

    def cancel(self, message: CancelRequest) -> None:
        """Cancel a request."""
        self._decide(
            lambda now_s: self.requests.cancel(
                message.request_id, message.sender, now_s
            )
        )

    def entry_lost(self, entry_id: InstanceId) -> None:
        """Handle the loss of an entry instance."""
        self._decide(lambda now_s: self.requests.entry_lost(entry_id, now_s))

    def grant_free_slots(self) -> None:
        """Grant slots that have become available."""
        self._decide(self.requests.tick)

    def resume(self) -> None:
        """Apply deferred events and process due timers after authority has begun."""
        self.upstreams.start_grant_timeout()
        events, self._deferred_events = self._deferred_events, []
        for event in events:
            self._apply_or_defer(event)
        self._decide(self.requests.tick)
        self.jobs.wake()

    # Decisions

    def _decide(self, decide: Callable[[float], list[Decision]]) -> None:
        if self.has_authority:
            self.carry_out(decide(self.now_s))

    def _apply_or_defer(self, event: Callable[[float], list[Decision]]) -> None:
        """Apply an event now, or once authority has returned."""
        if self.has_authority:
            self.carry_out(event(self.now_s))
        elif not self._closed:
            self._deferred_events.append(event)

    def carry_out(self, decisions: list[Decision]) -> None:
        """Carry out decisions in order."""
        send = self._context.send
        intents = []
        for decision in decisions:
            match decision:
                case Grant(entry_id=entry_id):
                    send(entry_id, self._messages.build_grant(decision, self.epoch))
                case EndRequest(entry_id=entry_id):
                    message = self._messages.build_request_ended(decision)
                    if message is not None:
                        send(entry_id, message)
                case StopAttempt(entry_id=entry_id):
                    send(entry_id, self._messages.build_stop_attempt(decision))
                case ConfirmAttempt():
                    ensureDeferred(self._confirm(decision))
                case WriteIntent():
                    intents.append(decision)
                case RecordOutcome(record=record):
                    self._intents.record_outcome(record)
        if intents:
            self._write_intents(intents)
        self.lending.update()
        self._schedule_wakeup()

    def _schedule_wakeup(self) -> None:
        due_s = self.requests.next_wakeup_s()
        if due_s is None or self._closed:
            return
        delay_s = max(MIN_WAKEUP_DELAY_S, due_s - self.now_s)
        if self._wakeup is not None and self._wakeup.active():
            left_s = self._wakeup.getTime() - self._context.reactor.seconds()
            if left_s <= delay_s:
                return
            self._wakeup.cancel()
        self._wakeup = self._context.reactor.callLater(delay_s, self._wake)

    def _wake(self) -> None:
        if self.has_authority:
            self.carry_out(self.requests.tick(self.now_s))
        else:
            self._schedule_wakeup()

    async def _confirm(self, decision: ConfirmAttempt) -> None:
        result = await self._query_upstream(decision)
        self._apply_or_defer(
            lambda now_s: self.requests.attempt_confirmed(
                decision.attempt_id, result, now_s
            )
        )

    async def _query_upstream(self, decision: ConfirmAttempt) -> AttemptResult | None:
        if not decision.address:
            return None
        upstreams = self._context.upstreams
        try:
            if not decision.stop:
                running = await upstreams.list_running(decision.address)
                ids = [each.attempt_id for each in running]
                return None if decision.attempt_id in ids else AttemptResult.LOST
            state = await upstreams.stop(decision.address, decision.attempt_id)
        except PistachioliftError as error:
            self._context.metrics.count(f"retry.confirm.{error.code.value}")
            return None
        return {
            AttemptState.NOT_STARTED: AttemptResult.NOT_STARTED,
            AttemptState.STOPPED: AttemptResult.STOPPED,
            AttemptState.ENDED: AttemptResult.LOST,
            AttemptState.RUNNING: None,
        }[state]

    def _write_intents(self, decisions: list[WriteIntent]) -> None:
        attempt_ids = [decision.attempt_id for decision in decisions]

        def on_done(durable: bool) -> None:
            if durable:
                self._apply_or_defer(
                    lambda now_s: self.requests.intents_written(attempt_ids, now_s)
                )
                return
            log_event(
                logger,
                "intents_not_written",
                partition=self.partition_id,
                count=len(attempt_ids),
            )
            self._apply_or_defer(
                lambda now_s: self.requests.intents_failed(attempt_ids, now_s)
            )

        self._intents.write([decision.intent for decision in decisions], on_done)

    def describe_request(self, request_id: RequestId) -> dict[str, object] | None:
        """Return what is known about a request, for operators and callers."""
        phase = self.requests.phase_of(request_id)
        if phase is None:
            return None
        ended = self.requests.ended_request(request_id)
        return {
            "request_id": request_id,
            "phase": phase.value,
            "outcome": ended.result.outcome.value if ended else None,
            "partition": self.partition_id,
            "epoch": self.epoch,
        }

    def describe(self) -> dict[str, object]:
        """Return the partition's load, for operators."""
        usage = self.requests.usage(self.now_s)
        running = {u.value: n for u, n in usage.running_by_urgency.items()}
        return {
            "partition": self.partition_id,
            "epoch": self.epoch,
            "owner": self._context.self_id,
            "authority": self.has_authority,
            "slots": usage.total_slots,
            "running_by_urgency": running,
            "queued_by_kind": self.requests.queue.depth_by_kind,
            "jobs": self.jobs.scheduler.status(),
        }
