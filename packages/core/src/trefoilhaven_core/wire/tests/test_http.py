"""Tests of the HTTP server against unexpected clients and handlers."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.wire.http import (
    MAX_REQUEST_BYTES,
    HttpRequest,
    HttpResponse,
    serve_http,
)

TIMEOUT_S = 10
GET = b'GET /ok HTTP/1.1\r\nHost: a\r\n\r\n'


async def answer(req: HttpRequest) -> HttpResponse:
    """Answer a request; fail on one path."""
    if req.target == '/fails':
        raise ValueError('unexpected')
    return HttpResponse(200, b'{}')


def free_address() -> Address:
    """Return an address that no socket uses."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return Address(*sock.getsockname())


@contextlib.asynccontextmanager
async def serving() -> AsyncIterator[Address]:
    """Serve requests at the address that is returned."""
    address = free_address()
    server = await serve_http(address, answer)
    try:
        yield address
    finally:
        server.close()


async def exchange(address: Address, request: bytes) -> bytes:
    """Send bytes and return all that the server sends until it closes."""
    async with asyncio.timeout(TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*address)
        with contextlib.closing(writer):
            writer.write(request)
            writer.write_eof()
            return await reader.read()


class TestHandler:
    """Errors of the handler."""

    async def test_error(self) -> None:
        """Guards against a client that waits, as its handler has failed.

        The sender of a heartbeat would wait for its timeout.
        """
        async with serving() as address:
            request = b'GET /fails HTTP/1.1\r\nHost: a\r\n\r\n'
            answered = await exchange(address, request + GET)
            assert answered.startswith(b'HTTP/1.1 500')
            assert (await exchange(address, GET)).startswith(b'HTTP/1.1 200')


class TestRequests:
    """Requests that no known client sends."""

    async def test_head(self) -> None:
        """Guards against an error when the response must not have a body."""
        async with serving() as address:
            request = b'HEAD /ok HTTP/1.1\r\nHost: a\r\n\r\n'
            answered = await exchange(address, request)
            assert answered.startswith(b'HTTP/1.1 200')
            assert answered.endswith(b'\r\n\r\n')

    @pytest.mark.parametrize(
        'request_bytes',
        [
            b'',
            b'\x00' * 100,
            b'GET /ok HTTP/1.1\r\n',
            b'GET /ok HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n',
            b'GET /ok HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n',
            b'PUT /ok HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nshort',
            b'PUT /ok HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nx',
            b'PUT /ok HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n'
            + b'x' * (MAX_REQUEST_BYTES + 1),
            b'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n',
            b'GET /ok HTTP/1.1\r\nHost: a\r\nUpgrade: x\r\n\r\n',
            b'G\xc3\x84T /ok HTTP/1.1\r\nHost: a\r\n\r\n',
        ],
    )
    async def test_unexpected(self, request_bytes: bytes) -> None:
        """Guards against a connection that stays open, or a server that ends.

        Each connection is closed, and the next client is served.
        """
        errors: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        async with serving() as address:
            with contextlib.suppress(ConnectionError):
                await exchange(address, request_bytes)
            assert (await exchange(address, GET)).startswith(b'HTTP/1.1 200')
        assert not errors
