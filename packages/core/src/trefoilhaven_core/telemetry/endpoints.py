"""Telemetry endpoint of a process: metrics, liveness and readiness."""

import logging
from collections.abc import Callable
from typing import Final

from aiohttp import web

from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.telemetry.metrics import Metrics

logger = logging.getLogger(__name__)
_CONTENT_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'


class TelemetryEndpoint:
    """Serves ``/metrics``, ``/live`` and ``/ready``.

    ``not_ready_reason`` returns why the process is not ready, or an empty
    string when it is.
    """

    def __init__(
        self,
        metrics: Metrics,
        not_ready_reason: Callable[[], str],
    ) -> None:
        self._metrics = metrics
        self._not_ready_reason = not_ready_reason
        self._runner: web.AppRunner | None = None

    async def start(self, address: Address) -> None:
        """Listen at an address; raise ``OSError`` when it is in use."""
        app = web.Application()
        app.router.add_get('/metrics', self._serve_metrics)
        app.router.add_get('/live', self._serve_live)
        app.router.add_get('/ready', self._serve_ready)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, address.host, address.port).start()
        logger.info('telemetry endpoint listens on %s:%d', *address)

    async def stop(self) -> None:
        """Close the endpoint and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _serve_metrics(self, _: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics.export(),
            headers={'Content-Type': _CONTENT_TYPE},
        )

    async def _serve_live(self, _: web.Request) -> web.Response:
        return web.Response(text='live\n')

    async def _serve_ready(self, _: web.Request) -> web.Response:
        reason = self._not_ready_reason()
        if reason:
            return web.Response(text=f'not ready: {reason}\n', status=503)
        return web.Response(text='ready\n')
