"""Decoding of responses in the platform's HTTP protocol."""

import math
from collections.abc import Callable
from typing import Any, Final, TypedDict, TypeVar

import msgspec
from expression import Error, Ok, Result

from trefoilhaven_core.platform import errors
from trefoilhaven_core.platform.clients import (
    Changes,
    Listing,
    ObjectChange,
    PlatformObject,
)
from trefoilhaven_core.platform.errors import PlatformError
from trefoilhaven_core.settings import defaults
from trefoilhaven_core.wire.decoding import DECODE_ERRORS
from trefoilhaven_core.wire.http_client import HttpClientResponse

_DEFAULT_RETRY_AFTER_S: Final = 1.0
_FIRST_SERVER_ERROR: Final = 500

_Value = TypeVar('_Value')


class _ObjectReply(TypedDict):
    path: str
    version: int
    content: Any


class _ListingReply(TypedDict):
    revision: int
    objects: list[_ObjectReply]


class _ChangeReply(TypedDict):
    path: str
    version: int
    content: Any
    deleted: bool
    revision: int


class _ChangesReply(TypedDict):
    revision: int
    objects: list[_ChangeReply]


class _WrittenReply(TypedDict):
    version: int


class _ConflictReply(TypedDict):
    version: int
    content: Any


def decode_object(body: bytes) -> PlatformObject:
    """Return the object in a response to a read."""
    return PlatformObject(**msgspec.json.decode(body, type=_ObjectReply))


def decode_listing(body: bytes) -> Listing:
    """Return the objects in a response to a list call."""
    reply = msgspec.json.decode(body, type=_ListingReply)
    objects = tuple(PlatformObject(**each) for each in reply['objects'])
    return Listing(reply['revision'], objects)


def decode_changes(body: bytes) -> Changes:
    """Return the changes in a response to a watch."""
    reply = msgspec.json.decode(body, type=_ChangesReply)
    objects = tuple(ObjectChange(**each) for each in reply['objects'])
    return Changes(reply['revision'], objects)


def decode_version(body: bytes) -> int:
    """Return the new version in a response to a write."""
    return msgspec.json.decode(body, type=_WrittenReply)['version']


def decode_nothing(body: bytes) -> None:
    """Ignore the body of a response to a deletion."""


def interpret(
    response: HttpClientResponse,
    path: str,
    decode: Callable[[bytes], _Value],
    *,
    is_write: bool,
) -> Result[_Value, PlatformError]:
    """Return the value of a response, or its error.

    ``path`` is the object's path and empty for a list or watch.
    """
    if response.status in {200, 201, 204}:
        try:
            return Ok(decode(response.body))
        except DECODE_ERRORS as exc:
            reason = f'malformed answer: {exc}'
            return Error(errors.Unavailable(is_write, reason))
    return Error(_failure(response, path, is_write=is_write))


def _failure(
    response: HttpClientResponse,
    path: str,
    *,
    is_write: bool,
) -> PlatformError:
    match response.status:
        case 404:
            return errors.NotFound(path)
        case 409:
            return _conflict(response, path)
        case 413:
            return errors.TooLarge(path, defaults.PLATFORM_OBJECT_BYTES)
        case 429:
            return errors.RateLimited(_retry_after_s(response.retry_after))
    # A gateway may answer 5xx after the platform applied the write.
    maybe_applied = is_write and response.status >= _FIRST_SERVER_ERROR
    return errors.Unavailable(maybe_applied, f'status {response.status}')


def _conflict(response: HttpClientResponse, path: str) -> PlatformError:
    try:
        reply = msgspec.json.decode(response.body, type=_ConflictReply)
    except DECODE_ERRORS as exc:
        return errors.Unavailable(False, f'malformed conflict: {exc}')
    return errors.Conflict(path, reply['version'], reply['content'])


def _retry_after_s(header: str) -> float:
    try:
        wait_s = float(header)
    except ValueError:
        return _DEFAULT_RETRY_AFTER_S
    if not math.isfinite(wait_s):
        return _DEFAULT_RETRY_AFTER_S
    return min(max(wait_s, 0), defaults.PLATFORM_RETRY_AFTER_LIMIT_S)
