"""Tests of an agent that offers its copy of the state."""

from typing import Any
from unittest import mock

import pytest
from expression import Error, Ok
from trefoilhaven_agent.sidecar.balancers import KnownBalancers
from trefoilhaven_agent.sidecar.copies import MAX_ANSWERS_PER_S, CopyTask
from trefoilhaven_agent.sidecar.tests.test_reporting import (
    CONTROL,
    JOINED,
    KNOWN,
    make_settings,
)
from trefoilhaven_core.connections.messages import BalancerHello
from trefoilhaven_core.connections.notices import StateOffer
from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    MemberState,
    State,
    StateRequest,
)
from trefoilhaven_core.membership.sources import agent_sender
from trefoilhaven_core.telemetry.runtimes import make_runtime
from trefoilhaven_core.wire.endpoints import DatagramEndpoint
from trefoilhaven_core.wire.transfers import TransferEndpoint, TransferError

RECORD = BalancerRecord('g8', 'a', 1, 1, MemberState.alive, KNOWN, KNOWN)
WHOLE = State('g8', (), (RECORD,), (), ())
HELLO = BalancerHello('g8', 'a', 1, 1.0)
ASKING = BalancerHello('g9', 'a', 2, 0.0)
OWN_OFFER = StateOffer(agent_sender('s1'), CONTROL)
GATEWAY_OFFER = StateOffer('g8', KNOWN)


class CopyFixture:
    """An agent that one balancer has greeted."""

    def __init__(self, state_offers: bool = True) -> None:
        """Start without a copy."""
        runtime = make_runtime('s1')
        self.sent: list[tuple[Any, Address]] = []
        endpoint = mock.Mock(spec=DatagramEndpoint)
        endpoint.send = lambda *args: self.sent.append(args)
        self.transfers = mock.Mock(spec=TransferEndpoint)
        self.balancers = KnownBalancers('a')
        self.task = CopyTask(
            make_settings()._replace(state_offers=state_offers),
            runtime,
            self.balancers,
            endpoint,
            self.transfers,
        )
        self.hear(HELLO, KNOWN)

    def hear(self, hello: BalancerHello, sender: Address) -> None:
        """Let a hello arrive."""
        self.balancers.on_hello(0, hello, sender)
        self.task.on_hello(hello, sender)

    async def fetch(self, result: Any) -> None:
        """Let the agent fetch the state, with a result of the call."""
        self.transfers.call = mock.AsyncMock(return_value=result)
        await self.task._fetch()  # noqa: SLF001

    def serve(self, req: StateRequest) -> State | None:
        """Return the answer to a call."""
        state: State | None = self.task._on_request(req)  # noqa: SLF001
        return state


@pytest.fixture(name='agent')
def agent_fixture() -> CopyFixture:
    """Return an agent."""
    return CopyFixture()


class TestOffers:
    """Answers to balancers that know no targets."""

    async def test_copy(self, agent: CopyFixture) -> None:
        """Guards against a restarted balancer that gets no offer."""
        await agent.fetch(Ok(WHOLE))
        agent.hear(ASKING, JOINED)
        assert agent.sent == [(OWN_OFFER, JOINED), (GATEWAY_OFFER, JOINED)]

    async def test_ordinary_hello(self, agent: CopyFixture) -> None:
        """Guards against offers of all agents to a balancer that is informed.

        It greets all of them when it has got the state.
        """
        await agent.fetch(Ok(WHOLE))
        agent.hear(ASKING._replace(interval_s=1.0), JOINED)
        assert not agent.sent

    def test_without_copy(self, agent: CopyFixture) -> None:
        """Guards against an offer of a copy that does not exist."""
        agent.hear(ASKING, JOINED)
        assert agent.sent == [(GATEWAY_OFFER, JOINED)]

    async def test_rate(self, agent: CopyFixture) -> None:
        """Guards against an agent that floods others with offers."""
        await agent.fetch(Ok(WHOLE))
        for _ in range(10 * MAX_ANSWERS_PER_S):
            agent.hear(ASKING, JOINED)
        assert len(agent.sent) <= 4 * MAX_ANSWERS_PER_S


class TestDisabled:
    """An agent whose settings do not enable offers."""

    async def test_silent(self) -> None:
        """Guards against changes where they are not enabled."""
        agent = CopyFixture(state_offers=False)
        agent.hear(ASKING, JOINED)
        await agent.task.run()
        assert not agent.sent
        agent.transfers.on.assert_not_called()


class TestServing:
    """The state that an agent gives."""

    async def test_sender(self, agent: CopyFixture) -> None:
        """Guards against a copy that seems to be of a balancer."""
        assert agent.serve(StateRequest('g9')) is None
        await agent.fetch(Ok(WHOLE))
        state = agent.serve(StateRequest('g9'))
        assert state is not None
        assert state.sender == agent_sender('s1')
        assert state.balancers == (RECORD,)
        assert agent.serve(StateRequest('g9', ('certify',))) is None

    @pytest.mark.parametrize(
        'result',
        [
            Error(TransferError('away')),
            Ok(WHOLE._replace(sender=agent_sender('s2'))),
            Ok(HELLO),
        ],
    )
    async def test_bad_source(self, agent: CopyFixture, result: Any) -> None:
        """Guards against copies of copies, and of something else."""
        await agent.fetch(result)
        assert agent.serve(StateRequest('g9')) is None
