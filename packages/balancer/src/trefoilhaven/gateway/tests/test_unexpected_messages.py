"""Tests of a gateway that receives messages with unusual values."""

import asyncio
import socket
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from trefoilhaven.gateway.tests.test_membership import GatewayFixture
from trefoilhaven_core.connections import messages as connections
from trefoilhaven_core.connections import notices, restorations
from trefoilhaven_core.connections.evacuations import (
    EVACUATIONS_NAME,
    UNKNOWN_EVACUATIONS,
    Evacuations,
    encode_evacuations,
)
from trefoilhaven_core.connections.policies import (
    POLICIES_NAME,
    Policies,
    encode_policies,
)
from trefoilhaven_core.connections.tests.support import key_of, make_segment
from trefoilhaven_core.membership import messages as membership
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.codec import make_codec
from trefoilhaven_core.wire.tests.message_strategies import (
    SEQUENCE_SETTINGS,
    datagrams,
    is_encodable,
    sequences,
    values_of,
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


def notices_of_contents(
    name: str, kind: type[Evacuations] | type[Policies]
) -> st.SearchStrategy[bytes]:
    """Return a strategy of notices whose content has the type of a set.

    The version is often that of the content, so that the content is used.
    """
    contents = values_of(kind).filter(is_encodable)
    versions = st.integers(1, membership.MAX_VERSION)
    built = st.builds(
        lambda content, version, is_same: membership.ConfigurationNotice(
            'g2',
            name,
            content.version if is_same else version,
            msgspec.msgpack.encode(content),
        ),
        contents,
        versions,
        st.booleans(),
    )
    return built.filter(is_encodable).map(make_codec().encode)


CONTENTS = st.one_of(
    notices_of_contents(EVACUATIONS_NAME, Evacuations),
    notices_of_contents(POLICIES_NAME, Policies),
    datagrams(RECEIVED),
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
    @given(raws=st.lists(CONTENTS, min_size=1, max_size=4))
    def test_contents(self, raws: list[bytes]) -> None:
        """Guards against content of a notice that ends the hello loop.

        The loop encodes the versions of what the gateway has in force.
        """
        asyncio.run(self.receive(raws))

    @pytest.mark.parametrize(
        ('name', 'content'),
        [
            (EVACUATIONS_NAME, encode_evacuations(Evacuations(1 << 40, 1))),
            (EVACUATIONS_NAME, encode_evacuations(Evacuations(1, 1 << 43))),
            (EVACUATIONS_NAME, encode_evacuations(Evacuations(1, 7))),
            (POLICIES_NAME, encode_policies(Policies(1 << 63))),
            (POLICIES_NAME, encode_policies(Policies(6))),
        ],
    )
    async def test_content_rejected(
        self, name: str, content: bytes, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Guards against versions that hide those of the store for ever."""
        notice = membership.ConfigurationNotice('g2', name, 5, content)
        gateway = await self.receive([make_codec().encode(notice)])
        assert gateway.state.evacuations == UNKNOWN_EVACUATIONS
        assert gateway.state.policies == Policies()
        assert caplog.text.count('configuration rejected') == 1

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

    async def receive(self, raws: list[bytes]) -> GatewayFixture:
        """Let datagrams arrive, and run a turn of each task."""
        gateway = GatewayFixture()
        now = monotonic()
        state = gateway.state
        state.cfg = state.cfg._replace(evacuations=True)
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
        policies = gateway.task._target_policies  # noqa: SLF001
        policies.send(state.targets())
        gateway.task.membership._ask_peers(now)  # noqa: SLF001
        for sent in gateway.endpoint.sent:
            assert make_codec().encode(sent.message)
            assert socket.inet_aton(sent.address.host)
            assert 0 <= sent.address.port <= MAX_PORT
        return gateway
