"""Command line, HTTP endpoint and servers of the target stand-in."""

import asyncio
from collections import deque
from typing import Any

import typer
from aiohttp import web
from grpclib.server import Server

from trefoilhaven_bench.processes import (
    SettingsOption,
    open_datagram_socket,
    parse_address,
    read_settings,
    run_process,
    serve_http,
)
from trefoilhaven_bench.records import replace_fields
from trefoilhaven_bench.target.behaviour import TargetSettings
from trefoilhaven_bench.target.flows import FlowServer
from trefoilhaven_bench.target.work import WorkServer

# Load samples kept for the lag of ``/load``: one minute at ten a second.
_MAX_SAMPLES = 600
_SAMPLE_INTERVAL_S = 0.1


class Target:
    """A target's flow server, work server and HTTP endpoint."""

    def __init__(self, cfg: TargetSettings) -> None:
        """Create the servers without opening sockets."""
        self.flows = FlowServer(cfg.service, cfg.name)
        self.work = WorkServer(cfg)
        self._cfg = cfg
        self._samples: deque[tuple[float, int, int]] = deque(
            maxlen=_MAX_SAMPLES,
        )

    async def run(self, stopped: asyncio.Event) -> None:
        """Serve until the event is set."""
        cfg = self._cfg
        flow = await open_datagram_socket(self.flows, parse_address(cfg.flow))
        server = Server([self.work])
        await server.start(*parse_address(cfg.rpc))
        runner = await serve_http(self._routes(), parse_address(cfg.control))
        sampler = asyncio.create_task(self._sample())
        await stopped.wait()
        sampler.cancel()
        flow.close()
        server.close()
        await runner.cleanup()

    def _routes(self) -> list[web.RouteDef]:
        return [
            web.get('/health', self._answer_health),
            web.get('/load', self._answer_load),
            web.get('/ran', self._answer_ran),
            web.get('/flows', self._answer_flows),
            web.post('/behaviour', self._set_behaviour),
        ]

    async def _sample(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._samples.append(
                (loop.time(), self.work.busy, self.work.queued),
            )
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    async def _answer_health(self, request: web.Request) -> web.Response:
        behaviour = self.work.behaviour
        return web.json_response(
            {'healthy': behaviour.healthy, 'draining': behaviour.draining},
        )

    async def _answer_load(self, request: web.Request) -> web.Response:
        behaviour = self.work.behaviour
        shown_at = asyncio.get_running_loop().time() - behaviour.load_lag_s
        busy, queued = self.work.busy, self.work.queued
        if behaviour.load_lag_s:
            busy, queued = next(
                (
                    (busy_then, queued_then)
                    for at, busy_then, queued_then in reversed(self._samples)
                    if at <= shown_at
                ),
                (0, 0),
            )
        return web.json_response(
            {
                'slots': self._cfg.slots,
                'busy': busy * behaviour.load_factor,
                'queued': queued * behaviour.load_factor,
            },
        )

    async def _answer_ran(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                'service': self._cfg.service,
                'target': self._cfg.name,
                'counts': self.work.counts,
                'ran': {
                    key: [start._asdict() for start in starts]
                    for key, starts in self.work.ran.items()
                },
            },
        )

    async def _answer_flows(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                'service': self._cfg.service,
                'target': self._cfg.name,
                'counts': self.flows.counts,
                'started': self.flows.started,
            },
        )

    async def _set_behaviour(self, request: web.Request) -> web.Response:
        changes: dict[str, Any] = await request.json()
        self.work.behaviour = replace_fields(self.work.behaviour, changes)
        return web.json_response(self.work.behaviour._asdict())


def main(settings: SettingsOption) -> None:
    """Serve flows and requests until SIGTERM."""
    cfg = read_settings(settings, TargetSettings)

    async def serve(stopped: asyncio.Event) -> None:
        await Target(cfg).run(stopped)

    run_process(serve)


if __name__ == '__main__':
    typer.run(main)
