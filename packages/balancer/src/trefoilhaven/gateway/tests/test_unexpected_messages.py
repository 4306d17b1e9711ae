"""Tests of a gateway that receives messages with unusual values."""

import asyncio
import socket
from typing import Any

from hypothesis import given
from trefoilhaven.gateway.tests.test_membership import GatewayFixture
from trefoilhaven_core.connections import messages as connections
from trefoilhaven_core.connections import notices, restorations
from trefoilhaven_core.connections.tests.support import key_of, make_segment
from trefoilhaven_core.membership import messages as membership
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.codec import make_codec
from trefoilhaven_core.wire.tests.message_strategies import (
    SEQUENCE_SETTINGS,
    sequences,
)

SENDER = ('127.0.0.9', 7000)
MAX_PORT = 65_535

RECEIVED = (
    membership.Changes,
    membership.Digest,
    membership.ConfigurationNotice,
    membership.RegistryNotice,
    connections.SegmentReturn,
    connections.HolderReply,
    connections.ConnectionAccepted,
    connections.TargetReport,
    connections.RouteQuery,
    connections.RouteReply,
    connections.TargetsQuery,
    connections.TargetsReply,
    restorations.HeardQuery,
    restorations.HeardReply,
    notices.StateOffer,
)


class TestUnexpectedMessages:
    """Messages that a peer or an agent of another version may send."""

    @SEQUENCE_SETTINGS
    @given(raws=sequences(RECEIVED))
    def test_tasks_go_on(self, raws: list[bytes]) -> None:
        """Guards against a message that ends the process.

        An error in a handler is logged, but one in a task ends the process,
        as the tasks use what the handlers have stored.
        """
        asyncio.run(self.receive(raws))

    @SEQUENCE_SETTINGS
    @given(raws=sequences([notices.StateOffer]))
    def test_offers_at_start(self, raws: list[bytes]) -> None:
        """Guards against an offer that ends the fetch of the state."""
        asyncio.run(self.receive_at_start(raws))

    async def receive_at_start(self, raws: list[bytes]) -> None:
        """Let offers arrive at a gateway that knows nobody."""
        gateway = GatewayFixture(is_complete=False)
        recovery = gateway.task.membership._recovery  # noqa: SLF001
        for raw in raws:
            gateway.endpoint.datagram_received(raw, SENDER)
        now = monotonic()
        for step in range(len(raws) + 1):
            source = recovery.sources.next_source(now + step, ())
            if source is not None:
                assert recovery.sources.timeout_s(source) > 0
                recovery.sources.on_failure(now + step, source)

    async def receive(self, raws: list[bytes]) -> None:
        """Let datagrams arrive, and run a turn of each task."""
        gateway = GatewayFixture()
        now = monotonic()
        state = gateway.state
        segment = make_segment(key_of(1))
        codec: Any = gateway.task._adapter.codec  # noqa: SLF001
        codec.decode_from_client.return_value = segment
        codec.encode_reset.return_value = b''
        state.router.on_segment(now, segment)
        for raw in raws:
            gateway.endpoint.datagram_received(raw, SENDER)
        for step in range(3):
            state.router.tick(now + step)
            state.store.forget(now + step)
            state.refresh_peers()
            detections = gateway.task.gossip.detector.tick(now + step)
            gateway.task.gossip.tick(now + step, detections.probes)
        gateway.task.membership._send_hello(state.targets())  # noqa: SLF001
        gateway.task.membership._ask_peers(now)  # noqa: SLF001
        for sent in gateway.endpoint.sent:
            assert make_codec().encode(sent.message)
            assert socket.inet_aton(sent.address.host)
            assert 0 <= sent.address.port <= MAX_PORT
