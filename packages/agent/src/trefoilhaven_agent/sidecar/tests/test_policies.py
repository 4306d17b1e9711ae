"""Tests of the policies that an agent receives."""

import pytest
from trefoilhaven_agent.sidecar.policies import PolicyReceiver
from trefoilhaven_agent.sidecar.segments import SegmentTask
from trefoilhaven_agent.sidecar.tests.test_reporting import (
    CONTROL,
    EndpointFixture,
    StoreFixture,
    make_task,
)
from trefoilhaven_core.connections.notices import TargetPolicy
from trefoilhaven_core.connections.tests.support import (
    BALANCER,
    key_of,
    make_forward,
    make_member,
    opening,
)
from trefoilhaven_core.connections.warm_up import RefusalCause
from trefoilhaven_core.membership.messages import MemberState
from trefoilhaven_core.platform.adapters import TargetAnnouncement
from trefoilhaven_core.telemetry.runtimes import make_runtime
from trefoilhaven_core.timeline.monotonic import monotonic

POLICY = TargetPolicy('certify', 'a', 1, 4.0, 3.0, 1, is_evacuated=True)


class PolicyFixture:
    """The receiver of an agent whose target is ready."""

    def __init__(self, zone: str = 'a') -> None:
        """Start with a target in a failure domain."""
        endpoint = EndpointFixture()
        task = make_task(StoreFixture(), endpoint)
        runtime = make_runtime('s1')
        self.connections = task._connections  # noqa: SLF001
        self.segments: SegmentTask = task._segments  # noqa: SLF001
        tracker = task._target_tracker  # noqa: SLF001
        tracker.on_announcement(
            monotonic(),
            TargetAnnouncement(
                'certify', 't1', zone, 1, 1, 2, MemberState.alive, 0
            ),
        )
        self.receiver = PolicyReceiver(
            task._cfg,  # noqa: SLF001
            runtime,
            self.connections,
            tracker,
            task.copies,
            endpoint,
        )
        self.copies = task.copies

    def receive(self, policy: TargetPolicy) -> None:
        """Pass on a policy of a balancer."""
        self.receiver._on_policy(policy, CONTROL)  # noqa: SLF001


class TestPolicies:
    """Policies that are applied, and those that are not."""

    def test_evacuated(self) -> None:
        """Guards against an evacuation that the agent does not carry out."""
        fixture = PolicyFixture()
        fixture.receive(POLICY)
        segment = opening(key_of(1))
        effects = fixture.connections.on_forward(
            monotonic(),
            make_forward(make_member('t1'), segment),
            segment,
            BALANCER,
        )
        fixture.segments.apply(effects)
        refused = fixture.segments._refused  # noqa: SLF001
        assert refused[RefusalCause.evacuated].count == 1

    @pytest.mark.parametrize(
        'policy',
        [
            POLICY._replace(service='collect'),
            POLICY._replace(failure_domain='b'),
        ],
    )
    def test_other_target(self, policy: TargetPolicy) -> None:
        """Guards against a policy for an earlier target of the host."""
        fixture = PolicyFixture()
        fixture.receive(policy)
        assert not fixture.connections.warm_up.is_evacuated

    def test_announced_domain(self) -> None:
        """Guards against a target whose domain differs from the settings.

        Balancers know the target with the failure domain that it announces.
        """
        fixture = PolicyFixture('b')
        fixture.receive(POLICY._replace(failure_domain='b'))
        assert fixture.connections.warm_up.is_evacuated
