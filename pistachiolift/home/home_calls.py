"""Operator calls to the owner of a partition."""

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from ..common import (
    CustomerId,
    InstanceId,
    JobId,
    MalformedMessageError,
    NotFoundError,
    PistachioliftError,
    RequestId,
    encode_json,
)
from ..jobs import JobSpec
from ..peers import HomeAnswer, HomeCall, HomeCallKind, PeerMessage
from .home_partition import HomePartition

__all__ = ["HomeCalls"]

# Number of refused calls that are remembered. Operators repeat a call for at most ten
# seconds, so older ones can be evicted.
REMEMBERED_REFUSALS_LIMIT = 1000
JOB_CALL_KINDS = frozenset(
    {HomeCallKind.SUBMIT_JOB, HomeCallKind.CANCEL_JOB, HomeCallKind.GET_JOB}
)


class HomeCalls:
    """Carries out operator calls on a partition and sends the answers.

    :param send: sends a message to an instance.
    """

    def __init__(
        self,
        self_id: InstanceId,
        send: Callable[[InstanceId, PeerMessage], bool],
    ):
        self._self_id = self_id
        self._send = send
        self._refusals_by_call: OrderedDict[str, HomeAnswer] = OrderedDict()

    def handle(self, home: HomePartition, call: HomeCall) -> None:
        """Carry out one call.

        A repetition that arrives after its call was refused is refused as well,
        because the operator has already been informed that nothing was run.
        """
        refusal = self._refusals_by_call.get(call.call_id)
        if refusal is not None:
            self._send(call.sender, refusal)
            return
        if call.kind in JOB_CALL_KINDS and not home.jobs.is_ready:
            # After a hand-over the ledger is read first; the caller repeats the call.
            return
        handler = {
            HomeCallKind.SUBMIT_JOB: self._submit_job,
            HomeCallKind.CANCEL_JOB: self._cancel_job,
            HomeCallKind.GET_JOB: self._get_job,
            HomeCallKind.EXPLAIN: self._explain,
            HomeCallKind.STATUS: self._status,
        }[call.kind]
        try:
            handler(home, call)
        except PistachioliftError as error:
            self._answer_error(call, error)

    def _answer(self, call: HomeCall, document: object) -> None:
        self._send(
            call.sender,
            HomeAnswer(
                sender=self._self_id,
                call_id=call.call_id,
                code="",
                message="",
                document=encode_json(document),
            ),
        )

    def _answer_error(self, call: HomeCall, error: PistachioliftError) -> None:
        answer = HomeAnswer(
            sender=self._self_id,
            call_id=call.call_id,
            code=error.code.value,
            message=error.message,
            retry_after_ms=int((error.retry_after_s or 0.0) * 1000),
        )
        self._refusals_by_call[call.call_id] = answer
        if len(self._refusals_by_call) > REMEMBERED_REFUSALS_LIMIT:
            self._refusals_by_call.popitem(last=False)
        self._send(call.sender, answer)

    def _submit_job(self, home: HomePartition, call: HomeCall) -> None:
        try:
            spec = msgspec.json.decode(call.document, type=JobSpec)
        except msgspec.MsgspecError as error:
            raise MalformedMessageError(f"job: {error}") from error

        def on_result(error: PistachioliftError | None) -> None:
            if error is not None:
                self._answer_error(call, error)
            else:
                self._answer(call, {"job_id": spec.job_id, "accepted": True})

        home.jobs.submit_job(spec, on_result)

    def _cancel_job(self, home: HomePartition, call: HomeCall) -> None:
        customer = CustomerId(call.document.decode())
        home.jobs.cancel_job(customer, JobId(call.subject))
        self._answer(call, {"job_id": call.subject, "cancelling": True})

    def _get_job(self, home: HomePartition, call: HomeCall) -> None:
        self._answer(call, home.jobs.scheduler.explain(JobId(call.subject)))

    def _explain(self, home: HomePartition, call: HomeCall) -> None:
        request = home.describe_request(RequestId(call.subject))
        if request is None:
            raise NotFoundError(f"request {call.subject} is not known")
        self._answer(call, request)

    def _status(self, home: HomePartition, call: HomeCall) -> None:
        self._answer(call, home.describe())
