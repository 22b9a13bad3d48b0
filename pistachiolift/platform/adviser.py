"""HTTP client of the adviser, the service that approves workers for steps."""

import msgspec
from twisted.internet.interfaces import IReactorTime

from ..backends.http import JsonHttpClient
from ..common import UpstreamUnreachableError, WorkerId, encode_json
from ..node.interfaces import AdviceAnswer, AdviserClient
from ..workflows import StepKey
from .wire import decode_wire, format_step

__all__ = ["PlatformAdviser"]


class _Advice(msgspec.Struct, rename="pascal"):
    # Rows of worker and ticket; workers that are missing may not run the step.
    good: list[tuple[str, str]] = []
    valid_ms: float = 0.0


class PlatformAdviser(AdviserClient):
    """Calls the adviser over HTTP; the adviser handles one call per instance at a time.

    :param address: IP address and port.
    """

    def __init__(self, reactor: IReactorTime, address: str):
        self._client = JsonHttpClient(
            reactor,
            f"http://{address}",
            timeout_s=3.0,
            make_error=lambda reason: UpstreamUnreachableError(f"adviser: {reason}"),
        )

    async def advise(
        self, step: StepKey, worker_ids: tuple[WorkerId, ...], *, timeout_s: float
    ) -> AdviceAnswer:
        """Ask which of the given workers may run a step."""
        status, data = await self._client.call(
            "POST",
            "/api/advise",
            body=encode_json({"Step": format_step(step), "Workers": worker_ids}),
            headers={"Content-Type": "application/json"},
            timeout_s=timeout_s,
        )
        if status != 200:
            raise UpstreamUnreachableError(f"adviser answered with status {status}")
        answer = decode_wire(data, _Advice)
        return AdviceAnswer(
            {WorkerId(worker_id): ticket for worker_id, ticket in answer.good},
            answer.valid_ms / 1000,
        )
