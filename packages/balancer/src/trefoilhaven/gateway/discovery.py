"""Discovery of other gateways and the configuration.

The platform's store lists the processes and holds the configuration. Each
gateway gossips what it learns, so that a gateway whose calls the store
refuses learns it from its peers.
"""

import asyncio
import logging
import random
from collections.abc import Iterable
from typing import Final

from trefoilhaven.balancer.gossip import GossipTask, PeerAddresses
from trefoilhaven.gateway.evacuations import EvacuationTask
from trefoilhaven.gateway.membership import (
    MembershipTask,
    log_changed_targets,
)
from trefoilhaven.gateway.restorations import RestorationTask
from trefoilhaven.gateway.segments import SegmentTask
from trefoilhaven.gateway.state import GatewayState
from trefoilhaven.gateway.state_fetches import TransferStateFetcher
from trefoilhaven.gateway.target_policies import TargetPolicySender
from trefoilhaven_core.connections.evacuations import EVACUATIONS_NAME
from trefoilhaven_core.connections.pacing import far_report_interval_s
from trefoilhaven_core.connections.policies import (
    POLICIES_NAME,
    encode_policies,
)
from trefoilhaven_core.connections.route_codec import ROUTES_NAME, encode_routes
from trefoilhaven_core.membership.dissemination import Disseminator
from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    Changes,
    ConfigurationNotice,
    MemberState,
)
from trefoilhaven_core.membership.objects import (
    BALANCERS_PREFIX,
    balancer_content,
)
from trefoilhaven_core.membership.ranks import balancer_rank
from trefoilhaven_core.platform.adapters import (
    ROUTES_PATH,
    ROUTES_PREFIX,
    PlatformAdapter,
)
from trefoilhaven_core.platform.clients import ObjectChange
from trefoilhaven_core.platform.registrar import Registrar
from trefoilhaven_core.platform.watchers import Watcher
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.endpoints import DatagramEndpoint
from trefoilhaven_core.wire.transfers import TransferEndpoint

logger = logging.getLogger(__name__)

TICK_S: Final = 0.25

# The gateways of the lowest ranks use a watch timeout that is short enough to
# detect a dead connection to the store before a new configuration has to be
# in force. The others learn of the configuration by gossip and use a long
# timeout, since each watch that ends costs a call.
SHORT_WATCH_GATEWAYS: Final = 6
SHORT_WATCH_TIMEOUT_S: Final = 3.0
LONG_WATCH_TIMEOUT_S: Final = 24.0

# Longest time in seconds between two probes of an unavailable store by the
# gateways of the lowest ranks, so that one of them reads a new configuration
# within a second of the store's return, and by the others.
SHORT_PROBE_INTERVAL_S: Final = 0.5
LONG_PROBE_INTERVAL_S: Final = 2.0
WATCH_BACKOFF_LIMIT_S: Final = 0.5


class DiscoveryTask:
    """Finds balancers and routes, gossips, and announces this gateway."""

    def __init__(
        self,
        state: GatewayState,
        adapter: PlatformAdapter,
        endpoint: DatagramEndpoint,
        transfers: TransferEndpoint,
        segments: SegmentTask,
        rng: random.Random,
    ) -> None:
        """Register the handlers of the control socket."""
        cfg = state.cfg
        self._state = state
        self._adapter = adapter
        self._rng = rng
        self._client = adapter.make_client()
        own = BalancerRecord(
            cfg.name,
            cfg.failure_domain,
            state.runtime.incarnation,
            1,
            MemberState.alive,
            cfg.advertise_control,
            cfg.advertise_control,
        )
        seeds = {
            f'seed {address.host}': PeerAddresses(address, address)
            for address in self._seed_addresses()
        }
        self.gossip = GossipTask(
            state.store,
            Disseminator(own, state.store, rng, tuple(seeds)),
            endpoint,
            TransferStateFetcher(transfers),
            self._on_gossip,
            seeds,
        )
        self._registrar = Registrar(
            self._client,
            f'{BALANCERS_PREFIX}{cfg.name}',
            rng,
            lambda _: self.membership.registered.set(),
        )
        self._registrar.set_desired(balancer_content(own))
        self._target_policies = TargetPolicySender(state, endpoint)
        self.evacuations = EvacuationTask(
            state, self._client, self.gossip, rng, self._watch_timeout_s
        )
        self.membership = MembershipTask(
            state,
            self.gossip,
            self._client,
            endpoint,
            transfers,
            segments,
            self._target_policies,
            rng,
        )
        self.restorations = RestorationTask(
            state, self.gossip, self._client, endpoint, rng
        )

    async def run(self) -> None:
        """Discover and announce until cancelled."""
        await asyncio.gather(
            self._run_gossip(),
            self.membership.run(),
            self._registrar.run(),
            self._watch_routes(),
            self.evacuations.run(),
            self.restorations.run(),
        )

    def _seed_addresses(self) -> Iterable[Address]:
        """Return the control addresses of the seeds.

        The control port is the same on all hosts of a deployment.
        """
        own = self._state.cfg.control
        return [
            Address(seed.host, own.port)
            for seed in self._state.cfg.seeds
            if seed.host != own.host
        ]

    def _on_gossip(self, services: Iterable[str]) -> None:
        """Apply records that a peer sent."""
        touched = set(services)
        log_changed_targets(self._state.refresh(touched), 'a peer')
        if not touched.isdisjoint((POLICIES_NAME, EVACUATIONS_NAME)):
            self._target_policies.on_change(monotonic())
        if EVACUATIONS_NAME in touched:
            # What a peer distributed may be older than what is seen here.
            self.evacuations.tick(monotonic())

    async def _run_gossip(self) -> None:
        while True:
            now = monotonic()
            detections = self.gossip.detector.tick(now)
            if detections.balancers:
                name = self._state.cfg.name
                self.gossip.disseminate_changes(
                    Changes(name, (), detections.balancers)
                )
            self.gossip.tick(now, detections.probes)
            self.evacuations.tick(now)
            self._target_policies.tick(now)
            self._state.store.forget(now)
            self._state.refresh_peers()
            report_s = far_report_interval_s(len(self._state.store.balancers))
            self._state.target_selector.failure_detector.report_s = report_s
            self._client.limit_probe_interval(
                SHORT_PROBE_INTERVAL_S
                if self._is_early()
                else LONG_PROBE_INTERVAL_S
            )
            await asyncio.sleep(TICK_S)

    async def _watch_routes(self) -> None:
        watcher = Watcher(
            self._client,
            ROUTES_PREFIX,
            self._on_routes,
            self._rng,
            backoff_limit_s=WATCH_BACKOFF_LIMIT_S,
        )
        while True:
            watcher.watch_timeout_s = self._watch_timeout_s()
            await watcher.poll_with_backoff()

    def _watch_timeout_s(self) -> float:
        return (
            SHORT_WATCH_TIMEOUT_S if self._is_early() else LONG_WATCH_TIMEOUT_S
        )

    def _is_early(self) -> bool:
        """Return whether this gateway is to learn of a change first."""
        name = self._state.cfg.name
        rank = balancer_rank(name, self._state.store.balancers)
        return rank < SHORT_WATCH_GATEWAYS

    def _on_routes(self, change: ObjectChange) -> None:
        if change.deleted or change.path != ROUTES_PATH:
            return
        read = self._adapter.read_routes(change.content)
        if read.is_error():
            findings = [str(finding) for finding in read.error]
            logger.error('configuration rejected', extra={'findings': findings})
            return
        version = read.ok.version
        self._distribute(ROUTES_NAME, version, encode_routes(read.ok))
        if not self._state.cfg.uses_policies:
            return
        policies = self._adapter.read_policies(change.content)
        # Without any policies now and before, there is nothing to say.
        if policies[1:] != self._state.policies[1:] or any(policies[1:]):
            content = encode_policies(policies._replace(version=version))
            self._distribute(POLICIES_NAME, version, content)

    def _distribute(self, name: str, version: int, content: bytes) -> None:
        self.gossip.disseminate_configuration(
            ConfigurationNotice(self._state.cfg.name, name, version, content)
        )
