"""Minimal stand-ins for the platform, the upstreams and the workers."""

from .directory import DirectoryChange, DirectoryStandin
from .ports import free_ports
from .processes import ChildProcess
from .store import MemoryStore, StoreFaultMode, StoreFaults, StoreStandin
from .upstream import (
    AttemptRecord,
    Behaviour,
    UpstreamFaults,
    UpstreamStandin,
    Work,
)
from .worker import TaskPayload, TaskRecord, WorkerFaults, WorkerStandin

__all__ = [
    "AttemptRecord",
    "Behaviour",
    "ChildProcess",
    "DirectoryChange",
    "DirectoryStandin",
    "MemoryStore",
    "StoreFaultMode",
    "StoreFaults",
    "StoreStandin",
    "TaskPayload",
    "TaskRecord",
    "UpstreamFaults",
    "UpstreamStandin",
    "Work",
    "WorkerFaults",
    "WorkerStandin",
    "free_ports",
]
