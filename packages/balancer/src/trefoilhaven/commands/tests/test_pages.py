"""Checks that the operators' documentation covers the code."""

from pathlib import Path

import pytest

from trefoilhaven.cli import app
from trefoilhaven.commands.codes import ExitCode
from trefoilhaven_core.settings import tables
from trefoilhaven_core.settings.fields import FieldTable

_PAGES = Path(__file__).parents[6] / 'docs' / 'operate'


def _read_page(page: str) -> str:
    return (_PAGES / f'{page}.md').read_text(encoding='utf-8')


class TestPages:
    """Names that the documentation must contain."""

    @pytest.mark.parametrize(
        ('page', 'table'),
        [
            ('settings', tables.BALANCER_FIELDS),
            ('settings', tables.AGENT_FIELDS),
            ('service-files', tables.SERVICE_FIELDS),
        ],
    )
    def test_fields(self, page: str, table: FieldTable) -> None:
        """Guards against an undocumented settings key."""
        text = _read_page(page)
        for field in table:
            if not field.fields:
                assert f'`{field.key}`' in text
            for inner in field.fields:
                names = (f'`{inner.key}`', f'`{field.key}.{inner.key}`')
                assert any(name in text for name in names)

    def test_commands_and_codes(self) -> None:
        """Guards against an undocumented command or exit code."""
        text = _read_page('commands')
        for command in app.registered_commands:
            name = command.name or getattr(command.callback, '__name__', '')
            assert f'`{name} ' in text
        for code in ExitCode:
            assert f'\n| {code.value} |' in text
