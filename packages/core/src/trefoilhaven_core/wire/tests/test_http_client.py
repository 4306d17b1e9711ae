"""Tests of the HTTP client against servers that send too much or too little."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import pytest
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.wire.http_client import HttpClient
from trefoilhaven_core.wire.tests.test_http import free_address

TIMEOUT_S = 10


def encode(body: bytes) -> bytes:
    """Return a complete response."""
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
        len(body),
        body,
    )


async def read_target(reader: asyncio.StreamReader) -> bytes:
    """Return the target of the next request, b'' at the end."""
    head = b''
    with contextlib.suppress(asyncio.IncompleteReadError):
        head = await reader.readuntil(b'\r\n\r\n')
    return head.split(b' ')[1] if head else b''


Answer = Callable[[bytes], bytes]


class Server:
    """A server that answers each target with it, and may repeat an answer."""

    def __init__(self, answer: Answer) -> None:
        """Answer with what ``answer`` returns for a target."""
        self.answer = answer
        self.connections = 0
        self.writer: asyncio.StreamWriter | None = None

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        self.connections += 1
        self.writer = writer
        with contextlib.closing(writer):
            while target := await read_target(reader):
                writer.write(self.answer(target))

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[Address]:
        """Listen at the address that is returned."""
        address = free_address()
        async with await asyncio.start_server(self.serve, *address):
            yield address


async def get(client: HttpClient, target: str) -> bytes:
    """Return the body of a response."""
    return (await client.request('GET', target, b'', TIMEOUT_S)).body


class TestReuse:
    """Connections that are used for several requests."""

    async def test_reused(self) -> None:
        """Guards against a new connection for each request."""
        server = Server(encode)
        async with server.run() as address:
            client = HttpClient(address)
            for target in ('/a', '/b', '/c'):
                assert await get(client, target) == target.encode()
            client.close()
        assert server.connections == 1

    async def test_second_copy(self) -> None:
        """Guards against an answer that is given to the next request.

        The server sends a second copy of an answer right after the first.
        """
        server = Server(lambda target: 2 * encode(target))
        async with server.run() as address:
            client = HttpClient(address)
            assert await get(client, '/a') == b'/a'
            assert await get(client, '/b') == b'/b'
            client.close()

    async def test_late_copy(self) -> None:
        """Guards against an answer that is given to the next request.

        The server sends a second copy while the connection is idle.
        """
        server = Server(encode)
        async with server.run() as address:
            client = HttpClient(address)
            assert await get(client, '/a') == b'/a'
            assert server.writer is not None
            server.writer.write(encode(b'/a'))
            async with asyncio.timeout(TIMEOUT_S):
                await asyncio.wait(
                    [idle.watch for idle in client._idle]  # noqa: SLF001
                )
            assert await get(client, '/b') == b'/b'
            client.close()


class TestCancelled:
    """Requests whose caller is cancelled."""

    async def test_idle_connection(self) -> None:
        """Guards against a connection that nobody closes any more."""
        server = Server(encode)
        async with server.run() as address:
            client = HttpClient(address)
            await get(client, '/a')
            writer = client._idle[0].connection.writer  # noqa: SLF001
            req = asyncio.create_task(get(client, '/b'))
            await asyncio.sleep(0)
            req.cancel()
            await asyncio.wait([req])
            assert writer.is_closing()


class TestBrokenOff:
    """Answers that end early."""

    @pytest.mark.parametrize(
        'answer',
        [
            b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'5\r\nshort\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Le',
            b'',
        ],
    )
    async def test_incomplete(self, answer: bytes) -> None:
        """Guards against an answer that broke off and counts as complete."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.closing(writer):
                await read_target(reader)
                writer.write(answer)

        address = free_address()
        async with await asyncio.start_server(serve, *address):
            client = HttpClient(address)
            with pytest.raises(ConnectionError):
                await get(client, '/a')
