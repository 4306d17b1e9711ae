"""Tests of what an agent learns of balancers and tells them."""

import asyncio
import time
from typing import Any
from unittest import mock

import pytest
from expression import Error, Ok
from trefoilhaven_agent.sidecar.reporting import ReportingTask
from trefoilhaven_agent.sidecar.segments import SegmentTask
from trefoilhaven_agent.sidecar.targets import Location, TargetTracker
from trefoilhaven_core.connections.connection_tracker import ConnectionTracker
from trefoilhaven_core.connections.messages import BalancerHello, TargetReport
from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    Member,
    MemberState,
)
from trefoilhaven_core.membership.objects import (
    balancer_content,
    member_content,
)
from trefoilhaven_core.platform.adapters import (
    PlatformAdapter,
    TargetAnnouncement,
    TargetDeparture,
)
from trefoilhaven_core.platform.clients import (
    Listing,
    PlatformClient,
    PlatformObject,
)
from trefoilhaven_core.platform.errors import Unavailable
from trefoilhaven_core.settings.types import SidecarSettings
from trefoilhaven_core.telemetry.runtimes import make_runtime
from trefoilhaven_core.wire.endpoints import DatagramEndpoint
from trefoilhaven_core.wire.transfers import TransferEndpoint

CONTROL = Address('127.0.0.1', 7000)
KNOWN = Address('10.0.0.8', 7000)
JOINED = Address('10.0.0.9', 7000)
TIMEOUT_S = 10
FAILED_LISTS = 2


class StoreFixture:
    """A store with a balancer that a stale list misses."""

    def __init__(self) -> None:
        """Start with a store that first fails to list."""
        self.client = mock.Mock(spec=PlatformClient)
        self.client.put = mock.AsyncMock(return_value=Ok(1))
        self.client.list = self._list
        self.client.delete = mock.AsyncMock(return_value=Ok(None))
        self.fresh_lists = 0

    async def _list(self, prefix: str, *, allow_stale: bool = False) -> Any:
        if allow_stale:
            return Ok(Listing(1, ()))
        self.fresh_lists += 1
        if self.fresh_lists <= FAILED_LISTS:
            return Error(Unavailable(maybe_applied=False, reason='away'))
        record = BalancerRecord(
            'g9', 'b', 1, 1, MemberState.alive, JOINED, JOINED
        )
        found = PlatformObject(f'{prefix}g9', 1, balancer_content(record))
        return Ok(Listing(2, (found,)))


class EndpointFixture(DatagramEndpoint):
    """An endpoint that records to whom the target is reported."""

    def __init__(self) -> None:
        runtime = make_runtime('s1')
        super().__init__(mock.Mock(), runtime.clock)
        self.is_joined_told = asyncio.Event()
        self.told: list[tuple[Member, Address]] = []

    def send(self, message: Any, *addresses: Address) -> None:
        """Record a report to the balancer that has joined."""
        if isinstance(message, TargetReport):
            self.told.extend((message.member, each) for each in addresses)
            if JOINED in addresses:
                self.is_joined_told.set()


def make_settings() -> SidecarSettings:
    """Return the settings of an agent."""
    return SidecarSettings(
        's1',
        'host-1',
        'a',
        CONTROL,
        CONTROL,
        CONTROL,
        CONTROL,
        CONTROL,
        (),
        'info',
        'certify',
        CONTROL,
        CONTROL,
        CONTROL,
        CONTROL,
    )


def make_task(store: StoreFixture, endpoint: EndpointFixture) -> ReportingTask:
    """Return the task of an agent beside a target."""
    cfg = make_settings()
    runtime = make_runtime('s1')
    connections = ConnectionTracker('certify', 60.0)
    tracker = TargetTracker(
        'certify', Location('host-1', 'a', CONTROL), connections
    )
    adapter = mock.Mock(spec=PlatformAdapter)
    adapter.make_client.return_value = store.client
    segments = SegmentTask(cfg, runtime, connections, adapter, endpoint)
    return ReportingTask(
        cfg,
        runtime,
        connections,
        tracker,
        segments,
        adapter,
        endpoint,
        TransferEndpoint(mock.Mock(), runtime.clock),
    )


class TestRegistration:
    """Balancers that an agent tells of its target."""

    async def test_joined_balancer(self) -> None:
        """Guards against a balancer that does not know a joined target.

        The balancer has joined after the agent listed the balancers. Others
        send hellos, and the store fails at first.
        """
        store = StoreFixture()
        endpoint = EndpointFixture()
        task = make_task(store, endpoint)
        hello = BalancerHello('g8', 'a', 1, 1.0)
        task._on_hello(hello, KNOWN)  # noqa: SLF001
        running = asyncio.create_task(task.run())
        started_at_ms = int(time.time() * 1000)
        announcement = TargetAnnouncement(
            'certify', 't1', 'a', started_at_ms, 1, 2, MemberState.alive, 0
        )
        assert await task.on_announcement(announcement)
        async with asyncio.timeout(TIMEOUT_S):
            await endpoint.is_joined_told.wait()
        running.cancel()
        assert store.fresh_lists == FAILED_LISTS + 1


class TestRestart:
    """An agent that starts after its target."""

    async def test_first_write(self) -> None:
        """Guards against the denial of connections after a restart.

        The agent's predecessor delivered connections, but could not register
        the target while the store was away, and was killed within 3 s of the
        target's start. The next agent finds no object of the target.
        """
        store = StoreFixture()
        task = make_task(store, EndpointFixture())
        started_at_ms = int(time.time() * 1000)
        announcement = TargetAnnouncement(
            'certify', 't1', 'a', started_at_ms, 3, 2, MemberState.alive, 0
        )
        assert await task.on_announcement(announcement)
        assert await task._registration.write()  # noqa: SLF001
        assert not task._connections.evidence.saw_start  # noqa: SLF001

    @pytest.mark.parametrize('is_gone', [True, False])
    async def test_check(self, *, is_gone: bool) -> None:
        """Guards against needless probes of a target that starts later.

        The agent has found that nothing listened on its host.
        """
        task = make_task(StoreFixture(), EndpointFixture())
        with mock.patch.object(
            task, '_is_target_gone', mock.AsyncMock(return_value=is_gone)
        ):
            await task.check_start()
        announcement = TargetAnnouncement(
            'certify', 't1', 'a', 1, 3, 2, MemberState.alive, 0
        )
        assert await task.on_announcement(announcement)
        assert task._connections.evidence.saw_start is is_gone  # noqa: SLF001


class TestDeparture:
    """The last message of a target."""

    async def test_other_target(self) -> None:
        """Guards against a departure that another writer's one cancels.

        The agent checks a departing target often until it has ended.
        """
        task = make_task(StoreFixture(), EndpointFixture())
        announcement = TargetAnnouncement(
            'certify', 't1', 'a', 1, 3, 2, MemberState.alive, 0
        )
        await task.on_announcement(announcement)
        for target in ('t1', 't2'):
            assert await task.on_announcement(TargetDeparture(target))
        assert task._departing  # noqa: SLF001


class TestHello:
    """Balancers that greet an agent."""

    async def announce(self, task: ReportingTask) -> None:
        """Let the target of the agent announce itself."""
        announcement = TargetAnnouncement(
            'certify', 't1', 'a', 1, 1, 2, MemberState.alive, 0
        )
        assert await task.on_announcement(announcement)

    async def test_report(self) -> None:
        """Guards against a restarted balancer that waits for a report.

        The agent had told all balancers that it knew before this one was up.
        The more balancers there are, the later its next regular report.
        """
        endpoint = EndpointFixture()
        task = make_task(StoreFixture(), endpoint)
        await self.announce(task)
        assert not endpoint.told
        hello = BalancerHello('g9', 'b', 1, 1.0)
        task._on_hello(hello, JOINED)  # noqa: SLF001
        assert [address for _, address in endpoint.told] == [JOINED]
        task._on_hello(hello, JOINED)  # noqa: SLF001
        assert len(endpoint.told) == 1
        restarted = hello._replace(incarnation=2)
        task._on_hello(restarted, JOINED)  # noqa: SLF001
        assert [member.target for member, _ in endpoint.told] == ['t1', 't1']


class TestPredecessor:
    """A target that ended while its agent was not running."""

    PREDECESSOR = Member(
        'certify',
        't1',
        'host-1',
        'a',
        5,
        9,
        MemberState.alive,
        CONTROL,
        CONTROL,
        CONTROL,
        2,
    )

    async def stop_without_target(self) -> tuple[ReportingTask, Any]:
        """Let a restarted agent find that no target listens, and stop."""
        store = StoreFixture()
        found = PlatformObject(
            'targets/s1', 7, member_content(self.PREDECESSOR)
        )
        store.client.get = mock.AsyncMock(return_value=Ok(found))
        endpoint = EndpointFixture()
        task = make_task(store, endpoint)
        hello = BalancerHello('g8', 'a', 1, 1.0)
        task._on_hello(hello, KNOWN)  # noqa: SLF001
        with mock.patch.object(
            task, '_is_target_gone', mock.AsyncMock(return_value=True)
        ):
            await task.stop()
        return task, endpoint

    async def test_reported(self) -> None:
        """Guards against searches that wait for a target that has left.

        The target was leaving when the host lost power, and a balancer has
        listed its object before the restarted agent deleted it.
        """
        _, endpoint = await self.stop_without_target()
        left = self.PREDECESSOR._replace(state=MemberState.left, sequence=10)
        assert (left, KNOWN) in endpoint.told

    async def test_late_hello(self) -> None:
        """Guards against a balancer whose hello follows the report."""
        task, endpoint = await self.stop_without_target()
        hello = BalancerHello('g9', 'b', 1, 1.0)
        task._on_hello(hello, JOINED)  # noqa: SLF001
        assert endpoint.told[-1][0].state is MemberState.left
        assert endpoint.told[-1][1] == JOINED
