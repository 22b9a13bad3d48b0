"""Recording of the inputs and decisions of an owner's decision cores.

A trace has one JSON line per event. It holds no bodies, answers, payloads, addresses
or tokens: bodies and payloads appear as shortened digests and answers as their size.
"""

import contextlib
import logging
import os
import random
import stat
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from .. import __version__
from ..common import Clock, CustomerId, Epoch, KindId, PartitionId, log_event
from ..jobs import JobScheduler, TaskDecision
from ..requests import ClassShares, KindPolicy, PolicySource, RequestScheduler
from . import trace_lines as lines

__all__ = ["PartitionTrace", "TraceRecorder", "open_trace", "record_trace"]

logger = logging.getLogger(__name__)

# Instances have no disks, so the file occupies memory. The limit is a quarter of the
# 256 MB that a daemon may use; it lasts nearly four minutes at 300 requests per second.
TRACE_LIMIT_BYTES = 64 * 1024 * 1024
FLUSH_INTERVAL_S = 1.0
BUFFER_BYTES = 64 * 1024


class TraceRecorder:
    """Appends lines to a file until a size limit or an error; it never raises.

    :param limit_bytes: size after which recording stops.
    """

    def __init__(self, path: Path, *, limit_bytes: int = TRACE_LIMIT_BYTES):
        self._remaining_bytes = limit_bytes
        self._encoder = msgspec.json.Encoder()
        self._stream_count = 0
        self._flushed_at_s = 0.0
        self._file = None
        try:
            self._file = _open_regular(path)
        except OSError as error:
            self._log_stop(f"cannot open: {error.strerror}")

    @property
    def active(self) -> bool:
        """Whether lines are still recorded."""
        return self._file is not None

    def next_stream_number(self) -> int:
        """Return the stream number of a new core."""
        self._stream_count += 1
        return self._stream_count

    def write(self, line: lines.TraceLine) -> None:
        """Append a line."""
        if self._file is None:
            return
        try:
            data = self._encoder.encode(line) + b"\n"
            self._remaining_bytes -= len(data)
            if self._remaining_bytes < 0:
                self._stop_at_limit(line)
                return
            self._file.write(data)
            if line.at_s - self._flushed_at_s >= FLUSH_INTERVAL_S:
                self._flushed_at_s = line.at_s
                self._file.flush()
        except Exception as error:
            self.fail(error)

    def _stop_at_limit(self, line: lines.TraceLine) -> None:
        event = lines.RecordingStopped(reason="size_limit")
        last = msgspec.structs.replace(line, event=event, decisions=[], error="")
        self._file.write(self._encoder.encode(last) + b"\n")
        self._log_stop("size_limit")
        self.close()

    def fail(self, error: Exception) -> None:
        """Stop recording because of a fault; the process goes on."""
        self._log_stop(f"{type(error).__name__}: {error}")
        self.close()

    @staticmethod
    def _log_stop(reason: str) -> None:
        log_event(logger, "trace_stopped", level=logging.WARNING, reason=reason)

    def close(self) -> None:
        """Flush the buffer and close the file."""
        file, self._file = self._file, None
        if file is not None:
            # A full disk also fails the flush of close().
            with contextlib.suppress(OSError):
                file.close()


def _open_regular(path: Path):
    """Open a regular file; another one, such as a pipe, could block the process."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_NONBLOCK | os.O_CLOEXEC
    descriptor = os.open(path, flags, 0o600)
    if not stat.S_ISREG(os.fstat(descriptor).st_mode):
        os.close(descriptor)
        raise OSError(0, "not a regular file")
    os.ftruncate(descriptor, 0)
    return os.fdopen(descriptor, "wb", buffering=BUFFER_BYTES)


_recorders: list[TraceRecorder] = []


@contextlib.contextmanager
def record_trace(path: Path | None) -> Iterator[None]:
    """Record the cores that are created in the context; no path, no recording."""
    if path is None:
        yield
        return
    recorder = TraceRecorder(path)
    _recorders.append(recorder)
    try:
        yield
    finally:
        _recorders.remove(recorder)
        recorder.close()


def open_trace(
    clock: Clock, rng: random.Random, partition_id: PartitionId, epoch: Epoch
) -> "PartitionTrace":
    """Return the trace of one core; without an active recorder it records nothing."""
    recorder = _recorders[-1] if _recorders else None
    if recorder is not None and not recorder.active:
        recorder = None
    return PartitionTrace(recorder, clock, rng, partition_id, epoch)


class PartitionTrace:
    """Records one decision core of a partition.

    A core that is recorded gets a random generator of its own, so that the recorded
    seed determines all that it draws.
    """

    def __init__(
        self,
        recorder: TraceRecorder | None,
        clock: Clock,
        rng: random.Random,
        partition_id: PartitionId,
        epoch: Epoch,
    ):
        self.rng = rng
        self._recorder = recorder
        self._clock = clock
        self._line = lines.TraceLine(
            stream=0, at_s=0.0, partition_id=partition_id, epoch=epoch, event=None
        )
        self._in_event = False
        if recorder is not None:
            self._line.stream = recorder.next_stream_number()
            self._seed = rng.getrandbits(64)
            self.rng = random.Random(self._seed)

    def record_policies(self, source: PolicySource) -> PolicySource:
        """Return a source that records the settings that the core uses."""
        if self._recorder is None:
            return source
        return _RecordedPolicies(source, self._record_context)

    def record_requests(self, scheduler: RequestScheduler) -> RequestScheduler:
        """Record a request scheduler; returns it."""
        if self._recorder is not None:
            self._record_context(
                lines.RequestsStarted(version=__version__, seed=self._seed)
            )
            self._wrap_methods(scheduler, _REQUEST_EVENTS)
            self._wrap_methods(scheduler.pool, _POOL_EVENTS)
        return scheduler

    def record_jobs(self, scheduler: JobScheduler) -> JobScheduler:
        """Record a job scheduler; returns it."""
        if self._recorder is not None:
            self._record_context(
                lines.JobsStarted(version=__version__, seed=self._seed)
            )
            self._wrap_methods(scheduler, _JOB_EVENTS)
            change_epoch = scheduler.change_epoch

            def change_and_record(epoch: Epoch) -> None:
                change_epoch(epoch)
                self.change_epoch(epoch)

            scheduler.change_epoch = change_and_record
        return scheduler

    def change_epoch(self, epoch: Epoch) -> None:
        """Record a new epoch of the same authority."""
        if self._recorder is not None and epoch != self._line.epoch:
            self._line.epoch = epoch
            self._record_context(lines.EpochChanged())

    def _record_context(self, event: lines.TraceEvent) -> None:
        """Record a setting, an epoch or a start, which applies from now on."""
        if self._in_event:
            # Settings that an event uses precede it in the trace, with its time.
            self._write(event)
        else:
            self._write(event, at_s=self._clock.monotonic_s())

    def _write(self, event, decisions=(), error="", at_s: float | None = None) -> None:
        line = self._line
        if at_s is not None:
            line.at_s = at_s
        line.event, line.decisions, line.error = event, list(decisions), error
        self._recorder.write(line)

    def _wrap_methods(
        self, target: object, describe_by_name: dict[str, Callable]
    ) -> None:
        for name, describe in describe_by_name.items():
            setattr(
                target, name, self._recording_wrapper(getattr(target, name), describe)
            )

    def _recording_wrapper(self, method: Callable, describe: Callable) -> Callable:
        def call(*args, **kwargs):
            # Methods of the core may call each other; only the outermost is recorded.
            if self._in_event or not self._recorder.active:
                return method(*args, **kwargs)
            try:
                at_s, event = describe(*args, **kwargs)
            except Exception as error:
                self._recorder.fail(error)
                return method(*args, **kwargs)
            self._line.at_s = self._clock.monotonic_s() if at_s is None else at_s
            self._in_event = True
            try:
                decisions = method(*args, **kwargs)
            except Exception as error:
                self._write(event, error=lines.error_name(error))
                raise
            finally:
                self._in_event = False
            self._finish(event, decisions)
            return decisions

        return call

    def _finish(self, event, decisions: list | None) -> None:
        try:
            described = [lines.describe_decision(each) for each in decisions or ()]
        except Exception as error:
            self._recorder.fail(error)
        else:
            self._write(event, described)


class _RecordedPolicies(PolicySource):
    """Records each setting that the core looks up when it is new or has changed."""

    def __init__(self, source: PolicySource, record: Callable):
        self._source = source
        self._record_context = record
        self._kinds: dict[tuple[CustomerId, KindId], KindPolicy] = {}
        self._weights: dict[CustomerId, int] = {}
        self._quotas: dict[CustomerId, int] = {}
        self._shares: ClassShares | None = None

    def kind_policy(self, customer_id: CustomerId, kind_id: KindId) -> KindPolicy:
        """See :meth:`PolicySource.kind_policy`."""
        policy = self._source.kind_policy(customer_id, kind_id)
        # Sources return the same object until the settings change.
        if self._kinds.get((customer_id, kind_id)) is not policy:
            self._kinds[customer_id, kind_id] = policy
            self._record_context(lines.KindSet(customer_id, kind_id, policy))
        return policy

    def customer_weight(self, customer_id: CustomerId) -> int:
        """See :meth:`PolicySource.customer_weight`."""
        weight = self._source.customer_weight(customer_id)
        if self._weights.get(customer_id) != weight:
            self._weights[customer_id] = weight
            self._record_context(lines.WeightSet(customer_id, weight))
        return weight

    def class_shares(self) -> ClassShares:
        """See :meth:`PolicySource.class_shares`."""
        shares = self._source.class_shares()
        if shares is not self._shares:
            self._shares = shares
            self._record_context(lines.SharesSet(shares))
        return shares

    def quota_slots(self, customer_id: CustomerId) -> int:
        """See :meth:`PolicySource.quota_slots`."""
        quota = self._source.quota_slots(customer_id)
        if self._quotas.get(customer_id, 0) != quota:
            self._quotas[customer_id] = quota
            self._record_context(lines.QuotaSet(customer_id, quota))
        return quota


# For each recorded method, a function with the same parameters that returns the clock
# reading, or None, and the event.

_REQUEST_EVENTS = {
    "submit": lambda spec, now_s, granted_before=True: (
        now_s,
        lines.Submitted(lines.with_short_digest(spec), granted_before),
    ),
    "attempt_ended": lambda report, now_s: (now_s, lines.describe_report(report)),
    "attempt_confirmed": lambda attempt_id, result, now_s: (
        now_s,
        lines.AttemptConfirmed(attempt_id, result),
    ),
    "intents_written": lambda ids, now_s: (now_s, lines.IntentsWritten(list(ids))),
    "intents_failed": lambda ids, now_s: (now_s, lines.IntentsFailed(list(ids))),
    "cancel": lambda request_id, entry_id, now_s: (
        now_s,
        lines.Cancelled(request_id, entry_id),
    ),
    "entry_lost": lambda entry_id, now_s: (now_s, lines.EntryLost(entry_id)),
    # Addresses are not recorded; they do not change a decision.
    "adopt": lambda spec, attempt_id, upstream_id, run_limit_s, now_s, address="": (
        now_s,
        lines.Adopted(
            lines.with_short_digest(spec), attempt_id, upstream_id, run_limit_s
        ),
    ),
    "adopt_orphan": lambda request_id, attempt_id, upstream_id, limit_s, now_s, **_: (
        now_s,
        lines.OrphanAdopted(request_id, attempt_id, upstream_id, limit_s),
    ),
    "forget_before": lambda now_s: (now_s, lines.MemoryBegan()),
    "restore_ended": lambda ended: (None, lines.describe_ended(ended)),
    "tick": lambda now_s: (now_s, lines.Ticked()),
}

_POOL_EVENTS = {
    "upsert": lambda upstream_id, address, slots, now_s: (
        now_s,
        lines.UpstreamSet(upstream_id, slots),
    ),
    "mark_leaving": lambda upstream_id: (None, lines.UpstreamLeaving(upstream_id)),
    "remove": lambda upstream_id: (None, lines.UpstreamRemoved(upstream_id)),
}

_JOB_EVENTS = {
    "submit_job": lambda spec, now_s: (
        now_s,
        lines.JobSubmitted(lines.with_payload_digest(spec)),
    ),
    "cancel_job": lambda customer_id, job_id, now_s: (
        now_s,
        lines.JobCancelled(customer_id, job_id),
    ),
    "worker_joined": lambda worker, now_s: (now_s, lines.WorkerJoined(worker)),
    "worker_leaving": lambda worker_id, now_s: (now_s, lines.WorkerLeaving(worker_id)),
    "worker_lost": lambda worker_id, now_s: (now_s, lines.WorkerLost(worker_id)),
    "worker_report": lambda worker_id, reports, now_s: (
        now_s,
        lines.WorkerReported(worker_id, reports),
    ),
    "command_result": lambda command, status, now_s: (
        now_s,
        lines.CommandAnswered(
            lines.command_kind(command),
            command.worker_id,
            command.task_id if isinstance(command, TaskDecision) else None,
            command.issued_s,
            status,
        ),
    ),
    "ledger_written": lambda batch_id, now_s: (now_s, lines.LedgerWritten(batch_id)),
    "ledger_failed": lambda batch_id, now_s: (now_s, lines.LedgerFailed(batch_id)),
    "restore": lambda entries, epoch, now_s: (
        now_s,
        lines.LedgerRestored(
            [lines.entry_with_payload_digest(e) for e in entries], epoch
        ),
    ),
    "set_quota": lambda customer_id, share, now_s: (
        now_s,
        lines.JobQuotaSet(customer_id, share),
    ),
    "tick": lambda now_s: (now_s, lines.Ticked()),
}
