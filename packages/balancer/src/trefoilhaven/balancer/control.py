"""Control traffic of a balancer: heartbeats, leases and dissemination.

The task owns the control socket. It feeds the witness, the failure
detector and the disseminator and carries out their effects.
"""

import asyncio
import logging
from collections.abc import Iterable
from typing import Final

from trefoilhaven.balancer.reports import publish_detections
from trefoilhaven.balancer.state import BalancerState
from trefoilhaven_core.membership.detectors import FailureDetector
from trefoilhaven_core.membership.dissemination import (
    Disseminator,
    Effect,
    PullState,
)
from trefoilhaven_core.membership.leases import (
    AckSummary,
    LeaseWitness,
    TargetKey,
)
from trefoilhaven_core.membership.messages import (
    Address,
    Changes,
    ConfigurationNotice,
    Digest,
    FenceRequest,
    Heartbeat,
    MemberState,
    RegistryNotice,
    State,
    StateRequest,
)
from trefoilhaven_core.settings.types import BalancerSettings
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.calls import call_peer
from trefoilhaven_core.wire.endpoints import DatagramEndpoint

logger = logging.getLogger(__name__)

# Senders can name any peer, which must not fill the memory.
MAX_HEARD: Final = 1024

TICK_S: Final = 0.25

# Members that others told about are looked through this often.
FORGET_INTERVAL_S: Final = 60.0
WATCH_INTERVAL_S: Final = 1.0


class ControlTask:
    """Heartbeats, fence votes and the spread of changes."""

    def __init__(
        self,
        cfg: BalancerSettings,
        state: BalancerState,
        disseminator: Disseminator,
        endpoint: DatagramEndpoint,
    ) -> None:
        """Register the handlers of the control socket."""
        now = monotonic()
        self.disseminator = disseminator
        self._cfg = cfg
        self._state = state
        self._endpoint = endpoint
        self._witness = LeaseWitness(cfg.name, now)
        self._detector = FailureDetector(disseminator.own, state.store, now)
        self._seeds = {
            seed.name: seed for seed in cfg.seeds if seed.name != cfg.name
        }
        self._watch_due = now
        self._forget_due = now
        # Peers that are not known yet are answered at their source address.
        self._heard: dict[str, Address] = {}
        self._pulls: set[asyncio.Task[None]] = set()
        endpoint.on(Heartbeat, self._on_heartbeat)
        endpoint.on(FenceRequest, self._on_fence)
        endpoint.on(Changes, self._on_changes)
        endpoint.on(Digest, self._on_digest)
        endpoint.on(ConfigurationNotice, self._on_configuration)
        endpoint.on(RegistryNotice, self._on_registry)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self._tick(monotonic())
            await asyncio.sleep(TICK_S)

    def apply(self, effects: Iterable[Effect]) -> None:
        """Send messages and start transfers."""
        for effect in effects:
            if isinstance(effect, PullState):
                self._start_pull(effect)
                continue
            address = self._control_of(effect.peer)
            if address is None:
                continue
            if isinstance(effect.message, Digest):
                now = monotonic()
                if not effect.message.is_reply:
                    self._detector.on_probe_sent(now, effect.peer)
            self._endpoint.send(effect.message, address)

    def announce(self, state: MemberState) -> None:
        """Spread a new state of this balancer."""
        self.apply(self.disseminator.announce(monotonic(), state))

    def take_configuration(self, notice: ConfigurationNotice) -> None:
        """Take a version that this process read from the platform."""
        self.apply(
            self.disseminator.on_configuration(monotonic(), notice),
        )
        self._state.refresh([notice.service])

    def take_registry(self, notice: RegistryNotice) -> None:
        """Take registrations that this process read or wrote."""
        self.apply(self.disseminator.on_registry(monotonic(), notice))
        self._state.refresh([notice.service])

    async def pull_from_seeds(self) -> bool:
        """Fetch everything from the first seed that answers."""
        for seed in self._seeds.values():
            if await self._pull(seed.rpc, ()):
                return True
        return False

    def _tick(self, now: float) -> None:
        found = self._detector.tick(now)
        if found.members or found.balancers or found.silent_domains:
            publish_detections(self._state.runtime, found)
            changes = Changes(
                self._cfg.name,
                found.members,
                found.balancers,
                found.silent_domains,
            )
            self.apply(self.disseminator.on_changes(now, changes))
            self._state.refresh_all()
        self.apply(self.disseminator.probe(peer) for peer in found.probes)
        self.apply(self.disseminator.tick(now))
        if now >= self._watch_due:
            self._watch_due = now + WATCH_INTERVAL_S
            self._watch(now)

    def _watch(self, now: float) -> None:
        """Expect heartbeats of all members, as a witness."""
        store = self._state.store
        store.forget(now)
        if self._cfg.name not in self._cfg.witnesses:
            return
        for service in store.services:
            self._detector.watch(now, store.members(service))
        if now >= self._forget_due:
            self._forget_due = now + FORGET_INTERVAL_S
            self._witness.forget(now, self._known_targets())

    def _known_targets(self) -> set[TargetKey]:
        store = self._state.store
        known: set[TargetKey] = set()
        for service in store.services:
            known.update(
                (service, member.target) for member in store.members(service)
            )
            known.update(
                (service, entry.target)
                for entry in store.registry(service).registrations
            )
        return known

    def _on_heartbeat(self, heartbeat: Heartbeat, sender: Address) -> None:
        now = monotonic()
        member = heartbeat.member
        service = member.service
        known = self._state.store.member(service, member.target)
        if known != member:
            self._note_change(now, heartbeat)
        contradiction = self._detector.on_heartbeat(now, member)
        if contradiction is not None:
            report = Changes(self._cfg.name, (contradiction,), ())
            self._endpoint.send(report, sender)
        self._state.loads.record(now, service, member.target, heartbeat.load)
        summary = AckSummary(
            self._state.store.digest(service),
            self._state.store.configuration(service).version,
            self._state.loads.loads(now, service, member.target),
        )
        reply = self._witness.on_heartbeat(now, heartbeat, summary)
        if reply is not None:
            self._endpoint.send(reply, sender)

    def _note_change(self, now: float, heartbeat: Heartbeat) -> None:
        member = heartbeat.member
        changes = Changes(self._cfg.name, (member,), (), ())
        self.apply(self.disseminator.on_changes(now, changes))
        self._state.refresh([member.service])
        if self._state.store.member(member.service, member.target) == member:
            self._state.runtime.publish(
                f'target {member.state.name}',
                member.service,
                host=member.target,
                detail=f'incarnation {member.incarnation}',
            )

    def _on_fence(self, req: FenceRequest, sender: Address) -> None:
        vote = self._witness.on_fence(monotonic(), req)
        if vote.agreed:
            self._state.runtime.publish(
                'lease fenced',
                req.service,
                host=req.target,
                detail=f'term {req.term}, asked by {req.claimant}',
            )
        self._endpoint.send(vote, sender)

    def _on_changes(self, changes: Changes, sender: Address) -> None:
        now = monotonic()
        self._detector.on_peer(now, changes.sender)
        self.apply(self.disseminator.on_changes(now, changes))
        services = {member.service for member in changes.members}
        for report in changes.silent_domains:
            services.update(report.services)
        self._state.refresh(services)

    def _on_digest(self, digest: Digest, sender: Address) -> None:
        now = monotonic()
        self._detector.on_peer(now, digest.sender)
        self._note_source(digest.sender, sender)
        self.apply(self.disseminator.on_digest(now, digest))

    def _on_configuration(
        self,
        notice: ConfigurationNotice,
        sender: Address,
    ) -> None:
        self.take_configuration(notice)

    def _on_registry(self, notice: RegistryNotice, sender: Address) -> None:
        self.take_registry(notice)

    def _note_source(self, peer: str, address: Address) -> None:
        if self._state.store.balancer(peer) is not None:
            self._heard.pop(peer, None)
        elif len(self._heard) < MAX_HEARD:
            self._heard[peer] = address

    def _control_of(self, peer: str) -> Address | None:
        record = self._state.store.balancer(peer)
        if record is not None:
            return record.control
        seed = self._seeds.get(peer)
        return seed.control if seed else self._heard.get(peer)

    def _start_pull(self, effect: PullState) -> None:
        record = self._state.store.balancer(effect.peer)
        source = record or self._seeds.get(effect.peer)
        if source is None:
            return
        task = asyncio.create_task(
            self._pull_later(source.rpc, effect.services),
        )
        self._pulls.add(task)
        task.add_done_callback(self._pulls.discard)

    async def _pull_later(
        self,
        address: Address,
        services: tuple[str, ...],
    ) -> None:
        await self._pull(address, services)

    async def _pull(
        self,
        address: Address,
        services: tuple[str, ...],
    ) -> bool:
        req = StateRequest(self._cfg.name, services)
        stamp = self._state.runtime.clock.stamp()
        called = await call_peer(address, req, clock=stamp)
        if called.is_error() or not isinstance(called.ok.message, State):
            logger.info('state transfer failed', extra={'peer': str(address)})
            return False
        self._state.runtime.clock.observe(called.ok.clock)
        self.apply(
            self.disseminator.on_state(monotonic(), called.ok.message),
        )
        self._state.refresh_all()
        return True
