"""Tests of the policies at gateways, and of what agents are told."""

from unittest import mock

import pytest

from trefoilhaven.gateway.tests.test_discovery import make_member
from trefoilhaven.gateway.tests.evacuation_fixture import (
    Gateway,
    ScriptedStore,
    notice_of,
)
from trefoilhaven_core.connections.evacuations import (
    Evacuations,
)
from trefoilhaven_core.connections.pacing import (
    HELLO_BYTES,
    MAX_HELLOS_PER_POLICY,
)
from trefoilhaven_core.connections.policies import (
    POLICIES_NAME,
    Policies,
    RoutePolicy,
    ServicePolicy,
)


@pytest.fixture(name='store')
def store_fixture() -> ScriptedStore:
    """Return a store."""
    return ScriptedStore()


@pytest.fixture(name='gateway')
def gateway_fixture(store: ScriptedStore) -> Gateway:
    """Return a gateway."""
    return Gateway(store)


class TestTargetPolicies:
    """What agents are told."""

    policies = Policies(0, (), (ServicePolicy('certify', 4, 2.5),))

    async def test_at_once(
        self, gateway: Gateway, store: ScriptedStore
    ) -> None:
        """Guards against agents that learn of a change by a hello only."""
        await gateway.poll()
        gateway.policies_sent()
        store.write('b')
        await gateway.poll()
        sent = gateway.policies_sent()
        assert [each.failure_domain for each in sent] == ['b']
        assert sent[0].is_evacuated
        version = gateway.state.evacuations.version
        assert sent[0].evacuations_version == version

    async def test_with_hello(
        self, gateway: Gateway, store: ScriptedStore
    ) -> None:
        """Guards against an agent that restarts and is told nothing."""
        store.write('b')
        await gateway.poll()
        gateway.policies_sent()
        gateway.hello()
        told = {
            each.failure_domain: each.is_evacuated
            for each in gateway.policies_sent()
        }
        assert told == {'a': False, 'b': True}

    async def test_with_the_first_hello(
        self, gateway: Gateway, store: ScriptedStore
    ) -> None:
        """Guards against agents that wait after a gateway has started."""
        store.write('b')
        await gateway.poll()
        gateway.policies_sent()
        membership = gateway.task.membership
        membership._set_membership_complete('a peer')  # noqa: SLF001
        assert len(gateway.policies_sent()) == 2

    async def test_large_deployment(
        self, gateway: Gateway, store: ScriptedStore
    ) -> None:
        """Guards against agents left out, or hellos that get rarer.

        Each agent gets one policy within four hellos.
        """
        members = [make_member(f't{number}') for number in range(61)]
        gateway.state.store.merge(members)
        gateway.state.refresh(['certify'])
        await gateway.poll()
        gateway.endpoint.sent.clear()
        for _ in range(MAX_HELLOS_PER_POLICY):
            gateway.hello()
        assert len(gateway.policies_sent()) == 61
        hello_bytes = gateway.task._target_policies.hello_bytes  # noqa: SLF001
        assert hello_bytes < 1.3 * HELLO_BYTES

    async def test_held_set(
        self, gateway: Gateway, store: ScriptedStore
    ) -> None:
        """Guards against agents that take a new era's list for settled."""
        gateway.receive(notice_of(Evacuations(1, 900, frozenset({'b'}))))
        store.era = 2
        await gateway.poll()
        gateway.policies_sent()
        gateway.hello()
        versions = {
            each.evacuations_version for each in gateway.policies_sent()
        }
        expected = Evacuations(1, 900).version
        assert versions == {expected}

    async def test_rank(self, gateway: Gateway, store: ScriptedStore) -> None:
        """Guards against all gateways that tell all agents of a change."""
        await gateway.poll()
        records = [
            record._replace(name=f'g{number}')
            for number in range(20)
            for record in gateway.state.store.balancers
        ]
        gateway.state.store.merge((), records)
        gateway.policies_sent()
        store.write('b')
        with mock.patch(
            'trefoilhaven_core.connections.target_policies.balancer_rank',
            return_value=3,
        ):
            await gateway.poll()
        assert gateway.evacuated == {'b'}
        assert not gateway.policies_sent()

    def test_warm_up(self, store: ScriptedStore) -> None:
        """Guards against cold targets whose agents know no rate."""
        gateway = Gateway(store)
        gateway.read_configuration(5, self.policies)
        sent = gateway.policies_sent()
        assert {each.version for each in sent} == {5}
        assert {each.cold_openings_per_s for each in sent} == {2.5}

    def test_not_asked_for(self, store: ScriptedStore) -> None:
        """Guards against further datagrams in earlier deployments."""
        gateway = Gateway(store, evacuations=False)
        gateway.read_configuration(5, self.policies)
        gateway.hello()
        assert not gateway.policies_sent()
        assert POLICIES_NAME not in gateway.state.store.services


class TestPolicies:
    """Policies of the configuration."""

    routes = (RoutePolicy((1, 443), 0.3, 1.8, 1, is_idempotent=True),)

    def test_in_force(self, gateway: Gateway) -> None:
        """Guards against policies that are read and not applied."""
        gateway.read_configuration(5, Policies(5, self.routes))
        assert gateway.state.policies == Policies(5, self.routes)

    def test_older_version(self, gateway: Gateway) -> None:
        """Guards against a process that goes back to older policies."""
        gateway.read_configuration(5, Policies(5, self.routes))
        gateway.read_configuration(4, Policies(4))
        assert gateway.state.policies.version == 5

    def test_removed(self, gateway: Gateway) -> None:
        """Guards against policies that outlive their configuration."""
        gateway.read_configuration(5, Policies(5, self.routes))
        gateway.read_configuration(6, Policies(6))
        assert gateway.state.policies == Policies(6)

    def test_rejected_routes(self, gateway: Gateway) -> None:
        """Guards against policies of a configuration that is rejected."""
        gateway.read_configuration(
            5, Policies(5, self.routes), is_readable=False
        )
        assert not gateway.state.policies.version
