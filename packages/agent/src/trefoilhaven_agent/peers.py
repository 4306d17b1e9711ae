"""Handlers of the calls by siblings and operator commands."""

from trefoilhaven_agent.membership.tasks import MembershipTask
from trefoilhaven_agent.ownership.tasks import OwnershipTask
from trefoilhaven_agent.state import AgentState
from trefoilhaven_core.membership.messages import Load
from trefoilhaven_core.ownership.effects import OwnershipState
from trefoilhaven_core.ownership.messages import ClaimBuckets
from trefoilhaven_core.telemetry.messages import (
    DrainReply,
    DrainRequest,
    ExplainReply,
    ExplainRequest,
    MemberStatus,
    StatusReply,
    StatusRequest,
)
from trefoilhaven_core.timeline.messages import TimelineReply, TimelineRequest
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.peers import PeerService


class AgentPeers:
    """Answers peer calls from the state of the agent."""

    def __init__(
        self,
        state: AgentState,
        membership: MembershipTask,
        ownership: OwnershipTask,
    ) -> None:
        """Create the handlers; ``register`` adds them to a service."""
        self._state = state
        self._membership = membership
        self._ownership = ownership

    def register(self, service: PeerService) -> None:
        """Register all handlers."""
        service.on(ClaimBuckets, self._ownership.on_claim)
        service.on(StatusRequest, self._on_status)
        service.on(TimelineRequest, self._on_timeline)
        service.on(ExplainRequest, self._on_explain)
        service.on(DrainRequest, self._on_drain)

    async def _on_status(self, req: StatusRequest) -> StatusReply:
        state = self._state
        service = state.cfg.service
        registry = state.store.registry(service)
        return StatusReply(
            state.cfg.name,
            'agent',
            state.cfg.failure_domain,
            state.runtime.incarnation,
            state.configurations.versions(),
            {
                service: tuple(
                    entry.target for entry in registry.registrations
                ),
            },
            tuple(
                MemberStatus(
                    member,
                    state.loads.get(member.target, Load())
                    if member.target != state.cfg.name
                    else state.load(),
                    0,
                )
                for member in state.store.members(service)
            ),
            (),
            state.runtime.metrics.counts(),
        )

    async def _on_timeline(self, req: TimelineRequest) -> TimelineReply:
        return self._state.runtime.ring.answer(req)

    async def _on_explain(self, req: ExplainRequest) -> ExplainReply:
        ownership = self._state.ownership
        table = ownership.siblings.table
        owns = ownership.state_of(req.bucket) is OwnershipState.owned
        entry = ownership.directory.find(req.bucket, req.item)
        lease = self._state.lease.lease_valid(monotonic())
        return ExplainReply(
            self._state.cfg.name,
            table.first(req.bucket) or '',
            table.second(req.bucket) or '',
            ownership.owner_hint(req.bucket) or '',
            owns,
            entry.holder if entry else '',
            f'lease {"valid" if lease else "not valid"}, '
            f'term {self._state.lease.term}',
        )

    async def _on_drain(self, req: DrainRequest) -> DrainReply:
        cfg = self._state.cfg
        if (req.service, req.target) != (cfg.service, cfg.name):
            return DrainReply(
                accepted=False,
                reason=f'this agent serves {cfg.name} of {cfg.service}',
            )
        self._state.drain_requested = req.drain
        self._membership.announce()
        return DrainReply(accepted=True, reason='')
