"""A small HTTP/1.1 server for the stand-ins, from the standard library only."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl, urlsplit

Handler = Callable[["Request"], Awaitable[tuple[int, dict | None]]]


class Request:
    """A request that has arrived completely."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query))
        self.headers = headers
        self.body = body

    def json(self) -> dict:
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; ``None`` at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


async def serve(port: int, handler: Handler) -> None:
    """Serve on the loopback address until the process ends."""

    async def connection(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                status, answer = await handler(request)
                body = json.dumps(answer or {}).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", port)
    async with server:
        await server.serve_forever()
