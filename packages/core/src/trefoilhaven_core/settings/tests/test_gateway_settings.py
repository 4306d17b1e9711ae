"""Tests of the settings of gateways."""

import json
from pathlib import Path
from typing import Any

import jsonschema  # type: ignore[import-untyped]
import pytest
from trefoilhaven_core.settings import loader, schemas

_GATEWAY = {
    'name': 'entry-1',
    'host': 'host-1',
    'failure_domain': 'tainan-a',
    'readiness': '127.0.1.1:9000',
    'control': '127.0.1.1:9001',
    'metrics': '127.0.1.1:9002',
    'platform': '127.0.0.1:8000',
    'segments': '127.0.1.1:9003',
}

_TYPES = {
    int: 'an integer',
    str: 'a string',
    type(None): 'null',
    list: 'a list',
    dict: 'an object',
}


def write(directory: Path, **changes: Any) -> Path:
    """Write a settings file and return its path."""
    path = directory / 'gateway.json'
    path.write_text(json.dumps(_GATEWAY | changes))
    return path


class TestEvacuations:
    """The setting that makes a gateway read evacuations."""

    def test_default(self, tmp_path: Path) -> None:
        """Guards against calls in deployments that do not ask for them."""
        loaded = loader.load_gateway_settings(write(tmp_path)).ok
        assert loaded.evacuations is False

    def test_on(self, tmp_path: Path) -> None:
        """Guards against a setting that is read and has no effect."""
        path = write(tmp_path, evacuations=True)
        assert loader.load_gateway_settings(path).ok.evacuations is True
        schema = json.loads(schemas.format_schema('gateway'))
        jsonschema.validate(json.loads(path.read_text()), schema)

    @pytest.mark.parametrize('raw', [1, 0, 'true', None, [], {}])
    def test_not_a_boolean(self, tmp_path: Path, raw: Any) -> None:
        """Guards against a value that only looks like a boolean."""
        path = write(tmp_path, evacuations=raw)
        findings = loader.load_gateway_settings(path).error
        assert [each.message for each in findings] == [
            f'expected a boolean, found {_TYPES[type(raw)]}'
        ]
