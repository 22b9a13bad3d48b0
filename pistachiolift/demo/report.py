"""Outcomes and waiting times of the demo, and guarantees that did not hold."""

from collections import Counter, defaultdict

from hdrh.histogram import HdrHistogram

from ..standins import UpstreamStandin, WorkerStandin

__all__ = ["DemoReport"]

MAX_WAIT_US = 600_000_000


class DemoReport:
    """Collects outcomes and waiting times by kind, and violated guarantees."""

    def __init__(self) -> None:
        self._outcomes_by_kind: dict[str, Counter[str]] = defaultdict(Counter)
        self._waits_by_kind: dict[str, HdrHistogram] = {}
        self._outcome_by_request: dict[str, str] = {}
        self.violations: list[str] = []

    def record_request(
        self, kind: str, request_id: str, outcome: str, wait_s: float
    ) -> None:
        """Record the outcome of one request.

        :param wait_s: seconds from sending the request to its answer, without the
            service time.
        """
        self._outcomes_by_kind[kind][outcome] += 1
        self._outcome_by_request[request_id] = outcome
        if outcome == "done":
            histogram = self._waits_by_kind.get(kind)
            if histogram is None:
                histogram = HdrHistogram(1, MAX_WAIT_US, 3)
                self._waits_by_kind[kind] = histogram
            histogram.record_value(max(1, int(wait_s * 1e6)))

    def record_wrong_answer(self, request_id: str) -> None:
        """Record that a caller received the answer to another request."""
        self.violations.append(f"{request_id}: answer of another request")

    def check_upstreams(self, upstreams: list[UpstreamStandin]) -> None:
        """Compare the reported outcomes with the attempts that upstreams started."""
        starts: Counter[str] = Counter()
        for upstream in upstreams:
            if upstream.slot_violations:
                self.violations.append(
                    f"{upstream.slot_violations} starts without a free slot"
                )
            starts.update(s.request_id for s in upstream.records if s.started_s)
        for request_id, outcome in self._outcome_by_request.items():
            not_run = outcome in ("refused", "expired", "cancelled_not_run")
            if not_run and starts[request_id]:
                self.violations.append(f"{request_id}: reported not run, but it ran")
            if outcome == "done" and not starts[request_id]:
                self.violations.append(f"{request_id}: reported done, but never ran")
            if "/publication-" in request_id and starts[request_id] > 1:
                self.violations.append(f"{request_id}: ran more than once")

    def check_workers(self, workers: list[WorkerStandin]) -> None:
        """Check that no worker was assigned tasks beyond its capacity."""
        for worker in workers:
            if worker.capacity_violations:
                self.violations.append(
                    f"{worker.capacity_violations} task starts above the capacity"
                )

    def lines(self) -> list[str]:
        """Return the report as lines of a table."""
        header = (
            f"{'kind':<15}{'sent':>7}{'done':>7}{'refused':>9}{'expired':>9}"
            f"{'other':>7}{'wait p50 ms':>13}{'wait p99 ms':>13}"
        )
        lines = [header]
        for kind, outcomes in sorted(self._outcomes_by_kind.items()):
            lines.append(self._row(kind, outcomes))
        return lines

    def _row(self, kind: str, outcomes: Counter[str]) -> str:
        named = ("done", "refused", "expired")
        other = outcomes.total() - sum(outcomes[name] for name in named)
        waits = self._waits_by_kind.get(kind)
        quantiles = [
            f"{waits.get_value_at_percentile(p) / 1000:.1f}" if waits else "-"
            for p in (50, 99)
        ]
        return (
            f"{kind:<15}{outcomes.total():>7}{outcomes['done']:>7}"
            f"{outcomes['refused']:>9}{outcomes['expired']:>9}{other:>7}"
            f"{quantiles[0]:>13}{quantiles[1]:>13}"
        )
