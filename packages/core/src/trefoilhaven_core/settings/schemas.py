"""JSON Schemas of the settings and service files.

The files under ``schemas/`` are written by
``python -m trefoilhaven_core.settings.schemas`` and committed.
"""

import json
from pathlib import Path
from typing import Any, Final

from trefoilhaven_core.settings.fields import Field, FieldKind, FieldTable
from trefoilhaven_core.settings.readers import ADDRESS_PATTERN, NAME_PATTERN
from trefoilhaven_core.settings.segment_tables import (
    GATEWAY_FIELDS,
    SIDECAR_FIELDS,
)
from trefoilhaven_core.settings.tables import (
    AGENT_FIELDS,
    BALANCER_FIELDS,
    SERVICE_FIELDS,
)

SCHEMAS_DIRECTORY: Final = Path(__file__).parent / 'schemas'
SCHEMA_TABLES: Final[dict[str, FieldTable]] = {
    'agent': AGENT_FIELDS,
    'balancer': BALANCER_FIELDS,
    'gateway': GATEWAY_FIELDS,
    'service': SERVICE_FIELDS,
    'sidecar': SIDECAR_FIELDS,
}

_DIALECT: Final = 'https://json-schema.org/draft/2020-12/schema'
_Schema = dict[str, Any]


def format_schema(kind: str) -> str:
    """Return the schema of a kind of file as text."""
    schema = {
        '$schema': _DIALECT,
        'title': f'trefoilhaven {kind} file',
        **_object(SCHEMA_TABLES[kind]),
    }
    return f'{json.dumps(schema, indent=2)}\n'


def write_schemas() -> None:
    """Write all schemas into the schemas directory."""
    for kind in SCHEMA_TABLES:
        path = SCHEMAS_DIRECTORY / f'{kind}.schema.json'
        path.write_text(format_schema(kind), encoding='utf-8')


def _object(table: FieldTable) -> _Schema:
    return {
        'type': 'object',
        'additionalProperties': False,
        'required': [field.key for field in table if field.required],
        'properties': {field.key: _property(field) for field in table},
    }


def _property(field: Field) -> _Schema:
    schema: _Schema = {'description': field.description}
    if field.default is not None:
        listed = isinstance(field.default, tuple)
        schema['default'] = list(field.default) if listed else field.default
    return schema | _value(field)


def _value(field: Field) -> _Schema:
    match field.kind:
        case FieldKind.section:
            return _object(field.fields)
        case FieldKind.sections:
            return _list(field, _object(field.fields))
        case FieldKind.names:
            names = {'type': 'string', 'pattern': NAME_PATTERN}
            return _list(field, names)
        case FieldKind.choice:
            return {'enum': list(field.choices)}
        case FieldKind.boolean:
            return {'type': 'boolean'}
        case FieldKind.integer | FieldKind.number:
            return {'type': field.kind.value} | _bounds(
                field,
                'minimum',
                'maximum',
            )
    return _string(field.kind)


def _string(kind: FieldKind) -> _Schema:
    patterns = {
        FieldKind.name: NAME_PATTERN,
        FieldKind.address: ADDRESS_PATTERN,
        FieldKind.url: '^http://',
    }
    return {'type': 'string', 'pattern': patterns[kind]}


def _list(field: Field, entry: _Schema) -> _Schema:
    bounds = _bounds(field, 'minItems', 'maxItems')
    return {'type': 'array', 'items': entry} | bounds


def _bounds(field: Field, low: str, high: str) -> _Schema:
    named = ((low, field.minimum), (high, field.maximum))
    return {key: bound for key, bound in named if bound is not None}


if __name__ == '__main__':
    write_schemas()
