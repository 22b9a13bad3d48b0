"""Identifier types shared by all packages."""

from typing import NewType

__all__ = [
    "AttemptId",
    "CustomerId",
    "DataCentreId",
    "Epoch",
    "InstanceId",
    "JobId",
    "KindId",
    "PartitionId",
    "RackId",
    "RequestId",
    "Revision",
    "TaskId",
    "UpstreamId",
    "WorkerId",
]

InstanceId = NewType("InstanceId", str)
DataCentreId = NewType("DataCentreId", str)
RackId = NewType("RackId", str)
CustomerId = NewType("CustomerId", str)
KindId = NewType("KindId", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
PartitionId = NewType("PartitionId", str)
UpstreamId = NewType("UpstreamId", str)
WorkerId = NewType("WorkerId", str)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)

Epoch = NewType("Epoch", int)
Revision = NewType("Revision", int)
