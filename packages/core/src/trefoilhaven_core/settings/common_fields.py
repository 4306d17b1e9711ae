"""Fields that several settings files have, and their constructors."""

from typing import Final

from trefoilhaven_core.settings import defaults
from trefoilhaven_core.settings.fields import Field, FieldKind

MAX_TIME_S: Final = 604_800.0
MAX_COUNT: Final = 1_000_000
_LOG_LEVELS: Final = ('debug', 'info', 'warning', 'error')


def address(key: str, description: str) -> Field:
    """Return a field for an IPv4 address with a port."""
    return Field(key, FieldKind.address, description)


def name(key: str, description: str) -> Field:
    """Return a field for a name."""
    return Field(key, FieldKind.name, description)


def count(key: str, description: str, default: int) -> Field:
    """Return a field for a number from 1."""
    return Field(
        key,
        FieldKind.integer,
        description,
        default=default,
        minimum=1,
        maximum=MAX_COUNT,
    )


def duration(key: str, description: str, default: float) -> Field:
    """Return a field for a time in seconds."""
    return Field(
        key,
        FieldKind.number,
        f'{description}, in seconds.',
        default=default,
        minimum=0,
        maximum=MAX_TIME_S,
    )


def share(key: str, description: str, default: float) -> Field:
    """Return a field for a share from 0 to 1."""
    return Field(
        key,
        FieldKind.number,
        description,
        default=default,
        minimum=0,
        maximum=1,
    )


LOG_LEVEL: Final = Field(
    'log_level',
    FieldKind.choice,
    'Lowest level of log lines.',
    default=defaults.LOG_LEVEL,
    choices=_LOG_LEVELS,
)
