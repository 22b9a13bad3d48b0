"""Identifiers, errors, clocks, logging, metrics and codecs shared by all packages."""

from .addresses import parse_address
from .clock import Clock, ManualClock, SystemClock
from .codec import Message, decode_json, encode_json
from .errors import *  # noqa: F403
from .errors import __all__ as _error_names
from .identity import is_process_identity, new_process_identity, platform_instance_id
from .ids import *  # noqa: F403
from .ids import __all__ as _id_names
from .lazy_exports import lazy_exports
from .logs import configure_logging, log_event
from .metrics import Metrics
from .quota_shares import (
    CustomerShare,
    QuotaRecord,
    ShareEntry,
    StarvingWork,
    next_share,
)
from .quota_table import QuotaDemand, QuotaTable, QuotaUse
from .rendezvous import rendezvous_ranking, stable_hash
from .resource_amounts import NO_LIMIT, ResourceAmounts
from .urgency import Urgency
from .victims import choose_victims
from .wait_reason import WaitReason
from .worker_health import WorkerHealth

__all__ = [
    "NO_LIMIT",
    "Clock",
    "CustomerShare",
    "ManualClock",
    "Message",
    "Metrics",
    "QuotaDemand",
    "QuotaRecord",
    "QuotaTable",
    "QuotaUse",
    "ResourceAmounts",
    "ShareEntry",
    "StarvingWork",
    "SystemClock",
    "Urgency",
    "WaitReason",
    "WorkerHealth",
    "choose_victims",
    "configure_logging",
    "decode_json",
    "encode_json",
    "is_process_identity",
    "lazy_exports",
    "log_event",
    "new_process_identity",
    "next_share",
    "parse_address",
    "platform_instance_id",
    "rendezvous_ranking",
    "stable_hash",
]
__all__ += _error_names
__all__ += _id_names
