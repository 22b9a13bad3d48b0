"""The command that stops an instance gracefully."""

import click

from ..common import platform_instance_id
from .client import ApiClient, Connection, run_with_client
from .documented import example, option
from .documents import InstanceStatus
from .errors import CommandError
from .exit_codes import ExitCode
from .options import operator_options, output_option, wait_limit_option
from .output import echo_document, echo_progress
from .waiting import poll

__all__ = ["drain"]


@click.command(epilog=example("pistachiolift drain entry-3 --wait --wait-limit 60"))
@click.argument("instance_id")
@option("--wait", is_flag=True, help="Wait until the instance has left.")
@wait_limit_option
@output_option
@operator_options
def drain(
    connection: Connection,
    instance_id: str,
    wait: bool,
    wait_limit_s: float,
    output: str,
) -> None:
    """Drain INSTANCE_ID: it takes no new requests, finishes its open ones and leaves.

    The instance is looked up among the addresses given, so that no other one is
    drained by mistake. --wait needs the address of another instance too, which reports
    when the drained one has left; without one, the command waits until the drained
    instance no longer answers.
    """

    async def work(client: ApiClient) -> None:
        url = await _find(client, instance_id)
        await client.change("POST", "/v1/drain", url=url, identifier="the same command")
        document = {"instance": instance_id, "draining": True}
        echo_document(output, document, f"{instance_id} is draining")
        if wait:
            others = tuple(each for each in client.urls if each != url)
            await _wait_until_left(client, instance_id, url, others, wait_limit_s)

    run_with_client(connection, work)


async def _find(client: ApiClient, instance_id: str) -> str:
    seen: list[str] = []
    unreachable: CommandError | None = None
    for url in client.urls:
        try:
            answer = await client.read("/v1/status", url=url)
            status = answer.decode(InstanceStatus)
        except CommandError as error:
            if error.exit_code is not ExitCode.UNREACHABLE:
                raise
            unreachable = error
            continue
        if status.instance == instance_id:
            return url
        seen.append(status.instance)
    if unreachable is not None:
        raise unreachable
    raise CommandError(
        "not_found",
        f"instance {instance_id!r} is not at the addresses given; there are "
        + ", ".join(seen),
        exit_code=ExitCode.NOT_FOUND,
    )


async def _wait_until_left(
    client: ApiClient,
    instance_id: str,
    url: str,
    others: tuple[str, ...],
    limit_s: float,
) -> None:
    async def check() -> str:
        for other in others:
            try:
                answer = await client.read("/v1/status", url=other)
                identities = answer.decode(InstanceStatus).live_instances
                live = {platform_instance_id(each) for each in identities}
            except CommandError as error:
                if error.exit_code is not ExitCode.UNREACHABLE:
                    raise
                continue
            return f"{instance_id} is still live" if instance_id in live else ""
        return await _remaining_work(client, instance_id, url, is_only=not others)

    await poll(client, check, limit_s=limit_s, what=f"the departure of {instance_id}")
    echo_progress(f"{instance_id} has left")


async def _remaining_work(
    client: ApiClient, instance_id: str, url: str, *, is_only: bool
) -> str:
    """Return what the draining instance still has, if no other instance answers."""
    try:
        answer = await client.read("/v1/status", url=url)
    except CommandError as error:
        if error.exit_code is not ExitCode.UNREACHABLE or not is_only:
            raise
        return ""
    requests = answer.decode(InstanceStatus).open_requests
    return f"{instance_id} still has {requests} open requests or its partitions"
