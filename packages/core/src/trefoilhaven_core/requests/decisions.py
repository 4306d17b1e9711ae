"""Requests as the record table sees them, and what it decides."""

import math
from enum import IntEnum
from typing import Final, NamedTuple

from trefoilhaven_core.ownership.messages import DirectoryEntry

# Largest difference between the wall clocks of callers and agents.
CLOCK_ERROR_S: Final = 0.25


class Outcome(IntEnum):
    """What a waiter learns; the numbers are those of ``calls.proto``."""

    done = 1
    not_run = 2
    unknown = 3
    no_verdict = 4


class Reason:
    """Reasons of outcomes, for logs and for the caller."""

    wrong_service = 'this agent does not serve the service'
    wrong_incarnation = 'another incarnation of the agent was meant'
    hash_collision = 'the key collides with another key'
    malformed = 'attempts start at 1 and issued_at is a finite time'
    future = 'issued_at is in the future'
    not_owner = 'this agent does not own the bucket under a valid lease'
    before_horizon = 'issued_at is before the horizon of the bucket'
    lost_run = 'an owner that is lost may have run the attempt'
    past_retention = 'issued_at is older than the retention'
    table_full = 'the record table is full'
    refusals_full = 'the refusal could not be remembered'
    refused = 'this attempt was refused before'
    refused_placement = 'refused here, the owner decides'
    outcome_unknown = 'the request may have run'
    not_cached = 'the answer is no longer kept'
    no_record = 'no record to follow'
    not_placed_by_owner = 'only the owner places non-idempotent requests'


class Request(NamedTuple):
    """A request as the record table sees it.

    ``issued_at`` is Unix time in seconds. ``waiter`` is a number that the
    calling process chose for the stream that waits for the answer.
    """

    service: str
    key: str
    attempt: int
    issued_at: float
    idempotent: bool = False
    waiter: int = 0

    @property
    def is_valid(self) -> bool:
        """Whether attempt and time can be compared with others.

        A time that is no number would pass every comparison.
        """
        return self.attempt >= 1 and math.isfinite(self.issued_at)


class KeyOwnership(NamedTuple):
    """What the agent knows about the key's bucket at this moment.

    ``horizon`` is the Unix time in seconds from which on every key of the
    bucket is known. ``entry`` is the directory's entry of the key.
    """

    is_owner: bool
    lease_valid: bool
    horizon: float
    entry: DirectoryEntry | None = None

    @property
    def may_decide(self) -> bool:
        """Whether the agent is the leased owner of the bucket."""
        return self.is_owner and self.lease_valid


class RunHere(NamedTuple):
    """Run the request on the agent's own target, or hand it off.

    Without a record (idempotent requests) none of the table's ``on_``
    methods is called for it afterwards.
    """

    recorded: bool


class Follow(NamedTuple):
    """A running record; the waiter now waits for its answer.

    ``superseded`` is the waiter that waited before and is to be told that
    the outcome is unknown, 0 when there was none.
    """

    superseded: int


class Replay(NamedTuple):
    """The whole kept answer."""

    answer: bytes


class RelayTo(NamedTuple):
    """Ask the agent that holds the record, under the given attempt.

    The attempt is the highest known one, which may be above the waiter's:
    the refusal of a lower one says nothing about the held record.
    """

    holder: str
    incarnation: int
    attempt: int
    follow_only: bool = True


class Conclude(NamedTuple):
    """Answer the waiter at once."""

    outcome: Outcome
    reason: str
    retry_after_s: float = 0


class Settled(NamedTuple):
    """The waiter to answer, and with what."""

    waiter: int
    answer: Replay | Conclude


Decision = RunHere | Follow | Replay | RelayTo | Conclude


def not_run(reason: str, retry_after_s: float = 0) -> Conclude:
    """Return the proven statement that the attempt never runs."""
    return Conclude(Outcome.not_run, reason, retry_after_s)


def unknown(reason: str) -> Conclude:
    """Return the statement that the request may have run."""
    return Conclude(Outcome.unknown, reason)


def no_verdict(reason: str) -> Conclude:
    """Return the statement that this agent does not decide."""
    return Conclude(Outcome.no_verdict, reason)
