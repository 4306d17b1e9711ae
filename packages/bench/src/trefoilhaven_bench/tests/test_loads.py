"""Tests of the fabric, the target and the flow load together.

A relay replaces balancer and agent, which the process-level scenarios
test.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import pytest
from aiohttp import ClientSession
from grpclib.client import Channel

from trefoilhaven_bench.caller.flows import FlowLoad
from trefoilhaven_bench.caller.plans import FlowPlan
from trefoilhaven_bench.fabric import Fabric, FabricSettings
from trefoilhaven_bench.payloads import (
    FlowQuestion,
    WorkBody,
    answer_content,
    decode_payload,
    encode_payload,
)
from trefoilhaven_bench.processes import open_datagram_socket, parse_address
from trefoilhaven_bench.target.__main__ import Target
from trefoilhaven_bench.target.behaviour import TargetSettings
from trefoilhaven_bench.tests.ports import free_addresses
from trefoilhaven_core.flows.messages import FlowFlag, FlowKey, FlowPacket
from trefoilhaven_core.wire.codec import make_codec
from trefoilhaven_core.wire.proto import calls_pb2 as pb
from trefoilhaven_core.wire.proto.calls_grpc import WorkStub

_SERVICE = 'collect'


class Relay(asyncio.DatagramProtocol):
    """Forwards flow packets to the target and answers to the fabric."""

    def __init__(self, fabric: str, target: str) -> None:
        """Relay between the fabric's agent side and a target."""
        self.flags = FlowFlag.answer
        self._fabric = parse_address(fabric)
        self._target = parse_address(target)
        self._codec = make_codec()
        self._sockets: dict[FlowKey, Any] = {}
        self._transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Keep the socket for answers."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Forward a packet to the target from the socket of its flow."""
        packet = self._codec.decode(data).ok.message
        assert isinstance(packet, FlowPacket)
        asyncio.ensure_future(self._deliver(packet))

    def answer(self, flow: FlowKey, payload: bytes) -> None:
        """Send a target's payload to the fabric with ``flags``."""
        packet = FlowPacket(_SERVICE, flow, self.flags, 0, 0, payload)
        self._transport.sendto(self._codec.encode(packet), self._fabric)

    async def _deliver(self, packet: FlowPacket) -> None:
        if packet.flow not in self._sockets:
            back = _TargetSocket(self, packet.flow)
            self._sockets[packet.flow] = asyncio.ensure_future(
                open_datagram_socket(back, remote=self._target),
            )
        (await self._sockets[packet.flow]).sendto(packet.payload)


class _TargetSocket(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, flow: FlowKey) -> None:
        self._relay = relay
        self._flow = flow

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._relay.answer(self._flow, data)


class Path(NamedTuple):
    """The running parts between caller and target."""

    caller: str
    relay: Relay
    target: Target
    rpc: str
    control: str


@pytest.fixture
async def path() -> AsyncIterator[Path]:
    """A fabric, a relay and a target."""
    caller, agent, control, balancer, flow, rpc, http = free_addresses(7)
    fabric = Fabric(FabricSettings(caller, agent, control, (balancer,)))
    runner = await fabric.start()
    relay = Relay(agent, flow)
    transport = await open_datagram_socket(relay, parse_address(balancer))
    cfg = TargetSettings(_SERVICE, 'collect-1', flow, rpc, http)
    target = Target(cfg)
    stopped = asyncio.Event()
    serving = asyncio.create_task(target.run(stopped))
    await _until_connected(http)
    yield Path(caller, relay, target, rpc, http)
    stopped.set()
    await serving
    transport.close()
    fabric.close()
    await runner.cleanup()


async def _until_connected(address: str) -> None:
    async with asyncio.timeout(10):
        while True:
            try:
                _, writer = await asyncio.open_connection(
                    *parse_address(address),
                )
            except OSError:
                await asyncio.sleep(0)
                continue
            writer.close()
            return


def _plan(path: Path) -> FlowPlan:
    return FlowPlan(
        _SERVICE,
        '127.1.0.3:7000',
        path.caller,
        flows=20,
        packets_per_s=20,
        duration_s=30,
    )


class TestFlowLoad:
    """Counts of the flow load with a fabric and a target."""

    async def test_open_flows(self, path: Path) -> None:
        """Guards against counting healthy flows as broken."""
        load = FlowLoad(_plan(path))
        running = asyncio.create_task(load.run())
        await load.until_opened(20, timeout_s=10)
        await load.until_answers(100, timeout_s=10)
        load.stop()
        report = await running
        assert (report['opened'], report['broken']) == (20, 0)
        assert report['wrong'] == 0
        assert len(path.target.flows.started) == 20

    async def test_reset(self, path: Path) -> None:
        """Guards against a reset that does not count as a broken flow."""
        load = FlowLoad(_plan(path))
        running = asyncio.create_task(load.run())
        await load.until_opened(20, timeout_s=10)
        path.relay.flags = FlowFlag.reset
        async with asyncio.timeout(10):
            while load.broken < 20:
                await asyncio.sleep(0.01)
        load.stop()
        assert (await running)['broken_by'] == {'reset': 20}

    async def test_lost_state(self, path: Path) -> None:
        """Guards against counting a flow as whole that lost its session."""
        load = FlowLoad(_plan(path))
        running = asyncio.create_task(load.run())
        await load.until_opened(20, timeout_s=10)
        path.target.flows.clear_sessions()
        async with asyncio.timeout(10):
            while load.broken < 20:
                await asyncio.sleep(0.01)
        load.stop()
        assert (await running)['broken_by'] == {'restarted': 20}


class TestPayloads:
    """Payloads that both ends verify."""

    def test_altered(self) -> None:
        """Guards against altered bytes that pass verification."""
        raw = encode_payload(FlowQuestion(_SERVICE, 7, 1, 0, b'padding'))
        assert decode_payload(raw, FlowQuestion) is not None
        assert (
            decode_payload(raw.replace(b'padding', b'changed'), FlowQuestion)
            is None
        )


class TestWorkServer:
    """Starts, slots and incarnations at a target."""

    async def test_old_incarnation(self, path: Path) -> None:
        """Guards against running requests of a replaced incarnation."""
        new = pb.IncarnationToken(
            service=_SERVICE,
            target='collect-1',
            incarnation=9,
        )
        old = pb.IncarnationToken(
            service=_SERVICE,
            target='collect-1',
            incarnation=8,
        )
        channel = Channel(*parse_address(path.rpc))
        stub = WorkStub(channel)
        assert (await stub.Register(new)).accepted
        assert not (await stub.Register(old)).accepted
        request = pb.WorkRequest(token=old, key='k', attempt=1)
        parts = await stub.Run(request)
        assert parts[-1].refused
        request = pb.WorkRequest(token=new, key='k', attempt=1)
        parts = await stub.Run(request)
        channel.close()
        content = b''.join(part.content for part in parts)
        assert content == answer_content(
            _SERVICE,
            'k',
            WorkBody().answer_bytes,
        )
        async with (
            ClientSession(f'http://{path.control}') as session,
            session.get('/ran') as answer,
        ):
            ran = (await answer.json())['ran']
        assert [start['incarnation'] for start in ran['k']] == [9]
