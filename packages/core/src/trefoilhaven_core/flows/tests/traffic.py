"""Simulated flows of clients through a pool of agents."""

from collections.abc import Callable
from typing import Final

from trefoilhaven_core.flows.effects import (
    Deliver,
    Effect,
    Forward,
    ResetReason,
    SendFlowsEnded,
    SendReset,
)
from trefoilhaven_core.flows.messages import FlowFlag, FlowKey, FlowPacket
from trefoilhaven_core.flows.tables import FlowTable
from trefoilhaven_core.membership.messages import Load, MemberState
from trefoilhaven_core.ownership.effects import BucketsAcquired
from trefoilhaven_core.ownership.messages import ClaimBuckets, ClaimReply
from trefoilhaven_core.ownership.tests.pool import (
    FAULTS_END_S,
    Pool,
    PoolAgent,
    Violation,
)
from trefoilhaven_core.ownership.tests.support import BUCKETS, SERVICE

PACKET_S: Final = 0.7
# After this time each open flow must deliver packets again, since no fault is
# left.
SETTLED_S: Final = FAULTS_END_S + 13

OTHER_SERVICE: Final = 'packet-press'


class Client:
    """One flow as its client sees it."""

    def __init__(self, number: int) -> None:
        """Start without a holder, so that packets carry the first flag."""
        self.flow = FlowKey(17, '127.0.0.1', number, '127.1.0.1', 7000)
        self.holder: FlowAgent | None = None
        self.delivered_at = float(0)
        self.has_ended = False

    def is_established(self) -> bool:
        """Return whether a running agent holds the flow."""
        return self.holder is not None and self.holder.alive


class FlowAgent(PoolAgent):
    """An agent process with a flow table."""

    def __init__(
        self, target: str, incarnation: int, clock_offset: float
    ) -> None:
        super().__init__(target, incarnation, clock_offset)
        self.flows = FlowTable(SERVICE, target, incarnation, BUCKETS)


class FlowPool(Pool):
    """A pool whose agents serve flows."""

    def __init__(self, seed: int, targets: int = 5, clients: int = 50) -> None:
        """Schedule all flows to open between 1 s and 25 s."""
        super().__init__(seed, targets)
        self.clients: dict[FlowKey, Client] = {}
        self.replies_carry_items = True
        self.placed_flags_arrive = True
        for number in range(clients):
            self.after(self.rng.uniform(1, 25), self._opener(number))

    def make_agent(self, target: str, incarnation: int) -> FlowAgent:
        """Return an agent with a flow table."""
        return FlowAgent(target, incarnation, self.rng.uniform(0, 1000))

    def reply_to(self, agent: PoolAgent, claim: ClaimBuckets) -> ClaimReply:
        """Answer a claim with the entries of the agent's flow table."""
        assert isinstance(agent, FlowAgent)
        reply = agent.ownership.on_claim(
            self.clock(agent), claim, agent.flows.directory_entries
        )
        return reply if self.replies_carry_items else reply._replace(entries=())

    def on_acquired(self, agent: PoolAgent, effect: BucketsAcquired) -> None:
        """Process the packets that waited for the buckets."""
        assert isinstance(agent, FlowAgent)
        effects = agent.flows.on_acquired(
            self.clock(agent),
            effect.buckets,
            agent.ownership,
            self._loads(agent),
        )
        self._carry_out(agent, effects)

    def on_tick(self, agent: PoolAgent) -> None:
        """Run the flow table's periodic work."""
        assert isinstance(agent, FlowAgent)
        agent.flows.is_draining = agent.draining
        effects = agent.flows.tick(
            self.clock(agent), agent.ownership, self._loads(agent)
        )
        self._carry_out(agent, effects)

    def _loads(self, agent: PoolAgent) -> dict[str, Load]:
        return {
            other.target: Load(open_flows=len(other.flows))
            for other in self.agents.values()
            if isinstance(other, FlowAgent)
            and other is not agent
            and other.alive
        }

    def _opener(self, number: int) -> Callable[[], None]:
        def start() -> None:
            client = Client(number)
            self.clients[client.flow] = client
            self._send_next(client)

        return start

    def _send_next(self, client: Client) -> None:
        if client.has_ended:
            return
        flags = FlowFlag.none if client.holder else FlowFlag.first
        if client.holder and self.faulty() and self.rng.random() < 0.01:
            flags |= FlowFlag.last
        packet = FlowPacket(SERVICE, client.flow, flags, 0, 0, b'')
        self._send_to_random_agent(packet)
        if self.rng.random() < 0.05:
            self._send_to_random_agent(
                packet._replace(service=OTHER_SERVICE, payload=b'foreign')
            )
        self.after(
            self.rng.uniform(0.3, 1) * PACKET_S, lambda: self._send_next(client)
        )

    def _send_to_random_agent(self, packet: FlowPacket) -> None:
        """Send a packet as a balancer with an outdated table might."""
        targets = [
            record.target
            for record in self.view().members
            if record.state is not MemberState.dead
        ]
        if targets:
            self._send_packet(self.rng.choice(targets), packet)

    def _send_packet(self, target: str, packet: FlowPacket) -> None:
        def handle(agent: PoolAgent) -> None:
            assert isinstance(agent, FlowAgent)
            effects = agent.flows.on_packet(
                self.clock(agent), packet, agent.ownership, self._loads(agent)
            )
            self._carry_out(agent, effects)

        self.send(target, handle)

    def _carry_out(self, agent: FlowAgent, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Deliver):
                self._deliver(agent, effect)
            elif isinstance(effect, Forward):
                self._forward(effect)
            elif isinstance(effect, SendReset):
                self._reset(agent, effect)
            elif isinstance(effect, SendFlowsEnded):
                self._send_ended(effect)

    def _forward(self, effect: Forward) -> None:
        packet = effect.packet
        if not self.placed_flags_arrive:
            packet = packet._replace(flags=packet.flags & ~FlowFlag.placed)
        self._send_packet(effect.target, packet)

    def _send_ended(self, effect: SendFlowsEnded) -> None:
        def handle(agent: PoolAgent) -> None:
            assert isinstance(agent, FlowAgent)
            agent.flows.on_flows_ended(effect.message, agent.ownership)

        self.send(effect.target, handle)

    def _deliver(self, agent: FlowAgent, effect: Deliver) -> None:
        client = self.clients[effect.flow]
        if effect.payload == b'foreign':
            raise Violation(
                f'{effect.flow} received a packet of another service'
            )
        if client.is_established() and client.holder is not agent:
            raise Violation(
                f'{effect.flow} reached {agent.target} besides '
                f'{client.holder and client.holder.target} at {self.now:.3f}'
            )
        client.holder = client.holder or agent
        client.delivered_at = self.now
        client.has_ended = client.has_ended or effect.is_last

    def _reset(self, agent: FlowAgent, effect: SendReset) -> None:
        client = self.clients[effect.flow]
        if client.is_established():
            raise Violation(
                f'{effect.flow} was reset by {agent.target} '
                f'({effect.reason.name}) at {self.now:.3f}'
            )
        # A refused flow may be retried, a lost one has ended.
        client.has_ended = effect.reason is not ResetReason.no_target


def check_settled(pool: FlowPool) -> None:
    """Raise unless each bucket has one owner and all open flows are served."""
    view = pool.view()
    living = [
        record.target
        for record in view.members
        if record.state is MemberState.alive
    ]
    owners = [bucket for name in living for bucket in pool.agents[name].owned()]
    if sorted(owners) != list(range(BUCKETS)):
        raise Violation(f'owned buckets: {sorted(owners)}')
    for client in pool.clients.values():
        holder = client.holder
        is_open = not client.has_ended and (holder is None or holder.alive)
        if is_open and client.delivered_at < SETTLED_S:
            raise Violation(f'{client.flow} is no longer served')
