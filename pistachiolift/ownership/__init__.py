"""Partition ownership: records, epochs, promises and takeover. Does no I/O."""

from .actions import *  # noqa: F403
from .actions import __all__ as _action_names
from .assignment import choose_successors, plan_owners, rank_instances
from .core import OwnershipCore
from .events import *  # noqa: F403
from .events import __all__ as _event_names
from .machine import OwnershipPhase
from .record import PartitionRecord
from .timings import OwnershipTimings

__all__ = [
    "OwnershipCore",
    "OwnershipPhase",
    "OwnershipTimings",
    "PartitionRecord",
    "choose_successors",
    "plan_owners",
    "rank_instances",
]
__all__ += _action_names
__all__ += _event_names
