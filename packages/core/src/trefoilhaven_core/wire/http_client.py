"""Small HTTP/1.1 client on asyncio streams and ``h11``.

It is for processes that must start quickly, as the server in ``wire.http``.
"""

import asyncio
import contextlib
from typing import Final, NamedTuple

import h11

from trefoilhaven_core.membership.messages import Address

_READ_BYTES: Final = 65_536


class HttpClientResponse(NamedTuple):
    """Status, Retry-After header ('' if absent) and body of a response.

    ``headers`` has all headers with their names in lower case.
    """

    status: int
    retry_after: str
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()

    def header(self, name: bytes) -> str:
        """Return the header of a name in lower case, '' if absent."""
        return _decode_header(dict(self.headers).get(name, b''))


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

    async def is_usable(self) -> bool:
        """End the watch; return whether nothing has arrived."""
        self.watch.cancel()
        try:
            await asyncio.wait([self.watch])
        except asyncio.CancelledError:
            self.close()
            raise
        return self.watch.cancelled()

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
            if await idle.is_usable():
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
        headers: tuple[tuple[bytes, bytes], ...] = ()
        body = bytearray()
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await connection.reader.read(_READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = tuple(
                    (bytes(name), bytes(each)) for name, each in event.headers
                )
            elif isinstance(event, h11.Data):
                body.extend(event.data)
            elif isinstance(event, h11.EndOfMessage):
                retry_after = dict(headers).get(b'retry-after', b'')
                return HttpClientResponse(
                    status, _decode_header(retry_after), bytes(body), headers
                )
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError('connection closed before the response ended')


def _decode_header(content: bytes) -> str:
    return content.decode('ascii', 'replace')


async def _wait_for_data(reader: asyncio.StreamReader) -> None:
    """Return when data arrives, or at the end of the connection."""
    with contextlib.suppress(OSError):
        await reader.read(1)
