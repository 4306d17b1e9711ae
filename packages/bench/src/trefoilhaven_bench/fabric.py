"""Stand-in for the network fabric that spreads packets over balancers.

Callers send encoded flow packets to the caller side. The fabric records the
caller of each five-tuple, forwards each datagram to a random balancer and
returns answers that arrive at the agent side to the caller. It does not check
the balancers' health; only ``PUT /balancers`` changes their list.
"""

import asyncio
import random
from collections import Counter, OrderedDict
from typing import Any, NamedTuple

import typer
from aiohttp import web

from trefoilhaven_bench.processes import (
    SettingsOption,
    format_address,
    open_datagram_socket,
    parse_address,
    read_settings,
    run_process,
    serve_http,
)
from trefoilhaven_bench.settings import FABRIC_MAX_FLOWS
from trefoilhaven_core.flows.messages import FlowFlag, FlowKey, FlowPacket
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.wire.codec import make_codec


class FabricSettings(NamedTuple):
    """Settings of the fabric; addresses are ``ip:port``.

    ``caller`` and ``agent`` are the UDP sockets of the two sides, ``control``
    is the HTTP endpoint.
    """

    caller: str
    agent: str
    control: str
    balancers: tuple[str, ...] = ()
    seed: int = 1


class Fabric:
    """Forwards datagrams between callers, balancers and agents."""

    def __init__(self, cfg: FabricSettings) -> None:
        """Create the fabric without opening sockets."""
        self.counts: Counter[str] = Counter()
        self.balancers = [parse_address(text) for text in cfg.balancers]
        self._cfg = cfg
        self._random = random.Random(cfg.seed)
        self._codec = make_codec()
        self._callers: OrderedDict[FlowKey, tuple[str, int]] = OrderedDict()
        self._caller_side = _Side(self.forward_to_balancer)
        self._agent_side = _Side(self.return_to_caller)

    async def start(self) -> web.AppRunner:
        """Open both UDP sides and the control endpoint."""
        for side, text in (
            (self._caller_side, self._cfg.caller),
            (self._agent_side, self._cfg.agent),
        ):
            await open_datagram_socket(side, parse_address(text))
        routes = [
            web.put('/balancers', self._replace_balancers),
            web.get('/counts', self._answer_counts),
        ]
        return await serve_http(routes, parse_address(self._cfg.control))

    def close(self) -> None:
        """Close both UDP sides."""
        self._caller_side.close()
        self._agent_side.close()

    def forward_to_balancer(self, raw: bytes, caller: tuple[str, int]) -> None:
        """Forward a datagram, even a malformed one, to a random balancer."""
        packet = self._decode(raw)
        if packet is None:
            self.counts['malformed_from_callers'] += 1
        else:
            self._record_caller(packet, caller)
        if not self.balancers:
            self.counts['no_balancer'] += 1
            return
        self.counts['from_callers'] += 1
        self._agent_side.send(raw, self._random.choice(self.balancers))

    def return_to_caller(self, raw: bytes, agent: tuple[str, int]) -> None:
        """Send an answer or a reset to the flow's caller."""
        packet = self._decode(raw)
        backward = FlowFlag.answer | FlowFlag.reset
        if packet is None or not packet.flags & backward:
            self.counts['malformed_from_agents'] += 1
            return
        caller = self._callers.get(packet.flow)
        if caller is None:
            self.counts['unknown_flow'] += 1
            return
        self.counts['to_callers'] += 1
        self._caller_side.send(raw, caller)

    def _decode(self, raw: bytes) -> FlowPacket | None:
        decoded = self._codec.decode(raw)
        if decoded.is_error():
            return None
        message = decoded.ok.message
        return message if isinstance(message, FlowPacket) else None

    def _record_caller(
        self,
        packet: FlowPacket,
        caller: tuple[str, int],
    ) -> None:
        self._callers[packet.flow] = caller
        self._callers.move_to_end(packet.flow)
        if len(self._callers) > FABRIC_MAX_FLOWS:
            self._callers.popitem(last=False)

    async def _replace_balancers(self, request: web.Request) -> web.Response:
        body: dict[str, Any] = await request.json()
        self.balancers = [parse_address(text) for text in body['balancers']]
        return web.json_response(
            {'balancers': [format_address(peer) for peer in self.balancers]},
        )

    async def _answer_counts(self, request: web.Request) -> web.Response:
        return web.json_response(
            {**self.counts, 'flows': len(self._callers)},
        )


class _Side(asyncio.DatagramProtocol):
    def __init__(self, receive: Any) -> None:
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._receive(data, addr)

    def send(self, raw: bytes, address: tuple[str, int] | Address) -> None:
        if self._transport is not None:
            self._transport.sendto(raw, address)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()


def main(settings: SettingsOption) -> None:
    """Serve the fabric until SIGTERM."""
    cfg = read_settings(settings, FabricSettings)

    async def serve(stopped: asyncio.Event) -> None:
        fabric = Fabric(cfg)
        runner = await fabric.start()
        await stopped.wait()
        fabric.close()
        await runner.cleanup()

    run_process(serve)


if __name__ == '__main__':
    typer.run(main)
