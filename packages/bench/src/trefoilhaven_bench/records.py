"""Conversion between ``NamedTuple`` records and JSON objects.

``msgspec`` reads and writes named tuples as arrays. Settings files and
control endpoints use objects, which are readable and extensible.
"""

from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec

RecordT = TypeVar('RecordT')


def record_from(kind: type[RecordT], mapping: dict[str, Any]) -> RecordT:
    """Build a record, with nested records, from a JSON object.

    Raises ``msgspec.ValidationError`` for a field of the wrong type and
    ``TypeError`` for one that is unknown or missing.
    """
    hints = get_type_hints(kind)
    unknown = mapping.keys() - hints.keys()
    if unknown:
        raise TypeError(f'{kind.__name__} has no field {min(unknown)}')
    fields = {
        name: _convert(hints[name], content)
        for name, content in mapping.items()
    }
    return kind(**fields)


def object_of(record: Any) -> Any:
    """Convert a record, with nested records, to a JSON object."""
    if hasattr(record, '_asdict'):
        return {
            name: object_of(content)
            for name, content in record._asdict().items()
        }
    if isinstance(record, (tuple, list)):
        return [object_of(entry) for entry in record]
    return record


def replace_fields(record: RecordT, changes: dict[str, Any]) -> RecordT:
    """Return a copy of a record with the fields of a JSON object applied."""
    return record_from(type(record), {**object_of(record), **changes})


def _convert(hint: Any, content: Any) -> Any:
    if isinstance(content, dict) and hasattr(hint, '_fields'):
        return record_from(hint, content)
    if get_origin(hint) is tuple and hasattr(get_args(hint)[0], '_fields'):
        return tuple(_convert(get_args(hint)[0], entry) for entry in content)
    return msgspec.convert(content, hint)
