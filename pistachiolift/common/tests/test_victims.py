"""The choice of victims."""

import pytest

from pistachiolift.common import choose_victims


def choose(lost_by_size, need):
    """Choose among (size, lost) pairs for a need."""
    return choose_victims(
        lost_by_size,
        fits=lambda chosen: sum(size for size, _ in chosen) >= need,
        lost=lambda candidate: candidate[1],
    )


class TestChooseVictims:
    """Guards against stops that make no room or were not needed."""

    @pytest.mark.parametrize(
        ("candidates", "need", "victims"),
        [
            ([(4, 1.0), (4, 2.0)], 0, []),
            ([(4, 2.0), (4, 1.0)], 4, [(4, 1.0)]),
            ([(1, 1.0), (2, 2.0), (8, 3.0)], 8, [(8, 3.0)]),
            ([(3, 1.0), (5, 2.0), (8, 9.0)], 8, [(3, 1.0), (5, 2.0)]),
            ([(3, 1.0), (4, 2.0)], 8, None),
            ([], 1, None),
        ],
    )
    def test_the_cheapest_that_are_needed(self, candidates, need, victims):
        assert choose(candidates, need) == victims
