"""Replies of an agent to the claims of its siblings."""

from collections.abc import Callable, Collection, Iterable
from enum import Enum
from typing import Final

from trefoilhaven_core.ownership.buckets import BucketState, BucketTransfer
from trefoilhaven_core.ownership.directories import Directory
from trefoilhaven_core.ownership.fences import Epoch
from trefoilhaven_core.ownership.messages import (
    ClaimBuckets,
    ClaimReply,
    DirectoryEntry,
    SeenTerm,
    TransferredBucket,
)
from trefoilhaven_core.ownership.siblings import Siblings

# Time in seconds for which the entries of a transfer are also sent to other
# claimants, because the first one may have lost the bucket or the reply.
TRANSFER_REPEAT_S: Final = 10

HeldItems = Callable[[Collection[int]], Iterable[DirectoryEntry]]


class ClaimDecision(Enum):
    """Decision about a claim of one bucket.

    ``owned`` denies the claim because the agent keeps the bucket,
    ``contested`` because the agent claims it as well; an outdated claim is
    ``ignored``.
    """

    granted = 'granted'
    owned = 'owned'
    contested = 'contested'
    ignored = 'ignored'


class ClaimResponder:
    """Grants or denies claims and keeps the last transfer of each bucket."""

    def __init__(
        self,
        states: list[BucketState],
        directory: Directory,
        siblings: Siblings,
    ) -> None:
        self._states = states
        self._directory = directory
        self._siblings = siblings

    def evaluate(self, claim: ClaimBuckets, bucket: int) -> ClaimDecision:
        """Return the decision about one bucket without changing any state.

        A repeated claim that was already granted is outdated if the agent
        has become the owner since, because the claimant must have abandoned
        that claim first. A claim older than the last granted one is outdated
        as well.
        """
        state = self._states[bucket]
        last_granted = state.granted_ids.get(claim.claimant, 0)
        if claim.claim_id < last_granted:
            return ClaimDecision.ignored
        if claim.claim_id == last_granted:
            return (
                ClaimDecision.ignored if state.owned else ClaimDecision.granted
            )
        if state.owned:
            first = self._siblings.table.first(bucket)
            is_assigned = first == claim.claimant
            return ClaimDecision.granted if is_assigned else ClaimDecision.owned
        if state.claiming and bucket in self._siblings.assigned_buckets:
            return ClaimDecision.contested
        return ClaimDecision.granted

    def answer(
        self,
        now: float,
        claim: ClaimBuckets,
        leased: bool,
        items: HeldItems,
        head: ClaimReply,
    ) -> ClaimReply:
        """Complete the reply ``head`` to a claim; release granted buckets."""
        decisions: dict[ClaimDecision, list[int]] = {}
        for bucket in claim.buckets:
            if 0 <= bucket < len(self._states):
                decision = self.evaluate(claim, bucket)
                decisions.setdefault(decision, []).append(bucket)
        granted = decisions.get(ClaimDecision.granted, [])
        if granted:
            self._siblings.require_version(claim.registry_version)
        transfers = {
            bucket: transfer
            for bucket in granted
            if (transfer := self.grant(now, claim, bucket, leased)) is not None
        }
        for bucket in granted:
            self._states[bucket].set_owner_hint(now, claim.claimant)
        recorded = [
            entry for one in transfers.values() for entry in one.entries
        ]
        return head._replace(
            granted=tuple(granted),
            transferred=tuple(
                TransferredBucket(bucket, transfer.horizon)
                for bucket, transfer in transfers.items()
                if transfer.horizon is not None
            ),
            owned=tuple(decisions.get(ClaimDecision.owned, ())),
            contested=tuple(decisions.get(ClaimDecision.contested, ())),
            entries=_prefer_held(recorded, tuple(items(granted))),
        )

    def grant(
        self, now: float, claim: ClaimBuckets, bucket: int, leased: bool
    ) -> BucketTransfer | None:
        """Grant a bucket; return the data to transfer, None if there is none.

        The agent transfers all its entries, including those of a bucket that
        was transferred to it before its own claim was complete, or that it
        owned before it was fenced. Only an owner with a valid lease transfers
        its horizon. Granting abandons the agent's own claim.
        """
        state = self._states[bucket]
        if state.granted_ids.get(claim.claimant) != claim.claim_id:
            state.granted_ids[claim.claimant] = claim.claim_id
            entries = tuple(self._directory.entries((bucket,)))
            if state.owned or entries:
                state.last_transfer = BucketTransfer(
                    claim.claimant,
                    Epoch(claim.incarnation, claim.term),
                    claim.claim_id,
                    now,
                    state.horizon if state.owned and leased else None,
                    entries,
                )
            self._directory.remove_buckets((bucket,))
            state.release()
        return _transfer_for(now, state.last_transfer, claim)


def _prefer_held(
    recorded: Iterable[DirectoryEntry], held: tuple[DirectoryEntry, ...]
) -> tuple[DirectoryEntry, ...]:
    """Return held entries, and recorded ones that no held entry replaces.

    An entry that the agent itself holds replaces its directory entry unless
    that has a higher attempt.
    """
    attempts = {entry.item: entry.attempt for entry in held}
    kept = [
        entry
        for entry in recorded
        if entry.attempt > attempts.get(entry.item, -1)
    ]
    return (*kept, *held)


def empty_reply(
    claim: ClaimBuckets,
    sibling: str,
    epoch: Epoch,
    terms: tuple[SeenTerm, ...],
) -> ClaimReply:
    """Return a reply that neither grants nor denies any bucket."""
    return ClaimReply(
        claim.service,
        sibling,
        epoch.incarnation,
        epoch.term,
        claim.claim_id,
        claim.round_number,
        (),
        (),
        (),
        (),
        (),
        terms,
    )


def _transfer_for(
    now: float, transfer: BucketTransfer | None, claim: ClaimBuckets
) -> BucketTransfer | None:
    """Return the part of a bucket's last transfer that a claim receives.

    A claim other than the one the transfer was made for receives only the
    entries, since a later owner may have decided about newer keys.
    """
    if transfer is None:
        return None
    key = (
        claim.claimant,
        Epoch(claim.incarnation, claim.term),
        claim.claim_id,
    )
    if transfer[:3] == key:
        return transfer
    if now - transfer.transferred_at < TRANSFER_REPEAT_S:
        return transfer._replace(horizon=None)
    return None
