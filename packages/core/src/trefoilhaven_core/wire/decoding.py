"""Decoding of what other processes and writers sent or stored.

Every failure to decode becomes one typed error, so that a single malformed
value ends neither a task nor the reading of the values beside it.
"""

import re
from collections.abc import Callable
from typing import Any, Final, NamedTuple, TypeVar

import msgspec
from expression import Error, Ok, Result

# JSON values nested deeper than this are read as null. No message or object
# of the system has more than 8 levels.
MAX_JSON_NESTING: Final = 64

# What decoders raise for malformed input. Values that are nested a thousand
# times exceed Python's limit of recursion.
DECODE_ERRORS: Final = (
    msgspec.MsgspecError,
    OverflowError,
    RecursionError,
    UnicodeError,
)

_STRUCTURE: Final = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{}]')

_Value = TypeVar('_Value')


class MalformedError(NamedTuple):
    """Why a value can't be decoded."""

    reason: str


def decode_json(
    raw: bytes, kind: Callable[..., _Value]
) -> Result[_Value, MalformedError]:
    """Return the value in JSON text.

    Values in it that are nested too deeply are read as null, so that the
    others can be used.
    """
    try:
        return Ok(msgspec.json.decode(raw, type=kind))
    except RecursionError:
        return _attempt(
            lambda: msgspec.json.decode(cut_nesting(raw), type=kind)
        )
    except DECODE_ERRORS as exc:
        return Error(MalformedError(str(exc)))


def convert(
    content: Any, kind: Callable[..., _Value]
) -> Result[_Value, MalformedError]:
    """Return the value in content that was decoded without its type."""
    return _attempt(lambda: msgspec.convert(content, kind))


def cut_nesting(raw: bytes) -> bytes:
    """Return JSON text with null in place of too deeply nested values."""
    parts: list[bytes] = []
    depth = 0
    kept_from = 0
    for token in _STRUCTURE.finditer(raw):
        if token[0] in b'[{':
            depth += 1
            if depth == MAX_JSON_NESTING + 1:
                parts.extend((raw[kept_from : token.start()], b'null'))
        elif token[0] in b']}':
            if depth == MAX_JSON_NESTING + 1:
                kept_from = token.end()
            depth -= 1
    if depth <= MAX_JSON_NESTING:
        parts.append(raw[kept_from:])
    return b''.join(parts)


def _attempt(decode: Callable[[], _Value]) -> Result[_Value, MalformedError]:
    try:
        return Ok(decode())
    except DECODE_ERRORS as exc:
        return Error(MalformedError(str(exc)))
