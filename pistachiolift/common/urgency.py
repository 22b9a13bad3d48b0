"""Urgency classes."""

from enum import Enum

__all__ = ["Urgency"]


class Urgency(Enum):
    """Urgency classes in descending order of urgency."""

    URGENT = "urgent"
    NORMAL = "normal"
    DEFERRABLE = "deferrable"
