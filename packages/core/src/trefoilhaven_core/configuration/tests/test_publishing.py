"""Tests of publishing against a platform that fails on request."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from expression import Error, Ok, Result

from trefoilhaven_core.configuration.messages import object_path
from trefoilhaven_core.configuration.publishing import (
    PublishOutcome,
    PublishPlan,
    PublishReport,
    publish,
)
from trefoilhaven_core.platform import errors
from trefoilhaven_core.platform.clients import (
    Changes,
    Listing,
    PlatformClient,
    PlatformObject,
)
from trefoilhaven_core.platform.errors import PlatformError

_FILE = {'service': 'certify', 'address': '127.1.0.2:7000', 'operator': 'tin'}
_PATH = object_path('certify')
_LOST = errors.Unavailable(maybe_applied=True, reason='connection closed')

_Hook = Callable[['_Platform'], None]


class _Platform(PlatformClient):
    """Objects in memory; faults are taken from a list, one for each write.

    A fault is ``lost_after`` (applied, answer lost), ``lost_before`` (not
    applied, answer lost) or a function that runs before the write.
    """

    def __init__(self, *faults: str | _Hook) -> None:
        self.objects: dict[str, PlatformObject] = {}
        self.faults = list(faults)
        self.writes = 0
        self.is_down = False

    async def get(self, path: str) -> Result[PlatformObject, PlatformError]:
        if self.is_down:
            return Error(errors.Unavailable(False, 'down'))
        found = self.objects.get(path)
        return Ok(found) if found else Error(errors.NotFound(path))

    async def put(
        self,
        path: str,
        content: Any,
        expected_version: int,
    ) -> Result[int, PlatformError]:
        fault = self.faults.pop(0) if self.faults else ''
        if callable(fault):
            fault(self)
        if self.is_down or fault == 'lost_before':
            return Error(_LOST)
        outcome = self.apply(path, content, expected_version)
        return Error(_LOST) if fault == 'lost_after' else outcome

    def apply(
        self,
        path: str,
        content: Any,
        expected_version: int,
    ) -> Result[int, PlatformError]:
        current = self.objects.get(path, PlatformObject(path, 0, None))
        if current.version != expected_version:
            return Error(
                errors.Conflict(path, current.version, current.content),
            )
        self.writes += 1
        version = expected_version + 1
        self.objects[path] = PlatformObject(path, version, content)
        return Ok(version)

    async def delete(self, path: str, expected_version: int) -> Any:
        raise NotImplementedError

    async def list(self, prefix: str) -> Result[Listing, PlatformError]:
        raise NotImplementedError

    async def watch(
        self,
        prefix: str,
        after: int,
        timeout_s: float,
    ) -> Result[Changes, PlatformError]:
        raise NotImplementedError


def _plan(identity: str, base: int = 0, **changes: Any) -> PublishPlan:
    return PublishPlan(
        'certify',
        identity,
        f'publisher-{identity}',
        base,
        _FILE | changes,
        now=1000.0 + base,
    )


def _published_by_other(platform: _Platform) -> None:
    current = platform.objects.get(_PATH, PlatformObject(_PATH, 0, None))
    content = {
        'publish_id': 'other',
        'publisher': 'rival',
        'file': _FILE | {'warm_up_s': 9},
    }
    platform.apply(_PATH, content, current.version)


def _run(platform: _Platform, plan: PublishPlan) -> PublishReport:
    async def no_wait(_: float) -> None:
        """Return at once."""

    sleep: Callable[[float], Awaitable[None]] = no_wait
    return asyncio.run(publish(platform, plan, sleep))


class TestPublish:
    """Outcomes of one publication."""

    def test_publish_and_repeat(self) -> None:
        """Guards against a new version without any change."""
        platform = _Platform()
        report = _run(platform, _plan('a'))
        assert report[1:3] == (PublishOutcome.published, 1)
        report = _run(platform, _plan('b', base=1))
        assert report.outcome is PublishOutcome.unchanged
        assert platform.writes == 1

    def test_race_shows_both_sides(self) -> None:
        """Guards against two publishers who silently overwrite another."""
        platform = _Platform(_published_by_other)
        report = _run(platform, _plan('a', warm_up_s=7))
        assert report.outcome is PublishOutcome.conflict
        assert 'rival published version 1' in report.message
        assert '-  "warm_up_s": 9' in report.difference
        assert '+  "warm_up_s": 7' in report.difference

    def test_stale_file(self) -> None:
        """Guards against a file that was written for an older version."""
        platform = _Platform()
        _published_by_other(platform)
        report = _run(platform, _plan('a'))
        assert report.outcome is PublishOutcome.conflict
        assert platform.writes == 1

    def test_dry_run(self) -> None:
        """Guards against a dry run that writes."""
        platform = _Platform()
        report = _run(platform, _plan('a')._replace(dry_run=True))
        assert report.outcome is PublishOutcome.difference
        assert report.difference
        assert not platform.writes

    def test_address_since_is_kept(self) -> None:
        """Guards against an update that gives up the claim of an address."""
        platform = _Platform()
        _run(platform, _plan('a'))
        _run(platform, _plan('b', base=1, warm_up_s=7))
        assert platform.objects[_PATH].content['address_since'] == 1000
        _run(platform, _plan('c', base=2, address='127.1.0.9:7000'))
        assert platform.objects[_PATH].content['address_since'] == 1002


class TestLostAnswer:
    """Writes whose answer is lost."""

    @pytest.mark.parametrize('fault', ['lost_after', 'lost_before'])
    def test_read_back(self, fault: str) -> None:
        """Guards against a wrong report and against a second version."""
        platform = _Platform(fault)
        report = _run(platform, _plan('a'))
        assert report[1:3] == (PublishOutcome.published, 1)
        assert platform.writes == 1

    def test_other_publisher_won(self) -> None:
        """Guards against taking the other's version for the own one."""
        platform = _Platform('lost_before', _published_by_other)
        report = _run(platform, _plan('a'))
        assert report.outcome is PublishOutcome.conflict

    def test_overwritten(self) -> None:
        """Guards against a claim about a version that is gone."""
        platform = _Platform('lost_after')
        platform.get = _publish_before_read(  # type: ignore[method-assign]
            platform,
        )
        report = _run(platform, _plan('a'))
        assert report[1:3] == (PublishOutcome.unknown, 2)

    def test_platform_stays_down(self) -> None:
        """Guards against an endless read-back in a long outage."""
        platform = _Platform(_go_down)
        report = _run(platform, _plan('a'))
        assert report.outcome is PublishOutcome.unknown

    def test_down_from_the_start(self) -> None:
        """Guards against doubt about a write that was never sent."""
        platform = _Platform()
        platform.is_down = True
        report = _run(platform, _plan('a'))
        assert report.outcome is PublishOutcome.unreachable


def _go_down(platform: _Platform) -> None:
    platform.is_down = True


def _publish_before_read(platform: _Platform) -> Any:
    read = platform.get

    async def get(path: str) -> Result[PlatformObject, PlatformError]:
        if platform.writes == 1:
            _published_by_other(platform)
        return await read(path)

    return get
