"""Comparison of predicted and actual waits of jobs."""

from ..common import JobId, Metrics
from ..workflows import AdmissionDecision, JobChanged, JobStatus, QueueId

__all__ = ["WaitPredictions"]


class WaitPredictions:
    """Records by how much the predicted waits of accepted jobs were wrong.

    The errors are histograms by queue, one for jobs that waited for longer than was
    predicted and one for those that waited for less.
    """

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._by_job: dict[JobId, tuple[QueueId, float, float]] = {}

    def add(
        self,
        job_id: JobId,
        queue_id: QueueId,
        decision: AdmissionDecision,
        now_s: float,
    ) -> None:
        """Keep the prediction for a job, if there is one, until its first start."""
        if decision.wait_s is not None:
            self._by_job[job_id] = (queue_id, now_s, decision.wait_s)

    def drop(self, job_id: JobId) -> None:
        """Forget the prediction for a job that was not accepted."""
        self._by_job.pop(job_id, None)

    def resolve(self, change: JobChanged, now_s: float) -> None:
        """Record the error of a prediction when its job starts.

        Jobs that end without a start have no wait to compare with.
        """
        known = self._by_job.pop(change.job_id, None)
        if known is None or change.status is not JobStatus.RUNNING:
            return
        queue_id, decided_s, predicted_s = known
        error_s = now_s - decided_s - predicted_s
        side = "longer" if error_s >= 0 else "shorter"
        self._metrics.timing_ms(f"admission.{side}.{queue_id}", abs(error_s) * 1000)
