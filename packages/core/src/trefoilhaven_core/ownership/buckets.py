"""State of one bucket in one agent, and what the agent ceded."""

from typing import NamedTuple

from trefoilhaven_core.ownership.fences import Epoch
from trefoilhaven_core.ownership.messages import DirectoryEntry


class BucketTransfer(NamedTuple):
    """What was handed over with a bucket, kept for a repeated claim.

    ``horizon`` is None when the agent held no valid lease at that time,
    since another agent may have owned the bucket in between.
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
    granted to a sibling. ``transferred_horizon`` is the horizon of a cession that
    arrived before the acquisition. ``unreported`` names fenced siblings whose
    items are unknown. ``granted_ids`` holds the last claim granted to each
    sibling. ``denied_by`` is the sibling that last answered that it owns the
    bucket.
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
        """Start as a bucket that some other agent may own."""
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
        """Note which sibling probably owns the bucket."""
        self.owner_hint = target
        self.owner_hinted_at = now

    def begin_claim(self, now: float, claim_id: int) -> None:
        """Start a claim, or the next round of one that was paused.

        The claim id stays when nobody can have owned the bucket since, so
        that a cession whose reply was lost is repeated.
        """
        self.claiming = True
        self.claim_id = self.claim_id or claim_id
        self.next_round(now)

    def next_round(self, now: float) -> None:
        """Ask all siblings again, as their earlier items may be outdated."""
        self.round_number += 1
        self.round_started = now
        self.grants.clear()
        self.denied_by = None

    def restart_claim(self, now: float, claim_id: int) -> None:
        """Claim anew and forget a horizon that may be outdated."""
        self.transferred_horizon = None
        self.claim_id = claim_id
        self.next_round(now)

    def pause_claim(self) -> None:
        """Stop the claim but keep what was ceded to it."""
        self.claiming = False
        self.denied_by = None
        self.grants.clear()

    def release(self) -> None:
        """Give up ownership and claim, and forget what was inherited."""
        self.pause_claim()
        self.owned = False
        self.claim_id = 0
        self.round_number = 0
        self.transferred_horizon = None
        self.unreported.clear()

    def acquire(self, horizon: float) -> None:
        """Become the owner; the claim id stays for late replies."""
        self.pause_claim()
        self.owned = True
        self.horizon = horizon
        self.transferred_horizon = None
        self.owner_hint = None
        # A remembered cession is older than this ownership.
        self.last_transfer = None
