"""A cell of stand-in services and entry instances on one reactor."""

import hashlib
from contextlib import AsyncExitStack

from twisted.internet.defer import DeferredList
from twisted.internet.interfaces import IListeningPort, IReactorCore
from twisted.internet.task import deferLater
from twisted.web.server import Site

from ..backends import Capacity, DirectoryEntry, InstanceRole
from ..common import DataCentreId, InstanceId, RackId
from ..entry import Instance, InstanceConfig
from ..settings import ChangeRequest, Edit, EditAction
from ..standins import (
    DirectoryChange,
    DirectoryStandin,
    StoreStandin,
    UpstreamStandin,
    WorkerStandin,
    free_ports,
)

__all__ = ["CUSTOMERS", "EmbeddedCell", "TOKENS_BY_CUSTOMER"]

HOST = "127.0.0.1"
DATA_CENTRES = ("ikeja", "ibadan")
CUSTOMERS = ("federation", "loft-club")
TOKENS_BY_CUSTOMER = {customer: f"{customer}-token" for customer in CUSTOMERS}

# Urgency, run limit in seconds and whether a request may run more than once.
KINDS = {
    "check-in": ("urgent", 5.0, True),
    "compilation": ("normal", 5.0, True),
    "publication": ("normal", 5.0, False),
    "recalculation": ("deferrable", 10.0, True),
}

WORKER_SIZE = Capacity(cpu_milli=32_000, memory_mb=64_000, accelerators=1)
POLL_INTERVAL_S = 0.1


class EmbeddedCell:
    """Runs a store, a directory, upstreams, workers and entry instances.

    As an asynchronous context manager it starts and stops them all.

    :param instances: number of entry instances.
    :param upstreams: number of upstreams, 8 slots each.
    :param workers: number of workers.
    """

    def __init__(
        self,
        reactor: IReactorCore,
        *,
        instances: int = 3,
        upstreams: int = 4,
        workers: int = 4,
    ):
        self._reactor = reactor
        self._counts = (instances, upstreams, workers)
        self._stack = AsyncExitStack()
        self.store = StoreStandin(reactor)
        self.directory = DirectoryStandin(lag_s=0.1)
        self.upstreams = [UpstreamStandin(reactor) for _ in range(upstreams)]
        self.workers = [
            WorkerStandin(reactor, capacity=WORKER_SIZE) for _ in range(workers)
        ]
        self.instances: list[Instance] = []
        self._entries: list[DirectoryEntry] = []

    def _listen(self, site: Site) -> str:
        port: IListeningPort = self._reactor.listenTCP(0, site, interface=HOST)
        self._stack.push_async_callback(self._stop_listening, port)
        return f"{HOST}:{port.getHost().port}"

    @staticmethod
    async def _stop_listening(port: IListeningPort) -> None:
        await port.stopListening()

    async def __aenter__(self) -> "EmbeddedCell":
        store_url = f"http://{self._listen(Site(self.store.app.resource()))}"
        directory_url = f"http://{self._listen(Site(self.directory.app.resource()))}"
        self._start_servers(self.upstreams, "upstream", InstanceRole.UPSTREAM)
        self._start_servers(self.workers, "worker", InstanceRole.WORKER)
        for number in range(self._counts[0]):
            await self._start_instance(number, store_url, directory_url)
        self.directory.change(DirectoryChange(upsert=self._entries))
        await self._configure()
        await self._wait_for_owners()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    def _start_servers(self, servers: list, name: str, role: InstanceRole) -> None:
        for number, server in enumerate(servers):
            size = WORKER_SIZE
            if role is InstanceRole.UPSTREAM:
                size = Capacity(slots=8, connections=64)
                site = server.site()
            else:
                site = Site(server.app.resource())
            self._entries.append(
                DirectoryEntry(
                    id=InstanceId(f"{name}-{number}"),
                    role=role,
                    data_centre=DataCentreId(DATA_CENTRES[number % 2]),
                    rack=RackId(f"rack-{number // 2 % 2}"),
                    address=self._listen(site),
                    capacity=size,
                )
            )

    async def _start_instance(
        self, number: int, store_url: str, directory_url: str
    ) -> None:
        caller_port, operator_port, peer_port = free_ports(3)
        config = InstanceConfig(
            instance_id=InstanceId(f"entry-{number}"),
            data_centre=DataCentreId(DATA_CENTRES[number % 2]),
            host=HOST,
            caller_port=caller_port,
            operator_port=operator_port,
            peer_port=peer_port,
            store_url=store_url,
            directory_url=directory_url,
            drain_grace_s=0.2,
        )
        instance = Instance(self._reactor, config)
        await self._stack.enter_async_context(instance)
        self.instances.append(instance)
        self._entries.append(
            DirectoryEntry(
                id=config.instance_id,
                role=InstanceRole.ENTRY,
                data_centre=config.data_centre,
                rack=RackId("rack-0"),
                address=config.peer_address,
            )
        )

    async def _configure(self) -> None:
        edits = [Edit(EditAction.SET, "", "data_centres", list(DATA_CENTRES))]
        for customer, token in TOKENS_BY_CUSTOMER.items():
            digest = hashlib.sha256(token.encode()).hexdigest()
            edits.append(Edit(EditAction.SET, customer, "token_sha256", [digest]))
        for kind, (urgency, max_run_s, repeatable) in KINDS.items():
            path = f"*/{kind}"
            edits.append(Edit(EditAction.CREATE, path))
            edits.append(Edit(EditAction.SET, path, "urgency", urgency))
            edits.append(Edit(EditAction.SET, path, "max_run_s", max_run_s))
            edits.append(Edit(EditAction.SET, path, "repeatable", repeatable))
        operations = self.instances[0].settings_operations
        await operations.change(ChangeRequest(edits=tuple(edits)), author="demo")

    async def _wait_for_owners(self) -> None:
        while True:
            owned = {
                home.partition_id
                for instance in self.instances
                for home in instance.homes.homes
                if home.has_authority
            }
            if len(owned) == len(DATA_CENTRES):
                return
            await deferLater(self._reactor, POLL_INTERVAL_S)

    async def drain(self) -> None:
        """Stop all instances gracefully."""
        for instance in self.instances:
            instance.start_drain()
        await DeferredList([instance.drained for instance in self.instances])
