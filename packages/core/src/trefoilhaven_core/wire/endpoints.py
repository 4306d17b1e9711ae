"""UDP endpoints for the messages between the system's processes.

A ``DatagramEndpoint`` owns one UDP socket, decodes each datagram and passes
its message to the handler of its type. A malformed datagram is counted and
dropped; a line with its sender is logged at most once per second for each
endpoint.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.telemetry.logs import RateLimitedLog
from trefoilhaven_core.telemetry.metrics import Metrics
from trefoilhaven_core.telemetry.runtimes import ProcessClock
from trefoilhaven_core.wire.codec import Codec, DecodeError
from trefoilhaven_core.wire.raw import RawEndpoint, open_raw

logger = logging.getLogger(__name__)

# Receive buffer of a socket in bytes, enough for a burst of 4,000 packets.
MESSAGE_BUFFER_BYTES: Final = 4 * 1024 * 1024

Handler = Callable[[Any, Address], None]


class DatagramCounters:
    """Datagram counts of one socket.

    ``unexpected`` counts the messages of a type without a handler.
    """

    def __init__(self) -> None:
        self.received = 0
        self.received_bytes = 0
        self.sent = 0
        self.sent_bytes = 0
        self.malformed = 0
        self.unexpected = 0


class DatagramEndpoint:
    """One UDP socket with handlers by message type."""

    def __init__(self, codec: Codec, clock: ProcessClock) -> None:
        """Prepare an endpoint; ``open_endpoint`` opens its socket."""
        self.counters = DatagramCounters()
        self._codec = codec
        self._clock = clock
        self._handlers: dict[type[NamedTuple], Handler] = {}
        self._raw: RawEndpoint | None = None
        self._log = RateLimitedLog(logger)

    def on(self, kind: type[NamedTuple], handler: Handler) -> None:
        """Register the handler of a message type."""
        self._handlers[kind] = handler

    def open(self, address: Address) -> None:
        """Open the socket; raises ``OSError`` when the address is in use."""
        self._raw = open_raw(
            address, self.datagram_received, MESSAGE_BUFFER_BYTES
        )

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode one datagram and call the handler of its type."""
        self.counters.received += 1
        self.counters.received_bytes += len(data)
        decoded = self._codec.read(data)
        if isinstance(decoded, DecodeError):
            self.counters.malformed += 1
            self._log.warn(
                asyncio.get_running_loop().time(),
                'malformed',
                'malformed datagram dropped',
                sender=f'{addr[0]}:{addr[1]}',
                reason=decoded.reason,
                count=self.counters.malformed,
            )
            return
        self._clock.observe(decoded.clock)
        handler = self._handlers.get(type(decoded.message))
        if handler is None:
            self.counters.unexpected += 1
            return
        handler(decoded.message, Address(*addr))

    def send(self, message: NamedTuple, *addresses: Address) -> None:
        """Send a message to each address; a closed socket drops it."""
        if self._raw is None:
            return
        raw = self._codec.encode(message, self._clock.stamp())
        self.counters.sent += len(addresses)
        self.counters.sent_bytes += len(raw) * len(addresses)
        for address in addresses:
            self._raw.send(raw, address)

    def close(self) -> None:
        """Close the socket."""
        if self._raw is not None:
            self._raw.close()
            self._raw = None


async def open_endpoint(
    address: Address,
    codec: Codec,
    clock: ProcessClock,
) -> DatagramEndpoint:
    """Open a UDP socket at an address and return its endpoint.

    Raises ``OSError`` when the address is in use or not one of this host.
    """
    endpoint = DatagramEndpoint(codec, clock)
    endpoint.open(address)
    return endpoint


def register_endpoint_metrics(
    metrics: Metrics,
    name: str,
    endpoint: DatagramEndpoint,
) -> None:
    """Register the counts of an endpoint as metrics that start with a name."""
    counters = endpoint.counters
    metrics.observable_counter(f'{name}_received', lambda: counters.received)
    metrics.observable_counter(
        f'{name}_received_bytes', lambda: counters.received_bytes
    )
    metrics.observable_counter(f'{name}_sent', lambda: counters.sent)
    metrics.observable_counter(
        f'{name}_sent_bytes', lambda: counters.sent_bytes
    )
    metrics.observable_counter(f'{name}_malformed', lambda: counters.malformed)
    metrics.observable_counter(
        f'{name}_unexpected', lambda: counters.unexpected
    )
