"""Clients of the platform, the upstreams and the workers, with HTTP adapters."""

from ..common import lazy_exports

__getattr__, __all__ = lazy_exports(
    __name__,
    {
        "directory": (
            "Capacity",
            "DirectoryEntry",
            "DirectoryListing",
            "HttpInstanceDirectory",
            "InstanceDirectory",
            "InstanceRole",
            "InstanceState",
        ),
        "etcd": (
            "VALUE_LIMIT_BYTES",
            "EtcdStore",
            "prefix_end",
        ),
        "store": (
            "Entry",
            "KeyValueStore",
            "LeaseId",
            "Listing",
            "Watch",
            "WatchEvent",
        ),
        "upstream": (
            "AnswerSink",
            "AttemptOrder",
            "AttemptState",
            "AttemptStatus",
            "HttpUpstreamClient",
            "RunningAttempt",
            "RunningAttempts",
            "UpstreamClient",
        ),
        "worker": (
            "CommandAction",
            "CommandBatch",
            "CommandResult",
            "CommandStatus",
            "HttpWorkerClient",
            "TaskCommand",
            "TaskReport",
            "TaskState",
            "WorkerAnswer",
            "WorkerClient",
        ),
    },
)
