"""Tests of a gateway whose store has come back older."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, NamedTuple

import pytest
from expression import Result
from trefoilhaven.gateway.restorations import RestorationTask
from trefoilhaven.gateway.tests.test_discovery import make_member
from trefoilhaven.gateway.tests.test_membership import (
    PEER,
    GatewayFixture,
    RecordingEndpoint,
    Sent,
)
from trefoilhaven_core.connections.messages import (
    ConnectionKey,
    ConnectionLoad,
    TargetReport,
)
from trefoilhaven_core.connections.restorations import (
    HeardQuery,
    HeardReply,
    RegistrationRequest,
    identity_of,
)
from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    MemberState,
)
from trefoilhaven_core.membership.objects import TARGETS_PREFIX, member_content
from trefoilhaven_core.membership.records import mark_left
from trefoilhaven_core.platform.clients import Listing
from trefoilhaven_core.platform.errors import PlatformError
from trefoilhaven_core.platform.tests.support import MemoryPlatform

NAMES = ('t1', 't2', 't3', 't4')
KEY = ConnectionKey(1, 2, 3, 4)


class EraPlatform(MemoryPlatform):
    """A platform whose lists are counted and which has eras."""

    def __init__(self) -> None:
        super().__init__()
        self.lists = 0
        self.handlers: list[Callable[[int], None]] = []

    def on_new_era(self, handler: Callable[[int], None]) -> None:
        """Store a handler."""
        self.handlers.append(handler)

    async def list(
        self, prefix: str, *, allow_stale: bool = False
    ) -> Result[Listing, PlatformError]:
        """Return all objects."""
        self.lists += 1
        return await super().list(prefix)


class PeerEndpoint(RecordingEndpoint):
    """An endpoint whose peer replies to queries with what it has heard."""

    task: RestorationTask
    heard: tuple[str, ...] | None = ()

    def send(self, message: NamedTuple, *addresses: Address) -> None:
        """Record a message, and let the peer reply to a query."""
        super().send(message, *addresses)
        if isinstance(message, HeardQuery) and self.heard is not None:
            heard = tuple(
                each for each in message.targets if each.target in self.heard
            )
            reply = HeardReply('g2', message.sent_at, heard)
            self.task._on_reply(reply, PEER)  # noqa: SLF001


class RestoredFixture:
    """A gateway with four targets and a peer, in a new era."""

    def __init__(self) -> None:
        gateway = GatewayFixture()
        self.gateway = gateway
        self.state = gateway.state
        self.platform = EraPlatform()
        self.endpoint = PeerEndpoint(self.state)
        self.slept: list[float] = []
        self.state.store.merge([make_member(name) for name in NAMES])
        self.state.refresh(['certify'])
        self.task = RestorationTask(
            self.state,
            gateway.task.gossip,
            self.platform,
            self.endpoint,
            random.Random(1),
            self.sleep,
        )
        self.endpoint.task = self.task
        # The peer ranks after this gateway, whatever its name is hashed to.
        self.task._rank = lambda: self.rank  # type: ignore[method-assign]
        self.rank = 0

    async def sleep(self, wait_s: float) -> None:
        """Record the time and return at once."""
        self.slept.append(wait_s)
        await asyncio.sleep(0)

    def restore(self, *listed: str) -> None:
        """Come back with the objects of some targets."""
        self.platform.objects.clear()
        for name in listed:
            member = make_member(name)
            path = f'{TARGETS_PREFIX}{member.host}'
            self.platform.apply(path, member_content(member), 0)
        for handler in self.platform.handlers:
            handler(1)

    def report(self, *names: str) -> None:
        """Let the agents of some targets report."""
        membership = self.gateway.task.membership
        for name in names:
            report = TargetReport(
                make_member(name), ConnectionLoad(), False, False
            )
            membership._on_report(report, PEER)  # noqa: SLF001

    async def end_gone(self) -> None:
        """Let the gateway compare the targets once the list counts."""
        self.task._risen.clear()  # noqa: SLF001
        await self.task._end_gone()  # noqa: SLF001

    def present(self) -> list[str]:
        """Return the names of the targets that are present."""
        return sorted(each.target for each in self.state.targets())

    def requested(self) -> set[str]:
        """Return the targets that were asked to register again."""
        return {
            sent.message.target.target
            for sent in self.endpoint.sent
            if isinstance(sent.message, RegistrationRequest)
        }


@pytest.fixture(name='fixture')
def restored_fixture() -> RestoredFixture:
    """Return a gateway."""
    return RestoredFixture()


class TestTargets:
    """Targets that the restored store does not list."""

    async def test_lost_entry(self, fixture: RestoredFixture) -> None:
        """Guards against a live target that ends with its lost object."""
        fixture.restore('t1', 't2', 't3')
        fixture.report(*NAMES)
        await fixture.end_gone()
        assert fixture.present() == sorted(NAMES)
        assert fixture.requested() == {'t4'}

    async def test_gone(self, fixture: RestoredFixture) -> None:
        """Guards against a target that ended with the store and stays."""
        fixture.restore('t1', 't2')
        fixture.report('t1', 't2', 't3')
        await fixture.end_gone()
        assert fixture.present() == ['t1', 't2', 't3']

    async def test_heard_by_peer(self, fixture: RestoredFixture) -> None:
        """Guards against the end of a target that this gateway can't hear."""
        fixture.restore('t1', 't2')
        fixture.report('t1', 't2', 't3')
        fixture.endpoint.heard = ('t4',)
        await fixture.end_gone()
        assert fixture.present() == sorted(NAMES)

    async def test_silent_peer(self, fixture: RestoredFixture) -> None:
        """Guards against a decision of a gateway cut off from its peers."""
        fixture.restore('t1', 't2')
        fixture.report('t1', 't2', 't3')
        fixture.endpoint.heard = None
        ending = asyncio.create_task(fixture.end_gone())
        async with asyncio.timeout(10):
            while not fixture.slept:
                await asyncio.sleep(0.01)
        ending.cancel()
        assert fixture.present() == sorted(NAMES)

    async def test_cut_off(self, fixture: RestoredFixture) -> None:
        """Guards against a gateway that hears no agent and ends them all."""
        fixture.restore()
        fixture.report('t1')
        await fixture.end_gone()
        assert fixture.present() == sorted(NAMES)
        assert not any(
            isinstance(sent.message, HeardQuery)
            for sent in fixture.endpoint.sent
        )

    async def test_report_of_before(self, fixture: RestoredFixture) -> None:
        """Guards against a report before the new era that counts as life."""
        fixture.report(*NAMES)
        fixture.restore('t1', 't2')
        fixture.report('t1', 't2', 't3')
        await fixture.end_gone()
        assert fixture.present() == ['t1', 't2', 't3']

    async def test_left_by_mistake(self, fixture: RestoredFixture) -> None:
        """Guards against a live target without connections for ever.

        The report does not supersede the record that the target has left.
        """
        left = mark_left(make_member('t1'))
        fixture.state.store.merge([left])
        fixture.state.refresh(['certify'])
        fixture.report('t1')
        identity = identity_of(left)
        request = RegistrationRequest('g1', identity, left.sequence + 1)
        assert Sent(request, PEER) in fixture.gateway.endpoint.sent

    def test_query(self, fixture: RestoredFixture) -> None:
        """Guards against a peer that ends what this gateway hears."""
        fixture.report('t1')
        targets = tuple(identity_of(make_member(name)) for name in NAMES)
        query = HeardQuery('g2', 3.0, 2.5, targets)
        fixture.task._on_query(query, PEER)  # noqa: SLF001
        reply = HeardReply('g1', 3.0, targets[:1])
        assert fixture.endpoint.sent[-1] == Sent(reply, PEER)


class TestDeparted:
    """Targets that left before the return of the store."""

    async def leave(self, fixture: RestoredFixture, rank: int) -> None:
        """Let a target leave whose object is back."""
        fixture.rank = rank
        fixture.state.store.merge([mark_left(make_member('t4'))])
        fixture.state.refresh(['certify'])
        fixture.restore(*NAMES)
        fixture.report('t1', 't2', 't3')
        await fixture.end_gone()

    async def test_first_rank(self, fixture: RestoredFixture) -> None:
        """Guards against a target that is back from the copy."""
        await self.leave(fixture, 0)
        assert fixture.present() == ['t1', 't2', 't3']
        assert f'{TARGETS_PREFIX}host-t4' not in fixture.platform.objects
        assert len(fixture.platform.objects) == 3

    async def test_other_rank(self, fixture: RestoredFixture) -> None:
        """Guards against deletions by several gateways."""
        await self.leave(fixture, 1)
        assert fixture.present() == ['t1', 't2', 't3']
        assert len(fixture.platform.objects) == 4

    def test_unknown_record(self, fixture: RestoredFixture) -> None:
        """Guards against connections to a target without an agent.

        A gateway that started after the return reads the object of a target
        that left before, and does not know that.
        """
        fixture.report('t1')
        rng = random.Random(4)
        selector = fixture.state.target_selector
        now = selector._targets['certify']['t1'].seen_at  # noqa: SLF001
        chosen = {
            choice.target
            for _ in range(40)
            if (choice := selector.choose(now, rng, 'certify'))
        }
        assert chosen == {'t1'}


class TestCalls:
    """Which gateways list, and when."""

    @pytest.mark.parametrize(('rank', 'lists'), [(0, 2), (2, 1), (3, 0)])
    async def test_ranks(
        self, fixture: RestoredFixture, rank: int, lists: int
    ) -> None:
        """Guards against a list by each gateway."""
        fixture.rank = rank
        fixture.restore(*NAMES)
        running = asyncio.create_task(fixture.task.run())
        for _ in range(20):
            await asyncio.sleep(0)
        running.cancel()
        assert fixture.platform.lists == lists
        assert any(2 < wait_s <= 2.5 for wait_s in fixture.slept)

    async def test_ranks_differ(self, fixture: RestoredFixture) -> None:
        """Guards against lists of all ranks at the same moment."""
        waits: list[Any] = []
        for rank in range(3):
            fixture.rank = rank
            fixture.slept.clear()
            await fixture.task._wait_for_turn()  # noqa: SLF001
            waits += fixture.slept
        assert waits == sorted(waits)


class TestPeers:
    """Gateways that are asked what they have heard."""

    async def test_left(self, fixture: RestoredFixture) -> None:
        """Guards against a wait for gateways that have left."""
        left = BalancerRecord('g2', 'a', 1, 9, MemberState.left, PEER, PEER)
        fixture.state.store.merge([], [left])
        members = (make_member('t1'),)
        gone = await fixture.task._ask_peers(members)  # noqa: SLF001
        assert gone == members
        assert not fixture.endpoint.sent
