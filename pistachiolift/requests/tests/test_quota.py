"""Tests of the slot limits of the urgency classes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachiolift.requests import ClassShares, Urgency, class_slots

shares_strategy = st.builds(
    lambda minimums, reserved: ClassShares(
        min_share_by_urgency=dict(zip(Urgency, minimums, strict=True)),
        reserved_urgent_slots=reserved,
    ),
    st.lists(st.floats(0, 1), min_size=3, max_size=3),
    st.floats(0, 1),
)


class TestClassSlots:
    @settings(derandomize=True, deadline=None)
    @given(shares_strategy, st.integers(1, 500))
    def test_limits_fit_the_pool(self, shares, total_slots):
        """Guards against limits above the pool size or of 0 for other classes."""
        limits = class_slots(shares, total_slots)
        minimum = limits.minimum_by_urgency
        assert 1 <= limits.non_urgent_limit <= total_slots
        assert sum(minimum.values()) <= total_slots + 1e-6
        non_urgent = minimum[Urgency.NORMAL] + minimum[Urgency.DEFERRABLE]
        assert non_urgent <= limits.non_urgent_limit + 1e-6
        assert all(slots >= 0 for slots in minimum.values())

    def test_small_pool_reserves_a_slot_but_not_the_last_one(self):
        """Guards against reserving no slot or all slots through rounding."""
        shares = ClassShares(min_share_by_urgency={}, reserved_urgent_slots=0.1)
        limits = [class_slots(shares, n).non_urgent_limit for n in (1, 2, 8, 192)]
        assert limits == [1, 1, 7, 172]
