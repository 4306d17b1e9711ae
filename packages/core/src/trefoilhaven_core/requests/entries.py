"""A single request record and its form in a bucket's directory.

The retention of a record starts when its highest attempt was first seen,
not at ``issued_at``: once an older attempt is answered *not run*, asks for
the same attempt carry a later ``issued_at``, which is never later than the
first ask. ``issued_at`` of a directory entry is this start as well.
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
    """State of a record; ``remote`` and ``relaying`` name a holder.

    A call to the holder is in progress while the state is ``relaying``. A
    ``running`` request waits here until it is ``started`` at the target.
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
    """Return what tells apart two keys of an equal 64-bit hash.

    A digest bounds the memory of a record, whatever the caller's key.
    """
    return xxhash.xxh3_128_digest(key.encode())


def latest_issued_at(request: Request, wall: float) -> float:
    """Return a bound of all times that asks of the attempt may carry."""
    return max(request.issued_at, wall + CLOCK_ERROR_S)


class Record:
    """One request key."""

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
        """Describe a running request.

        ``retention_start`` is the Unix time at which its retention starts.
        """
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
        """Whether the request waits or runs at this agent."""
        return self.state in {RecordState.running, RecordState.started}

    def replace_waiter(self, request: Request, wall: float) -> int:
        """Make the waiter the newest one and return the one before it."""
        superseded = self.waiter
        self.waiter = request.waiter
        if request.attempt > self.attempt:
            self.raise_attempt(request.attempt, latest_issued_at(request, wall))
        return 0 if superseded == request.waiter else superseded

    def raise_attempt(self, attempt: int, retention_start: float) -> None:
        """Note an attempt that may be the highest so far."""
        self.attempt = max(self.attempt, attempt)
        self.retention_start = max(self.retention_start, retention_start)

    def relay_to(self, holder: str, incarnation: int) -> RelayTo:
        """Name the agent that a call in progress asks."""
        self.state = RecordState.relaying
        self.holder = holder
        self.holder_incarnation = incarnation
        return RelayTo(holder, incarnation, self.attempt)

    def settle(self, state: RecordState, wall: float) -> None:
        """Note the outcome, known at a Unix time."""
        self.state = state
        self.retention_start = max(self.retention_start, wall)
        self.holder = ''
