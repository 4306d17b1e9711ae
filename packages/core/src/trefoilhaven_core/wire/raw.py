"""UDP sockets whose datagrams are not the product's own messages."""

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Final, cast

from trefoilhaven_core.membership.messages import Address

logger = logging.getLogger(__name__)

# Receive buffer of a socket in bytes, enough for a burst of 800 segments.
# Unread bytes count as memory of the process.
RECEIVE_BUFFER_BYTES: Final = 1024 * 1024

RawHandler = Callable[[bytes], None]


class RawEndpoint(asyncio.DatagramProtocol):
    """One UDP socket with a handler for its datagrams."""

    def __init__(self, handler: RawHandler) -> None:
        """Prepare an endpoint; ``open_raw`` opens its socket."""
        self.received = 0
        self.sent = 0
        self._handler = handler
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the opened socket."""
        # asyncio's own datagram transport is not a subclass of this type.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand a datagram to the handler."""
        self.received += 1
        self._handler(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore refused datagrams: the receiver may be restarting."""
        logger.debug('socket error', extra={'error': str(exc)})

    def send(self, raw: bytes, address: Address) -> None:
        """Send a datagram; a closed socket drops it like a lost packet."""
        if self._transport is None or self._transport.is_closing():
            return
        self.sent += 1
        self._transport.sendto(raw, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


async def open_raw(address: Address, handler: RawHandler) -> RawEndpoint:
    """Open a UDP socket; raises ``OSError`` when the address is taken."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind((address.host, address.port))
    _, protocol = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: RawEndpoint(handler),
        sock=sock,
    )
    return protocol
