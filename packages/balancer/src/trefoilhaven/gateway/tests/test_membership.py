"""Tests of the confirmation of the list of targets among gateways."""

import random
from typing import NamedTuple
from unittest import mock

import pytest
from trefoilhaven.gateway.discovery import DiscoveryTask
from trefoilhaven.gateway.segments import SegmentTask
from trefoilhaven.gateway.state import GatewayState
from trefoilhaven.gateway.tests.test_discovery import (
    HandlerRecorder,
    make_member,
    make_state,
)
from trefoilhaven_core.connections.messages import TargetsQuery, TargetsReply
from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    Member,
    MemberState,
)
from trefoilhaven_core.platform.adapters import PlatformAdapter
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.codec import make_codec
from trefoilhaven_core.wire.endpoints import DatagramEndpoint

PEER = Address('127.0.0.2', 7000)


class Sent(NamedTuple):
    """A message that the gateway sent."""

    message: NamedTuple
    address: Address


class RecordingEndpoint(DatagramEndpoint):
    """An endpoint that records its messages instead of sending them."""

    def __init__(self, state: GatewayState) -> None:
        """Start without messages."""
        super().__init__(make_codec(), state.runtime.clock)
        self.sent: list[Sent] = []

    def send(self, message: NamedTuple, *addresses: Address) -> None:
        """Record a message."""
        self.sent.extend(Sent(message, address) for address in addresses)


class GatewayFixture:
    """A gateway that knows one target and one peer."""

    def __init__(
        self, *, is_complete: bool = True, state_offers: bool = True
    ) -> None:
        """Start with a complete list of targets, or without any record."""
        self.state = make_state(state_offers)
        self.endpoint = RecordingEndpoint(self.state)
        clock = self.state.runtime.clock
        transfers = HandlerRecorder(codec=make_codec(), clock=clock)
        adapter = mock.Mock(spec=PlatformAdapter)
        segments = SegmentTask(self.state, adapter, self.endpoint)
        self.task = DiscoveryTask(
            self.state,
            adapter,
            self.endpoint,
            transfers,
            segments,
            random.Random(1),
        )
        if not is_complete:
            return
        peer = BalancerRecord('g2', 'a', 1, 1, MemberState.alive, PEER, PEER)
        self.state.store.merge([make_member('t1')], [peer])
        self.state.refresh(['certify'])
        self.state.set_membership_complete(monotonic())
        self.endpoint.sent.clear()

    def ask(self) -> TargetsQuery:
        """Return the query that the gateway sends to its peer."""
        self.task.membership._ask_peers(monotonic())  # noqa: SLF001
        sent = self.endpoint.sent[-1]
        assert sent.address == PEER
        assert isinstance(sent.message, TargetsQuery)
        return sent.message

    def receive(self, reply: TargetsReply) -> None:
        """Let the peer's reply arrive."""
        self.task.membership._on_targets_reply(reply, PEER)  # noqa: SLF001

    def confirmed_as_of(self) -> float:
        """Return the time as of which the list is confirmed."""
        return self.state.confirmation.confirmed_as_of(
            monotonic(), is_connected=False
        )


@pytest.fixture(name='gateway')
def gateway_fixture() -> GatewayFixture:
    """Return a gateway."""
    return GatewayFixture()


class TestConfirmation:
    """Queries and replies about targets."""

    @pytest.mark.parametrize('members', [(), (make_member('t2'),)])
    def test_reply(
        self, gateway: GatewayFixture, members: tuple[Member, ...]
    ) -> None:
        """Guards against a confirmation before missing targets are known."""
        query = gateway.ask()
        reply = TargetsReply('g2', query.sent_at, members, is_partial=False)
        gateway.receive(reply)
        assert gateway.confirmed_as_of() == query.sent_at
        assert set(members) <= set(gateway.state.targets())

    def test_partial_reply(self, gateway: GatewayFixture) -> None:
        """Guards against a confirmation by a peer that has just started."""
        query = gateway.ask()
        reply = TargetsReply('g2', query.sent_at, (), is_partial=True)
        gateway.receive(reply)
        assert gateway.confirmed_as_of() < query.sent_at

    def test_answer(self, gateway: GatewayFixture) -> None:
        """Guards against peers that never get an answer."""
        query = TargetsQuery('g2', 7.0, 0, b'')
        gateway.task.membership._on_targets_query(  # noqa: SLF001
            query, PEER
        )
        reply = TargetsReply('g1', 7.0, (make_member('t1'),), False)
        assert gateway.endpoint.sent == [Sent(reply, PEER)]
