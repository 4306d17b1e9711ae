"""Open gRPC channels of a process, and what all gRPC calls share."""

import asyncio
from typing import Any, Final

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Stream

from trefoilhaven_core.membership.messages import Address

# What a call raises when the peer is gone, refuses or stays silent.
CALL_ERRORS: Final = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    asyncio.TimeoutError,
)


# Callers that set no deadline of their own wait this long.
DEFAULT_DEADLINE_S: Final = 30.0


def remaining_s(stream: Stream[Any, Any]) -> float:
    """Return the seconds until the deadline of a call that is served."""
    if stream.deadline is None:
        return DEFAULT_DEADLINE_S
    return float(stream.deadline.time_remaining())


class ChannelPool:
    """Channels that stay open between calls.

    A channel connects with its first call and again after a broken
    connection.
    """

    def __init__(self) -> None:
        """Start without channels."""
        self._channels: dict[Address, Channel] = {}

    def get(self, address: Address) -> Channel:
        """Return the channel of an address."""
        channel = self._channels.get(address)
        if channel is None:
            channel = Channel(address.host, address.port)
            self._channels[address] = channel
        return channel

    def keep_only(self, addresses: frozenset[Address]) -> None:
        """Close the channels of all other addresses."""
        for address in tuple(self._channels):
            if address not in addresses:
                self._channels.pop(address).close()

    def close(self) -> None:
        """Close all channels."""
        self.keep_only(frozenset())
