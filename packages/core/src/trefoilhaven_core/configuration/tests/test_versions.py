"""Tests of the configuration store, service files and lock files."""

import itertools
import json
from pathlib import Path
from typing import Any

import pytest

from trefoilhaven_core.configuration.files import read_service_files
from trefoilhaven_core.configuration.locks import (
    lock_path,
    read_lock,
    record_version,
)
from trefoilhaven_core.configuration.versions import ConfigurationStore
from trefoilhaven_core.membership.messages import Address

_ADDRESS = Address('127.1.0.1', 7000)


def _file(service: str, **changes: Any) -> dict[str, Any]:
    content = {
        'service': service,
        'address': '127.1.0.1:7000',
        'operator': 'lin',
    }
    return content | changes


def _content(service: str, since: float = 0, **changes: Any) -> dict[str, Any]:
    return {'file': _file(service, **changes), 'address_since': since}


class TestStore:
    """Version order and addresses."""

    def test_higher_version_only(self) -> None:
        """Guards against a late notice that reverts the configuration."""
        store = ConfigurationStore()
        assert store.offer('desk', 3, _content('desk', warm_up_s=3))
        assert not store.offer('desk', 2, _content('desk', warm_up_s=2))
        assert not store.offer('desk', 3, _content('desk', warm_up_s=9))
        held = store.get('desk')
        assert held is not None
        assert held.warm_up_s == 3
        assert store.versions() == {'desk': 3}

    @pytest.mark.parametrize(
        'content',
        [None, {}, {'file': b'\x00'}, _content('other'), {'file': {'a': 1}}],
    )
    def test_faulty_version_keeps_the_old_one(self, content: Any) -> None:
        """Guards against an invalid version that removes a configuration."""
        store = ConfigurationStore()
        store.offer('desk', 1, _content('desk'))
        assert not store.offer('desk', 2, content)
        assert store.version('desk') == 1
        assert store.findings['desk']

    def test_contested_address(self) -> None:
        """Guards against processes that route one address differently."""
        versions = [
            ('press', 1, _content('press', since=20)),
            ('desk', 1, _content('desk', since=10)),
            ('art', 1, _content('art', since=10)),
        ]
        for order in itertools.permutations(versions):
            store = ConfigurationStore()
            for service, version, content in order:
                store.offer(service, version, content)
            holder = store.by_address(_ADDRESS)
            assert holder is not None
            assert holder.service == 'art'

    def test_moved_address(self) -> None:
        """Guards against an address that still leads to its old service."""
        store = ConfigurationStore()
        store.offer('desk', 1, _content('desk'))
        store.offer('desk', 2, _content('desk', address='127.1.0.9:7000'))
        assert store.by_address(_ADDRESS) is None


class TestFiles:
    """Service files and lock files."""

    def test_duplicates_between_files(self, tmp_path: Path) -> None:
        """Guards against two services of one batch on one address."""
        for name in ('desk', 'press'):
            path = tmp_path / name / 'service.json'
            path.parent.mkdir()
            path.write_text(json.dumps(_file(name), indent=1))
        findings = read_service_files([tmp_path]).error
        assert [finding.path for finding in findings] == ['$.address']
        assert 'already the address in' in findings[0].message
        assert findings[0].line == 3

    def test_findings_of_all_files(self, tmp_path: Path) -> None:
        """Guards against a check that stops at the first faulty file."""
        for name in ('a', 'b'):
            (tmp_path / f'{name}.service.json').write_text('{}')
        (tmp_path / 'empty').mkdir()
        paths = [tmp_path, tmp_path / 'empty', tmp_path / 'absent.json']
        findings = read_service_files(paths).error
        assert len({finding.file for finding in findings}) == 4

    def test_lock(self, tmp_path: Path) -> None:
        """Guards against a lock file that forgets other services."""
        path = lock_path(tmp_path / 'service.json')
        assert read_lock(path).ok == {}
        record_version(path, 'desk', 3)
        record_version(path, 'press', 1)
        assert read_lock(path).ok == {'desk': 3, 'press': 1}

    @pytest.mark.parametrize('text', ['[]', '{"services": {"a": 0}}', '{'])
    def test_faulty_lock(self, tmp_path: Path, text: str) -> None:
        """Guards against a damaged lock file taken as a new service."""
        path = tmp_path / 'trefoilhaven.lock.json'
        path.write_text(text)
        assert read_lock(path).is_error()
        assert record_version(path, 'desk', 1)
        assert path.read_text() == text
