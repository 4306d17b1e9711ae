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
    changes, waits = _run_changes(client)
    return [each.version for each in changes], waits


def _run_changes(client: _Client) -> tuple[list[ObjectChange], list[float]]:
    changes: list[ObjectChange] = []
    waits: list[float] = []

    async def sleep(wait_s: float) -> None:
        waits.append(wait_s)

    watcher = Watcher(client, 's/', changes.append, Random(3), sleep)
    try:
        asyncio.run(watcher.run())
    except _ScriptEndedError:
        return changes, waits
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

    def test_new_era(self) -> None:
        """Guards against changes of a new era without those before them.

        The store has given the watched revision out again, so that the watch
        starts in the middle of the new era's changes.
        """
        change = ObjectChange('s/b', 7, None, deleted=False, revision=7)
        client = _Client(
            Ok(Listing(5, (PlatformObject('s/a', 1, None),), 1)),
            Ok(Changes(7, (change,), 2)),
            Ok(Listing(7, (PlatformObject('s/b', 7, None),), 2)),
            Ok(Changes(7, (), 2)),
        )
        changes, waits = _run_changes(client)
        assert [(each.path, each.deleted) for each in changes] == [
            ('s/a', False),
            ('s/b', False),
            ('s/a', True),
        ]
        assert client.calls[2:] == ['list', 'watch after 7']
        assert not waits

    def test_history_gone(self) -> None:
        """Guards against a watch that asks for a lost revision for ever."""
        client = _Client(
            Ok(Listing(5, ())),
            Error(errors.HistoryGone('s/')),
            Ok(Listing(3, ())),
            Ok(Changes(4, ())),
        )
        _, waits = _run_changes(client)
        assert client.calls[1:] == ['watch after 5', 'list', 'watch after 3']
        assert len(waits) == 1
        assert waits[0] <= 0.1

    def test_repeated_gone(self) -> None:
        """Guards against a loop of lists when each watch is refused."""
        answers: list[Any] = []
        for _ in range(6):
            answers.append(Ok(Listing(5, ())))
            answers.append(Error(errors.HistoryGone('s/')))
        _, waits = _run_changes(_Client(*answers))
        assert waits[-1] > 8 * waits[0]

    def test_deletion_during_outage(self) -> None:
        """Guards against an object that seems to exist for ever.

        A deletion that a watch has reported is not reported again.
        """
        gone = ObjectChange('s/c', 4, None, deleted=True, revision=6)
        objects = tuple(
            PlatformObject(f's/{name}', 3, None) for name in ('a', 'b', 'c')
        )
        client = _Client(
            Ok(Listing(5, objects)),
            Ok(Changes(6, (gone,))),
            Error(DOWN),
            Ok(Listing(9, objects[:1])),
            Error(DOWN),
            Ok(Listing(9, objects[:1])),
        )
        changes, _ = _run_changes(client)
        deleted = [each for each in changes if each.deleted]
        lost = ObjectChange('s/b', 3, None, deleted=True, revision=9)
        assert deleted == [gone, lost]
