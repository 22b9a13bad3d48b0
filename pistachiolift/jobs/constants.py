"""Times and limits of the job scheduler; see section 5.6 of the design page."""

TASK_LEASE_S = 30.0
RENEW_INTERVAL_S = 10.0
# Workers report only in answers, so they are polled between lease renewals.
REPORT_INTERVAL_S = 5.0
# A worker that missed two renewals gets no further ones, so that its leases expire.
REPORT_TIMEOUT_S = 25.0
START_BEFORE_S = 1.0
STOP_RETRY_S = 1.0
# Poll interval while a checkpoint or an unanswered start is pending.
POLL_AGAIN_S = 1.0
# With this limit, an urgent task starts within 4.7 s, including the stop of its victim
# and a ledger write.
CHECKPOINT_LIMIT_S = 2.0
# Reports may lag by seconds; a running task that is missing for longer is stopped.
MISSING_AFTER_S = 5.0
# Usage lags as well; a throttled task has this time to fall below its declared size.
OVERUSE_GRACE_S = 10.0
# Usage up to this ratio of the declared size is tolerated as sampling noise.
OVERUSE_RATIO = 1.1
HOLD_DURATION_S = 30.0
# One write per second and partition keeps the store calls below 0.05 per task start at
# 26 starts per second, which is 1/260 of the peak rate of the whole system.
LEDGER_INTERVAL_S = 1.0
LEDGER_RETRY_BASE_S = 0.5
LEDGER_RETRY_CAP_S = 8.0
# Retention period of ended jobs, the same as that of ended requests.
ENDED_JOB_RETENTION_S = 600.0
RETRY_BASE_S = 1.0
RETRY_CAP_S = 60.0
# Limits the duration of one event; the next tick visits the rest of the queue.
ATTEMPTS_PER_TICK = 64
# Tasks of one job that are placed before the next job of the same priority.
TASKS_PER_TURN = 16
# Jobs retried when a task of their customer ends; one ended task rarely frees quota
# for more.
JOBS_WOKEN_BY_QUOTA = 2
# Minimum interval between searches for preemption victims for the same job.
MAKE_ROOM_INTERVAL_S = 1.0
# Blocked urgent jobs for which the search is repeated in each interval.
MAKE_ROOM_JOBS = 4
# Tasks of a job for which room is made at the same time; gangs excepted.
PREEMPTIONS_PER_TURN = 8
MAX_JOBS = 20_000

MAX_TASKS = 100_000
MAX_CPU_MILLI = 1_024_000
MAX_MEMORY_MB = 16 * 1024 * 1024
MAX_ACCELERATORS = 64
MAX_PRIORITY = 9
MAX_ATTEMPTS = 100
MAX_ID_LENGTH = 64
MAX_PAYLOAD_LENGTH = 16 * 1024


def drift_margin_s(interval_s: float) -> float:
    """Return the allowance for clock drift over an interval, in seconds."""
    return 0.25 + 0.01 * interval_s


def with_margin_s(interval_s: float) -> float:
    """Return an interval plus its drift margin, in seconds."""
    return interval_s + drift_margin_s(interval_s)


# A command may be delivered until its start-before time, and the lease begins with the
# delivery. A lease therefore ends at most LEASE_BOUND_S after the command was issued.
START_BOUND_S = with_margin_s(START_BEFORE_S)
LEASE_BOUND_S = with_margin_s(START_BEFORE_S + TASK_LEASE_S)
