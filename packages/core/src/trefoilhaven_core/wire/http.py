"""Small HTTP/1.1 server and client on asyncio streams and ``h11``.

They are for processes that must start quickly: the import of aiohttp takes
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


class HttpClientResponse(NamedTuple):
    """Status, Retry-After header ('' if absent) and body of a response."""

    status: int
    retry_after: str
    body: bytes


class NotSentError(OSError):
    """The connection failed, so the server has not received the request."""


class _ClientConnection(NamedTuple):
    conn: h11.Connection
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class _IdleConnection(NamedTuple):
    """A connection without a request; ``watch`` ends when data arrives."""

    connection: _ClientConnection
    watch: 'asyncio.Task[None]'

    def close(self) -> None:
        self.watch.cancel()
        self.connection.writer.close()


class HttpClient:
    """Client of one HTTP server that keeps idle connections for reuse.

    A connection on which the server sent anything beyond the response is not
    used again: a second copy of a response would be taken for that to the
    next request.
    """

    def __init__(self, address: Address) -> None:
        """Prepare a client; it connects on its first request."""
        self._address = address
        self._idle: list[_IdleConnection] = []

    async def request(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
    ) -> HttpClientResponse:
        """Send one request and return its response.

        Raises ``NotSentError`` when the server has certainly not received
        the request, and ``OSError`` or ``TimeoutError`` when it may have.
        """
        async with asyncio.timeout(timeout_s):
            connection = await self._connect()
            try:
                response = await self._exchange(
                    connection, method, target, body
                )
            except (h11.ProtocolError, EOFError) as exc:
                connection.writer.close()
                raise ConnectionError(f'invalid response: {exc}') from exc
            except BaseException:
                # On a reused connection, a late response to this request
                # would be taken for that to the next one.
                connection.writer.close()
                raise
        self._release(connection)
        return response

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _release(self, connection: _ClientConnection) -> None:
        """Keep a connection whose response is complete, or close it."""
        conn = connection.conn
        excess, is_closed = conn.trailing_data
        if conn.their_state is not h11.DONE or excess or is_closed:
            connection.writer.close()
            return
        conn.start_next_cycle()
        watch = asyncio.create_task(_wait_for_data(connection.reader))
        self._idle.append(_IdleConnection(connection, watch))

    async def _connect(self) -> _ClientConnection:
        while self._idle:
            idle = self._idle.pop()
            idle.watch.cancel()
            await asyncio.wait([idle.watch])
            if idle.watch.cancelled():
                return idle.connection
            idle.close()
        try:
            reader, writer = await asyncio.open_connection(*self._address)
        except OSError as exc:
            raise NotSentError(f'not reachable: {exc}') from exc
        return _ClientConnection(h11.Connection(h11.CLIENT), reader, writer)

    async def _exchange(
        self,
        connection: _ClientConnection,
        method: str,
        target: str,
        body: bytes,
    ) -> HttpClientResponse:
        conn = connection.conn
        headers = [
            ('Host', f'{self._address.host}:{self._address.port}'),
            ('Content-Length', str(len(body))),
        ]
        if body:
            headers.append(('Content-Type', 'application/json'))
        head = h11.Request(method=method, target=target, headers=headers)
        parts = [conn.send(head), conn.send(h11.Data(data=body))]
        parts.append(conn.send(h11.EndOfMessage()))
        connection.writer.write(b''.join(part or b'' for part in parts))
        await connection.writer.drain()
        return await self._read_response(connection)

    async def _read_response(
        self, connection: _ClientConnection
    ) -> HttpClientResponse:
        conn = connection.conn
        status = 0
        retry_after = ''
        body = bytearray()
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await connection.reader.read(_READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
                found = dict(event.headers).get(b'retry-after', b'')
                retry_after = found.decode('ascii', 'replace')
            elif isinstance(event, h11.Data):
                body.extend(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return HttpClientResponse(status, retry_after, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError('connection closed before the response ended')


async def _wait_for_data(reader: asyncio.StreamReader) -> None:
    """Return when data arrives, or at the end of the connection."""
    with contextlib.suppress(OSError):
        await reader.read(1)
