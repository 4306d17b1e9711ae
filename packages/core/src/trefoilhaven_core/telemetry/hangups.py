"""SIGHUP while a process loads its modules.

The entry point defers the signal before it imports anything else: its
default action ends the process, and a change of the settings file may be
signalled at any moment.
"""

import signal
from types import FrameType

_deferred: list[int] = []


def defer_hangups() -> None:
    """Record SIGHUP until the process has a handler for it."""
    signal.signal(signal.SIGHUP, _record)


def take_deferred_hangup() -> bool:
    """Return whether SIGHUP came since the last call."""
    is_deferred = bool(_deferred)
    _deferred.clear()
    return is_deferred


def _record(number: int, _: FrameType | None) -> None:
    _deferred.append(number)
