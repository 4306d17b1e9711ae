"""Tests of an agent that is asked to register its target again."""

import time
from typing import Any
from unittest import mock

from trefoilhaven_agent.sidecar.reporting import ReportingTask
from trefoilhaven_agent.sidecar.tests.test_reporting import (
    KNOWN,
    EndpointFixture,
    StoreFixture,
    make_task,
)
from trefoilhaven_core.connections.messages import (
    BalancerHello,
    TargetIdentity,
)
from trefoilhaven_core.connections.restorations import (
    RegistrationRequest,
    identity_of,
)
from trefoilhaven_core.membership.messages import MemberState
from trefoilhaven_core.platform.adapters import TargetAnnouncement


class TestRequest:
    """A balancer asks the agent to register its target again."""

    async def make_reporting(self) -> tuple[ReportingTask, EndpointFixture]:
        """Return the task of an agent with a target at its 9th heartbeat."""
        endpoint = EndpointFixture()
        task = make_task(StoreFixture(), endpoint)
        task._on_hello(  # noqa: SLF001
            BalancerHello('g8', 'a', 1, 1.0), KNOWN
        )
        started_at_ms = int(time.time() * 1000)
        for sequence in (1, 9):
            announcement = TargetAnnouncement(
                'certify',
                't1',
                'a',
                started_at_ms,
                sequence,
                2,
                MemberState.alive,
                0,
            )
            assert await task.on_announcement(announcement)
        assert await task._registration.write()  # noqa: SLF001
        endpoint.told.clear()
        return task, endpoint

    def client(self, task: ReportingTask) -> Any:
        """Return the client, without the calls so far."""
        client: Any = task._client  # noqa: SLF001
        client.put.reset_mock()
        return client

    def request(self, task: ReportingTask, sequence: int) -> None:
        """Let a request about the target arrive."""
        member = task._target_tracker.member  # noqa: SLF001
        assert member
        req = RegistrationRequest('g8', identity_of(member), sequence)
        task._on_request(req, KNOWN)  # noqa: SLF001

    async def test_lost(self) -> None:
        """Guards against an object that a restored store has lost."""
        task, endpoint = await self.make_reporting()
        client = self.client(task)
        self.request(task, 1)
        assert await task._registration.write()  # noqa: SLF001
        client.put.assert_awaited_once()
        assert client.put.await_args.args[2] == 0
        assert not endpoint.told

    async def test_left_by_mistake(self) -> None:
        """Guards against a live target that balancers take for left."""
        task, endpoint = await self.make_reporting()
        self.request(task, 2)
        member, balancer = endpoint.told.pop()
        assert (member.sequence, balancer) == (9, KNOWN)
        assert member.state is MemberState.alive

    async def test_tie(self) -> None:
        """Guards against a record of equal number that is not superseded."""
        task, endpoint = await self.make_reporting()
        self.request(task, 9)
        assert endpoint.told[0][0].sequence == 9

    async def test_later_record(self) -> None:
        """Guards against a report that would not supersede the record."""
        task, endpoint = await self.make_reporting()
        self.request(task, 10)
        assert not endpoint.told

    async def test_other_target(self) -> None:
        """Guards against a registration for an earlier target's object."""
        task, _ = await self.make_reporting()
        other = TargetIdentity('certify', 't0', 5)
        req = RegistrationRequest('g8', other, 1)
        task._on_request(req, KNOWN)  # noqa: SLF001
        registrar = task._registration._registrar  # noqa: SLF001
        assert not registrar._is_pending  # noqa: SLF001

    async def test_stop(self) -> None:
        """Guards against an agent that waits for the store when it stops."""
        task, _ = await self.make_reporting()
        client = self.client(task)
        with mock.patch.object(
            task, '_is_target_gone', mock.AsyncMock(return_value=True)
        ):
            await task.stop()
        client.end_waits.assert_called_once()
