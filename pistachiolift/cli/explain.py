"""The commands that explain the state of a request or a job."""

import click

from ..settings import GetAnswer, GetRequest
from .client import ApiClient, Connection, run_with_client
from .documented import example, option
from .documents import JobDetails, PartitionStatus, RequestDetails
from .errors import CommandError
from .exit_codes import ExitCode
from .explanations import explain_absent_request, explain_job, explain_request
from .options import operator_options, output_option
from .output import echo_document, printable
from .paths import path_of_url

__all__ = ["explain"]


@click.group(epilog=example("pistachiolift explain job calibration-7"))
def explain() -> None:
    """Explain why a request or job waits or was refused, or where it runs."""


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

    No record is kept of a refused request; the error then says what would refuse
    it now, and the exit code is 4.
    """

    async def work(client: ApiClient) -> None:
        path = path_of_url("v1", "explain", customer_id, key, kind=kind)
        settings = await _kind_settings(client, customer_id, kind)
        try:
            details = (await client.read(path)).decode(RequestDetails)
        except CommandError as error:
            if error.exit_code is ExitCode.NOT_FOUND:
                error.message += "; " + "; ".join(explain_absent_request(settings))
            raise
        partition = await _partition(client, details.partition)
        sentences = explain_request(details, partition, kind, settings)
        facts = {"request": details, "partition": partition, "settings": settings}
        _echo(output, facts, sentences)

    run_with_client(connection, work)


async def _kind_settings(
    client: ApiClient, customer_id: str, kind: str
) -> dict[str, object]:
    """Return the values in force, from ``*`` if the customer has no such branch."""
    failure: CommandError | None = None
    for path in (f"{customer_id}/{kind}", f"*/{kind}"):
        try:
            answer = await client.query("/v1/settings/get", GetRequest(path=path))
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
        details = (await client.read(path)).decode(JobDetails)
        partition = None
        # Instances of an earlier release do not report the partition.
        if details.partition:
            partition = await _partition(client, details.partition)
        facts = {"job": details, "partition": partition}
        _echo(output, facts, explain_job(details, partition))

    run_with_client(connection, work)
