"""Translates between peer messages and the request scheduler's types."""

from ..common import ErrorCode, InstanceId, Outcome
from ..peers import FinishedRequest, RequestDescription, StoredAnswer
from ..requests import (
    Answer,
    EndedRequest,
    PolicySource,
    RequestResult,
    RequestSpec,
)

__all__ = ["ended_from_finished", "finished_from_ended", "spec_from_description"]


def spec_from_description(
    description: RequestDescription,
    entry_id: InstanceId,
    policies: PolicySource,
    *,
    now_s: float,
) -> RequestSpec:
    """Return a request with its deadline on this instance's clock.

    :param entry_id: entry instance that holds the caller's connection.
    """
    policy = policies.kind_policy(description.customer_id, description.kind_id)
    return RequestSpec(
        request_id=description.request_id,
        customer_id=description.customer_id,
        kind_id=description.kind_id,
        deadline_s=now_s + description.remaining_ms / 1000,
        repeatable=description.repeatable,
        body_digest=description.body_digest,
        body_bytes=description.body_bytes,
        entry_id=entry_id,
        max_run_s=policy.max_run_s,
        resubmitted=description.resubmitted,
    )


def ended_from_finished(finished: FinishedRequest, now_s: float) -> EndedRequest:
    """Return an ended request that another instance reported."""
    answer = finished.answer
    result = RequestResult(
        outcome=Outcome(finished.outcome),
        code=ErrorCode(finished.code) if finished.code else None,
        answer=Answer(answer.status, answer.content_type, answer.body)
        if answer
        else None,
    )
    return EndedRequest(
        request_id=finished.request.request_id,
        kind_id=finished.request.kind_id,
        body_digest=finished.request.body_digest,
        result=result,
        ended_s=now_s,
    )


def finished_from_ended(ended: EndedRequest) -> FinishedRequest:
    """Return the message form of an ended request."""
    answer = ended.result.answer
    return FinishedRequest(
        request=RequestDescription(
            request_id=ended.request_id,
            customer_id="",
            kind_id=ended.kind_id,
            remaining_ms=0,
            repeatable=False,
            body_digest=ended.body_digest,
            body_bytes=0,
        ),
        outcome=ended.result.outcome.value,
        code=ended.result.code.value if ended.result.code else "",
        answer=StoredAnswer(answer.status, answer.content_type, answer.body)
        if answer
        else None,
    )
