"""Answers of an agent to the claims of its siblings."""

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

# The entries of a cession also go to other claimants for this time, in
# seconds, because the first one may have lost the bucket or its reply.
TRANSFER_REPEAT_S: Final = 10

HeldItems = Callable[[Collection[int]], Iterable[DirectoryEntry]]


class Verdict(Enum):
    """Answer to a claim of one bucket."""

    granted = 'granted'
    owned = 'owned'
    contested = 'contested'
    ignored = 'ignored'


class ClaimResponder:
    """Grants, cedes or denies buckets and remembers the cessions."""

    def __init__(
        self,
        states: list[BucketState],
        directory: Directory,
        siblings: Siblings,
    ) -> None:
        """Work on the bucket states and the directory of an agent."""
        self._states = states
        self._directory = directory
        self._siblings = siblings

    def evaluate(self, claim: ClaimBuckets, bucket: int) -> Verdict:
        """Return the answer for one bucket without changing anything.

        A claim that was granted before and arrives again is outdated when
        the agent has owned the bucket since, because the claimant must have
        dropped that claim first. A claim older than the last granted one is
        outdated as well.
        """
        state = self._states[bucket]
        last_granted = state.granted_ids.get(claim.claimant, 0)
        if claim.claim_id < last_granted:
            return Verdict.ignored
        if claim.claim_id == last_granted:
            return Verdict.ignored if state.owned else Verdict.granted
        if state.owned:
            first = self._siblings.table.first(bucket)
            named = first == claim.claimant
            return Verdict.granted if named else Verdict.owned
        if state.claiming and bucket in self._siblings.assigned_buckets:
            return Verdict.contested
        return Verdict.granted

    def answer(
        self,
        now: float,
        claim: ClaimBuckets,
        leased: bool,
        items: HeldItems,
        head: ClaimReply,
    ) -> ClaimReply:
        """Return the reply to a claim and give up what it grants."""
        verdicts: dict[Verdict, list[int]] = {}
        for bucket in claim.buckets:
            if 0 <= bucket < len(self._states):
                verdict = self.evaluate(claim, bucket)
                verdicts.setdefault(verdict, []).append(bucket)
        granted = verdicts.get(Verdict.granted, [])
        if granted:
            self._siblings.require_version(claim.registry_version)
        cessions = {
            bucket: cession
            for bucket in granted
            if (cession := self.grant(now, claim, bucket, leased)) is not None
        }
        for bucket in granted:
            self._states[bucket].set_owner_hint(now, claim.claimant)
        noted = [
            entry for cession in cessions.values() for entry in cession.entries
        ]
        return head._replace(
            granted=tuple(granted),
            transferred=tuple(
                TransferredBucket(bucket, cession.horizon)
                for bucket, cession in cessions.items()
                if cession.horizon is not None
            ),
            owned=tuple(verdicts.get(Verdict.owned, ())),
            contested=tuple(verdicts.get(Verdict.contested, ())),
            entries=_without_older(noted, tuple(items(granted))),
        )

    def grant(
        self, now: float, claim: ClaimBuckets, bucket: int, leased: bool
    ) -> BucketTransfer | None:
        """Grant a bucket; return what is handed over with it.

        The agent hands over all entries that it has, also those of a
        bucket that was ceded to it while its own claim was not complete, or
        that it owned before it was fenced. Only an owner with a lease hands
        over its horizon. Granting drops the agent's own claim.
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
        return _repeat(now, state.last_transfer, claim)


def _without_older(
    noted: Iterable[DirectoryEntry], held: tuple[DirectoryEntry, ...]
) -> tuple[DirectoryEntry, ...]:
    """Return all entries, those that the agent holds itself in place of
    what its directory says of them.
    """
    attempts = {entry.item: entry.attempt for entry in held}
    kept = [
        entry for entry in noted if entry.attempt > attempts.get(entry.item, -1)
    ]
    return (*kept, *held)


def empty_reply(
    claim: ClaimBuckets,
    sibling: str,
    epoch: Epoch,
    terms: tuple[SeenTerm, ...],
) -> ClaimReply:
    """Return a reply that answers no bucket."""
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


def _repeat(
    now: float, cession: BucketTransfer | None, claim: ClaimBuckets
) -> BucketTransfer | None:
    """Return what a claim gets of the last cession of a bucket.

    Another claim than the one that it was made for gets the entries only,
    since a later owner may have decided about newer keys.
    """
    if cession is None:
        return None
    asked = (
        claim.claimant,
        Epoch(claim.incarnation, claim.term),
        claim.claim_id,
    )
    if cession[:3] == asked:
        return cession
    if now - cession.transferred_at < TRANSFER_REPEAT_S:
        return cession._replace(horizon=None)
    return None
