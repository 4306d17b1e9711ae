"""UDP sockets that are read in bursts.

asyncio's datagram transport reads one datagram each time that it waits,
so that a burst costs a system call and a wake-up for each of its packets.
"""

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Final

from trefoilhaven_core.membership.messages import Address

logger = logging.getLogger(__name__)

# Receive buffer of a socket in bytes, enough for a burst of 800 segments.
# Unread bytes count as memory of the process.
RECEIVE_BUFFER_BYTES: Final = 1024 * 1024

# Datagrams read from one socket before the loop turns to the next.
READ_BURST: Final = 32

_READ_BYTES: Final = 65_536

RawHandler = Callable[[bytes, tuple[str, int]], None]


class RawEndpoint:
    """One UDP socket with a handler for its datagrams and their senders."""

    def __init__(self, sock: socket.socket, handler: RawHandler) -> None:
        """Read a bound socket in the running loop."""
        self.received = 0
        self.sent = 0
        self.unsent = 0
        self._sock = sock
        self._handler = handler
        asyncio.get_running_loop().add_reader(sock.fileno(), self._read)

    def send(self, raw: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; one that can't be sent is dropped and counted."""
        if self._sock.fileno() < 0:
            return
        try:
            self._sock.sendto(raw, address)
        except OSError as exc:
            # A full buffer, or the answer that an earlier datagram found no
            # receiver: both are a lost packet to the protocols above.
            self.unsent += 1
            logger.debug('datagram not sent', extra={'error': str(exc)})
            return
        self.sent += 1

    def close(self) -> None:
        """Close the socket."""
        if self._sock.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._sock.close()

    def _read(self) -> None:
        for _ in range(READ_BURST):
            if self._sock.fileno() < 0:
                return
            try:
                raw, sender = self._sock.recvfrom(_READ_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                # A refused datagram: the receiver may be restarting.
                logger.debug('socket error', extra={'error': str(exc)})
                continue
            self.received += 1
            self._handler(raw, sender)


def open_raw(
    address: Address,
    handler: RawHandler,
    buffer_bytes: int = RECEIVE_BUFFER_BYTES,
) -> RawEndpoint:
    """Open a UDP socket; raises ``OSError`` when the address is taken."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    sock.setblocking(False)
    try:
        sock.bind((address.host, address.port))
    except OSError:
        sock.close()
        raise
    return RawEndpoint(sock, handler)
