"""Tests of publishing against a platform that fails on request."""

import asyncio
from typing import Any

import pytest
from expression import Result

from trefoilhaven_core.configuration.messages import object_path
from trefoilhaven_core.configuration.publishing import (
    PublishOutcome,
    PublishPlan,
    PublishReport,
    publish,
)
from trefoilhaven_core.platform.clients import PlatformObject
from trefoilhaven_core.platform.errors import PlatformError
from trefoilhaven_core.platform.tests.support import MemoryPlatform

_FILE = {'service': 'certify', 'address': '127.1.0.2:7000', 'operator': 'tin'}
_PATH = object_path('certify')


def _plan(identity: str, base: int = 0, **changes: Any) -> PublishPlan:
    return PublishPlan(
        'certify',
        identity,
        f'publisher-{identity}',
        base,
        _FILE | changes,
        now=1000.0 + base,
    )


def _published_by_other(platform: MemoryPlatform) -> None:
    current = platform.objects.get(_PATH, PlatformObject(_PATH, 0, None))
    content = {
        'publish_id': 'other',
        'publisher': 'rival',
        'base_version': current.version,
        'file': _FILE | {'warm_up_s': 9},
    }
    platform.apply(_PATH, content, current.version)
    # The platform numbers the versions of all objects in one sequence.
    written = platform.objects[_PATH]
    platform.objects[_PATH] = written._replace(version=written.version + 4)


class _Overwritten(MemoryPlatform):
    """Another publisher writes between a write and its read-back."""

    async def get(self, path: str) -> Result[PlatformObject, PlatformError]:
        if self.writes == 1:
            _published_by_other(self)
        return await super().get(path)


def _go_down(platform: MemoryPlatform) -> None:
    platform.is_down = True


def _run(platform: MemoryPlatform, plan: PublishPlan) -> PublishReport:
    async def skip_wait(_: float) -> None:
        await asyncio.sleep(0)

    return asyncio.run(publish(platform, plan, skip_wait))


class TestPublish:
    """Outcomes of one publication."""

    def test_publish_and_repeat(self) -> None:
        """Guards against a new version without any change."""
        platform = MemoryPlatform()
        report = _run(platform, _plan('a'))
        assert report[1:3] == (PublishOutcome.published, 1)
        report = _run(platform, _plan('b', base=1))
        assert report.outcome is PublishOutcome.unchanged
        assert platform.writes == 1

    def test_race_shows_both_sides(self) -> None:
        """Guards against a publisher that silently overwrites another."""
        platform = MemoryPlatform(_published_by_other)
        report = _run(platform, _plan('a', warm_up_s=7))
        assert report.outcome is PublishOutcome.conflict
        assert 'rival published version 5' in report.message
        assert '-  "warm_up_s": 9' in report.difference
        assert '+  "warm_up_s": 7' in report.difference

    def test_stale_file(self) -> None:
        """Guards against a file that was written for an older version."""
        platform = MemoryPlatform()
        _published_by_other(platform)
        report = _run(platform, _plan('a'))
        assert report.outcome is PublishOutcome.conflict
        assert platform.writes == 1

    def test_dry_run(self) -> None:
        """Guards against a dry run that writes."""
        platform = MemoryPlatform()
        report = _run(platform, _plan('a')._replace(dry_run=True))
        assert report.outcome is PublishOutcome.difference
        assert report.difference
        assert not platform.writes

    def test_address_since_is_kept(self) -> None:
        """Guards against an update that loses the priority for an address."""
        platform = MemoryPlatform()
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
        platform = MemoryPlatform(fault)
        report = _run(platform, _plan('a'))
        assert report[1:3] == (PublishOutcome.published, 1)
        assert platform.writes == 1

    def test_other_publisher_won(self) -> None:
        """Guards against taking another publisher's version for the own one."""
        platform = MemoryPlatform('lost_before', _published_by_other)
        report = _run(platform, _plan('a'))
        assert report.outcome is PublishOutcome.conflict

    def test_overwritten(self) -> None:
        """Guards against a false report about an overwritten version."""
        platform = _Overwritten('lost_after')
        report = _run(platform, _plan('a'))
        assert report[1:3] == (PublishOutcome.unknown, 6)

    def test_platform_stays_down(self) -> None:
        """Guards against an endless read-back in a long outage."""
        platform = MemoryPlatform(_go_down)
        report = _run(platform, _plan('a'))
        assert report.outcome is PublishOutcome.unknown

    def test_down_from_the_start(self) -> None:
        """Guards against an unknown outcome of a write that was never sent."""
        platform = MemoryPlatform()
        platform.is_down = True
        report = _run(platform, _plan('a'))
        assert report.outcome is PublishOutcome.unreachable
