"""Metrics endpoint without aiohttp, for processes that start quickly."""

import asyncio

from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.telemetry.metrics import Metrics
from trefoilhaven_core.wire.http import HttpRequest, HttpResponse, serve_http

_METRICS_PATH = '/metrics'
_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
_OK = 200
_NOT_FOUND = 404


async def serve_metrics(address: Address, metrics: Metrics) -> asyncio.Server:
    """Serve ``/metrics``; raise ``OSError`` when the address is in use."""

    async def answer(req: HttpRequest) -> HttpResponse:
        if req.target != _METRICS_PATH:
            return HttpResponse(_NOT_FOUND)
        return HttpResponse(_OK, metrics.export(), _CONTENT_TYPE)

    return await serve_http(address, answer)
