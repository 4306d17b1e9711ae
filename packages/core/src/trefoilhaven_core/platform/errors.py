"""Errors of calls to the platform."""

from typing import Any, NamedTuple


class NotFound(NamedTuple):
    """The object does not exist."""

    path: str


class Conflict(NamedTuple):
    """The object has another version than expected.

    ``version`` is 0 and ``content`` None when the object does not exist.
    """

    path: str
    version: int
    content: Any


class RateLimited(NamedTuple):
    """The platform refused the call by its rate limit; nothing changed."""

    retry_after_s: float


class Unavailable(NamedTuple):
    """The platform gave no usable answer.

    ``maybe_applied`` is true when a write may have taken effect, so that
    the caller has to read the object back.
    """

    maybe_applied: bool
    reason: str


class HistoryGone(NamedTuple):
    """The platform does not have the revision after which to watch.

    It has dropped the changes since, or has come back older.
    """

    prefix: str


class TooLarge(NamedTuple):
    """The content exceeds the platform's limit for one object."""

    path: str
    limit_bytes: int


PlatformError = (
    NotFound | Conflict | RateLimited | Unavailable | HistoryGone | TooLarge
)


def describe_error(error: PlatformError) -> str:
    """Return a description of an error, one line for operators."""
    match error:
        case NotFound(path):
            return f'{path} does not exist'
        case Conflict(path, version):
            return f'{path} has version {version}'
        case HistoryGone(prefix):
            return f'the changes of {prefix} since the revision are gone'
        case RateLimited(retry_after_s):
            return f'the call rate is limited; retry after {retry_after_s:g} s'
        case TooLarge(path, limit_bytes):
            return f'{path} is larger than {limit_bytes} bytes'
    return f'the platform is unavailable: {error.reason}'
