"""The command that shows the state of the cell."""

from collections.abc import Awaitable, Callable
from functools import partial

import click
import msgspec
from twisted.internet.defer import DeferredList, ensureDeferred

from ..common import Urgency
from ..settings import GetAnswer, GetRequest
from .client import ApiClient, Connection, run_with_client
from .documented import example, option
from .documents import InstanceStatus, PartitionOwner, PartitionStatus
from .errors import CommandError
from .exit_codes import ExitCode
from .loop import sleep
from .options import operator_options, output_option
from .output import echo_document, format_table, printable
from .paths import path_of_url

__all__ = ["status"]


class _Share(msgspec.Struct):
    """Use of the slots by one urgency class over all partitions that answered."""

    urgency: str
    running: int
    share: float
    min_share: float


class _PartitionRow(msgspec.Struct):
    """A partition's owner, and its status if the owner answered."""

    partition: str
    owner: str | None
    epoch: int
    status: PartitionStatus | None = None
    error: str = ""


class _CellStatus(msgspec.Struct):
    """State of the cell, as the command prints it.

    :param errors: addresses that did not answer, with the reason.
    """

    instances: list[InstanceStatus]
    live_instances: list[str]
    partitions: list[_PartitionRow]
    shares: list[_Share]
    errors: list[str]


@click.command(epilog=example("pistachiolift status --watch --interval 5"))
@option("--partition", help="Show one partition only, as its owner sees it.")
@option("--counters", is_flag=True, help="Show the counters of each instance too.")
@option("--watch", is_flag=True, help="Show it again until interrupted.")
@option(
    "--interval",
    "interval_s",
    type=click.FloatRange(min=0.2),
    default=2.0,
    help="Seconds between two displays with --watch.",
)
@output_option
@operator_options
def status(
    connection: Connection,
    partition: str | None,
    counters: bool,
    watch: bool,
    interval_s: float,
    output: str,
) -> None:
    """Show instances, partitions with owners and epochs, queues and shares.

    Each address given is one row of the instances; instances that are live but not
    among the addresses are listed by name. With --watch the command ends with exit
    code 0 when it is interrupted.
    """

    async def show(client: ApiClient) -> None:
        if partition is not None:
            row = await _partition_status(client, partition)
            text = _partition_text(row)
        else:
            row = await _cell_status(client)
            text = _cell_text(row, counters=counters)
        if not counters and isinstance(row, _CellStatus):
            for each in row.instances:
                each.counters = {}
        if watch and output == "table":
            click.clear()
        echo_document(output, row, text)

    if not watch:
        run_with_client(connection, show)
        return
    try:
        run_with_client(connection, partial(_repeat, show, interval_s))
    except CommandError as error:
        if error.exit_code is not ExitCode.INTERRUPTED:
            raise


async def _repeat(
    show: Callable[[ApiClient], Awaitable[None]], interval_s: float, client: ApiClient
) -> None:
    while True:
        try:
            await show(client)
        except CommandError as error:
            if error.exit_code is not ExitCode.UNREACHABLE:
                raise
            error.show()
        await sleep(client.reactor, interval_s)


async def _partition_status(client: ApiClient, partition_id: str) -> PartitionStatus:
    path = path_of_url("v1", "partitions", partition_id)
    return (await client.read(path)).decode(PartitionStatus)


async def _gather(calls: list[Awaitable]) -> list[object]:
    """Run calls concurrently; a :class:`CommandError` takes the place of a result."""
    running = [ensureDeferred(call) for call in calls]
    results = []
    for succeeded, result in await DeferredList(running, consumeErrors=True):
        if not succeeded and not result.check(CommandError):
            result.raiseException()
        results.append(result if succeeded else result.value)
    return results


async def _cell_status(client: ApiClient) -> _CellStatus:
    answers = await _gather([_instance_status(client, url) for url in client.urls])
    instances = [each for each in answers if isinstance(each, InstanceStatus)]
    errors = [each for each in answers if isinstance(each, CommandError)]
    if not instances:
        raise errors[0]
    owners = _owners(instances)
    rows = await _gather([_partition_row(client, *item) for item in owners.items()])
    return _CellStatus(
        instances=instances,
        live_instances=sorted({x for each in instances for x in each.live_instances}),
        partitions=rows,
        shares=await _shares(client, rows),
        errors=[each.format_message() for each in errors],
    )


async def _instance_status(client: ApiClient, url: str) -> InstanceStatus:
    return (await client.read("/v1/status", url=url)).decode(InstanceStatus)


def _owners(instances: list[InstanceStatus]) -> dict[str, PartitionOwner]:
    """Return the newest record of each partition that any instance knows."""
    owners: dict[str, PartitionOwner] = {}
    for instance in instances:
        for partition_id, owner in sorted(instance.partitions.items()):
            known = owners.get(partition_id)
            if known is None or owner.epoch > known.epoch:
                owners[partition_id] = owner
    return owners


async def _partition_row(
    client: ApiClient, partition_id: str, owner: PartitionOwner
) -> _PartitionRow:
    row = _PartitionRow(partition_id, owner.owner or None, owner.epoch)
    if row.owner is None:
        row.error = "no owner"
        return row
    try:
        row.status = await _partition_status(client, partition_id)
    except CommandError as error:
        row.error = error.format_message()
    return row


async def _shares(client: ApiClient, rows: list[_PartitionRow]) -> list[_Share]:
    value_by_key = await _settings(client)
    known = [row.status for row in rows if row.status is not None]
    slots = sum(each.slots for each in known)
    shares = []
    for urgency in Urgency:
        running = sum(each.running_by_urgency.get(urgency.value, 0) for each in known)
        shares.append(
            _Share(
                urgency=urgency.value,
                running=running,
                share=round(running / slots, 3) if slots else 0.0,
                min_share=value_by_key.get(f"{urgency.value}_min_share", 0.0),
            )
        )
    return shares


async def _settings(client: ApiClient) -> dict[str, object]:
    """Return the settings of the cell; an instance of a platform has none."""
    try:
        answer = await client.query("/v1/settings/get", GetRequest())
    except CommandError as error:
        if error.exit_code is not ExitCode.NOT_FOUND:
            raise
        return {}
    return {each.key: each.value for each in answer.decode(GetAnswer).values}


def _cell_text(cell: _CellStatus, *, counters: bool) -> str:
    parts = [
        format_table(
            ["INSTANCE", "DATA CENTRE", "STATE", "REVISION", "OPEN REQUESTS"],
            [
                (
                    each.instance,
                    each.data_centre,
                    "draining" if each.draining else "running",
                    each.revision,
                    each.open_requests,
                )
                for each in cell.instances
            ],
        ),
        "live: " + printable(", ".join(cell.live_instances)),
    ]
    parts += [f"not reached: {error}" for error in cell.errors]
    parts.append(_partitions_table(cell.partitions))
    parts.append(_queues_table([r.status for r in cell.partitions if r.status]))
    parts.append(
        format_table(
            ["CLASS", "SLOTS USED", "SHARE", "MINIMUM SHARE"],
            [(s.urgency, s.running, s.share, s.min_share) for s in cell.shares],
        )
    )
    if counters:
        parts += [_counters_table(each) for each in cell.instances]
    return "\n\n".join(parts)


def _partitions_table(rows: list[_PartitionRow]) -> str:
    lines = []
    for row in rows:
        head = (row.partition, row.owner, row.epoch)
        if row.status is None:
            lines.append((*head, "-", "-", "-", "-", row.error))
        else:
            state = row.status
            jobs = state.jobs
            slots_and_queue = (f"{state.running}/{state.slots}", state.queued)
            note = "" if jobs.ledger_available else "the ledger cannot be written"
            if jobs.quarantined:
                note += " quarantined: " + ",".join(jobs.quarantined)
            lines.append(
                (
                    *head,
                    *slots_and_queue,
                    jobs.jobs,
                    jobs.tasks_placed,
                    note.strip() or "-",
                )
            )
    headers = ["PARTITION", "OWNER", "EPOCH", "SLOTS", "QUEUED", "JOBS", "TASKS"]
    return format_table([*headers, "NOTE"], lines)


def _queues_table(partitions: list[PartitionStatus]) -> str:
    rows = [
        (kind, each.partition, depth)
        for each in partitions
        for kind, depth in each.queued_by_kind.items()
        if depth
    ]
    if not rows:
        return "no requests are queued"
    return format_table(["KIND", "PARTITION", "QUEUED"], sorted(rows))


def _counters_table(instance: InstanceStatus) -> str:
    rows = [(name, f"{value:g}") for name, value in sorted(instance.counters.items())]
    return format_table([f"COUNTER OF {instance.instance}", "VALUE"], rows)


def _partition_text(partition: PartitionStatus) -> str:
    jobs = partition.jobs
    workers = ", ".join(f"{n} {s}" for s, n in sorted(jobs.workers_by_status.items()))
    rows = [
        ("owner", partition.owner),
        ("epoch", partition.epoch),
        ("slots", partition.slots),
        *((f"running {u}", n) for u, n in partition.running_by_urgency.items()),
        *((f"queued {k}", n) for k, n in sorted(partition.queued_by_kind.items())),
        ("jobs", jobs.jobs),
        ("jobs waiting", jobs.jobs_waiting),
        ("tasks placed", jobs.tasks_placed),
        ("workers", workers or "none"),
        ("quarantined workers", jobs.quarantined),
        ("ledger available", jobs.ledger_available),
    ]
    return format_table([f"PARTITION {partition.partition}", ""], rows)
