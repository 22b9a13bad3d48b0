"""A minimal HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json


class Server:
    """Serves one address on loopback.

    :param handler: coroutine function of method, path, headers and body that returns a
        status and a JSON body, or ``None`` to close the connection without an answer.
    """

    def __init__(self, handler, port: int):
        self._handler = handler
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 22
        )

    def stop(self) -> None:
        """Stop listening, and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, path, _ = first.split(" ")
                headers = {}
                for line in lines:
                    name, separator, value = line.partition(":")
                    if separator:
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self._handler(method, path, headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def call(
    port: int, method: str, path: str, body=None, *, host: str, timeout_s: float = 4.0
) -> tuple[int, dict]:
    """Make a call on a new connection; the status is 0 if there is no answer."""
    try:
        return await asyncio.wait_for(_call(port, method, path, body, host), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}


async def _call(port, method, path, body, host) -> tuple[int, dict]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        data = b"" if body is None else json.dumps(body).encode()
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: 3000\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ")[1])
        length = 0
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        content = await reader.readexactly(length)
        try:
            found = json.loads(content) if content else {}
        except ValueError:
            found = {}
        return status, found if isinstance(found, dict) else {}
    finally:
        writer.transport.abort()
