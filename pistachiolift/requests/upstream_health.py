"""Health of upstreams: ejects those that fail all attempts, for a limited time."""

from collections import OrderedDict

from ..common import KindId, RequestId, UpstreamId

__all__ = ["HealthTracker"]

# Number of distinct requests that must fail, without a success in between, before an
# ejection. A request that crashes every upstream counts once, however often it is
# retried.
FAILED_REQUESTS_TO_EJECT = 5

# The first ejection is shorter than a typical restart of a process. With the cap, a
# repaired upstream is used again within five minutes.
EJECTION_BASE_S = 5.0
EJECTION_CAP_S = 300.0

MAX_KINDS = 1000


class _Health:
    """The failures of one upstream since its last success."""

    def __init__(self) -> None:
        self.failed_requests: set[RequestId] = set()
        self.ejections = 0
        self.ejected_until_s: float | None = None


class _KindResults:
    """The latest result of a kind on each upstream."""

    def __init__(self) -> None:
        self.succeeded_by_upstream: dict[UpstreamId, bool] = {}
        self.successes = 0

    def record(self, upstream_id: UpstreamId, succeeded: bool) -> None:
        self.forget(upstream_id)
        self.succeeded_by_upstream[upstream_id] = succeeded
        self.successes += succeeded

    def forget(self, upstream_id: UpstreamId) -> None:
        self.successes -= self.succeeded_by_upstream.pop(upstream_id, False)


class HealthTracker:
    """Counts failures per upstream and tracks ejections.

    A failure counts against an upstream only if the latest results of the kind on most
    of the other upstreams are successes. A kind or request that fails on all upstreams
    therefore ejects none of them, and neither does a fault that they share.

    ``ejected_ids`` are the upstreams that were ejected and have had no success since.
    """

    def __init__(self) -> None:
        self.ejected_ids: set[UpstreamId] = set()
        self._health_by_id: dict[UpstreamId, _Health] = {}
        self._results_by_kind: OrderedDict[KindId, _KindResults] = OrderedDict()

    def record_success(self, upstream_id: UpstreamId, kind_id: KindId) -> None:
        """Record a success, which ends an ejection."""
        self._results(kind_id).record(upstream_id, True)
        health = self._health_by_id.get(upstream_id)
        if health is None:
            return
        if health.ejected_until_s is not None:
            self.reinstate(upstream_id)
        elif health.ejections:
            # Successes in normal operation shorten the next ejection.
            health.ejections -= 1
        health.failed_requests.clear()

    def record_failure(
        self,
        upstream_id: UpstreamId,
        kind_id: KindId,
        request_id: RequestId,
        now_s: float,
    ) -> bool:
        """Record a failure; return whether the upstream should be ejected."""
        results = self._results(kind_id)
        results.record(upstream_id, False)
        others = len(results.succeeded_by_upstream) - 1
        if 2 * results.successes <= others:
            return False
        health = self._health_by_id.setdefault(upstream_id, _Health())
        if health.ejected_until_s is not None:
            # Failures of attempts that started before the ejection do not extend it.
            return now_s >= health.ejected_until_s
        if len(health.failed_requests) < FAILED_REQUESTS_TO_EJECT:
            health.failed_requests.add(request_id)
        return len(health.failed_requests) >= FAILED_REQUESTS_TO_EJECT

    def eject(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Eject an upstream for a time that doubles with every ejection."""
        health = self._health_by_id[upstream_id]
        # The exponent is bounded because 2.0 ** 1024 overflows.
        longest_s = EJECTION_BASE_S * 2.0 ** min(health.ejections, 64)
        health.ejected_until_s = now_s + min(EJECTION_CAP_S, longest_s)
        health.ejections += 1
        health.failed_requests.clear()
        self.ejected_ids.add(upstream_id)

    def reinstate(self, upstream_id: UpstreamId) -> None:
        """End an ejection."""
        self._health_by_id[upstream_id].ejected_until_s = None
        self.ejected_ids.discard(upstream_id)

    def is_probe_due(self, upstream_id: UpstreamId, now_s: float) -> bool:
        """Return whether an ejected upstream may be probed with one attempt."""
        health = self._health_by_id[upstream_id]
        return health.ejected_until_s is not None and now_s >= health.ejected_until_s

    def ejected_in_order(self) -> list[UpstreamId]:
        """Return the ejected upstreams, sorted by the end of the ejection."""
        ejected = [
            (self._health_by_id[upstream_id].ejected_until_s, upstream_id)
            for upstream_id in self.ejected_ids
        ]
        return [upstream_id for _, upstream_id in sorted(ejected)]

    def next_probe_s(self) -> float | None:
        """Return the earliest time at which an ejected upstream may be probed."""
        return min(
            (self._health_by_id[i].ejected_until_s for i in self.ejected_ids),
            default=None,
        )

    def forget(self, upstream_id: UpstreamId) -> None:
        """Remove all data about an upstream that has disappeared."""
        self._health_by_id.pop(upstream_id, None)
        self.ejected_ids.discard(upstream_id)
        for results in self._results_by_kind.values():
            results.forget(upstream_id)

    def _results(self, kind_id: KindId) -> _KindResults:
        results = self._results_by_kind.get(kind_id)
        if results is None:
            results = self._results_by_kind[kind_id] = _KindResults()
            if len(self._results_by_kind) > MAX_KINDS:
                self._results_by_kind.popitem(last=False)
        self._results_by_kind.move_to_end(kind_id)
        return results
