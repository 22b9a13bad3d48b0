"""Small substitutes of the platform, the upstreams and the workers."""

from .directory import DirectoryChange, DirectoryStandin
from .ports import free_ports
from .processes import ChildProcess
from .store import MemoryStore, StoreFaultMode, StoreFaults, StoreStandin
from .upstream import (
    Behaviour,
    SeenAttempt,
    UpstreamFaults,
    UpstreamStandin,
    Work,
)
from .worker import SeenTask, TaskPayload, WorkerFaults, WorkerStandin

__all__ = [
    "Behaviour",
    "ChildProcess",
    "DirectoryChange",
    "DirectoryStandin",
    "MemoryStore",
    "SeenAttempt",
    "SeenTask",
    "StoreFaultMode",
    "StoreFaults",
    "StoreStandin",
    "TaskPayload",
    "UpstreamFaults",
    "UpstreamStandin",
    "Work",
    "WorkerFaults",
    "WorkerStandin",
    "free_ports",
]
