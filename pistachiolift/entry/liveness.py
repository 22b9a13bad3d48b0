"""Failure detection of entry instances."""

from collections.abc import Callable

from ..common import Clock, InstanceId

__all__ = ["HEARTBEAT_FANOUT", "LivenessTracker"]

# After a store outage all leases have expired; they are recreated within 2 s.
LEASE_GRACE_S = 3.0
# Each instance sends its heartbeat to this many peers a second, so in a larger fleet a
# given peer receives it less often.
HEARTBEAT_FANOUT = 8


class LivenessTracker:
    """Detects lost instances by their leases and by the messages of peers.

    An instance is lost if its lease has been missing for a while and no message has
    arrived from it. A missing lease alone is no proof: an instance that is cut off
    only from the store still serves its callers.

    :param on_lost: called once for each instance that is detected as lost.
    """

    def __init__(self, *, clock: Clock, on_lost: Callable[[InstanceId], None]):
        self._clock = clock
        self._on_lost = on_lost
        self._last_contact_s_by_id: dict[InstanceId, float] = {}
        self._lease_lost_s_by_id: dict[InstanceId, float] = {}
        self.lost: set[InstanceId] = set()

    def record_contact(self, instance_id: InstanceId) -> None:
        """Record a message of an instance."""
        self._last_contact_s_by_id[instance_id] = self._clock.monotonic_s()
        self.lost.discard(instance_id)

    def record_lease_loss(self, instance_id: InstanceId) -> None:
        """Record that the lease of an instance has ended."""
        now_s = self._clock.monotonic_s()
        self._lease_lost_s_by_id.setdefault(instance_id, now_s)

    def check(self, with_lease: set[InstanceId]) -> None:
        """Detect and report lost instances.

        :param with_lease: instances with a lease as of the last answer of the store.
        """
        now_s = self._clock.monotonic_s()
        fleet = len(with_lease | set(self._lease_lost_s_by_id))
        silence_limit_s = LEASE_GRACE_S * max(1.0, fleet / HEARTBEAT_FANOUT)
        for instance_id, lease_lost_s in list(self._lease_lost_s_by_id.items()):
            if instance_id in with_lease:
                del self._lease_lost_s_by_id[instance_id]
                continue
            last_contact_s = self._last_contact_s_by_id.get(instance_id, lease_lost_s)
            is_lease_missing = now_s - lease_lost_s >= LEASE_GRACE_S
            if is_lease_missing and now_s - last_contact_s >= silence_limit_s:
                del self._lease_lost_s_by_id[instance_id]
                self._last_contact_s_by_id.pop(instance_id, None)
                self.lost.add(instance_id)
                self._on_lost(instance_id)
