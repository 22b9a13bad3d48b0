"""Choice of the running work to stop so that something more urgent fits."""

from collections.abc import Callable, Sequence
from typing import TypeVar

__all__ = ["choose_victims"]

Victim = TypeVar("Victim")


def choose_victims(
    candidates: Sequence[Victim],
    *,
    fits: Callable[[Sequence[Victim]], bool],
    lost: Callable[[Victim], float],
) -> list[Victim] | None:
    """Choose candidates whose stop makes room, with little lost work.

    Adds the cheapest candidates until there is room, then drops those that later ones
    have made unnecessary, the dearest first. The choice need not be the best one.

    :param candidates: what may be stopped on one worker; the order decides among
        candidates that lose the same.
    :param fits: returns whether there is room once some candidates have been stopped.
    :param lost: returns the work that a stop loses, in core-seconds.
    :returns: the victims; ``None`` if there would be no room without all candidates.
    """
    victims: list[Victim] = []
    for candidate in sorted(candidates, key=lost):
        if fits(victims):
            break
        victims.append(candidate)
    if not fits(victims):
        return None
    for victim in sorted(victims, key=lambda each: -lost(each)):
        fewer = [each for each in victims if each is not victim]
        if fits(fewer):
            victims = fewer
    return victims
