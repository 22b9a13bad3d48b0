"""The commands that say where a request or a job stands and why."""

import click

from ..settings import GetAnswer, GetRequest
from .client import ApiClient, Connection, run_with_client
from .documented import example, option
from .documents import JobStanding, PartitionStatus, RequestStanding
from .errors import CommandError
from .exit_codes import ExitCode
from .explanations import explain_absent_request, explain_job, explain_request
from .options import operator_options, output_option
from .output import echo_document, printable
from .paths import path_of_url

__all__ = ["explain"]


@click.group(epilog=example("pistachiolift explain job calibration-7"))
def explain() -> None:
    """Say in words why a request or job waits, was refused or where it runs."""


def _echo(output: str, document: object, sentences: list[str]) -> None:
    text = "\n".join(printable(sentence) for sentence in sentences)
    echo_document(output, {"facts": document, "explanation": sentences}, text)


@explain.command(
    epilog=example("pistachiolift explain request velocity 5f0c --customer lekki")
)
@click.argument("kind")
@click.argument("key")
@option("--customer", "customer_id", required=True, help="Customer of the request.")
@output_option
@operator_options
def request(
    connection: Connection, kind: str, key: str, customer_id: str, output: str
) -> None:
    """Explain the request of KIND that was submitted with KEY.

    A request that was refused is not remembered; the error then says what would
    refuse it now, and the exit code is 4.
    """

    async def work(client: ApiClient) -> None:
        path = path_of_url("v1", "explain", customer_id, key, kind=kind)
        settings = await _kind_settings(client, customer_id, kind)
        try:
            standing = (await client.read(path)).decode(RequestStanding)
        except CommandError as error:
            if error.exit_code is ExitCode.NOT_FOUND:
                error.message += "; " + "; ".join(explain_absent_request(settings))
            raise
        partition = await _partition(client, standing.partition)
        sentences = explain_request(standing, partition, kind, settings)
        facts = {"request": standing, "partition": partition, "settings": settings}
        _echo(output, facts, sentences)

    run_with_client(connection, work)


async def _kind_settings(
    client: ApiClient, customer_id: str, kind: str
) -> dict[str, object]:
    """Return the values in force, of both branches if the customer's has none."""
    failure: CommandError | None = None
    for path in (f"{customer_id}/{kind}", f"*/{kind}"):
        try:
            answer = await client.ask("/v1/settings/get", GetRequest(path=path))
        except CommandError as error:
            if error.exit_code is not ExitCode.NOT_FOUND:
                raise
            failure = failure or error
            continue
        return {each.key: each.value for each in answer.decode(GetAnswer).values}
    raise failure


async def _partition(client: ApiClient, partition_id: str) -> PartitionStatus | None:
    try:
        answer = await client.read(path_of_url("v1", "partitions", partition_id))
    except CommandError:
        return None
    return answer.decode(PartitionStatus)


@explain.command(epilog=example("pistachiolift explain job calibration-7"))
@click.argument("job_id")
@output_option
@operator_options
def job(connection: Connection, job_id: str, output: str) -> None:
    """Explain the job JOB_ID."""

    async def work(client: ApiClient) -> None:
        path = path_of_url("v1", "jobs", job_id)
        standing = (await client.read(path)).decode(JobStanding)
        partition = None
        # Instances of an earlier release do not name it.
        if standing.partition:
            partition = await _partition(client, standing.partition)
        facts = {"job": standing, "partition": partition}
        _echo(output, facts, explain_job(standing, partition))

    run_with_client(connection, work)
