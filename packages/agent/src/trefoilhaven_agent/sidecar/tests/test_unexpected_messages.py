"""Tests of a sidecar that receives messages with unusual values."""

import asyncio
import time
from typing import Any

from hypothesis import given
from trefoilhaven_agent.sidecar.policies import PolicyReceiver
from trefoilhaven_agent.sidecar.reporting import ReportingTask
from trefoilhaven_agent.sidecar.tests.test_reporting import (
    EndpointFixture,
    StoreFixture,
    make_task,
)
from trefoilhaven_core.connections import messages as connections
from trefoilhaven_core.connections import notices
from trefoilhaven_core.connections import restorations
from trefoilhaven_core.connections.tests.support import key_of, make_segment
from trefoilhaven_core.membership.messages import MemberState
from trefoilhaven_core.platform.adapters import TargetAnnouncement
from trefoilhaven_core.telemetry.runtimes import make_runtime
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.codec import Codec, make_codec
from trefoilhaven_core.wire.tests.message_strategies import (
    SEQUENCE_SETTINGS,
    sequences,
)

SENDER = ('127.0.0.9', 7000)

RECEIVED = (
    connections.SegmentForward,
    connections.HolderQuery,
    connections.BalancerHello,
    restorations.RegistrationRequest,
    notices.TargetPolicy,
)


def add_policies(
    task: ReportingTask, endpoint: EndpointFixture
) -> PolicyReceiver:
    """Return the receiver of policies for the target of a task."""
    return PolicyReceiver(
        task._cfg,  # noqa: SLF001
        make_runtime('s1'),
        task._connections,  # noqa: SLF001
        task._target_tracker,  # noqa: SLF001
        task.copies,
        endpoint,
    )


class CodecEndpoint(EndpointFixture):
    """An endpoint that decodes datagrams and encodes what is sent."""

    def __init__(self) -> None:
        super().__init__()
        self._codec: Codec = make_codec()


class TestUnexpectedMessages:
    """Messages that a balancer of another version may send."""

    @SEQUENCE_SETTINGS
    @given(raws=sequences(RECEIVED))
    def test_tasks_go_on(self, raws: list[bytes]) -> None:
        """Guards against a message that ends the process.

        An error in a handler is logged, but one in a task ends the process,
        as the tasks use what the handlers have stored.
        """
        asyncio.run(self.receive(raws))

    async def receive(self, raws: list[bytes]) -> None:
        """Let datagrams arrive, and run a turn of each task."""
        endpoint = CodecEndpoint()
        task = make_task(StoreFixture(), endpoint)
        add_policies(task, endpoint)
        segments = task._segments  # noqa: SLF001
        codec: Any = segments._adapter.codec  # noqa: SLF001
        codec.decode_from_client.return_value = make_segment(key_of(1))
        codec.encode_reset.return_value = b''
        announcement = TargetAnnouncement(
            'certify',
            't1',
            'a',
            int(time.time() * 1000),
            1,
            2,
            MemberState.alive,
            0,
        )
        assert await task.on_announcement(announcement)
        for raw in raws:
            endpoint.datagram_received(raw, SENDER)
        now = monotonic()
        for step in range(3):
            connections_ = task._connections  # noqa: SLF001
            segments.apply(connections_.tick(now + step))
            connections_.forget(now + step)
            task._balancers.expire(now + step)  # noqa: SLF001
        member = task._target_tracker.member  # noqa: SLF001
        assert member is not None
        task._reports.send_all(member)  # noqa: SLF001
