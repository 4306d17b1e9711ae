"""A small deployment of real processes on loopback addresses.

The programs are started with the commands of the deploy file and settings as
the templates fill them in. Servers, clients and the store are stand-ins in
this process; a proxy stands before the store.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import time
from pathlib import Path
from typing import Any

from servers import WorkingServer
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.wire.http_client import HttpClient
from trefoilhaven_platform.tests.store_standin import StoreStandIn

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ('python3', '-S', '-m', 'trefoilhaven_platform')
# The routers check readiness twice a second and leave out a node after two
# misses.
CHECK_S = 0.5
MISSES = 2
KEPT_VARIABLES = ('PATH', 'HOME', 'LANG')


class CannotRunError(Exception):
    """The case could not be set up."""


def free_ports(count: int) -> list[int]:
    """Return ports that are free on a loopback address now."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(('127.0.0.1', 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Record:
    """Writes ``record.txt`` with the seconds since its start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f'{time.monotonic() - self._start:8.3f} {text}\n')
        self._file.flush()


class StoreProxy:
    """TCP proxy before the store whose open connections can go silent."""

    def __init__(self, listen: Address, forward: Address) -> None:
        self._listen = listen
        self._forward = forward
        self._silent: set[int] = set()
        self._open: set[int] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._next = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self._listen)

    def silence(self) -> int:
        """Carry nothing more on the connections that are open now.

        They are not closed and not reset, and new ones work.
        """
        self._silent.update(self._open)
        return len(self._open)

    def cut(self) -> None:
        """Close the connections that are open now."""
        for writer in self._writers:
            writer.close()

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()
        await asyncio.sleep(0.05)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self._next
        self._next += 1
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._forward
            )
        except OSError:
            writer.close()
            return
        self._writers.add(far_writer)
        self._open.add(number)
        await asyncio.gather(
            self._pump(number, reader, far_writer),
            self._pump(number, far_reader, writer),
        )
        self._open.discard(number)
        for each in (writer, far_writer):
            each.close()
            self._writers.discard(each)

    async def _pump(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            try:
                chunk = await reader.read(65_536)
            except OSError:
                chunk = b''
            if number in self._silent:
                if not chunk:
                    return
                continue
            if not chunk:
                writer.close()
                return
            writer.write(chunk)


class Deployment:
    """Gateways, agents with servers, and the store."""

    def __init__(self, directory: Path, record: Record) -> None:
        names = (
            'fabric',
            'readiness',
            'control',
            'internal',
            'metrics',
            'store',
            'outbound',
            'announcements',
            'app',
        )
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        store = Address('127.0.0.1', self.ports['store'])
        self.store = StoreStandIn(store)
        self.proxy = StoreProxy(
            Address('127.0.0.2', self.ports['store']), store
        )
        self.record = record
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.servers: dict[str, WorkingServer] = {}
        self.services: dict[str, str] = {}
        self.hosts: dict[str, str] = {}
        self.domains: dict[str, str] = {}
        self.rotation: list[Address] = []
        self._misses: dict[str, int] = {}
        self._directory = directory
        self._tasks: list[asyncio.Task[None]] = []

    async def start(
        self, gateways: list[str], targets: list[tuple[str, str]], config: Any
    ) -> None:
        """Start everything.

        ``gateways`` has the zone of each gateway, ``targets`` service and
        zone of each server.
        """
        await self.store.start()
        await self.proxy.start()
        await self.store.write('config', 'main', config)
        for number, zone in enumerate(gateways, 1):
            name = f'g{number}'
            self.hosts[name] = f'127.0.10.{number}'
            self.domains[name] = zone
        for number, (service, zone) in enumerate(targets, 1):
            name = f's{number}'
            self.hosts[name] = f'127.0.20.{number}'
            self.domains[name] = zone
            self.services[name] = service
        for name in self.hosts:
            self.spawn(name)
        for name in self.services:
            await self.start_server(name)
        self._tasks.append(asyncio.create_task(self._check_readiness()))
        await self.wait(
            'all gateways in rotation',
            lambda: len(self.rotation) == len(gateways),
        )
        await self.wait(
            'an acknowledgement for each server',
            lambda: all(
                each.acknowledged == 'ready' for each in self.servers.values()
            ),
        )

    async def wait(self, what: str, holds: Any, limit_s: float = 25) -> None:
        """Wait for a condition of the calm deployment."""
        until = time.monotonic() + limit_s
        while not holds():
            if time.monotonic() > until:
                raise CannotRunError(f'{what} did not happen')
            await asyncio.sleep(0.02)

    async def start_server(
        self, name: str, identity: str = ''
    ) -> WorkingServer:
        """Start the server beside an agent."""
        host = self.hosts[name]
        server = WorkingServer(
            identity or f'i-{name}',
            self.services[name],
            Address(host, self.ports['app']),
            Address(host, self.ports['outbound']),
            Address(host, self.ports['announcements']),
            self.domains[name],
        )
        await server.start()
        self.servers[name] = server
        return server

    def spawn(self, name: str) -> None:
        """Start the program of a host."""
        host = self.hosts[name]
        settings: dict[str, Any] = {
            'name': name,
            'host': name,
            'failure_domain': self.domains[name],
            'readiness': self._at(host, 'readiness'),
            'control': self._at(host, 'internal'),
            'metrics': self._at(host, 'metrics'),
            'platform': f'127.0.0.2:{self.ports["store"]}',
            'seeds': [
                {'address': self._at(self.hosts[seed], 'control')}
                for seed in ('g1', 'g3', 'g5')
                if seed in self.hosts
            ],
        }
        if name in self.services:
            role = 'agent'
            settings |= {
                'service': self.services[name],
                'segments': self._at(host, 'outbound'),
                'announcements': self._at(host, 'announcements'),
                'target': self._at(host, 'app'),
                'fabric': self._at(host, 'fabric'),
            }
        else:
            role = 'balancer'
            settings |= {
                'processor_share': 0.537,
                'processor_speed': 2,
                'segments': self._at(host, 'fabric'),
            }
        path = self._directory / f'{name}.json'
        path.write_text(json.dumps(settings))
        kept = {
            key: os.environ[key] for key in KEPT_VARIABLES if key in os.environ
        }
        with (self._directory / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                [*COMMAND, role],
                cwd=ROOT,
                env=kept
                | {
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'TREFOILHAVEN_SETTINGS': str(path),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this case started."""
        self.processes[name].send_signal(number)

    async def ended(self, name: str, limit_s: float = 6) -> None:
        """Wait until a process has ended; SIGKILL after the grace."""
        until = time.monotonic() + limit_s
        while self.processes[name].poll() is None:
            if time.monotonic() > until:
                self.processes[name].kill()
            await asyncio.sleep(0.02)

    def zone_rotation(self, zone: str) -> list[Address]:
        """Return the gateways in rotation of a zone."""
        hosts = {
            self.hosts[name]
            for name, known in self.domains.items()
            if known == zone
        }
        return [each for each in self.rotation if each.host in hosts]

    async def is_agent_ready(self, name: str) -> bool:
        """Return whether a process answers the readiness check."""
        return await self._is_ready(name)

    def log(self, name: str) -> str:
        """Return the log of a process."""
        return (self._directory / f'{name}.log').read_text(errors='replace')

    async def stop(self) -> None:
        """End all processes that were started."""
        for task in self._tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        for server in self.servers.values():
            await server.crash()
        await self.proxy.stop()
        self.store.stop()

    def _at(self, host: str, port: str) -> str:
        return f'{host}:{self.ports[port]}'

    async def _check_readiness(self) -> None:
        """Keep the gateways in rotation that pass the check."""
        due = time.monotonic()
        while True:
            names = [name for name in self.hosts if name[0] == 'g']
            ready = await asyncio.gather(*map(self._is_ready, names))
            rotation = []
            for name, is_ready in zip(names, ready, strict=True):
                misses = 0 if is_ready else self._misses.get(name, MISSES) + 1
                self._misses[name] = misses
                if misses < MISSES:
                    rotation.append(
                        Address(self.hosts[name], self.ports['fabric'])
                    )
            self.rotation = rotation
            due += CHECK_S
            await asyncio.sleep(due - time.monotonic())

    async def _is_ready(self, name: str) -> bool:
        client = HttpClient(Address(self.hosts[name], self.ports['readiness']))
        try:
            answer = await client.request('GET', '/v1/readiness', b'', 0.4)
        except (OSError, TimeoutError):
            return False
        finally:
            client.close()
        return answer.status == 200


def configuration(
    version: int, routes: dict[Address, str], timeout_ms: int = 2000
) -> dict[str, Any]:
    """Return the operator's configuration with a service for each address."""
    return {
        'version': version,
        'routes': [
            {
                'name': f'r-{address.host}-{address.port}',
                'host': address.host,
                'path_prefix': f'/{address.port}/',
                'type': 'safe',
                'timeout_ms': timeout_ms,
                'target_latency_ms': 250,
                'priority': 1,
                'service': service,
            }
            for address, service in routes.items()
        ],
        'services': [],
        'limits': {'idle_timeout_ms': 15_000},
    }
