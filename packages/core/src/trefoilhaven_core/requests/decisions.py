"""Input and output types of the request table."""

import math
from enum import IntEnum
from typing import Final, NamedTuple

from trefoilhaven_core.ownership.messages import DirectoryEntry

# Bound of the difference between the wall clocks of callers and agents.
CLOCK_ERROR_S: Final = 0.25


class Outcome(IntEnum):
    """Outcome told to the waiter; the values match ``calls.proto``."""

    done = 1
    not_run = 2
    unknown = 3
    no_verdict = 4


class Reason:
    """Texts that explain an outcome in logs and to the caller."""

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
    """A request as the request table sees it.

    ``issued_at`` is Unix time in seconds. ``waiter`` identifies the stream
    that waits for the answer; the calling process chooses the number.
    """

    service: str
    key: str
    attempt: int
    issued_at: float
    idempotent: bool = False
    waiter: int = 0

    @property
    def is_valid(self) -> bool:
        """Whether the attempt is at least 1 and the time is finite.

        NaN would pass the checks of the horizon and of the retention.
        """
        return self.attempt >= 1 and math.isfinite(self.issued_at)


class KeyOwnership(NamedTuple):
    """What the agent knows about the ownership of a key's bucket.

    The agent knows every key of the bucket that was issued at ``horizon``
    (Unix time in seconds) or later. ``entry`` is the key's directory entry.
    """

    is_owner: bool
    lease_valid: bool
    horizon: float
    entry: DirectoryEntry | None = None

    @property
    def may_decide(self) -> bool:
        """Whether the agent owns the bucket under a valid lease."""
        return self.is_owner and self.lease_valid


class RunHere(NamedTuple):
    """Run the request on the agent's own target, or hand it off.

    Idempotent requests have no record; none of the ``on_`` methods of the
    table is called for them afterwards.
    """

    recorded: bool


class Follow(NamedTuple):
    """Wait for the answer of the request that already runs.

    ``superseded`` is the previous waiter, which is to be told that the
    outcome is unknown, or 0 when there was none.
    """

    superseded: int


class Replay(NamedTuple):
    """Send the complete cached answer."""

    answer: bytes


class RelayTo(NamedTuple):
    """Relay the request to the agent that holds the record.

    ``attempt`` is the highest known one and may be above that of the
    request: the refusal of a lower one says nothing about the record.
    """

    holder: str
    incarnation: int
    attempt: int
    follow_only: bool = True


class Conclude(NamedTuple):
    """Answer at once with an outcome other than done."""

    outcome: Outcome
    reason: str
    retry_after_s: float = 0


class Settled(NamedTuple):
    """Result of a call that ends a run, hand-off or relay.

    ``waiter`` is the newest waiter, which gets the answer; 0 for none.
    """

    waiter: int
    answer: Replay | Conclude


Decision = RunHere | Follow | Replay | RelayTo | Conclude


def not_run(reason: str, retry_after_s: float = 0) -> Conclude:
    """Return the guarantee that the attempt has not run and never will."""
    return Conclude(Outcome.not_run, reason, retry_after_s)


def unknown(reason: str) -> Conclude:
    """Return the outcome of a request that may have run."""
    return Conclude(Outcome.unknown, reason)


def no_verdict(reason: str) -> Conclude:
    """Return the outcome of an agent that does not decide."""
    return Conclude(Outcome.no_verdict, reason)
