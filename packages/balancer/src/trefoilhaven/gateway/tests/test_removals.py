"""Tests of the removal of objects of failed hosts."""

from trefoilhaven.gateway.removals import REMOVAL_TIMEOUT_S, RemovalTask
from trefoilhaven.gateway.state import GatewayState
from trefoilhaven.gateway.tests.test_discovery import make_member, make_state
from trefoilhaven_core.connections.failure_detector import CHECK_INTERVAL_S
from trefoilhaven_core.connections.messages import (
    ConnectionLoad,
    TargetReport,
)
from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    MemberState,
)
from trefoilhaven_core.membership.objects import TARGETS_PREFIX, member_content
from trefoilhaven_core.platform.tests.support import MemoryPlatform

PATH = f'{TARGETS_PREFIX}host-t1'
END_S = REMOVAL_TIMEOUT_S + 10.0


def report(state: GatewayState, name: str, now: float) -> None:
    """Pass a report of a target's agent to the gateway."""
    load = ConnectionLoad()
    state.router.on_report(
        now, TargetReport(make_member(name), load, False, False)
    )


def make_failed_target() -> tuple[GatewayState, MemoryPlatform]:
    """Return a gateway that gets reports of all targets but the first."""
    state = make_state()
    members = [make_member(name) for name in ('t1', 't2', 't3')]
    state.store.merge(members)
    state.refresh(['certify'])
    platform = MemoryPlatform()
    for member in members:
        path = f'{TARGETS_PREFIX}{member.host}'
        platform.apply(path, member_content(member), 0)
    now = 0.0
    while now < END_S:
        report(state, 't2', now)
        report(state, 't3', now)
        state.router.tick(now)
        now += CHECK_INTERVAL_S
    return state, platform


class TestRemovalTask:
    """Which objects are removed, and by whom."""

    async def test_lost(self) -> None:
        """Guards against objects of failed hosts that are never removed."""
        state, platform = make_failed_target()
        await RemovalTask(state, platform).remove_failed(END_S)
        assert sorted(platform.objects) == [
            f'{TARGETS_PREFIX}host-t2',
            f'{TARGETS_PREFIX}host-t3',
        ]

    async def test_back(self) -> None:
        """Guards against the removal of a live target's object."""
        state, platform = make_failed_target()
        report(state, 't1', END_S)
        await RemovalTask(state, platform).remove_failed(END_S)
        assert PATH in platform.objects

    async def test_successor(self) -> None:
        """Guards against the removal of a successor's object."""
        state, platform = make_failed_target()
        successor = make_member('t9')._replace(host='host-t1')
        version = platform.objects[PATH].version
        platform.apply(PATH, member_content(successor), version)
        await RemovalTask(state, platform).remove_failed(END_S)
        assert PATH in platform.objects

    async def test_other_balancer(self) -> None:
        """Guards against calls by all balancers for the same object."""
        state, platform = make_failed_target()
        address = Address('127.0.0.1', 7000)
        alive = MemberState.alive
        state.store.merge(
            balancers=[
                BalancerRecord(
                    f'other-{number}', 'a', 1, 1, alive, address, address
                )
                for number in range(20)
            ]
        )
        await RemovalTask(state, platform).remove_failed(END_S)
        assert PATH in platform.objects

    async def test_outage(self) -> None:
        """Guards against an object that is never removed after an outage."""
        state, platform = make_failed_target()
        task = RemovalTask(state, platform)
        platform.is_down = True
        await task.remove_failed(END_S)
        platform.is_down = False
        await task.remove_failed(END_S)
        assert PATH not in platform.objects
