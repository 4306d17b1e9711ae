"""Common parts of the stand-ins: settings, signals, sockets and HTTP."""

import asyncio
import logging
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
import typer
from aiohttp import web

from trefoilhaven_bench.records import record_from
from trefoilhaven_bench.settings import UDP_BUFFER_BYTES
from trefoilhaven_core.membership.messages import Address

SettingsT = TypeVar('SettingsT')
ProtocolT = TypeVar('ProtocolT', bound=asyncio.DatagramProtocol)
SettingsOption = Annotated[Path, typer.Option(help='Settings file, JSON.')]
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def parse_address(text: str) -> Address:
    """Parse an address such as ``127.0.0.1:7000``.

    Raises ``ValueError`` when the port is not a number.
    """
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


def format_address(address: Address) -> str:
    """Format an address as ``ip:port``."""
    return f'{address.host}:{address.port}'


def read_settings(path: Path, kind: type[SettingsT]) -> SettingsT:
    """Read a JSON settings file as the given ``NamedTuple`` type.

    Raises the same errors as ``record_from`` for invalid fields.
    """
    return record_from(kind, msgspec.json.decode(path.read_bytes()))


def run_process(serve: Callable[[asyncio.Event], Awaitable[None]]) -> None:
    """Run a stand-in until SIGTERM or SIGINT sets its stop event."""
    logging.basicConfig(
        level=logging.INFO,
        stream=sys.stdout,
        format='%(asctime)s %(name)s %(levelname)s %(message)s',
    )
    asyncio.run(_serve_until_signal(serve))


async def _serve_until_signal(
    serve: Callable[[asyncio.Event], Awaitable[None]],
) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await serve(stopped)


async def open_datagram_socket(
    protocol: ProtocolT,
    address: Address | None = None,
    remote: Address | None = None,
) -> asyncio.DatagramTransport:
    """Open a UDP socket with buffers large enough for bursts."""
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: protocol,
        local_addr=address,
        remote_addr=remote,
    )
    raw = transport.get_extra_info('socket')
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        raw.setsockopt(socket.SOL_SOCKET, option, UDP_BUFFER_BYTES)
    return transport


async def serve_http(
    routes: list[web.RouteDef],
    address: Address,
    **options: Any,
) -> web.AppRunner:
    """Serve HTTP routes, with a default ``GET /health`` if there is none."""
    app = web.Application(**options)
    app.add_routes(routes)
    if all(route.path != '/health' for route in routes):
        app.router.add_get('/health', _answer_health)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1)
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port).start()
    return runner


async def _answer_health(request: web.Request) -> web.Response:
    return web.json_response({'healthy': True})
