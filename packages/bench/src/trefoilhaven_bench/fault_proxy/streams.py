"""TCP links of the fault proxy; bytes stay in order and a cut delays them."""

import asyncio
import contextlib
from collections import Counter

from trefoilhaven_bench.fault_proxy.domains import ANY_DOMAIN
from trefoilhaven_bench.fault_proxy.links import Link, Network
from trefoilhaven_bench.processes import parse_address
from trefoilhaven_bench.settings import POLL_INTERVAL_S, TCP_RETRANSMIT_S

_BLOCK_BYTES = 65_536
# Blocks queued in one direction before reading from the source pauses.
_MAX_BLOCKS = 64

_Block = tuple[float, bytes]


class _Sender:
    """Source of a connection; its failure domain may be unknown."""

    def __init__(self, peer: tuple[str, int], domain: str) -> None:
        self.peer = peer
        self.domain = domain
        self.searched = False


class StreamLink:
    """A TCP link with one upstream connection per connection."""

    def __init__(self, name: str, network: Network) -> None:
        """Create the link without opening sockets."""
        self.counts: Counter[str] = Counter()
        self._name = name
        self._network = network
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    @property
    def link(self) -> Link:
        """Current settings of the link."""
        return self._network.links[self._name]

    async def start(self) -> None:
        """Open the listening socket."""
        address = parse_address(self.link.listen)
        self._server = await asyncio.start_server(self._accept, *address)

    def close(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in self._connections:
            connection.cancel()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._connections.add(task)
            task.add_done_callback(self._connections.discard)
        self.counts['connections'] += 1
        peer = writer.get_extra_info('peername')
        domain = self._network.source_domain(self.link, peer[0])
        sender = _Sender(peer, domain)
        try:
            await self._wait_while_cut(sender)
            await self._relay(reader, writer, sender)
        except (OSError, asyncio.CancelledError):
            self.counts['ended'] += 1
        finally:
            writer.close()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sender: _Sender,
    ) -> None:
        address = parse_address(self.link.forward)
        up_reader, up_writer = await asyncio.open_connection(*address)
        directions = [
            asyncio.ensure_future(self._pump(reader, up_writer, sender)),
            asyncio.ensure_future(self._pump(up_reader, writer, sender)),
        ]
        try:
            await asyncio.wait(
                directions,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            up_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sender: _Sender,
    ) -> None:
        """Copy one direction with delays until the source closes."""
        blocks: asyncio.Queue[_Block | None] = asyncio.Queue(_MAX_BLOCKS)
        sending = asyncio.ensure_future(self._send(blocks, writer, sender))
        loop = asyncio.get_running_loop()
        try:
            while block := await reader.read(_BLOCK_BYTES):
                delay_s = self._network.delay(self.link, sender.domain)
                if self._network.draw(self.link.loss):
                    delay_s += TCP_RETRANSMIT_S
                await blocks.put((loop.time() + delay_s, block))
            await blocks.put(None)
            await sending
        finally:
            sending.cancel()
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await sending

    async def _send(
        self,
        blocks: 'asyncio.Queue[_Block | None]',
        writer: asyncio.StreamWriter,
        sender: _Sender,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            entry = await blocks.get()
            if entry is None:
                return
            due_at, block = entry
            await asyncio.sleep(max(0, due_at - loop.time()))
            await self._wait_while_cut(sender)
            self.counts['bytes'] += len(block)
            writer.write(block)
            await writer.drain()

    async def _wait_while_cut(self, sender: _Sender) -> None:
        """Wait while traffic of the sender's domain is cut on this link.

        The search for the sender takes tens of milliseconds, so it is
        deferred until a pair of failure domains is cut.
        """
        network = self._network
        if network.cuts() and not sender.searched:
            sender.searched = True
            if sender.domain == ANY_DOMAIN:
                sender.domain = await network.senders.find(sender.peer)
        while network.is_cut(self.link, sender.domain):
            await asyncio.sleep(POLL_INTERVAL_S)
