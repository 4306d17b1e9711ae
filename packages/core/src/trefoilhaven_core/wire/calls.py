"""Client of the gRPC method ``Peers.Call``."""

from typing import Final, NamedTuple

from expression import Error, Result
from grpclib import GRPCError
from grpclib.client import Channel
from grpclib.exceptions import ProtocolError, StreamTerminatedError

from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.settings import defaults
from trefoilhaven_core.wire.codec import Codec, Decoded, make_codec
from trefoilhaven_core.wire.proto.calls_grpc import PeersStub
from trefoilhaven_core.wire.proto.calls_pb2 import Packed

_CODEC: Final = make_codec()


class CallError(NamedTuple):
    """Why a call gave no usable answer.

    ``reason`` is a phrase that follows the address, such as
    ``is unreachable``.
    """

    address: Address
    reason: str

    def __str__(self) -> str:
        """Return the error as one line of text."""
        host, port = self.address
        return f'{host}:{port} {self.reason}'


async def call_peer(
    address: Address,
    message: NamedTuple,
    *,
    codec: Codec = _CODEC,
    clock: int = 0,
    timeout_s: float = defaults.PEER_CALL_TIMEOUT_S,
) -> Result[Decoded, CallError]:
    """Send a message to a process over a new connection; return its answer.

    ``clock`` is the caller's timestamp, which is sent with the message; it is
    for the caller to adopt the ``clock`` of the answer. Frequent callers keep
    a channel open and use ``call_channel``.
    """
    channel = Channel(address.host, address.port)
    try:
        return await call_channel(
            channel,
            address,
            message,
            codec=codec,
            clock=clock,
            timeout_s=timeout_s,
        )
    finally:
        channel.close()


async def call_channel(
    channel: Channel,
    address: Address,
    message: NamedTuple,
    *,
    codec: Codec = _CODEC,
    clock: int = 0,
    timeout_s: float = defaults.PEER_CALL_TIMEOUT_S,
) -> Result[Decoded, CallError]:
    """Send a message over an open channel and return the answer.

    ``clock`` is as in ``call_peer``.
    """
    packed = Packed(content=codec.encode(message, clock))
    try:
        reply = await PeersStub(channel).Call(packed, timeout=timeout_s)
    except TimeoutError:
        return Error(
            CallError(address, f'did not answer within {timeout_s:g} s')
        )
    except GRPCError as exc:
        status = exc.status.name.lower().replace('_', ' ')
        return Error(CallError(address, f'refused: {status}: {exc.message}'))
    except (OSError, StreamTerminatedError, ProtocolError) as exc:
        cause = str(exc) or type(exc).__name__
        return Error(CallError(address, f'is unreachable: {cause}'))
    return codec.decode(reply.content).map_error(
        lambda error: CallError(
            address,
            f'sent a malformed answer: {error.reason}',
        ),
    )
