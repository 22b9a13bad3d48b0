"""Memory that the connections of a listener share for buffering."""

__all__ = ["BufferBudget"]


class BufferBudget:
    """Counts reserved bytes against a limit.

    The limits of one connection alone do not bound a process: a thousand callers
    with bodies of 256 KiB and answers of 1 MiB would exceed its memory.

    :param limit_bytes: most bytes reserved at a time.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def try_reserve(self, size_bytes: int) -> bool:
        """Reserve memory.

        :returns: whether it was available.
        """
        if self.reserved_bytes + size_bytes > self.limit_bytes:
            return False
        self.reserved_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Give back what was reserved."""
        self.reserved_bytes -= size_bytes
