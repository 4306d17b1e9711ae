"""Small HTTP/1.1 server on asyncio streams and ``h11``.

It is for processes that must start quickly: the import of aiohttp takes
0.4 s of processor time, which delays the restart of a killed process on a
small host by more than a second.
"""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import h11

from trefoilhaven_core.membership.messages import Address

logger = logging.getLogger(__name__)

# Timeout of each read from a client in seconds, also between two requests.
SERVER_TIMEOUT_S: Final = 30.0

# Maximum size of a request body, in bytes.
MAX_REQUEST_BYTES: Final = 65_536

INTERNAL_SERVER_ERROR: Final = 500

_READ_BYTES: Final = 65_536


class HttpRequest(NamedTuple):
    """A request to this process; ``target`` is the request target."""

    method: str
    target: str
    body: bytes


class HttpResponse(NamedTuple):
    """A response with its status code."""

    status: int
    body: bytes = b''
    content_type: str = 'application/json'
    headers: tuple[tuple[str, str], ...] = ()


HttpHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


async def serve_http(address: Address, handler: HttpHandler) -> asyncio.Server:
    """Serve requests at an address; raises ``OSError`` when it is in use."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # Connections that are open when the process stops are cancelled, which
        # asyncio would log as an error.
        with (
            contextlib.closing(writer),
            contextlib.suppress(OSError, TimeoutError, asyncio.CancelledError),
        ):
            await _serve_connection(reader, writer, handler)

    return await asyncio.start_server(serve, address.host, address.port)


async def _serve_connection(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: HttpHandler,
) -> None:
    conn = h11.Connection(h11.SERVER)
    while True:
        try:
            request = await _read_request(conn, reader)
        except h11.RemoteProtocolError as exc:
            logger.info('malformed HTTP request', extra={'reason': str(exc)})
            return
        if request is None:
            return
        response = await _handle(handler, request)
        try:
            writer.write(_encode_response(conn, request, response))
        except h11.LocalProtocolError as exc:
            logger.info('unsupported HTTP request', extra={'reason': str(exc)})
            return
        await writer.drain()
        if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
            return
        conn.start_next_cycle()


async def _handle(handler: HttpHandler, request: HttpRequest) -> HttpResponse:
    """Return the handler's response, or 500 if it fails."""
    try:
        return await handler(request)
    except Exception:
        logger.exception(
            'the handler of an HTTP request failed',
            extra={'method': request.method, 'target': request.target},
        )
        return HttpResponse(INTERNAL_SERVER_ERROR)


async def _read_request(
    conn: h11.Connection, reader: asyncio.StreamReader
) -> HttpRequest | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            chunk = await asyncio.wait_for(
                reader.read(_READ_BYTES), SERVER_TIMEOUT_S
            )
            conn.receive_data(chunk)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body.extend(event.data)
            if len(body) > MAX_REQUEST_BYTES:
                return None
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            method = head.method.decode('ascii', 'replace')
            target = head.target.decode('ascii', 'replace')
            return HttpRequest(method, target, bytes(body))
        else:
            return None


def _encode_response(
    conn: h11.Connection, request: HttpRequest, response: HttpResponse
) -> bytes:
    headers = [
        ('Content-Type', response.content_type),
        ('Content-Length', str(len(response.body))),
        *response.headers,
    ]
    head = h11.Response(status_code=response.status, headers=headers)
    body = b'' if request.method == 'HEAD' else response.body
    return b''.join(
        (
            conn.send(head) or b'',
            conn.send(h11.Data(data=body)) or b'',
            conn.send(h11.EndOfMessage()) or b'',
        )
    )
