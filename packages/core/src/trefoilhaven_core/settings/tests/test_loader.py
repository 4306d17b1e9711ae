"""Tests of the settings loader, its findings and the schemas."""

import json
from pathlib import Path
from typing import Any

import jsonschema  # type: ignore[import-untyped]
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.settings import loader, schemas
from trefoilhaven_core.settings.documents import parse_document
from trefoilhaven_core.settings.printing import format_settings
from trefoilhaven_core.settings.types import WarmUpLimits

_BALANCER = {
    'name': 'entry-1',
    'host': 'host-1',
    'failure_domain': 'tainan-a',
    'operator': 'lin',
    'flow': '127.0.1.1:9000',
    'control': '127.0.1.1:9001',
    'rpc': '127.0.1.1:9002',
    'metrics': '127.0.1.1:9003',
    'platform': 'http://127.0.0.1:8000',
    'seeds': [],
    'witnesses': ['entry-1', 'entry-2', 'entry-3'],
    'fabric': '127.0.0.1:6000',
}
_SIDECAR = {
    'name': 'server-1',
    'host': 'host-1',
    'failure_domain': 'tainan-a',
    'platform': '127.0.0.1:8000',
    'service': 'classroom-desk',
    **{
        key: '127.0.1.1:9000'
        for key in (
            'readiness',
            'control',
            'metrics',
            'segments',
            'announcements',
            'target',
            'fabric',
        )
    },
}
_GATEWAY = {
    'name': 'entry-1',
    'host': 'host-1',
    'failure_domain': 'tainan-a',
    'readiness': '127.0.1.1:9000',
    'control': '127.0.1.1:9001',
    'metrics': '127.0.1.1:9003',
    'platform': '127.0.0.1:8000',
    'segments': '127.0.1.1:9004',
}
_SERVICE = {
    'service': 'classroom-desk',
    'address': '127.1.0.1:7000',
    'operator': 'lin',
}


def _messages(text: str) -> list[str]:
    outcome = parse_document('b.json', text).bind(loader.read_balancer_settings)
    return [str(finding) for finding in outcome.error]


def _write(path: Path, content: Any) -> Path:
    path.write_text(json.dumps(content, indent=1))
    return path


class TestSettings:
    """Values, defaults and findings of settings files."""

    def test_defaults_and_addresses(self, tmp_path: Path) -> None:
        """Guards against a default that differs from the bound address."""
        path = _write(tmp_path / 'b.json', _BALANCER)
        loaded = loader.load_balancer_settings(path).ok
        assert loaded.advertise_rpc == Address('127.0.1.1', 9002)
        assert loaded.log_level == 'info'

    def test_printed_settings_load_again(self, tmp_path: Path) -> None:
        """Guards against --print-settings output that does not load."""
        path = _write(tmp_path / 'b.json', _BALANCER)
        loaded = loader.load_balancer_settings(path).ok
        path.write_text(format_settings(loaded))
        assert loader.load_balancer_settings(path).ok == loaded

    def test_all_findings_at_once(self) -> None:
        """Guards against a check that stops at the first error."""
        faulty = _BALANCER | {
            'seeds': [{'name': 'entry-2', 'control': 'localhost:1'}],
            'witneses': [],
            'log_level': 3,
        }
        faulty.pop('host')
        lines = _messages(json.dumps(faulty, indent=1))
        assert [line.split(': ')[1] for line in lines] == [
            '$.witneses',
            '$',
            '$.seeds[0]',
            '$.seeds[0].control',
            '$.seeds[0]',
            '$.log_level',
        ]
        assert 'did you mean "witnesses"?' in lines[0]

    def test_line_of_nested_value(self) -> None:
        """Guards against a finding with the wrong line number."""
        text = '{"name": "a",\n"seeds": [\n{},\n{"control": 5}]}'
        found = [line for line in _messages(text) if 'seeds[1].co' in line]
        assert found == [
            'b.json:4: $.seeds[1].control: expected a string, found an integer',
        ]

    @pytest.mark.parametrize(
        ('change', 'message'),
        [
            ({'flow': '127.0.0.1:70000'}, 'not an IPv4 address'),
            ({'witnesses': ['a', 'b']}, 'must be odd'),
            ({'witnesses': ['a', 'a', 'b']}, 'listed twice'),
            ({'control': '127.0.1.1:9000'}, 'the same address as "flow"'),
            ({'platform': 'ftp://127.0.0.1:1'}, 'is not http:// with'),
            ({'name': 'a b'}, 'a name has 1 to 63'),
        ],
    )
    def test_invalid_values(self, change: dict[str, Any], message: str) -> None:
        """Guards against invalid values that reach a process."""
        assert message in _messages(json.dumps(_BALANCER | change))[0]

    def test_duplicate_key(self) -> None:
        """Guards against a duplicate key that overrides the first."""
        assert _messages('{"name": "a",\n"name": "b"}') == [
            'b.json:2: $.name: the key occurs twice',
        ]

    @pytest.mark.parametrize(
        'text',
        ['', '{"a": NaN}', '[' * 100_000, '9' * 5_000, '{"a": 1e999}', '7'],
    )
    def test_hostile_text(self, text: str) -> None:
        """Guards against text that makes the parser raise."""
        assert _messages(text)

    def test_unreadable_file(self, tmp_path: Path) -> None:
        """Guards against an exception for a missing or binary file."""
        (tmp_path / 'binary').write_bytes(b'\xff\xfe')
        for name in ('absent', 'binary', '.'):
            outcome = loader.load_agent_settings(tmp_path / name)
            assert outcome.error[0].line == 0


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


# The same examples in each run. There is no deadline, since a busy machine
# would exceed it.
_repeatable = settings(derandomize=True, deadline=None)


class TestGateway:
    """Settings of a gateway."""

    def test_without_crossing_cost(self, tmp_path: Path) -> None:
        """Guards against an earlier deployment that is served otherwise."""
        path = _write(tmp_path / 'g.json', _GATEWAY)
        loaded = loader.load_gateway_settings(path).ok
        assert loaded.domain_crossing_cost_s is None

    def test_crossing_cost(self, tmp_path: Path) -> None:
        """Guards against a cost that is ignored, or below 0."""
        content = _GATEWAY | {'domain_crossing_cost_s': 0}
        path = _write(tmp_path / 'g.json', content)
        loaded = loader.load_gateway_settings(path).ok
        assert loaded.domain_crossing_cost_s == 0
        _write(path, _GATEWAY | {'domain_crossing_cost_s': -1})
        findings = loader.load_gateway_settings(path).error
        assert 'domain_crossing_cost_s' in str(findings[0])


class TestProperties:
    """The loader with generated content."""

    @_repeatable
    @given(key=st.sampled_from(sorted(_BALANCER)), raw=_JSON)
    def test_replaced_value(self, key: str, raw: Any) -> None:
        """Guards against a value that makes the loader raise."""
        text = json.dumps(_BALANCER | {key: raw})
        outcome = parse_document('b.json', text).bind(
            loader.read_balancer_settings,
        )
        assert outcome.is_ok() or outcome.error

    @_repeatable
    @given(raw=_JSON)
    def test_any_document(self, raw: Any) -> None:
        """Guards against a document that makes a reader raise."""
        document = parse_document('b.json', json.dumps(raw))
        assert document.bind(loader.read_agent_settings).is_error()
        assert document.bind(loader.read_service).is_error()

    @_repeatable
    @given(text=st.text())
    def test_any_text(self, text: str) -> None:
        """Guards against text that makes the parser raise."""
        assert parse_document('b.json', text).is_ok() or _messages(text)


class TestSchemas:
    """Published schemas."""

    @pytest.mark.parametrize('kind', sorted(schemas.SCHEMA_TABLES))
    def test_committed_file_is_current(self, kind: str) -> None:
        """Guards against a schema file that differs from its table."""
        committed = schemas.SCHEMAS_DIRECTORY / f'{kind}.schema.json'
        assert committed.read_text() == schemas.format_schema(kind)

    def test_schema_accepts_valid_files(self) -> None:
        """Guards against a schema that rejects what the loader accepts."""
        for kind, content in (('balancer', _BALANCER), ('service', _SERVICE)):
            jsonschema.validate(
                content,
                json.loads(schemas.format_schema(kind)),
            )


class TestWarmUp:
    """The limit of an agent's cold target."""

    def test_absent(self, tmp_path: Path) -> None:
        """Guards against a limit where the settings have none."""
        path = _write(tmp_path / 's.json', _SIDECAR)
        assert loader.load_sidecar_settings(path).ok.warm_up is None

    def test_present(self, tmp_path: Path) -> None:
        """Guards against a limit that is not read, or lacks its default."""
        content = _SIDECAR | {'warm_up': {'overage': 1.5}}
        path = _write(tmp_path / 's.json', content)
        loaded = loader.load_sidecar_settings(path).ok
        assert loaded.warm_up == WarmUpLimits(1.5, 0)

    def test_faulty(self, tmp_path: Path) -> None:
        """Guards against a section without its factor."""
        content = _SIDECAR | {'warm_up': {'slack': 5}}
        path = _write(tmp_path / 's.json', content)
        assert loader.load_sidecar_settings(path).is_error()
