"""Decision cores that are fed from a trace."""

import random
from collections.abc import Callable

from ..common import (
    CustomerId,
    Epoch,
    KindId,
    PartitionId,
    PistachioliftError,
    Urgency,
)
from ..home import trace_lines as lines
from ..jobs import (
    CheckpointTask,
    EndReason,
    JobDecision,
    JobScheduler,
    RenewLease,
    Resources,
    StartTask,
    StopTask,
    ThrottleTask,
)
from ..requests import (
    Answer,
    AttemptReport,
    ClassShares,
    EndedRequest,
    KindPolicy,
    PolicySource,
    RequestResult,
    RequestScheduler,
)

__all__ = ["Core", "JobsCore", "RequestsCore", "TracePolicies"]

_UNKNOWN_KIND = KindPolicy(
    urgency=Urgency.NORMAL,
    weight=1,
    max_queue=1,
    max_run_s=30.0,
    retry_ratio=0.0,
    max_attempts=1,
)


class TracePolicies(PolicySource):
    """The settings that the lines of a trace have set so far.

    :param override: replaces the shares of the classes.
    """

    def __init__(
        self, override: Callable[[ClassShares], ClassShares] = lambda shares: shares
    ):
        self._override = override
        self._kinds: dict[tuple[CustomerId, KindId], KindPolicy] = {}
        self._weights: dict[CustomerId, int] = {}
        self._quotas: dict[CustomerId, int] = {}
        self._shares = override(
            ClassShares(min_share_by_urgency={}, reserved_urgent_slots=0.0)
        )

    def apply(self, event: lines.TraceEvent) -> bool:
        """Take a line about a setting; return whether it was one."""
        match event:
            case lines.KindSet():
                self._kinds[event.customer_id, event.kind_id] = event.policy
            case lines.WeightSet():
                self._weights[event.customer_id] = event.weight
            case lines.QuotaSet():
                self._quotas[event.customer_id] = event.slots
            case lines.SharesSet():
                self._shares = self._override(event.shares)
            case _:
                return False
        return True

    def kind_policy(self, customer_id: CustomerId, kind_id: KindId) -> KindPolicy:
        """See :meth:`PolicySource.kind_policy`."""
        return self._kinds.get((customer_id, kind_id), _UNKNOWN_KIND)

    def customer_weight(self, customer_id: CustomerId) -> int:
        """See :meth:`PolicySource.customer_weight`."""
        return self._weights.get(customer_id, 1)

    def class_shares(self) -> ClassShares:
        """See :meth:`PolicySource.class_shares`."""
        return self._shares

    def quota_slots(self, customer_id: CustomerId) -> int:
        """See :meth:`PolicySource.quota_slots`."""
        return self._quotas.get(customer_id, 0)


class Core:
    """A scheduler and the settings that its trace has set."""

    def __init__(self, scheduler: RequestScheduler | JobScheduler):
        self.scheduler = scheduler
        self.policies = TracePolicies()

    def feed(self, line: lines.TraceLine) -> tuple[list[lines.TraceDecision], str]:
        """Apply the event of a line.

        :returns: the decisions and the code of the error, or an empty string.
        """
        if self.policies.apply(line.event):
            return [], ""
        try:
            decisions = self._apply(line)
        except PistachioliftError as error:
            return [], lines.error_name(error)
        return [lines.describe_decision(each) for each in decisions or ()], ""

    def _apply(self, line: lines.TraceLine) -> list | None:
        raise NotImplementedError


class RequestsCore(Core):
    """A request scheduler.

    :param policies: settings to start with; those of the trace are applied to them.
    """

    def __init__(
        self,
        partition_id: PartitionId,
        epoch: Epoch,
        seed: int,
        *,
        policies: TracePolicies | None = None,
    ):
        policies = policies or TracePolicies()
        super().__init__(
            RequestScheduler(
                partition_id=partition_id,
                epoch=epoch,
                policies=policies,
                rng=random.Random(seed),
            )
        )
        self.policies = policies

    def _apply(self, line: lines.TraceLine) -> list | None:
        scheduler, event, now_s = self.scheduler, line.event, line.at_s
        match event:
            case lines.Submitted(spec=spec, granted_before=before):
                return scheduler.submit(spec, now_s, granted_before=before)
            case lines.AttemptReported():
                return scheduler.attempt_ended(report_of(event), now_s)
            case lines.AttemptConfirmed():
                return scheduler.attempt_confirmed(
                    event.attempt_id, event.result, now_s
                )
            case lines.IntentsWritten():
                return scheduler.intents_written(event.attempt_ids, now_s)
            case lines.IntentsFailed():
                return scheduler.intents_failed(event.attempt_ids, now_s)
            case lines.Cancelled():
                return scheduler.cancel(event.request_id, event.entry_id, now_s)
            case lines.EntryLost():
                return scheduler.entry_lost(event.entry_id, now_s)
            case lines.Ticked():
                return scheduler.tick(now_s)
            case lines.EpochChanged():
                scheduler.epoch = line.epoch
                return None
        if _apply_upstream(scheduler, event, now_s):
            return None
        return _apply_recovery(scheduler, event, now_s)


def report_of(event: lines.AttemptReported) -> AttemptReport:
    """Return a report with an answer of the recorded size."""
    answer = None
    if event.status is not None:
        answer = Answer(event.status, "", bytes(event.answer_bytes))
    return AttemptReport(
        event.request_id,
        event.attempt_id,
        event.result,
        event.run_s,
        event.body_held,
        answer,
    )


def _apply_upstream(scheduler: RequestScheduler, event, now_s: float) -> bool:
    match event:
        case lines.UpstreamSet():
            # The trace holds no addresses, and the core only passes them on.
            scheduler.pool.upsert(event.upstream_id, "-", event.slots, now_s)
        case lines.UpstreamLeaving():
            scheduler.pool.mark_leaving(event.upstream_id)
        case lines.UpstreamRemoved():
            scheduler.pool.remove(event.upstream_id)
        case _:
            return False
    return True


def _apply_recovery(scheduler: RequestScheduler, event, now_s: float) -> list | None:
    match event:
        case lines.Adopted():
            return scheduler.adopt(
                event.spec,
                event.attempt_id,
                event.upstream_id,
                event.run_limit_s,
                now_s,
            )
        case lines.OrphanAdopted():
            return scheduler.adopt_orphan(
                event.request_id,
                event.attempt_id,
                event.upstream_id,
                event.run_limit_s,
                now_s,
            )
        case lines.MemoryBegan():
            scheduler.forget_before(now_s)
        case lines.EndedRestored():
            scheduler.restore_ended(_ended_of(event))
    return None


def _ended_of(event: lines.EndedRestored) -> EndedRequest:
    answer = None
    if event.status is not None:
        answer = Answer(event.status, "", bytes(event.answer_bytes))
    return EndedRequest(
        request_id=event.request_id,
        kind_id=event.kind_id,
        body_digest=event.body_digest,
        result=RequestResult(event.outcome, event.code, answer=answer),
        ended_s=event.ended_s,
        intent_entry=event.intent_entry,
    )


class JobsCore(Core):
    """A job scheduler."""

    def __init__(self, partition_id: PartitionId, epoch: Epoch, seed: int):
        super().__init__(
            JobScheduler(
                partition_id=partition_id, epoch=epoch, rng=random.Random(seed)
            )
        )

    def _apply(self, line: lines.TraceLine) -> list | None:
        scheduler, event, now_s = self.scheduler, line.event, line.at_s
        match event:
            case lines.JobSubmitted():
                return scheduler.submit_job(event.spec, now_s)
            case lines.JobCancelled():
                return scheduler.cancel_job(event.customer_id, event.job_id, now_s)
            case lines.WorkerJoined():
                return scheduler.worker_joined(event.worker, now_s)
            case lines.WorkerLeaving():
                return scheduler.worker_leaving(event.worker_id, now_s)
            case lines.WorkerLost():
                return scheduler.worker_lost(event.worker_id, now_s)
            case lines.WorkerReported():
                return scheduler.worker_report(event.worker_id, event.reports, now_s)
            case lines.CommandAnswered():
                return scheduler.command_result(_command_of(event), event.status, now_s)
            case lines.LedgerWritten():
                return scheduler.ledger_written(event.batch_id, now_s)
            case lines.LedgerFailed():
                return scheduler.ledger_failed(event.batch_id, now_s)
            case lines.LedgerRestored():
                return scheduler.restore(event.entries, event.epoch, now_s)
            case lines.JobQuotaSet():
                return scheduler.set_quota(event.customer_id, event.share, now_s)
            case lines.Ticked():
                return scheduler.tick(now_s)
            case lines.EpochChanged():
                scheduler.change_epoch(line.epoch)
        return None


def _command_of(event: lines.CommandAnswered) -> JobDecision:
    """Return a command as far as its answer needs it."""
    fields = {"worker_id": event.worker_id, "issued_s": event.issued_s}
    if event.command == RenewLease.__name__:
        return RenewLease(lease_s=0.0, **fields)
    fields["task_id"] = event.task_id
    if event.command == StartTask.__name__:
        return StartTask(
            job_id="", resources=Resources(), run_s=0.0, payload="", **fields
        )
    if event.command == StopTask.__name__:
        return StopTask(reason=EndReason.LOST, **fields)
    if event.command == CheckpointTask.__name__:
        return CheckpointTask(**fields)
    return ThrottleTask(**fields)
