"""Rendezvous hashing: a stable choice among candidates.

Adding or removing a candidate moves only the keys that it gains or loses.
"""

import hashlib
from collections.abc import Iterable

__all__ = ["rendezvous_ranking", "stable_hash"]


def stable_hash(text: str) -> int:
    """Return a 64-bit hash that is the same in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def rendezvous_ranking(key: str, candidates: Iterable[str]) -> list[str]:
    """Rank candidates for a key by their combined hash.

    :param key: identifies what is to be placed.
    :returns: the candidates in descending order of preference.
    """
    return sorted(
        candidates,
        key=lambda candidate: stable_hash(f"{key}\0{candidate}"),
        reverse=True,
    )
