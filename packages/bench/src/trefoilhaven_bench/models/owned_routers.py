"""The product's bucket ownership and flow tables as a ``FlowRouter``."""

from collections import deque
from collections.abc import Iterable
from typing import Final

from trefoilhaven_bench.models.routers import Arrival, FlowRouter, States
from trefoilhaven_core.flows.effects import (
    Deliver,
    Effect,
    Forward,
    SendFlowsEnded,
    SendReset,
)
from trefoilhaven_core.flows.held import hash_flow
from trefoilhaven_core.flows.messages import FlowFlag, FlowKey, FlowPacket
from trefoilhaven_core.flows.tables import FlowTable
from trefoilhaven_core.membership.messages import (
    Address,
    FenceRequest,
    FenceVote,
    Load,
    Member,
    Registration,
    ServiceView,
)
from trefoilhaven_core.ownership import effects as ownership_effects
from trefoilhaven_core.ownership.claims import BucketOwnership
from trefoilhaven_core.routing.tables import bucket_of, build_table

_WITNESSES: Final = ('entry-1', 'entry-2', 'entry-3')
_INCARNATION: Final = 1
_UNUSED_ADDRESS: Final = Address('127.0.0.1', 1)

# Duration of a lease, silence after which witnesses agree to a fence, and
# interval of heartbeats, in seconds.
_LEASE_S: Final = 2.0
_FENCE_AFTER_S: Final = 2.5
_HEARTBEAT_INTERVAL_S: Final = 0.5


class _Agent:
    """Ownership and flow table of one target."""

    def __init__(self, service: str, target: str) -> None:
        self.target = target
        self.ownership = BucketOwnership(
            service, target, _INCARNATION, witnesses=_WITNESSES
        )
        self.flows = FlowTable(service, target, _INCARNATION)


class OwnershipRouter(FlowRouter):
    """Agents own buckets and keep flows; balancers only use bucket tables.

    Messages between agents arrive without delay, since the comparison is
    about views that differ. Loads are as old as the last heartbeat.
    """

    def __init__(self, service: str) -> None:
        """Start without agents."""
        super().__init__(service)
        self._tables = {0: build_table(service, ())}
        self._agents: dict[str, _Agent] = {}
        self._killed_at: dict[str, float] = {}
        self._loads: dict[str, Load] = {}
        self._beat_at = float('-inf')
        self._version = 0

    def set_targets(self, balancer: int, targets: tuple[str, ...]) -> None:
        """Compute the balancer's bucket table."""
        super().set_targets(balancer, targets)
        self._tables[balancer] = build_table(self._service, targets)

    def start_target(self, now: float, target: str) -> None:
        """Start and register the agent of a target."""
        self._version += 1
        self._agents[target] = _Agent(self._service, target)

    def kill_target(self, now: float, target: str) -> None:
        """Stop an agent; its target stays registered."""
        self._agents.pop(target)
        self._loads.pop(target, None)
        self._killed_at[target] = now

    def set_states(self, now: float, observer: str, states: States) -> None:
        """Give an agent a view in which all targets in states are registered."""
        agent = self._agents.get(observer)
        if agent is None:
            return
        view = ServiceView(
            self._service,
            self._version,
            tuple(Registration(name, _INCARNATION) for name in states),
            tuple(self._make_member(name, states) for name in states),
        )
        self._apply(now, agent, agent.ownership.on_view(now, view))

    def advance(self, now: float) -> list[Arrival]:
        """Renew leases and loads at heartbeats and run every agent's tick."""
        if now - self._beat_at >= _HEARTBEAT_INTERVAL_S:
            self._beat_at = now
            for agent in self._agents.values():
                agent.ownership.on_lease(now + _LEASE_S)
                load = Load(open_flows=len(agent.flows))
                self._loads[agent.target] = load
        arrivals: list[Arrival] = []
        for agent in list(self._agents.values()):
            self._apply(now, agent, agent.ownership.tick(now, now))
            effects = agent.flows.tick(now, agent.ownership, self._loads)
            arrivals.extend(self._carry_out(now, agent, effects))
        return arrivals

    def route(
        self, now: float, balancer: int, flow: FlowKey, is_first: bool
    ) -> list[Arrival]:
        """Send the packet to the agent that the balancer's table names."""
        flags = FlowFlag.first if is_first else FlowFlag.none
        packet = FlowPacket(self._service, flow, flags, 0, 0, b'')
        table = self._tables[balancer]
        target = table.first(bucket_of(hash_flow(self._service, flow)))
        return [] if target is None else self._send(now, target, packet)

    def _send(
        self, now: float, target: str, packet: FlowPacket
    ) -> list[Arrival]:
        agent = self._agents.get(target)
        if agent is None:
            return []
        effects = agent.flows.on_packet(
            now, packet, agent.ownership, self._loads
        )
        return self._carry_out(now, agent, effects)

    def _carry_out(
        self, now: float, agent: _Agent, effects: Iterable[Effect]
    ) -> list[Arrival]:
        arrivals: list[Arrival] = []
        for effect in effects:
            if isinstance(effect, Deliver):
                arrivals.append(Arrival(effect.flow, agent.target))
            elif isinstance(effect, SendReset):
                arrivals.append(Arrival(effect.flow, None))
            elif isinstance(effect, Forward):
                arrivals.extend(self._send(now, effect.target, effect.packet))
            elif isinstance(effect, SendFlowsEnded):
                self._send_flows_ended(effect)
        return arrivals

    def _send_flows_ended(self, effect: SendFlowsEnded) -> None:
        agent = self._agents.get(effect.target)
        if agent is not None:
            agent.flows.on_flows_ended(effect.message, agent.ownership)

    def _apply(
        self,
        now: float,
        agent: _Agent,
        effects: Iterable[ownership_effects.Effect],
    ) -> None:
        queue = deque((agent, effect) for effect in effects)
        while queue:
            sender, effect = queue.popleft()
            answers: list[ownership_effects.Effect] = []
            if isinstance(effect, ownership_effects.SendClaim):
                answers = self._deliver_claim(now, sender, effect)
            elif isinstance(effect, ownership_effects.SendFence):
                answers = self._collect_fence_votes(now, sender, effect.request)
            queue.extend((sender, answer) for answer in answers)

    def _deliver_claim(
        self, now: float, sender: _Agent, effect: ownership_effects.SendClaim
    ) -> list[ownership_effects.Effect]:
        sibling = self._agents.get(effect.target)
        if sibling is None:
            return []
        reply = sibling.ownership.on_claim(
            now, effect.claim, sibling.flows.directory_entries
        )
        return sender.ownership.on_reply(now, now, reply)

    def _collect_fence_votes(
        self, now: float, sender: _Agent, request: FenceRequest
    ) -> list[ownership_effects.Effect]:
        killed_at = self._killed_at.get(request.target, now)
        effects: list[ownership_effects.Effect] = []
        for witness in _WITNESSES:
            vote = FenceVote(
                self._service,
                request.target,
                request.incarnation,
                request.term,
                witness,
                now - killed_at >= _FENCE_AFTER_S,
                now - killed_at,
                request.sent_at,
            )
            effects.extend(sender.ownership.on_fence_vote(now, now, vote))
        return effects

    def _make_member(self, target: str, states: States) -> Member:
        return Member(
            self._service,
            target,
            target,
            'tainan-a',
            _INCARNATION,
            0,
            states[target],
            _UNUSED_ADDRESS,
            _UNUSED_ADDRESS,
            _UNUSED_ADDRESS,
            2,
        )
