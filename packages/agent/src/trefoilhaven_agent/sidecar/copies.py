"""An agent's copy of the state, which it offers to restarted gateways."""

import asyncio
import logging
import random
from typing import Final

from trefoilhaven_agent.sidecar.balancers import KnownBalancers
from trefoilhaven_core.connections.evacuations import EVACUATIONS_NAME
from trefoilhaven_core.connections.messages import (
    BalancerHello,
)
from trefoilhaven_core.connections.notices import StateOffer, TargetPolicy
from trefoilhaven_core.connections.policies import POLICIES_NAME
from trefoilhaven_core.membership.copies import StateCopy
from trefoilhaven_core.membership.messages import (
    Address,
    State,
    StateRequest,
)
from trefoilhaven_core.membership.sources import agent_sender, is_whole
from trefoilhaven_core.settings.types import SidecarSettings
from trefoilhaven_core.telemetry.runtimes import ProcessRuntime
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.endpoints import DatagramEndpoint
from trefoilhaven_core.wire.transfers import TransferEndpoint

logger = logging.getLogger(__name__)

TICK_S: Final = 0.1

# Time in which a gateway has to answer, in seconds.
FETCH_TIMEOUT_S: Final = 1.0

# Gateways that an agent answers within a second, with two offers each.
MAX_ANSWERS_PER_S: Final = 20


class CopyTask:
    """Fetches the state from gateways, and serves it to those that restart."""

    def __init__(
        self,
        cfg: SidecarSettings,
        runtime: ProcessRuntime,
        balancers: KnownBalancers,
        endpoint: DatagramEndpoint,
        transfers: TransferEndpoint,
    ) -> None:
        """Register the handler of calls for the state."""
        self._rng = random.Random(f'{cfg.name}/{runtime.incarnation}/copy')
        self._sender = agent_sender(cfg.name)
        self._copy = StateCopy(self._sender, self._rng)
        self._offer = StateOffer(self._sender, cfg.advertise_control)
        self._balancers = balancers
        self._endpoint = endpoint
        self._transfers = transfers
        self._second_started_at = 0.0
        self._second_answers = 0
        metrics = runtime.metrics
        self._offers = metrics.counter('state_offers_sent')
        self._fetches = metrics.counter('states_fetched', source='gateway')
        self._failures = metrics.counter('state_fetches_failed')
        self._served = metrics.counter('states_served')
        metrics.gauge('state_copy_bytes', lambda: self._copy.size)
        self._is_enabled = cfg.state_offers
        if self._is_enabled:
            transfers.on(StateRequest, self._on_request)

    async def run(self) -> None:
        """Keep the copy up to date until cancelled, unless disabled."""
        while self._is_enabled:
            if self._copy.is_due(monotonic()):
                await self._fetch()
            await asyncio.sleep(TICK_S)

    def on_hello(self, hello: BalancerHello, sender: Address) -> None:
        """Answer a gateway that knows no targets by offers.

        Such a gateway sends a hello with an interval of 0, and limits itself
        how many agents it asks. Besides the copy, it is offered the state of
        a gateway that greeted this agent, which is complete if that gateway
        has not restarted since.
        """
        now = monotonic()
        if hello.interval_s > 0:
            self._copy.on_hello(now)
            return
        if not (self._is_enabled and self._may_answer(now)):
            return
        if self._copy.state is not None:
            self._send_offer(self._offer, sender)
        informed = self._balancers.informed()
        if informed:
            self._send_offer(StateOffer(*self._rng.choice(informed)), sender)

    def on_policy(self, policy: TargetPolicy) -> None:
        """Fetch soon if the copy is older than what a gateway announces."""
        self._copy.on_version(POLICIES_NAME, policy.version)
        self._copy.on_version(EVACUATIONS_NAME, policy.evacuations_version)

    def _may_answer(self, now: float) -> bool:
        if now - self._second_started_at >= 1:
            self._second_started_at = now
            self._second_answers = 0
        self._second_answers += 1
        return self._second_answers <= MAX_ANSWERS_PER_S

    def _send_offer(self, offer: StateOffer, balancer: Address) -> None:
        self._offers.add()
        self._endpoint.send(offer, balancer)
        logger.info(
            'state offered',
            extra={
                'to': str(balancer),
                'source': offer.sender,
                'bytes': self._copy.size,
            },
        )

    def _on_request(self, req: StateRequest) -> State | None:
        """Return the copy; None for single services, as it may be old."""
        state = None if req.services else self._copy.state
        if state is not None:
            self._served.add()
            logger.info('state served', extra={'balancer': req.sender})
        return state

    async def _fetch(self) -> None:
        near = self._balancers.addresses(near_only=True)
        addresses = near or self._balancers.addresses()
        if not addresses:
            self._copy.on_fetched(monotonic(), None)
            return
        address = self._rng.choice(addresses)
        called = await self._transfers.call(
            address, StateRequest(self._sender), FETCH_TIMEOUT_S
        )
        state = called.ok if called.is_ok() else None
        if not (isinstance(state, State) and is_whole(state)):
            self._failures.add()
            self._copy.on_fetched(monotonic(), None)
            return
        self._fetches.add()
        self._copy.on_fetched(monotonic(), state)
        logger.info(
            'copy of the state renewed',
            extra={
                'source': state.sender,
                'bytes': self._copy.size,
                'versions': {
                    each.service: each.version for each in state.configurations
                },
            },
        )
