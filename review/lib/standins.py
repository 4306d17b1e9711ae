"""Small stand-ins for the review cases: store, servers, requesters, routers.

Only the standard library is used. All sockets are on loopback addresses. The
stand-ins speak the users' published protocol and, where a case asks for
nothing else, behave soundly.
"""

import asyncio
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
SYN, ACK, FIN, RST, BOUNCED = 16, 8, 2, 64, 32
HEADER = struct.Struct('>IIHIHBBIIIH')
SPACE = 1 << 32
KEY = b'review key'
RESET_WINDOW = 76_800

# The addresses that the cases use: the store's, and those of up to four
# fronts, four machines beside servers and one requester.
STORE_HOST = '127.77.0.1'
HOSTS = (
    STORE_HOST,
    *(f'127.77.1.{number}' for number in range(1, 5)),
    *(f'127.77.2.{number}' for number in range(1, 5)),
    '127.77.3.1',
)


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Lines of what was sent, answered and run, with the time."""

    def __init__(self, directory):
        self.start = time.monotonic()
        self._file = open(Path(directory) / 'record.txt', 'w', buffering=1)

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self._file.write(f'{self.now():8.3f} {text}\n')


# Packets ------------------------------------------------------------------


def ip_number(host):
    return int.from_bytes(socket.inet_aton(host), 'big')


def checksum(fields, data):
    """Keyed sum over all fields except echo, pad and BOUNCED."""
    src, sport, dst, dport, flags, seq, ack = fields
    head = struct.pack(
        '>IHIHBII', src, sport, dst, dport, flags & ~BOUNCED, seq, ack
    )
    return zlib.crc32(KEY + head + data) or 1


def pack(source, destination, flags, seq, ack, data=b''):
    fields = (*source, *destination, flags, seq % SPACE, ack % SPACE)
    return (
        HEADER.pack(
            checksum(fields, data),
            *source,
            *destination,
            flags,
            0,
            seq % SPACE,
            ack % SPACE,
            0,
            len(data),
        )
        + data
    )


class Packet:
    def __init__(self, raw):
        (
            self.sum,
            self.src,
            self.sport,
            self.dst,
            self.dport,
            self.flags,
            self.pad,
            self.seq,
            self.ack,
            self.echo,
            self.length,
        ) = HEADER.unpack_from(raw)
        self.data = raw[HEADER.size :]
        self.raw = raw

    @property
    def is_genuine(self):
        fields = (
            self.src,
            self.sport,
            self.dst,
            self.dport,
            self.flags,
            self.seq,
            self.ack,
        )
        return self.sum == checksum(fields, self.data)

    def text(self):
        names = [
            name
            for name, bit in (
                ('SYN', SYN),
                ('ACK', ACK),
                ('FIN', FIN),
                ('RST', RST),
                ('BOUNCED', BOUNCED),
            )
            if self.flags & bit
        ]
        flags = '+'.join(names)
        return f'{flags} sum={self.sum:#x} seq={self.seq} ack={self.ack} len={self.length}'


class Udp:
    """UDP socket that passes its datagrams to a callback."""

    def __init__(self, address, on_packet):
        self._on_packet = on_packet
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)
        asyncio.get_running_loop().add_reader(self._sock, self._read)

    def send(self, raw, address):
        try:
            self._sock.sendto(raw, address)
        except OSError:
            pass

    def pause(self):
        """Leave datagrams unread."""
        asyncio.get_running_loop().remove_reader(self._sock)

    def resume(self):
        asyncio.get_running_loop().add_reader(self._sock, self._read)

    def close(self):
        if self._sock.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._sock)
            self._sock.close()

    def _read(self):
        while self._sock.fileno() >= 0:
            try:
                raw = self._sock.recv(65_536)
            except BlockingIOError:
                return
            except OSError:
                continue
            self._on_packet(raw)


# HTTP ---------------------------------------------------------------------


async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b''
    length = int(headers.get('content-length', 0))
    if length:
        body = await reader.readexactly(length)
    return lines[0].split(' '), headers, body


async def serve_http(host, port, handler, is_silent=lambda accepted_at: False):
    """Serve HTTP/1.1; the handler returns (status, body) or None to hang up.

    Nothing passes any more, without a reset, on a connection for which
    ``is_silent`` is true.
    """

    async def serve(reader, writer):
        accepted_at = time.monotonic()
        try:
            while True:
                start, _, body = await read_head(reader)
                if is_silent(accepted_at):
                    await asyncio.sleep(3600)
                answer = await handler(start[0], start[1], body)
                if is_silent(accepted_at):
                    await asyncio.sleep(3600)
                if answer is None:
                    return
                status, content = answer
                head = (
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(content)}\r\n\r\n'
                )
                writer.write(head.encode() + content)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, host, port)


async def call_http(host, port, method, target, body=b'', timeout_s=1.0):
    """Make one call on a new connection; None without an answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            head = (
                f'{method} {target} HTTP/1.1\r\nHost: {host}:{port}\r\n'
                f'Content-Type: application/json\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'
            )
            writer.write(head.encode() + body)
            start, _, content = await read_head(reader)
            return int(start[1]), content
    except (OSError, EOFError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


# The platform's store ------------------------------------------------------


class Store:
    """Objects by kind and name; ``mode`` is '' (up), 'busy' or 'silent'.

    An object's spec is kept as JSON text, so that it may come from any
    writer.
    """

    def __init__(self, host, port, record):
        self.host, self.port = host, port
        self.mode = ''
        self.silenced_at = float('-inf')
        self.watches = 0
        self.revision = 100
        self.kinds = {}
        self.events = []
        self._record = record
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        self._server = await serve_http(
            self.host,
            self.port,
            self._handle,
            lambda accepted_at: accepted_at < self.silenced_at,
        )

    def silence_connections(self):
        """Let all open connections go silent; new ones work."""
        self.silenced_at = time.monotonic()
        self._record.line('network: open connections to the store go silent')

    def close(self):
        if self._server is not None:
            self._server.close()

    def put(self, kind, name, spec_text):
        self.revision += 1
        known = self.kinds.setdefault(kind, {}).get(name)
        created = known['created'] if known else self.revision
        self.kinds[kind][name] = {
            'revision': self.revision,
            'created': created,
            'spec': spec_text,
        }
        self._add_event(kind, self._text(name, self.kinds[kind][name]), False)
        return self.revision

    def write_config(self, config):
        self.put('config', 'main', json.dumps(config))
        self._record.line(
            f'operator: config/main version {config["version"]} confirmed: '
            f'{json.dumps(config["routes"])}'
        )

    def delete(self, kind, name):
        known = self.kinds[kind].pop(name)
        self.revision += 1
        known['revision'] = self.revision
        self._add_event(kind, self._text(name, known), True)

    def _add_event(self, kind, text, deleted):
        self.events.append((self.revision, kind, text, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    @staticmethod
    def _text(name, known):
        meta = {
            'name': name,
            'revision': known['revision'],
            'created_rev': known['created'],
            'finalizers': [],
            'deleting': False,
        }
        return f'{{"meta":{json.dumps(meta)},"spec":{known["spec"]},"status":null}}'

    async def _handle(self, method, target, body):
        if self.mode == 'silent':
            await asyncio.sleep(3600)
        if self.mode == 'busy':
            return 503, b'{}'
        url = urlsplit(target)
        parts = url.path.removeprefix('/v1/objects/').split('/')
        kind = unquote(parts[0])
        name = unquote(parts[1]) if len(parts) > 1 else ''
        query = {key: each[0] for key, each in parse_qs(url.query).items()}
        if method == 'GET':
            return await self._get(kind, name, query)
        return self._change(method, kind, name, query, body)

    async def _get(self, kind, name, query):
        objects = self.kinds.get(kind, {})
        if name:
            known = objects.get(name)
            if known is None:
                return 404, b'{}'
            return 200, self._text(name, known).encode()
        if 'watch' in query:
            return await self._watch(kind, query)
        after = query.get('after', '')
        items = ','.join(
            self._text(each, known)
            for each, known in sorted(objects.items())
            if each > after
        )
        text = (
            f'{{"items":[{items}],"has_more":false,'
            f'"store_revision":{self.revision}}}'
        )
        return 200, text.encode()

    async def _watch(self, kind, query):
        since = int(query['watch'])
        self.watches += 1
        until = time.monotonic() + min(int(query['wait_ms']), 30_000) / 1000
        while True:
            found = [
                f'{{"deleted":{json.dumps(deleted)},"object":{text}}}'
                for revision, of_kind, text, deleted in self.events
                if of_kind == kind and revision > since
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                events = ','.join(found)
                text = (
                    f'{{"events":[{events}],"store_revision":{self.revision}}}'
                )
                return 200, text.encode()
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass
            if self.mode:
                return None

    def _change(self, method, kind, name, query, body):
        content = json.loads(body) if body else {}
        meta = content.get('meta') or {}
        name = name or meta.get('name', '')
        known = self.kinds.get(kind, {}).get(name)
        if method == 'POST':
            if known is not None:
                return 409, self._text(name, known).encode()
        elif known is None:
            return 404, b'{}'
        else:
            wanted = meta.get('revision') or query.get('revision')
            if wanted is not None and int(wanted) != known['revision']:
                return 409, self._text(name, known).encode()
        if method == 'DELETE':
            self.delete(kind, name)
            self._record.line(f'store: DELETE {kind}/{name}')
            return 200, b'{}'
        if method == 'PUT' and json.dumps(content.get('spec')) == known['spec']:
            return 200, self._text(name, known).encode()
        self.put(kind, name, json.dumps(content.get('spec')))
        self._record.line(f'store: {method} {kind}/{name}')
        return 200, self._text(name, self.kinds[kind][name]).encode()


# Servers -------------------------------------------------------------------


class Server:
    """A server beside an agent: flows over packets, health probe, heartbeats.

    ``handshake_delay_s`` delays its answers to openings.
    """

    def __init__(
        self, fleet, name, identity, service, first=1, beat_s=0.77, work_s=0.0
    ):
        self.fleet = fleet
        self.beat_s = beat_s
        self.work_s = work_s
        self.name = name
        self.identity = identity
        self.service = service
        self.host = fleet.hosts[name]
        self.state = 'ready'
        self.confirmed = {}
        self.sequence = first - 1
        self.born = round(time.time() * 1000)
        self.half_open = {}
        self.open = {}
        self.ended = {}
        self.run = []
        self.sending = {}
        self._rng = random.Random()
        self._udp = None
        self._tcp = None
        self._task = None

    async def start(self):
        ports = self.fleet.ports
        self._udp = Udp((self.host, ports['app']), self._on_raw)
        self._tcp = await serve_http(self.host, ports['app'], self._health)
        self._task = asyncio.create_task(self._beat())
        self.fleet.record.line(f'server {self.identity} on {self.name}: starts')

    async def _health(self, method, target, body):
        return (200, b'{}') if self.state == 'ready' else (503, b'{}')

    def freeze(self):
        """Stand still, as its machine does."""
        self._udp.pause()
        self._task.cancel()

    def wake(self):
        self._udp.resume()
        self._task = asyncio.create_task(self._beat())

    async def end(self, why):
        """End the process of the server."""
        self._task.cancel()
        self._udp.close()
        self._tcp.close()
        await self._tcp.wait_closed()
        self.fleet.record.line(f'server {self.identity} on {self.name}: {why}')

    async def leave(self, drain_s):
        """Planned end: draining, then DELETE, then exit."""
        self.state = 'draining'
        self.fleet.record.line(f'server {self.identity}: draining')
        await self.fleet.wait(
            f'confirmation that {self.identity} drains',
            lambda: 'draining' in self.confirmed,
        )
        await asyncio.sleep(drain_s)
        answer = await call_http(
            self.host,
            self.fleet.ports['heartbeats'],
            'DELETE',
            f'/v1/instances/{self.identity}',
        )
        self.fleet.record.line(
            f'server {self.identity}: DELETE answered {answer and answer[0]}'
        )
        await self.end('exits as planned')

    async def _beat(self):
        while True:
            self.sequence += 1
            state = self.state
            body = {
                'service': self.service,
                'address': f'{self.host}:{self.fleet.ports["app"]}',
                'zone': 'a',
                'version': 'v1',
                'slots': 2,
                'state': state,
                'cold_left_ms': 0,
                'sequence': self.sequence,
                'born': self.born,
            }
            answer = await call_http(
                self.host,
                self.fleet.ports['heartbeats'],
                'PUT',
                f'/v1/instances/{self.identity}',
                json.dumps(body).encode(),
            )
            if answer is not None and 200 <= answer[0] < 300:
                if state not in self.confirmed:
                    self.confirmed[state] = self.fleet.record.now()
                    self.fleet.record.line(
                        f'server {self.identity}: heartbeat {self.sequence} '
                        f'({state}) confirmed'
                    )
                await asyncio.sleep(self.beat_s)
            else:
                await asyncio.sleep(0.2)

    def _send(self, raw):
        self._udp.send(raw, (self.host, self.fleet.ports['outbound']))

    def _on_raw(self, raw):
        packet = Packet(raw)
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if not packet.is_genuine:
            self.fleet.record.line(
                f'server {self.identity}: not genuine: {packet.text()}'
            )
            return
        client, service = key[:2], key[2:]
        if packet.flags & SYN:
            if self.state == 'ready' or self.state == 'draining':
                first = self.half_open.get(key) or self.open.get(key)
                if first is None:
                    first = self._rng.randrange(SPACE)
                    self.half_open[key] = first
                    self.fleet.record.line(
                        f'server {self.identity}: accepts SYN of '
                        f'{flow_text(key)} with seq {first}'
                    )
                self._send(
                    pack(service, client, SYN | ACK, first, packet.seq + 1)
                )
            return
        first = self.half_open.get(key)
        if first is not None and packet.ack == (first + 1) % SPACE:
            self.open[key] = self.half_open.pop(key)
            self.fleet.record.line(
                f'server {self.identity}: flow {flow_text(key)} is open'
            )
        if key not in self.open:
            if key in self.ended and not packet.flags & RST:
                if packet.flags & FIN:
                    self._send(
                        pack(service, client, ACK, packet.ack, packet.seq + 1)
                    )
                elif packet.length:
                    self._send(pack(service, client, RST, packet.ack, 0))
                return
            bounced = bytearray(raw)
            bounced[16] |= BOUNCED
            bounced[17] = 0
            self._send(bytes(bounced))
            return
        if packet.flags & RST:
            self.open.pop(key)
            return
        response = self.sending.get(key)
        if response is not None and response.on_ack(packet.ack):
            self.sending.pop(key)
        if packet.length:
            self._request(key, packet)
        elif packet.flags & FIN:
            self.ended[key] = self.open.pop(key)
            self.fleet.record.line(
                f'server {self.identity}: flow {flow_text(key)} closed'
            )
            self._send(
                pack(service, client, FIN | ACK, packet.ack, packet.seq + 1)
            )

    def _request(self, key, packet):
        client, service = key[:2], key[2:]
        request = packet.data.decode()
        number = request.split('X-Request-Id: ')[1].split('\r\n')[0]
        if number not in self.run:
            self.run.append(number)
            if not number.startswith('bulk-'):
                self.fleet.record.line(
                    f'server {self.identity} of {self.service}: runs {number}'
                )
        if key in self.sending:
            return
        size = 0
        if 'X-Size: ' in request:
            size = int(request.split('X-Size: ')[1].split('\r\n')[0])
        body = f'answer to {number}'.encode().ljust(size, b'.')
        answer = (
            f'HTTP/1.1 200 OK\r\nX-Response-Stamp: {self.identity}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body
        self.sending[key] = Response(
            self,
            client,
            service,
            packet.ack,
            packet.seq + packet.length,
            answer,
        )
        asyncio.get_running_loop().call_later(
            self.work_s, self.sending[key].send
        )


class Response:
    """A response in packets of up to 1,200 bytes, 16 of them in flight."""

    def __init__(self, server, client, service, first, ack, data):
        self._server = server
        self._client = client
        self._service = service
        self._first = first
        self._ack = ack
        self._data = data
        self._acknowledged = 0
        self._sent = 0
        self._wait_s = 0.2
        self._tries = 0
        self._timer = None

    def send(self):
        """Send what the window allows."""
        limit = self._acknowledged + 16 * 1200
        while self._sent < min(limit, len(self._data)):
            chunk = self._data[self._sent : self._sent + 1200]
            self._server._send(
                pack(
                    self._service,
                    self._client,
                    ACK,
                    self._first + self._sent,
                    self._ack,
                    chunk,
                )
            )
            self._sent += len(chunk)
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._wait_s, self._repeat)

    def on_ack(self, ack):
        """Process an acknowledgement; return whether all has arrived."""
        arrived = (ack - self._first) % SPACE
        if not self._acknowledged < arrived <= len(self._data):
            return False
        self._acknowledged = arrived
        self._sent = max(self._sent, arrived)
        self._wait_s = 0.2
        self._tries = 0
        if arrived == len(self._data):
            if self._timer is not None:
                self._timer.cancel()
            return True
        self.send()
        return False

    def _repeat(self):
        self._tries += 1
        if self._tries > 8:
            return
        self._sent = self._acknowledged
        self._wait_s = min(2 * self._wait_s, 1.6)
        self.send()


def flow_text(key):
    client = socket.inet_ntoa(key[0].to_bytes(4, 'big'))
    service = socket.inet_ntoa(key[2].to_bytes(4, 'big'))
    return f'{client}:{key[1]}>{service}:{key[3]}'


# Requesters ----------------------------------------------------------------


class Requester:
    """A requester at one address with any number of flows, by port."""

    def __init__(self, fleet, host):
        self.fleet = fleet
        self.host = host
        self.flows = {}
        self._udp = Udp((host, fleet.ports['datagrams']), self._on_raw)

    def close(self):
        self._udp.close()

    def flow(self, port, address):
        made = Flow(self, port, address)
        self.flows[port, address] = made
        return made

    def send(self, raw, address):
        if address is not None:
            self._udp.send(raw, address)

    def _on_raw(self, raw):
        packet = Packet(raw)
        service = (
            socket.inet_ntoa(packet.src.to_bytes(4, 'big')),
            packet.sport,
        )
        flow = self.flows.get((packet.dport, service))
        if flow is not None:
            flow.on_packet(packet)


class Flow:
    """One flow of a requester.

    ``resets`` are all resets that arrived, with their time, the state of the
    flow and whether the sequence number makes them valid.
    """

    def __init__(self, requester, port, address):
        self.requester = requester
        self.fleet = requester.fleet
        self.record = self.fleet.record
        self.source = (ip_number(requester.host), port)
        self.service = (ip_number(address[0]), address[1])
        self.key = (*self.source, *self.service)
        self.is_open = False
        self.is_over = False
        self.first = 0
        self.seq = random.randrange(SPACE)
        self.ack = 0
        self.answers = {}
        self.received = 0
        self._buffer = b''
        self._unacknowledged = 0
        self.resets = []
        self.forged = []
        self.fin_seen = False
        self._answered = asyncio.Event()

    def _address(self):
        return self.fleet.router.choose(self.key)

    def _send(self, flags, data=b'', ack=None):
        raw = pack(
            self.source,
            self.service,
            flags,
            self.seq,
            self.ack if ack is None else ack,
            data,
        )
        self.requester.send(raw, self._address())

    async def connect(self):
        """Open the flow with three SYNs; return whether it opened."""
        for copy, wait_s in enumerate((0.2, 0.4, 0.8)):
            self.record.line(f'requester: SYN {copy} of {flow_text(self.key)}')
            self._send(SYN, ack=copy)
            until = time.monotonic() + wait_s
            while time.monotonic() < until:
                if self.is_open:
                    return True
                if self.is_over:
                    return False
                await asyncio.sleep(0.005)
        self.record.line(f'requester: {flow_text(self.key)} did not open')
        self.is_over = True
        return False

    async def request(self, number, deadline_s=2.0, size=0, quiet=False):
        """Send one request; return the body of the answer or None."""
        head = (
            f'GET /work HTTP/1.1\r\nHost: x\r\nX-Request-Id: {number}\r\n'
            f'X-Size: {size}\r\n\r\n'
        ).encode()
        if not quiet:
            self.record.line(
                f'requester: request {number} on {flow_text(self.key)}'
            )
        until = time.monotonic() + deadline_s
        wait_s = 0.2
        self._answered.clear()
        while time.monotonic() < until and not self.is_over:
            self._send(ACK, head)
            limit = min(wait_s, max(0.001, until - time.monotonic()))
            try:
                async with asyncio.timeout(limit):
                    await self._answered.wait()
            except TimeoutError:
                wait_s = min(2 * wait_s, 1.6)
                continue
            break
        answer = self.answers.get(number)
        if answer is None:
            why = 'reset' if self.is_over else 'no answer by its deadline'
            self.record.line(f'requester: request {number} failed: {why}')
            return None
        self.seq = (self.seq + len(head)) % SPACE
        self._send(ACK)
        if not quiet:
            self.record.line(f'requester: request {number} answered: {answer}')
        return answer

    async def finish(self):
        """Close the flow in both directions."""
        for _ in range(8):
            self._send(FIN | ACK)
            await asyncio.sleep(0.1)
            if self.fin_seen:
                break
        self.seq = (self.seq + 1) % SPACE
        self._send(ACK)
        self.is_over = True
        self.record.line(f'requester: {flow_text(self.key)} is closed')

    def on_packet(self, packet):
        if packet.flags & RST:
            self._on_reset(packet)
            return
        if not packet.is_genuine:
            self.forged.append((self.record.now(), packet))
            self.record.line(f'requester: not genuine: {packet.text()}')
            return
        if self.is_over:
            return
        if packet.flags & SYN:
            if not self.is_open:
                self.is_open = True
                self.first = packet.seq
                self.seq = (self.seq + 1) % SPACE
                self.ack = (packet.seq + 1) % SPACE
                self.record.line(
                    f'requester: {flow_text(self.key)} chooses SYN+ACK '
                    f'with seq {packet.seq}'
                )
                self._send(ACK)
            return
        if not self.is_open or (packet.seq - self.ack) % SPACE > 1 << 20:
            return
        if packet.flags & FIN:
            self.fin_seen = True
            self.ack = (packet.seq + 1) % SPACE
        elif packet.length and packet.seq == self.ack:
            self._on_data(packet)
        elif packet.length:
            self._send(ACK)

    def _on_data(self, packet):
        self.ack = (packet.seq + packet.length) % SPACE
        self.received += packet.length
        self._buffer += packet.data
        self._unacknowledged += 1
        if self._unacknowledged >= 2:
            self._unacknowledged = 0
            self._send(ACK)
        head, mark, body = self._buffer.partition(b'\r\n\r\n')
        if not mark:
            return
        length = int(head.split(b'Content-Length: ')[1].split(b'\r\n')[0])
        if len(body) >= length:
            text = body[:length].decode().rstrip('.')
            self._buffer = body[length:]
            self._unacknowledged = 0
            self.answers[text.removeprefix('answer to ')] = text
            self._answered.set()

    def _on_reset(self, packet):
        distance = (packet.seq - self.ack) % SPACE
        near = min(distance, SPACE - distance) <= RESET_WINDOW
        is_own = packet.is_genuine
        state = (
            'over' if self.is_over else 'open' if self.is_open else 'opening'
        )
        self.resets.append((self.record.now(), state, near, is_own))
        self.record.line(
            f'requester: {flow_text(self.key)} ({state}, ack {self.ack}) gets '
            f"{'a server' if is_own else 'the system'}'s reset: "
            f'{packet.text()}, {"within" if near else "outside"} the window'
        )
        if not self.is_open or near:
            self.is_over = True
            self._answered.set()


# Router and processes ------------------------------------------------------


class Router:
    """The platform's routers of one zone, with two checks a second."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.misses = {}
        self._task = None

    def start(self):
        self._task = asyncio.create_task(self._check())

    def close(self):
        if self._task is not None:
            self._task.cancel()

    @property
    def rotation(self):
        ready = [name for name in sorted(self.misses) if not self.misses[name]]
        return ready

    def choose(self, key):
        ready = [n for n in sorted(self.misses) if self.misses[n] < 2]
        nodes = ready
        if 2 * len(ready) < len(self.misses):
            nodes = sorted(self.misses)
        if not nodes:
            return None
        number = zlib.crc32(struct.pack('>IHIH', *key)) % len(nodes)
        host = self.fleet.hosts[nodes[number]]
        return host, self.fleet.ports['datagrams']

    async def _check(self):
        while True:
            await asyncio.gather(
                *(self._check_node(name) for name in list(self.misses))
            )
            await asyncio.sleep(0.5)

    async def _check_node(self, name):
        answer = await call_http(
            self.fleet.hosts[name],
            self.fleet.ports['readiness'],
            'GET',
            '/v1/readiness',
            timeout_s=0.4,
        )
        if answer is not None and answer[0] == 200:
            self.misses[name] = 0
        else:
            self.misses[name] += 1


PORTS = (
    'datagrams',
    'readiness',
    'heartbeats',
    'control',
    'metrics',
    'outbound',
    'app',
    'store',
)


class Fleet:
    """Machines with the project's programs, on loopback addresses."""

    def __init__(self, directory):
        self.record = Record(directory)
        self.hosts = {}
        self.processes = {}
        self.servers = []
        self.requesters = []
        self.ports = dict(zip(PORTS, free_ports(len(PORTS)), strict=True))
        self.store = Store(STORE_HOST, self.ports['store'], self.record)
        self.router = Router(self)
        self._logs = []
        self._directory = Path(tempfile.mkdtemp(prefix='review-'))

    async def start_store(self):
        await self.store.start()
        self.router.start()

    def settings(self, name):
        host = self.hosts[name]
        seeds = [
            {'address': f'{each}:{self.ports["heartbeats"]}'}
            for known, each in self.hosts.items()
            if known.startswith('front')
        ]
        return {
            'name': name,
            'host': name,
            'failure_domain': 'a',
            'readiness': f'{host}:{self.ports["readiness"]}',
            'control': f'{host}:{self.ports["control"]}',
            'metrics': f'{host}:{self.ports["metrics"]}',
            'platform': f'{self.store.host}:{self.ports["store"]}',
            'seeds': seeds[:3],
        }

    def add_front(self, name, host):
        self.hosts[name] = host
        self.router.misses[name] = 2

    def add_side(self, name, host):
        self.hosts[name] = host

    def spawn(self, name, service=''):
        """Start the program of a machine as the deploy file does."""
        settings = self.settings(name)
        host = self.hosts[name]
        if name.startswith('front'):
            role = 'balancer'
            settings |= {
                'processor_share': 0.537,
                'processor_speed': 2,
                'segments': f'{host}:{self.ports["datagrams"]}',
            }
        else:
            role = 'agent'
            settings |= {
                'service': service,
                'segments': f'{host}:{self.ports["outbound"]}',
                'announcements': f'{host}:{self.ports["heartbeats"]}',
                'target': f'{host}:{self.ports["app"]}',
                'fabric': f'{host}:{self.ports["datagrams"]}',
            }
        path = self._directory / f'{name}.json'
        path.write_text(json.dumps(settings))
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['TREFOILHAVEN_SETTINGS'] = str(path)
        log = open(self._directory / f'{name}.log', 'ab')
        self._logs.append(log)
        self.processes[name] = subprocess.Popen(
            ['python3', '-S', '-m', 'trefoilhaven_platform', role],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        self.record.line(f'{name}: {role} started')
        return self.processes[name]

    def kill(self, name, number=signal.SIGKILL):
        process = self.processes[name]
        process.send_signal(number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            process.wait(10)
        self.record.line(f'{name}: {signal.Signals(number).name}')

    def log(self, name):
        return (self._directory / f'{name}.log').read_text(errors='replace')

    async def wait(self, what, holds, limit_s=20.0):
        until = time.monotonic() + limit_s
        while not holds():
            if time.monotonic() > until:
                raise CannotRun(f'{what}: not within {limit_s} s')
            await asyncio.sleep(0.02)

    async def wait_ready(self, names):
        await self.wait(
            'fronts in rotation',
            lambda: all(not self.router.misses[name] for name in names),
        )

    def requester(self, host):
        made = Requester(self, host)
        self.requesters.append(made)
        return made

    async def close(self):
        self.router.close()
        for requester in self.requesters:
            requester.close()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for server in self.servers:
            if server._task is not None:
                server._task.cancel()
                server._udp.close()
                server._tcp.close()
        self.store.close()
        for log in self._logs:
            log.close()
        for path in self._directory.iterdir():
            path.unlink()
        self._directory.rmdir()

    async def server(self, name, identity, service, **options):
        made = Server(self, name, identity, service, **options)
        await made.start()
        self.servers.append(made)
        return made


def free_ports(count):
    """Return ports that are free on all addresses of the cases now."""
    found = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind((STORE_HOST, 0))
            port = probe.getsockname()[1]
        if port not in found and all(is_free(host, port) for host in HOSTS):
            found.append(port)
    return found


def is_free(host, port):
    """Return whether a port is free on an address, for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def config(version, routes):
    """Configuration with routes given as (address, service)."""
    return {
        'version': version,
        'routes': [
            {
                'name': f'r-{address[0]}-{address[1]}',
                'host': address[0],
                'path_prefix': f'/{address[1]}/',
                'type': 'safe',
                'timeout_ms': 2000,
                'target_latency_ms': 200,
                'priority': 1,
                'service': service,
                'attempts': 2,
            }
            for address, service in routes
        ],
        'services': [
            {'name': service, 'health_path': '/health'}
            for service in sorted({service for _, service in routes})
        ],
        'limits': {'idle_timeout_ms': 15000},
    }


def main(case, directory, limit_s=110):
    """Run a case; exit with 0 (held), 1 (broken) or 2 (could not run)."""
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def guarded():
        fleet = Fleet(directory)
        fleet.record.line(f'TROUBLE={int(trouble)}')
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                verdict = await case(fleet, trouble)
        except (CannotRun, TimeoutError, asyncio.CancelledError) as exc:
            fleet.record.line(f'could not run: {exc!r}')
            for name in fleet.processes:
                fleet.record.line(f'last log lines of {name}:')
                for line in fleet.log(name).splitlines()[-5:]:
                    fleet.record.line(f'    {line}')
            return 2
        finally:
            await fleet.close()
        fleet.record.line('verdict: ' + (verdict or 'the rule held'))
        print('broken: ' + verdict if verdict else 'held')
        return 1 if verdict else 0

    sys.exit(asyncio.run(guarded()))
