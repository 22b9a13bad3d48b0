"""The upstreams of a partition and the slots that attempts occupy on them."""

from collections.abc import Collection
from enum import Enum

from ..common import AttemptId, KindId, RequestId, UpstreamId
from .upstream_health import HealthTracker

__all__ = ["UpstreamPool", "UpstreamState"]


# How long an unreachable upstream gets no attempts. Short, because a single attempt
# then shows whether the upstream is reachable again.
UNREACHABLE_HOLD_S = 1.0


class UpstreamState(Enum):
    """State of an upstream in the directory."""

    LIVE = "live"
    LEAVING = "leaving"
    ABSENT = "absent"


class _Upstream:
    """One upstream; kept while attempts run on it, even if the directory lacks it."""

    def __init__(self, upstream_id: UpstreamId):
        self.upstream_id = upstream_id
        self.address = ""
        self.slots = 0
        self.state = UpstreamState.ABSENT
        self.attempts: set[AttemptId] = set()
        self.unreachable_until_s = float("-inf")
        self.last_acquired = 0


class UpstreamPool:
    """Assigns slots of upstreams to attempts.

    An attempt occupies its slot from ``acquire`` or ``adopt`` until ``release``,
    independently of changes in the directory. The slots of an upstream are therefore
    not exceeded when its slot count falls or when it disappears from the directory and
    returns.
    """

    def __init__(self) -> None:
        self._upstreams_by_id: dict[UpstreamId, _Upstream] = {}
        self._upstream_by_attempt: dict[AttemptId, _Upstream] = {}
        self._health = HealthTracker()
        self._acquired = 0

    def upsert(
        self, upstream_id: UpstreamId, address: str, slots: int, now_s: float
    ) -> None:
        """Add a live upstream or update it from the directory.

        :param address: IP address and port.
        :param slots: number of attempts that it can run at once, 0 or more.
        """
        if slots < 0:
            raise ValueError(f"slots of {upstream_id} is {slots}; it must be 0 or more")
        upstream = self._get_or_add(upstream_id)
        upstream.address = address
        upstream.slots = slots
        upstream.state = UpstreamState.LIVE
        self._reinstate_below_half()

    def mark_leaving(self, upstream_id: UpstreamId) -> None:
        """Assign no more slots of an upstream; its running attempts continue."""
        upstream = self._upstreams_by_id.get(upstream_id)
        if upstream is not None:
            upstream.state = UpstreamState.LEAVING
            self._reinstate_below_half()

    def mark_unreachable(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Assign no slots of an upstream for a short time after a failed connection.

        Unlike ejection, this may affect more than half of the slots: no attempt can
        run on an unreachable upstream, and other partitions may lend slots.
        """
        upstream = self._upstreams_by_id.get(upstream_id)
        if upstream is not None:
            upstream.unreachable_until_s = now_s + UNREACHABLE_HOLD_S

    def remove(self, upstream_id: UpstreamId) -> None:
        """Remove an upstream that has disappeared from the directory.

        Its attempts occupy their slots until they are released.
        """
        upstream = self._upstreams_by_id.get(upstream_id)
        if upstream is not None:
            upstream.state = UpstreamState.ABSENT
            self._drop_if_unused(upstream)
            self._reinstate_below_half()

    def acquire(
        self,
        attempt_id: AttemptId,
        now_s: float,
        *,
        avoid: Collection[UpstreamId] = (),
        prefer_healthy: bool = False,
    ) -> UpstreamId | None:
        """Assign a slot of the least loaded upstream to an attempt.

        :param avoid: upstreams to use only when no other has a free slot, such as
            those on which earlier attempts of the request failed.
        :param prefer_healthy: whether to use ejected upstreams that may be probed only
            when no other has a free slot, such as for a request that is not
            repeatable.
        :returns: the upstream, or ``None`` when ``free_slots`` is 0.
        :raises ValueError: if the attempt occupies a slot already.
        """
        if attempt_id in self._upstream_by_attempt:
            raise ValueError(f"attempt {attempt_id} holds a slot already")
        best, best_rank = None, None
        for upstream in self._upstreams_by_id.values():
            if self._free_slots_of(upstream, now_s) <= 0:
                continue
            rank = (
                upstream.upstream_id in avoid,
                prefer_healthy and upstream.upstream_id in self._health.ejected_ids,
                len(upstream.attempts) / upstream.slots,
                upstream.last_acquired,
            )
            if best_rank is None or rank < best_rank:
                best, best_rank = upstream, rank
        if best is None:
            return None
        self._acquired += 1
        best.last_acquired = self._acquired
        self._assign_slot(attempt_id, best)
        return best.upstream_id

    def adopt(
        self, attempt_id: AttemptId, upstream_id: UpstreamId, *, address: str = ""
    ) -> None:
        """Assign a slot to an attempt that was found running after a takeover.

        The upstream may be unknown so far. None of its slots is assigned to other
        attempts until the directory lists it and enough of its attempts have ended.

        :param address: used for an upstream that the directory has not listed.
        :raises ValueError: if the attempt occupies a slot of another upstream.
        """
        holder = self._upstream_by_attempt.get(attempt_id)
        if holder is None:
            upstream = self._get_or_add(upstream_id)
            upstream.address = upstream.address or address
            self._assign_slot(attempt_id, upstream)
        elif holder.upstream_id != upstream_id:
            raise ValueError(
                f"attempt {attempt_id} holds a slot of {holder.upstream_id}, "
                f"not of {upstream_id}"
            )

    def release(self, attempt_id: AttemptId) -> bool:
        """Release the slot of an attempt; return whether it occupied one."""
        upstream = self._upstream_by_attempt.pop(attempt_id, None)
        if upstream is None:
            return False
        upstream.attempts.discard(attempt_id)
        self._drop_if_unused(upstream)
        return True

    def record_result(
        self,
        upstream_id: UpstreamId,
        succeeded: bool,
        now_s: float,
        *,
        request_id: RequestId,
        kind_id: KindId,
    ) -> None:
        """Record the result of an attempt, to eject upstreams that fail all attempts.

        :param succeeded: whether the upstream answered with a status below 500.
        """
        upstream = self._upstreams_by_id.get(upstream_id)
        if upstream is None or upstream.state is not UpstreamState.LIVE:
            return
        if succeeded:
            self._health.record_success(upstream_id, kind_id)
            return
        should_eject = self._health.record_failure(
            upstream_id, kind_id, request_id, now_s
        )
        if should_eject and self._may_eject(upstream):
            self._health.eject(upstream_id, now_s)

    def total_slots(self, now_s: float) -> int:
        """Return the number of free and occupied slots.

        Occupied slots of upstreams that get no new attempts are included, so that this
        number minus the running attempts is the number of slots that can be assigned.
        """
        return self.free_slots(now_s) + len(self._upstream_by_attempt)

    def free_slots(self, now_s: float) -> int:
        """Return the number of slots that ``acquire`` can assign now."""
        upstreams = self._upstreams_by_id.values()
        return sum(self._free_slots_of(u, now_s) for u in upstreams)

    def upstream_of(self, attempt_id: AttemptId) -> UpstreamId | None:
        """Return the upstream on which an attempt occupies a slot, or ``None``."""
        upstream = self._upstream_by_attempt.get(attempt_id)
        return None if upstream is None else upstream.upstream_id

    def address_of(self, upstream_id: UpstreamId) -> str | None:
        """Return the address of an upstream, or ``None`` when it is unknown."""
        upstream = self._upstreams_by_id.get(upstream_id)
        return upstream.address if upstream is not None and upstream.address else None

    def is_live(self, upstream_id: UpstreamId) -> bool:
        """Return whether the directory lists an upstream as live."""
        return self.state_of(upstream_id) is UpstreamState.LIVE

    def running_attempts(self, upstream_id: UpstreamId) -> frozenset[AttemptId]:
        """Return the attempts that occupy slots of an upstream."""
        upstream = self._upstreams_by_id.get(upstream_id)
        return frozenset() if upstream is None else frozenset(upstream.attempts)

    def state_of(self, upstream_id: UpstreamId) -> UpstreamState:
        """Return the state of an upstream in the last answer of the directory."""
        upstream = self._upstreams_by_id.get(upstream_id)
        return UpstreamState.ABSENT if upstream is None else upstream.state

    def is_ejected(self, upstream_id: UpstreamId) -> bool:
        """Return whether an upstream is ejected or being probed."""
        return upstream_id in self._health.ejected_ids

    def next_probe_s(self) -> float | None:
        """Return the earliest time at which an ejected upstream may be probed."""
        return self._health.next_probe_s()

    def _free_slots_of(self, upstream: _Upstream, now_s: float) -> int:
        free = upstream.slots - len(upstream.attempts)
        if free <= 0 or upstream.state is not UpstreamState.LIVE:
            return 0
        if upstream.upstream_id not in self._health.ejected_ids:
            return free
        # An ejected upstream is probed with one attempt at a time.
        is_probe_due = self._health.is_probe_due(upstream.upstream_id, now_s)
        if is_probe_due and not upstream.attempts:
            return 1
        return 0

    def _get_or_add(self, upstream_id: UpstreamId) -> _Upstream:
        upstream = self._upstreams_by_id.get(upstream_id)
        if upstream is None:
            upstream = self._upstreams_by_id[upstream_id] = _Upstream(upstream_id)
        return upstream

    def _assign_slot(self, attempt_id: AttemptId, upstream: _Upstream) -> None:
        upstream.attempts.add(attempt_id)
        self._upstream_by_attempt[attempt_id] = upstream

    def _drop_if_unused(self, upstream: _Upstream) -> None:
        if upstream.state is UpstreamState.ABSENT and not upstream.attempts:
            self._upstreams_by_id.pop(upstream.upstream_id, None)
            self._health.forget(upstream.upstream_id)

    def _live_slots(self) -> tuple[int, int]:
        """Return the number of slots of all live upstreams and of those not ejected."""
        total = healthy = 0
        for upstream in self._upstreams_by_id.values():
            if upstream.state is UpstreamState.LIVE:
                total += upstream.slots
                if upstream.upstream_id not in self._health.ejected_ids:
                    healthy += upstream.slots
        return total, healthy

    def _may_eject(self, upstream: _Upstream) -> bool:
        if upstream.upstream_id in self._health.ejected_ids:
            # A failed probe renews the ejection and removes no further slots.
            return True
        total, healthy = self._live_slots()
        return 2 * (healthy - upstream.slots) >= total

    def _reinstate_below_half(self) -> None:
        """Reinstate ejected upstreams until at least half of the slots are usable."""
        for upstream_id in self._health.ejected_in_order():
            total, healthy = self._live_slots()
            if 2 * healthy >= total:
                return
            self._health.reinstate(upstream_id)
