"""Proxy before one executor that delays some orders.

The argument is a JSON document: ``listen`` and ``backend`` (ports), ``control`` (port),
``every`` and ``delay_s``. While it is switched on, one of ``every`` orders to start a
task gets no answer, and reaches whatever listens at the backend ``delay_s`` later.
"""

import asyncio
import json
import sys

from http_server import Request, serve


class Proxy:
    """Forwards requests, one connection to the executor for each of a client."""

    def __init__(self, options: dict):
        self.options = options
        self.on = False
        self.orders = 0
        self.delayed: list[str] = []

    async def control(self, request: Request) -> tuple[int, dict]:
        """Switch on or off, and list the delayed orders."""
        if request.method == "POST":
            self.on = request.json()["on"]
        return 200, {"delayed": self.delayed}

    async def deliver_late(self, raw: bytes) -> None:
        """Deliver an order long after it was sent."""
        await asyncio.sleep(self.options["delay_s"])
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.options["backend"]
            )
            writer.write(raw)
            await reader.readuntil(b"\r\n\r\n")
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            pass

    def is_delayed(self, head: bytes, body: bytes) -> bool:
        """Whether an order is to be delayed."""
        if not self.on or not head.startswith(b"POST /api/run-start"):
            return False
        self.orders += 1
        if self.orders % self.options["every"]:
            return False
        order = json.loads(body)
        self.delayed.append(f"{order['Task']} run {order['Run']}")
        return True

    async def connection(self, reader, writer) -> None:
        """Forward the requests of one connection."""
        backend = None
        try:
            backend = await asyncio.open_connection(
                "127.0.0.1", self.options["backend"]
            )
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.partition(b":")[2])
                body = await reader.readexactly(length)
                if self.is_delayed(head, body):
                    asyncio.ensure_future(self.deliver_late(head + body))
                    # No answer comes on this connection.
                    await reader.read()
                    return
                await self.exchange(backend, head + body, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            if backend is not None:
                backend[1].close()

    @staticmethod
    async def exchange(backend, raw: bytes, writer) -> None:
        """Pass a request on, and its answer back."""
        reader, backend_writer = backend
        backend_writer.write(raw)
        head = await reader.readuntil(b"\r\n\r\n")
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        writer.write(head + await reader.readexactly(length))
        await writer.drain()


async def main() -> None:
    """Run until killed."""
    proxy = Proxy(json.loads(sys.argv[1]))
    server = await asyncio.start_server(
        proxy.connection, "127.0.0.1", proxy.options["listen"]
    )
    async with server:
        await serve(proxy.options["control"], proxy.control)


if __name__ == "__main__":
    asyncio.run(main())
