"""Tests of the evacuations at gateways."""

import random
from unittest import mock

import pytest
from expression import Error
from trefoilhaven.gateway.state import (
    MAX_EVACUATIONS_WAIT_S,
)
from trefoilhaven.gateway.tests.evacuation_fixture import (
    PEER,
    Gateway,
    ScriptedStore,
    notice_of,
)
from trefoilhaven_core.connections.evacuations import (
    EVACUATIONS_NAME,
    Evacuations,
)
from trefoilhaven_core.connections.messages import (
    ConnectionLoad,
    TargetReport,
)
from trefoilhaven_core.connections.tests.support import (
    decode,
    key_of,
    make_routes,
    opening,
)
from trefoilhaven_core.connections.route_codec import ROUTES_NAME, encode_routes
from trefoilhaven_core.connections.routes import RouteConfiguration
from trefoilhaven_core.membership.messages import (
    ConfigurationNotice,
    StateRequest,
)
from trefoilhaven_core.platform.errors import Unavailable


@pytest.fixture(name='store')
def store_fixture() -> ScriptedStore:
    """Return a store."""
    return ScriptedStore()


@pytest.fixture(name='gateway')
def gateway_fixture(store: ScriptedStore) -> Gateway:
    """Return a gateway."""
    return Gateway(store)


class TestWatch:
    """Evacuations from the store."""

    async def test_evacuated_and_taken_back(
        self, gateway: Gateway, store: ScriptedStore
    ) -> None:
        """Guards against an evacuation or its end that has no effect."""
        await gateway.poll()
        store.write('a')
        await gateway.poll()
        assert gateway.evacuated == {'a'}
        store.remove('a')
        await gateway.poll()
        assert not gateway.evacuated

    async def test_deleted_during_outage(
        self, gateway: Gateway, store: ScriptedStore
    ) -> None:
        """Guards against a domain that stays empty after an outage."""
        store.write('a')
        store.write('b')
        await gateway.poll()
        store.refuses = True
        assert await gateway.poll() is not None
        store.remove('a')
        store.refuses = False
        gateway.task.evacuations._revision = None  # noqa: SLF001
        await gateway.poll()
        assert gateway.evacuated == {'b'}

    async def test_malformed_entry(
        self,
        gateway: Gateway,
        store: ScriptedStore,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        """Guards against an ignored entry: the operator asked for it."""
        store.write('a', ['odd'])
        await gateway.poll()
        store.write('b', 7)
        await gateway.poll()
        assert gateway.evacuated == {'a', 'b'}
        assert caplog.text.count('malformed evacuation') == 2

    async def test_unknown_domain(
        self, gateway: Gateway, store: ScriptedStore
    ) -> None:
        """Guards against an entry of no domain that stops placements."""
        store.write('elsewhere')
        await gateway.poll()
        chosen = gateway.state.target_selector.choose(
            1, random.Random(1), 'certify'
        )
        assert chosen is not None

    async def test_earlier_era(
        self, gateway: Gateway, store: ScriptedStore
    ) -> None:
        """Guards against calls without pause to a store that lags behind."""
        gateway.receive(notice_of(Evacuations(3, 1, frozenset({'a'}))))
        assert await gateway.poll() is not None
        assert gateway.evacuated == {'a'}

    async def test_outage(self, gateway: Gateway, store: ScriptedStore) -> None:
        """Guards against a watch that an outage ends, or calls in a loop."""
        store.refuses = True
        waits = []

        async def pause(wait_s: float) -> None:
            waits.append(wait_s)
            if len(waits) == 3:
                store.refuses = False
                store.write('a')
            elif len(waits) == 4:
                turned_off = gateway.state.cfg._replace(evacuations=False)
                gateway.state.cfg = turned_off

        lost = mock.AsyncMock(return_value=Error(Unavailable(False, 'lost')))
        with (
            mock.patch('trefoilhaven.gateway.evacuations.asyncio.sleep', pause),
            mock.patch.object(store, 'watch', lost),
        ):
            await gateway.task.evacuations.run()
        assert gateway.evacuated == {'a'}
        assert min(waits) > 0
        assert store.calls == 4

    async def test_setting_is_off(self, store: ScriptedStore) -> None:
        """Guards against calls where a deployment does not ask for them."""
        gateway = Gateway(store, evacuations=False)
        await gateway.task.evacuations.run()
        assert not store.calls


class TestGossip:
    """Evacuations from peers."""

    async def test_late_notice(
        self, gateway: Gateway, store: ScriptedStore
    ) -> None:
        """Guards against an old notice that evacuates a domain again."""
        store.write('a')
        await gateway.poll()
        late = gateway.notice()
        store.remove('a')
        await gateway.poll()
        gateway.receive(late)
        assert not gateway.evacuated

    def test_without_the_store(
        self, gateway: Gateway, store: ScriptedStore
    ) -> None:
        """Guards against a gateway that the store refuses and that lags."""
        store.refuses = True
        gateway.receive(notice_of(Evacuations(0, 9, frozenset({'b'}))))
        assert gateway.evacuated == {'b'}

    def test_malformed_notice(self, gateway: Gateway) -> None:
        """Guards against a crash on a malformed notice."""
        version = Evacuations(0, 9).version
        gateway.receive(
            ConfigurationNotice('g2', EVACUATIONS_NAME, version, b'\xc1')
        )
        assert not gateway.evacuated

    async def test_no_service(self, gateway: Gateway) -> None:
        """Guards against names of other content taken for services."""
        await gateway.poll()
        services = gateway.state.store.services
        assert EVACUATIONS_NAME in services
        gateway.state.refresh(services)
        assert gateway.state.target_selector.services == {'certify'}


class TestReset:
    """Openings that no target may get."""

    async def test_reset(
        self,
        gateway: Gateway,
        store: ScriptedStore,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        """Guards against resets that an operator can't explain or count.

        Each opening is reset, but only one line a second is logged.
        """
        store.write('a')
        store.write('b')
        await gateway.poll()
        gateway.state.routes.offer(make_routes(1, 'certify'))
        gateway.state.set_membership_complete(0)
        raw_endpoint = mock.Mock()
        gateway.segments._raw_endpoint = raw_endpoint  # noqa: SLF001
        gateway.adapter.codec.decode_from_client = decode
        for number in range(5):
            raw = opening(key_of(number)).raw
            gateway.segments._on_raw(raw, ('', 0))  # noqa: SLF001
        assert raw_endpoint.send.call_count == 5
        assert caplog.text.count('connection reset') == 1
        metrics = gateway.state.runtime.metrics
        resets = metrics.counter('connections_reset', cause='evacuated')
        assert resets.count == 5


class TestStart:
    """A gateway that starts."""

    def prepare(self, gateway: Gateway) -> None:
        """Let a gateway learn everything but the evacuations."""
        state = gateway.state
        content = encode_routes(RouteConfiguration(1, (), 15))
        state.store.set_configuration(ROUTES_NAME, 1, content)
        state.refresh([ROUTES_NAME])
        state.set_membership_complete(1)
        for member in state.targets():
            report = TargetReport(
                member, ConnectionLoad(), is_cold=False, is_silent=False
            )
            state.router.on_report(1, report)

    async def test_readiness(
        self, gateway: Gateway, store: ScriptedStore
    ) -> None:
        """Guards against connections to an evacuated domain after a start."""
        self.prepare(gateway)
        assert 'evacuations' in gateway.state.not_ready_reason(1)
        await gateway.poll()
        assert not gateway.state.not_ready_reason(1)

    async def test_readiness_in_a_new_era(
        self, gateway: Gateway, store: ScriptedStore
    ) -> None:
        """Guards against a cold start that waits until the hold has ended."""
        store.era = 4
        store.write('a')
        self.prepare(gateway)
        await gateway.poll()
        assert not gateway.state.not_ready_reason(1)
        assert gateway.evacuated == {'a'}

    def test_store_refuses_the_kind(self, gateway: Gateway) -> None:
        """Guards against gateways that are never ready."""
        self.prepare(gateway)
        late = 1 + MAX_EVACUATIONS_WAIT_S
        assert not gateway.state.not_ready_reason(late)

    def test_setting_is_off(self, store: ScriptedStore) -> None:
        """Guards against a later start where nothing is asked for."""
        gateway = Gateway(store, evacuations=False)
        self.prepare(gateway)
        assert not gateway.state.not_ready_reason(1)

    async def test_state_of_a_peer(
        self, gateway: Gateway, store: ScriptedStore
    ) -> None:
        """Guards against a start without the store that lacks evacuations."""
        store.write('a')
        await gateway.poll()
        gateway.state.set_membership_complete(0)
        state = gateway.transfers.by_type[StateRequest](StateRequest('g9'))
        store.refuses = True
        started = Gateway(store)
        started.task.gossip._fetcher = mock.Mock()  # noqa: SLF001
        fetch = mock.AsyncMock(return_value=state)
        started.task.gossip._fetcher.fetch = fetch  # noqa: SLF001
        await started.task.gossip._fetch(PEER, ())  # noqa: SLF001
        self.prepare(started)
        assert started.evacuated == {'a'}
        assert not started.state.not_ready_reason(1)
