"""Validates documents against field tables and collects all findings."""

import difflib
import ipaddress
import math
import re
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import urlsplit

from expression import Error, Ok, Result

from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.settings.documents import Document, join_path
from trefoilhaven_core.settings.fields import Field, FieldKind, FieldTable
from trefoilhaven_core.settings.findings import Finding, Findings

NAME_PATTERN: Final = '^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$'
ADDRESS_PATTERN: Final = r'^[0-9.]+:[0-9]{1,5}$'
MAX_PORT: Final = 65_535

# Stands for a value that failed its check; its finding is recorded.
_INVALID: Final = object()

_TYPE_NAMES: Final[dict[type, str]] = {
    bool: 'a boolean',
    dict: 'an object',
    float: 'a number',
    int: 'an integer',
    list: 'a list',
    str: 'a string',
    type(None): 'null',
}


def read_fields(
    document: Document,
    table: FieldTable,
) -> Result[dict[str, Any], Findings]:
    """Return the validated values of a document, with defaults filled in.

    Addresses are ``Address``, lists are tuples and sections are dicts.
    Optional fields that are absent are absent from the result too.
    """
    reader = _Reader(document)
    values = reader.section('$', document.content, table)
    if reader.findings:
        return Error(tuple(reader.findings))
    return Ok(values)


def parse_address(text: str) -> Address | None:
    """Parse ``ip:port`` text; return None when it is invalid.

    >>> parse_address('127.0.0.1:7000')
    Address(host='127.0.0.1', port=7000)
    """
    host, _, port = text.rpartition(':')
    if not re.fullmatch('[0-9]{1,5}', port):
        return None
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return None
    number = int(port)
    return Address(host, number) if 0 < number <= MAX_PORT else None


def is_platform_url(text: str) -> bool:
    """Tell whether text is ``http://`` with an IPv4 address and port."""
    try:
        parts = urlsplit(text)
    except ValueError:
        return False
    return parts.scheme == 'http' and bool(parse_address(parts.netloc))


class _Reader:
    """Validates the values of one document."""

    def __init__(self, document: Document) -> None:
        self.findings: list[Finding] = []
        self._document = document
        self._checks: dict[FieldKind, Callable[[str, Any, Field], Any]] = {
            FieldKind.name: self._name,
            FieldKind.address: self._address,
            FieldKind.url: self._url,
            FieldKind.integer: self._integer,
            FieldKind.number: self._number,
            FieldKind.boolean: self._boolean,
            FieldKind.choice: self._choice,
            FieldKind.names: self._names,
            FieldKind.section: self._section,
            FieldKind.sections: self._sections,
        }

    def section(self, path: str, raw: Any, table: FieldTable) -> Any:
        """Validate an object and return its values."""
        if not isinstance(raw, dict):
            return self._wrong_type(path, raw, 'an object')
        known = {field.key: field for field in table}
        for key in raw:
            if key not in known:
                self._unknown_key(path, key, list(known))
        values = {}
        for key, field in known.items():
            field_path = join_path(path, key)
            if key in raw:
                values[key] = self._checks[field.kind](
                    field_path,
                    raw[key],
                    field,
                )
            elif field.required:
                self._add_finding(path, f'the key "{key}" is missing')
            elif field.kind is FieldKind.section and not field.optional:
                values[key] = self.section(field_path, {}, field.fields)
            elif not field.optional:
                values[key] = field.default
        return values

    def _add_finding(self, path: str, message: str) -> Any:
        self.findings.append(self._document.finding(path, message))
        return _INVALID

    def _wrong_type(self, path: str, raw: Any, expected: str) -> Any:
        found = _TYPE_NAMES.get(type(raw), type(raw).__name__)
        return self._add_finding(path, f'expected {expected}, found {found}')

    def _unknown_key(self, path: str, key: str, known: list[str]) -> None:
        nearest = difflib.get_close_matches(key, known, n=1)
        hint = f'; did you mean "{nearest[0]}"?' if nearest else ''
        shown = key if key.isprintable() else ascii(key)
        self._add_finding(join_path(path, key), f'unknown key "{shown}"{hint}')

    def _text(self, path: str, raw: Any) -> Any:
        if not isinstance(raw, str):
            return self._wrong_type(path, raw, 'a string')
        return raw or self._add_finding(path, 'the string is empty')

    def _name(self, path: str, raw: Any, field: Field) -> Any:
        text = self._text(path, raw)
        if text is _INVALID or re.match(NAME_PATTERN, text):
            return text
        return self._add_finding(
            path,
            'a name has 1 to 63 letters, digits, ".", "_" or "-" and starts '
            'with a letter or digit',
        )

    def _address(self, path: str, raw: Any, field: Field) -> Any:
        text = self._text(path, raw)
        if text is _INVALID:
            return text
        address = parse_address(text)
        if address is not None:
            return address
        return self._add_finding(
            path,
            f'{ascii(text)} is not an IPv4 address and port such as '
            '127.0.0.1:7000',
        )

    def _url(self, path: str, raw: Any, field: Field) -> Any:
        text = self._text(path, raw)
        if text is _INVALID:
            return text
        if is_platform_url(text):
            return text.rstrip('/')
        return self._add_finding(
            path,
            f'{ascii(text)} is not http:// with an IPv4 address and port, such '
            'as http://127.0.0.1:8000',
        )

    def _integer(self, path: str, raw: Any, field: Field) -> Any:
        if isinstance(raw, bool) or not isinstance(raw, int):
            return self._wrong_type(path, raw, 'an integer')
        return self._bounded(path, raw, field)

    def _number(self, path: str, raw: Any, field: Field) -> Any:
        if isinstance(raw, bool) or not isinstance(raw, int | float):
            return self._wrong_type(path, raw, 'a number')
        bounded = self._bounded(path, raw, field)
        return bounded if bounded is _INVALID else float(bounded)

    def _boolean(self, path: str, raw: Any, field: Field) -> Any:
        if isinstance(raw, bool):
            return raw
        return self._wrong_type(path, raw, 'a boolean')

    def _bounded(self, path: str, raw: float, field: Field) -> Any:
        low = -math.inf if field.minimum is None else field.minimum
        high = math.inf if field.maximum is None else field.maximum
        if low <= raw <= high:
            return raw
        return self._add_finding(
            path,
            f'{raw:g} is outside the range {low:g} to {high:g}'
            if abs(raw) < 1e300
            else f'the number is outside the range {low:g} to {high:g}',
        )

    def _choice(self, path: str, raw: Any, field: Field) -> Any:
        if raw in field.choices:
            return raw
        listing = ', '.join(field.choices)
        return self._add_finding(path, f'expected one of {listing}')

    def _list(self, path: str, raw: Any, field: Field) -> list[Any]:
        if not isinstance(raw, list):
            self._wrong_type(path, raw, 'a list')
            return []
        low, high = field.minimum or 0, field.maximum or math.inf
        if not low <= len(raw) <= high:
            self._add_finding(
                path,
                f'the list has {len(raw)} entries, expected {low:g} to '
                f'{high:g}',
            )
        return raw

    def _names(self, path: str, raw: Any, field: Field) -> Any:
        return tuple(
            self._name(f'{path}[{index}]', item, field)
            for index, item in enumerate(self._list(path, raw, field))
        )

    def _section(self, path: str, raw: Any, field: Field) -> Any:
        return self.section(path, raw, field.fields)

    def _sections(self, path: str, raw: Any, field: Field) -> Any:
        return tuple(
            self.section(f'{path}[{index}]', item, field.fields)
            for index, item in enumerate(self._list(path, raw, field))
        )
