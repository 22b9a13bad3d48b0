"""The commands that submit requests and jobs."""

import base64
from pathlib import Path

import click
import msgspec

from ..common import InvalidInputError, Outcome, encode_json
from ..jobs import JobSpec, PolicyName, Resources, validate_spec
from .answers import Answer
from .client import ApiClient, Connection, run_with_client
from .documented import example, option
from .errors import ClientErrorCode, CommandError
from .exit_codes import ExitCode
from .options import caller_options, new_identifier, operator_options, output_option
from .output import echo_document, echo_progress
from .paths import path_of_url

__all__ = ["submit"]

# A started attempt may run until its kind's run limit, 30 s by default, after the
# deadline; the rest covers transfer times.
ANSWER_GRACE_S = 60.0
FAILED_STATUS = 400
FORMATS = ["toml", "json"]


@click.group(epilog=example("pistachiolift submit job calibration.toml"))
def submit() -> None:
    """Submit a request or a job."""


@submit.command(
    epilog=example(
        "pistachiolift submit request check-in --body bird.json --deadline 5"
    )
)
@click.argument("kind")
@option(
    "--body",
    type=click.File("rb"),
    default="-",
    help="File with the body; - is standard input.",
)
@option(
    "--key",
    help="Identifier of the request, by which a repetition is recognised. Default: a "
    "new one, printed on standard error.",
)
@option(
    "--deadline",
    "deadline_s",
    type=click.FloatRange(min=0.001, max=86400),
    default=30.0,
    help="Seconds that the request may wait.",
)
@option(
    "--repeatable/--not-repeatable",
    default=False,
    help="Whether the request may run more than once.",
)
@option(
    "--answer-limit",
    "answer_limit_s",
    type=click.FloatRange(min=0.1),
    help=f"Seconds until the answer has arrived. Default: {ANSWER_GRACE_S:g} s after "
    "the deadline.",
)
@output_option
@caller_options
def request(
    connection: Connection,
    kind: str,
    body,
    key: str | None,
    deadline_s: float,
    repeatable: bool,
    answer_limit_s: float | None,
    output: str,
) -> None:
    """Submit a request of KIND, wait for its answer and print that.

    After a broken connection the request is sent to the next address with the same
    key. --timeout does not apply; see --answer-limit.
    """
    if key is None:
        key = new_identifier()
        echo_progress(f"key {key}")
    data = body.read()
    headers = {
        "Idempotency-Key": key,
        "Deadline-Ms": str(max(1, round(deadline_s * 1000))),
        "Repeatable": "true" if repeatable else "false",
    }

    async def work(client: ApiClient) -> Answer:
        return await client.change(
            "POST",
            path_of_url("v1", "requests", kind),
            body=data,
            headers=headers,
            identifier=f"--key {key}",
            timeout_s=answer_limit_s or deadline_s + ANSWER_GRACE_S,
        )

    _print_answer(run_with_client(connection, work), key, output)


def _print_answer(answer: Answer, key: str, output: str) -> None:
    outcome = answer.headers.get("outcome", "")
    if output == "json":
        document = {
            "key": key,
            "outcome": outcome,
            "status": answer.status,
            "content_type": answer.headers.get("content-type", ""),
        }
        try:
            document["body"] = answer.body.decode()
        except UnicodeDecodeError:
            document["body_base64"] = base64.b64encode(answer.body).decode()
        click.echo(encode_json(document))
    else:
        click.echo(answer.body, nl=False)
    if answer.status >= FAILED_STATUS or outcome != Outcome.DONE.value:
        raise CommandError(
            ClientErrorCode.UPSTREAM_STATUS.value,
            f"the upstream answered with status {answer.status}, outcome "
            f"{outcome or 'missing'}",
            exit_code=ExitCode.FAILED,
        )


@submit.command(
    epilog=example("pistachiolift submit job calibration.toml --tasks 8 --priority 5")
)
@click.argument("file", type=click.File("rb"), default="-")
@option(
    "--format",
    "file_format",
    type=click.Choice(FORMATS),
    help="Format of the file. Default: by its suffix, else TOML.",
)
@option("--job-id", help="Identifier; a repetition with it changes nothing.")
@option("--customer", "customer_id", help="Customer that owns the job.")
@option(
    "--policy",
    type=click.Choice([each.value for each in PolicyName]),
    help="How tasks are placed.",
)
@option("--tasks", type=int, help="Number of equal tasks.")
@option("--cpu-milli", type=int, help="Processors of a task, in thousandths.")
@option("--memory-mb", type=int, help="Memory of a task, in megabytes.")
@option("--accelerators", type=int, help="Accelerators of a task.")
@option("--priority", type=int, help="0 to 9; a larger number is more urgent.")
@option("--max-run", "max_run_s", type=float, help="Seconds of an attempt; 0: no limit")
@option("--max-attempts", type=int, help="Failed attempts of a task that end the job.")
@option(
    "--checkpointable/--not-checkpointable",
    default=None,
    help="Whether a checkpoint can precede a stop.",
)
@option("--payload", help="What to run; the worker gets it unchanged.")
@output_option
@operator_options
def job(
    connection: Connection, file, file_format: str | None, output: str, **flags
) -> None:
    """Submit the job that FILE describes; flags override its fields.

    FILE is TOML or JSON with the fields job_id, customer_id, policy, tasks,
    resources (a table with cpu_milli, memory_mb and accelerators), priority,
    max_run_s, max_attempts, checkpointable and payload. Without FILE it is read from
    standard input; /dev/null with flags describes the whole job. A missing job_id is
    replaced by a new one. The command ends when the job is durable.
    """
    try:
        spec = _read_spec(
            file.read(), file_format or _format_of(getattr(file, "name", "")), flags
        )
    except (InvalidInputError, msgspec.MsgspecError, ValueError) as error:
        raise click.UsageError(f"job: {error}") from error

    async def work(client: ApiClient) -> dict:
        answer = await client.change(
            "POST",
            "/v1/jobs",
            body=encode_json(spec),
            identifier=f"--job-id {spec.job_id}",
        )
        return answer.decode(dict)

    document = run_with_client(connection, work)
    echo_document(output, document, f"job {spec.job_id} is accepted")


def _format_of(name: object) -> str:
    suffix = Path(str(name)).suffix.lstrip(".").lower()
    return suffix if suffix in FORMATS else "toml"


def _read_spec(data: bytes, file_format: str, flags: dict[str, object]) -> JobSpec:
    """Return the job of a file, with the flags that were given.

    :raises ValueError: if a field is not known.
    """
    decode = msgspec.toml.decode if file_format == "toml" else msgspec.json.decode
    fields = decode(data, type=dict) if data.strip() else {}
    given = {name: value for name, value in flags.items() if value is not None}
    sizes = _sizes(fields.pop("resources", {}))
    sizes |= {k: given.pop(k) for k in Resources.__struct_fields__ if k in given}
    fields |= given
    # A misspelt field would otherwise take its default.
    _refuse_unknown(fields, JobSpec.__struct_fields__)
    fields.setdefault("job_id", f"job-{new_identifier()}")
    fields["resources"] = msgspec.convert(
        [sizes.get(name, 0) for name in Resources.__struct_fields__], Resources
    )
    spec = msgspec.convert(fields, JobSpec)
    validate_spec(spec)
    path_of_url(spec.job_id)
    return spec


def _sizes(resources: object) -> dict[str, object]:
    names = Resources.__struct_fields__
    if isinstance(resources, list) and len(resources) <= len(names):
        return dict(zip(names, resources, strict=False))
    if not isinstance(resources, dict):
        raise ValueError(f"resources must be a table with {', '.join(names)}")
    _refuse_unknown(resources, names)
    return dict(resources)


def _refuse_unknown(table: dict, names: tuple[str, ...]) -> None:
    unknown = sorted(set(table) - set(names))
    if unknown:
        raise ValueError(f"unknown field {unknown[0]!r}; known: {', '.join(names)}")
