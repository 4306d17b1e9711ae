"""UDP links of the fault proxy, with an upstream socket per client."""

import asyncio
from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import Any

from trefoilhaven_bench.fault_proxy.links import Link, Network
from trefoilhaven_bench.processes import open_datagram_socket, parse_address
from trefoilhaven_bench.settings import PROXY_MAX_CLIENTS

# Datagrams queued for a client until its upstream socket is open.
_MAX_QUEUED_DATAGRAMS = 256


class DatagramLink(asyncio.DatagramProtocol):
    """A UDP link; forwards datagrams in both directions with its faults."""

    def __init__(self, name: str, network: Network) -> None:
        """Create the link without opening sockets."""
        self.counts: Counter[str] = Counter()
        self._name = name
        self._network = network
        self._transport: asyncio.DatagramTransport | None = None
        self._clients: OrderedDict[tuple[str, int], _Upstream] = OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def link(self) -> Link:
        """Current settings of the link."""
        return self._network.links[self._name]

    async def start(self) -> None:
        """Open the listening socket."""
        await open_datagram_socket(self, parse_address(self.link.listen))

    def close(self) -> None:
        """Close the listening socket and all upstream sockets."""
        for upstream in self._clients.values():
            upstream.close()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Keep the socket for answers."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a client's datagram upstream with the link's faults."""
        upstream = self._clients.get(addr)
        if upstream is None:
            upstream = self._add_client(addr)
        self._clients.move_to_end(addr)
        self.send_with_faults(addr, lambda: upstream.send(data))

    def answer(self, data: bytes, client: tuple[str, int]) -> None:
        """Send an upstream datagram to the client with the link's faults."""
        transport = self._transport
        if transport is not None:
            self.send_with_faults(
                client,
                lambda: transport.sendto(data, client),
            )

    def send_with_faults(
        self,
        client: tuple[str, int],
        send: Callable[[], None],
    ) -> None:
        """Call ``send`` for each copy that the faults leave, after a delay.

        A cut or a loss drops the datagram and a duplication sends it twice.
        Reordering doubles the delay of a copy, with 1 ms added at least.
        """
        network, link = self._network, self.link
        source = network.source_domain(link, client[0])
        if network.is_cut(link, source):
            self.counts['cut'] += 1
            return
        if network.draw(link.loss):
            self.counts['lost'] += 1
            return
        copies = 2 if network.draw(link.duplication) else 1
        self.counts['passed'] += copies
        for _ in range(copies):
            delay_s = network.delay(link, source)
            if network.draw(link.reordering):
                delay_s += max(delay_s, 0.001)
            if delay_s > 0:
                asyncio.get_running_loop().call_later(delay_s, send)
            else:
                send()

    def _add_client(self, client: tuple[str, int]) -> '_Upstream':
        upstream = _Upstream(self, client)
        self._clients[client] = upstream
        if len(self._clients) > PROXY_MAX_CLIENTS:
            self._clients.popitem(last=False)[1].close()
        task = asyncio.create_task(self._connect(upstream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return upstream

    async def _connect(self, upstream: '_Upstream') -> None:
        await open_datagram_socket(
            upstream,
            remote=parse_address(self.link.forward),
        )


class _Upstream(asyncio.DatagramProtocol):
    """Upstream socket of one client."""

    def __init__(self, owner: DatagramLink, client: tuple[str, int]) -> None:
        self._owner = owner
        self._client = client
        self._transport: asyncio.DatagramTransport | None = None
        self._queued: list[bytes] = []
        self._closed = False

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        for raw in self._queued:
            transport.sendto(raw)
        self._queued.clear()
        if self._closed:
            transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._owner.answer(data, self._client)

    def send(self, raw: bytes) -> None:
        if self._transport is not None:
            self._transport.sendto(raw)
        elif len(self._queued) < _MAX_QUEUED_DATAGRAMS:
            self._queued.append(raw)

    def close(self) -> None:
        self._closed = True
        if self._transport is not None:
            self._transport.close()
