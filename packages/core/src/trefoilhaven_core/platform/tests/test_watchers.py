"""Tests of the watcher."""

import asyncio
from random import Random
from typing import Any

from expression import Error, Ok

from trefoilhaven_core.platform import errors
from trefoilhaven_core.platform.clients import (
    Changes,
    Listing,
    ObjectChange,
    PlatformObject,
)
from trefoilhaven_core.platform.tests.support import DOWN, MemoryPlatform
from trefoilhaven_core.platform.watchers import Watcher


class _ScriptEndedError(Exception):
    """The last scripted answer was given."""


class _Client(MemoryPlatform):
    """Gives scripted answers and records the calls."""

    def __init__(self, *answers: Any) -> None:
        super().__init__()
        self.answers = list(answers)
        self.calls: list[str] = []

    async def list(self, prefix: str, *, allow_stale: bool = False) -> Any:
        return self._answer('list')

    async def watch(self, prefix: str, after: int, timeout_s: float) -> Any:
        return self._answer(f'watch after {after}')

    def _answer(self, call: str) -> Any:
        if not self.answers:
            raise _ScriptEndedError
        self.calls.append(call)
        return self.answers.pop(0)


def _run(client: _Client) -> tuple[list[int], list[float]]:
    versions: list[int] = []
    waits: list[float] = []

    async def sleep(wait_s: float) -> None:
        waits.append(wait_s)

    def deliver(change: ObjectChange) -> None:
        versions.append(change.version)

    watcher = Watcher(client, 's/', deliver, Random(3), sleep)
    try:
        asyncio.run(watcher.run())
    except _ScriptEndedError:
        return versions, waits
    raise AssertionError('the watcher ended before its script')


class TestWatcher:
    """Calls before, during and after an outage."""

    def test_lists_again_after_a_failure(self) -> None:
        """Guards against changes that are missed during an outage."""
        change = ObjectChange('s/a', 2, None, deleted=False, revision=6)
        client = _Client(
            Ok(Listing(5, (PlatformObject('s/a', 1, None),))),
            Ok(Changes(6, (change,))),
            Ok(Changes(6, ())),
            Error(DOWN),
            Error(DOWN),
            Ok(Listing(9, (PlatformObject('s/a', 4, None),))),
        )
        versions, waits = _run(client)
        assert versions == [1, 2, 4]
        assert client.calls == [
            'list',
            'watch after 5',
            'watch after 6',
            'watch after 6',
            'list',
            'list',
        ]
        assert len(waits) == 2

    def test_rate_limit(self) -> None:
        """Guards against a retry before the time the platform asked for."""
        _, waits = _run(_Client(Error(errors.RateLimited(4))))
        assert waits == [4]
