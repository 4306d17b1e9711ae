"""Stateless forwarding of flow packets from the fabric to the agents."""

import logging

from trefoilhaven.balancer.state import BalancerState
from trefoilhaven_core.flows.messages import FlowFlag, FlowPacket
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.routing.routes import NoRoute
from trefoilhaven_core.telemetry.logs import RateLimitedLog
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.endpoints import DatagramEndpoint

logger = logging.getLogger(__name__)


class ForwardingTask:
    """Forwards the packets that arrive at the flow socket."""

    def __init__(
        self,
        state: BalancerState,
        endpoint: DatagramEndpoint,
    ) -> None:
        """Register the handler of flow packets."""
        metrics = state.runtime.metrics
        self._state = state
        self._endpoint = endpoint
        self._log = RateLimitedLog(logger)
        self._forwarded = metrics.counter('packets_forwarded')
        self._first = metrics.counter('first_packets_forwarded')
        self._dropped = {
            reason: metrics.counter('packets_dropped', reason=reason.name)
            for reason in NoRoute
        }
        endpoint.on(FlowPacket, self._on_packet)

    def _on_packet(self, packet: FlowPacket, sender: Address) -> None:
        route = self._state.routes.route(packet)
        if isinstance(route, NoRoute):
            self._drop(packet, route)
            return
        self._forwarded.add()
        if packet.flags & FlowFlag.first:
            self._first.add()
        self._endpoint.send(route.packet, route.address)

    def _drop(self, packet: FlowPacket, reason: NoRoute) -> None:
        self._dropped[reason].add()
        flow = packet.flow
        self._log.warn(
            monotonic(),
            reason.name,
            'flow packet dropped',
            reason=reason.value,
            destination=f'{flow.destination_host}:{flow.destination_port}',
        )
