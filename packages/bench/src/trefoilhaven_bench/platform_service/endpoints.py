"""HTTP endpoints and injected faults of the platform stand-in."""

import asyncio
import logging
import math
from collections import Counter
from typing import Any, NamedTuple

import msgspec
from aiohttp import web

from trefoilhaven_bench import settings as defaults
from trefoilhaven_bench.platform_service.store import (
    Conflict,
    ObjectStore,
    StoredObject,
    TokenBucket,
)
from trefoilhaven_bench.processes import (
    Handler,
    parse_address,
    serve_http,
)
from trefoilhaven_bench.records import replace_fields

logger = logging.getLogger(__name__)

# Paths that control the stand-in itself, exempt from faults and rate limits.
_CONTROL_PATHS = frozenset(('/faults', '/calls', '/health'))


class PlatformSettings(NamedTuple):
    """Settings of the platform stand-in; rates are in calls per second."""

    address: str
    writes_per_s: float = defaults.PLATFORM_WRITES_PER_S
    reads_per_s: float = defaults.PLATFORM_READS_PER_S


class Faults(NamedTuple):
    """Active faults.

    ``slow`` delays each call by that many seconds. ``lose_write_answers`` is
    the number of further writes that take effect without an answer.
    """

    down: bool = False
    slow: float = 0
    lose_write_answers: int = 0


class PlatformService:
    """HTTP API of the object store."""

    def __init__(self, cfg: PlatformSettings) -> None:
        """Create an empty platform; requires a running event loop."""
        now = asyncio.get_running_loop().time()
        self.store = ObjectStore()
        self.calls: Counter[str] = Counter()
        self.faults = Faults()
        self._cfg = cfg
        self._writes = TokenBucket(cfg.writes_per_s, now)
        self._reads = TokenBucket(cfg.reads_per_s, now)
        self._changed = asyncio.Event()
        self._watch_cut = asyncio.Event()

    async def start(self) -> web.AppRunner:
        """Open the HTTP endpoint."""
        routes = [
            web.get('/objects', self._list),
            web.get('/objects/{path:.+}', self._get),
            web.put('/objects/{path:.+}', self._put),
            web.delete('/objects/{path:.+}', self._delete),
            web.get('/watch', self._watch),
            web.post('/faults', self._set_faults),
            web.get('/calls', self._answer_calls),
        ]
        return await serve_http(
            routes,
            parse_address(self._cfg.address),
            middlewares=[self._apply_faults],
            client_max_size=4 * defaults.MAX_OBJECT_BYTES,
        )

    @web.middleware
    async def _apply_faults(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Count a call, then apply the faults and the rate limits."""
        if request.path in _CONTROL_PATHS:
            return await handler(request)
        kind = 'read' if request.method == 'GET' else 'write'
        self.calls[kind] += 1
        if request.path == '/watch':
            self.calls['watch'] += 1
        if self.faults.slow:
            await asyncio.sleep(self.faults.slow)
        if self.faults.down:
            self.calls['unavailable'] += 1
            return web.json_response({'error': 'unavailable'}, status=503)
        bucket = self._reads if kind == 'read' else self._writes
        wait_s = bucket.take(asyncio.get_running_loop().time())
        if wait_s:
            self.calls['limited'] += 1
            return web.json_response(
                {'error': 'rate limit', 'retry_after_s': wait_s},
                status=429,
                headers={'Retry-After': str(math.ceil(wait_s))},
            )
        return await handler(request)

    async def _list(self, request: web.Request) -> web.Response:
        found = self.store.below(request.query.get('prefix', ''))
        return web.json_response(
            {
                'revision': self.store.revision,
                'objects': [_describe(stored) for stored in found],
            },
        )

    async def _get(self, request: web.Request) -> web.Response:
        found = self.store.get(request.match_info['path'])
        if found is None:
            return web.json_response({'error': 'absent'}, status=404)
        return web.json_response(_describe(found))

    async def _put(self, request: web.Request) -> web.StreamResponse:
        path = request.match_info['path']
        body = await request.json()
        size = len(msgspec.json.encode(body['content']))
        if size > defaults.MAX_OBJECT_BYTES:
            return web.json_response({'error': 'too large'}, status=413)
        outcome = self.store.write(
            path,
            body['content'],
            int(body['expected_version']),
        )
        if outcome.is_error():
            return _answer_conflict(outcome.error)
        return self._answer_write(request, outcome.ok)

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        outcome = self.store.delete(
            request.match_info['path'],
            int(request.query['expected_version']),
        )
        if outcome.is_error():
            return _answer_conflict(outcome.error)
        return self._answer_write(request, outcome.ok)

    def _answer_write(
        self,
        request: web.Request,
        stored: StoredObject,
    ) -> web.Response:
        self._changed.set()
        self._changed = asyncio.Event()
        if self.faults.lose_write_answers:
            left = self.faults.lose_write_answers - 1
            self.faults = self.faults._replace(lose_write_answers=left)
            self.calls['lost_answers'] += 1
            _cut_connection(request)
        return web.json_response({'version': stored.version})

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query.get('prefix', '')
        after = int(request.query.get('after', '0'))
        loop = asyncio.get_running_loop()
        timeout_s = min(
            float(request.query.get('timeout', '30')),
            defaults.MAX_WATCH_TIMEOUT_S,
        )
        ends_at = loop.time() + timeout_s
        cut = self._watch_cut
        found = self.store.changed(prefix, after)
        while not found and loop.time() < ends_at:
            await _wait_any((self._changed, cut), ends_at - loop.time())
            if cut.is_set():
                _cut_connection(request)
                break
            found = self.store.changed(prefix, after)
        return web.json_response(
            {
                'revision': self.store.revision,
                'objects': [_describe_change(stored) for stored in found],
            },
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        body: dict[str, Any] = await request.json()
        cut_watches = body.pop('cut_watches', False)
        self.faults = replace_fields(self.faults, body)
        if cut_watches or self.faults.down:
            self._watch_cut.set()
            self._watch_cut = asyncio.Event()
        logger.info('faults set: %s', self.faults)
        return web.json_response(self.faults._asdict())

    async def _answer_calls(self, request: web.Request) -> web.Response:
        return web.json_response(
            {**self.calls, 'revision': self.store.revision},
        )


def _describe(stored: StoredObject) -> dict[str, Any]:
    return {
        'path': stored.path,
        'version': stored.version,
        'content': stored.content,
    }


def _describe_change(stored: StoredObject) -> dict[str, Any]:
    return stored._asdict()


def _answer_conflict(conflict: Conflict) -> web.Response:
    return web.json_response(conflict._asdict(), status=409)


def _cut_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


async def _wait_any(
    events: tuple[asyncio.Event, ...],
    timeout_s: float,
) -> None:
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(
        waits,
        timeout=timeout_s,
        return_when=asyncio.FIRST_COMPLETED,
    )
    for wait in waits:
        wait.cancel()
