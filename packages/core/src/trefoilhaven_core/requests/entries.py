"""A single request record and its state in a bucket's directory.

The retention of a record starts when its highest attempt was first seen or
its outcome became known, whichever is later, and not at ``issued_at``: once
an older attempt is answered *not run*, repeats of the same attempt carry a
later ``issued_at``, which is never later than the first sending of the
attempt. ``issued_at`` of a directory entry is the start of the retention as
well.
"""

from enum import IntEnum
from typing import Final

import xxhash

from trefoilhaven_core.ownership.messages import ItemKind
from trefoilhaven_core.requests.decisions import (
    CLOCK_ERROR_S,
    RelayTo,
    Request,
)


class RecordState(IntEnum):
    """State of a record.

    A ``running`` request waits at this agent until it is ``started`` at the
    target. Another agent holds a ``remote`` or ``relaying`` one; a call to
    that holder is in progress while the state is ``relaying``.
    """

    running = 1
    done = 2
    unknown = 3
    remote = 4
    relaying = 5
    started = 6


KIND_OF_STATE: Final = {
    RecordState.running: ItemKind.running,
    RecordState.done: ItemKind.done,
    RecordState.unknown: ItemKind.unknown,
    RecordState.remote: ItemKind.running,
    RecordState.relaying: ItemKind.running,
    RecordState.started: ItemKind.running,
}


def digest_key(key: str) -> bytes:
    """Return a 128-bit digest that tells keys of the same 64-bit hash apart.

    A digest, unlike the key itself, has a fixed size in the record.
    """
    return xxhash.xxh3_128_digest(key.encode())


def latest_issued_at(request: Request, wall: float) -> float:
    """Return an upper bound of ``issued_at`` in repeats of the attempt."""
    return max(request.issued_at, wall + CLOCK_ERROR_S)


class Record:
    """Record of one request key.

    ``attempt`` is the highest one seen, ``waiter`` the newest one.
    ``placed`` tells that the owner placed the request here.
    ``retention_start`` is Unix time in seconds. ``holder`` is empty unless
    another agent holds the request.
    """

    __slots__ = (
        'attempt',
        'digest',
        'holder',
        'holder_incarnation',
        'placed',
        'retention_start',
        'state',
        'waiter',
    )

    def __init__(self, request: Request, placed: bool, wall: float) -> None:
        """Record a running request; ``wall`` is Unix time in seconds."""
        self.digest = digest_key(request.key)
        self.state = RecordState.running
        self.attempt = request.attempt
        self.retention_start = latest_issued_at(request, wall)
        self.waiter = request.waiter
        self.placed = placed
        self.holder = ''
        self.holder_incarnation = 0

    @property
    def is_open(self) -> bool:
        """Whether this agent still waits for the outcome."""
        return self.state == RecordState.relaying or self.is_local

    @property
    def is_local(self) -> bool:
        """Whether the request is queued or runs at this agent."""
        return self.state in {RecordState.running, RecordState.started}

    def replace_waiter(self, request: Request, wall: float) -> int:
        """Set the newest waiter and raise the attempt.

        Returns the previous waiter, or 0 if there was none or it is the same.
        """
        superseded = self.waiter
        self.waiter = request.waiter
        if request.attempt > self.attempt:
            self.raise_attempt(request.attempt, latest_issued_at(request, wall))
        return 0 if superseded == request.waiter else superseded

    def raise_attempt(self, attempt: int, retention_start: float) -> None:
        """Raise the attempt and the start of the retention, never lower."""
        self.attempt = max(self.attempt, attempt)
        self.retention_start = max(self.retention_start, retention_start)

    def relay_to(self, holder: str, incarnation: int) -> RelayTo:
        """Set the holder and return the call to it; it is now in progress."""
        self.state = RecordState.relaying
        self.holder = holder
        self.holder_incarnation = incarnation
        return RelayTo(holder, incarnation, self.attempt)

    def settle(self, state: RecordState, wall: float) -> None:
        """Set the final state at ``wall``, Unix time in seconds.

        The retention starts at that time, unless it started later.
        """
        self.state = state
        self.retention_start = max(self.retention_start, wall)
        self.holder = ''
