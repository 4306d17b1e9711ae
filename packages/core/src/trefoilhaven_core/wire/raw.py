"""UDP sockets that are read in bursts, without decoding the datagrams.

asyncio's datagram transport reads one datagram per wake-up of the event
loop, so that a burst costs a system call and a wake-up for each packet.
"""

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Final

from trefoilhaven_core.membership.messages import Address

logger = logging.getLogger(__name__)

# Receive buffer of a socket in bytes, enough for a burst of 800 segments.
# Unread data counts towards the memory of the process.
RECEIVE_BUFFER_BYTES: Final = 1024 * 1024

# Maximum number of datagrams read from a socket before the event loop serves
# the next one.
READ_BURST: Final = 32

_READ_BYTES: Final = 65_536

RawHandler = Callable[[bytes, tuple[str, int]], None]


class RawEndpoint:
    """One UDP socket with a handler for its datagrams and their senders."""

    def __init__(self, sock: socket.socket, handler: RawHandler) -> None:
        """Register a bound socket with the running event loop."""
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
            # The buffer is full, or an earlier datagram was reported as
            # undeliverable. The protocols above treat both as packet loss.
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
                # An earlier datagram was refused: its receiver may be
                # restarting.
                logger.debug(
                    'error on receiving a datagram', extra={'error': str(exc)}
                )
                continue
            self.received += 1
            self._handler(raw, sender)


def open_raw(
    address: Address,
    handler: RawHandler,
    buffer_bytes: int = RECEIVE_BUFFER_BYTES,
) -> RawEndpoint:
    """Open a UDP socket; raises ``OSError`` when the address is in use."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    sock.setblocking(False)
    try:
        sock.bind((address.host, address.port))
    except OSError:
        sock.close()
        raise
    return RawEndpoint(sock, handler)
