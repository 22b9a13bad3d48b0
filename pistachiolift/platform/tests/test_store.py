"""The client of the platform's store in outages."""

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock as ReactorClock
from twisted.internet.task import deferLater

from pistachiolift.common import StoreUnavailableError
from pistachiolift.platform.store import PlatformStore

RETRY_S = 0.15


class SilentClient:
    """A client whose calls get no answer until ``up`` is set."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.up = False
        self.paths = []

    async def call(self, method, path, *, body, headers, timeout_s, stall_timeout_s):
        self.paths.append(path)
        if not self.up:
            await deferLater(self.reactor, timeout_s)
            raise StoreUnavailableError("store: timeout")
        await deferLater(self.reactor, 0.004)
        if path.startswith("/api/kv-key"):
            return 404, b"{}"
        return 200, b'{"items": [], "CurrentRev": 7}'


class Cell:
    """A store that is listed again and again until an answer arrives."""

    def __init__(self):
        self.reactor = ReactorClock()
        self.store = PlatformStore(self.reactor, "127.0.0.1:1")
        self.client = self.store._client = SilentClient(self.reactor)
        self.listed_s = None
        ensureDeferred(self._list_until_answered())

    async def _list_until_answered(self):
        while self.listed_s is None:
            try:
                await self.store.list_prefix("op/")
                self.listed_s = self.reactor.seconds()
            except StoreUnavailableError:
                await deferLater(self.reactor, RETRY_S)

    def advance(self, interval_s):
        for _ in range(round(interval_s / 0.01)):
            self.reactor.advance(0.01)


class TestListingsInAnOutage:
    """Guards against a time limit of 2 s that begins just before the store returns."""

    def test_the_return_of_a_silent_store_is_noticed_soon(self):
        for outage_s in (1.0, 3.0, 3.3, 3.7, 5.1, 6.5):
            cell = Cell()
            cell.advance(outage_s)
            cell.client.up = True
            cell.advance(1.0)
            assert cell.listed_s is not None
            assert cell.listed_s < outage_s + 0.5 + RETRY_S + 0.05

    def test_a_store_that_answers_is_not_probed(self):
        cell = Cell()
        cell.client.up = True
        cell.advance(2.0)
        ensureDeferred(cell.store.list_prefix("op/"))
        cell.advance(1.0)
        probes = [path for path in cell.client.paths if path.startswith("/api/kv-key")]
        assert len(probes) <= 1
