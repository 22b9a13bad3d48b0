"""The commands that cancel requests and jobs."""

import click
import msgspec

from ..common import Outcome
from .answers import Answer
from .client import ApiClient, Connection, run_with_client
from .documented import example, option
from .errors import CommandError
from .exit_codes import ExitCode
from .options import caller_options, operator_options, output_option
from .output import echo_document
from .paths import path_of_url

__all__ = ["cancel"]


class _Cancelled(msgspec.Struct):
    """The outcome of a request after its cancellation."""

    code: str
    message: str
    outcome: Outcome


_EXIT_CODE_BY_OUTCOME = {
    Outcome.DONE: ExitCode.CONFLICT,
    Outcome.FAILED: ExitCode.CONFLICT,
    Outcome.UNKNOWN: ExitCode.UNKNOWN_OUTCOME,
    Outcome.CANCELLED_MAY_HAVE_RUN: ExitCode.UNKNOWN_OUTCOME,
}


@click.group(epilog=example("pistachiolift cancel job calibration-7 --customer lekki"))
def cancel() -> None:
    """Cancel a request or a job."""


@cancel.command(epilog=example("pistachiolift cancel request velocity 5f0c"))
@click.argument("kind")
@click.argument("key")
@output_option
@caller_options
def request(connection: Connection, kind: str, key: str, output: str) -> None:
    """Cancel the request of KIND that was submitted with KEY.

    Exit code 0 means that the request has not run and will not run; 5 that it may
    have run; 3 that it had ended before.
    """

    async def work(client: ApiClient) -> Answer:
        # The call is idempotent, so it can be repeated as it is.
        return await client.change(
            "DELETE",
            path_of_url("v1", "requests", kind, key),
            identifier="the same command",
        )

    document = run_with_client(connection, work).decode(_Cancelled)
    outcome = document.outcome
    echo_document(output, document, f"request {key}: {outcome.value}")
    exit_code = _EXIT_CODE_BY_OUTCOME.get(outcome)
    if exit_code is not None:
        raise CommandError(document.code, document.message, exit_code=exit_code)


@cancel.command(
    epilog=example("pistachiolift cancel job calibration-7 --customer lekki")
)
@click.argument("job_id")
@option("--customer", "customer_id", required=True, help="Customer of the job.")
@output_option
@operator_options
def job(connection: Connection, job_id: str, customer_id: str, output: str) -> None:
    """Cancel the job JOB_ID; its tasks are stopped.

    The command ends when the cancellation is accepted; 'explain job' shows when all
    tasks have stopped.
    """

    async def work(client: ApiClient) -> dict:
        answer = await client.change(
            "DELETE",
            path_of_url("v1", "jobs", job_id, customer=customer_id),
            identifier="the same command",
        )
        return answer.decode(dict)

    document = run_with_client(connection, work)
    echo_document(output, document, f"job {job_id} is being cancelled")
