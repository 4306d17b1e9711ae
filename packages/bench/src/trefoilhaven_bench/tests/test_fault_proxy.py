"""Tests of the fault-injecting proxy."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import ClientSession

from trefoilhaven_bench.fault_proxy.__main__ import FaultProxy
from trefoilhaven_bench.fault_proxy.links import Link, Network, ProxySettings
from trefoilhaven_bench.processes import open_datagram_socket, parse_address
from trefoilhaven_bench.tests.ports import free_addresses


class _Echo(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.received: asyncio.Queue[bytes] = asyncio.Queue()
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.received.put_nowait(data)
        if not data.startswith(b'echo'):
            self.transport.sendto(b'echo %s' % data, addr)


async def _echo_stream(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(await reader.readline())
    writer.close()


@pytest.fixture
async def links() -> AsyncIterator[tuple[str, str, str]]:
    """Control, UDP and TCP addresses of a proxy for an echo server."""
    control, udp, tcp, echo = free_addresses(4)
    cfg = ProxySettings(
        control,
        (
            Link('flows', 'udp', udp, echo, to_domain='kaohsiung-b'),
            Link('calls', 'tcp', tcp, echo, to_domain='kaohsiung-b'),
        ),
        {'127.0.0.1': 'tainan-a'},
        domain_delay_s=0.001,
    )
    proxy = FaultProxy(cfg)
    runner = await proxy.start()
    transport = await open_datagram_socket(_Echo(), parse_address(echo))
    server = await asyncio.start_server(_echo_stream, *parse_address(echo))
    yield control, udp, tcp
    server.close()
    transport.close()
    proxy.close()
    await runner.cleanup()


class TestFaultProxy:
    """Links of a running proxy."""

    async def test_datagrams(self, links: tuple[str, str, str]) -> None:
        """Guards against lost answers and a cut that lets datagrams pass."""
        control, udp, _ = links
        client = _Echo()
        transport = await open_datagram_socket(
            client,
            remote=parse_address(udp),
        )
        transport.sendto(b'one')
        async with asyncio.timeout(10):
            assert await client.received.get() == b'echo one'
        pair = '/domains/tainan-a/kaohsiung-b'
        async with ClientSession(f'http://{control}') as session:
            await session.put(pair, json={'cut': True})
            transport.sendto(b'two')
            await _until_cut(session)
            await session.put(pair, json={'cut': False})
            transport.sendto(b'three')
            async with asyncio.timeout(10):
                assert await client.received.get() == b'echo three'
        transport.close()

    async def test_streams(self, links: tuple[str, str, str]) -> None:
        """Guards against losing bytes that were sent during a cut."""
        control, _, tcp = links
        async with ClientSession(f'http://{control}') as session:
            await session.put('/links/calls', json={'cut': True})
            reader, writer = await asyncio.open_connection(
                *parse_address(tcp),
            )
            writer.write(b'one\n')
            await session.put('/links/calls', json={'cut': False})
            async with asyncio.timeout(10):
                assert await reader.readline() == b'one\n'
            writer.close()


async def _until_cut(session: ClientSession) -> None:
    async with asyncio.timeout(10):
        while True:
            async with session.get('/links') as answer:
                links = await answer.json()
            if links['flows']['counts'].get('cut'):
                return


class TestNetwork:
    """Pairs of failure domains that a cut affects."""

    def test_isolated_domain(self) -> None:
        """Guards against a cut that drops traffic within the domain."""
        link = Link('l', 'udp', '', '', to_domain='b')
        network = Network(ProxySettings('', (link,)))
        network.set_cut('b', '*', cut=True)
        assert network.is_cut(link, 'a')
        assert network.is_cut(link, '*')
        assert not network.is_cut(link, 'b')
