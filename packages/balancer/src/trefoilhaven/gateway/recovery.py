"""Start of a gateway without the store, and help for those that start.

A gateway that does not know all targets fetches the state from whoever
offers it, and asks the agents that report for their copies. A gateway that
knows them offers its state to peers that have restarted.
"""

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable
from typing import Final

from trefoilhaven.balancer.gossip import GossipTask
from trefoilhaven.gateway.state import GatewayState
from trefoilhaven_core.connections.messages import (
    BalancerHello,
    TargetsReply,
)
from trefoilhaven_core.connections.notices import StateOffer
from trefoilhaven_core.membership.messages import (
    Address,
    Digest,
    MemberState,
    State,
    StateRequest,
)
from trefoilhaven_core.membership.offers import (
    COMPLETE_SEQUENCE_STEP,
    OfferSchedule,
)
from trefoilhaven_core.membership.sources import (
    Source,
    StateSources,
    is_whole,
)
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.endpoints import DatagramEndpoint
from trefoilhaven_core.wire.transfers import TransferEndpoint

logger = logging.getLogger(__name__)

TICK_S: Final = 0.05

# A hello with this interval asks the agent for its copy of the state.
ASKING_INTERVAL_S: Final = 0.0

# A reply to no query, by which a gateway tells that its list is complete.
UNASKED_AT: Final = 0.0


class RecoveryTask:
    """Fetches the state after a start, and offers it to others.

    ``sources`` decides about the former and ``schedule`` about the latter.
    """

    def __init__(
        self,
        state: GatewayState,
        gossip: GossipTask,
        endpoint: DatagramEndpoint,
        transfers: TransferEndpoint,
        rng: random.Random,
        on_fetched: Callable[[str, bool], None],
    ) -> None:
        """Register the handler of offers.

        ``on_fetched`` gets the source of a state and whether that is
        complete.
        """
        cfg = state.cfg
        metrics = state.runtime.metrics
        self._state = state
        self._gossip = gossip
        self._endpoint = endpoint
        self._transfers = transfers
        self._on_fetched = on_fetched
        self._offer = StateOffer(cfg.name, cfg.advertise_control)
        self.schedule = OfferSchedule(cfg.name, rng)
        self.sources = StateSources(cfg.name, rng)
        self._offered = asyncio.Event()
        self._asking_hello = BalancerHello(
            cfg.name,
            cfg.failure_domain,
            state.runtime.incarnation,
            ASKING_INTERVAL_S,
        )
        self._offers = metrics.counter('state_offers_sent')
        self._fetches = {
            source: metrics.counter('states_fetched', source=source)
            for source in ('agent', 'gateway')
        }
        self._failures = metrics.counter('state_fetches_failed')
        self._is_enabled = cfg.state_offers
        if self._is_enabled:
            endpoint.on(StateOffer, self._on_offer)
            gossip.on_digest(self._on_digest)

    async def run(self) -> None:
        """Fetch and offer the state until cancelled, unless disabled."""
        if not self._is_enabled:
            return
        await asyncio.gather(self._fetch_until_complete(), self._send_offers())

    def on_report(self, agent: Address) -> None:
        """Ask an agent that has reported for its copy, if that is due."""
        if self._is_enabled and self.sources.should_ask(monotonic()):
            self._endpoint.send(self._asking_hello, agent)

    def on_complete(self) -> None:
        """Stop fetching, since the list of targets is complete.

        The announcement tells all peers, so that they end their offers.
        """
        if self.sources.is_complete or not self._is_enabled:
            return
        self.sources.on_complete()
        self._offered.set()
        if not self._state.is_stopping:
            self._gossip.announce(MemberState.alive, COMPLETE_SEQUENCE_STEP)

    def on_complete_peer(self, peer: str) -> None:
        """Stop offering to a peer whose list of targets is complete."""
        self.schedule.on_complete(monotonic(), peer)

    def _on_offer(self, offer: StateOffer, sender: Address) -> None:
        if self.sources.is_complete:
            name = self._state.cfg.name
            reply = TargetsReply(name, UNASKED_AT, (), is_partial=False)
            self._endpoint.send(reply, sender)
            return
        self.sources.on_offer(offer.sender, offer.address)
        self._offered.set()

    def _on_digest(self, digest: Digest) -> None:
        self.schedule.on_digest(monotonic(), digest)

    async def _fetch_until_complete(self) -> None:
        while not self.sources.is_complete:
            balancers = self._state.store.balancers
            source = self.sources.next_source(monotonic(), balancers)
            if source is not None:
                await self._fetch(source)
                continue
            self._offered.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_S):
                    await self._offered.wait()

    async def _fetch(self, source: Source) -> None:
        req = StateRequest(self._state.cfg.name)
        called = await self._transfers.call(
            source.address, req, self.sources.timeout_s(source)
        )
        if self.sources.is_complete:
            return
        if called.is_error() or not isinstance(called.ok, State):
            self._failures.add()
            self.sources.on_failure(monotonic(), source)
            return
        is_complete = is_whole(called.ok)
        kind = 'gateway' if is_complete else 'agent'
        self._fetches[kind].add()
        logger.info(
            'state fetched',
            extra={
                'source': source.name,
                'kind': kind,
                'members': len(called.ok.members),
                'balancers': len(called.ok.balancers),
                'versions': {
                    each.service: each.version
                    for each in called.ok.configurations
                },
            },
        )
        self._gossip.merge_state(called.ok)
        if not is_complete:
            self.sources.on_copy(source)
        self._on_fetched(kind, is_complete)

    async def _send_offers(self) -> None:
        store = self._state.store
        revision = -1
        while True:
            now = monotonic()
            if revision != store.balancers_revision:
                revision = store.balancers_revision
                self.schedule.observe(now, store.balancers)
            if self.sources.is_complete:
                for peer in self.schedule.due(now, store.balancers):
                    self._send_offer(peer)
            await asyncio.sleep(TICK_S)

    def _send_offer(self, peer: str) -> None:
        record = self._state.store.balancer(peer)
        if record is None:
            return
        self._offers.add()
        self._endpoint.send(self._offer, record.control)
        logger.info(
            'state offered',
            extra={
                'peer': peer,
                'incarnation': record.incarnation,
                'state': record.state.name,
            },
        )
