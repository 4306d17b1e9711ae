"""Command line and HTTP control of the fault-injecting proxy."""

import asyncio
import logging
from typing import Any

import typer
from aiohttp import web

from trefoilhaven_bench.fault_proxy.datagrams import DatagramLink
from trefoilhaven_bench.fault_proxy.links import (
    Link,
    Network,
    ProxySettings,
)
from trefoilhaven_bench.fault_proxy.streams import StreamLink
from trefoilhaven_bench.processes import (
    SettingsOption,
    parse_address,
    read_settings,
    run_process,
    serve_http,
)
from trefoilhaven_bench.records import record_from

logger = logging.getLogger(__name__)


class FaultProxy:
    """All links of a proxy process and their control endpoint.

    ``PUT /links/NAME`` changes fields of a link, or adds a link when the
    body has all required fields. ``PUT /domains/A/B`` with ``{"cut": true}``
    cuts the traffic between two failure domains; ``*`` in place of one means
    all others.
    """

    def __init__(self, cfg: ProxySettings) -> None:
        """Create the proxy without opening sockets."""
        self.network = Network(cfg)
        self._cfg = cfg
        self._listeners: dict[str, DatagramLink | StreamLink] = {}

    async def start(self) -> web.AppRunner:
        """Open all links and the control endpoint."""
        for link in self._cfg.links:
            await self._open(link)
        routes = [
            web.get('/links', self._list_links),
            web.put('/links/{name}', self._change_link),
            web.put('/domains/{one}/{other}', self._change_pair),
        ]
        return await serve_http(routes, parse_address(self._cfg.control))

    def close(self) -> None:
        """Close the sockets of all links."""
        for listener in self._listeners.values():
            listener.close()

    async def _open(self, link: Link) -> None:
        is_udp = link.protocol == 'udp'
        listener = (DatagramLink if is_udp else StreamLink)(
            link.name,
            self.network,
        )
        self._listeners[link.name] = listener
        await listener.start()

    async def _list_links(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                name: {
                    **self.network.links[name]._asdict(),
                    'counts': listener.counts,
                }
                for name, listener in self._listeners.items()
            },
        )

    async def _change_link(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        changes: dict[str, Any] = await request.json()
        present = self.network.links.get(name)
        values = present._asdict() if present else {'name': name}
        link = record_from(Link, {**values, **changes})
        self.network.replace_link(link)
        if present is None:
            await self._open(link)
        logger.info('link set: %s', link)
        return web.json_response(link._asdict())

    async def _change_pair(self, request: web.Request) -> web.Response:
        body: dict[str, Any] = await request.json()
        self.network.set_cut(
            request.match_info['one'],
            request.match_info['other'],
            cut=bool(body['cut']),
        )
        logger.info('pairs of failure domains cut: %s', self.network.cuts())
        return web.json_response({'cuts': self.network.cuts()})


def main(settings: SettingsOption) -> None:
    """Serve the links until SIGTERM."""
    cfg = read_settings(settings, ProxySettings)

    async def serve(stopped: asyncio.Event) -> None:
        proxy = FaultProxy(cfg)
        runner = await proxy.start()
        await stopped.wait()
        proxy.close()
        await runner.cleanup()

    run_process(serve)


if __name__ == '__main__':
    typer.run(main)
