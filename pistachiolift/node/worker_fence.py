"""Fencing token of the calls to one worker."""

from collections.abc import Callable

__all__ = ["VALUES_PER_CLAIM", "WorkerFence"]

# Number of tokens that an owner can use for a worker under one claim.
VALUES_PER_CLAIM = 16384


class WorkerFence:
    """Fencing token of the calls to a worker, whichever process of it answers.

    The token rises with the owner's claim, and whenever starts without an answer must
    not be carried out any more: a worker that has seen a higher token rejects them.

    :param claim: returns the version of the owner's claim.
    """

    def __init__(self, claim: Callable[[], int]):
        self._claim = claim
        self._advances = 0

    @property
    def value(self) -> int:
        """The token for the next call."""
        return self._claim() * VALUES_PER_CLAIM + self._advances

    def advance(self) -> None:
        """Use a higher token from now on, unless the claim's last one is in use."""
        self._advances = min(self._advances + 1, VALUES_PER_CLAIM - 1)
