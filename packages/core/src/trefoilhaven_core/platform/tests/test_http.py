"""Tests of the HTTP platform client."""

from collections.abc import AsyncIterator
from random import Random
from typing import Any, Final, NamedTuple

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from expression import Error, Ok, Result

from trefoilhaven_core.platform import errors
from trefoilhaven_core.platform.backoffs import Backoff
from trefoilhaven_core.platform.clients import ObjectChange, PlatformObject
from trefoilhaven_core.platform.errors import PlatformError
from trefoilhaven_core.platform.http import HttpPlatformClient

_PATH = 'services/certify'


class _Script:
    """Answers each request with the next scripted answer."""

    def __init__(self) -> None:
        self.answers: list[web.Response] = []
        self.requests: list[tuple[str, str, bytes]] = []

    async def handle(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        self.requests.append((request.method, request.path_qs, body))
        answer = self.answers.pop(0)
        if answer.status == _LOST:
            assert request.transport is not None
            request.transport.close()
        return answer

    def add(self, status: int, content: Any = None, **headers: str) -> None:
        named = {key.replace('_', '-'): each for key, each in headers.items()}
        self.answers.append(
            web.json_response(content, status=status, headers=named),
        )


# A status that makes the script close the connection without an answer.
_LOST: Final = 599


class _ScriptedClient(NamedTuple):
    """Scripted answers and a client that receives them."""

    script: _Script
    client: HttpPlatformClient


@pytest.fixture(name='scripted')
async def _scripted() -> AsyncIterator[_ScriptedClient]:
    script = _Script()
    app = web.Application()
    app.router.add_route('*', '/{tail:.*}', script.handle)
    async with TestServer(app) as server:
        url = f'http://127.0.0.1:{server.port}'
        client = HttpPlatformClient(url, Random(1), timeout_s=5)
        yield _ScriptedClient(script, client)
        await client.close()


class TestCalls:
    """Requests and answers of the protocol."""

    async def test_get(self, scripted: _ScriptedClient) -> None:
        """Guards against a read that does not match the protocol."""
        content = {'path': _PATH, 'version': 4, 'content': {'a': 1}}
        scripted.script.add(200, content)
        found = await scripted.client.get(_PATH)
        assert found == Ok(PlatformObject(_PATH, 4, {'a': 1}))
        assert scripted.script.requests[0][:2] == ('GET', f'/objects/{_PATH}')

    async def test_watch(self, scripted: _ScriptedClient) -> None:
        """Guards against a deletion that is taken as a write."""
        change = ObjectChange(_PATH, 2, None, deleted=True, revision=9)
        scripted.script.add(200, {'revision': 9, 'objects': [change._asdict()]})
        changes = (await scripted.client.watch('services/', 8, 0.5)).ok
        assert changes.objects == (change,)
        query = '/watch?prefix=services/&after=8&timeout=0.5'
        assert scripted.script.requests[0][1] == query

    async def test_conflict(self, scripted: _ScriptedClient) -> None:
        """Guards against a conflict without the other side's content."""
        scripted.script.add(409, {'version': 7, 'content': 'theirs'})
        outcome = await scripted.client.put(_PATH, 'ours', 6)
        assert outcome == Error(errors.Conflict(_PATH, 7, 'theirs'))

    async def test_missing_object(self, scripted: _ScriptedClient) -> None:
        """Guards against a 404 that is taken as an outage."""
        scripted.script.add(404)
        assert await scripted.client.get(_PATH) == Error(errors.NotFound(_PATH))

    async def test_large_content_is_not_sent(
        self, scripted: _ScriptedClient
    ) -> None:
        """Guards against a call that the platform is sure to refuse."""
        outcome = await scripted.client.put(_PATH, 'a' * 1_000_001, 0)
        assert isinstance(outcome.error, errors.TooLarge)
        assert not scripted.script.requests


def _may_be_applied(outcome: Result[Any, PlatformError]) -> bool:
    error = outcome.error
    return isinstance(error, errors.Unavailable) and error.maybe_applied


class TestRetries:
    """Calls that are retried, and calls that must not be."""

    async def test_read_after_outage(self, scripted: _ScriptedClient) -> None:
        """Guards against a read that gives up at the first failure."""
        scripted.script.add(503)
        scripted.script.add(200, {'revision': 3, 'objects': []})
        assert (await scripted.client.list('services/')).ok.revision == 3

    async def test_limited_write_is_retried(
        self, scripted: _ScriptedClient
    ) -> None:
        """Guards against a write that fails during a short overload."""
        scripted.script.add(429, Retry_After='0')
        scripted.script.add(200, {'version': 1})
        assert await scripted.client.put(_PATH, {}, 0) == Ok(1)

    async def test_limit_persists(self, scripted: _ScriptedClient) -> None:
        """Guards against endless retries while the platform limits the rate."""
        for _ in range(3):
            scripted.script.add(429, Retry_After='0')
        outcome = await scripted.client.put(_PATH, {}, 0)
        assert outcome == Error(errors.RateLimited(0))

    async def test_long_limit_is_not_awaited(
        self, scripted: _ScriptedClient
    ) -> None:
        """Guards against a retry before the time the platform asked for."""
        scripted.script.add(429, Retry_After='30')
        outcome = await scripted.client.get(_PATH)
        assert outcome == Error(errors.RateLimited(30))

    @pytest.mark.parametrize('status', [503, _LOST])
    async def test_uncertain_write_is_not_retried(
        self,
        scripted: _ScriptedClient,
        status: int,
    ) -> None:
        """Guards against a second write after a lost answer."""
        scripted.script.add(status)
        outcome = await scripted.client.put(_PATH, {}, 0)
        assert _may_be_applied(outcome)
        assert len(scripted.script.requests) == 1

    async def test_malformed_answer(self, scripted: _ScriptedClient) -> None:
        """Guards against an unreadable answer taken as a failed write."""
        scripted.script.add(200, {'revision': 1})
        assert _may_be_applied(await scripted.client.put(_PATH, {}, 0))

    async def test_refused_connection(self) -> None:
        """Guards against an unknown outcome of a write that was never sent."""
        client = HttpPlatformClient('http://127.0.0.1:1', Random(1))
        outcome = await client.put(_PATH, {}, 0)
        assert outcome.is_error()
        assert not _may_be_applied(outcome)
        await client.close()


class TestBackoff:
    """Delays between attempts."""

    def test_grows_to_the_limit(self) -> None:
        """Guards against synchronized retries and against unbounded delays."""
        backoff = Backoff(Random(7), first_s=1, limit_s=4)
        waits = [backoff.next_s() for _ in range(4)]
        for wait, top in zip(waits, (1, 2, 4, 4), strict=True):
            assert top / 2 <= wait <= top
        assert backoff.next_s(at_least_s=9) == 9
