"""The HTTP interface for operators."""

import hashlib
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import msgspec
from klein import Klein

from ..common import (
    AuthenticationError,
    CustomerId,
    InvalidInputError,
    JobId,
    PartitionId,
    RequestId,
    decode_json,
    encode_json,
)
from ..jobs import JobSpec, validate_spec
from ..listener import StreamingRequest, parse_token
from ..peers import HomeCallKind
from ..settings import (
    ChangeRequest,
    DiffRequest,
    GetRequest,
    HistoryRequest,
    ImportRequest,
    SetRequest,
    UnsetRequest,
)

if TYPE_CHECKING:
    from .instance import Instance

__all__ = ["OperatorApi"]

BODY_LIMIT_BYTES = 256 * 1024
OPERATOR_HEADER = "Operator"


class OperatorApi:
    """Routes of the operator-facing listener.

    Operators are not authenticated until an operator token is stored in the settings,
    so that the first token can be set.

    :param instance: the instance that the routes act on.
    """

    app = Klein()

    def __init__(self, instance: "Instance"):
        self._instance = instance

    def _authenticate(self, request: StreamingRequest) -> str:
        """Authenticate an operator and return its name.

        :raises AuthenticationError: if the token is required and not valid.
        """
        tree = self._instance.settings.tree
        author = request.getHeader(OPERATOR_HEADER) or "operator"
        if tree.cell().operator_token_sha256:
            digest = hashlib.sha256(parse_token(request).encode()).hexdigest()
            if not tree.is_operator_token(digest):
                raise AuthenticationError("the operator token is not known")
        return author

    async def _read(self, request: StreamingRequest, message_type):
        data = await request.body.read_all(BODY_LIMIT_BYTES)
        return decode_json(data, message_type, limit_bytes=BODY_LIMIT_BYTES)

    @staticmethod
    def _answer(request: StreamingRequest, document: object) -> bytes:
        request.setHeader("Content-Type", "application/json")
        if isinstance(document, bytes):
            return document
        return encode_json(document)

    # Status

    @app.route("/v1/status", methods=["GET"])
    async def status(self, request: StreamingRequest):
        """Describe this instance and all partitions."""
        self._authenticate(request)
        instance = self._instance
        partitions = {}
        for partition_id in instance.partition_map.data_centre_by_partition:
            ownership = instance.partition_map.ownership(partition_id)
            partitions[partition_id] = {
                "owner": ownership.owner if ownership else None,
                "epoch": ownership.epoch if ownership else 0,
            }
        return self._answer(
            request,
            {
                "instance": instance.config.instance_id,
                "identity": instance.identity,
                "data_centre": instance.config.data_centre,
                "draining": instance.draining,
                "revision": instance.settings.revision,
                "live_instances": sorted(instance.session.live_instances),
                "open_requests": len(instance.requests.sessions),
                "partitions": partitions,
                "homes": [h.describe() for h in instance.homes.homes],
                "counters": instance.metrics.snapshot(),
            },
        )

    @app.route("/v1/partitions/<partition_id>", methods=["GET"])
    async def partition(self, request: StreamingRequest, partition_id: str):
        """Describe one partition according to its owner."""
        self._authenticate(request)
        document = await self._instance.calls.call(
            HomeCallKind.STATUS, PartitionId(partition_id), partition_id
        )
        return self._answer(request, document)

    @app.route("/v1/drain", methods=["POST"])
    async def drain(self, request: StreamingRequest):
        """Start a graceful shutdown."""
        self._authenticate(request)
        self._instance.start_drain()
        return self._answer(request, {"draining": True})

    @app.route("/v1/explain/<customer>/<key>", methods=["GET"])
    async def explain(self, request: StreamingRequest, customer: str, key: str):
        """Return the state of a request; the kind is a query argument."""
        self._authenticate(request)
        kind = _query(request, "kind")
        settings = self._instance.settings.tree.resolve_kind(CustomerId(customer), kind)
        request_id = RequestId(f"{customer}/{key}")
        partition_id = self._instance.partition_map.home_of(
            request_id, key, settings.data_centres
        )
        document = await self._instance.calls.call(
            HomeCallKind.EXPLAIN, partition_id, request_id
        )
        return self._answer(request, document)

    # Jobs

    def _job_partition(self, job_id: str) -> PartitionId:
        return self._instance.partition_map.home_of(RequestId(job_id), job_id, ())

    @app.route("/v1/jobs", methods=["POST"])
    async def submit_job(self, request: StreamingRequest):
        """Submit a job; answers once the job is durable."""
        self._authenticate(request)
        spec = await self._read(request, JobSpec)
        validate_spec(spec)
        self._instance.settings.tree.resolve_customer(spec.customer_id)
        document = await self._instance.calls.call(
            HomeCallKind.SUBMIT_JOB,
            self._job_partition(spec.job_id),
            spec.job_id,
            encode_json(spec),
        )
        return self._answer(request, document)

    @app.route("/v1/jobs/<job_id>", methods=["GET"])
    async def get_job(self, request: StreamingRequest, job_id: str):
        """Return the state of a job and why its tasks wait."""
        self._authenticate(request)
        partition_id = self._job_partition(job_id)
        document = await self._instance.calls.call(
            HomeCallKind.GET_JOB, partition_id, JobId(job_id)
        )
        fields = msgspec.json.decode(document, type=dict)
        return self._answer(request, {**fields, "partition": partition_id})

    @app.route("/v1/jobs/<job_id>", methods=["DELETE"])
    async def cancel_job(self, request: StreamingRequest, job_id: str):
        """Cancel a job; the customer is a query argument."""
        self._authenticate(request)
        document = await self._instance.calls.call(
            HomeCallKind.CANCEL_JOB,
            self._job_partition(job_id),
            job_id,
            _query(request, "customer").encode(),
        )
        return self._answer(request, document)

    # Settings

    @app.route("/v1/settings/get", methods=["POST"])
    async def settings_get(self, request: StreamingRequest):
        """Return the values in force and where they are set."""
        self._authenticate(request)
        question = await self._read(request, GetRequest)
        return self._answer(request, self._instance.settings_operations.get(question))

    @app.route("/v1/settings/<operation>", methods=["POST"])
    async def settings_write(self, request: StreamingRequest, operation: str):
        """Change the settings, or read their history."""
        author = self._authenticate(request)
        operations = self._instance.settings_operations
        writes = {
            "set": (SetRequest, operations.set),
            "unset": (UnsetRequest, operations.unset),
            "change": (ChangeRequest, operations.change),
            "import": (ImportRequest, operations.import_toml),
        }
        reads = {
            "diff": (DiffRequest, operations.diff),
            "history": (HistoryRequest, operations.history),
        }
        if operation in writes:
            message_type, method = writes[operation]
            message = await self._read(request, message_type)
            return self._answer(request, await method(message, author=author))
        if operation in reads:
            message_type, method = reads[operation]
            message = await self._read(request, message_type)
            return self._answer(request, await method(message))
        allowed = ", ".join(sorted([*writes, *reads, "get"]))
        raise InvalidInputError(f"operation is {operation!r}; allowed: {allowed}")

    @app.route("/v1/settings/export", methods=["GET"])
    async def settings_export(self, request: StreamingRequest):
        """Return all settings as TOML."""
        self._authenticate(request)
        return self._answer(request, self._instance.settings_operations.export_toml())

    @app.route("/v1/settings/propagation/<int:revision>", methods=["GET"])
    async def propagation(self, request: StreamingRequest, revision: int):
        """Return the live instances that have not reported a revision yet."""
        self._authenticate(request)
        instance = self._instance
        others = set(instance.session.live_instances) - {instance.identity}
        return self._answer(
            request, instance.settings_operations.propagation(revision, others)
        )


def _query(request: StreamingRequest, name: str) -> str:
    query = parse_qs(request.uri.partition(b"?")[2].decode("latin-1"))
    values = query.get(name)
    if not values:
        raise InvalidInputError(f"query argument {name!r} is missing")
    return values[0]
