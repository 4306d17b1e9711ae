"""Tests of the platform stand-in."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import ClientSession

from trefoilhaven_bench.platform_service.endpoints import (
    PlatformService,
    PlatformSettings,
)
from trefoilhaven_bench.platform_service.store import TokenBucket
from trefoilhaven_bench.tests.ports import free_addresses

_PATH = '/objects/services/certify'


@pytest.fixture
async def session() -> AsyncIterator[ClientSession]:
    """Client session of an empty platform."""
    address = free_addresses(1)[0]
    runner = await PlatformService(PlatformSettings(address)).start()
    async with ClientSession(f'http://{address}') as client:
        yield client
    await runner.cleanup()


async def _put(session: ClientSession, expected: int) -> tuple[int, Any]:
    body = {'content': {'slots': 3}, 'expected_version': expected}
    async with session.put(_PATH, json=body) as answer:
        return answer.status, await answer.json()


async def _watch(session: ClientSession) -> Any:
    query = {'prefix': 'services/', 'after': '1', 'timeout': '20'}
    async with session.get('/watch', params=query) as answer:
        return await answer.json()


async def _put_raw(session: ClientSession) -> bytes:
    """Send a write over a plain socket, since aiohttp retries a PUT."""
    async with session.get('/health') as health:
        url = health.url
    reader, writer = await asyncio.open_connection(url.host, url.port)
    body = b'{"content": {}, "expected_version": 0}'
    head = f'PUT {_PATH} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}'
    writer.write(b'%s\r\n\r\n%s' % (head.encode(), body))
    answer = await reader.read()
    writer.close()
    return answer


class TestPlatformService:
    """Versions, watches and faults of the object API."""

    async def test_conditional_writes(self, session: ClientSession) -> None:
        """Guards against a stale writer that overwrites a newer version."""
        assert await _put(session, 0) == (200, {'version': 1})
        conflict = {'version': 1, 'content': {'slots': 3}}
        assert await _put(session, 0) == (409, conflict)
        assert await _put(session, 1) == (200, {'version': 2})

    async def test_watch(self, session: ClientSession) -> None:
        """Guards against a watch that misses a write or a deletion."""
        await _put(session, 0)
        watch = asyncio.create_task(_watch(session))
        query = {'expected_version': '1'}
        async with session.delete(_PATH, params=query) as answer:
            assert answer.status == 200
        changed = (await watch)['objects']
        assert [found['deleted'] for found in changed] == [True]

    async def test_lost_answer(self, session: ClientSession) -> None:
        """Guards against a lost answer whose write was not applied."""
        await session.post('/faults', json={'lose_write_answers': 1})
        assert await _put_raw(session) == b''
        async with session.get(_PATH) as answer:
            assert (await answer.json())['version'] == 1

    async def test_down(self, session: ClientSession) -> None:
        """Guards against writes that are accepted during an outage."""
        await session.post('/faults', json={'down': True})
        assert (await _put(session, 0))[0] == 503
        await session.post('/faults', json={'down': False})
        assert (await _put(session, 0))[0] == 200


class TestTokenBucket:
    """Rate limit of the platform."""

    def test_rate(self) -> None:
        """Guards against more calls per second than the rate."""
        bucket = TokenBucket(300, 0)
        taken = [bucket.take(0) for _ in range(301)]
        assert taken[:300] == [0] * 300
        assert taken[300] > 0
        assert bucket.take(0.1) == 0
