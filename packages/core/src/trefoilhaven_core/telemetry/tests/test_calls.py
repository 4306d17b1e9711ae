"""Tests of calls between processes over gRPC."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from grpclib.server import Server, Stream

from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.telemetry.messages import DrainReply, DrainRequest
from trefoilhaven_core.wire.calls import call_peer
from trefoilhaven_core.wire.codec import make_codec
from trefoilhaven_core.wire.proto.calls_grpc import PeersBase
from trefoilhaven_core.wire.proto.calls_pb2 import Packed

_CODEC = make_codec()
_REQUEST = DrainRequest('certify', 'certify-1', drain=True)


class _Peer(PeersBase):
    """Answers according to the service name in the request."""

    async def Call(self, stream: Stream[Packed, Packed]) -> None:  # noqa: N802
        packed = await stream.recv_message()
        assert packed is not None
        asked = _CODEC.decode(packed.content).ok.message
        if asked == _REQUEST._replace(service='silent'):
            await asyncio.Event().wait()
        content = _CODEC.encode(DrainReply(True, ''))
        if asked == _REQUEST._replace(service='garbled'):
            content = content[:-1]
        await stream.send_message(Packed(content=content))


@pytest.fixture(name='address')
async def _address(unused_tcp_port: int) -> AsyncIterator[Address]:
    server = Server([_Peer()])
    await server.start('127.0.0.1', unused_tcp_port)
    yield Address('127.0.0.1', unused_tcp_port)
    server.close()
    await server.wait_closed()


class TestCallPeer:
    """Answers and failures of one call."""

    async def test_answer(self, address: Address) -> None:
        """Guards against a call that loses the answer's type."""
        answer = await call_peer(address, _REQUEST, codec=_CODEC)
        assert answer.ok.message == DrainReply(True, '')

    @pytest.mark.parametrize(
        ('service', 'reason'),
        [
            ('silent', 'did not answer within 0.2 s'),
            ('garbled', 'sent a malformed answer'),
        ],
    )
    async def test_failures(
        self,
        address: Address,
        service: str,
        reason: str,
    ) -> None:
        """Guards against a call that raises or never ends."""
        request = _REQUEST._replace(service=service)
        answer = await call_peer(
            address,
            request,
            codec=_CODEC,
            timeout_s=0.2,
        )
        assert reason in str(answer.error)

    async def test_connection_refused(self, unused_tcp_port: int) -> None:
        """Guards against an error that does not name the address."""
        address = Address('127.0.0.1', unused_tcp_port)
        answer = await call_peer(address, _REQUEST, codec=_CODEC)
        assert str(answer.error).startswith(
            f'127.0.0.1:{unused_tcp_port} is unreachable',
        )
