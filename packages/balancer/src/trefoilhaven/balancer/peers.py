"""Handlers of the calls that other processes and operators make."""

from trefoilhaven.balancer.control import ControlTask
from trefoilhaven.balancer.state import BalancerState
from trefoilhaven_core.membership.messages import Load, State, StateRequest
from trefoilhaven_core.settings.types import BalancerSettings
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
from trefoilhaven_core.wire.calls import call_peer
from trefoilhaven_core.wire.peers import PeerService


class BalancerPeers:
    """Handles the peer calls of one balancer."""

    def __init__(
        self,
        cfg: BalancerSettings,
        state: BalancerState,
        control: ControlTask,
    ) -> None:
        self._cfg = cfg
        self._state = state
        self._control = control

    def register(self, service: PeerService) -> None:
        """Register all handlers."""
        service.on(StateRequest, self._on_state)
        service.on(StatusRequest, self._on_status)
        service.on(TimelineRequest, self._on_timeline)
        service.on(ExplainRequest, self._on_explain)
        service.on(DrainRequest, self._on_drain)

    async def _on_state(self, req: StateRequest) -> State:
        return self._state.store.state(self._cfg.name, req.services)

    async def _on_status(self, req: StatusRequest) -> StatusReply:
        store = self._state.store
        names = [
            service
            for service in store.services
            if req.service in {'', service}
        ]
        return StatusReply(
            self._cfg.name,
            'balancer',
            self._cfg.failure_domain,
            self._state.runtime.incarnation,
            {
                service: version
                for service, version in (
                    self._state.configurations.versions().items()
                )
                if service in names
            },
            {
                service: tuple(
                    entry.target
                    for entry in store.registry(service).registrations
                )
                for service in names
            },
            tuple(
                status
                for service in names
                for status in self._member_statuses(service)
            ),
            store.balancers,
            self._state.runtime.metrics.counts(),
        )

    async def _on_timeline(self, req: TimelineRequest) -> TimelineReply:
        return self._state.runtime.ring.answer(req)

    async def _on_explain(self, req: ExplainRequest) -> ExplainReply:
        table = self._state.routes.table(req.service)
        first = table.first(req.bucket) if table else None
        second = table.second(req.bucket) if table else None
        return ExplainReply(
            self._cfg.name,
            first or '',
            second or '',
            '',
            owns=False,
            holder='',
            detail='a balancer keeps nothing for a flow or request',
        )

    async def _on_drain(self, req: DrainRequest) -> DrainReply:
        member = self._state.store.member(req.service, req.target)
        if member is None:
            return DrainReply(
                accepted=False,
                reason=f'{req.target} is not a member of {req.service}',
            )
        stamp = self._state.runtime.clock.stamp()
        called = await call_peer(member.rpc, req, clock=stamp)
        if called.is_error():
            return DrainReply(accepted=False, reason=str(called.error))
        reply = called.ok.message
        if not isinstance(reply, DrainReply):
            return DrainReply(accepted=False, reason='unexpected answer')
        return reply

    def _member_statuses(self, service: str) -> list[MemberStatus]:
        now = monotonic()
        members = self._state.store.members(service)
        loads = {
            known.target: known
            for known in self._state.loads.loads(
                now,
                service,
                limit=len(members),
            )
        }
        statuses = []
        for member in members:
            known = loads.get(member.target)
            statuses.append(
                MemberStatus(
                    member,
                    known.load if known else Load(),
                    known.age_s if known else -1,
                ),
            )
        return statuses
