"""Comparison of the configurations of the two instances that decide about a call."""

import logging
from enum import Enum

from ..common import Metrics, log_event
from .peer_messages import CallMessage

__all__ = ["CallVersions", "VersionOrder"]

logger = logging.getLogger(__name__)


class VersionOrder(Enum):
    """How the version of the instance that sent a call compares with the owner's."""

    SAME = "same"
    CALLER_NEWER = "caller_newer"
    CALLER_OLDER = "caller_older"


class CallVersions:
    """Compares versions, and reports differences.

    One line is logged for each pair of versions, since many calls may meet an owner
    that is behind.
    """

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._owner_version = 0
        # Versions of callers that were logged since the owner has its version.
        self._logged: set[int] = set()

    def compare(self, message: CallMessage, owner_version: int) -> VersionOrder:
        """Compare the version that a call carries with the owner's.

        A call without a version counts as having the same.
        """
        version = message.configuration_version
        if version is None or version == owner_version:
            return VersionOrder.SAME
        newer = version > owner_version
        order = VersionOrder.CALLER_NEWER if newer else VersionOrder.CALLER_OLDER
        self._metrics.count(f"configuration.{order.value}")
        if owner_version != self._owner_version:
            self._owner_version = owner_version
            self._logged.clear()
        if version not in self._logged:
            self._logged.add(version)
            log_event(
                logger,
                "call_version_differs",
                order=order.value,
                call=type(message).__name__,
                job=getattr(message, "job_id", ""),
                caller_config=version,
                config=owner_version,
            )
        return order
