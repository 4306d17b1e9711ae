"""Pool of gRPC channels, and errors and deadlines of gRPC calls."""

import asyncio
from typing import Any, Final

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Stream

from trefoilhaven_core.membership.messages import Address

# Exceptions of a call whose peer is unreachable, refuses the call or does not
# answer in time.
CALL_ERRORS: Final = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    asyncio.TimeoutError,
)

# Deadline of calls whose caller sets none, in seconds.
DEFAULT_DEADLINE_S: Final = 30.0


def remaining_s(stream: Stream[Any, Any]) -> float:
    """Return the seconds until the deadline of a call to this process."""
    if stream.deadline is None:
        return DEFAULT_DEADLINE_S
    return float(stream.deadline.time_remaining())


class ChannelPool:
    """Channels by address, kept open between calls.

    A channel connects on its first call and reconnects after its
    connection breaks.
    """

    def __init__(self) -> None:
        self._channels: dict[Address, Channel] = {}

    def get(self, address: Address) -> Channel:
        """Return the channel of an address; create it if there is none."""
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
