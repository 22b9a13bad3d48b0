"""Tests of the slots and the health of upstreams."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachiolift.requests import UpstreamPool


def _pool(count, *, slots=8):
    pool = UpstreamPool()
    for number in range(count):
        pool.upsert(f"u{number}", "127.0.0.1:1", slots, 0.0)
    return pool


def _fail(pool, upstream_id, requests, *, now_s=0.0, kind_id="k"):
    for request_id in requests:
        pool.record_result(
            upstream_id, False, now_s, request_id=str(request_id), kind_id=kind_id
        )


def _succeed(pool, upstream_ids, *, kind_id="k"):
    for upstream_id in upstream_ids:
        pool.record_result(upstream_id, True, 0.0, request_id="ok", kind_id=kind_id)


class TestSlots:
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.lists(st.tuples(st.sampled_from("AAARDULXF"), st.integers(0, 9))))
    def test_slots_are_never_exceeded(self, steps):
        """Guards against overload when a slot count falls or an upstream returns."""
        pool, slots, held = UpstreamPool(), {}, {}
        for number, (step, value) in enumerate(steps):
            upstream_id = f"u{value % 3}"
            if step == "A":
                has_free_slot = pool.free_slots(number) > 0
                acquired = pool.acquire(
                    f"a{number}", number, prefer_healthy=value > 4, avoid={"u0"}
                )
                assert (acquired is not None) == has_free_slot
                if acquired is not None:
                    held[f"a{number}"] = acquired
                    running = list(held.values()).count(acquired)
                    assert running <= slots[acquired]
            elif step == "R" and held:
                attempt_id = sorted(held)[value % len(held)]
                assert pool.release(attempt_id)
                del held[attempt_id]
            elif step == "D":
                pool.adopt(f"a{number}", upstream_id)
                held[f"a{number}"] = upstream_id
            elif step == "U":
                slots[upstream_id] = value // 3
                pool.upsert(upstream_id, "127.0.0.1:1", value // 3, number)
            elif step in "LX":
                stop = pool.mark_leaving if step == "L" else pool.remove
                stop(upstream_id)
                slots[upstream_id] = 0
            elif step == "F":
                _fail(pool, upstream_id, [number], now_s=number)
            for upstream in ("u0", "u1", "u2"):
                running = {a for a, u in held.items() if u == upstream}
                assert pool.running_attempts(upstream) == running
            assert pool.total_slots(number) == pool.free_slots(number) + len(held)

    def test_least_loaded_first_and_avoided_last(self):
        """Guards against retrying where the request has just failed."""
        pool = _pool(2, slots=2)
        assert pool.acquire("a", 0.0, avoid={"u0"}) == "u1"
        assert pool.acquire("b", 0.0, avoid={"u0"}) == "u1"
        assert pool.acquire("c", 0.0, avoid={"u0"}) == "u0"
        pool.release("a")
        pool.release("b")
        assert pool.acquire("d", 0.0) == "u1"
        pool.release("c")
        pool.release("d")
        # Equal loads take turns, so that short attempts do not all use one upstream.
        assert pool.acquire("e", 0.0) == "u0"
        pool.release("e")
        assert pool.acquire("f", 0.0) == "u1"

    def test_attempt_holds_one_slot_only(self):
        """Guards against a lost slot when an attempt is assigned two slots."""
        pool = _pool(2)
        upstream_id = pool.acquire("a", 0.0)
        with pytest.raises(ValueError, match="holds a slot"):
            pool.acquire("a", 0.0)
        pool.adopt("a", upstream_id)
        assert len(pool.running_attempts(upstream_id)) == 1
        assert pool.release("a")
        assert not pool.release("a")

    def test_removed_upstream_that_returns_keeps_its_attempts(self):
        """Guards against assigning a slot twice after a gap in the directory."""
        pool = _pool(1, slots=2)
        pool.acquire("a", 0.0)
        pool.remove("u0")
        assert pool.acquire("b", 0.0) is None
        pool.upsert("u0", "127.0.0.1:1", 2, 1.0)
        assert pool.free_slots(1.0) == 1

    def test_leaving_upstream_gets_no_new_attempt(self):
        """Guards against new work on an instance that is about to stop."""
        pool = _pool(1)
        pool.acquire("a", 0.0)
        pool.mark_leaving("u0")
        assert pool.acquire("b", 0.0) is None
        assert pool.total_slots(0.0) == 1


class TestEjection:
    def test_upstream_that_fails_everything_is_ejected_and_probed(self):
        """Guards against a broken upstream that keeps receiving requests."""
        pool = _pool(4)
        _succeed(pool, ["u1", "u2", "u3"])
        _fail(pool, "u0", range(5))
        assert pool.is_ejected("u0")
        assert pool.free_slots(4.9) == 24
        avoid = {"u1", "u2", "u3"}
        assert pool.acquire("early", 4.9, avoid=avoid) != "u0"
        assert pool.acquire("once", 5.0, prefer_healthy=True) != "u0"
        assert pool.acquire("probe", 5.0, avoid=avoid) == "u0"
        assert pool.acquire("second", 5.0, avoid=avoid) != "u0"
        _succeed(pool, ["u0"])
        assert not pool.is_ejected("u0")

    def test_failed_probe_doubles_the_ejection(self):
        """Guards against probing a failed upstream at a constant rate."""
        pool = _pool(4)
        _succeed(pool, ["u1", "u2", "u3"])
        _fail(pool, "u0", range(8))
        assert pool.next_probe_s() == 5.0
        _fail(pool, "u0", [9], now_s=6.0)
        assert pool.next_probe_s() == 16.0
        _fail(pool, "u0", [10], now_s=17.0)
        assert pool.next_probe_s() == 37.0

    @pytest.mark.parametrize(
        ("requests", "kind_id"), [(["poison"] * 80, "k"), (range(80), "broken")]
    )
    def test_failures_on_all_upstreams_eject_none(self, requests, kind_id):
        """Guards against one failing request or kind that ejects all upstreams."""
        pool = _pool(4)
        _succeed(pool, ["u0", "u1", "u2", "u3"])
        for number, request in enumerate(requests):
            _fail(pool, f"u{number % 4}", [request], kind_id=kind_id)
        assert not any(pool.is_ejected(f"u{number}") for number in range(4))

    def test_at_least_half_of_the_slots_remain(self):
        """Guards against ejecting all upstreams because of a shared fault."""
        pool = _pool(6)
        pool.upsert("u0", "127.0.0.1:1", 48, 0.0)
        ids = [f"u{number}" for number in range(6)]
        _succeed(pool, ids)
        for upstream_id in ids:
            _fail(pool, upstream_id, range(5))
        ejected = list(filter(pool.is_ejected, ids))
        assert ejected
        assert pool.free_slots(0.0) >= (48 + 5 * 8) / 2
        for upstream_id in set(ids).difference(ejected):
            pool.mark_leaving(upstream_id)
        assert pool.free_slots(0.0) >= 8 * len(ejected) / 2
