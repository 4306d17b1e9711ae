"""Server of the gRPC method ``Peers.Call``."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from trefoilhaven_core.telemetry.runtimes import ProcessClock
from trefoilhaven_core.wire.codec import Codec
from trefoilhaven_core.wire.proto.calls_grpc import PeersBase
from trefoilhaven_core.wire.proto.calls_pb2 import Packed

logger = logging.getLogger(__name__)

CallHandler = Callable[[Any], Awaitable[NamedTuple]]


class PeerService(PeersBase):
    """Passes each call to the handler of its message's type."""

    def __init__(self, codec: Codec, clock: ProcessClock) -> None:
        self._codec = codec
        self._clock = clock
        self._handlers: dict[type[NamedTuple], CallHandler] = {}

    def on(self, kind: type[NamedTuple], handler: CallHandler) -> None:
        """Register the handler of a message type."""
        self._handlers[kind] = handler

    async def Call(self, stream: Stream[Packed, Packed]) -> None:  # noqa: N802
        """Decode one call, run its handler and send the reply.

        Raises ``GRPCError`` when the message is malformed or has no handler.
        """
        req = await stream.recv_message()
        decoded = self._codec.decode(req.content if req else b'')
        if decoded.is_error():
            raise GRPCError(Status.INVALID_ARGUMENT, decoded.error.reason)
        self._clock.observe(decoded.ok.clock)
        kind = type(decoded.ok.message)
        handler = self._handlers.get(kind)
        if handler is None:
            raise GRPCError(Status.UNIMPLEMENTED, f'no calls of {kind}')
        reply = await handler(decoded.ok.message)
        content = self._codec.encode(reply, self._clock.stamp())
        await stream.send_message(Packed(content=content))
