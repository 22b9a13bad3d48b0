"""The owner's side of partitions, called homes: runs the decision cores."""

from .home_partition import HomeContext, HomePartition
from .lending import LoadTable
from .ownership_driver import AuthorityListener, OwnershipDriver
from .paged_log import PagedLog, read_pages
from .partition_map import PartitionMap
from .quota_manager import UNLIMITED, JobQuotas
from .service import HomeService
from .store_session import StoreListener, StoreSession
from .trace import record_trace

__all__ = [
    "UNLIMITED",
    "AuthorityListener",
    "HomeContext",
    "HomePartition",
    "HomeService",
    "LoadTable",
    "JobQuotas",
    "OwnershipDriver",
    "PagedLog",
    "PartitionMap",
    "StoreListener",
    "StoreSession",
    "read_pages",
    "record_trace",
]
