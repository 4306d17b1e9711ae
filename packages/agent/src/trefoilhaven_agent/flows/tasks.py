"""Task for the flow socket of an agent."""

import asyncio
import logging
from collections.abc import Iterable
from typing import Final

from trefoilhaven_agent.flows.sockets import TargetSockets
from trefoilhaven_agent.state import AgentState
from trefoilhaven_core.flows.effects import (
    Deliver,
    Dropped,
    Effect,
    Forward,
    SendFlowsEnded,
    SendReset,
)
from trefoilhaven_core.flows.messages import (
    FlowFlag,
    FlowKey,
    FlowPacket,
    FlowsEnded,
)
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.telemetry.logs import RateLimitedLog
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.endpoints import DatagramEndpoint

logger = logging.getLogger(__name__)

TICK_S: Final = 0.1


class FlowTask:
    """Passes packets to the flow table and carries out its effects."""

    def __init__(self, state: AgentState, endpoint: DatagramEndpoint) -> None:
        """Register the handlers of the flow socket."""
        self._state = state
        self._endpoint = endpoint
        self._sockets = TargetSockets(
            state.cfg.target.flow,
            self._on_answer,
            self._on_target_lost,
        )
        self._log = RateLimitedLog(logger)
        metrics = state.runtime.metrics
        metrics.gauge('open_flows', lambda: len(state.flows))
        metrics.observable_counter(
            'flows_opened', lambda: state.flows.counters.opened
        )
        metrics.observable_counter(
            'flows_broken', lambda: state.flows.counters.broken
        )
        metrics.observable_counter(
            'flows_redirected',
            lambda: state.flows.counters.redirected,
        )
        endpoint.on(FlowPacket, self._on_packet)
        endpoint.on(FlowsEnded, self._on_ended)

    async def run(self) -> None:
        """Tick the flow table until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            state = self._state
            now = monotonic()
            self._apply(state.flows.tick(now, state.ownership, state.loads))

    def on_acquired(self, buckets: Iterable[int]) -> None:
        """Process packets that waited for these buckets."""
        state = self._state
        effects = state.flows.on_acquired(
            monotonic(),
            tuple(buckets),
            state.ownership,
            state.loads,
        )
        self._apply(effects)

    def close(self) -> None:
        """Close the sockets towards the target."""
        self._sockets.close_all()

    def _on_packet(self, packet: FlowPacket, sender: Address) -> None:
        state = self._state
        effects = state.flows.on_packet(
            monotonic(),
            packet,
            state.ownership,
            state.loads,
        )
        self._apply(effects)

    def _on_ended(self, notice: FlowsEnded, sender: Address) -> None:
        self._state.flows.on_flows_ended(notice, self._state.ownership)

    def _on_answer(self, flow: FlowKey, payload: bytes) -> None:
        answer = self._state.flows.on_answer(monotonic(), flow, payload)
        if answer is None:
            self._sockets.close(flow)
            return
        self._endpoint.send(answer, self._state.cfg.fabric)

    def _on_target_lost(self) -> None:
        state = self._state
        if not len(state.flows):
            return
        state.target_alive = False
        effects = state.flows.on_target_lost(monotonic())
        state.runtime.publish(
            'target lost',
            state.cfg.service,
            host=state.cfg.name,
            detail=f'{len(effects)} flows reset',
        )
        self._apply(effects)
        self._sockets.close_all()

    def _apply(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Deliver):
                self._deliver(effect)
            elif isinstance(effect, Forward):
                self._forward(effect.target, effect.packet)
            elif isinstance(effect, SendReset):
                self._reset(effect)
            elif isinstance(effect, SendFlowsEnded):
                self._forward(effect.target, effect.message)
            elif isinstance(effect, Dropped):
                self._log.warn(
                    monotonic(),
                    effect.reason.name,
                    'flow packet dropped',
                    reason=effect.reason.value,
                )

    def _deliver(self, effect: Deliver) -> None:
        if effect.payload or not effect.is_last:
            self._sockets.deliver(effect.flow, effect.payload)
        if effect.is_last:
            self._sockets.close(effect.flow)

    def _forward(self, target: str, message: FlowPacket | FlowsEnded) -> None:
        member = self._state.store.member(self._state.cfg.service, target)
        if member is not None:
            self._endpoint.send(message, member.flow)

    def _reset(self, effect: SendReset) -> None:
        packet = FlowPacket(
            self._state.cfg.service,
            effect.flow,
            FlowFlag.answer | FlowFlag.reset,
            0,
            0,
            b'',
        )
        self._sockets.close(effect.flow)
        self._endpoint.send(packet, self._state.cfg.fabric)
        self._state.runtime.publish(
            'flow reset',
            self._state.cfg.service,
            flow=','.join(str(part) for part in effect.flow),
            detail=effect.reason.value,
        )
