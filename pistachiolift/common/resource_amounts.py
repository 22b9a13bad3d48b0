"""Amounts of processors, memory and accelerators."""

from collections.abc import Callable
from typing import Self

import msgspec

__all__ = ["NO_LIMIT", "ResourceAmounts"]

# Represents a component without a limit; sums of it stay exact.
NO_LIMIT = 2**62


class ResourceAmounts(msgspec.Struct, frozen=True):
    """Amounts of a worker's resources; base of the types that packages encode.

    :param cpu_milli: thousandths of a core.
    :param memory_mb: megabytes.
    :param accelerators: whole devices.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_in(self, room: Self) -> bool:
        """Whether no component exceeds that of ``room``."""
        return (
            self.cpu_milli <= room.cpu_milli
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def fits_beside(self, used: Self, room: Self) -> bool:
        """Whether this amount fits into ``room`` in addition to ``used``."""
        return (
            self.cpu_milli + used.cpu_milli <= room.cpu_milli
            and self.memory_mb + used.memory_mb <= room.memory_mb
            and self.accelerators + used.accelerators <= room.accelerators
        )

    def plus(self, other: Self) -> Self:
        """Return the component-wise sum."""
        return type(self)(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Self) -> Self:
        """Return the component-wise difference, which may be negative."""
        return type(self)(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> Self:
        """Return the size of ``count`` equal tasks."""
        return type(self)(
            self.cpu_milli * count, self.memory_mb * count, self.accelerators * count
        )

    def count_in(self, room: Self) -> int:
        """Return how many tasks of this size fit into ``room``."""
        counts = [
            have // need if have > 0 else 0
            for need, have in (
                (self.cpu_milli, room.cpu_milli),
                (self.memory_mb, room.memory_mb),
                (self.accelerators, room.accelerators),
            )
            if need
        ]
        return min(counts, default=0)

    def combine(self, function: Callable[..., int], *others: Self) -> Self:
        """Apply a function to each component of this and the other amounts."""
        return type(self)(
            *(
                function(*(getattr(each, name) for each in (self, *others)))
                for name in ResourceAmounts.__struct_fields__
            )
        )
