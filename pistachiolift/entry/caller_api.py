"""The HTTP interface for callers."""

import hashlib
from collections.abc import Callable

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.http import Request

from ..common import (
    AuthenticationError,
    BodyTooLargeError,
    Clock,
    CustomerId,
    Metrics,
    NotFoundError,
    PartitionId,
    PistachioliftError,
    RequestId,
    ShuttingDownError,
    encode_json,
)
from ..home import PartitionMap
from ..listener import (
    BodySource,
    CallerAnswer,
    CallerHead,
    StreamingRequest,
    parse_head,
    parse_request_key,
    parse_token,
)
from ..peers import HomeCallKind
from ..settings import KindSettings, SettingsView
from .operator_calls import OperatorCalls
from .request_service import RequestService
from .session import Caller, RequestSession

__all__ = ["CallerApi"]

TOKEN_CACHE_ENTRIES = 10_000


class CallerApi:
    """Routes of the caller-facing listener.

    :param is_draining: returns whether this instance accepts no new requests.
    """

    app = Klein()

    def __init__(
        self,
        *,
        clock: Clock,
        settings: SettingsView,
        partition_map: PartitionMap,
        requests: RequestService,
        calls: OperatorCalls,
        metrics: Metrics,
        is_draining: Callable[[], bool],
    ):
        self._clock = clock
        self._settings = settings
        self._map = partition_map
        self._requests = requests
        self._calls = calls
        self._metrics = metrics
        self._is_draining = is_draining
        self._digest_by_token: dict[str, str] = {}

    @app.route("/v1/requests/<kind>", methods=["POST"])
    async def submit(self, request: StreamingRequest, kind: str):
        """Accept a request and answer when it has ended."""
        answer = CallerAnswer(request)
        try:
            await self._submit(request, kind, answer)
        except PistachioliftError as error:
            self._metrics.count(f"refusal.{error.code.value}")
            answer.fail(error)
        await answer.finished

    async def _submit(
        self, request: StreamingRequest, kind: str, answer: CallerAnswer
    ) -> None:
        head = parse_head(request, kind)
        customer_id = self._authenticate(head.token)
        settings = self._settings.tree.resolve_kind(customer_id, head.kind)
        body: BodySource = request.body
        self._check_body(body, settings)
        wait_s = settings.default_deadline_s
        if head.deadline_ms is not None:
            wait_s = head.deadline_ms / 1000
        deadline_s = self._clock.monotonic_s() + wait_s
        digest = await body.digest()
        small_body = None
        if body.replayable:
            small_body = await body.read_all(settings.max_body_bytes)
        session = self._session(customer_id, head, settings, deadline_s, digest, body)
        self._requests.submit(session, Caller(body, answer, small_body))

    def _authenticate(self, token: str) -> CustomerId:
        digest = self._digest_by_token.get(token)
        if digest is None:
            if len(self._digest_by_token) >= TOKEN_CACHE_ENTRIES:
                self._digest_by_token.clear()
            digest = hashlib.sha256(token.encode()).hexdigest()
            self._digest_by_token[token] = digest
        customer_id = self._settings.tree.customer_of_token(digest)
        if customer_id is None:
            raise AuthenticationError("the bearer token is not known")
        return customer_id

    @staticmethod
    def _check_body(body: BodySource, settings: KindSettings) -> None:
        limit_bytes = settings.max_body_bytes
        if body.length is not None and body.length > limit_bytes:
            raise BodyTooLargeError(
                f"body has {body.length} bytes; at most {limit_bytes} are allowed"
            )
        body.set_limit(limit_bytes)

    def _session(
        self,
        customer_id: CustomerId,
        head: CallerHead,
        settings: KindSettings,
        deadline_s: float,
        digest: str,
        body: BodySource,
    ) -> RequestSession:
        request_id = RequestId(f"{customer_id}/{head.key}")
        return RequestSession(
            request_id=request_id,
            customer_id=customer_id,
            kind_id=head.kind,
            partition_id=self._map.home_of(request_id, head.key, settings.data_centres),
            deadline_s=deadline_s,
            repeatable=head.repeatable and settings.repeatable,
            body_digest=digest,
            body_bytes=body.length or 0,
            last_contact_s=self._clock.monotonic_s(),
            resubmitted=head.resubmitted,
        )

    def _locate(
        self, request: StreamingRequest, kind: str, key: str
    ) -> tuple[CustomerId, RequestId, PartitionId]:
        """Return the customer, identifier and home partition of a request."""
        customer_id = self._authenticate(parse_token(request))
        key = parse_request_key(key)
        settings = self._settings.tree.resolve_kind(customer_id, kind)
        request_id = RequestId(f"{customer_id}/{key}")
        partition_id = self._map.home_of(request_id, key, settings.data_centres)
        return customer_id, request_id, partition_id

    @app.route("/v1/requests/<kind>/<key>", methods=["DELETE"])
    async def cancel(self, request: StreamingRequest, kind: str, key: str):
        """Cancel a request and return its outcome."""
        customer_id, request_id, partition_id = self._locate(request, kind, key)
        result: Deferred[PistachioliftError] = Deferred()
        self._requests.cancel(request_id, partition_id, customer_id, result.callback)
        error = await result
        if isinstance(error, NotFoundError):
            raise error
        request.setHeader("Content-Type", "application/json")
        request.setHeader("Outcome", error.outcome.value)
        return encode_json(
            {
                "code": error.code.value,
                "message": error.message,
                "outcome": error.outcome.value,
            }
        )

    @app.route("/v1/requests/<kind>/<key>", methods=["GET"])
    async def describe(self, request: StreamingRequest, kind: str, key: str):
        """Return the state of a request of the caller's customer."""
        _, request_id, partition_id = self._locate(request, kind, key)
        document = await self._calls.call(
            HomeCallKind.EXPLAIN, partition_id, request_id
        )
        request.setHeader("Content-Type", "application/json")
        return document

    @app.route("/v1/health", methods=["GET"])
    def health(self, request: Request):
        """Health check of the load balancer; fails while the instance is draining."""
        if self._is_draining():
            raise ShuttingDownError("this instance is draining")
        return b"ok\n"
