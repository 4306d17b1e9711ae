"""Task for heartbeats, the lease and the view of the agent's service."""

import asyncio
import logging
from typing import Final

from trefoilhaven_agent.ownership.tasks import OwnershipTask
from trefoilhaven_agent.requests.works import TargetClient
from trefoilhaven_agent.state import AgentState
from trefoilhaven_core.membership.detectors import refute
from trefoilhaven_core.membership.messages import (
    Address,
    Changes,
    HeartbeatAck,
    HeartbeatRefused,
    Load,
    Member,
    MemberState,
    State,
    StateRequest,
)
from trefoilhaven_core.settings.types import Witness
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.calls import call_channel
from trefoilhaven_core.wire.channels import ChannelPool
from trefoilhaven_core.wire.endpoints import DatagramEndpoint

logger = logging.getLogger(__name__)

TICK_S: Final = 0.1
# Refused datagrams reveal a dead target sooner; the probe is for a target
# without flows.
PROBE_INTERVAL_S: Final = 1.0

# A view that still differs after a fetch is fetched again from the same witness
# after this time, in seconds.
FETCH_INTERVAL_S: Final = 1.0


class MembershipTask:
    """Owns the control socket of an agent."""

    def __init__(
        self,
        state: AgentState,
        endpoint: DatagramEndpoint,
        ownership: OwnershipTask,
        target_client: TargetClient,
        channels: ChannelPool,
    ) -> None:
        """Register the handlers of the control socket."""
        self._state = state
        self._endpoint = endpoint
        self._ownership = ownership
        self._target_client = target_client
        self._channels = channels
        self._witnesses = {
            witness.name: witness for witness in state.cfg.witnesses
        }
        self._fetch_started_at: dict[str, float] = {}
        self._fetches: set[asyncio.Task[None]] = set()
        self._view_digest = -1
        endpoint.on(HeartbeatAck, self._on_ack)
        endpoint.on(HeartbeatRefused, self._on_refused)
        endpoint.on(Changes, self._on_changes)

    async def run(self) -> None:
        """Send heartbeats and probe the target until cancelled."""
        await asyncio.gather(self._run_heartbeats(), self._run_probes())

    def announce(self) -> None:
        """Send a changed state to witnesses and siblings without delay."""
        if not self._state.update_member():
            return
        self._send_heartbeats()
        self._notify_siblings()
        self._apply_view()

    def announce_departure(self) -> None:
        """Tell witnesses and siblings that this agent has left."""
        self._send_heartbeats()
        self._notify_siblings()

    async def _run_heartbeats(self) -> None:
        while True:
            self._state.update_member()
            self._send_heartbeats()
            await asyncio.sleep(TICK_S)

    async def _run_probes(self) -> None:
        while True:
            alive = await self._target_client.register()
            if alive and not self._state.target_alive:
                self._state.flows.target_lost = False
            if self._state.target_alive != alive:
                self._state.target_alive = alive
                logger.info(
                    'target probe result changed', extra={'alive': alive}
                )
                self.announce()
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _send_heartbeats(self) -> None:
        state = self._state
        due = state.lease.heartbeats(
            monotonic(),
            state.member,
            state.load(),
            state.configurations.version(state.cfg.service),
        )
        for name, heartbeat in due:
            self._endpoint.send(heartbeat, self._witnesses[name].control)

    def _notify_siblings(self) -> None:
        state = self._state
        notice = Changes(state.cfg.name, (state.member,), (), ())
        for member in state.store.members(state.cfg.service):
            is_other = member.target != state.cfg.name
            if is_other and member.state < MemberState.dead:
                self._endpoint.send(notice, member.control)

    def _on_ack(self, ack: HeartbeatAck, sender: Address) -> None:
        state = self._state
        now = monotonic()
        if state.lease.on_ack(now, ack):
            self._ownership.on_term(state.lease.term)
        state.ownership.on_lease(state.lease.lease_until)
        for known in ack.loads:
            self._record_load(known.target, known.load)
        own_version = state.store.configuration(ack.service).version
        differs = ack.view_digest != state.store.digest(ack.service)
        if differs or ack.configuration_version > own_version:
            self._start_fetch(now, self._witnesses[ack.witness])

    def _record_load(self, target: str, load: Load) -> None:
        if target != self._state.cfg.name:
            self._state.loads[target] = load

    def _on_refused(self, refused: HeartbeatRefused, sender: Address) -> None:
        state = self._state
        if state.lease.on_refused(monotonic(), refused):
            state.runtime.publish(
                'lease refused',
                refused.service,
                host=refused.target,
                detail=f'by {refused.witness}, new term {state.lease.term}',
            )
            self._ownership.on_term(state.lease.term)
            state.ownership.on_lease(state.lease.lease_until)

    def _on_changes(self, changes: Changes, sender: Address) -> None:
        self._state.store.merge(
            [
                member
                for member in changes.members
                if member.service == self._state.cfg.service
            ],
        )
        self._apply_view()

    def _start_fetch(self, now: float, witness: Witness) -> None:
        last = self._fetch_started_at.get(witness.name, now - FETCH_INTERVAL_S)
        if now - last < FETCH_INTERVAL_S:
            return
        self._fetch_started_at[witness.name] = now
        task = asyncio.create_task(self._fetch(witness))
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    async def _fetch(self, witness: Witness) -> None:
        state = self._state
        req = StateRequest(state.cfg.name, (state.cfg.service,))
        called = await call_channel(
            self._channels.get(witness.rpc),
            witness.rpc,
            req,
            clock=state.runtime.clock.stamp(),
        )
        if called.is_error() or not isinstance(called.ok.message, State):
            logger.info(
                'could not fetch the state', extra={'witness': witness.name}
            )
            return
        state.runtime.clock.observe(called.ok.clock)
        state.store.merge_state(called.ok.message)
        self._apply_view()
        state.apply_configuration()

    def _apply_view(self) -> None:
        state = self._state
        known = state.store.member(state.cfg.service, state.cfg.name)
        refutation = known and refute(state.member, known)
        if refutation:
            state.set_member(refutation)
            self._send_heartbeats()
        digest = state.store.digest(state.cfg.service)
        if digest != self._view_digest:
            self._view_digest = digest
            self._prune_loads(state.store.eligible(state.cfg.service))
            self._ownership.on_view()

    def _prune_loads(self, eligible: tuple[Member, ...]) -> None:
        names = {member.target for member in eligible}
        for target in tuple(self._state.loads):
            if target not in names:
                self._state.loads.pop(target)
