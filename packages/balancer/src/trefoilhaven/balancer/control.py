"""Control traffic of a balancer: heartbeats, leases and detections.

The task passes heartbeats and fence requests to the witness and the failure
detector; the gossip task disseminates what they detect.
"""

import asyncio
from typing import Final

from trefoilhaven.balancer.gossip import (
    GossipTask,
    PeerAddresses,
    StateFetcher,
)
from trefoilhaven.balancer.reports import publish_detections
from trefoilhaven.balancer.state import BalancerState
from trefoilhaven_core.membership.dissemination import Disseminator
from trefoilhaven_core.membership.leases import (
    AckSummary,
    LeaseWitness,
    TargetKey,
)
from trefoilhaven_core.membership.messages import (
    Address,
    Changes,
    FenceRequest,
    Heartbeat,
    State,
    StateRequest,
)
from trefoilhaven_core.settings.types import BalancerSettings
from trefoilhaven_core.telemetry.runtimes import ProcessClock
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.calls import call_peer
from trefoilhaven_core.wire.endpoints import DatagramEndpoint

TICK_S: Final = 0.25

# Interval at which a witness drops the grants of targets that are in no view,
# not registered and not seen for a day.
FORGET_INTERVAL_S: Final = 60.0

# Interval at which old records are dropped, and at which a witness starts to
# expect heartbeats of members that it knows from others only.
WATCH_INTERVAL_S: Final = 1.0


class GrpcStateFetcher(StateFetcher):
    """Fetches states by gRPC."""

    def __init__(self, clock: ProcessClock) -> None:
        self._clock = clock

    async def fetch(self, address: Address, req: StateRequest) -> State | None:
        """Return the peer's state, None when it did not answer."""
        called = await call_peer(address, req, clock=self._clock.stamp())
        if called.is_error() or not isinstance(called.ok.message, State):
            return None
        self._clock.observe(called.ok.clock)
        return called.ok.message


class ControlTask:
    """Handles heartbeats and fence requests, and detects failures."""

    def __init__(
        self,
        cfg: BalancerSettings,
        state: BalancerState,
        disseminator: Disseminator,
        endpoint: DatagramEndpoint,
    ) -> None:
        """Register the handlers of the control socket."""
        now = monotonic()
        self.gossip = GossipTask(
            state.store,
            disseminator,
            endpoint,
            GrpcStateFetcher(state.runtime.clock),
            state.refresh,
            {seed.name: PeerAddresses(*seed[2:]) for seed in cfg.seeds},
        )
        self._cfg = cfg
        self._state = state
        self._endpoint = endpoint
        self._witness = LeaseWitness(cfg.name, now)
        self._detector = self.gossip.detector
        self._watch_due = now
        self._forget_due = now
        endpoint.on(Heartbeat, self._on_heartbeat)
        endpoint.on(FenceRequest, self._on_fence)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self._tick(monotonic())
            await asyncio.sleep(TICK_S)

    def _tick(self, now: float) -> None:
        detections = self._detector.tick(now)
        if (
            detections.members
            or detections.balancers
            or detections.silent_domains
        ):
            publish_detections(self._state.runtime, detections)
            changes = Changes(
                self._cfg.name,
                detections.members,
                detections.balancers,
                detections.silent_domains,
            )
            self.gossip.disseminate_changes(changes)
            self._state.refresh_all()
        self.gossip.tick(now, detections.probes)
        if now >= self._watch_due:
            self._watch_due = now + WATCH_INTERVAL_S
            self._watch_members(now)

    def _watch_members(self, now: float) -> None:
        """Expire records; as a witness, expect heartbeats of all members."""
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
            self._disseminate_member(heartbeat)
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

    def _disseminate_member(self, heartbeat: Heartbeat) -> None:
        member = heartbeat.member
        changes = Changes(self._cfg.name, (member,), (), ())
        self.gossip.disseminate_changes(changes)
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
