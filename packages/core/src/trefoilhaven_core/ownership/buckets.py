"""State of one bucket in one agent, and its last transfer."""

from typing import NamedTuple

from trefoilhaven_core.ownership.fences import Epoch
from trefoilhaven_core.ownership.messages import DirectoryEntry


class BucketTransfer(NamedTuple):
    """Data transferred with a granted bucket, kept for repeated claims.

    ``transferred_at`` is monotonic, in seconds. ``horizon`` is the Unix time
    in seconds from which every request key was known. It is None if the agent
    had no valid lease at the time of the transfer, since another agent may
    have owned the bucket in between.
    """

    claimant: str
    epoch: Epoch
    claim_id: int
    transferred_at: float
    horizon: float | None
    entries: tuple[DirectoryEntry, ...]


class BucketState:
    """What an agent knows about one bucket.

    ``claim_id`` is 0 until a claim is made and after the bucket was
    granted to a sibling. ``round_number`` counts the rounds of the claim and
    ``round_started`` is the monotonic time of the latest one; ``grants`` has
    the epochs of the siblings that granted the claim in it. ``horizon`` is
    the Unix time in seconds from which an owner knows every request key, and
    ``transferred_horizon`` that of a transfer that arrived before the
    acquisition. ``unreported`` names fenced siblings whose items are unknown.
    ``granted_ids`` holds the id of the last claim granted to each sibling.
    ``denied_by`` is the sibling that last replied that it owns the bucket.
    ``owner_hint`` is the sibling that probably owns the bucket, as known
    since the monotonic time ``owner_hinted_at``.
    """

    __slots__ = (
        'claim_id',
        'claiming',
        'denied_by',
        'granted_ids',
        'grants',
        'horizon',
        'last_transfer',
        'owned',
        'owner_hint',
        'owner_hinted_at',
        'round_number',
        'round_started',
        'transferred_horizon',
        'unreported',
    )

    def __init__(self) -> None:
        self.owned = False
        self.claiming = False
        self.denied_by: str | None = None
        self.claim_id = 0
        self.round_number = 0
        self.round_started = float(0)
        self.horizon = float(0)
        self.transferred_horizon: float | None = None
        self.owner_hint: str | None = None
        self.owner_hinted_at = float('-inf')
        self.last_transfer: BucketTransfer | None = None
        self.grants: dict[str, Epoch] = {}
        self.unreported: set[str] = set()
        self.granted_ids: dict[str, int] = {}

    def set_owner_hint(self, now: float, target: str) -> None:
        """Record which sibling probably owns the bucket."""
        self.owner_hint = target
        self.owner_hinted_at = now

    def begin_claim(self, now: float, claim_id: int) -> None:
        """Start a claim, or the next round of a paused claim.

        The claim id is kept if no other agent can have owned the bucket
        since, so that a transfer whose reply was lost is repeated.
        """
        self.claiming = True
        self.claim_id = self.claim_id or claim_id
        self.next_round(now)

    def next_round(self, now: float) -> None:
        """Ask all siblings again, since earlier entries may be outdated."""
        self.round_number += 1
        self.round_started = now
        self.grants.clear()
        self.denied_by = None

    def restart(self, now: float, claim_id: int) -> None:
        """Start a new claim and discard a horizon that may be outdated."""
        self.transferred_horizon = None
        self.claim_id = claim_id
        self.next_round(now)

    def pause_claim(self) -> None:
        """Stop the claim but keep what was transferred for it."""
        self.claiming = False
        self.denied_by = None
        self.grants.clear()

    def release(self) -> None:
        """Give up ownership and claim, and discard transferred data."""
        self.pause_claim()
        self.owned = False
        self.claim_id = 0
        self.round_number = 0
        self.transferred_horizon = None
        self.unreported.clear()

    def acquire(self, horizon: float) -> None:
        """Become the owner; the claim id is kept to match late replies."""
        self.pause_claim()
        self.owned = True
        self.horizon = horizon
        self.transferred_horizon = None
        self.owner_hint = None
        # An earlier transfer predates this ownership.
        self.last_transfer = None
