"""Memory budget for buffering, shared by the connections of a listener."""

__all__ = ["BufferBudget"]


class BufferBudget:
    """Limits the total of reserved bytes.

    The limits of each connection do not bound the memory of the process: a thousand
    callers with bodies of 256 KiB and answers of 1 MiB would exceed it.

    :param limit_bytes: maximum total of reserved bytes.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def try_reserve(self, size_bytes: int) -> bool:
        """Reserve memory if it is available.

        :returns: whether it was reserved.
        """
        if self.reserved_bytes + size_bytes > self.limit_bytes:
            return False
        self.reserved_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Release reserved memory."""
        self.reserved_bytes -= size_bytes
