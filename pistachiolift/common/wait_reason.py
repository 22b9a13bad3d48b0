"""Reasons why tasks wait, as reported to operators."""

from enum import Enum

__all__ = ["WaitReason"]


class WaitReason(Enum):
    """Why a task is not running."""

    NO_ROOM = "no_room"
    NO_WORKERS = "no_workers"
    NEVER_FITS = "never_fits"
    QUOTA = "quota"
    RETRY_DELAY = "retry_delay"
    GANG_RESTART = "gang_restart"
    TURN = "turn"
    LEDGER = "ledger"
    EARLIER_STEPS = "earlier_steps"
    DUE_TIME = "due_time"
    ADVICE = "advice"
    START = "start"
    STOP = "stop"
    WORKER_SILENT = "worker_silent"
