"""Tests of a gateway that starts without the store, and of its peers."""

import asyncio
import random
from typing import Any
from unittest import mock

import pytest
from expression import Error, Ok, Result
from trefoilhaven.gateway.recovery import ASKING_INTERVAL_S, RecoveryTask
from trefoilhaven.gateway.state import MAX_REPORT_WAIT_S
from trefoilhaven.gateway.tests.test_discovery import CONTROL, make_member
from trefoilhaven.gateway.tests.test_membership import (
    PEER,
    GatewayFixture,
    Sent,
)
from trefoilhaven_core.connections.messages import (
    BalancerHello,
    ConnectionLoad,
    TargetReport,
    TargetsReply,
)
from trefoilhaven_core.connections.notices import StateOffer
from trefoilhaven_core.connections.route_codec import ROUTES_NAME, encode_routes
from trefoilhaven_core.connections.routes import RouteConfiguration
from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    Configuration,
    Digest,
    MemberState,
    State,
)
from trefoilhaven_core.membership.offers import OfferSchedule
from trefoilhaven_core.membership.sources import Source, agent_sender
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.transfers import TransferError

TIMEOUT_S = 5.0
POLL_S = 0.02
AGENT = Address('127.0.0.9', 7000)
COPY = Source(agent_sender('s1'), AGENT)
RECORD = BalancerRecord('g2', 'a', 1, 1, MemberState.alive, PEER, PEER)
ROUTES = encode_routes(RouteConfiguration(1, (), 15))


def make_copy() -> State:
    """Return an agent's copy of the state."""
    routes = Configuration(ROUTES_NAME, 1, ROUTES)
    return State(COPY.name, (make_member('t1'),), (RECORD,), (), (routes,))


def report(gateway: GatewayFixture) -> None:
    """Let the report of an agent arrive."""
    report = TargetReport(
        make_member('t1'), ConnectionLoad(), is_cold=False, is_silent=False
    )
    gateway.task.membership._on_report(report, AGENT)  # noqa: SLF001


def recovery(gateway: GatewayFixture) -> RecoveryTask:
    """Return the task under test."""
    return gateway.task.membership._recovery  # noqa: SLF001


async def fetch(
    gateway: GatewayFixture, source: Source, result: Result[State, Any]
) -> None:
    """Let a gateway fetch a state, or fail to."""
    task = recovery(gateway)
    call = mock.AsyncMock(return_value=result)
    with mock.patch.object(task._transfers, 'call', call):  # noqa: SLF001
        await task._fetch(source)  # noqa: SLF001


@pytest.fixture(name='empty')
def empty_fixture() -> GatewayFixture:
    """Return a gateway that has just started and knows nobody."""
    return GatewayFixture(is_complete=False)


@pytest.fixture(name='informed')
def informed_fixture() -> GatewayFixture:
    """Return a gateway that knows the state."""
    gateway = GatewayFixture()
    gateway.task.membership._set_membership_complete(  # noqa: SLF001
        'the store'
    )
    gateway.endpoint.sent.clear()
    return gateway


class TestStart:
    """A gateway that knows nobody."""

    def test_report(self, empty: GatewayFixture) -> None:
        """Guards against a gateway that does not ask who reports to it."""
        report(empty)
        message, address = empty.endpoint.sent[-1]
        assert isinstance(message, BalancerHello)
        assert message.interval_s == ASKING_INTERVAL_S
        assert address == AGENT

    async def test_copy(self, empty: GatewayFixture) -> None:
        """Guards against an agent's copy that is taken as complete.

        The gateway is ready once a target has reported, but no search of it
        may end with a reset.
        """
        state = empty.state
        assert state.not_ready_reason(monotonic())
        await fetch(empty, COPY, Ok(make_copy()))
        later = monotonic() + MAX_REPORT_WAIT_S
        assert 'reported' in state.not_ready_reason(later)
        report(empty)
        assert not state.not_ready_reason(monotonic())
        assert not state.router.searches.is_membership_complete

    async def test_peer(self, empty: GatewayFixture) -> None:
        """Guards against a list that never becomes complete."""
        await fetch(empty, COPY, Ok(make_copy()))
        state = make_copy()._replace(sender='g2')
        await fetch(empty, Source('g2', PEER), Ok(state))
        assert empty.state.router.searches.is_membership_complete
        assert not empty.state.not_ready_reason(monotonic() + MAX_REPORT_WAIT_S)

    async def test_stays_ready(self, empty: GatewayFixture) -> None:
        """Guards against a gateway that leaves the rotation again.

        Its list becomes complete, and most targets in it have ended.
        """
        await fetch(empty, COPY, Ok(make_copy()))
        report(empty)
        ended = [make_member(f'u{number}') for number in range(9)]
        later = monotonic() + MAX_REPORT_WAIT_S
        state = make_copy()._replace(sender='g2', members=tuple(ended))
        await fetch(empty, Source('g2', PEER), Ok(state))
        assert not empty.state.not_ready_reason(later)

    async def test_failure(self, empty: GatewayFixture) -> None:
        """Guards against a gateway that asks a lost host again at once."""
        task = recovery(empty)
        task._on_offer(StateOffer(*COPY), AGENT)  # noqa: SLF001
        await fetch(empty, COPY, Error(TransferError('away')))
        sources = task.sources
        assert sources.next_source(monotonic(), ()) is None


class TestDisabled:
    """A gateway whose settings do not enable offers."""

    async def test_silent(self) -> None:
        """Guards against changes where they are not enabled."""
        gateway = GatewayFixture(is_complete=False, state_offers=False)
        report(gateway)
        await recovery(gateway).run()
        gateway.task.membership._set_membership_complete(  # noqa: SLF001
            'the store'
        )
        sent = [each.message for each in gateway.endpoint.sent]
        assert all(
            isinstance(each, BalancerHello) and each.interval_s > 0
            for each in sent
        )
        own = gateway.state.store.balancer('g1')
        assert own is not None
        assert own.sequence == 1


class TestOffers:
    """A gateway that knows the state."""

    def test_offered_to_complete(self, informed: GatewayFixture) -> None:
        """Guards against offers that go on to a gateway that is complete."""
        offer = StateOffer('g2', PEER)
        recovery(informed)._on_offer(offer, PEER)  # noqa: SLF001
        reply = TargetsReply('g1', 0.0, (), is_partial=False)
        assert informed.endpoint.sent == [Sent(reply, PEER)]

    def test_answer(self, informed: GatewayFixture) -> None:
        """Guards against a list that an answer to an offer confirms."""
        schedule = recovery(informed).schedule
        schedule.on_restarted(0, 'g2')
        before = informed.confirmed_as_of()
        informed.ask()
        informed.receive(TargetsReply('g2', 0.0, (), is_partial=False))
        assert informed.confirmed_as_of() == before
        assert not schedule.pending

    def test_empty_digest(self, informed: GatewayFixture) -> None:
        """Guards against a restarted peer that is not noticed."""
        task = recovery(informed)
        digest = Digest('g2', 1, (0, 5, 0))
        informed.task.gossip._on_digest(digest, PEER)  # noqa: SLF001
        assert 'g2' in task.schedule.pending
        informed.endpoint.sent.clear()
        task._send_offer('g2')  # noqa: SLF001
        message, address = informed.endpoint.sent[-1]
        assert isinstance(message, StateOffer)
        assert address == PEER

    def test_announced(self, empty: GatewayFixture) -> None:
        """Guards against an announcement that peers don't take for one."""
        disseminator = empty.task.gossip.disseminator
        own = disseminator.own
        schedule = OfferSchedule('g2', random.Random(1))
        schedule.observe(0, [own._replace(incarnation=own.incarnation - 1)])
        schedule.observe(1, [own])
        assert schedule.pending == {own.name}
        recovery(empty).on_complete()
        schedule.observe(2, [disseminator.own])
        assert not schedule.pending

    async def test_restarted_peer(self, informed: GatewayFixture) -> None:
        """Guards against a restart that is seen and leads to no offer."""
        store = informed.state.store
        recovery(informed).schedule.observe(0, store.balancers)
        store.merge(balancers=[RECORD._replace(incarnation=2)])
        running = asyncio.create_task(recovery(informed).run())
        offer = Sent(StateOffer('g1', CONTROL), PEER)
        async with asyncio.timeout(TIMEOUT_S):
            while offer not in informed.endpoint.sent:
                await asyncio.sleep(POLL_S)
        running.cancel()
