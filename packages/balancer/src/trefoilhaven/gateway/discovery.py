"""Discovery of agents, other gateways and the configuration.

The platform's store lists the processes and holds the configuration. Each
gateway gossips what it learns, so that a gateway whose calls the store
refuses learns it from its peers. Agents report to every gateway that they
know.
"""

import asyncio
import logging
import random
from collections.abc import Iterable
from typing import Final

from trefoilhaven.balancer.gossip import GossipTask, PeerAddresses, StateFetcher
from trefoilhaven.gateway.segments import SegmentTask
from trefoilhaven.gateway.state import GatewayState
from trefoilhaven_core.connections.messages import BalancerHello, TargetReport
from trefoilhaven_core.connections.pacing import (
    HELLO_S,
    far_report_interval_s,
    hello_interval_s,
)
from trefoilhaven_core.connections.route_codec import ROUTES_NAME, encode_routes
from trefoilhaven_core.membership.dissemination import Disseminator
from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    Changes,
    ConfigurationNotice,
    MemberState,
    State,
    StateRequest,
)
from trefoilhaven_core.membership.objects import (
    BALANCERS_PREFIX,
    TARGETS_PREFIX,
    balancer_content,
    read_balancer,
    read_member,
)
from trefoilhaven_core.membership.ranks import balancer_rank
from trefoilhaven_core.platform.adapters import (
    ROUTES_PATH,
    ROUTES_PREFIX,
    PlatformAdapter,
)
from trefoilhaven_core.platform.backoffs import Backoff
from trefoilhaven_core.platform.clients import ObjectChange
from trefoilhaven_core.platform.errors import describe_error
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
WATCH_BACKOFF_LIMIT_S: Final = 0.5

LIST_BACKOFF_LIMIT_S: Final = 1.0


class TransferStateFetcher(StateFetcher):
    """Fetches states by plain TCP calls."""

    def __init__(self, transfers: TransferEndpoint) -> None:
        self._transfers = transfers

    async def fetch(self, address: Address, req: StateRequest) -> State | None:
        """Return the peer's state, None when it did not answer."""
        called = await self._transfers.call(address, req)
        if called.is_error() or not isinstance(called.ok, State):
            return None
        return called.ok


class DiscoveryTask:
    """Finds members, balancers and routes, and announces this gateway."""

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
        self._endpoint = endpoint
        self._segments = segments
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
            state.refresh,
            seeds,
        )
        self._registrar = Registrar(
            self._client, f'{BALANCERS_PREFIX}{cfg.name}', rng
        )
        self._registrar.set_desired(balancer_content(own))
        self._hello = BalancerHello(
            cfg.name, cfg.failure_domain, state.runtime.incarnation, HELLO_S
        )
        endpoint.on(TargetReport, self._on_report)
        transfers.on(StateRequest, self._on_state)

    async def run(self) -> None:
        """Discover and announce until cancelled."""
        await asyncio.gather(
            self._run_gossip(),
            self._send_hellos(),
            self._read_members(),
            self._fetch_from_seeds(),
            self._registrar.run(),
            self._watch_routes(),
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
            self._state.store.forget(now)
            self._state.refresh_peers()
            report_s = far_report_interval_s(len(self._state.store.balancers))
            self._state.target_selector.failure_detector.report_s = report_s
            await asyncio.sleep(TICK_S)

    async def _send_hellos(self) -> None:
        """Announce this gateway to all agents regularly."""
        while True:
            await asyncio.sleep(self._send_hello())

    def _send_hello(self) -> float:
        """Send a hello to all agents; return the seconds until the next."""
        targets = self._state.targets()
        interval_s = hello_interval_s(len(targets))
        hello = self._hello._replace(interval_s=interval_s)
        addresses = [member.control for member in targets]
        self._endpoint.send(hello, *addresses)
        return interval_s

    async def _fetch_from_seeds(self) -> None:
        """Fetch the full state from a seed, to start without the store."""
        backoff = Backoff(self._rng, limit_s=LIST_BACKOFF_LIMIT_S)
        while not self._state.router.is_membership_complete:
            if await self.gossip.fetch_from_seeds():
                self._set_membership_complete('a peer')
                return
            await asyncio.sleep(backoff.next_s())

    async def _read_members(self) -> None:
        """Read all members and balancers from the store, with retries."""
        backoff = Backoff(self._rng, limit_s=LIST_BACKOFF_LIMIT_S)
        while True:
            targets = await self._client.list(TARGETS_PREFIX)
            balancers = await self._client.list(BALANCERS_PREFIX)
            if targets.is_ok() and balancers.is_ok():
                break
            failed = targets if targets.is_error() else balancers
            logger.warning(
                'could not list the members and balancers',
                extra={'reason': describe_error(failed.error)},
            )
            await asyncio.sleep(backoff.next_s())
        members = [read_member(each.content) for each in targets.ok.objects]
        records = [read_balancer(each.content) for each in balancers.ok.objects]
        for read in (*members, *records):
            if read.is_error():
                logger.warning('malformed object', extra={'reason': read.error})
        known = tuple(read.ok for read in members if read.is_ok())
        self.gossip.disseminate_changes(
            Changes(
                self._state.cfg.name,
                known,
                tuple(read.ok for read in records if read.is_ok()),
            )
        )
        self._state.refresh({member.service for member in known})
        self._set_membership_complete('the store')

    def _set_membership_complete(self, source: str) -> None:
        self._state.set_membership_complete(monotonic())
        self._send_hello()
        logger.info(
            'list of targets is known',
            extra={'source': source, 'targets': len(self._state.targets())},
        )

    async def _watch_routes(self) -> None:
        watcher = Watcher(
            self._client,
            ROUTES_PREFIX,
            self._on_routes,
            self._rng,
            backoff_limit_s=WATCH_BACKOFF_LIMIT_S,
        )
        while True:
            name = self._state.cfg.name
            rank = balancer_rank(name, self._state.store.balancers)
            is_short = rank < SHORT_WATCH_GATEWAYS
            watcher.watch_timeout_s = (
                SHORT_WATCH_TIMEOUT_S if is_short else LONG_WATCH_TIMEOUT_S
            )
            await watcher.poll_with_backoff()

    def _on_routes(self, change: ObjectChange) -> None:
        if change.deleted or change.path != ROUTES_PATH:
            return
        read = self._adapter.read_routes(change.content)
        if read.is_error():
            findings = [str(finding) for finding in read.error]
            logger.error('configuration rejected', extra={'findings': findings})
            return
        self.gossip.disseminate_configuration(
            ConfigurationNotice(
                self._state.cfg.name,
                ROUTES_NAME,
                read.ok.version,
                encode_routes(read.ok),
            )
        )

    def _on_report(self, report: TargetReport, sender: Address) -> None:
        member = report.member
        known = self._state.store.member(member.service, member.target)
        if known != member:
            left = self._state.replaced_by(member)
            changes = Changes(self._state.cfg.name, (member, *left), ())
            self.gossip.disseminate_changes(changes)
            self._state.refresh({each.service for each in changes.members})
            logger.info(
                'target changed',
                extra={
                    'service': member.service,
                    'target': member.target,
                    'incarnation': member.incarnation,
                    'sequence': member.sequence,
                    'state': member.state.name,
                    'replaces': [each.target for each in left],
                },
            )
        self._segments.on_report(report)

    def _on_state(self, req: StateRequest) -> State | None:
        """Return the records, None while this gateway does not know all.

        A starting gateway takes a reply for all services as complete.
        """
        if not req.services and not self._state.router.is_membership_complete:
            return None
        return self._state.store.state(self._state.cfg.name, req.services)
