"""Tests of a gateway's state transfers, reports and readiness."""

import random
from typing import Any
from unittest import mock

import pytest
from expression import Ok
from trefoilhaven.gateway.discovery import DiscoveryTask
from trefoilhaven.gateway.segments import SegmentTask
from trefoilhaven.gateway.state import MAX_REPORT_WAIT_S, GatewayState
from trefoilhaven_core.connections.messages import (
    ConnectionLoad,
    TargetReport,
)
from trefoilhaven_core.connections.policies import Policies
from trefoilhaven_core.connections.route_codec import ROUTES_NAME, encode_routes
from trefoilhaven_core.connections.routes import (
    AddressRoute,
    RouteConfiguration,
    WeightedService,
)
from trefoilhaven_core.membership.messages import (
    Address,
    Changes,
    Member,
    MemberState,
    State,
    StateRequest,
)
from trefoilhaven_core.platform.adapters import PlatformAdapter
from trefoilhaven_core.platform.clients import ObjectChange
from trefoilhaven_core.settings.types import GatewaySettings
from trefoilhaven_core.telemetry.runtimes import make_runtime
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.codec import make_codec
from trefoilhaven_core.wire.endpoints import DatagramEndpoint
from trefoilhaven_core.wire.transfers import TransferEndpoint

CONTROL = Address('127.0.0.1', 7000)


class HandlerRecorder(TransferEndpoint):
    """An endpoint that only records its handlers."""

    def __init__(self, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.by_type: dict[type, Any] = {}

    def on(self, kind: type, handler: Any) -> None:
        """Record the handler of a message type."""
        self.by_type[kind] = handler


def make_state(state_offers: bool = False) -> GatewayState:
    """Return the state of a gateway that has just started."""
    cfg = GatewaySettings(
        'g1',
        'host-1',
        'a',
        CONTROL,
        CONTROL,
        CONTROL,
        CONTROL,
        CONTROL,
        (),
        'info',
        CONTROL,
        state_offers=state_offers,
    )
    return GatewayState(cfg, make_runtime('g1'), random.Random(1))


def make_member(name: str) -> Member:
    """Return a target's record."""
    return Member(
        'certify',
        name,
        f'host-{name}',
        'a',
        1,
        1,
        MemberState.alive,
        CONTROL,
        CONTROL,
        CONTROL,
        2,
    )


StateAndHandlers = tuple[GatewayState, HandlerRecorder]
StateAndDiscovery = tuple[GatewayState, DiscoveryTask]


def make_discovery() -> tuple[GatewayState, HandlerRecorder, DiscoveryTask]:
    """Return a gateway's state, its call handlers and its discovery."""
    state = make_state()
    codec = make_codec()
    clock = state.runtime.clock
    endpoint = DatagramEndpoint(codec, clock)
    transfers = HandlerRecorder(codec=codec, clock=clock)
    adapter = mock.Mock(spec=PlatformAdapter)
    segments = SegmentTask(state, adapter, endpoint)
    task = DiscoveryTask(
        state, adapter, endpoint, transfers, segments, random.Random(1)
    )
    return state, transfers, task


@pytest.fixture(name='handlers')
def handlers_fixture() -> StateAndHandlers:
    """Return a gateway's state and its call handlers."""
    state, transfers, _ = make_discovery()
    return state, transfers


@pytest.fixture(name='discovery')
def discovery_fixture() -> StateAndDiscovery:
    """Return a gateway's state and its discovery."""
    state, _, task = make_discovery()
    return state, task


class TestState:
    """States that a gateway sends to starting gateways."""

    def test_incomplete(self, handlers: StateAndHandlers) -> None:
        """Guards against an incomplete list of targets taken as complete.

        A gateway with a complete list resets connections that none of its
        targets holds.
        """
        _, transfers = handlers
        answer = transfers.by_type[StateRequest]
        assert answer(StateRequest('g2')) is None

    def test_complete(self, handlers: StateAndHandlers) -> None:
        """Guards against a starting gateway that gets no state from peers."""
        state, transfers = handlers
        state.set_membership_complete(0)
        answer = transfers.by_type[StateRequest]
        assert isinstance(answer(StateRequest('g2')), State)


class TestReports:
    """Reports of agents and the targets that they replace."""

    def receive(self, task: DiscoveryTask, member: Member) -> None:
        """Let the report of an agent arrive."""
        load = ConnectionLoad()
        report = TargetReport(member, load, is_cold=False, is_silent=False)
        task.membership._on_report(report, CONTROL)  # noqa: SLF001

    def test_replaced(self, discovery: 'StateAndDiscovery') -> None:
        """Guards against searches at targets that a power loss has ended.

        Their objects were read before the next targets of the same hosts
        had registered, and half of all known targets were silent.
        """
        state, task = discovery
        state.store.merge([make_member('t1'), make_member('t2')])
        state.refresh(['certify'])
        successor = make_member('t3')._replace(host='host-t1', incarnation=9)
        self.receive(task, successor)
        assert {each.target for each in state.targets()} == {'t2', 't3'}

    def test_late_report(self, discovery: 'StateAndDiscovery') -> None:
        """Guards against a late report that ends its successor."""
        state, task = discovery
        present = make_member('t3')._replace(host='host-t1', incarnation=9)
        self.receive(task, present)
        self.receive(task, make_member('t1'))
        assert 't3' in {each.target for each in state.targets()}

    def test_late_gossip(self, discovery: 'StateAndDiscovery') -> None:
        """Guards against a late record that puts an ended target in use."""
        state, task = discovery
        present = make_member('t3')._replace(host='host-t1', incarnation=9)
        self.receive(task, present)
        changes = Changes('g2', (make_member('t1'),), ())
        task.gossip._on_changes(changes, CONTROL)  # noqa: SLF001
        assert [each.target for each in state.targets()] == ['t3']

    def test_record_ends(self, discovery: 'StateAndDiscovery') -> None:
        """Guards against records of replaced targets that pile up.

        Every starting gateway would get them from its peers. A target that
        was replaced only a moment ago may report again.
        """
        state, task = discovery
        state.store.merge([make_member('t1')])
        state.refresh(['certify'])
        state.router.tick(monotonic())
        successor = make_member('t3')._replace(host='host-t1', incarnation=9)
        self.receive(task, successor)
        state.end_replaced(monotonic(), silent_s=60.0)
        record = state.store.member('certify', 't1')
        assert record is not None
        assert record.state is MemberState.alive
        state.end_replaced(monotonic() + 61.0, silent_s=60.0)
        record = state.store.member('certify', 't1')
        assert record is not None
        assert record.state is MemberState.left
        assert [each.target for each in state.targets()] == ['t3']

    async def test_searches(self, discovery: 'StateAndDiscovery') -> None:
        """Guards against searches that still query a replaced target."""
        state, task = discovery
        state.store.merge([make_member('t1')])
        state.refresh(['certify'])
        successor = make_member('t3')._replace(host='host-t1', incarnation=9)
        self.receive(task, successor)
        assert [each.target for each in state.targets()] == ['t3']


class TestRoutes:
    """Routes in a store that has come back older."""

    @pytest.mark.parametrize(
        'change',
        [
            ObjectChange('config/main', 3, {'version': 4}, False, 9),
            ObjectChange('config/main', 3, None, True, 9),
            ObjectChange('config/other', 9, {'version': 8}, False, 9),
        ],
    )
    def test_older(self, change: ObjectChange) -> None:
        """Guards against routes that go back or vanish with a copy.

        The copy has an older configuration, or none; what is in force stays
        until a higher version comes.
        """
        state, _, task = make_discovery()
        adapter: Any = task._adapter  # noqa: SLF001
        adapter.read_routes = lambda content: Ok(
            RouteConfiguration(content['version'], (), 15)
        )
        adapter.read_policies = lambda _: Policies()
        newest = ObjectChange('config/main', 5, {'version': 7}, False, 9)
        task._on_routes(newest)  # noqa: SLF001
        task._on_routes(change)  # noqa: SLF001
        assert state.routes.version == 7
        later = newest._replace(content={'version': 8})
        task._on_routes(later)  # noqa: SLF001
        assert state.routes.version == 8


class TestReadiness:
    """Readiness of a gateway for segments from the fabric."""

    def test_order(self) -> None:
        """Guards against traffic to a gateway without routes or targets."""
        state = make_state()
        assert 'configuration' in state.not_ready_reason(0)
        route = AddressRoute((1, 443), (WeightedService('certify', 1),))
        content = encode_routes(RouteConfiguration(3, (route,), 15))
        state.store.set_configuration(ROUTES_NAME, 3, content)
        state.refresh([ROUTES_NAME])
        assert 'list of targets' in state.not_ready_reason(0)
        member = make_member('t1')
        state.store.merge([member])
        state.refresh(['certify'])
        state.set_membership_complete(1)
        assert 'reported' in state.not_ready_reason(1)
        load = ConnectionLoad()
        report = TargetReport(member, load, is_cold=False, is_silent=False)
        state.router.on_report(1, report)
        assert not state.not_ready_reason(1)
        state.is_stopping = True
        assert 'stopping' in state.not_ready_reason(1)

    def test_silent_targets(self) -> None:
        """Guards against a gateway that waits forever for dead targets."""
        state = make_state()
        state.store.merge([make_member('t1')])
        content = encode_routes(RouteConfiguration(1, (), 15))
        state.store.set_configuration(ROUTES_NAME, 1, content)
        state.refresh(['certify', ROUTES_NAME])
        state.set_membership_complete(1)
        assert state.not_ready_reason(1)
        assert not state.not_ready_reason(1 + MAX_REPORT_WAIT_S)

    def test_malformed_routes(self) -> None:
        """Guards against a crash on malformed routes."""
        state = make_state()
        state.store.set_configuration(ROUTES_NAME, 9, b'\xc1')
        state.refresh([ROUTES_NAME])
        assert state.routes.version == 0
