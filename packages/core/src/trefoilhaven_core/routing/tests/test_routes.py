"""Tests of the flow routes."""

import pytest

from trefoilhaven_core.flows.messages import FlowFlag, FlowKey, FlowPacket
from trefoilhaven_core.membership.messages import Address, Member, MemberState
from trefoilhaven_core.routing.routes import FlowRoutes, NoRoute, Route

_SERVICE_ADDRESS = Address('127.1.0.1', 7000)


def _member(target: str) -> Member:
    address = Address('127.0.0.1', 9000)
    return Member(
        service='certify',
        target=target,
        host=target,
        failure_domain='tt-south-a',
        incarnation=1,
        sequence=1,
        state=MemberState.alive,
        flow=address,
        control=address,
        rpc=address,
        slots=3,
    )


def _packet(service: str = '', port: int = 7000) -> FlowPacket:
    flow = FlowKey(17, '127.0.0.1', 4000, '127.1.0.1', port)
    return FlowPacket(service, flow, FlowFlag.first, 0, 0, b'')


@pytest.fixture(name='routes')
def _routes() -> FlowRoutes:
    routes = FlowRoutes()
    routes.set_services({_SERVICE_ADDRESS: 'certify'})
    routes.set_members('certify', [_member('certify-1')])
    return routes


class TestFlowRoutes:
    """Routes of packets to agents, and packets without a route."""

    def test_known_service(self, routes: FlowRoutes) -> None:
        """Guards against a routed packet without its service."""
        route = routes.route(_packet())
        assert isinstance(route, Route)
        assert route.target == 'certify-1'
        assert route.packet.service == 'certify'

    def test_unknown_address(self, routes: FlowRoutes) -> None:
        """Guards against a default service for unknown addresses."""
        assert routes.route(_packet(port=7001)) is NoRoute.unknown_address

    def test_wrong_service(self, routes: FlowRoutes) -> None:
        """Guards against routing a packet that names another service."""
        assert routes.route(_packet('collect')) is NoRoute.wrong_service

    def test_no_target(self, routes: FlowRoutes) -> None:
        """Guards against a route to a member that left."""
        routes.set_members('certify', [])
        assert routes.route(_packet()) is NoRoute.no_target
